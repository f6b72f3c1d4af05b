// Package solver finds where traffic goes: for each entry zone the parts that are read and answered in each zone, so that
// it stays near while that is safe. It is an optimum, not a rule of thumb: first as little as possible is shed, and that of the
// least worth; then as little as possible lies over the safe load; then readers and writers are as near as they can be, their
// pairs together, since a read state over a link between zones is dear; then as little as possible moves from the map before.
//
// The problem is a flow of least cost from classes at entries over readers' zones, links and writers' zones, solved by
// successive shortest paths over whole units, so an answer is exact in units.
//
// The package does no I/O and starts nothing; the same input gives the same output.
package solver

import (
	"errors"
	"fmt"
	"math"
)

// Units is how many parts the whole demand is cut into: shares are exact to one of them.
const Units = 20_000

// Site is the zones as they are now. Loads and capacities are in one unit, such as requests a second of a usual mix.
type Site struct {
	Zones []Zone
	// Room is what may go between readers of the one zone and writers of the other, in both directions each by itself; nil
	// or negative: not bounded. Within a zone it never is.
	Room [][]float64
	// Far is the cost of distance between two zones, 0 to 1: what an entry pays for its readers, and three times of it for its
	// states, which move over that link. Within a zone it is 0.
	Far [][]float64
	// Seen tells which zones an entry's routers can use at all; nil: all.
	Seen   [][]bool
	Demand []Demand
	// Safe is the part of a capacity up to which a zone is loaded while another one has room, over 0 to 1.
	Safe float64
}

// Zone is what a zone can take, warm and as cold as it is.
type Zone struct{ Read, Write float64 }

// Demand is what comes in at an entry, of one class.
type Demand struct {
	Entry int
	Load  float64
	Worth float64 // of a unit, 0 to 1: what is worth least is shed first
}

// Plan says where the traffic of each entry goes.
type Plan struct {
	// Read is, by entry and zone, the part of the entry's traffic that is read there; what is missing to 1 is shed.
	Read [][]float64
	// Write is, by readers' zone and writers' zone, the part of what is read in the one that is answered in the other. It
	// sums to 1 where anything is read.
	Write [][]float64
	Shed  []float64 // by Demand: the part that nothing can take
	Over  float64   // load over the safe part, of reading and answering together
	Far   float64   // part of all load that is read in another zone than its entry's
	Moved float64   // part of all load that is read elsewhere than in the plan before
}

// Feasible tells whether nothing is shed.
func (p *Plan) Feasible() bool {
	for _, s := range p.Shed {
		if s > 0 {
			return false
		}
	}
	return true
}

// ErrSite is what a faulty Site wraps.
var ErrSite = errors.New("traffic solver")

const (
	shedCost  = 1_000_000_000 // and as much again by worth
	worthCost = 1_000_000_000
	overCost  = 1_000_000
	farCost   = 10_000
	stateCost = 3 // times farCost: a state over a link, against a prompt
	moveCost  = 1
)

func (s *Site) check() error {
	n := len(s.Zones)
	bad := func(format string, args ...any) error {
		return fmt.Errorf("%w: %s", ErrSite, fmt.Sprintf(format, args...))
	}
	if !(s.Safe > 0 && s.Safe <= 1) {
		return bad("safe is %v, not over 0 and up to 1", s.Safe)
	}
	for z, c := range s.Zones {
		if !(c.Read >= 0) || !(c.Write >= 0) || math.IsInf(c.Read+c.Write, 0) {
			return bad("zone %d takes %v and %v, not 0 or more", z, c.Read, c.Write)
		}
	}
	for i, d := range s.Demand {
		if d.Entry < 0 || d.Entry >= n || !(d.Load >= 0) || math.IsInf(d.Load, 0) || !(d.Worth >= 0 && d.Worth <= 1) {
			return bad("demand %d is %v at %d of worth %v", i, d.Load, d.Entry, d.Worth)
		}
	}
	if len(s.Far) != n || s.Room != nil && len(s.Room) != n || s.Seen != nil && len(s.Seen) != n {
		return bad("%d zones, but %d rows of far, %d of room, %d of seen", n, len(s.Far), len(s.Room), len(s.Seen))
	}
	for a := range n {
		if len(s.Far[a]) != n || s.Room != nil && len(s.Room[a]) != n || s.Seen != nil && len(s.Seen[a]) != n {
			return bad("row %d of far, room or seen has not %d zones", a, n)
		}
		for b := range n {
			if !(s.Far[a][b] >= 0 && s.Far[a][b] <= 1) || s.Room != nil && math.IsNaN(s.Room[a][b]) {
				return bad("from %d to %d: far %v, not from 0 to 1, or room that is no number", a, b, s.Far[a][b])
			}
		}
	}
	return nil
}

// Solve returns the best plan. Before is the plan that holds, nil for none: among equals the one nearest to it is taken.
func Solve(s Site, before *Plan) (*Plan, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	total := 0.0
	for _, d := range s.Demand {
		total += d.Load
	}
	if zones := len(s.Zones); total == 0 || zones == 0 {
		return &Plan{Read: square(zones), Write: square(zones), Shed: make([]float64, len(s.Demand))}, nil
	}
	net := newNetwork(&s, before, total/Units)
	net.solve(source, net.sink)
	return net.plan(), nil
}

func square(n int) [][]float64 {
	out := make([][]float64, n)
	for i := range out {
		out[i] = make([]float64, n)
	}
	return out
}
