// Package attempts says which of a fleet's budgets an attempt is spent from: what goes
// to a worker that has only just started is spent from that worker's budget, and what is
// sent again after a failure from the one for repeats. All routers together share each
// of them, so that neither a cold worker nor a fleet in trouble is pushed over by many
// routers that each send little.
//
// A worker is cold from when this router first hears of its start, by its own monotonic
// clock: another wall clock than the worker's makes nobody warm. Only what a router finds
// listed as it starts goes by the wall clock, since all would be cold otherwise.
//
// The package does no I/O and starts nothing; both clocks are arguments. Rules are not
// safe for concurrent use.
package attempts

import (
	"fmt"
	"maps"
	"time"
)

// Time is a reading of the caller's monotonic clock from an arbitrary start.
type Time time.Duration

// mostCold bounds the budgets of cold workers. Those past it are not bounded by the
// fleet, the latest start first: they are many, and each router bounds them alone.
const mostCold = 4096

// Config holds the limits, over all routers.
type Config struct {
	Front            string        // whose workers these are; part of the budgets' names
	RepeatsPerSecond float64       // 0: not bounded
	ColdPerSecond    float64       // attempts to one cold worker; 0: not bounded
	WarmWithin       time.Duration // a worker is cold for so long
}

// Worker is a line of the list of workers.
type Worker struct {
	Name  string
	Since int64 // wall clock of its latest start in nanoseconds; 0: long ago
	Gone  bool
}

// Rules are those of one front.
type Rules struct {
	cfg   Config
	begun bool
	known map[string]int64 // the start that is known of each worker
	cold  map[string]cold  // by worker
}

type cold struct {
	since int64
	until Time
}

// New returns rules that know no worker.
func New(cfg Config) *Rules {
	return &Rules{cfg: cfg, known: map[string]int64{}, cold: map[string]cold{}}
}

// Listed takes a list of workers, whole or changes to it, heard of at now, which is wall
// by the wall clock. It tells whether the budgets have changed.
func (r *Rules) Listed(workers []Worker, whole bool, wall int64, now Time) bool {
	if r.cfg.ColdPerSecond <= 0 || r.cfg.WarmWithin <= 0 {
		return false
	}
	changed := r.age(now)
	if whole {
		listed := make(map[string]bool, len(workers))
		for _, w := range workers {
			listed[w.Name] = !w.Gone
		}
		for name := range r.known {
			if !listed[name] {
				changed = r.drop(name) || changed
			}
		}
	}
	for _, w := range workers {
		since, ok := r.known[w.Name]
		switch {
		case w.Gone:
			changed = r.drop(w.Name) || changed
			continue
		case ok && since == w.Since:
			continue
		}
		r.known[w.Name] = w.Since
		left := r.cfg.WarmWithin
		if !r.begun { // found as it is: how old it is can be told by the wall clock alone
			left -= time.Duration(max(wall-w.Since, 0))
		}
		if _, was := r.cold[w.Name]; was {
			delete(r.cold, w.Name)
			changed = true
		}
		if w.Since > 0 && left > 0 && len(r.cold) < mostCold {
			r.cold[w.Name] = cold{w.Since, now + Time(left)}
			changed = true
		}
	}
	r.begun = r.begun || whole || len(r.known) > 0
	return changed
}

func (r *Rules) drop(name string) bool {
	_, was := r.cold[name]
	delete(r.known, name)
	delete(r.cold, name)
	return was
}

// age forgets who is warm by now.
func (r *Rules) age(now Time) bool {
	n := len(r.cold)
	maps.DeleteFunc(r.cold, func(_ string, c cold) bool { return now >= c.until })
	return len(r.cold) != n
}

// Prefix begins the names of all budgets of this front's cold workers.
func (r *Rules) Prefix() string { return "cold/" + r.cfg.Front + "/" }

// Repeats is the name of the budget for repeated attempts.
func (r *Rules) Repeats() string { return "repeats/" + r.cfg.Front }

func (r *Rules) key(name string, since int64) string {
	return fmt.Sprintf("%s%s@%d", r.Prefix(), name, since)
}

// Cold returns the limits of the cold workers' budgets by name, and whether they have
// changed with time since they were looked at last. A new start of a worker has a budget
// of its own: what was lent for the one before is of no use to it.
func (r *Rules) Cold(now Time) (limits map[string]float64, changed bool) {
	changed = r.age(now)
	limits = make(map[string]float64, len(r.cold))
	for name, c := range r.cold {
		limits[r.key(name, c.since)] = r.cfg.ColdPerSecond
	}
	return limits, changed
}

// Refusal says why an attempt may not go out.
type Refusal uint8

// Why an attempt may not go out.
const (
	None    Refusal = iota
	TooCold         // this worker must not get it now, another may
	Repeats         // no repeated attempt may go anywhere now
)

// Spend spends an attempt from the budgets that it concerns, by way of spend, which tells
// whether that much was there. The cold worker's comes first: where it has none left the
// attempt goes elsewhere, and a repeat is not lost for it.
func (r *Rules) Spend(worker string, repeat bool, now Time, spend func(key string) bool) Refusal {
	if c, ok := r.cold[worker]; ok && now < c.until && !spend(r.key(worker, c.since)) {
		return TooCold
	}
	if repeat && r.cfg.RepeatsPerSecond > 0 && !spend(r.Repeats()) {
		return Repeats
	}
	return None
}
