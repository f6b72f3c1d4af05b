package dnssrv

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"lichenshelf/discovery/dnsrule"
	"lichenshelf/discovery/membership"
)

// Sink receives the reports of a source.
type Sink interface {
	Report(membership.Report)
	Fail(error)
	// Warn receives a problem that does not stop the source.
	Warn(error)
}

// Finder looks up the name. Resolver implements it.
type Finder interface {
	Lookup(context.Context) (dnsrule.Result, error)
}

// Source follows a name.
type Source struct {
	finder   Finder
	schedule *dnsrule.Schedule
	// template holds the values that DNS does not state.
	template membership.Entry
}

// NewSource returns a source. It draws the times of its queries from rng.
func NewSource(f Finder, times dnsrule.Lifetimes, template membership.Entry, rng *rand.Rand) *Source {
	return &Source{finder: f, schedule: dnsrule.NewSchedule(times, rng), template: template}
}

// Run follows the name until ctx ends. It reports nothing after that.
func (s *Source) Run(ctx context.Context, sink Sink) {
	var last dnsrule.Result
	for ctx.Err() == nil {
		r, err := s.finder.Lookup(ctx)
		if ctx.Err() != nil {
			return
		}
		var wait time.Duration
		if err != nil {
			sink.Fail(err)
			wait = s.schedule.AfterFailure()
		} else {
			for target, fault := range r.Unknown {
				sink.Warn(fmt.Errorf("target %s: keeping its known addresses: %w", target, fault))
			}
			for _, target := range r.WithoutAddress {
				sink.Warn(fmt.Errorf("target %s has no address", target))
			}
			last = r.KeepUnknown(last)
			sink.Report(s.report(last))
			wait = s.schedule.AfterAnswer(r.TTL, r.Missing || r.Closed, len(r.Unknown) == 0)
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
}

func (s *Source) report(r dnsrule.Result) membership.Report {
	weights := dnsrule.Weights(r.Endpoints)
	out := membership.Report{Whole: true, Confirmed: r.Closed}
	for i, e := range r.Endpoints {
		entry := s.template
		entry.Addr, entry.Priority, entry.Weight = e.Addr.String(), e.Priority, weights[i]
		out.Entries = append(out.Entries, entry)
	}
	return out
}
