package logic

import (
	"math"
	"time"
)

const (
	waitDecay  = 2 * time.Second // unconfirmed waits decay, so that servers are tried again
	shareDecay = 5 * time.Second // the same for a reported memory share, which changes with answers
)

// pendingLoad returns the read load that this gateway has put on s: what is in flight, and what
// time-outs left behind. Without the latter a server that times out would look idle just when it is
// not.
func (g *Gateway) pendingLoad(s *server) float64 {
	return s.pendingTokens + s.residualTokens.value(g.now, residualDecay)
}

// reportWeight returns the weight of a server's own report, which decreases with its age. Without a
// report it is 0.
func (g *Gateway) reportWeight(s *server, timeConstant time.Duration) float64 {
	if !s.load.HasMemory && !s.load.HasUnread {
		return 0
	}
	return math.Exp(-float64(between(s.loadReportedAt, g.now)) / float64(timeConstant))
}

// peerLoad returns the peers' part of the read load that s reports. As the report ages, the mean of
// all servers replaces it.
func (g *Gateway) peerLoad(s *server) float64 {
	mean := g.pools[s.role].readLoad.value(g.now, g.waitTimeConstant())
	return g.peerShare * (mean + g.reportWeight(s, unreadDecay)*(s.load.UnreadToken-mean))
}

// applyReport records a server's load report for the server and in the means of its role.
func (g *Gateway) applyReport(s *server, l Load) {
	if s == nil || !l.HasMemory && !l.HasUnread {
		return
	}
	l.MemoryShare, l.UnreadToken = clamp(l.MemoryShare, 0, 1), clamp(l.UnreadToken, 0, 1e7)
	s.load, s.loadReportedAt, s.tokensSinceReport = l, g.now, 0
	p := &g.pools[s.role]
	p.reportCount++
	a := math.Max(fastWeight, 1/float64(p.reportCount))
	if l.HasMemory {
		g.memoryReported, p.meanShare = true, p.meanShare+a*(l.MemoryShare-p.meanShare)
	}
	p.readLoad.average(g.now, g.waitTimeConstant(), l.UnreadToken, fastWeight)
}

// memoryShare returns the fraction of a server's memory that is in use: its last report plus own
// tokens sent since, and the mean of the reports as it ages. Without reports it is extrapolated
// from own tokens as far as there are enough of them, and from their mean for the rest.
func (g *Gateway) memoryShare(s *server) float64 {
	mean := g.pools[s.role].meanShare
	if !g.memoryReported {
		own := s.ownTokens / s.memory * (1 + g.peerCount*(1-g.unseenShare))
		return s.rejectionShare(g.now) + own + g.peerShare*mean*g.unseenShare
	}
	return s.rejectionShare(g.now) + mean +
		g.reportWeight(s, shareDecay)*(s.load.MemoryShare-mean) + s.tokensSinceReport/s.memory
}

// pool holds the aggregates over all usable servers of one role.
type pool struct {
	count       int
	reportCount int
	meanShare   float64       // mean memory share, by reports, or by own tokens times the gateways
	readLoad    decayingValue // mean of the reported read loads
	wait        decayingValue // seconds that requests wait there beyond the usual
	leastLoaded *server       // usable server with the lowest reported memory share; nil: none
}

// recentWait returns how long, in seconds, requests have recently waited at the servers of a role
// beyond the usual. It decays with time or, where this gateway sees little, over a few of its
// arrivals.
func (g *Gateway) recentWait(role Role) float64 {
	return g.pools[role].wait.value(g.now, g.waitTimeConstant())
}

// readSeconds returns how long s takes to read the given number of prompt tokens.
func (g *Gateway) readSeconds(s *server, tokens float64) float64 {
	return g.readSpeeds[s.Kind].seconds(tokens) * g.slowdownFactor(s)
}

// observeWait records a wait beyond the usual at a server of the role.
func (g *Gateway) observeWait(role Role, sec float64) {
	g.pools[role].wait.average(g.now, g.waitTimeConstant(), math.Max(0, sec), 0.02)
}

// waitTimeConstant returns the time constant with which waits decay, at least three arrivals.
func (g *Gateway) waitTimeConstant() time.Duration {
	return max(waitDecay, seconds(3*g.arrivalInterval))
}
