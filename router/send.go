package router

import (
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"lichenshelf/logic"
	"lichenshelf/router/rules"
)

// sender starts attempts, enforces their time-outs and reports their ends.
type sender struct {
	core      *Core
	transport Transport
	permit    Permit // nil permits all
	count     Counters
}

// attempt is one attempt in flight. It is the Sink of the transport.
type attempt struct {
	core       *Core
	ex         *exchange
	number     int
	server     logic.ServerID
	sentAt     time.Time
	timer      *time.Timer
	toWorker   *Worker
	wait       time.Duration
	sendWithin time.Duration          // counted from sentAt; 0 means no bound
	cancel     func() <-chan struct{} // nil until the attempt has been passed to the transport
	// when the last part of its answer was received, in nanoseconds since sentAt
	lastReceived atomic.Int64
	written      atomic.Pointer[Written] // nil until its last byte has been sent
	ended        bool
	latency      time.Duration // from sentAt until the end
}

func (s *sender) send(ex *exchange, act *logic.Action) {
	w := s.core.workers.worker(act.Server)
	a := &attempt{core: s.core, ex: ex, number: ex.sends, server: act.Server, sentAt: time.Now(), toWorker: w, wait: act.After, sendWithin: act.SendWithin}
	to := s.target(w)
	switch v := ex.rules.MaySend(a.sentAt, to); v {
	case rules.Allowed:
	case rules.WorkerLeaving: // the worker began to leave after the decision: nothing was sent
		s.skip(a)
		return
	default:
		if v == rules.Fenced {
			s.count.Add("attempts_fenced", 1)
		}
		s.core.guard.record(ex, "send", v)
		s.report(a, Outcome{Status: logic.NotSent})
		return
	}
	repeat := ex.sends > 0 && ex.lastStatus != logic.PromptRead
	if s.permit != nil {
		switch s.permit.Allow(w, repeat) {
		case WorkerDenied:
			s.count.Add("attempts_not_there", 1)
			s.skip(a)
			return
		case RepeatDenied:
			s.count.Add("attempts_not_again", 1)
			s.report(a, Outcome{Status: logic.NotSent})
			return
		}
	}
	ex.rules.Sent(a.sentAt, to.Place)
	ex.sends++
	ex.attempt = a
	s.count.Add("attempts_sent", 1)
	if repeat {
		s.count.Add("attempts_repeated_after_"+statusNames[ex.lastStatus], 1)
	}
	a.timer = time.AfterFunc(a.wait, func() { s.core.post(func() { s.timeOut(a) }) })
	if ex.openReleases == 0 {
		s.start(a)
	}
}

// target returns the rules' view of a worker; nil stands for one that is no longer listed.
func (s *sender) target(w *Worker) rules.Target {
	fence := s.core.workers.fence
	to := rules.Target{Fenced: fence != nil && !fence(), Leaving: w == nil || !w.MaySend()}
	if w != nil {
		to.Place = s.core.guard.place(w)
	}
	return to
}

// skip ends an attempt whose worker must not get it now; another worker may.
func (s *sender) skip(a *attempt) {
	a.ex.sends++
	a.ex.rules.Skipped()
	s.report(a, Outcome{Status: logic.Full, Unreached: true})
}

// errNoLongerAllowed means that an attempt may not be sent any more after its wait for a release.
var errNoLongerAllowed = errors.New("not sent after its wait for a release")

// start passes an attempt to the transport, once. It may have waited for a release since it was
// decided, so the rules are asked again.
func (s *sender) start(a *attempt) {
	if a.cancel != nil {
		return
	}
	if v := a.ex.rules.MayStart(time.Now(), s.target(a.toWorker)); v != rules.Allowed {
		s.count.Add("attempts_withdrawn", 1)
		s.end(a, Outcome{Status: logic.Full, Unreached: true, Cause: fmt.Errorf("%w: %s", errNoLongerAllowed, v)})
		return
	}
	s.core.guard.record(a.ex, "send", a.ex.rules.Held(time.Now()))
	waited := time.Since(a.sentAt) // for a release
	a.ex.history.add(step{kind: stepSend, attempt: a.number, worker: a.toWorker, wait: a.wait - waited})
	s.core.histories.attemptBegins(a, waited)
	out := Attempt{Request: a.ex.Request, Worker: a.toWorker, Wait: a.wait - waited, RepeatBy: a.ex.rules.RepeatBy()}
	if a.sendWithin > 0 {
		out.SendWithin = max(a.sendWithin-waited, time.Nanosecond)
	}
	a.cancel = s.transport.Send(out, a)
}

// Written implements Sink.
func (a *attempt) Written(w Written) { a.written.Store(&w) }

// Started implements Sink.
func (a *attempt) Started(answer Answer) {
	a.core.post(func() { a.core.relay.begin(a, answer) })
}

// Ended implements Sink.
func (a *attempt) Ended(o Outcome) {
	a.core.post(func() { a.core.sender.end(a, o) })
}

// end ends an attempt. Only the first call has an effect.
func (s *sender) end(a *attempt, o Outcome) {
	if a.ended {
		return
	}
	a.ended, a.latency = true, time.Since(a.sentAt)
	a.timer.Stop()
	switch {
	case a.cancel == nil: // it waited for a release, and its worker was not contacted
		s.finish(a, Outcome{Status: logic.Full, Unreached: true, Cause: o.Cause})
	case o.Status == logic.PromptRead || o.Status == logic.Served:
		s.finish(a, o)
	default:
		s.finishOnceAcknowledged(a, o)
	}
}

// finishOnceAcknowledged cancels an attempt and finishes it once its worker has noticed the
// cancellation.
func (s *sender) finishOnceAcknowledged(a *attempt, o Outcome) {
	acknowledged := a.cancel()
	if acknowledged == nil {
		s.finish(a, o)
		return
	}
	go func() {
		<-acknowledged
		s.core.post(func() { s.finish(a, o) })
	}()
}

// timeOut ends an attempt whose time is over, unless its answer has begun: a started answer is not
// interrupted.
func (s *sender) timeOut(a *attempt) {
	if !a.ex.answered {
		s.end(a, Outcome{Status: logic.TimedOut})
	}
}

// finish reports the end of an attempt after its worker has noticed the end. If the request were
// repeated or refused earlier, it could run twice.
func (s *sender) finish(a *attempt, o Outcome) {
	a.ex.attempt = nil
	a.ex.lastStatus = o.Status
	if w := a.written.Load(); w != nil {
		s.core.guard.record(a.ex, "write", a.ex.rules.Written(w.At))
	}
	a.ex.rules.Ended(time.Now(), o.Status, o.Unreached)
	switch o.Status {
	case logic.TimedOut, logic.Cancelled, logic.ConnectionReset:
		// The read may have completed just as it was cut off.
		a.ex.readCutOff = !a.ex.answered
	}
	switch o.Status {
	case logic.Full, logic.ConnectFailed, logic.NotSent, logic.PromptRead, logic.Rejected:
	default:
		a.ex.mayHaveRun = true
		s.core.admission.advanceQueue(a.ex)
	}
	if a.ex.answered {
		s.core.completion.answerEnded(o.Status)
	}
	s.report(a, o)
	s.core.admission.forget(a.ex)
}

// report informs the decider and the counters.
func (s *sender) report(a *attempt, o Outcome) {
	s.count.Add("attempts_"+statusNames[o.Status], 1)
	a.recordSteps(o)
	s.core.histories.attemptEnded(a, o)
	s.core.routing.push(logic.Event{Kind: logic.AttemptEnded, ID: a.ex.ID, Attempt: a.number, Server: a.server,
		Latency: a.latency, Status: o.Status, Closed: a.ex.closed, Kept: o.Kept, Load: o.Load, Stale: o.Stale,
		Unreached: o.Unreached})
}

// recordSteps adds the course of the attempt to its request's history.
func (a *attempt) recordSteps(o Outcome) {
	if w := a.written.Load(); w != nil {
		a.ex.history.add(step{at: w.At, kind: stepWritten, attempt: a.number, worker: a.toWorker, written: w})
	}
	a.ex.history.add(step{kind: stepEnded, attempt: a.number, worker: a.toWorker, outcome: &o})
}

// cancelAttempt cancels the numbered attempt, if it is in flight and its answer has not begun.
func (s *sender) cancelAttempt(ex *exchange, number int) {
	if a := ex.attempt; a != nil && a.number == number && !ex.answered {
		ex.history.add(step{kind: stepCancelled, attempt: number, worker: a.toWorker})
		s.end(a, Outcome{Status: logic.Cancelled})
	}
}

// cancelSilent cancels the running streams from which nothing has been received for the given time.
func (s *sender) cancelSilent(silent time.Duration) {
	for _, ex := range s.core.admission.exchanges {
		a := ex.attempt
		if a == nil || !ex.answered || time.Since(a.sentAt)-time.Duration(a.lastReceived.Load()) < silent {
			continue
		}
		ex.history.add(step{kind: stepStreamCancelled, attempt: a.number, worker: a.toWorker})
		a.cancel()
	}
}

// move breaks off a running stream; its client requests the rest again.
func (s *sender) move(ex *exchange) {
	if ex.attempt != nil && ex.answered {
		ex.attempt.cancel()
	}
}

var statusNames = map[logic.Status]string{
	logic.Served: "served", logic.ServerError: "error", logic.Full: "turned_away", logic.TimedOut: "timed_out",
	logic.ConnectFailed: "connect_failed", logic.ConnectionReset: "reset", logic.Cancelled: "cancelled",
	logic.NotSent: "not_sent", logic.PromptRead: "prompt_read", logic.Rejected: "rejected",
}
