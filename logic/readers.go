package logic

// This file: the choice of a reader.

import (
	"math"
	"slices"
)

const (
	overlapWeight = 1.0  // cost of a missing prompt token, in tokens of load (ours)
	homeTrust     = 0.95 // part of a prefix expected at its homes
	leastHomes    = 2    // readers that share the prompts of one prefix
	mostHomes     = 8
	tieTokens     = 150 // readers that differ by so little are alike to one of many gateways
	mixedWeight   = 3.0 // of a mixed server's memory share against the writers'
)

// home is where the prompts of a prefix meet when all gateways hash alike.
type home struct {
	servers []*server
	seen    fading
}

// findHomes finds the homes of the request's prefix by rendezvous hashing: with many gateways hardly any
// table holds what peers had read, but all of them hash alike. A frequent prefix has more homes; the
// first of them is the one where the request's session meets. So do sessions that share nothing, where
// little is seen.
func (g *Gateway) findHomes(r *request) {
	if g.surveyed == 0 {
		g.survey()
	}
	key := r.Prefix
	if r.PrefixTokens <= 0 {
		key = 0
		if g.unseenShare > mostUnseen {
			key = r.Session
		}
	}
	if r.affinityKey = key; key == 0 || g.peers == 0 {
		return
	}
	h := g.homes[key]
	if h == nil {
		if len(g.homes) >= keysPerServer {
			clear(g.homes)
		}
		h = &home{}
		g.homes[key] = h
	}
	h.seen.add(g.now, keepFor, 1)
	g.seen.add(g.now, keepFor, 1)
	if h.servers == nil {
		for _, s := range g.servers {
			if s.usable() && s.role != RoleWrite {
				h.servers = append(h.servers, s)
			}
		}
		byHash(h.servers, func(s *server) float64 { return -math.Log(hash(key, s.Server)) / s.pull })
	}
	// What is seldom seen is no measure: gateways that count on other homes send a session's turns apart.
	n := len(h.servers)
	most := min(n, mostHomes, leastHomes+int((h.seen.v-1)/(g.seen.v+float64(n))*float64(n)))
	r.homes = slices.Clone(h.servers[:most])
	byHash(r.homes, func(s *server) float64 { return hash(r.Session, s.Server) })
	r.renewed = math.Min(1, h.seen.v/2)
}

// missing is the part of a prompt to be read at s: what the table does not hold there and, at the homes
// of its prefix, peers will not have had read. Away from them a prefix stays kept only if own requests
// alone come often enough.
func (g *Gateway) missing(r *request, s *server) float64 {
	e, own := s.holds(r)
	promise, home := e.tokens, slices.Index(r.homes, s)
	if after(e.used, g.now) >= keepFor {
		promise = 0
	} else if !own && home < 0 && r.homes != nil {
		promise *= r.renewed
	}
	if home >= 0 {
		promise = math.Max(promise, homeTrust*r.PrefixTokens)
	}
	if home == 0 {
		promise = math.Max(promise, (r.PrefixTokens+r.PromptTokens)/2)
	}
	return r.PromptTokens - promise
}

// pickReader is the design's rule: the lowest overlap weight x missing tokens + read load. Where most
// traffic is peers', readers that look alike are told apart by chance, or all gateways take the same.
func (g *Gateway) pickReader(r *request) *server {
	answering := g.pools[RoleWrite].share
	if g.pools[RoleWrite].n == 0 {
		answering = roomShare
	}
	return g.pick(r, func(s *server) (class int, cost float64) {
		if s.role == RoleWrite { // only when no reader is left
			if class = 64; !g.set.WritersRead {
				class = never
			}
		}
		cost = (overlapWeight*g.missing(r, s) + baseTokens + g.pending(s) + g.reported(s)) * g.scale(s)
		cost += tieTokens * g.unseenShare * g.rng.ExpFloat64() / s.pull
		if s.role == RoleBoth { // answers that run there wait for the read, and are load as well
			cost += math.Max(0, mixedWeight*g.share(s)-answering) * s.memory
			if g.share(s) >= roomShare {
				class = 8
			}
		}
		return class, cost
	})
}
