package solver

import "container/heap"

// graph is a network of which edges come in pairs, each with the one that takes its flow back beside it.
type graph struct {
	to, next   []int
	room, cost []int
	first      []int
	full       []int // room at the beginning, of each pair
}

func newGraph(nodes int) *graph {
	g := &graph{first: make([]int, nodes)}
	for i := range g.first {
		g.first[i] = -1
	}
	return g
}

// add returns the edge's number, by which its flow is asked for. Costs are 0 or more.
func (g *graph) add(from, to, room, cost int) int {
	e := len(g.to)
	g.to, g.room, g.cost = append(g.to, to, from), append(g.room, room, 0), append(g.cost, cost, -cost)
	g.next = append(g.next, g.first[from], g.first[to])
	g.first[from], g.first[to] = e, e+1
	g.full = append(g.full, room)
	return e
}

func (g *graph) flow(e int) int { return g.full[e/2] - g.room[e] }

const unreached = int(^uint(0) >> 2)

// solve sends as much as there is from source to sink, on the cheapest ways first: each length's ways are used up by depth
// before the next length is looked for.
func (g *graph) solve(source, sink int) {
	n := len(g.first)
	height, dist, at, on := make([]int, n), make([]int, n), make([]int, n), make([]bool, n)
	for g.shortest(source, sink, height, dist) {
		for v := range height {
			height[v] += min(dist[v], dist[sink])
		}
		copy(at, g.first)
		for g.push(source, sink, unreached, height, at, on) > 0 {
		}
	}
}

// push sends along edges that cost nothing by the heights.
func (g *graph) push(v, sink, most int, height, at []int, on []bool) int {
	if v == sink {
		return most
	}
	on[v] = true
	defer func() { on[v] = false }()
	for ; at[v] >= 0; at[v] = g.next[at[v]] {
		e := at[v]
		w := g.to[e]
		if g.room[e] == 0 || on[w] || g.cost[e]+height[v]-height[w] != 0 {
			continue
		}
		if sent := g.push(w, sink, min(most, g.room[e]), height, at, on); sent > 0 {
			g.room[e] -= sent
			g.room[e^1] += sent
			return sent
		}
	}
	return 0
}

// shortest finds the cost of the cheapest way to each node, by the heights under which no edge costs less than nothing.
func (g *graph) shortest(source, sink int, height, dist []int) bool {
	for i := range dist {
		dist[i] = unreached
	}
	dist[source] = 0
	q := &queue{{0, source}}
	for q.Len() > 0 {
		it := heap.Pop(q).(item)
		if it.dist > dist[it.node] {
			continue
		}
		for e := g.first[it.node]; e >= 0; e = g.next[e] {
			if g.room[e] == 0 {
				continue
			}
			w := g.to[e]
			if d := it.dist + g.cost[e] + height[it.node] - height[w]; d < dist[w] {
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
