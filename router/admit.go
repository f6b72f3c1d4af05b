package router

import (
	"slices"
	"time"

	"lichenshelf/logic"
)

// answerMargin is taken off a request's time. An attempt that waits to the very
// end is answered after that, and the answer must leave before the client's
// patience ends, on a machine that may be late itself.
const answerMargin = 20 * time.Millisecond

// mostBehind bounds those that wait behind one name: each of them holds its body and its connection, and who
// sends a name more often than this is no client that is well.
const mostBehind = 8

// admission gives a request its number and puts it before the decisions.
type admission struct {
	core      *Core
	lastID    logic.RequestID
	exchanges map[logic.RequestID]*exchange
	names     map[string]*exchange
	behind    map[string][]*exchange // wait for the one of their name that is in hand, in order of arrival
	over      []*exchange            // may be forgotten once the decisions know of their end
}

func (a *admission) admit(ex *exchange) {
	ex.rules = a.core.guard.rules(ex.Request)
	first := a.names[ex.Name]
	if first == nil {
		a.enter(ex)
		return
	}
	// A name stands for one request at the workers: two at once would share their held state and each
	// other's attempts. But anybody may use a name, and what is in hand may be rejected as nobody's.
	if first.ran || first.answered || len(a.behind[ex.Name]) >= mostBehind {
		a.core.completion.duplicate(ex)
		return
	}
	a.behind[ex.Name] = append(a.behind[ex.Name], ex)
	ex.turn = time.AfterFunc(a.left(ex), func() {
		a.core.post(func() {
			if a.leaveLine(ex) {
				a.core.completion.duplicate(ex)
			}
		})
	})
}

// left is how long the decisions may take over a request.
func (a *admission) left(ex *exchange) time.Duration {
	return max(ex.Patience-time.Since(ex.Received)-answerMargin, 0)
}

// enter puts a request before the decisions.
func (a *admission) enter(ex *exchange) {
	a.lastID++
	ex.ID = a.lastID
	a.names[ex.Name] = ex
	a.exchanges[ex.ID] = ex
	q := ex.Request.Request
	q.Patience = a.left(ex)
	a.core.routing.push(logic.Event{Kind: logic.Arrived, Request: q})
}

// leaveLine takes a request out that waits behind another of its name; false if it does not wait.
func (a *admission) leaveLine(ex *exchange) bool {
	line := a.behind[ex.Name]
	i := slices.Index(line, ex)
	if i < 0 {
		return false
	}
	ex.turn.Stop() // else it would hold the request as long as its client said it would wait
	if a.behind[ex.Name] = slices.Delete(line, i, i+1); len(line) == 1 {
		delete(a.behind, ex.Name)
	}
	return true
}

// next is for those that wait behind a request. If it may have run they may be copies of it, and end. If it has ended
// otherwise, and what was held for it has been let go of, the first of them goes on.
func (a *admission) next(first *exchange) {
	for line := a.behind[first.Name]; len(line) > 0; line = a.behind[first.Name] {
		ex := line[0]
		switch {
		case first.ran || first.answered:
			a.leaveLine(ex)
			a.core.completion.duplicate(ex)
		case first.releases > 0 || a.names[first.Name] != nil:
			return
		default:
			a.leaveLine(ex)
			a.enter(ex)
			return
		}
	}
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
			a.next(ex)
			a.report(ex)
		}
	}
	a.over = a.over[:0]
}

// report logs a request that went wrong, once it is forgotten and what was let go of for it has been taken or not.
func (a *admission) report(ex *exchange) {
	if a.exchanges[ex.ID] != ex && ex.releases == 0 && !ex.reported {
		ex.reported = true
		a.core.histories.write(ex)
	}
}

// lookForOverdue notes requests that should have had their final answer, and states that are held for too long, once each.
func (a *admission) lookForOverdue() {
	now := time.Now()
	for _, ex := range a.exchanges {
		a.core.guard.note(ex, "hold", ex.rules.Held(now))
		if !ex.overdue && !a.core.guard.note(ex, "wait", ex.rules.Overdue(now)) {
			ex.overdue = true
		}
	}
}
