// Package attempts determines which of a fleet's budgets an attempt is spent from: attempts at a
// worker that has only just started are spent from that worker's budget, and repeats after a
// failure from the budget for repeats. All routers share each budget, so that neither a cold worker
// nor a fleet under stress is overloaded by many routers that each send little.
//
// A worker is cold from the time when this router first learns of its start, by the router's own
// monotonic clock, so a difference between the wall clocks makes no worker warm. Only for the
// workers that a router finds listed when it starts is the wall clock used, since all of them would
// count as cold otherwise.
//
// The package does no I/O and starts no goroutines; both clocks are arguments. Rules are not safe
// for concurrent use.
package attempts

import (
	"fmt"
	"maps"
	"time"
)

// Time is a reading of the caller's monotonic clock from an arbitrary start.
type Time time.Duration

// maxCold bounds the number of budgets for cold workers. Workers that start beyond it have no
// shared budget: there are many of them, and each router limits them by itself.
const maxCold = 4096

// Config holds the limits, over all routers.
type Config struct {
	// The front that the workers belong to; part of the budgets' names.
	Front            string
	RepeatsPerSecond float64       // 0: not bounded
	ColdPerSecond    float64       // attempts to one cold worker; 0: not bounded
	WarmWithin       time.Duration // how long a worker is cold
}

// Worker is an entry of the list of workers.
type Worker struct {
	Name    string
	Since   int64 // wall clock of its latest start in nanoseconds; 0: long ago
	Removed bool
}

// Rules determines the budgets of one front.
type Rules struct {
	cfg     Config
	started bool
	known   map[string]int64 // the known start of each worker
	cold    map[string]cold  // by worker
}

type cold struct {
	since int64
	until Time
}

// New returns rules without workers.
func New(cfg Config) *Rules {
	return &Rules{cfg: cfg, known: map[string]int64{}, cold: map[string]cold{}}
}

// UpdateWorkers updates the workers from a whole list or from changes to it, received at now, which
// is wall by the wall clock. It reports whether the budgets have changed.
func (r *Rules) UpdateWorkers(workers []Worker, whole bool, wall int64, now Time) bool {
	if r.cfg.ColdPerSecond <= 0 || r.cfg.WarmWithin <= 0 {
		return false
	}
	changed := r.expire(now)
	if whole {
		listed := make(map[string]bool, len(workers))
		for _, w := range workers {
			listed[w.Name] = !w.Removed
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
		case w.Removed:
			changed = r.drop(w.Name) || changed
			continue
		case ok && since == w.Since:
			continue
		}
		r.known[w.Name] = w.Since
		left := r.cfg.WarmWithin
		if !r.started { // listed at this router's start: only the wall clock gives its age
			left -= time.Duration(max(wall-w.Since, 0))
		}
		if _, was := r.cold[w.Name]; was {
			delete(r.cold, w.Name)
			changed = true
		}
		if w.Since > 0 && left > 0 && len(r.cold) < maxCold {
			r.cold[w.Name] = cold{w.Since, now + Time(left)}
			changed = true
		}
	}
	r.started = r.started || whole || len(r.known) > 0
	return changed
}

func (r *Rules) drop(name string) bool {
	_, was := r.cold[name]
	delete(r.known, name)
	delete(r.cold, name)
	return was
}

// expire removes the workers that are warm by now, and reports whether there were any.
func (r *Rules) expire(now Time) bool {
	n := len(r.cold)
	maps.DeleteFunc(r.cold, func(_ string, c cold) bool { return now >= c.until })
	return len(r.cold) != n
}

// ColdPrefix is the common prefix of the names of all budgets of this front's cold workers.
func (r *Rules) ColdPrefix() string { return "cold/" + r.cfg.Front + "/" }

// RepeatsKey is the name of the budget for repeated attempts.
func (r *Rules) RepeatsKey() string { return "repeats/" + r.cfg.Front }

func (r *Rules) key(name string, since int64) string {
	return fmt.Sprintf("%s%s@%d", r.ColdPrefix(), name, since)
}

// ColdLimits returns the limits of the cold workers' budgets by name, and reports whether any has
// expired since the last call. Each start of a worker has a budget of its own: loans for the
// previous start can't be used for it.
func (r *Rules) ColdLimits(now Time) (limits map[string]float64, changed bool) {
	changed = r.expire(now)
	limits = make(map[string]float64, len(r.cold))
	for name, c := range r.cold {
		limits[r.key(name, c.since)] = r.cfg.ColdPerSecond
	}
	return limits, changed
}

// Refusal is the reason why an attempt must not be sent.
type Refusal uint8

// The reasons for a refusal.
const (
	None      Refusal = iota
	TooCold           // not to this worker now, but another may get it
	NoRepeats         // no repeat may be sent to any worker now
)

// Spend spends an attempt from the budgets that apply to it. It calls spend, which reports whether
// the budget had enough left. The cold worker's budget comes first: if it is exhausted, the attempt
// goes to another worker without using up a repeat.
func (r *Rules) Spend(worker string, repeat bool, now Time, spend func(key string) bool) Refusal {
	if c, ok := r.cold[worker]; ok && now < c.until && !spend(r.key(worker, c.since)) {
		return TooCold
	}
	if repeat && r.cfg.RepeatsPerSecond > 0 && !spend(r.RepeatsKey()) {
		return NoRepeats
	}
	return None
}
