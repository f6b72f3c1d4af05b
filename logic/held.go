package logic

// This file: the read state that waits at a reader until a writer takes it, and when it is let go of.
//
// Bytes that went out prove nothing: a proxy, or the system of a server that is stopped or cut off, takes
// them too. So the time for which a state may wait runs on until a server has answered for it, and then the
// state is let go of, whether an attempt is out or not. That does not harm an attempt which a server has:
// what is let go of is what no attempt waits for.

import (
	"time"
)

// triesWithState is how many servers are tried with one held state where connections fail.
const triesWithState = 3

// leastSendTime is how much time to reach a writer makes a try worth while. So long before its time is over a
// state is let go of.
func (g *Gateway) leastSendTime() time.Duration { return g.set.ReleaseWithin / triesWithState / 2 }

// releaseDue is when the request's state has to be let go of unless a server has answered for it by then.
func (g *Gateway) releaseDue(r *request) Time {
	return r.heldSince + Time(g.set.ReleaseWithin-g.leastSendTime())
}

// sendWithin is how long an attempt may take to reach its server. A state counts as held until then; a try
// gets a part.
func (g *Gateway) sendWithin(r *request) time.Duration {
	if r.reader == nil {
		return 0
	}
	return min(g.set.ReleaseWithin/triesWithState, after(g.now, g.releaseDue(r)))
}

// armRelease has the state looked at when it is due, once for each state however many attempts carry it.
func (g *Gateway) armRelease(r *request) {
	due := g.releaseDue(r)
	if r.reader == nil || g.set.ReleaseWithin <= 0 || r.releaseArmed == due {
		return
	}
	r.releaseArmed = due
	g.arm(r, max(after(g.now, due), 0))
}

// releaseUnanswered lets go of a state that is due beside the attempt that carries it.
func (g *Gateway) releaseUnanswered(r *request) {
	carried := r.phase == writing && r.reader != nil && !r.released
	if !carried || g.set.ReleaseWithin <= 0 || g.now < g.releaseDue(r) {
		return
	}
	r.released = true
	g.do(Action{Kind: Release, ID: r.ID})
}

// settleState takes what the end of an attempt says of the request's state. Where the state is gone, or may
// be, it is let go of again: an attempt that is over may have waited for it.
func (g *Gateway) settleState(r *request, was phase, e *Event) {
	answered := e.Status.Answered() && !e.Unreached
	if answered {
		r.heldSince = g.now
	}
	released := r.released
	r.released = false
	switch {
	case e.Status == PromptRead:
		r.reader = r.server
		return
	case was == reading && e.Status == Rejected:
		return
	case was == reading: // a reader behind a cut path may hold it still
	case r.reader != nil && released && !answered:
	case e.Status == Full && e.Kept == 1: // no state there
	default:
		return
	}
	r.reader = nil
	g.do(Action{Kind: Release, ID: r.ID})
}
