package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os/signal"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"lichenshelf/discovery/membership"
	"lichenshelf/discovery/sources"
	"lichenshelf/internal/daemon"
)

// coalesceDelay is how long changes are collected before the set is printed again.
const coalesceDelay = 100 * time.Millisecond

func membersCommand(log *logrus.Logger, common []cli.Flag) *cli.Command {
	return &cli.Command{
		Name:  "members",
		Usage: "query the sources, as a router would, and show the workers and why each is in or out",
		Flags: append([]cli.Flag{
			&cli.StringFlag{Name: "front", Value: sources.ModelAPI, Usage: "whose workers: `FRONT` is modelapi or platform"},
			&cli.BoolFlag{Name: "watch", Usage: "keep running and show the set again at each change"},
			&cli.BoolFlag{Name: "json", Usage: "print one JSON object per line"},
			&cli.DurationFlag{Name: "wait", Value: 10 * time.Second, Usage: "how long to wait for sources that have not reported"},
		}, common...),
		Action: func(ctx context.Context, c *cli.Command) error {
			ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			log.SetLevel(logrus.WarnLevel) // the printed set itself shows changes
			if c.IsSet("log-level") {
				if err := setLevel(log, c); err != nil {
					return err
				}
			}
			feed, err := daemon.StartSources(ctx, c.String("front"), files(c), log)
			if err != nil {
				return err
			}
			return showMembers(ctx, c.Root().Writer, feed, c.Bool("watch"), c.Bool("json"), c.Duration("wait"))
		},
	}
}

// showMembers prints the set once all sources have reported or failed, or the wait is over.
func showMembers(ctx context.Context, w io.Writer, feed *sources.Feed, watch, asJSON bool, wait time.Duration) error {
	deadline := time.After(wait)
	for settled := false; ; {
		from, workers, changed := feed.View()
		if settled || allReported(from) {
			settled = true
			v := newView(time.Now(), from, workers)
			if err := v.print(w, asJSON); err != nil {
				return fmt.Errorf("show members: %w", err)
			}
			if !watch {
				return nil
			}
		}
		select {
		case <-changed:
			select {
			case <-time.After(coalesceDelay):
			case <-ctx.Done():
			}
		case <-deadline:
			settled = true
		case <-ctx.Done():
		}
		if ctx.Err() != nil {
			return nil
		}
	}
}

func allReported(from []membership.SourceView) bool {
	for _, s := range from {
		if !s.Reported && !s.Stale {
			return false
		}
	}
	return true
}

// view is the printed form of the set.
type view struct {
	At      time.Time    `json:"at"`
	Sources []sourceView `json:"sources"`
	Workers []workerView `json:"workers"`
}

type sourceView struct {
	Name     string `json:"name"`
	State    string `json:"state"`  // waiting, good, stale or expired
	AgeMs    int64  `json:"age_ms"` // since its last report; -1: none yet
	Workers  int    `json:"workers"`
	Held     int    `json:"held"`
	Damped   int    `json:"damped"`
	Priority int    `json:"priority"`
	Fault    string `json:"fault,omitempty"`
}

type workerView struct {
	Name     string       `json:"name"`
	Addr     string       `json:"addr,omitempty"`
	State    string       `json:"state"` // serving, draining or out
	Reason   string       `json:"reason"`
	By       string       `json:"by,omitempty"`
	Weight   float64      `json:"weight,omitempty"`
	Cell     int          `json:"cell"`
	SinceMs  int64        `json:"since_ms"`
	Conflict []string     `json:"conflict,omitempty"` // the conflicting addresses
	Reports  []reportView `json:"words"`
}

type reportView struct {
	Source string `json:"source"`
	Status string `json:"word"`
	Addr   string `json:"addr,omitempty"`
	AgeMs  int64  `json:"age_ms"`
	Held   bool   `json:"held,omitempty"`
	Damped bool   `json:"damped,omitempty"`
	Stale  bool   `json:"stale,omitempty"`
}

func newView(now time.Time, from []membership.SourceView, workers []membership.WorkerView) view {
	v := view{At: now, Sources: []sourceView{}, Workers: []workerView{}}
	for _, s := range from {
		o := sourceView{Name: s.Name, State: "good", Workers: s.Workers, Held: s.Held, Damped: s.Damped, Priority: s.Priority, Fault: s.Fault}
		switch {
		case s.Expired:
			o.State = "expired"
		case s.Stale:
			o.State = "stale"
		case !s.Reported:
			o.State = "waiting"
		}
		o.AgeMs = -1
		if s.Reported {
			o.AgeMs = now.Sub(s.LastReport).Milliseconds()
		}
		v.Sources = append(v.Sources, o)
	}
	for _, m := range workers {
		o := workerView{Name: m.Name, State: "out", Reason: m.Reason.String(), By: m.By, Conflict: m.Conflict}
		if m.Served {
			o.State = "serving"
			if m.Member.Draining {
				o.State = "draining"
			}
			o.Addr, o.Weight, o.Cell, o.SinceMs = m.Member.Addr, m.Member.Weight, m.Member.Cell, m.Member.Since/1e6
		}
		for _, l := range m.Listings {
			o.Reports = append(o.Reports, reportView{Source: l.Source, Status: l.Entry.Status.String(), Addr: l.Entry.Addr,
				AgeMs: now.Sub(l.At).Milliseconds(), Held: l.Held, Damped: l.Damped, Stale: l.Stale})
		}
		v.Workers = append(v.Workers, o)
	}
	return v
}

func (v view) print(w io.Writer, asJSON bool) error {
	if asJSON {
		return json.NewEncoder(w).Encode(v)
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	var out strings.Builder
	fmt.Fprintf(&out, "SOURCE\tSTATE\tLAST WORD\tWORKERS\tHELD\tDAMPED\tLAST FAULT\n")
	for _, s := range v.Sources {
		age := "never"
		if s.AgeMs >= 0 {
			age = (time.Duration(s.AgeMs) * time.Millisecond).Round(100 * time.Millisecond).String()
		}
		fmt.Fprintf(&out, "%s\t%s\t%s\t%d\t%d\t%d\t%s\n", s.Name, s.State, age, s.Workers, s.Held, s.Damped, strings.ReplaceAll(s.Fault, "\n", "; "))
	}
	fmt.Fprintf(&out, "\nWORKER\tSTATE\tADDRESS\tWHY\tWHO SAYS WHAT\n")
	for _, m := range v.Workers {
		why := m.Reason
		if m.By != "" {
			why += " (" + m.By + ")"
		}
		if len(m.Conflict) > 0 {
			why += ", listed at " + strings.Join(m.Conflict, " and ")
		}
		var reports []string
		for _, x := range m.Reports {
			report := x.Source + ": " + x.Status
			for _, mark := range []struct {
				set  bool
				text string
			}{{x.Held, " held"}, {x.Damped, " damped"}, {x.Stale, " stale"}} {
				if mark.set {
					report += mark.text
				}
			}
			reports = append(reports, report)
		}
		fmt.Fprintf(&out, "%s\t%s\t%s\t%s\t%s\n", m.Name, m.State, m.Addr, why, strings.Join(reports, ", "))
	}
	if _, err := io.WriteString(t, out.String()); err != nil {
		return err
	}
	return t.Flush()
}

func setLevel(log *logrus.Logger, c *cli.Command) error {
	level, err := logrus.ParseLevel(c.String("log-level"))
	if err != nil {
		return fmt.Errorf("log level: %w", err)
	}
	log.SetLevel(level)
	return nil
}
