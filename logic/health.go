package logic

import (
	"math"
	"time"
)

const (
	suspectScale       = 3.0              // cost factor of a server after one failure
	slowdownDecay      = 10 * time.Second // time constant of a slowdown that is not confirmed
	maxBackoff         = 8 * time.Second
	suspectAfterErrors = 2 // consecutive errors that are the server's fault, not a request's
)

// costScale returns the factor on the cost of a token at s: its observed speed, a recent failure,
// distance, slow start and weight.
func (g *Gateway) costScale(s *server) float64 {
	v := g.slowdownFactor(s) / math.Pow(math.Max(g.warmth(s), 0.05), 1-g.unseenShare)
	if g.now < s.suspectUntil { // one failure may be chance: costlier, but still picked
		v *= suspectScale
	}
	v *= g.distanceCost(s)
	if g.settings.Weights && s.Weight > 0 {
		v /= s.Weight
	}
	return v
}

func (g *Gateway) slowdownFactor(s *server) float64 {
	return math.Max(1+s.slowdown.value(g.now, slowdownDecay), 0.3)
}

func (g *Gateway) observeSlowdown(s *server, ratio float64) {
	s.slowdown.average(g.now, slowdownDecay, clamp(ratio, 0.2, maxSampleRatio)-1, fastWeight)
}

// observeError records an error answered by a server. A single one may be the fault of the request;
// after consecutive ones the server is suspect. A server that fails at once holds nothing and would
// look the least loaded of all.
func (g *Gateway) observeError(s *server) {
	g.observeSlowdown(s, 2)
	s.lastErrorAt = g.now
	if s.consecutiveErrors++; s.consecutiveErrors >= suspectAfterErrors {
		// The server leaves the ordinary path at once; after a first failure it is only costlier.
		s.failures = max(s.failures, 1)
		g.suspect(s)
	}
}

// risky reports whether a request that may run only once should rather go elsewhere: the server's
// latest answer was an error, and no attempt could follow another one.
func (g *Gateway) risky(r *request, s *server) bool {
	once := r.class().Effect != EffectRepeatable
	return once && s.consecutiveErrors > 0 && between(s.lastErrorAt, g.now) < maxBackoff
}

// markServing records that the server serves requests, which ends any suspicion.
func (s *server) markServing(now Time) {
	s.lastActivityAt, s.failures, s.consecutiveErrors, s.suspectUntil = now, 0, 0, 0
}

// suspect takes a server out of the ordinary path. Single trials at increasing intervals bring it
// back. Where this gateway seldom sends to any one server, a trial costs as much but reveals
// little, so trials are later.
func (g *Gateway) suspect(s *server) {
	unit := min(max(firstBackoff, seconds(g.arrivalInterval*float64(g.pools[s.role].count))), maxBackoff)
	wait := min(unit<<min(s.failures, 6), max(maxBackoff, 2*unit))
	s.failures++
	s.suspectUntil = g.now + Time(float64(wait)*(0.8+0.4*g.rng.Float64()))
}
