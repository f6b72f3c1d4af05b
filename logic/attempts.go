package logic

// This file: an attempt from its start to what follows from its end.

import (
	"math"
	"time"
)

const (
	callOffPart = 0.3         // part of the aim that every attempt gets before it is called off
	fullBacklog = time.Second // backlog that a 'full' stands for
)

// send starts the one attempt of a request, charges it, and budgets its time-out.
func (g *Gateway) send(r *request, s *server) {
	if g.assumedWarmth(s) < 1 {
		s.coldCredits--
	}
	if s.suspectUntil != 0 && g.now >= s.suspectUntil { // its trial: one at a time
		s.suspectUntil = g.now + Time(firstBackoff)
	}
	r.charge, r.queuedAhead = 0, 0
	if r.reader == nil {
		r.charge, r.queuedAhead = g.missing(r, s), g.pending(s)+g.reported(s)
		s.pendingTokens += r.charge
		s.record(r, g.now)
	}
	r.phase = reading
	if s.role != RoleRead {
		r.phase = writing
		s.streams++
		s.tokens += r.memory
		s.since += r.memory
	}
	if s.waiting == 0 {
		s.lastSignAt = g.now
	}
	s.waiting++
	r.out, r.called, r.server, r.sentAt, r.check = true, false, s, g.now, math.MaxInt64
	r.sends++
	g.do(Action{Kind: Send, ID: r.ID, Server: s.Server, After: g.budget(r, s), SendWithin: g.sendWithin(r)})
	g.armRelease(r)
}

// budget is the time-out of an attempt: past all that is usual and a good part of the aim, if another try
// can still make it then. A server that is at work on other requests is slow, not silent: cutting it off
// would only have the prompt read twice. So where calls may be called off, this is for the silent alone.
func (g *Gateway) budget(r *request, s *server) time.Duration {
	left := after(g.now, r.deadline)
	p, _ := g.stage(r, s)
	// Nothing may be kept there. What is called off at a writer loses its place, and waits as long at the next.
	d := seconds(p.unusual(r.PromptTokens+r.queuedAhead+baseTokens)) + quietFloor
	if r.reader != nil {
		d += seconds(2 * g.waitAt(s.role))
	}
	d = max(d, time.Duration(callOffPart*float64(r.aim)))
	// What must not run twice is not called off once it may run: nothing could be tried after it.
	last := r.sends-r.unreached >= r.most || s.role != RoleRead && g.class(r).Effect == EffectOnce
	if d > left/2 || last {
		d = left
	} else if g.set.CancelAllowed {
		r.check = g.now + Time(d)
		g.arm(r, d)
		d = left
	}
	return max(d, time.Millisecond)
}

// stage is the pace that an attempt goes by, and the tokens that it is worth there.
func (g *Gateway) stage(r *request, s *server) (*pace, float64) {
	if r.reader != nil {
		return &g.fetch, r.PromptTokens + baseTokens
	}
	return &g.reads[s.Kind], r.charge + r.queuedAhead + baseTokens
}

func (g *Gateway) started(e *Event) {
	r := g.requests[e.ID]
	if r == nil || !r.out || r.phase != writing {
		return
	}
	r.settle()
	g.takeReport(r.server, e.Load)
	g.learn(r, r.server, e.Latency)
	r.phase = streaming
	g.delay.average(g.now, g.waitSpan(), math.Max(0, after(r.arrived, g.now).Seconds()-r.need), 0.02)
	if r.reader == nil {
		r.server.record(r, g.now)
	}
	r.reader, r.released = nil, false // the answer's beginning lets go of the rest
}

// learn compares an attempt's time with the pace of its kind. A wait for a writer is all of its time.
func (g *Gateway) learn(r *request, s *server, took time.Duration) {
	s.served(g.now)
	g.settleStage(r, true)
	p, tok := g.stage(r, s)
	sec, want := took.Seconds(), p.seconds(tok)
	if p.n > 0 {
		g.sample(s, sec/want)
	}
	if r.reader != nil {
		want = 0
	}
	if r.reader != nil || g.peers > 0 {
		g.waited(s.role, sec-want)
	}
	if r.reader == nil || !g.reports || g.share(s) < roomShare { // a wait for room is no pace
		p.observe(tok, sec)
	}
}

// unanswered takes an attempt without an outcome of its own for one that took so long at least.
func (g *Gateway) unanswered(r *request, s *server) {
	p, tok := g.stage(r, s)
	sec := after(r.sentAt, g.now).Seconds()
	most := p.seconds(tok) * (p.ratio + strayTimes/2*p.dev)
	if sec < most { // its client's time was short, which says nothing of the server
		return
	}
	// Beside many answers that come at once, one that does not is lost; in a jam it is a longer wait.
	bound := (2*g.waitAt(s.role) + quietFloor.Seconds()) / (1 - g.unseenShare)
	g.waited(s.role, math.Min(sec-p.seconds(tok), bound))
	g.sample(s, sec/p.seconds(tok))
	p.stray(tok, most)            // a jam raises the time-outs by and by; silent servers must not do so at once
	if s.lastSignAt <= r.sentAt { // nothing at all since: silent, not just slow
		g.suspect(s)
	}
}

func (g *Gateway) ended(e *Event) {
	r := g.requests[e.ID]
	if r == nil || !r.out {
		return
	}
	s, was := r.server, r.phase
	r.free(g.now, e.Unreached)
	g.takeReport(s, e.Load)
	if was != streaming {
		r.settle()
	}
	if was != reading {
		s.streams--
		s.tokens = math.Max(0, s.tokens-r.memory)
	}
	g.judge(r, s, e)
	g.settleStage(r, false)
	r.closed = r.closed || e.Closed
	noState := e.Status == Full && e.Kept == 1
	g.settleState(r, was, e)
	never := e.Status == Full || e.Status == ConnectFailed || e.Status == NotSent || e.Status == PromptRead
	if was == writing && !never && !r.mayHaveRun {
		r.mayHaveRun, r.ranAt, r.ranServer = true, r.sentAt, s
	}
	if e.Status != PromptRead && !noState && !e.Stale {
		r.tried = append(r.tried, s)
		r.failed++
	}
	switch {
	case r.closed:
		g.drop(r)
	case e.Status == NotSent:
		g.giveUp(r, WhyNotSent)
	case e.Status == Rejected:
		g.giveUp(r, WhyRejected)
	case e.Status == Full && !noState && r.sends > 2:
		g.hold(r) // where all are full, asking each of them at once only adds to it
	default:
		g.proceed(r)
	}
}

// refusalReason tells why nothing can be sent for a request any more.
func (g *Gateway) refusalReason(r *request) Why {
	c := g.class(r)
	switch {
	case g.closing:
		return WhyClosing
	case r.sends-r.unreached >= r.most:
		return WhyTriesSpent
	case after(g.now, r.deadline) <= holdMargin:
		return WhyTimeOver
	case !r.mayHaveRun:
		return WhyNone
	case c.Effect == EffectOnce, c.Effect == EffectByKey && after(r.ranAt, g.now) >= c.RepeatWindow:
		return WhyMayHaveRun
	}
	return WhyNone
}

// proceed takes a request with no attempt out on: to a writer with its state, or to a reader.
func (g *Gateway) proceed(r *request) {
	if r.reader != nil && g.sendWithin(r) < g.leastSendTime() {
		r.reader = nil // too late to reach a writer with it: it is let go of, and the prompt read again
		g.do(Action{Kind: Release, ID: r.ID})
	}
	if why := g.refusalReason(r); why != WhyNone {
		g.giveUp(r, why)
		return
	}
	var s *server
	g.survey()
	g.countAtStage(r)
	if r.reader != nil {
		s = g.pickWriter(r)
	} else if s = g.pickReader(r); s != nil && g.tooLate(r, s) {
		g.giveUp(r, WhyQueue)
		return
	}
	if s == nil {
		g.hold(r)
		return
	}
	g.send(r, s)
}

// judge draws from an outcome what it says of the server.
func (g *Gateway) judge(r *request, s *server, e *Event) {
	switch e.Status {
	case PromptRead:
		r.charge = math.Max(0, r.PromptTokens-float64(e.Kept)) // a failed promise is not the server's slowness
		g.learn(r, s, e.Latency)
		// A shortfall of kept tokens voids nothing: what was just read is kept again, and other entries
		// still lead their sessions back to one reader instead of scattering them over all.
		s.record(r, g.now)
	case Served:
		s.served(g.now)
	case Full, Rejected:
		if e.Unreached { // it was not even asked
			break
		}
		if s.lastSignAt = g.now; e.Kept == 1 || e.Status == Rejected { // it has room
			break
		}
		// Its queue is full, whatever this gateway has there: peers' work, or left behind.
		g.waited(s.role, fullBacklog.Seconds())
		full := s.memory // of a writer: without own streams it would look the emptiest
		if s.role != RoleWrite {
			full = fullBacklog.Seconds() / g.readSeconds(s, 1)
		}
		s.residualTokens.add(g.now, residualFade, math.Max(0, full-s.residualTokens.value(g.now, residualFade)))
	case TimedOut, Cancelled:
		s.residualTokens.add(g.now, residualFade, r.charge)
		if e.Status == TimedOut || r.called {
			g.unanswered(r, s)
		}
	case ConnectFailed, ConnectionReset:
		if e.Stale { // the connection's fault
			break
		}
		// A dead process keeps nothing; a path that is cut keeps it from us all the same.
		s.kept = map[Key]entry{}
		g.suspect(s)
		s.missed(g.now, e.Status == ConnectFailed, g.set.FallAfter)
	case ServerError:
		g.erred(s)
	}
}
