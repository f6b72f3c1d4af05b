// Package agentrule decides when a router calls the platform's discovery agent, on which calls it
// waits for changes, and which calls it cancels. It does no I/O and reads no clock: the caller
// reports what happened, and when, and carries out what Next returns. A Rule is not safe for
// concurrent use.
//
// There are two kinds of discovery, with a rule for each. Where lists are pushed, the agent runs on
// the router's own machine and answers at once and at no cost, and everything that it has counts as
// known to the router. So a watch that breaks or falls silent is replaced at once, whatever the
// number of routers. Where lists are polled, one service of limited capacity answers all routers,
// and a failure of one call usually means that all calls fail. So there each router draws the time
// of its next call from a span that grows with the number of routers and with failures. The span is
// bounded by the time after which a change counts as known to the router regardless of failures: 6
// s after discovery had the change and could be reached.
package agentrule

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"
)

const (
	// silenceTimeout is how long a call may be silent before it is cancelled. An agent writes an
	// empty line every 2 s, and a change that a silent watch misses counts as known 6 s after the
	// watch fell silent.
	silenceTimeout = 5 * time.Second
	// secondWatchAfter is the silence after which a second watch is opened in addition to a pushed
	// one: the 2 s between two empty lines and half a second more.
	secondWatchAfter = 2500 * time.Millisecond
	// slowCallAfter is how long a new call may be silent before another is opened in addition. A
	// working agent usually answers at once. The slow call stays open.
	slowCallAfter = time.Second
	maxOpenCalls  = 3
	// retryDelay is the wait after a failed call where lists are pushed. It is well under the
	// shortest time that a router has to act on a leaving worker (safety.stop-sending-within-ns of
	// the settings, 250 ms).
	retryDelay = 100 * time.Millisecond
	// maxInvalidListDelay bounds the wait after invalid pushed lists: when asked again, the agent
	// will probably send the same list.
	maxInvalidListDelay = 2 * time.Second

	// minSpan, initialCallsPerSecond and maxSpanGrowth determine the spans where lists are polled.
	// All routers together make initialCallsPerSecond calls a second at first. Failures let the
	// span grow by a factor of up to maxSpanGrowth, but not beyond maxWait.
	minSpan               = 200 * time.Millisecond
	initialCallsPerSecond = 20
	maxSpanGrowth         = 4
	failedCallFactor      = 4 // bounds the span to so many times Config.MustAsk
	// maxWait bounds every wait between calls where lists are polled. A change counts as known 6 s
	// after discovery could be reached, so the router must have received it by then. With this
	// bound, N routers whose calls all fail make about N/2 calls a second in total.
	maxWait = 4 * time.Second
	// secondCallMin and secondCallMax bound the silence after which a second call is opened in
	// addition to the first where lists are polled. It is drawn at random between them.
	secondCallMin = 2500 * time.Millisecond
	secondCallMax = 3500 * time.Millisecond
	// maxWaitAfterSilence bounds the wait after a cancelled call where lists are polled:
	// silenceTimeout has used up 5 s of the 6 s.
	maxWaitAfterSilence = 800 * time.Millisecond
)

// Config holds the parameters of a Rule.
type Config struct {
	Routers int  // the number of routers that use the same discovery
	Pushed  bool // an agent on the router's own machine pushes lists
	// MustAsk is the time after which discovery's changes count as known to a router that has not
	// called, and four times as long after a failed call; 0: not stated. It bounds the spans where
	// lists are polled.
	MustAsk time.Duration
	Seed    uint64
}

// Call is the number of a call of one rule, from 1.
type Call uint64

type call struct {
	id          Call
	epoch       int
	openedAt    time.Time
	lastByteAt  time.Time // when the last byte arrived; zero: none has
	listBegunAt time.Time // when a list began that is not complete; zero: none
	gotList     bool      // a list was received on it
	// secondCallAfter is the silence after which another call is opened in addition.
	secondCallAfter time.Duration
}

// lastProgress returns when the call last made progress. Bytes within one list do not count, as a
// list may never end.
func (c *call) lastProgress() time.Time {
	switch {
	case c.lastByteAt.IsZero():
		return c.openedAt
	case !c.listBegunAt.IsZero():
		return c.listBegunAt
	}
	return c.lastByteAt
}

// Rule is the state of one router's calls.
type Rule struct {
	cfg          Config
	rng          *rand.Rand
	spans        *backoff.ExponentialBackOff
	calls        []*call // in the order in which they were opened
	lastID       Call
	epoch        int       // counts the addresses of discovery
	nextAllowed  time.Time // the earliest time of the next call of this epoch if none is open
	pauseUntil   time.Time // after a failed call: the earliest time of a call while another is open
	invalidLists int       // invalid lists in a row
}

// New returns a rule that has opened no call.
func New(cfg Config) *Rule {
	cfg.Routers = max(cfg.Routers, 1)
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = max(minSpan, time.Duration(cfg.Routers)*time.Second/initialCallsPerSecond)
	b.MaxInterval, b.Multiplier, b.RandomizationFactor = maxSpanGrowth*b.InitialInterval, 2, 0
	maxSpan := maxWait - minSpan/2
	if cfg.MustAsk > 0 {
		maxSpan = min(maxSpan, failedCallFactor*cfg.MustAsk)
	}
	b.InitialInterval, b.MaxInterval = min(b.InitialInterval, maxSpan), min(b.MaxInterval, maxSpan)
	b.Reset()
	return &Rule{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 1)), spans: b}
}

func (r *Rule) find(id Call) *call {
	if i := slices.IndexFunc(r.calls, func(c *call) bool { return c.id == id }); i >= 0 {
		return r.calls[i]
	}
	return nil
}

// BytesReceived records that bytes arrived on a call.
func (r *Rule) BytesReceived(now time.Time, id Call) {
	if c := r.find(id); c != nil {
		c.lastByteAt = now
	}
}

// ListBegun records that bytes arrived on a call that begin or continue a list. The list ends when
// ListReceived or CallEnded is called for the call.
func (r *Rule) ListBegun(now time.Time, id Call) {
	if c := r.find(id); c != nil {
		c.lastByteAt = now
		if c.listBegunAt.IsZero() {
			c.listBegunAt = now
		}
	}
}

// ListReceived records that a list arrived on a call and was applied. It returns the calls that are
// no longer needed; they count as ended.
func (r *Rule) ListReceived(now time.Time, id Call) (drop []Call) {
	c := r.find(id)
	if c == nil {
		return nil
	}
	c.lastByteAt, c.listBegunAt, c.gotList = now, time.Time{}, true
	if c.epoch == r.epoch {
		r.invalidLists = 0
		r.spans.Reset()
	}
	r.calls = slices.DeleteFunc(r.calls, func(o *call) bool {
		// A watch of the previous address stays until the new address has sent a list.
		superseded := o != c && o.epoch <= c.epoch
		if superseded {
			drop = append(drop, o.id)
		}
		return superseded
	})
	return drop
}

// CallEnded records that a call has ended or that its list was invalid.
func (r *Rule) CallEnded(now time.Time, id Call, invalid bool) {
	c := r.find(id)
	if c == nil {
		return
	}
	r.calls = slices.DeleteFunc(r.calls, func(o *call) bool { return o == c })
	if c.epoch == r.epoch {
		r.scheduleNext(now, c, invalid)
		r.pauseUntil = r.nextAllowed
	}
}

// scheduleNext sets the earliest time of the next call.
func (r *Rule) scheduleNext(now time.Time, c *call, invalid bool) {
	succeeded := c.gotList && !invalid
	switch {
	case invalid && r.cfg.Pushed:
		r.invalidLists++
		r.nextAllowed = now.Add(min(retryDelay<<min(r.invalidLists-1, 10), maxInvalidListDelay))
	case r.cfg.Pushed && succeeded:
		r.nextAllowed = now
	case r.cfg.Pushed:
		r.nextAllowed = now.Add(retryDelay)
	case succeeded:
		r.nextAllowed = now.Add(r.draw(r.spans.NextBackOff()))
	default:
		// Measured from when the call was opened, as it may have taken long to fail.
		r.nextAllowed = later(now.Add(minSpan/2), c.openedAt.Add(minSpan/2+r.draw(r.spans.NextBackOff())))
	}
}

func (r *Rule) draw(span time.Duration) time.Duration {
	return time.Duration(r.rng.Int64N(int64(max(span, 1))))
}

// AddressChanged records that discovery has another address. The next call may be opened at once;
// lists from the old address count until the new one has sent a list.
func (r *Rule) AddressChanged(now time.Time) {
	r.epoch++
	r.nextAllowed, r.pauseUntil, r.invalidLists = now, now, 0
	r.spans.Reset()
}

// Next returns what to do now: the calls to cancel, which count as ended, the call to open or 0,
// and when to call Next again at the latest if nothing happens.
func (r *Rule) Next(now time.Time) (drop []Call, open Call, wake time.Time) {
	wake = now.Add(silenceTimeout)
	wakeBy := func(t time.Time) {
		if t.Before(wake) {
			wake = t
		}
	}
	var live, newest *call
	r.calls = slices.DeleteFunc(r.calls, func(c *call) bool {
		deadline := c.lastProgress().Add(silenceTimeout)
		if !now.Before(deadline) {
			drop = append(drop, c.id)
			if c.epoch == r.epoch && r.cfg.Pushed {
				r.scheduleNext(now, c, false)
			} else if c.epoch == r.epoch {
				r.nextAllowed = later(r.nextAllowed, now.Add(r.draw(min(r.spans.NextBackOff(), maxWaitAfterSilence))))
			}
			return true
		}
		wakeBy(deadline)
		if c.epoch == r.epoch {
			newest = c
			if live == nil || c.lastProgress().After(live.lastProgress()) {
				live = c
			}
		}
		return false
	})
	var due time.Time
	switch {
	case live == nil:
		due = r.nextAllowed
	case len(r.calls) >= maxOpenCalls:
		return drop, 0, wake
	case !r.cfg.Pushed:
		due = later(live.lastProgress(), newest.openedAt).Add(newest.secondCallAfter)
	case newest.lastByteAt.IsZero():
		due = newest.openedAt.Add(slowCallAfter)
	default:
		due = live.lastProgress().Add(secondWatchAfter)
	}
	due = later(due, r.pauseUntil)
	if now.Before(due) {
		wakeBy(due)
		return drop, 0, wake
	}
	r.lastID++
	r.calls = append(r.calls, &call{id: r.lastID, epoch: r.epoch, openedAt: now,
		secondCallAfter: secondCallMin + r.draw(secondCallMax-secondCallMin)})
	wakeBy(now.Add(slowCallAfter))
	return drop, r.lastID, wake
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
