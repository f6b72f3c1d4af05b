package logic

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// For a reader in a cell without writers; an average reader has 1.
	minTrafficWeight = 0.5
	// For a reader in a cell of few readers.
	maxTrafficWeight = 1.5
	// Assumed where the memory is unknown; shares are then comparable only within the kind.
	defaultMemoryTokens = 1e5
	// Exponent of warmth in traffic weights, where little is seen of peers.
	coldWeightExponent = 8.0
	// Number of stream seconds over which own memory shares are averaged.
	shareStreamSeconds = 60.0
	// Maximum age of the means over all servers.
	meansInterval = 50 * time.Millisecond
	sweepInterval = time.Second
)

// updateServers applies a change of the server list.
func (g *Gateway) updateServers(e *Event) {
	if e.Whole {
		for _, s := range g.servers {
			s.listed = false
		}
	}
	for _, m := range e.Members {
		s := g.byID[m.Server]
		if s == nil {
			if m.Health == Gone {
				continue
			}
			s = &server{Member: m, cached: map[Key]cacheEntry{}, startedAt: g.startOf(m), creditsAccruedAt: g.now}
			g.byID[m.Server] = s
			g.servers = append(g.servers, s)
		} else if m.Since != s.Since && m.Health != Gone {
			// A restarted process has an empty cache, and the failures of the old one say nothing
			// about it.
			s.cached, s.residualTokens, s.failures, s.consecutiveErrors, s.suspectUntil =
				map[Key]cacheEntry{}, decayingValue{}, 0, 0, 0
			s.slowdown, s.load, s.startedAt, s.creditsAccruedAt, s.coldCredits =
				decayingValue{}, Load{}, g.startOf(m), g.now, 0
		}
		m.Kind = min(m.Kind, len(g.settings.Kinds)-1)
		kind := g.settings.Kinds[m.Kind]
		s.Member, s.listed, s.role = m, m.Health != Gone, kind.Role
		s.memory = cmp.Or(max(kind.MemoryTokens, 0), defaultMemoryTokens)
	}
	g.updateTrafficWeights()
	g.meansUpdatedAt = 0
}

// updateTrafficWeights sets the traffic weight of each reader by the writers of its cell: answers
// have to be written there, and the load of a reader does not show that. The load above the average
// that the writers of a cell would still get is their pressure.
func (g *Gateway) updateTrafficWeights() {
	cells, all := map[int]*[3]float64{}, [3]float64{}
	g.warming = false
	for _, s := range g.servers {
		if cells[s.Cell] == nil {
			cells[s.Cell] = &[3]float64{}
		}
		if s.usable() {
			w := g.warmth(s)
			cells[s.Cell][s.role] += w
			all[s.role] += w
			g.warming = g.warming || w < 1
		}
	}
	cellWeights, sum := map[int]float64{}, 0.0
	for _, s := range g.servers {
		s.trafficWeight = 1
		if cell := cells[s.Cell]; s.role == RoleRead && s.usable() {
			s.trafficWeight = clamp(cell[RoleWrite]/all[RoleWrite]*all[RoleRead]/cell[RoleRead],
				minTrafficWeight, maxTrafficWeight)
		}
		s.trafficWeight *= math.Pow(g.warmth(s), 1+coldWeightExponent*g.unseenShare)
		if s.role == RoleRead && s.usable() {
			cellWeights[s.Cell] += s.trafficWeight
			sum += s.trafficWeight
		}
	}
	for _, s := range g.servers {
		s.writerPressure = clamp(cellWeights[s.Cell]/sum*all[RoleWrite]/cells[s.Cell][RoleWrite], 1, 1e3)
	}
	for _, h := range g.affinityGroups {
		h.servers = nil
	}
}

// updateMeans refreshes the means over all servers, from which the load by peers is estimated.
func (g *Gateway) updateMeans() {
	if g.meansUpdatedAt != 0 && between(g.meansUpdatedAt, g.now) < meansInterval {
		return
	}
	var tokens, memory [3]float64
	streams, servers := 1.0, 1.0
	for i := range g.pools {
		g.pools[i].count, g.pools[i].leastLoaded = 0, nil
	}
	for i := range g.stages {
		g.stages[i].count, g.stages[i].warmthSum, g.stages[i].cold = 0, 0, g.stages[i].cold[:0]
	}
	for _, s := range g.servers {
		if p := &g.pools[s.role]; s.usable() {
			p.count++
			g.addToStages(s, g.assumedWarmth(s))
			if g.memoryReported && (p.leastLoaded == nil || g.memoryShare(s) < g.memoryShare(p.leastLoaded)) {
				p.leastLoaded = s
			}
			tokens[s.role] += s.ownTokens
			memory[s.role] += s.memory
			streams += float64(s.streams)
			servers++
		}
	}
	// The fewer own streams there are, the longer they are averaged before they serve as an
	// estimate of the peers' streams.
	a := 1 - math.Exp(-between(g.meansUpdatedAt, g.now).Seconds()*streams/shareStreamSeconds)
	for i := range g.pools {
		if p := &g.pools[i]; p.count > 0 && !g.memoryReported {
			p.meanShare += a * (tokens[i]/memory[i]*float64(g.settings.Gateways) - p.meanShare)
		}
	}
	g.unseenShare = g.peerShare / (1 + streams/servers)
	g.meansUpdatedAt = g.now
}

// sweep removes expired entries, and servers that have left the list with nothing in flight.
func (g *Gateway) sweep() {
	if between(g.sweptAt, g.now) < sweepInterval {
		return
	}
	g.sweptAt = g.now
	if g.warming {
		g.updateTrafficWeights()
	}
	expired := func(used Time) bool { return between(used, g.now) >= entryTTL }
	for k, h := range g.affinityGroups {
		if expired(h.arrivals.at) {
			delete(g.affinityGroups, k)
		}
	}
	g.servers = slices.DeleteFunc(g.servers, func(s *server) bool {
		for k, e := range s.cached {
			if expired(e.used) {
				delete(s.cached, k)
			}
		}
		removable := !s.listed && s.waiting == 0 && s.streams == 0
		if removable {
			delete(g.byID, s.Server)
		}
		return removable
	})
}
