package logic

// This file: the list of servers, and what is known of all of them together.

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	pullLeast     = 0.5                   // of an average reader's part, in a cell without writers
	pullMost      = 1.5                   // of an average reader's part in a cell of few readers
	unknownMemory = 1e5                   // tokens; only shares against like servers count then
	coldHomes     = 8.0                   // power of warmth in weights where little is seen of peers
	shareSamples  = 60.0                  // stream seconds that the mean of own shares is taken over
	surveyEvery   = 50 * time.Millisecond // age of the means over all servers
	sweepEvery    = time.Second
)

func (g *Gateway) list(e *Event) {
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
			s = &server{Member: m, kept: map[Key]entry{}, began: g.began(m), creditsGivenAt: g.now}
			g.byID[m.Server] = s
			g.servers = append(g.servers, s)
		} else if m.Since != s.Since && m.Health != Gone {
			// A restarted process keeps nothing, and what was held against the old one is void.
			s.kept, s.residualTokens, s.fails, s.errors, s.suspectUntil = map[Key]entry{}, fading{}, 0, 0, 0
			s.slow, s.load, s.began, s.creditsGivenAt, s.coldCredits = fading{}, Load{}, g.began(m), g.now, 0
		}
		m.Kind = min(m.Kind, len(g.set.Kinds)-1)
		kind := g.set.Kinds[m.Kind]
		s.Member, s.listed, s.role = m, m.Health != Gone, kind.Role
		s.memory = cmp.Or(max(kind.MemoryTokens, 0), unknownMemory)
	}
	g.balance()
	g.surveyed = 0
}

// balance sets each reader's part of the traffic by the writers of its cell: their answers have to be
// written there, and a reader's own load shows nothing of it. What a cell's writers would get above an
// average writer's part all the same is their pressure.
func (g *Gateway) balance() {
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
	pulls, sum := map[int]float64{}, 0.0
	for _, s := range g.servers {
		s.pull = 1
		if cell := cells[s.Cell]; s.role == RoleRead && s.usable() {
			s.pull = finite(cell[RoleWrite]/all[RoleWrite]*all[RoleRead]/cell[RoleRead], pullLeast, pullMost)
		}
		s.pull *= math.Pow(g.warmth(s), 1+coldHomes*g.unseenShare)
		if s.role == RoleRead && s.usable() {
			pulls[s.Cell] += s.pull
			sum += s.pull
		}
	}
	for _, s := range g.servers {
		s.writerPressure = finite(pulls[s.Cell]/sum*all[RoleWrite]/cells[s.Cell][RoleWrite], 1, 1e3)
	}
	for _, h := range g.homes {
		h.servers = nil
	}
}

// survey renews the means over all servers, the base of what is thought of peers.
func (g *Gateway) survey() {
	if g.surveyed != 0 && after(g.surveyed, g.now) < surveyEvery {
		return
	}
	var tokens, memory [3]float64
	streams, servers := 1.0, 1.0
	for i := range g.pools {
		g.pools[i].n, g.pools[i].roomiest = 0, nil
	}
	for i := range g.stages {
		g.stages[i].n, g.stages[i].units, g.stages[i].cold = 0, 0, g.stages[i].cold[:0]
	}
	for _, s := range g.servers {
		if p := &g.pools[s.role]; s.usable() {
			p.n++
			g.addToStages(s, g.assumedWarmth(s))
			if g.reports && (p.roomiest == nil || g.share(s) < g.share(p.roomiest)) {
				p.roomiest = s
			}
			tokens[s.role] += s.tokens
			memory[s.role] += s.memory
			streams += float64(s.streams)
			servers++
		}
	}
	// The fewer own streams there are, the longer they are averaged before they speak for the peers'.
	a := 1 - math.Exp(-after(g.surveyed, g.now).Seconds()*streams/shareSamples)
	for i := range g.pools {
		if p := &g.pools[i]; p.n > 0 && !g.reports {
			p.share += a * (tokens[i]/memory[i]*float64(g.set.Gateways) - p.share)
		}
	}
	g.unseenShare = g.peerShare / (1 + streams/servers)
	g.surveyed = g.now
}

// sweep purges aged entries and servers that are gone with nothing out.
func (g *Gateway) sweep() {
	if after(g.swept, g.now) < sweepEvery {
		return
	}
	g.swept = g.now
	if g.warming {
		g.balance()
	}
	old := func(used Time) bool { return after(used, g.now) >= keepFor }
	for k, h := range g.homes {
		if old(h.seen.at) {
			delete(g.homes, k)
		}
	}
	g.servers = slices.DeleteFunc(g.servers, func(s *server) bool {
		for k, e := range s.kept {
			if old(e.used) {
				delete(s.kept, k)
			}
		}
		gone := !s.listed && s.waiting == 0 && s.streams == 0
		if gone {
			delete(g.byID, s.Server)
		}
		return gone
	})
}
