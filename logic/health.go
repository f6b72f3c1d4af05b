package logic

// This file: how slow or suspect a server is.

import (
	"math"
	"time"
)

const (
	suspectScale = 3.0              // cost scale of a server after one bad sign
	forgetSlow   = 10 * time.Second // a slowness not confirmed fades with this time constant
	maxBackoff   = 8 * time.Second
	errorsInRow  = 2 // errors with nothing between them from which a server is at fault, not a request
)

// scale makes a token at s dearer by all that makes s slow: its observed pace, a bad sign, distance, cold.
func (g *Gateway) scale(s *server) float64 {
	v := g.slowness(s) / math.Pow(math.Max(g.warmth(s), 0.05), 1-g.unseenShare)
	if g.now < s.suspectUntil { // one bad sign may be chance: dearer, but not out
		v *= suspectScale
	}
	v *= g.distance(s)
	if g.set.Weights && s.Weight > 0 {
		v /= s.Weight
	}
	return v
}

func (g *Gateway) slowness(s *server) float64 {
	return math.Max(1+s.slow.value(g.now, forgetSlow), 0.3)
}

func (g *Gateway) sample(s *server, ratio float64) {
	s.slow.average(g.now, forgetSlow, finite(ratio, 0.2, maxRatio)-1, fastLearn)
}

// erred takes an error that a server answered. One may be the request's fault; where nothing else came
// between two, the server is suspect: one that errs at once holds nothing and would look the best of all.
func (g *Gateway) erred(s *server) {
	g.sample(s, 2)
	s.erredAt = g.now
	if s.errors++; s.errors >= errorsInRow {
		s.fails = max(s.fails, 1) // no trial in between, as after a first bad sign
		g.suspect(s)
	}
}

// risky tells whether a request that may run once only should rather go elsewhere: the server's latest answer
// was an error, and nothing could be tried after another one.
func (g *Gateway) risky(r *request, s *server) bool {
	once := g.class(r).Effect != EffectRepeatable
	return once && s.errors > 0 && after(s.erredAt, g.now) < maxBackoff
}

// served takes a sign that the server serves.
func (s *server) served(now Time) {
	s.lastSignAt, s.fails, s.errors, s.suspectUntil = now, 0, 0, 0
}

// suspect takes a server out of the ordinary path; single trials, ever later, bring it back. Where this
// gateway seldom sends to any one server, a trial costs as much and tells as little: they are later.
func (g *Gateway) suspect(s *server) {
	unit := min(max(firstBackoff, seconds(g.arrivalGap*float64(g.pools[s.role].n))), maxBackoff)
	wait := min(unit<<min(s.fails, 6), max(maxBackoff, 2*unit))
	s.fails++
	s.suspectUntil = g.now + Time(float64(wait)*(0.8+0.4*g.rng.Float64()))
}
