package dnssrv

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"lichenshelf/discovery/dnsrule"
	"lichenshelf/discovery/membership"
)

// Sink takes what a source has to say.
type Sink interface {
	Report(membership.Report)
	Fail(error)
	// Warn takes what is odd but stops nothing.
	Warn(error)
}

// Finder looks the name up; Resolver is one.
type Finder interface {
	Lookup(context.Context) (dnsrule.Result, error)
}

// Source follows a name.
type Source struct {
	finder   Finder
	schedule *dnsrule.Schedule
	// Template gives what DNS does not tell of a worker.
	template membership.Entry
}

// NewSource returns a source. The numbers drawn from rng spread its questions.
func NewSource(f Finder, times dnsrule.Lifetimes, template membership.Entry, rng *rand.Rand) *Source {
	return &Source{finder: f, schedule: dnsrule.NewSchedule(times, rng), template: template}
}

// Run follows the name until ctx ends; nothing is told after that.
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
				sink.Warn(fmt.Errorf("target %s: what was known of it stays: %w", target, fault))
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
	out := membership.Report{Whole: true, Final: r.Closed}
	for i, e := range r.Endpoints {
		entry := s.template
		entry.Addr, entry.Priority, entry.Weight = e.Addr.String(), e.Priority, weights[i]
		out.Entries = append(out.Entries, entry)
	}
	return out
}
