// Package solver computes where traffic goes: for each entry zone the parts that are read and
// answered in each zone, so that traffic stays near while that is safe. The result is optimal, in
// this order: as little as possible is shed, beginning with the lowest value; as little as possible
// exceeds the safe load; readers and writers are as near as possible, and together in one zone,
// since moving a read state over a link between zones is expensive; as little as possible moves
// relative to the previous map.
//
// The problem is a minimum-cost flow from classes at entries over readers' zones, links and
// writers' zones. It is solved by successive shortest paths over integer units, so the result is
// exact to one unit.
//
// The package does no I/O and starts no goroutines; the same input gives the same output.
package solver

import (
	"errors"
	"fmt"
	"math"
)

// Units is the number of units that the whole demand is divided into: shares are exact to one unit.
const Units = 20_000

// Site is the present state of the zones. Loads and capacities share one unit, such as requests per
// second of a usual mix.
type Site struct {
	Zones []Zone
	// Room is the capacity between readers of one zone and writers of another, for each direction
	// separately; nil or negative: not bounded. Within a zone it is never bounded.
	Room [][]float64
	// Far is the cost of distance between two zones, 0 to 1: an entry pays it once for its readers,
	// and three times for its read states, which move over that link. Within a zone it is 0.
	Far [][]float64
	// Seen states which zones an entry's routers can reach; nil: all.
	Seen   [][]bool
	Demand []Demand
	// Safe is the part of a capacity up to which a zone is loaded while another one has room,
	// greater than 0 and up to 1.
	Safe float64
}

// Zone is the capacity of a zone's readers and writers at their present warmth.
type Zone struct{ Read, Write float64 }

// Demand is the load of one class at an entry.
type Demand struct {
	Entry int
	Load  float64
	Value float64 // value per unit, 0 to 1: the lowest value is shed first
}

// Plan states where the traffic of each entry goes.
type Plan struct {
	// Read is, by entry and zone, the part of the entry's traffic that is read there; the
	// difference from 1 is shed.
	Read [][]float64
	// Write is, by readers' zone and writers' zone, the part of what is read in the first that is
	// answered in the second. It sums to 1 where anything is read.
	Write [][]float64
	Shed  []float64 // by Demand: the part that no zone can take
	Over  float64   // load beyond the safe part, of reading and answering together
	Far   float64   // part of all load that is read outside its entry's zone
	Moved float64   // part of all load that is read elsewhere than in the previous plan
}

// Feasible reports whether nothing is shed.
func (p *Plan) Feasible() bool {
	for _, s := range p.Shed {
		if s > 0 {
			return false
		}
	}
	return true
}

// ErrSite is wrapped by the errors for an invalid Site.
var ErrSite = errors.New("traffic solver")

const (
	shedCost  = 1_000_000_000 // and up to valueCost more by value
	valueCost = 1_000_000_000
	overCost  = 1_000_000
	farCost   = 10_000
	stateCost = 3 // multiple of farCost: a read state over a link, relative to a prompt
	moveCost  = 1
)

func (s *Site) check() error {
	n := len(s.Zones)
	bad := func(format string, args ...any) error {
		return fmt.Errorf("%w: %s", ErrSite, fmt.Sprintf(format, args...))
	}
	if !(s.Safe > 0 && s.Safe <= 1) {
		return bad("safe is %v, must be greater than 0 and at most 1", s.Safe)
	}
	for z, c := range s.Zones {
		if !(c.Read >= 0) || !(c.Write >= 0) || math.IsInf(c.Read+c.Write, 0) {
			return bad("zone %d takes %v and %v, must be finite and not negative", z, c.Read, c.Write)
		}
	}
	for i, d := range s.Demand {
		if d.Entry < 0 || d.Entry >= n || !(d.Load >= 0) || math.IsInf(d.Load, 0) || !(d.Value >= 0 && d.Value <= 1) {
			return bad("invalid demand %d: %v at %d of value %v", i, d.Load, d.Entry, d.Value)
		}
	}
	if len(s.Far) != n || s.Room != nil && len(s.Room) != n || s.Seen != nil && len(s.Seen) != n {
		return bad("%d zones, but %d rows of far, %d of room, %d of seen", n, len(s.Far), len(s.Room), len(s.Seen))
	}
	for a := range n {
		if len(s.Far[a]) != n || s.Room != nil && len(s.Room[a]) != n || s.Seen != nil && len(s.Seen[a]) != n {
			return bad("row %d of far, room or seen does not have %d zones", a, n)
		}
		for b := range n {
			if !(s.Far[a][b] >= 0 && s.Far[a][b] <= 1) || s.Room != nil && math.IsNaN(s.Room[a][b]) {
				return bad("from %d to %d: far %v is not from 0 to 1, or room is not a number", a, b, s.Far[a][b])
			}
		}
	}
	return nil
}

// Solve returns the best plan. Before is the previous plan, or nil; among plans of equal cost the
// one nearest to it is chosen.
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
