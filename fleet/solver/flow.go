package solver

import "container/heap"

// graph is a flow network whose edges come in pairs: edge e and its reverse edge e^1.
type graph struct {
	to, next       []int
	residual, cost []int
	first          []int
	capacity       []int // initial residual capacity of each pair
}

func newGraph(nodes int) *graph {
	g := &graph{first: make([]int, nodes)}
	for i := range g.first {
		g.first[i] = -1
	}
	return g
}

// add adds an edge and returns its number, which flow takes. Costs must not be negative.
func (g *graph) add(from, to, room, cost int) int {
	e := len(g.to)
	g.to, g.residual, g.cost = append(g.to, to, from), append(g.residual, room, 0), append(g.cost, cost, -cost)
	g.next = append(g.next, g.first[from], g.first[to])
	g.first[from], g.first[to] = e, e+1
	g.capacity = append(g.capacity, room)
	return e
}

func (g *graph) flow(e int) int { return g.capacity[e/2] - g.residual[e] }

const unreached = int(^uint(0) >> 2)

// solve sends the maximum flow from source to sink at minimum cost. It uses up all shortest paths
// of one length by depth-first search before it computes the next length.
func (g *graph) solve(source, sink int) {
	n := len(g.first)
	potential, dist, nextEdge, onPath := make([]int, n), make([]int, n), make([]int, n), make([]bool, n)
	for g.shortest(source, sink, potential, dist) {
		for v := range potential {
			potential[v] += min(dist[v], dist[sink])
		}
		copy(nextEdge, g.first)
		for g.augment(source, sink, unreached, potential, nextEdge, onPath) > 0 {
		}
	}
}

// augment sends flow along edges whose reduced cost is zero.
func (g *graph) augment(v, sink, limit int, potential, nextEdge []int, onPath []bool) int {
	if v == sink {
		return limit
	}
	onPath[v] = true
	defer func() { onPath[v] = false }()
	for ; nextEdge[v] >= 0; nextEdge[v] = g.next[nextEdge[v]] {
		e := nextEdge[v]
		w := g.to[e]
		if g.residual[e] == 0 || onPath[w] || g.cost[e]+potential[v]-potential[w] != 0 {
			continue
		}
		if sent := g.augment(w, sink, min(limit, g.residual[e]), potential, nextEdge, onPath); sent > 0 {
			g.residual[e] -= sent
			g.residual[e^1] += sent
			return sent
		}
	}
	return 0
}

// shortest finds the cost of the cheapest path to each node, by the potentials under which no
// residual edge has a negative reduced cost. It reports whether the sink is reachable.
func (g *graph) shortest(source, sink int, potential, dist []int) bool {
	for i := range dist {
		dist[i] = unreached
	}
	dist[source] = 0
	q := &queue{{0, source}}
	for q.Len() > 0 {
		current := heap.Pop(q).(item)
		if current.dist > dist[current.node] {
			continue
		}
		for e := g.first[current.node]; e >= 0; e = g.next[e] {
			if g.residual[e] == 0 {
				continue
			}
			w := g.to[e]
			if d := current.dist + g.cost[e] + potential[current.node] - potential[w]; d < dist[w] {
				dist[w] = d
				heap.Push(q, item{d, w})
			}
		}
	}
	return dist[sink] < unreached
}

type item struct{ dist, node int }

type queue []item

func (q queue) Len() int           { return len(q) }
func (q queue) Less(i, j int) bool { return q[i].dist < q[j].dist }
func (q queue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)        { *q = append(*q, x.(item)) }
func (q *queue) Pop() any {
	old := *q
	it := old[len(old)-1]
	*q = old[:len(old)-1]
	return it
}
