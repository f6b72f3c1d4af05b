package router

import (
	"time"

	"github.com/sirupsen/logrus"

	"lichenshelf/logic"
)

// mostSends times the bound on attempts is that on all that are begun, those that never
// reach a worker included.
const mostSends = 3

// sender starts attempts, waits for them and reports their ends.
type sender struct {
	core      *Core
	transport Transport
	permit    Permit // nil: all may go
	most      int
	count     Counters
}

// attempt is one attempt that is out. It is the Sink of the transport.
type attempt struct {
	core   *Core
	ex     *exchange
	number int
	server logic.ServerID
	sentAt time.Time
	timer  *time.Timer
	to     *Worker
	wait   time.Duration
	reach  time.Duration          // as of sentAt; 0: no bound
	giveUp func() <-chan struct{} // nil until it has started
	ended  bool
	took   time.Duration // until it ended
}

func (s *sender) send(ex *exchange, act *logic.Action) {
	w := s.core.roster.worker(act.Server)
	a := &attempt{core: s.core, ex: ex, number: ex.sends, server: act.Server, sentAt: time.Now(), to: w, wait: act.After, reach: act.Reach}
	switch {
	case ex.closed || ex.attempt != nil || s.most > 0 && (ex.sends-ex.unreached >= s.most || ex.sends >= mostSends*s.most):
		s.report(a, Outcome{Status: logic.NotSent})
		return
	case s.core.roster.fence != nil && !s.core.roster.fence():
		s.count.Add("attempts_fenced", 1)
		s.report(a, Outcome{Status: logic.NotSent})
		return
	case w == nil || !w.MaySend():
		// Told to leave between the decision and now: nothing was sent.
		ex.sends++
		s.report(a, Outcome{Status: logic.Full, Unreached: true})
		return
	}
	if s.permit != nil {
		switch s.permit.Allow(w, ex.sends > 0 && ex.last != logic.PromptRead) {
		case NotThere:
			ex.sends++
			s.count.Add("attempts_not_there", 1)
			s.report(a, Outcome{Status: logic.Full, Unreached: true})
			return
		case NotAgain:
			s.count.Add("attempts_not_again", 1)
			s.report(a, Outcome{Status: logic.NotSent})
			return
		}
	}
	ex.sends++
	ex.attempt = a
	s.count.Add("attempts_sent", 1)
	a.timer = time.AfterFunc(a.wait, func() {
		s.core.post(func() { s.end(a, Outcome{Status: logic.TimedOut}) })
	})
	if ex.releases == 0 {
		s.start(a)
	}
}

// start hands an attempt to the transport, once.
func (s *sender) start(a *attempt) {
	if a.giveUp != nil {
		return
	}
	waited := time.Since(a.sentAt) // for a release
	out := Attempt{Request: a.ex.Request, Worker: a.to, Wait: a.wait - waited}
	if a.reach > 0 {
		out.Reach = max(a.reach-waited, time.Nanosecond)
	}
	a.giveUp = s.transport.Send(out, a)
}

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
	if a.giveUp != nil && o.Status != logic.PromptRead && o.Status != logic.Served {
		if known := a.giveUp(); known != nil {
			go func() {
				<-known
				s.core.post(func() { s.over(a, o) })
			}()
			return
		}
	}
	s.over(a, o)
}

// over reports an attempt that has ended and that its worker knows to have: sent again or refused before that, a request
// could run twice.
func (s *sender) over(a *attempt, o Outcome) {
	a.ex.attempt = nil
	a.ex.last = o.Status
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
		s.core.book.answered(o.Status)
	}
	s.report(a, o)
	s.core.admission.forget(a.ex)
}

// report tells the decisions and the counters.
func (s *sender) report(a *attempt, o Outcome) {
	if o.Unreached {
		a.ex.unreached++
	}
	s.count.Add("attempts_"+statusNames[o.Status], 1)
	worker := ""
	if a.to != nil {
		worker = a.to.Name
	}
	s.core.book.log.WithFields(logrus.Fields{"request": a.ex.Name, "attempt": a.number, "worker": worker,
		"outcome": statusNames[o.Status], "unreached": o.Unreached, "kept": o.Kept, "prompt": a.ex.PromptTokens,
		"ms": a.took.Milliseconds()}).Debug("attempt ended")
	s.core.routing.push(logic.Event{Kind: logic.AttemptEnded, ID: a.ex.ID, Attempt: a.number, Server: a.server,
		Latency: a.took, Status: o.Status, Closed: a.ex.closed, Kept: o.Kept, Load: o.Load, Stale: o.Stale,
		Unreached: o.Unreached})
}

// callOff gives up an attempt whose answer has not begun.
func (s *sender) callOff(ex *exchange, number int) {
	if a := ex.attempt; a != nil && a.number == number && !ex.answered {
		s.end(a, Outcome{Status: logic.Cancelled})
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
