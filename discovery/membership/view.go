package membership

import (
	"slices"
	"strings"
	"time"
)

// SourceView is what is known of a source.
type SourceView struct {
	Name     string
	Spoken   bool      // it has been heard since the start
	LastWord time.Time // when it was heard last
	Stale    bool      // it has failed, or said nothing for too long
	Expired  bool      // and its list no longer holds anybody
	Fault    string    // what went wrong last
	Version  uint64
	Workers  int // that it lists
	Held     int // of these, that its last answer left out
	Damped   int
	Priority int // in use, with workers in service; -1 without
}

// Sources is what is known of all sources, by precedence.
func (s *Set) Sources() []SourceView {
	var out []SourceView
	for _, src := range s.sources {
		v := SourceView{Name: src.Name, Spoken: src.spoken, LastWord: src.lastWord, Stale: !src.failed.IsZero(),
			Expired: src.expired, Fault: src.fault, Version: src.version, Workers: src.live, Damped: src.damped, Priority: -1}
		if src.best != noPriority {
			v.Priority = src.best
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

// WorkerView is a worker that some source knows of, in or out.
type WorkerView struct {
	Name   string
	In     bool
	Member Member // if In
	Reason Reason
	By     string // the source that decided, or the name that shadows it
	Words  []WordView
	// Conflict names the addresses that sources disagree on.
	Conflict []string
}

// WordView is one source's word on a worker.
type WordView struct {
	Source string
	Entry  Entry
	At     time.Time // when it was first said
	Held   bool      // the last answer left the worker out
	Damped bool
	Stale  bool
}

// Workers explains every worker that a source knows of, by name.
func (s *Set) Workers() []WorkerView {
	var out []WorkerView
	for _, w := range s.workers {
		v := WorkerView{Name: w.label(), In: w.in, Reason: w.reason, By: w.by}
		if w.in {
			v.Member = w.out
		}
		var at []string
		for _, l := range w.listings {
			v.Words = append(v.Words, WordView{Source: l.src.Name, Entry: l.entry, At: l.at, Held: l.held,
				Damped: l.damped, Stale: !l.src.failed.IsZero()})
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
