package membership

import (
	"slices"
	"strings"
	"time"
)

// SourceView is the state of a source.
type SourceView struct {
	Name       string
	Reported   bool      // it has sent a report since the start
	LastReport time.Time // when the last report was received
	Stale      bool      // it has failed or has been silent for too long
	Expired    bool      // it has been stale for too long, so its list does not count
	Fault      string    // the last failure
	Version    uint64
	Workers    int // the workers that it lists
	Held       int // of these, those that its last report left out
	Damped     int
	Priority   int // in use; -1 if no worker is in service
}

// Sources returns the state of all sources, by precedence.
func (s *Set) Sources() []SourceView {
	var out []SourceView
	for _, src := range s.sources {
		v := SourceView{Name: src.Name, Reported: src.reported, LastReport: src.lastReport, Stale: !src.failedAt.IsZero(),
			Expired: src.expired, Fault: src.fault, Version: src.version, Workers: src.live, Damped: src.damped, Priority: -1}
		if src.bestPriority != noPriority {
			v.Priority = src.bestPriority
		}
		for _, l := range src.listings {
			if l.held {
				v.Held++
			}
		}
		out = append(out, v)
	}
	return out
}

// WorkerView is a worker that at least one source has listed, served or not.
type WorkerView struct {
	Name     string
	Served   bool
	Member   Member // if Served
	Reason   Reason
	By       string // the source that decided, or the name that shadows it
	Listings []ListingView
	// Conflict holds the differing addresses that sources list.
	Conflict []string
}

// ListingView is one source's entry for a worker.
type ListingView struct {
	Source string
	Entry  Entry
	At     time.Time // when the status was first reported
	Held   bool      // the last report left the worker out
	Damped bool
	Stale  bool
}

// Workers returns every worker known from a source, by name, with the entries that decide its
// state.
func (s *Set) Workers() []WorkerView {
	var out []WorkerView
	for _, w := range s.workers {
		v := WorkerView{Name: w.label(), Served: w.served, Reason: w.reason, By: w.decidedBy}
		if w.served {
			v.Member = w.member
		}
		var at []string
		for _, l := range w.listings {
			v.Listings = append(v.Listings, ListingView{Source: l.src.Name, Entry: l.entry, At: l.statusSince, Held: l.held,
				Damped: l.damped, Stale: !l.src.failedAt.IsZero()})
			if l.isLive() && !slices.Contains(at, l.entry.Addr) {
				at = append(at, l.entry.Addr)
			}
		}
		if len(at) > 1 {
			v.Conflict = at
		}
		out = append(out, v)
	}
	slices.SortFunc(out, func(a, b WorkerView) int { return strings.Compare(a.Name, b.Name) })
	return out
}
