package logic

import (
	"math"
	"time"
)

const (
	minAttemptAimShare = 0.3         // part of the aim that each attempt gets before cancellation
	fullBacklog        = time.Second // backlog assumed at a server that answers Full
)

// send starts an attempt, charges it to the server and sets its time-out.
func (g *Gateway) send(r *request, s *server) {
	if g.assumedWarmth(s) < 1 {
		s.coldCredits--
	}
	if s.suspectUntil != 0 && g.now >= s.suspectUntil { // this is its trial; only one at a time
		s.suspectUntil = g.now + Time(firstBackoff)
	}
	r.charge, r.queuedAhead = 0, 0
	if r.reader == nil {
		r.charge, r.queuedAhead = g.uncachedTokens(r, s), g.pendingLoad(s)+g.peerLoad(s)
		s.pendingTokens += r.charge
		s.record(r, g.now)
	}
	r.phase = phaseReading
	if s.role != RoleRead {
		r.phase = phaseWriting
		s.streams++
		s.ownTokens += r.memory
		s.tokensSinceReport += r.memory
	}
	if s.waiting == 0 {
		s.lastActivityAt = g.now
	}
	s.waiting++
	r.inFlight, r.cancelled, r.server, r.sentAt, r.checkAt = true, false, s, g.now, math.MaxInt64
	r.sends++
	g.emit(Action{Kind: Send, ID: r.ID, Server: s.Server,
		After: g.attemptTimeout(r, s), SendWithin: g.sendWithin(r)})
	g.setReleaseTimer(r)
}

// attemptTimeout returns the time-out of an attempt: beyond all usual durations and a good part of
// the aim, if another attempt can still be made then. A server that works on other requests is
// slow, not silent: cancelling would only have the prompt read twice. So where attempts can be
// cancelled, a timer does so at silent servers only.
func (g *Gateway) attemptTimeout(r *request, s *server) time.Duration {
	left := between(g.now, r.deadline)
	p, _ := g.speedFor(r, s)
	// Assumes an empty cache. A request cancelled at a writer loses its place, and waits as long at
	// the next.
	d := seconds(p.outlierSeconds(r.PromptTokens+r.queuedAhead+overheadTokens)) + attemptMargin
	if r.reader != nil {
		d += seconds(2 * g.recentWait(s.role))
	}
	d = max(d, time.Duration(minAttemptAimShare*float64(r.aim)))
	// A request that must not run twice is not cancelled where it may run: no attempt could follow.
	last := r.sends-r.unreached >= r.maxAttempts || s.role != RoleRead && r.class().Effect == EffectOnce
	if d > left/2 || last {
		d = left
	} else if g.settings.CancelAllowed {
		r.checkAt = g.now + Time(d)
		g.setTimer(r, d)
		d = left
	}
	return max(d, time.Millisecond)
}

// speedFor returns the speed estimate for an attempt, and the number of tokens that it amounts to.
func (g *Gateway) speedFor(r *request, s *server) (*speedEstimate, float64) {
	if r.reader != nil {
		return &g.fetchSpeed, r.PromptTokens + overheadTokens
	}
	return &g.readSpeeds[s.Kind], r.charge + r.queuedAhead + overheadTokens
}

func (g *Gateway) started(e *Event) {
	r := g.requests[e.ID]
	if r == nil || !r.inFlight || r.phase != phaseWriting {
		return
	}
	r.refundCharge()
	g.applyReport(r.server, e.Load)
	g.observeAttempt(r, r.server, e.Latency)
	r.phase = phaseStreaming
	g.firstTokenDelay.average(g.now, g.waitTimeConstant(),
		math.Max(0, between(r.arrived, g.now).Seconds()-r.serviceSeconds), 0.02)
	if r.reader == nil {
		r.server.record(r, g.now)
	}
	r.reader, r.released = nil, false // no read state is held once the answer has started
}

// observeAttempt compares an attempt's duration with the speed of its kind. At a writer all of it
// is a wait.
func (g *Gateway) observeAttempt(r *request, s *server, took time.Duration) {
	s.markServing(g.now)
	g.settleStageCount(r, true)
	p, tok := g.speedFor(r, s)
	sec, expected := took.Seconds(), p.seconds(tok)
	if p.samples > 0 {
		g.observeSlowdown(s, sec/expected)
	}
	if r.reader != nil {
		expected = 0
	}
	if r.reader != nil || g.peerCount > 0 {
		g.observeWait(s.role, sec-expected)
	}
	// A wait for room says nothing about speed.
	if r.reader == nil || !g.memoryReported || g.memoryShare(s) < maxMemoryShare {
		p.observe(tok, sec)
	}
}

// observeUnanswered records an attempt that has ended without an answer as one that took at least
// the time until now.
func (g *Gateway) observeUnanswered(r *request, s *server) {
	p, tok := g.speedFor(r, s)
	sec := between(r.sentAt, g.now).Seconds()
	outlier := p.seconds(tok) * (p.ratio + outlierDeviations/2*p.dev)
	if sec < outlier { // the client's time was short, which says nothing about the server
		return
	}
	// Among many fast answers, a missing one is lost; under overload, it is a longer wait.
	bound := (2*g.recentWait(s.role) + attemptMargin.Seconds()) / (1 - g.unseenShare)
	g.observeWait(s.role, math.Min(sec-p.seconds(tok), bound))
	g.observeSlowdown(s, sec/p.seconds(tok))
	// Overload raises the time-outs gradually; silent servers must not raise them at once.
	p.observeRatio(tok, outlier)
	if s.lastActivityAt <= r.sentAt { // no activity since: silent, not just slow
		g.suspect(s)
	}
}

func (g *Gateway) ended(e *Event) {
	r := g.requests[e.ID]
	if r == nil || !r.inFlight {
		return
	}
	s, was := r.server, r.phase
	r.finishAttempt(g.now, e.Unreached)
	g.applyReport(s, e.Load)
	if was != phaseStreaming {
		r.refundCharge()
	}
	if was != phaseReading {
		s.streams--
		s.ownTokens = math.Max(0, s.ownTokens-r.memory)
	}
	g.assessServer(r, s, e)
	g.settleStageCount(r, false)
	r.closed = r.closed || e.Closed
	noState := e.Status == Full && e.Kept == 1
	g.settleReadState(r, was, e)
	neverRan := e.Status == Full || e.Status == ConnectFailed ||
		e.Status == NotSent || e.Status == PromptRead
	if was == phaseWriting && !neverRan && !r.mayHaveRun {
		r.mayHaveRun, r.ranAt, r.ranServer = true, r.sentAt, s
	}
	if e.Status != PromptRead && !noState && !e.Stale {
		r.tried = append(r.tried, s)
		r.failedAttempts++
	}
	switch {
	case r.closed:
		g.drop(r)
	case e.Status == NotSent:
		g.refuseOrFail(r, WhyNotSent)
	case e.Status == Rejected:
		g.refuseOrFail(r, WhyRejected)
	case e.Status == Full && !noState && r.sends > 2:
		g.hold(r) // where all are full, trying each of them at once only adds load
	default:
		g.proceed(r)
	}
}

// refusalReason returns why no further attempt can be made for a request, or WhyNone.
func (g *Gateway) refusalReason(r *request) Why {
	c := r.class()
	switch {
	case g.closing:
		return WhyClosing
	case r.sends-r.unreached >= r.maxAttempts:
		return WhyAttemptsSpent
	case between(g.now, r.deadline) <= deadlineMargin:
		return WhyDeadlineExceeded
	case !r.mayHaveRun:
		return WhyNone
	case c.Effect == EffectOnce, c.Effect == EffectByKey && between(r.ranAt, g.now) >= c.RepeatWindow:
		return WhyMayHaveRun
	}
	return WhyNone
}

// proceed continues a request without an attempt in flight: at a writer with its read state, or at
// a reader.
func (g *Gateway) proceed(r *request) {
	if r.reader != nil && g.sendWithin(r) < g.minSendTime() {
		r.reader = nil // too late to reach a writer: release it and read the prompt again
		g.emit(Action{Kind: Release, ID: r.ID})
	}
	if why := g.refusalReason(r); why != WhyNone {
		g.refuseOrFail(r, why)
		return
	}
	var s *server
	g.updateMeans()
	g.countAtStage(r)
	if r.reader != nil {
		s = g.pickWriter(r)
	} else if s = g.pickReader(r); s != nil && g.tooLate(r, s) {
		g.refuseOrFail(r, WhyQueue)
		return
	}
	if s == nil {
		g.hold(r)
		return
	}
	g.send(r, s)
}

// assessServer updates what is known of a server by the outcome of an attempt.
func (g *Gateway) assessServer(r *request, s *server, e *Event) {
	switch e.Status {
	case PromptRead:
		r.charge = math.Max(0, r.PromptTokens-float64(e.Kept)) // a cache miss is not slowness
		g.observeAttempt(r, s, e.Latency)
		// A shortfall of cached tokens removes no entries: what was just read is cached again, and
		// the other entries still direct their sessions to one reader instead of scattering them
		// over all.
		s.record(r, g.now)
	case Served:
		s.markServing(g.now)
	case Full, Rejected:
		if e.Unreached { // the server never got the request
			break
		}
		if s.lastActivityAt = g.now; e.Kept == 1 || e.Status == Rejected { // it has room
			break
		}
		// Its queue is full, however little this gateway has sent there: the rest is work of peers,
		// or of attempts that have timed out.
		g.observeWait(s.role, fullBacklog.Seconds())
		full := s.memory // a writer without own streams would look the least loaded
		if s.role != RoleWrite {
			full = fullBacklog.Seconds() / g.readSeconds(s, 1)
		}
		s.residualTokens.add(g.now, residualDecay,
			math.Max(0, full-s.residualTokens.value(g.now, residualDecay)))
	case TimedOut, Cancelled:
		s.residualTokens.add(g.now, residualDecay, r.charge)
		if e.Status == TimedOut || r.cancelled {
			g.observeUnanswered(r, s)
		}
	case ConnectFailed, ConnectionReset:
		if e.Stale { // the connection failed, not the server
			break
		}
		// A dead process has lost its cache; if only the network has failed, the cache is out of
		// reach as well.
		s.cached = map[Key]cacheEntry{}
		g.suspect(s)
		s.markUnreachable(g.now, e.Status == ConnectFailed, g.settings.FallAfter)
	case ServerError:
		g.observeError(s)
	}
}
