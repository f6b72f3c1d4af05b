package router

import (
	"time"

	"lichenshelf/logic"
)

// answerMargin is taken off a request's time. An attempt that waits to the very
// end is answered after that, and the answer must leave before the client's
// patience ends, on a machine that may be late itself.
const answerMargin = 20 * time.Millisecond

// admission gives a request its number and puts it before the decisions.
type admission struct {
	core      *Core
	lastID    logic.RequestID
	exchanges map[logic.RequestID]*exchange
	names     map[string]bool
	over      []*exchange // may be forgotten once the decisions know of their end
}

func (a *admission) admit(ex *exchange) {
	a.lastID++
	ex.ID = a.lastID
	if a.names[ex.Name] {
		// A name stands for one request at the workers: two at once would share
		// their held state and each other's attempts.
		a.core.open.Add(-1)
		a.core.book.duplicate(ex)
		return
	}
	a.names[ex.Name] = true
	a.exchanges[ex.ID] = ex
	q := ex.Request.Request
	q.Patience = max(q.Patience-time.Since(ex.Received)-answerMargin, 0)
	a.core.routing.push(logic.Event{Kind: logic.Arrived, Request: q})
}

// forget drops an exchange that is closed and has nothing out. It stays until the
// decisions have heard of its end: they may still have its held state let go.
func (a *admission) forget(ex *exchange) {
	if ex.closed && ex.attempt == nil {
		a.over = append(a.over, ex)
	}
}

func (a *admission) sweep() {
	for _, ex := range a.over {
		if a.exchanges[ex.ID] == ex {
			delete(a.exchanges, ex.ID)
			delete(a.names, ex.Name)
			a.core.open.Add(-1)
		}
	}
	a.over = a.over[:0]
}
