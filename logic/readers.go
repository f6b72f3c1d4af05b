package logic

import (
	"math"
	"slices"
)

const (
	overlapWeight       = 1.0  // cost of an uncached prompt token, in tokens of load
	expectedPrefixShare = 0.95 // part of a prefix expected in the caches of its preferred readers
	minPreferredReaders = 2    // readers that share the prompts of one prefix
	maxPreferredReaders = 8
	tieBreakTokens      = 150 // smaller differences mean nothing to one of many gateways
	mixedMemoryWeight   = 3.0 // weight of a mixed server's memory share against the writers'
)

// affinityGroup holds the readers of an affinity key in the order that all gateways compute alike.
type affinityGroup struct {
	servers  []*server
	arrivals decayingValue
}

// findPreferredReaders determines the preferred readers of the request's prefix by rendezvous
// hashing. With many gateways, hardly any table holds what peers had read, but all gateways compute
// the same hash. A frequent prefix has more preferred readers; the request's session determines the
// first of them. Where this gateway sees little, sessions that share no prefix are hashed by their
// own key.
func (g *Gateway) findPreferredReaders(r *request) {
	if g.meansUpdatedAt == 0 {
		g.updateMeans()
	}
	key := r.Prefix
	if r.PrefixTokens <= 0 {
		key = 0
		if g.unseenShare > maxUnseenShare {
			key = r.Session
		}
	}
	if r.affinityKey = key; key == 0 || g.peerCount == 0 {
		return
	}
	group := g.affinityGroups[key]
	if group == nil {
		if len(g.affinityGroups) >= maxKeysPerServer {
			clear(g.affinityGroups)
		}
		group = &affinityGroup{}
		g.affinityGroups[key] = group
	}
	group.arrivals.add(g.now, entryTTL, 1)
	g.keyedArrivals.add(g.now, entryTTL, 1)
	if group.servers == nil {
		for _, s := range g.servers {
			if s.usable() && s.role != RoleWrite {
				group.servers = append(group.servers, s)
			}
		}
		sortByKey(group.servers,
			func(s *server) float64 { return -math.Log(rendezvousHash(key, s.Server)) / s.trafficWeight })
	}
	// Rare keys give no reliable count: gateways that assume different numbers of preferred readers
	// would send the turns of a session to different ones.
	n := len(group.servers)
	count := min(n, maxPreferredReaders,
		minPreferredReaders+int((group.arrivals.v-1)/(g.keyedArrivals.v+float64(n))*float64(n)))
	r.preferredReaders = slices.Clone(group.servers[:count])
	sortByKey(r.preferredReaders, func(s *server) float64 { return rendezvousHash(r.Session, s.Server) })
	r.ownCacheShare = math.Min(1, group.arrivals.v/2)
}

// uncachedTokens returns the number of prompt tokens that s would have to read: those that the
// table does not list there and, at the preferred readers of the prefix, that peers will not have
// had read. At other readers a prefix stays cached only if own requests alone come often enough.
func (g *Gateway) uncachedTokens(r *request, s *server) float64 {
	e, own := s.lookupCached(r)
	expected, rank := e.tokens, slices.Index(r.preferredReaders, s)
	if between(e.used, g.now) >= entryTTL {
		expected = 0
	} else if !own && rank < 0 && r.preferredReaders != nil {
		expected *= r.ownCacheShare
	}
	if rank >= 0 {
		expected = math.Max(expected, expectedPrefixShare*r.PrefixTokens)
	}
	if rank == 0 {
		expected = math.Max(expected, (r.PrefixTokens+r.PromptTokens)/2)
	}
	return r.PromptTokens - expected
}

// pickReader picks the reader with the lowest overlapWeight x uncached tokens + read load. Where
// peers send most of the traffic, ties are broken at random; otherwise all gateways would pick the
// same reader.
func (g *Gateway) pickReader(r *request) *server {
	writerShare := g.pools[RoleWrite].meanShare
	if g.pools[RoleWrite].count == 0 {
		writerShare = maxMemoryShare
	}
	return g.pick(r, func(s *server) (class int, cost float64) {
		if s.role == RoleWrite { // only if no reader is left
			if class = 64; !g.settings.WritersRead {
				class = excluded
			}
		}
		cost = (overlapWeight*g.uncachedTokens(r, s) + overheadTokens +
			g.pendingLoad(s) + g.peerLoad(s)) * g.costScale(s)
		cost += tieBreakTokens * g.unseenShare * g.rng.ExpFloat64() / s.trafficWeight
		// Answers that run at a mixed server are delayed by the read, and are load as well.
		if s.role == RoleBoth {
			cost += math.Max(0, mixedMemoryWeight*g.memoryShare(s)-writerShare) * s.memory
			if g.memoryShare(s) >= maxMemoryShare {
				class = 8
			}
		}
		return class, cost
	})
}
