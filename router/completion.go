package router

import (
	"time"

	"lichenshelf/logic"
)

// completion gives each request its one final answer.
type completion struct {
	core  *Core
	count Counters
}

// refuse answers that a repeat is harmless. Where the rules do not allow that promise, it answers
// that the request has failed.
func (c *completion) refuse(ex *exchange, after time.Duration, why logic.Why) {
	if ex.closed {
		return
	}
	if !c.core.guard.record(ex, "refuse", ex.rules.MayRefuse()) {
		c.fail(ex, why)
		return
	}
	c.count.Add("answers_refused", 1)
	c.count.Add("refused_"+why.String(), 1)
	ex.history.add(step{kind: stepRefused, why: why})
	c.core.histories.requestEnds(ex, "refused", why)
	ex.client.Refuse(after, ex.lastStatus)
	c.close(ex)
}

func (c *completion) fail(ex *exchange, why logic.Why) {
	if ex.closed {
		return
	}
	c.count.Add("answers_failed", 1)
	c.count.Add("failed_"+why.String(), 1)
	ex.history.add(step{kind: stepFailed, why: why})
	c.core.histories.requestEnds(ex, "failed", why)
	ex.client.Fail(ex.lastStatus)
	c.close(ex)
}

// duplicate fails a request whose name is that of an open request that may have run.
func (c *completion) duplicate(ex *exchange) {
	c.core.open.Add(-1)
	c.count.Add("requests_duplicate", 1)
	ex.closed = true
	ex.client.Fail(logic.NotSent)
}

// answerEnded counts how an answer that had begun has ended.
func (c *completion) answerEnded(s logic.Status) {
	switch s {
	case logic.Served:
		c.count.Add("answers_served", 1)
	case logic.Cancelled:
		c.count.Add("answers_left", 1)
	default:
		c.count.Add("answers_broken", 1)
	}
}

// clientLeft handles the departure of a client at the given time: its attempt is cancelled.
func (c *completion) clientLeft(ex *exchange, at time.Time) {
	if c.core.admission.dequeue(ex) {
		c.core.open.Add(-1)
		c.count.Add("clients_left", 1)
		ex.closed = true
		return
	}
	if c.core.admission.exchanges[ex.ID] != ex {
		return
	}
	if !ex.closed {
		c.count.Add("clients_left", 1)
		c.core.guard.record(ex, "leave", ex.rules.ClientLeft(at))
		ex.history.add(step{kind: stepClientLeft})
		c.core.histories.requestEnds(ex, "left", logic.WhyNone)
		c.core.routing.push(logic.Event{Kind: logic.ClientLeft, ID: ex.ID})
	}
	ex.closed = true
	if a := ex.attempt; a != nil {
		c.core.sender.end(a, Outcome{Status: logic.Cancelled})
	}
	c.core.admission.forget(ex)
}

func (c *completion) close(ex *exchange) {
	c.core.guard.record(ex, "answer", ex.rules.Answer(time.Now()))
	ex.closed = true
	c.core.admission.forget(ex)
}
