package platform

import (
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"
)

const (
	// watchAgain is the shortest span that a router waits in before it asks discovery again.
	watchAgain = 200 * time.Millisecond
	// askedTogether is how often a second all routers together ask at first, once discovery
	// has failed them all: as often as four of them that wait for the shortest span.
	askedTogether = 20
	// mostSpans bounds how far failures let the span grow.
	mostSpans = 4
)

// again says when to ask discovery again. Discovery is one service for all routers
// and bears only so much: what fails one of them mostly fails all, and asked by all
// of them at a steady pace it may never come back. So the first span grows with
// their number, each failure doubles it, and each router draws its own time in it.
type again struct {
	spans *backoff.ExponentialBackOff
	rng   *rand.Rand
}

func newAgain(routers int, seed uint64) *again {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = max(watchAgain, time.Duration(routers)*time.Second/askedTogether)
	b.MaxInterval, b.Multiplier, b.RandomizationFactor = mostSpans*b.InitialInterval, 2, 0
	b.Reset()
	return &again{spans: b, rng: rand.New(rand.NewPCG(seed, 1))}
}

// after returns how long to wait; told says whether discovery had told anything since
// it was asked last.
func (a *again) after(told bool) time.Duration {
	if told {
		a.spans.Reset()
	}
	return watchAgain/2 + time.Duration(a.rng.Int64N(int64(a.spans.NextBackOff())))
}
