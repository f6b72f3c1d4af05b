package router

import (
	"slices"
	"time"

	"lichenshelf/logic"
)

// answerMargin is subtracted from a request's remaining time. An attempt that uses all of its time
// is answered only after that, and the answer must leave before the client's patience ends, even if
// the machine runs late.
const answerMargin = 20 * time.Millisecond

// maxQueuedPerName bounds the requests that wait for the open request of their name, because each
// holds its body and its connection. A client that sends one name more often than this is faulty.
const maxQueuedPerName = 8

// admission assigns request IDs and passes requests to the decider.
type admission struct {
	core      *Core
	lastID    logic.RequestID
	exchanges map[logic.RequestID]*exchange
	byName    map[string]*exchange
	// by name: requests that wait for the open request of their name, in order of arrival
	queued   map[string][]*exchange
	executed executedNames
	finished []*exchange // can be removed once the decider has been informed of their end
}

func (a *admission) admit(ex *exchange) {
	ex.rules = a.core.guard.rules(ex.Request)
	first := a.byName[ex.Name]
	if first == nil && a.executed.has(ex.Name) {
		a.core.completion.duplicate(ex)
		return
	}
	if first == nil {
		a.dispatch(ex)
		return
	}
	// A name identifies one request at the workers: two at once would share their held state and
	// each other's attempts. But any client may use any name, and workers may reject the open
	// request as invalid, so a second one waits for the outcome.
	if first.mayHaveRun || first.answered || len(a.queued[ex.Name]) >= maxQueuedPerName {
		a.core.completion.duplicate(ex)
		return
	}
	a.queued[ex.Name] = append(a.queued[ex.Name], ex)
	ex.queueTimer = time.AfterFunc(a.timeLeft(ex), func() {
		a.core.post(func() {
			if a.dequeue(ex) {
				a.core.completion.duplicate(ex)
			}
		})
	})
}

// timeLeft returns the time that the decider has for a request.
func (a *admission) timeLeft(ex *exchange) time.Duration {
	return max(ex.Patience-time.Since(ex.Received)-answerMargin, 0)
}

// dispatch passes a request to the decider.
func (a *admission) dispatch(ex *exchange) {
	a.lastID++
	ex.ID = a.lastID
	a.byName[ex.Name] = ex
	a.exchanges[ex.ID] = ex
	q := ex.Request.Request
	q.Patience = a.timeLeft(ex)
	a.core.routing.push(logic.Event{Kind: logic.Arrived, Request: q})
}

// dequeue removes a request from the queue of its name. It returns false if the request is not
// queued.
func (a *admission) dequeue(ex *exchange) bool {
	queue := a.queued[ex.Name]
	i := slices.Index(queue, ex)
	if i < 0 {
		return false
	}
	ex.queueTimer.Stop() // otherwise the timer would retain the request for its whole patience
	if a.queued[ex.Name] = slices.Delete(queue, i, i+1); len(queue) == 1 {
		delete(a.queued, ex.Name)
	}
	return true
}

// advanceQueue processes the requests that wait for first, which has their name. If first may have
// run, they may be copies of it and fail. If first ended without running and its held state has
// been released, the first in the queue is dispatched.
func (a *admission) advanceQueue(first *exchange) {
	for queue := a.queued[first.Name]; len(queue) > 0; queue = a.queued[first.Name] {
		ex := queue[0]
		switch {
		case first.mayHaveRun || first.answered:
			a.dequeue(ex)
			a.core.completion.duplicate(ex)
		case first.openReleases > 0 || a.byName[first.Name] != nil:
			return
		default:
			a.dequeue(ex)
			a.dispatch(ex)
			return
		}
	}
}

// forget schedules the removal of an exchange that is closed and has no attempt in flight. The
// exchange stays until the decider has been informed of its end, because the decider may still
// release its held state.
func (a *admission) forget(ex *exchange) {
	if ex.closed && ex.attempt == nil {
		a.finished = append(a.finished, ex)
	}
}

// sweep removes the finished exchanges.
func (a *admission) sweep() {
	for _, ex := range a.finished {
		if a.exchanges[ex.ID] == ex {
			delete(a.exchanges, ex.ID)
			delete(a.byName, ex.Name)
			a.executed.remember(ex, a.core.guard.effect(ex.Request))
			a.core.open.Add(-1)
			a.advanceQueue(ex)
			a.report(ex)
		}
	}
	a.finished = a.finished[:0]
}

// report logs a request that failed, once it has been removed and none of its releases is in
// flight.
func (a *admission) report(ex *exchange) {
	if a.exchanges[ex.ID] != ex && ex.openReleases == 0 && !ex.logged {
		ex.logged = true
		a.core.histories.write(ex)
	}
}

// checkOverdue records, once each, requests whose final answer is overdue and read states that have
// been held for too long.
func (a *admission) checkOverdue() {
	now := time.Now()
	for _, ex := range a.exchanges {
		a.core.guard.record(ex, "hold", ex.rules.Held(now))
		if !ex.overdue && !a.core.guard.record(ex, "wait", ex.rules.Overdue(now)) {
			ex.overdue = true
		}
	}
}
