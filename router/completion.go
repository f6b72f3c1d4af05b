package router

import (
	"time"

	"github.com/sirupsen/logrus"

	"lichenshelf/logic"
)

// crossing is how long a read that was cut off may still end well at its worker.
// What it left behind by then is let go of a second time.
const crossing = 60 * time.Millisecond

// book closes requests: one final answer each, and nothing left held.
type book struct {
	core      *Core
	transport Transport
	count     Counters
	log       logrus.FieldLogger
	verbose   bool // the log takes what is said at the debug level
}

func (b *book) refuse(ex *exchange, after time.Duration, why logic.Why) {
	if ex.closed {
		return
	}
	if !b.core.guard.note(ex, "refuse", ex.rules.MayRefuse()) {
		b.fail(ex, why)
		return
	}
	b.count.Add("answers_refused", 1)
	b.count.Add("refused_"+why.String(), 1)
	b.note(ex, "refused", why)
	ex.client.Refuse(after, ex.last)
	b.close(ex)
}

func (b *book) fail(ex *exchange, why logic.Why) {
	if ex.closed {
		return
	}
	b.count.Add("answers_failed", 1)
	b.count.Add("failed_"+why.String(), 1)
	b.note(ex, "failed", why)
	ex.client.Fail(ex.last)
	b.close(ex)
}

// duplicate ends a request whose name is that of one in hand that may have run.
func (b *book) duplicate(ex *exchange) {
	b.core.open.Add(-1)
	b.count.Add("requests_duplicate", 1)
	ex.closed = true
	ex.client.Fail(logic.NotSent)
}

// note writes a request's end and the reason to the log, for who looks for what went wrong.
func (b *book) note(ex *exchange, end string, why logic.Why) {
	if !b.verbose {
		return
	}
	b.log.WithFields(logrus.Fields{"request": ex.Name, "class": ex.Class, "attempts": ex.sends, "why": why.String(),
		"last": statusNames[ex.last], "ms": time.Since(ex.Received).Milliseconds()}).Debug(end)
}

// begun writes an attempt's beginning to the log, and how long it waited for what was let go of before.
func (b *book) begun(a *attempt, waited time.Duration) {
	if b.verbose {
		b.log.WithFields(logrus.Fields{"request": a.ex.Name, "attempt": a.number, "worker": a.to.Name, "wait_ms": a.wait.Milliseconds(),
			"reach_ms": a.reach.Milliseconds(), "waited_ms": waited.Milliseconds()}).Debug("attempt begins")
	}
}

// ended writes an attempt's end to the log.
func (b *book) ended(a *attempt, o Outcome) {
	if !b.verbose {
		return
	}
	worker := ""
	if a.to != nil {
		worker = a.to.Name
	}
	b.log.WithFields(logrus.Fields{"request": a.ex.Name, "attempt": a.number, "worker": worker,
		"outcome": statusNames[o.Status], "unreached": o.Unreached, "stale": o.Stale, "kept": o.Kept, "prompt": a.ex.PromptTokens,
		"ms": a.took.Milliseconds()}).Debug("attempt ended")
}

// answered notes how an answer that had begun has ended.
func (b *book) answered(s logic.Status) {
	switch s {
	case logic.Served:
		b.count.Add("answers_served", 1)
	case logic.Cancelled:
		b.count.Add("answers_left", 1)
	default:
		b.count.Add("answers_broken", 1)
	}
}

// left takes a client's going away at a time: what is out for it is given up.
func (b *book) left(ex *exchange, at time.Time) {
	if b.core.admission.leaveLine(ex) {
		b.core.open.Add(-1)
		b.count.Add("clients_left", 1)
		ex.closed = true
		return
	}
	if b.core.admission.exchanges[ex.ID] != ex {
		return
	}
	if !ex.closed {
		b.count.Add("clients_left", 1)
		b.core.guard.note(ex, "leave", ex.rules.Left(at))
		b.note(ex, "left", logic.WhyNone)
		b.core.routing.push(logic.Event{Kind: logic.ClientLeft, ID: ex.ID})
	}
	ex.closed = true
	if a := ex.attempt; a != nil {
		b.core.sender.end(a, Outcome{Status: logic.Cancelled})
	}
	b.core.admission.forget(ex)
}

func (b *book) close(ex *exchange) {
	b.core.guard.note(ex, "answer", ex.rules.Answer(time.Now()))
	ex.closed = true
	b.core.admission.forget(ex)
}

// release lets go of what is held for a request. A DELETE can overtake the end
// of a read that was cut off, so in that case a second one follows, unless the
// request is being read elsewhere by then, whose state it would take away.
func (b *book) release(ex *exchange) {
	b.count.Add("releases", 1)
	b.core.guard.note(ex, "release", ex.rules.Taking(time.Now()))
	b.letGo(ex)
	if !ex.unsure {
		return
	}
	ex.unsure = false
	sends := ex.sends
	time.AfterFunc(crossing, func() {
		b.core.post(func() {
			if ex.sends == sends && !ex.answered {
				b.letGo(ex)
			}
		})
	})
}

// letGo asks the workers once. It goes on a connection of its own, so an attempt
// that is sent right after it could be overtaken, and the state that a new read
// leaves be lost to it: that attempt waits.
func (b *book) letGo(ex *exchange) {
	ex.releases++
	b.core.letting.Add(1)
	b.transport.Release(ex.Name, b.core.roster.running(), func() {
		b.core.letting.Add(-1)
		b.core.post(func() {
			ex.releases--
			switch {
			case ex.releases > 0:
			case ex.attempt != nil:
				b.core.sender.start(ex.attempt)
			default:
				b.core.admission.next(ex)
			}
		})
	})
}
