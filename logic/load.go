package logic

// This file: the load of a server: what was sent to it, and what it reports.

import (
	"math"
	"time"
)

const (
	waitFade  = 2 * time.Second // a wait not confirmed fades, so that servers are tried again
	shareFade = 5 * time.Second // the same of its memory, which changes with its answers
)

// pending is the read load that this gateway put on s: what is out, and what time-outs left behind, or a
// server that times out would look idle just when it is not.
func (g *Gateway) pending(s *server) float64 {
	return s.pendingTokens + s.residualTokens.value(g.now, residualFade)
}

// trust in a server's own report falls with its age; none is as old as can be.
func (g *Gateway) trust(s *server, over time.Duration) float64 {
	if !s.load.HasMemory && !s.load.HasUnread {
		return 0
	}
	return math.Exp(-float64(after(s.loadAt, g.now)) / float64(over))
}

// reported is the peers' part of the read load that s reports, or of the mean as the report ages.
func (g *Gateway) reported(s *server) float64 {
	mean := g.pools[s.role].readLoad.value(g.now, g.waitSpan())
	return g.peerShare * (mean + g.trust(s, unreadFade)*(s.load.UnreadToken-mean))
}

// takeReport takes a server's report into its model and into the means of its role.
func (g *Gateway) takeReport(s *server, l Load) {
	if s == nil || !l.HasMemory && !l.HasUnread {
		return
	}
	l.MemoryShare, l.UnreadToken = finite(l.MemoryShare, 0, 1), finite(l.UnreadToken, 0, 1e7)
	s.load, s.loadAt, s.since = l, g.now, 0
	p := &g.pools[s.role]
	p.reports++
	a := math.Max(fastLearn, 1/float64(p.reports))
	if l.HasMemory {
		g.reports, p.share = true, p.share+a*(l.MemoryShare-p.share)
	}
	p.readLoad.average(g.now, g.waitSpan(), l.UnreadToken, fastLearn)
}

// share is the part of a server's memory that is held: its last report plus own tokens sent since, and
// the mean of the reports as it ages. Without reports own tokens speak for the peers' as far as there
// are enough of them, and their mean for the rest.
func (g *Gateway) share(s *server) float64 {
	mean := g.pools[s.role].share
	if !g.reports {
		own := s.tokens / s.memory * (1 + g.peers*(1-g.unseenShare))
		return s.turnedAway(g.now) + own + g.peerShare*mean*g.unseenShare
	}
	return s.turnedAway(g.now) + mean + g.trust(s, shareFade)*(s.load.MemoryShare-mean) + s.since/s.memory
}

// pool is what is known of all usable servers of one role together.
type pool struct {
	n        int
	reports  int
	share    float64 // mean part of the memory held, by reports or by own tokens and as many of each peer
	readLoad fading  // mean of the reported read loads
	wait     fading  // seconds that requests wait there beyond the usual
	roomiest *server // of the usable ones by their reports; nil without any
}

// waitAt is how long, in seconds, requests have lately waited at the servers of a role beyond the usual.
// It fades with time, or where this gateway sees little with a few of its arrivals.
func (g *Gateway) waitAt(role Role) float64 { return g.pools[role].wait.value(g.now, g.waitSpan()) }

// readSeconds is how long s takes for so many prompt tokens.
func (g *Gateway) readSeconds(s *server, tokens float64) float64 {
	return g.reads[s.Kind].seconds(tokens) * g.slowness(s)
}

func (g *Gateway) waited(role Role, sec float64) {
	g.pools[role].wait.average(g.now, g.waitSpan(), math.Max(0, sec), 0.02)
}

func (g *Gateway) waitSpan() time.Duration { return max(waitFade, seconds(3*g.arrivalGap)) }
