package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strings"

	"github.com/urfave/cli/v3"

	"lichenshelf/fleet/agent"
	"lichenshelf/fleet/solver"
)

// zoneCommand shows the traffic between zones as seen by a running router, drains zones and returns
// them.
func zoneCommand() *cli.Command {
	at := &cli.StringFlag{Name: "operator", Usage: "the router's operator `ADDRESS`, as its fleet.toml names it; it informs the others", Required: true}
	force := &cli.BoolFlag{Name: "force", Usage: "drain even the last usable zone, whose traffic would all be shed"}
	dry := &cli.BoolFlag{Name: "dry-run", Usage: "print where traffic would go, and change nothing"}
	call := func(ctx context.Context, c *cli.Command, name, verb string) error {
		_, err := operate(ctx, http.MethodPost, "http://"+c.String("operator")+"/v1/fleet/zone/"+name+"/"+verb)
		return err
	}
	one := func(c *cli.Command) (string, error) {
		if c.Args().Len() != 1 {
			return "", fmt.Errorf("zone %s: %d names given, one is needed", c.Name, c.Args().Len())
		}
		return url.PathEscape(c.Args().First()), nil
	}
	return &cli.Command{Name: "zone", Usage: "show the traffic between zones, drain zones and return them", Commands: []*cli.Command{
		{Name: "show", Usage: "show the zones, the map of traffic, and the reason for it", Flags: []cli.Flag{at}, Action: func(ctx context.Context, c *cli.Command) error {
			return show(ctx, c, "zones", showZones)
		}},
		{Name: "drain", Usage: "drain a zone: no new requests are sent there", ArgsUsage: "NAME", Flags: []cli.Flag{at, force, dry}, Action: func(ctx context.Context, c *cli.Command) error {
			name, err := one(c)
			if err != nil {
				return err
			}
			if c.Bool("dry-run") {
				return show(ctx, c, "zone/"+name, showPlan(c.Args().First()))
			}
			verb := "drain"
			if c.Bool("force") {
				verb = "force"
			}
			return call(ctx, c, name, verb)
		}},
		{Name: "return", Usage: "return a zone to service: its share grows gradually", ArgsUsage: "NAME", Flags: []cli.Flag{at}, Action: func(ctx context.Context, c *cli.Command) error {
			name, err := one(c)
			if err != nil {
				return err
			}
			return call(ctx, c, name, "return")
		}},
	}}
}

func showZones(w io.Writer, text []byte) error {
	var p agent.ZonesPage
	if err := json.Unmarshal(text, &p); err != nil {
		return err
	}
	fmt.Fprintln(w, "ZONE\tSTATE\tMAY BE USED\tFOR\tCUT OFF FROM\tWHY")
	for _, z := range p.Zones {
		cut := "-"
		if len(z.Cut) > 0 {
			cut = strings.Join(z.Cut, ", ")
		}
		fmt.Fprintf(w, "%s\t%s\t%.0f%%\t%.1f s\t%s\t%s\n", z.Name, z.State, 100*z.Level, z.SinceS, cut, z.Why)
	}
	if p.Map == nil {
		_, err := fmt.Fprintln(w, "no map yet: traffic stays near")
		return err
	}
	fmt.Fprintf(w, "\nmap %d of %s, renewed %.1f s ago: %s\n", p.Map.Epoch, p.Map.By, p.AgeS, p.Map.Why)
	header, rows := append([]string{"ENTERS"}, p.Map.Zones...), p.Map.Read
	fmt.Fprintln(w, strings.Join(header, "\t")+"\tSHED")
	for i, name := range p.Map.Zones {
		fmt.Fprintf(w, "%s\t%s\n", name, formatShares(rows[i]))
	}
	fmt.Fprintf(w, "this router\t%s\n", formatShares(p.Shares))
	return nil
}

// formatShares returns shares as percentages, and last the percentage that is missing to the whole.
func formatShares(shares []float64) string {
	var out []string
	left := 1.0
	for _, s := range shares {
		out = append(out, fmt.Sprintf("%.0f%%", 100*s))
		left -= s
	}
	return strings.Join(append(out, fmt.Sprintf("%.0f%%", 100*max(left, 0))), "\t")
}

func showPlan(zone string) func(io.Writer, []byte) error {
	return func(w io.Writer, text []byte) error {
		var p solver.Plan
		if err := json.Unmarshal(text, &p); err != nil {
			return err
		}
		fmt.Fprintf(w, "without %s: %.1f%% of all traffic is read in another zone than it comes in, %.1f%% moves\n", zone, 100*p.Far, 100*p.Moved)
		if !p.Feasible() {
			fmt.Fprintf(w, "NOT ALL OF IT FITS: up to %.0f%% of an entry's traffic is shed\n", 100*slices.Max(p.Shed))
		}
		return nil
	}
}
