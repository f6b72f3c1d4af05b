package logic

// This file: requests that wait or end, and what is let go of.

import (
	"maps"
	"slices"
	"time"
)

// holdStep is after how long a held request is looked at again.
const holdStep = 20 * time.Millisecond

// hold keeps a request for a moment: no server may take it now.
func (g *Gateway) hold(r *request) {
	stateDue := r.reader != nil && r.unreached == 0 && after(r.idleSince, g.now) > g.set.ReleaseWithin/2
	if after(g.now, r.deadline) <= holdMargin+holdStep || stateDue {
		g.giveUp(r, WhyNoServer)
		return
	}
	r.check = g.now + Time(holdStep)
	g.arm(r, holdStep)
}

func (g *Gateway) timer(id RequestID) {
	r := g.requests[id]
	if r != nil {
		g.releaseUnanswered(r)
	}
	switch {
	case r != nil && !r.closed && r.phase == streaming && r.moveAt != 0 && g.now >= r.moveAt:
		g.do(Action{Kind: Move, ID: id})
	case r == nil || r.closed || g.now < r.check || r.phase == streaming || r.out && r.called:
	case !r.out:
		g.proceed(r)
	case r.server.lastSignAt <= r.sentAt:
		r.called = true
		g.do(Action{Kind: CallOff, ID: r.ID, Attempt: r.sends - 1})
	default:
		r.check = g.now + Time(quietFloor)
		g.arm(r, quietFloor)
	}
}

// giveUp answers at once: a refusal where the rules allow one, with advice when to come back.
func (g *Gateway) giveUp(r *request, why Why) {
	a, c := Action{Kind: Refuse, ID: r.ID, Why: why}, g.class(r)
	if r.mayHaveRun && (c.Effect == EffectOnce || c.Effect == EffectByKey && c.Group != GroupAll) {
		a.Kind = Fail
	} else if g.set.RetryAfter {
		a.After = time.Duration(float64(g.set.MaxRetryAfter) * (0.5 + 0.5*g.rng.Float64()))
	}
	g.do(a)
	r.closed = true
	g.drop(r)
}

// close ends what is in hand before the instance ends: answers that have begun move, where their clients
// come again for the rest, and requests that wait for one are called off and answered. Until all of that
// is due, answers move one by one: each is read anew elsewhere, and all at once would jam the readers.
func (g *Gateway) close(in time.Duration) {
	g.closing = in <= 0
	ids := slices.Sorted(maps.Keys(g.requests))
	for i, id := range ids {
		switch r := g.requests[id]; {
		case r.closed:
		case r.phase == streaming && g.set.Resume:
			d := max(in*time.Duration(i)/time.Duration(len(ids)), 0)
			r.moveAt = g.now + Time(d)
			g.arm(r, d)
		case r.phase == streaming || !g.closing:
		case r.out:
			r.called = true
			g.do(Action{Kind: CallOff, ID: id, Attempt: r.sends - 1})
		default:
			g.giveUp(r, WhyClosing)
		}
	}
}

// drop forgets a request that has ended, once nothing of it is out, and lets go of what is held for it.
func (g *Gateway) drop(r *request) {
	if r.out {
		return
	}
	if r.reader != nil {
		g.do(Action{Kind: Release, ID: r.ID})
		r.reader = nil
	}
	g.settleStage(r, false)
	delete(g.requests, r.ID)
}
