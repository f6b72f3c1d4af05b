package router

import (
	"sync/atomic"
	"time"

	"lichenshelf/logic"
	"lichenshelf/router/rules"
)

// sender starts attempts, waits for them and reports their ends.
type sender struct {
	core      *Core
	transport Transport
	permit    Permit // nil: all may go
	count     Counters
}

// attempt is one attempt that is out. It is the Sink of the transport.
type attempt struct {
	core       *Core
	ex         *exchange
	number     int
	server     logic.ServerID
	sentAt     time.Time
	timer      *time.Timer
	to         *Worker
	wait       time.Duration
	sendWithin time.Duration           // as of sentAt; 0: no bound
	giveUp     func() <-chan struct{}  // nil until it has started
	heard      atomic.Int64            // when something of its answer came last, in nanoseconds since sentAt
	written    atomic.Pointer[Written] // nil until its last byte has gone out
	ended      bool
	took       time.Duration // until it ended
}

func (s *sender) send(ex *exchange, act *logic.Action) {
	w := s.core.workers.worker(act.Server)
	a := &attempt{core: s.core, ex: ex, number: ex.sends, server: act.Server, sentAt: time.Now(), to: w, wait: act.After, sendWithin: act.SendWithin}
	to := s.target(w)
	switch v := ex.rules.MaySend(a.sentAt, to); v {
	case rules.Allowed:
	case rules.WorkerLeaving: // told between the decision and now: nothing was sent
		s.skip(a)
		return
	default:
		if v == rules.Fenced {
			s.count.Add("attempts_fenced", 1)
		}
		s.core.guard.note(ex, "send", v)
		s.report(a, Outcome{Status: logic.NotSent})
		return
	}
	repeat := ex.sends > 0 && ex.last != logic.PromptRead
	if s.permit != nil {
		switch s.permit.Allow(w, repeat) {
		case NotThere:
			s.count.Add("attempts_not_there", 1)
			s.skip(a)
			return
		case NotAgain:
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
		s.count.Add("attempts_repeated_after_"+statusNames[ex.last], 1)
	}
	a.timer = time.AfterFunc(a.wait, func() { s.core.post(func() { s.timeOut(a) }) })
	if ex.releases == 0 {
		s.start(a)
	}
}

// target is what the rules look at of a worker; nil is one that is not listed any more.
func (s *sender) target(w *Worker) rules.Target {
	fence := s.core.workers.fence
	to := rules.Target{Fenced: fence != nil && !fence(), Leaving: w == nil || !w.MaySend()}
	if w != nil {
		to.Place = s.core.guard.place(w)
	}
	return to
}

// skip ends an attempt whose worker must not get it now: another may.
func (s *sender) skip(a *attempt) {
	a.ex.sends++
	a.ex.rules.Skipped()
	s.report(a, Outcome{Status: logic.Full, Unreached: true})
}

// start hands an attempt to the transport, once.
func (s *sender) start(a *attempt) {
	if a.giveUp != nil {
		return
	}
	s.core.guard.note(a.ex, "send", a.ex.rules.Held(time.Now()))
	waited := time.Since(a.sentAt) // for a release
	a.ex.history.add(step{kind: stepSend, attempt: a.number, worker: a.to, wait: a.wait - waited})
	s.core.histories.attemptBegins(a, waited)
	out := Attempt{Request: a.ex.Request, Worker: a.to, Wait: a.wait - waited}
	if a.sendWithin > 0 {
		out.SendWithin = max(a.sendWithin-waited, time.Nanosecond)
	}
	a.giveUp = s.transport.Send(out, a)
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

// end takes the first of the ways in which an attempt ends; what crosses it is void.
func (s *sender) end(a *attempt, o Outcome) {
	if a.ended {
		return
	}
	a.ended, a.took = true, time.Since(a.sentAt)
	a.timer.Stop()
	switch {
	case a.giveUp == nil: // it waited behind a release, and nobody was asked
		s.over(a, Outcome{Status: logic.Full, Unreached: true})
	case o.Status == logic.PromptRead || o.Status == logic.Served:
		s.over(a, o)
	default:
		s.overOnceKnown(a, o)
	}
}

// overOnceKnown gives an attempt up, and reports it once its worker knows that.
func (s *sender) overOnceKnown(a *attempt, o Outcome) {
	known := a.giveUp()
	if known == nil {
		s.over(a, o)
		return
	}
	go func() {
		<-known
		s.core.post(func() { s.over(a, o) })
	}()
}

// timeOut ends an attempt whose time is over, unless its answer has begun meanwhile: that belongs to the client.
func (s *sender) timeOut(a *attempt) {
	if !a.ex.answered {
		s.end(a, Outcome{Status: logic.TimedOut})
	}
}

// over reports an attempt that has ended and that its worker knows to have: sent again or refused before that, a request
// could run twice.
func (s *sender) over(a *attempt, o Outcome) {
	a.ex.attempt = nil
	a.ex.last = o.Status
	a.ex.rules.Ended(time.Now(), o.Status, o.Unreached)
	switch o.Status {
	case logic.TimedOut, logic.Cancelled, logic.ConnectionReset:
		// A read may have ended well just as it was cut off.
		a.ex.unsure = !a.ex.answered
	}
	switch o.Status {
	case logic.Full, logic.ConnectFailed, logic.NotSent, logic.PromptRead, logic.Rejected:
	default:
		a.ex.ran = true
		s.core.admission.next(a.ex)
	}
	if a.ex.answered {
		s.core.completion.answerEnded(o.Status)
	}
	s.report(a, o)
	s.core.admission.forget(a.ex)
}

// report tells the decisions and the counters.
func (s *sender) report(a *attempt, o Outcome) {
	s.count.Add("attempts_"+statusNames[o.Status], 1)
	a.note(o)
	s.core.histories.attemptEnded(a, o)
	s.core.routing.push(logic.Event{Kind: logic.AttemptEnded, ID: a.ex.ID, Attempt: a.number, Server: a.server,
		Latency: a.took, Status: o.Status, Closed: a.ex.closed, Kept: o.Kept, Load: o.Load, Stale: o.Stale,
		Unreached: o.Unreached})
}

// note adds how the attempt went to its request's history.
func (a *attempt) note(o Outcome) {
	if w := a.written.Load(); w != nil {
		a.ex.history.add(step{at: w.At, kind: stepWritten, attempt: a.number, worker: a.to, written: w})
	}
	a.ex.history.add(step{kind: stepEnded, attempt: a.number, worker: a.to, outcome: &o})
}

// callOff gives up an attempt whose answer has not begun.
func (s *sender) callOff(ex *exchange, number int) {
	if a := ex.attempt; a != nil && a.number == number && !ex.answered {
		ex.history.add(step{kind: stepCalledOff, attempt: number, worker: a.to})
		s.end(a, Outcome{Status: logic.Cancelled})
	}
}

// cutSilent gives up the running streams of which nothing has come for so long.
func (s *sender) cutSilent(silent time.Duration) {
	for _, ex := range s.core.admission.exchanges {
		a := ex.attempt
		if a == nil || !ex.answered || time.Since(a.sentAt)-time.Duration(a.heard.Load()) < silent {
			continue
		}
		ex.history.add(step{kind: stepCut, attempt: a.number, worker: a.to})
		a.giveUp()
	}
}

// move breaks off a running stream; its client comes again for the rest.
func (s *sender) move(ex *exchange) {
	if ex.attempt != nil && ex.answered {
		ex.attempt.giveUp()
	}
}

var statusNames = map[logic.Status]string{
	logic.Served: "served", logic.ServerError: "error", logic.Full: "turned_away", logic.TimedOut: "timed_out",
	logic.ConnectFailed: "connect_failed", logic.ConnectionReset: "reset", logic.Cancelled: "cancelled",
	logic.NotSent: "not_sent", logic.PromptRead: "prompt_read", logic.Rejected: "rejected",
}
