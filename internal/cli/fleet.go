package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"lichenshelf/fleet/agent"
)

// fleetCommand shows the fleet as seen by a running router.
func fleetCommand() *cli.Command {
	at := &cli.StringFlag{Name: "operator", Usage: "the router's operator `ADDRESS`, as its fleet.toml names it", Required: true}
	page := func(name, usage string, print func(io.Writer, []byte) error) *cli.Command {
		return &cli.Command{Name: name, Usage: usage, Flags: []cli.Flag{at}, Action: func(ctx context.Context, c *cli.Command) error {
			return show(ctx, c, name, print)
		}}
	}
	return &cli.Command{Name: "fleet", Usage: "show what a running router shares with the others", Commands: []*cli.Command{
		page("members", "show the routers of the fleet and their states, as seen by this one", showRouters),
		page("budgets", "show the budgets, what is lent and borrowed, and what remains if the links fail", showBudgets),
		{Name: "worker", Usage: "show the state of one worker, and which routers judge it", ArgsUsage: "NAME", Flags: []cli.Flag{at},
			Action: func(ctx context.Context, c *cli.Command) error {
				if c.Args().Len() != 1 {
					return fmt.Errorf("fleet worker: %d names given, one is needed", c.Args().Len())
				}
				return show(ctx, c, "worker/"+url.PathEscape(c.Args().First()), showWorker)
			}},
		page("links", "show the links to the other routers", showLinks),
	}}
}

// show fetches a page from the router's operator address and prints it.
func show(ctx context.Context, c *cli.Command, name string, print func(io.Writer, []byte) error) error {
	text, err := fetch(ctx, "http://"+c.String("operator")+"/v1/fleet/"+name)
	if err != nil {
		return fmt.Errorf("fleet %s: %w", name, err)
	}
	w := tabwriter.NewWriter(c.Root().Writer, 0, 8, 2, ' ', 0)
	if err := print(w, text); err != nil {
		return fmt.Errorf("fleet %s: %w", name, err)
	}
	return w.Flush()
}

func showWorker(w io.Writer, text []byte) error {
	var p agent.WorkerPage
	if err := json.Unmarshal(text, &p); err != nil {
		return err
	}
	state := "gets all of its traffic"
	switch {
	case !p.Listed:
		state = "no list holds it"
	case p.Part == 0:
		state = "out for all by agreement"
	case p.Part < 1:
		state = fmt.Sprintf("on its way back, gets %.1f of its traffic", p.Part)
	}
	fmt.Fprintf(w, "worker %s: %s\nown attempts lately: %.1f well, %.1f wrong; of other routers: %.0f prompt tokens wait there, %.0f are held\n", p.Worker, state,
		p.Good, p.Bad, p.Unread, p.Held)
	fmt.Fprintln(w, "JUDGED BY\tFAULT\tWRONG\tWELL\tHOLDS FOR")
	for _, j := range p.By {
		fmt.Fprintf(w, "%s\t%s\t%.1f\t%.1f\t%.1f s\n", j.Router, j.Fault, j.Bad, j.Good, j.LeftS)
	}
	return nil
}

const maxPageBytes = 4 << 20

func fetch(ctx context.Context, url string) ([]byte, error) { return operate(ctx, http.MethodGet, url) }

// operate makes a call to an operator's address and returns the body of the answer. It fails after
// 5 s, or if the status is not 200.
func operate(ctx context.Context, method, url string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxPageBytes))
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
	case p.Isolated:
		state = "deaf: hears less than half of the others, calls nobody silent"
	}
	fmt.Fprintf(w, "fleet %s\nROUTER\tSTATE\tNEWS\tDOUBTED BY\tLIFE\n%s (this)\t%s\t-\t-\t%d\n", p.Fleet, p.Self, state, p.Incarnation)
	for _, r := range p.Routers {
		fmt.Fprintf(w, "%s\t%s\t%.1f s ago\t%d\t%d\n", r.Name, r.State, r.AgeS, r.Suspicions, r.Incarnation)
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
		fmt.Fprintf(w, "%s\t%.4g\t%.4g\t%.4g\t%.4g\t%.4g\t%s\t%s\t%.1f s\t%s\n", l.Key, l.Limit, l.Rate, l.Demand, l.IsolatedRate, l.Floor,
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
		fmt.Fprintf(w, "%s\t%s\t%v\t%d\t%s\t%d\t%s\t%d\t%s\n", l.Name, l.Addr, l.Connected, l.Sent, ago(l.AckedS), l.Received,
			ago(l.ReceivedS), l.Dropped, l.Fault)
	}
	return nil
}
