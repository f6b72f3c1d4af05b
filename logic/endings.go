package logic

import (
	"maps"
	"slices"
	"time"
)

// holdRetryInterval is the time after which a request that waits for a server is tried again.
const holdRetryInterval = 20 * time.Millisecond

// hold keeps a request for a moment because no server may take it now.
func (g *Gateway) hold(r *request) {
	stateDue := r.reader != nil && r.unreached == 0 &&
		between(r.idleSince, g.now) > g.settings.ReleaseWithin/2
	if between(g.now, r.deadline) <= deadlineMargin+holdRetryInterval || stateDue {
		g.refuseOrFail(r, WhyNoServer)
		return
	}
	r.checkAt = g.now + Time(holdRetryInterval)
	g.setTimer(r, holdRetryInterval)
}

// handleTimer performs what is due for a request: a release, a move, a new attempt or a
// cancellation.
func (g *Gateway) handleTimer(id RequestID) {
	r := g.requests[id]
	if r != nil {
		g.releaseOverdue(r)
	}
	switch {
	case r != nil && !r.closed && r.phase == phaseStreaming && r.moveDueAt != 0 && g.now >= r.moveDueAt:
		g.emit(Action{Kind: Move, ID: id})
	case r == nil || r.closed || g.now < r.checkAt ||
		r.phase == phaseStreaming || r.inFlight && r.cancelled:
	case !r.inFlight:
		g.proceed(r)
	case r.server.lastActivityAt <= r.sentAt:
		r.cancelled = true
		g.emit(Action{Kind: CancelAttempt, ID: r.ID, Attempt: r.sends - 1})
	default:
		r.checkAt = g.now + Time(attemptMargin)
		g.setTimer(r, attemptMargin)
	}
}

// refuseOrFail ends a request at once: with a refusal and advice when to retry where the rules
// allow one, otherwise with a failure.
func (g *Gateway) refuseOrFail(r *request, why Why) {
	a, c := Action{Kind: Refuse, ID: r.ID, Why: why}, r.class()
	if r.mayHaveRun && (c.Effect == EffectOnce || c.Effect == EffectByKey && c.Group != GroupAll) {
		a.Kind = Fail
	} else if g.settings.RetryAfter {
		a.After = time.Duration(float64(g.settings.MaxRetryAfter) * (0.5 + 0.5*g.rng.Float64()))
	}
	g.emit(a)
	r.closed = true
	g.drop(r)
}

// shutDown prepares for the end of the instance, which is due after the given time. Answers that
// have begun are moved if their clients reconnect for the rest. The moves are spread over that
// time: each answer is read again elsewhere, and all at once would overload the readers. Once the
// end is due, attempts whose answers have not begun are cancelled, and requests without an attempt
// in flight are refused or failed.
func (g *Gateway) shutDown(in time.Duration) {
	g.closing = in <= 0
	ids := slices.Sorted(maps.Keys(g.requests))
	for i, id := range ids {
		switch r := g.requests[id]; {
		case r.closed:
		case r.phase == phaseStreaming && g.settings.Resume:
			d := max(in*time.Duration(i)/time.Duration(len(ids)), 0)
			r.moveDueAt = g.now + Time(d)
			g.setTimer(r, d)
		case r.phase == phaseStreaming || !g.closing:
		case r.inFlight:
			r.cancelled = true
			g.emit(Action{Kind: CancelAttempt, ID: id, Attempt: r.sends - 1})
		default:
			g.refuseOrFail(r, WhyClosing)
		}
	}
}

// drop removes a request that has ended, once no attempt is in flight, and releases its read state.
func (g *Gateway) drop(r *request) {
	if r.inFlight {
		return
	}
	if r.reader != nil {
		g.emit(Action{Kind: Release, ID: r.ID})
		r.reader = nil
	}
	g.settleStageCount(r, false)
	delete(g.requests, r.ID)
}
