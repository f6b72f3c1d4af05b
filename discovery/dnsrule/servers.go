package dnsrule

import (
	"cmp"
	"slices"
	"time"
)

// Servers determines the order in which to ask name servers: as listed, with those that failed
// recently last and, of these, the one whose avoidance ends first before the others. It is not safe
// for concurrent use.
type Servers struct {
	state []serverState
	// avoid is how long a server is avoided after a failure. It doubles with each failure in a row,
	// up to avoidMax.
	avoid, avoidMax time.Duration
}

type serverState struct {
	failures   int
	avoidUntil time.Time
}

// NewServers returns the order of n servers.
func NewServers(n int, avoid, avoidMax time.Duration) *Servers {
	return &Servers{state: make([]serverState, n), avoid: avoid, avoidMax: avoidMax}
}

// Order returns the indices of all servers, the first to ask first. Servers that failed are
// included, as they may be the only ones that work.
func (s *Servers) Order(now time.Time) []int {
	out := make([]int, len(s.state))
	for i := range out {
		out[i] = i
	}
	slices.SortStableFunc(out, func(a, b int) int {
		x, y := s.state[a].avoidUntil, s.state[b].avoidUntil
		xBad, yBad := x.After(now), y.After(now)
		switch {
		case xBad && yBad:
			return x.Compare(y)
		case xBad != yBad:
			if xBad {
				return 1
			}
			return -1
		}
		return cmp.Compare(a, b)
	})
	return out
}

// Succeeded records that a server has answered.
func (s *Servers) Succeeded(i int) { s.state[i] = serverState{} }

// Failed records that a server has not answered, or not usefully.
func (s *Servers) Failed(i int, now time.Time) {
	st := &s.state[i]
	st.failures++
	wait := s.avoid << min(st.failures-1, 16)
	st.avoidUntil = now.Add(min(wait, s.avoidMax))
}
