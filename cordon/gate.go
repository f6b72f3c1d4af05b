package cordon

import (
	"maps"
	"slices"
	"sync"

	"lichenshelf/logic"
	"lichenshelf/router"
)

// Gate sits between a source of worker lists and their receiver. It keeps the last state of each
// worker, and forwards workers that get only a share of their traffic: as draining for a share of
// 0, with a reduced weight for a share below 1. It is safe for concurrent use.
type Gate struct {
	next MemberReceiver

	mu     sync.Mutex
	last   map[string]router.Member
	shares map[string]float64 // of the workers with less than their full traffic
}

// NewGate returns a gate in front of next that gives all workers their full traffic.
func NewGate(next MemberReceiver) *Gate {
	return &Gate{next: next, last: map[string]router.Member{}, shares: map[string]float64{}}
}

// Discovered implements MemberReceiver. It forwards the members, adjusted by their shares.
func (g *Gate) Discovered(members []router.Member, whole bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	// Workers missing from a complete list have left, and a later change of shares must not bring
	// them back.
	if whole {
		for name, m := range g.last {
			m.Health = logic.Gone
			g.last[name] = m
		}
	}
	forwarded := make([]router.Member, len(members))
	for i, m := range members {
		g.last[m.Name] = m
		forwarded[i] = g.apply(m)
	}
	g.next.Discovered(forwarded, whole)
}

func (g *Gate) apply(m router.Member) router.Member {
	share, ok := g.shares[m.Name]
	switch {
	case !ok || m.Health != logic.Ready:
	case share <= 0:
		m.Health = logic.Draining
	case m.Weight > 0:
		m.Weight *= share
	default:
		m.Weight = share
	}
	return m
}

// Known reports whether any list has ever contained the worker.
func (g *Gate) Known(name string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, ok := g.last[name]
	return ok
}

// Members returns the last state of all workers that have not left.
func (g *Gate) Members() []router.Member {
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

// Set replaces the shares of the workers with less than their full traffic, and forwards the
// workers whose share changes.
func (g *Gate) Set(shares map[string]float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	var changed []string
	for name, share := range shares {
		if was, ok := g.shares[name]; !ok || was != share {
			changed = append(changed, name)
		}
	}
	for name := range g.shares {
		if _, ok := shares[name]; !ok {
			changed = append(changed, name)
		}
	}
	g.shares = maps.Clone(shares)
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
