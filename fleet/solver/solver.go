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
	n, k := len(s.Zones), len(s.Demand)
	total := 0.0
	for _, d := range s.Demand {
		total += d.Load
	}
	plan := &Plan{Read: square(n), Write: square(n), Shed: make([]float64, k)}
	if total == 0 || n == 0 {
		return plan, nil
	}
	unit := total / Units
	units := func(x float64) int { return int(math.Min(math.Floor(x/unit+1e-9), 4*Units)) }

	// Nodes: the source, demands, entries, readers' zones in and out, writers' zones, the sink.
	entry, in, out, write := 1+k, 1+k+n, 1+k+2*n, 1+k+3*n
	g := newGraph(2 + k + 4*n)
	sink := 1 + k + 4*n
	loads, shed := make([]int, k), make([]int, k)
	of := make([]int, n) // units of each entry
	for i, d := range s.Demand {
		loads[i] = int(math.Round(d.Load / unit))
		of[d.Entry] += loads[i]
		g.add(0, 1+i, loads[i], 0)
		g.add(1+i, entry+d.Entry, loads[i], 0)
		shed[i] = g.add(1+i, sink, loads[i], shedCost+int(d.Worth*worthCost))
	}
	reads, writes := make([][][2]int, n), make([][]int, n)
	for a := range n {
		reads[a], writes[a] = make([][2]int, n), make([]int, n)
		for b := range n {
			if s.Seen != nil && !s.Seen[a][b] {
				reads[a][b] = [2]int{-1, -1}
				continue
			}
			far, same := int(s.Far[a][b]*farCost), 0
			if before != nil && a < len(before.Read) && b < len(before.Read[a]) {
				same = int(math.Round(before.Read[a][b] * float64(of[a])))
			}
			reads[a][b] = [2]int{g.add(entry+a, in+b, min(same, of[a]), far), g.add(entry+a, in+b, max(of[a]-same, 0), far+moveCost)}
		}
	}
	var over []int
	zone := func(from, to int, capacity float64) {
		safe := units(capacity * s.Safe)
		g.add(from, to, safe, 0)
		over = append(over, g.add(from, to, units(capacity)-safe, overCost))
	}
	for z := range n {
		zone(in+z, out+z, s.Zones[z].Read)
		zone(write+z, sink, s.Zones[z].Write)
		for w := range n {
			room := 4 * Units
			if w != z && s.Room != nil && s.Room[z][w] >= 0 {
				room = units(s.Room[z][w])
			}
			writes[z][w] = g.add(out+z, write+w, room, int(stateCost*s.Far[z][w]*farCost))
		}
	}
	g.solve(0, sink)

	far, moved := 0, 0
	through := make([]int, n)
	for a := range n {
		for b := range n {
			if reads[a][b][0] < 0 {
				continue
			}
			kept, new := g.flow(reads[a][b][0]), g.flow(reads[a][b][1])
			through[b] += kept + new
			moved += new
			if a != b {
				far += kept + new
			}
			if of[a] > 0 {
				plan.Read[a][b] = float64(kept+new) / float64(of[a])
			}
		}
	}
	for z := range n {
		for w := range n {
			if through[z] > 0 {
				plan.Write[z][w] = float64(g.flow(writes[z][w])) / float64(through[z])
			}
		}
	}
	for i := range shed {
		if loads[i] > 0 {
			plan.Shed[i] = float64(g.flow(shed[i])) / float64(loads[i])
		}
	}
	for _, e := range over {
		plan.Over += float64(g.flow(e)) * unit
	}
	plan.Far, plan.Moved = float64(far)/Units, float64(moved)/Units
	return plan, nil
}

func square(n int) [][]float64 {
	out := make([][]float64, n)
	for i := range out {
		out[i] = make([]float64, n)
	}
	return out
}
