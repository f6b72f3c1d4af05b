package solver

import "math"

// source is the node where all load originates.
const source = 0

// network is a site as a graph whose minimum-cost flow is the best plan. Its nodes are the source,
// the demands, the entries, an input and an output node of each zone's readers, the writers' zones
// and the sink.
type network struct {
	*graph
	site                *Site
	unit                float64 // requests per second of one unit of flow
	demand, entry       int     // first node of each kind
	readerIn, readerOut int
	writer, sink        int
	// Units of each demand and entry; the edges by which demands are shed.
	demanded, entering, shed []int
	reads                    [][]readEdges
	writes                   [][]int // edges by readers' zone and writers' zone
	over                     []int   // edges for load beyond the safe part of a zone
}

// readEdges are the edges from an entry to a reader's zone: for the load that goes there in the
// previous plan, and for load that would be moved there.
type readEdges struct {
	seen        bool // the entry can reach the zone; if not, there are no edges
	kept, moved int
}

func newNetwork(s *Site, before *Plan, unit float64) *network {
	zones, demands := len(s.Zones), len(s.Demand)
	net := &network{site: s, unit: unit, demand: source + 1}
	net.entry = net.demand + demands
	net.readerIn = net.entry + zones
	net.readerOut = net.readerIn + zones
	net.writer = net.readerOut + zones
	net.sink = net.writer + zones
	net.graph = newGraph(net.sink + 1)
	net.addDemands()
	net.addReads(before)
	net.addZones()
	return net
}

// units converts a rate to units of flow, rounded down.
func (net *network) units(rate float64) int {
	return int(math.Min(math.Floor(rate/net.unit+1e-9), 4*Units))
}

// addDemands adds the edges from each demand to its entry, and those by which it is shed.
func (net *network) addDemands() {
	net.entering = make([]int, len(net.site.Zones))
	for i, d := range net.site.Demand {
		units := int(math.Round(d.Load / net.unit))
		net.demanded = append(net.demanded, units)
		net.entering[d.Entry] += units
		net.add(source, net.demand+i, units, 0)
		net.add(net.demand+i, net.entry+d.Entry, units, 0)
		net.shed = append(net.shed, net.add(net.demand+i, net.sink, units, shedCost+int(d.Value*valueCost)))
	}
}

// addReads adds the edges from each entry to the readers' zones that it can reach. Load that goes
// there by the previous plan has no cost of moving.
func (net *network) addReads(before *Plan) {
	s := net.site
	for from := range s.Zones {
		entering := net.entering[from]
		edges := make([]readEdges, len(s.Zones))
		for to := range s.Zones {
			if s.Seen != nil && !s.Seen[from][to] {
				continue
			}
			far, same := int(s.Far[from][to]*farCost), 0
			if before != nil && from < len(before.Read) && to < len(before.Read[from]) {
				same = int(math.Round(before.Read[from][to] * float64(entering)))
			}
			edges[to] = readEdges{
				seen:  true,
				kept:  net.add(net.entry+from, net.readerIn+to, min(same, entering), far),
				moved: net.add(net.entry+from, net.readerIn+to, max(entering-same, 0), far+moveCost),
			}
		}
		net.reads = append(net.reads, edges)
	}
}

// addZones adds the capacities of each zone's readers and writers, and the edges for read states
// between them.
func (net *network) addZones() {
	s := net.site
	for reader := range s.Zones {
		net.addCapacity(net.readerIn+reader, net.readerOut+reader, s.Zones[reader].Read)
		net.addCapacity(net.writer+reader, net.sink, s.Zones[reader].Write)
		edges := make([]int, len(s.Zones))
		for writer := range s.Zones {
			room := 4 * Units
			if writer != reader && s.Room != nil && s.Room[reader][writer] >= 0 {
				room = net.units(s.Room[reader][writer])
			}
			edges[writer] = net.add(net.readerOut+reader, net.writer+writer, room, int(stateCost*s.Far[reader][writer]*farCost))
		}
		net.writes = append(net.writes, edges)
	}
}

// addCapacity limits an edge to a rate, of which the part beyond the safe one has a cost.
func (net *network) addCapacity(from, to int, rate float64) {
	safe := net.units(rate * net.site.Safe)
	net.add(from, to, safe, 0)
	net.over = append(net.over, net.add(from, to, net.units(rate)-safe, overCost))
}

// plan derives the plan from the flow.
func (net *network) plan() *Plan {
	zones := len(net.site.Zones)
	plan := &Plan{Read: square(zones), Write: square(zones), Shed: make([]float64, len(net.demanded))}
	through := make([]int, zones) // units by reader's zone
	far, moved := 0, 0
	for from, edges := range net.reads {
		for to, edge := range edges {
			if !edge.seen {
				continue
			}
			kept, new := net.flow(edge.kept), net.flow(edge.moved)
			through[to] += kept + new
			moved += new
			if from != to {
				far += kept + new
			}
			if entering := net.entering[from]; entering > 0 {
				plan.Read[from][to] = float64(kept+new) / float64(entering)
			}
		}
	}
	for reader, edges := range net.writes {
		for writer, edge := range edges {
			if through[reader] > 0 {
				plan.Write[reader][writer] = float64(net.flow(edge)) / float64(through[reader])
			}
		}
	}
	for i, units := range net.demanded {
		if units > 0 {
			plan.Shed[i] = float64(net.flow(net.shed[i])) / float64(units)
		}
	}
	for _, edge := range net.over {
		plan.Over += float64(net.flow(edge)) * net.unit
	}
	plan.Far, plan.Moved = float64(far)/Units, float64(moved)/Units
	return plan
}
