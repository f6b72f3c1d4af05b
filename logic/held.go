package logic

// A reader holds the read state of a prompt until a writer fetches it or it is released.
//
// Bytes sent do not prove that their server has received them: a proxy, or the operating system of
// a server that is stopped or unreachable, accepts them too. So the time limit of a held state runs
// until a server has answered for it, and then the state is released whether an attempt is in
// flight or not. That does not harm an attempt that a server has received: a release discards only
// a state that no attempt waits for.

import (
	"time"
)

// attemptsPerState is how many servers are tried with one held read state if connections fail.
const attemptsPerState = 3

// minSendTime returns the least remaining time in which an attempt to reach a writer is still made.
// A held state is released this long before its time limit.
func (g *Gateway) minSendTime() time.Duration { return g.settings.ReleaseWithin / attemptsPerState / 2 }

// releaseDue returns when the request's read state has to be released unless a server has answered
// for it by then.
func (g *Gateway) releaseDue(r *request) Time {
	return r.heldSince + Time(g.settings.ReleaseWithin-g.minSendTime())
}

// sendWithin returns how long an attempt may take to reach its server: a part of the time until the
// release is due. The state counts as held until the attempt has reached a server.
func (g *Gateway) sendWithin(r *request) time.Duration {
	if r.reader == nil {
		return 0
	}
	return min(g.settings.ReleaseWithin/attemptsPerState, between(g.now, g.releaseDue(r)))
}

// setReleaseTimer sets a timer for when the release is due, once for each state however many
// attempts carry it.
func (g *Gateway) setReleaseTimer(r *request) {
	due := g.releaseDue(r)
	if r.reader == nil || g.settings.ReleaseWithin <= 0 || r.releaseTimerAt == due {
		return
	}
	r.releaseTimerAt = due
	g.setTimer(r, max(between(g.now, due), 0))
}

// releaseOverdue releases a state that is due while the attempt that carries it is in flight.
func (g *Gateway) releaseOverdue(r *request) {
	carried := r.phase == phaseWriting && r.reader != nil && !r.released
	if !carried || g.settings.ReleaseWithin <= 0 || g.now < g.releaseDue(r) {
		return
	}
	r.released = true
	g.emit(Action{Kind: Release, ID: r.ID})
}

// settleReadState updates the request's read state by the outcome of an attempt. A state that is
// lost, or may be, is released again: the attempt that has ended may have waited for it.
func (g *Gateway) settleReadState(r *request, was attemptPhase, e *Event) {
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
	case was == phaseReading && e.Status == Rejected:
		return
	case was == phaseReading: // an unreachable reader may still hold it
	case r.reader != nil && released && !answered:
	case e.Status == Full && e.Kept == 1: // no read state there
	default:
		return
	}
	r.reader = nil
	g.emit(Action{Kind: Release, ID: r.ID})
}
