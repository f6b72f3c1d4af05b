package dnsrule

import (
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// Schedule determines when a name is queried again. It is not safe for concurrent use.
type Schedule struct {
	lifetimes    Lifetimes
	rng          *rand.Rand
	retryBackoff *backoff.ExponentialBackOff
	first        bool
}

// Lifetimes holds bounds for the lifetimes that records state, and for retries.
type Lifetimes struct {
	Min, Max       time.Duration // of an answer
	NegMin, NegMax time.Duration // of a missing name
	RetryMin       time.Duration // after a failure; doubles up to RetryMax
	RetryMax       time.Duration
	// Spread is the fraction of a lifetime, at its end, over which refreshes are spread. The first
	// refresh after the start is spread over the whole lifetime.
	Spread float64
}

// NewSchedule returns a schedule that draws its random numbers from rng.
func NewSchedule(lifetimes Lifetimes, rng *rand.Rand) *Schedule {
	b := backoff.NewExponentialBackOff()
	// The library would draw from its own generator. With rng alone, runs are repeatable.
	b.InitialInterval, b.MaxInterval, b.Multiplier, b.RandomizationFactor = lifetimes.RetryMin, lifetimes.RetryMax, 2, 0
	b.Reset()
	return &Schedule{lifetimes: lifetimes, rng: rng, retryBackoff: b, first: true}
}

// AfterAnswer returns the wait after an answer. complete means that nothing is unknown; otherwise
// the name is queried again as after a failure, if that is sooner.
func (s *Schedule) AfterAnswer(ttl time.Duration, missing, complete bool) time.Duration {
	low, high := s.lifetimes.Min, s.lifetimes.Max
	if missing {
		low, high = s.lifetimes.NegMin, s.lifetimes.NegMax
	}
	lifetime := min(max(ttl, low), high)
	spread := s.lifetimes.Spread
	if s.first && spread > 0 {
		spread = 1
	}
	s.first = false
	// At least half of the lower bound, so that a lifetime of 0 does not cause a flood of queries.
	minWait := min(max(lifetime-time.Duration(spread*float64(lifetime)), low/2), lifetime)
	wait := lifetime - time.Duration(s.rng.Float64()*float64(lifetime-minWait))
	if !complete {
		return min(wait, s.AfterFailure())
	}
	s.retryBackoff.Reset()
	return wait
}

// AfterFailure returns the wait after a failure. It doubles with each failure in a row, less a
// random part of up to a half.
func (s *Schedule) AfterFailure() time.Duration {
	d := s.retryBackoff.NextBackOff()
	return d - time.Duration(s.rng.Float64()*0.5*float64(d))
}
