package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"lichenshelf/fleet/agent"
)

// fleetCommand looks at a running router's part in its fleet.
func fleetCommand() *cli.Command {
	at := &cli.StringFlag{Name: "operator", Usage: "the router's operator `ADDRESS`, as its fleet.toml names it", Required: true}
	page := func(name, usage string, show func(io.Writer, []byte) error) *cli.Command {
		return &cli.Command{Name: name, Usage: usage, Flags: []cli.Flag{at}, Action: func(ctx context.Context, c *cli.Command) error {
			text, err := fetch(ctx, "http://"+c.String("operator")+"/v1/fleet/"+name)
			if err != nil {
				return fmt.Errorf("fleet %s: %w", name, err)
			}
			w := tabwriter.NewWriter(c.Root().Writer, 0, 8, 2, ' ', 0)
			if err := show(w, text); err != nil {
				return fmt.Errorf("fleet %s: %w", name, err)
			}
			return w.Flush()
		}}
	}
	return &cli.Command{Name: "fleet", Usage: "look at what a running router shares with the others", Commands: []*cli.Command{
		page("members", "which routers are there, as this one sees it", showRouters),
		page("budgets", "what may be spent, what is lent and borrowed, and what is left if the links go", showBudgets),
		page("links", "the links to the other routers", showLinks),
	}}
}

const mostPage = 4 << 20

func fetch(ctx context.Context, url string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, mostPage))
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%s: %s", resp.Status, strings.TrimSpace(string(text)))
	}
	return text, nil
}

func showRouters(w io.Writer, text []byte) error {
	var p agent.MembersPage
	if err := json.Unmarshal(text, &p); err != nil {
		return err
	}
	state := "alive"
	switch {
	case p.Fenced:
		state = "fenced: a later process has this name"
	case p.Deaf:
		state = "deaf: hears less than half of the others, calls nobody silent"
	}
	fmt.Fprintf(w, "fleet %s\nROUTER\tSTATE\tNEWS\tDOUBTED BY\tLIFE\n%s (this)\t%s\t-\t-\t%d\n", p.Fleet, p.Self, state, p.Life)
	for _, r := range p.Routers {
		fmt.Fprintf(w, "%s\t%s\t%.1f s ago\t%d\t%d\n", r.Name, r.State, r.AgeS, r.Doubts, r.Life)
	}
	return nil
}

func showBudgets(w io.Writer, text []byte) error {
	var lines []agent.BudgetLine
	if err := json.Unmarshal(text, &lines); err != nil {
		return err
	}
	fmt.Fprintln(w, "BUDGET\tLIMIT/S\tNOW/S\tASKED/S\tIF CUT/S\tFLOOR/S\tLENT\tBORROWED\tENDS IN\tNOTE")
	for _, l := range lines {
		note := ""
		switch {
		case l.Fenced:
			note = "fenced"
		case l.Unsure:
			note = "just started: the floor alone"
		}
		fmt.Fprintf(w, "%s\t%.4g\t%.4g\t%.4g\t%.4g\t%.4g\t%s\t%s\t%.1f s\t%s\n", l.Key, l.Limit, l.Rate, l.Demand, l.IfCut, l.Floor,
			loans(l.Lent), loans(l.Borrowed), l.EndsS, note)
	}
	return nil
}

func loans(m map[string]float64) string {
	if len(m) == 0 {
		return "-"
	}
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(m)) {
		parts = append(parts, fmt.Sprintf("%s %.4g", name, m[name]))
	}
	return strings.Join(parts, ", ")
}

func showLinks(w io.Writer, text []byte) error {
	var lines []agent.LinkLine
	if err := json.Unmarshal(text, &lines); err != nil {
		return err
	}
	fmt.Fprintln(w, "ROUTER\tADDRESS\tCONNECTED\tSENT\tTAKEN\tHEARD\tHEARD LAST\tDROPPED\tFAULT")
	ago := func(s float64) string {
		if s < 0 {
			return "never"
		}
		return fmt.Sprintf("%.1f s ago", s)
	}
	for _, l := range lines {
		fmt.Fprintf(w, "%s\t%s\t%v\t%d\t%s\t%d\t%s\t%d\t%s\n", l.Name, l.Addr, l.Connected, l.Sent, ago(l.TakenS), l.Heard,
			ago(l.HeardS), l.Dropped, l.Fault)
	}
	return nil
}
