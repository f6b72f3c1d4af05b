package dnsrule

import (
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// Schedule says when a name is asked for again. It is not safe for concurrent use.
type Schedule struct {
	rules Lifetimes
	rng   *rand.Rand
	again *backoff.ExponentialBackOff
	first bool
}

// Lifetimes bounds the lifetimes that records state.
type Lifetimes struct {
	Min, Max       time.Duration // of an answer
	NegMin, NegMax time.Duration // of a missing name
	RetryMin       time.Duration // after a failure; doubles up to RetryMax
	RetryMax       time.Duration
	// Spread is the part of a lifetime, from its end, over which refreshes are
	// spread; the first one after the start is spread over the whole lifetime.
	Spread float64
}

// NewSchedule returns a schedule; the numbers drawn from rng spread it.
func NewSchedule(rules Lifetimes, rng *rand.Rand) *Schedule {
	b := backoff.NewExponentialBackOff()
	// The library draws from a generator of its own; ours keeps runs repeatable.
	b.InitialInterval, b.MaxInterval, b.Multiplier, b.RandomizationFactor = rules.RetryMin, rules.RetryMax, 2, 0
	b.Reset()
	return &Schedule{rules: rules, rng: rng, again: b, first: true}
}

// Found is the wait after an answer. Complete means that all of it is known;
// what is missing is asked for again as after a failure, if that is sooner.
func (s *Schedule) Found(ttl time.Duration, missing, complete bool) time.Duration {
	low, high := s.rules.Min, s.rules.Max
	if missing {
		low, high = s.rules.NegMin, s.rules.NegMax
	}
	life := min(max(ttl, low), high)
	spread := s.rules.Spread
	if s.first && spread > 0 {
		spread = 1
	}
	s.first = false
	// Never much sooner than the least wait: a lifetime of 0 must not turn into a storm.
	soonest := min(max(life-time.Duration(spread*float64(life)), low/2), life)
	wait := life - time.Duration(s.rng.Float64()*float64(life-soonest))
	if !complete {
		return min(wait, s.Failed())
	}
	s.again.Reset()
	return wait
}

// Failed is the wait after a failure: it doubles, less up to a half by chance.
func (s *Schedule) Failed() time.Duration {
	d := s.again.NextBackOff()
	return d - time.Duration(s.rng.Float64()*0.5*float64(d))
}
