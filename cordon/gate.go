package cordon

import (
	"maps"
	"slices"
	"sync"

	"lichenshelf/logic"
	"lichenshelf/router"
)

// Gate stands between a list of workers and its taker. It keeps each worker's last
// line, and hands on those that get only a part of their traffic: as draining where
// that is 0, with less weight where it is less than 1. It is safe for use from any
// goroutine.
type Gate struct {
	next Taker

	mu    sync.Mutex
	last  map[string]router.Member
	parts map[string]float64 // of the workers that do not get all
}

// NewGate returns a gate before next through which all goes.
func NewGate(next Taker) *Gate {
	return &Gate{next: next, last: map[string]router.Member{}, parts: map[string]float64{}}
}

// Discovered implements Taker.
func (g *Gate) Discovered(members []router.Member, whole bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if whole { // who is not on it has gone, and must not come back by a change here
		for name, m := range g.last {
			m.Health = logic.Gone
			g.last[name] = m
		}
	}
	handed := make([]router.Member, len(members))
	for i, m := range members {
		g.last[m.Name] = m
		handed[i] = g.apply(m)
	}
	g.next.Discovered(handed, whole)
}

func (g *Gate) apply(m router.Member) router.Member {
	part, ok := g.parts[m.Name]
	switch {
	case !ok || m.Health != logic.Ready:
	case part <= 0:
		m.Health = logic.Draining
	case m.Weight > 0:
		m.Weight *= part
	default:
		m.Weight = part
	}
	return m
}

// Known tells whether a list ever held the worker.
func (g *Gate) Known(name string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, ok := g.last[name]
	return ok
}

// Lines returns the last lines of all workers that have not gone.
func (g *Gate) Lines() []router.Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []router.Member
	for _, name := range slices.Sorted(maps.Keys(g.last)) {
		if m := g.last[name]; m.Health != logic.Gone {
			out = append(out, m)
		}
	}
	return out
}

// Set says which part each worker gets that does not get all, and hands on the lines
// that this changes.
func (g *Gate) Set(parts map[string]float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	var changed []string
	for name, part := range parts {
		if was, ok := g.parts[name]; !ok || was != part {
			changed = append(changed, name)
		}
	}
	for name := range g.parts {
		if _, ok := parts[name]; !ok {
			changed = append(changed, name)
		}
	}
	g.parts = maps.Clone(parts)
	var members []router.Member
	for _, name := range slices.Sorted(slices.Values(changed)) {
		if m, ok := g.last[name]; ok && m.Health != logic.Gone {
			members = append(members, g.apply(m))
		}
	}
	if len(members) > 0 {
		g.next.Discovered(members, false)
	}
}
