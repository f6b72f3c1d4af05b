package dnsrule

import (
	"cmp"
	"slices"
	"time"
)

// Servers says in which order to ask name servers: as they are listed, those
// that failed lately last, of these the one that failed longest ago first. It is
// not safe for concurrent use.
type Servers struct {
	state []serverState
	// avoid is how long a failure counts; it doubles with each in a row.
	avoid, avoidMax time.Duration
}

type serverState struct {
	fails int
	until time.Time // avoided until then
}

// NewServers returns the order of n servers.
func NewServers(n int, avoid, avoidMax time.Duration) *Servers {
	return &Servers{state: make([]serverState, n), avoid: avoid, avoidMax: avoidMax}
}

// Order is the numbers of the servers, the first to ask first. All are in it: one
// that has failed may be the only one that works.
func (s *Servers) Order(now time.Time) []int {
	out := make([]int, len(s.state))
	for i := range out {
		out[i] = i
	}
	slices.SortStableFunc(out, func(a, b int) int {
		x, y := s.state[a].until, s.state[b].until
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

// Worked notes that a server has answered.
func (s *Servers) Worked(i int) { s.state[i] = serverState{} }

// Failed notes that a server has not, or not usefully.
func (s *Servers) Failed(i int, now time.Time) {
	st := &s.state[i]
	st.fails++
	wait := s.avoid << min(st.fails-1, 16)
	st.until = now.Add(min(wait, s.avoidMax))
}
