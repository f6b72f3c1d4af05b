package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"lichenshelf/fleet/audit"
	"lichenshelf/fleet/eventlog"
)

// errBreach is returned by a check that found breaches, so that the exit code is 1.
var errBreach = errors.New("breaches were found")

// auditCommand evaluates the event logs of several routers.
func auditCommand() *cli.Command {
	sub := func(name, usage, args string, ownArgs int, do func(w io.Writer, ownArgs []string, trails []audit.Trail) error) *cli.Command {
		return &cli.Command{Name: name, Usage: usage, ArgsUsage: args + "DIR...", Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() <= ownArgs {
				return fmt.Errorf("audit %s takes %sDIR..., one directory for each router", name, args)
			}
			trails, err := eventlog.ReadAll(c.Args().Slice()[ownArgs:])
			if err != nil {
				return fmt.Errorf("audit %s: %w", name, err)
			}
			return do(c.Root().Writer, c.Args().Slice()[:ownArgs], trails)
		}}
	}
	return &cli.Command{Name: "audit", Usage: "check from routers' event logs (trails) which versions they acted on and acknowledged",
		Commands: []*cli.Command{
			collectCommand(),
			sub("check", "check the rules; prints a line for each breach and then exits with code 1", "", 0, func(w io.Writer, _ []string, trails []audit.Trail) error {
				breaches := audit.Check(trails)
				for _, b := range breaches {
					if _, err := fmt.Fprintln(w, b); err != nil {
						return err
					}
				}
				if len(breaches) > 0 {
					return fmt.Errorf("%w: %d", errBreach, len(breaches))
				}
				n := 0
				for _, t := range trails {
					n += len(t.Entries)
				}
				_, err := fmt.Fprintf(w, "%d records of %d routers: no breach\n", n, len(trails))
				return err
			}),
			sub("timeline", "print all records in an order consistent with that of every router", "", 0, func(w io.Writer, _ []string, trails []audit.Trail) error {
				return printSteps(w, audit.Timeline(trails), func(audit.Step) bool { return true })
			}),
			sub("worker", "print the records of one worker", "NAME ", 1, func(w io.Writer, ownArgs []string, trails []audit.Trail) error {
				return printSteps(w, audit.Timeline(trails), func(s audit.Step) bool { return s.Worker == ownArgs[0] })
			}),
			sub("request", "print the failures of one request", "NAME ", 1, func(w io.Writer, ownArgs []string, trails []audit.Trail) error {
				return printSteps(w, audit.Timeline(trails), func(s audit.Step) bool { return s.Request == ownArgs[0] })
			}),
			sub("who", "print which routers took, acknowledged or refused a version of a part, and what they sent under it", "PART VERSION ", 2, printWho),
			sub("lag", "print by how many versions each router lags behind the newest, now and at its sends", "", 0, func(w io.Writer, _ []string, trails []audit.Trail) error {
				if err := printLags(w, trails); err != nil {
					return err
				}
				return printLagSummary(w, trails)
			}),
		}}
}

func printSteps(w io.Writer, steps []audit.Step, include func(audit.Step) bool) error {
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, "ORDER\tROUTER\tAT\tWHAT\tOF\tNUMBER\tDETAIL\tPLACE")
	for _, s := range steps {
		if !include(s) {
			continue
		}
		of, detail := s.Part, s.Text
		if s.Part != "" {
			of += " " + strconv.FormatUint(s.Version, 10)
		}
		switch s.Kind {
		case audit.Sent:
			of, detail = s.Worker, fmt.Sprintf("%d until %.3f s", s.Count, s.Until.Seconds())
		case audit.Failed:
			of, detail = s.Worker, s.Request+": "+s.Text
		case audit.Out:
			of, detail = s.Worker, "within "+s.Window.String()
		case audit.Back:
			of = s.Worker
		case audit.Lent, audit.Borrowed:
			of, detail = s.Part, fmt.Sprintf("%g a second with %s for %v", s.Amount, s.Peer, s.Window.Round(time.Millisecond))
		case audit.Returned:
			of, detail = s.Part, fmt.Sprintf("%s uses %g a second at most", s.Peer, s.Amount)
		}
		fmt.Fprintf(t, "%d\t%s\t%.3f s\t%s\t%s\t%d\t%s\t%s\n", s.Order, s.TrailRouter, s.At.Seconds(), s.Kind, of, s.Number, detail, s.Place)
	}
	return t.Flush()
}

func printWho(w io.Writer, args []string, trails []audit.Trail) error {
	v, err := strconv.ParseUint(args[1], 10, 64)
	if err != nil {
		return fmt.Errorf("audit who: version %q is not a number", args[1])
	}
	holders := audit.Holders(trails, args[0], v)
	if len(holders) == 0 {
		return fmt.Errorf("audit who: no event log contains version %d of %s", v, args[0])
	}
	when := func(e *audit.Entry) string {
		if e == nil {
			return "-"
		}
		return fmt.Sprintf("%.3f s", e.At.Seconds())
	}
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, "ROUTER\tTAKEN\tACKNOWLEDGED\tREFUSED\tSENT UNDER IT")
	for _, h := range holders {
		refused := when(h.Refused)
		if h.Refused != nil {
			refused += ": " + h.Refused.Text
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\n", h.Router, when(h.Taken), when(h.Acknowledged), refused, h.Sends)
	}
	return t.Flush()
}

func printLags(w io.Writer, trails []audit.Trail) error {
	latest, lags := audit.Lags(trails)
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, "ROUTER\tPART\tNEWEST\tBEHIND")
	for _, router := range slices.Sorted(maps.Keys(lags)) {
		for _, part := range slices.Sorted(maps.Keys(latest)) {
			fmt.Fprintf(t, "%s\t%s\t%d\t%d\n", router, part, latest[part], lags[router][part])
		}
	}
	return t.Flush()
}
