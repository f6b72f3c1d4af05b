// Package agentrule decides when a router asks the platform's discovery agent,
// on which calls it waits for changes, and which of them it gives up. It does no
// I/O and keeps no clock: the caller tells what happened, and when, and does what
// Next says. A Rule is not safe for concurrent use.
//
// Two kinds of discovery want two rules. Where lists are pushed, the agent stands
// on the router's own machine, answers at once and at no cost, and all that it has
// counts as known to the router: so a watch that breaks or falls silent is replaced
// at once, however many routers there are. Where lists are asked for, one service
// answers all routers and bears only so much: what fails one of them mostly fails
// all. So there the span in which a router draws its next call grows with their number
// and with failures, as far as the time allows after which a change counts as told
// whatever has failed: 6 s after discovery had it and could be reached.
package agentrule

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"
)

const (
	// Silent is how long a call may say nothing before it is given up. An agent
	// writes an empty line every 2 s, and what a silent watch misses counts as
	// told 6 s after it fell silent.
	Silent = 5 * time.Second
	// doubtAfter is the silence after which a second watch is opened beside a
	// pushed one: a line has been missed, and half a second more.
	doubtAfter = 2500 * time.Millisecond
	// replaceAfter is how long a call may say nothing until another is opened beside
	// it: an agent that is there mostly answers at once. The slow one stays.
	replaceAfter = time.Second
	mostOpen     = 3 // calls at once
	// againAfter is the wait after a call that failed where lists are pushed: well
	// under the shortest time that a router has to act on a leaving (settings'
	// safety.stop-sending-within-ns, 250 ms).
	againAfter = 100 * time.Millisecond
	// mostNonsense bounds the wait after pushed lists that make no sense: asked again, the
	// agent will mostly say the same.
	mostNonsense = 2 * time.Second

	// leastSpan, askedTogether and mostSpans set the spans where lists are asked
	// for: all routers together ask askedTogether times a second at first, and
	// failures let the span grow mostSpans times, as far as mostWait.
	leastSpan     = 200 * time.Millisecond
	askedTogether = 20
	mostSpans     = 4
	afterFailed   = 4 // of Config.MustAsk, after a call that failed
	// mostWait bounds every wait between calls where lists are asked for. What counts as told
	// 6 s after discovery could be reached has to be in hand by then. So N routers that
	// meet nothing but failures ask some N/2 times a second in all.
	mostWait = 4 * time.Second
	// Where lists are asked for, a second call goes beside one that has said nothing, or nothing
	// for so long, at a time drawn between these.
	besideAfter  = 2500 * time.Millisecond
	besideWithin = 3500 * time.Millisecond
	// silentWithin bounds the wait after a call that was given up: Silent has taken the rest of 6 s.
	silentWithin = 800 * time.Millisecond
)

// Config is what the rule goes by.
type Config struct {
	Routers int  // that ask the same discovery
	Pushed  bool // an agent of the router's own machine pushes lists
	// MustAsk is the time after which a router that has not asked counts as told, four
	// times as long after a failed call; 0: not stated. It bounds the spans where lists
	// are asked for.
	MustAsk time.Duration
	Seed    uint64
}

// Call numbers the calls of one rule, from 1.
type Call uint64

type call struct {
	id    Call
	epoch int
	asked time.Time
	heard time.Time // of the last byte; zero: none came yet
	begun time.Time // a list that has not come to its end; zero: none
	told  bool      // it has brought a list
	// beside is the silence after which another call is opened beside this one.
	beside time.Duration
}

// quiet is since when nothing has come on the call, or nothing that helps: the bytes of one
// list may come for ever.
func (c *call) quiet() time.Time {
	switch {
	case c.heard.IsZero():
		return c.asked
	case !c.begun.IsZero():
		return c.begun
	}
	return c.heard
}

// Rule is the state of one router's watch.
type Rule struct {
	cfg   Config
	rng   *rand.Rand
	spans *backoff.ExponentialBackOff
	calls []*call // in the order in which they were opened
	last  Call
	epoch int       // counts the addresses
	next  time.Time // no call of this epoch is opened before this, if no other is out
	pause time.Time // nor beside another before this: one that failed is not made again at once
	odd   int       // lists in a row that made no sense
}

// New returns a rule that has asked nothing.
func New(cfg Config) *Rule {
	cfg.Routers = max(cfg.Routers, 1)
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = max(leastSpan, time.Duration(cfg.Routers)*time.Second/askedTogether)
	b.MaxInterval, b.Multiplier, b.RandomizationFactor = mostSpans*b.InitialInterval, 2, 0
	most := mostWait - leastSpan/2
	if cfg.MustAsk > 0 {
		most = min(most, afterFailed*cfg.MustAsk)
	}
	b.InitialInterval, b.MaxInterval = min(b.InitialInterval, most), min(b.MaxInterval, most)
	b.Reset()
	return &Rule{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 1)), spans: b}
}

func (r *Rule) find(id Call) *call {
	if i := slices.IndexFunc(r.calls, func(c *call) bool { return c.id == id }); i >= 0 {
		return r.calls[i]
	}
	return nil
}

// Heard notes that bytes came on a call.
func (r *Rule) Heard(now time.Time, id Call) {
	if c := r.find(id); c != nil {
		c.heard = now
	}
}

// Begun notes that bytes came on a call that begin a list or go on with one. It is
// over when the list is told, or the call has ended.
func (r *Rule) Begun(now time.Time, id Call) {
	if c := r.find(id); c != nil {
		c.heard = now
		if c.begun.IsZero() {
			c.begun = now
		}
	}
}

// Told notes that a call brought a list that was taken over. It returns the calls
// that are not needed beside it; they count as ended.
func (r *Rule) Told(now time.Time, id Call) (drop []Call) {
	c := r.find(id)
	if c == nil {
		return nil
	}
	c.heard, c.begun, c.told = now, time.Time{}, true
	if c.epoch == r.epoch {
		r.odd = 0
		r.spans.Reset()
	}
	r.calls = slices.DeleteFunc(r.calls, func(o *call) bool {
		// A watch of the address before stays until the new one speaks.
		over := o != c && o.epoch <= c.epoch
		if over {
			drop = append(drop, o.id)
		}
		return over
	})
	return drop
}

// Ended notes that a call ended by itself, or that its list made no sense.
func (r *Rule) Ended(now time.Time, id Call, nonsense bool) {
	c := r.find(id)
	if c == nil {
		return
	}
	r.calls = slices.DeleteFunc(r.calls, func(o *call) bool { return o == c })
	if c.epoch == r.epoch {
		r.over(now, c, nonsense)
		r.pause = r.next
	}
}

// over sets when the next call may be opened.
func (r *Rule) over(now time.Time, c *call, nonsense bool) {
	worked := c.told && !nonsense
	switch {
	case nonsense && r.cfg.Pushed:
		r.odd++
		r.next = now.Add(min(againAfter<<min(r.odd-1, 10), mostNonsense))
	case r.cfg.Pushed && worked:
		r.next = now
	case r.cfg.Pushed:
		r.next = now.Add(againAfter)
	case worked:
		r.next = now.Add(r.draw(r.spans.NextBackOff()))
	default:
		// From when it was asked: it may have taken long to fail.
		r.next = later(now.Add(leastSpan/2), c.asked.Add(leastSpan/2+r.draw(r.spans.NextBackOff())))
	}
}

func (r *Rule) draw(span time.Duration) time.Duration {
	return time.Duration(r.rng.Int64N(int64(max(span, 1))))
}

// Moved notes that discovery has another address. It is asked at once; what the
// old one still says counts until the new one speaks.
func (r *Rule) Moved(now time.Time) {
	r.epoch++
	r.next, r.pause, r.odd = now, now, 0
	r.spans.Reset()
}

// Next says what to do now: calls to give up, which count as ended, whether to open
// one, and when to ask again at the latest if nothing happens.
func (r *Rule) Next(now time.Time) (drop []Call, open Call, wake time.Time) {
	wake = now.Add(Silent)
	soon := func(t time.Time) {
		if t.Before(wake) {
			wake = t
		}
	}
	var live, newest *call
	r.calls = slices.DeleteFunc(r.calls, func(c *call) bool {
		end := c.quiet().Add(Silent)
		if !now.Before(end) {
			drop = append(drop, c.id)
			if c.epoch == r.epoch && r.cfg.Pushed {
				r.over(now, c, false)
			} else if c.epoch == r.epoch {
				r.next = later(r.next, now.Add(r.draw(min(r.spans.NextBackOff(), silentWithin))))
			}
			return true
		}
		soon(end)
		if c.epoch == r.epoch {
			newest = c
			if live == nil || c.quiet().After(live.quiet()) {
				live = c
			}
		}
		return false
	})
	var due time.Time
	switch {
	case live == nil:
		due = r.next
	case len(r.calls) >= mostOpen:
		return drop, 0, wake
	case !r.cfg.Pushed:
		due = later(live.quiet(), newest.asked).Add(newest.beside)
	case newest.heard.IsZero():
		due = newest.asked.Add(replaceAfter)
	default:
		due = live.quiet().Add(doubtAfter)
	}
	due = later(due, r.pause)
	if now.Before(due) {
		soon(due)
		return drop, 0, wake
	}
	r.last++
	r.calls = append(r.calls, &call{id: r.last, epoch: r.epoch, asked: now,
		beside: besideAfter + r.draw(besideWithin-besideAfter)})
	soon(now.Add(replaceAfter))
	return drop, r.last, wake
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
