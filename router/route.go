package router

import (
	"time"

	"github.com/sirupsen/logrus"

	"lichenshelf/logic"
)

// routing owns the decider: it collects events, calls the decider, and executes the resulting
// actions.
type routing struct {
	core    *Core
	decider logic.Decider
	start   time.Time
	events  []logic.Event
	actions []logic.Action
	log     logrus.FieldLogger
}

// now returns monotonic time, counted from the wall clock at the start.
func (r *routing) now() logic.Time { return r.at(time.Now()) }

// at converts a time of this process's monotonic clock to the decider's clock.
func (r *routing) at(t time.Time) logic.Time {
	return logic.Time(r.start.UnixNano() + int64(t.Sub(r.start)))
}

func (r *routing) push(e logic.Event) { r.events = append(r.events, e) }

// decide calls the decider until no action causes a new event.
func (r *routing) decide() {
	for len(r.events) > 0 {
		events := r.events
		r.events = nil
		r.actions = r.decider.Handle(r.now(), events, r.actions[:0])
		for i := range r.actions {
			r.do(&r.actions[i])
		}
		if len(r.events) == 0 {
			r.core.admission.sweep() // which may dispatch requests that waited for removed ones
		}
	}
}

func (r *routing) do(a *logic.Action) {
	ex := r.core.admission.exchanges[a.ID]
	switch a.Kind {
	case logic.SetTimer:
		token := a.Token
		time.AfterFunc(a.After, func() {
			r.core.post(func() { r.push(logic.Event{Kind: logic.TimerFired, Token: token}) })
		})
	case logic.Log:
		r.log.Info(a.Text)
	default:
		if ex == nil { // the request has ended; the decider may not have been informed yet
			return
		}
		switch a.Kind {
		case logic.Send:
			r.core.sender.send(ex, a)
		case logic.CancelAttempt:
			r.core.sender.cancelAttempt(ex, a.Attempt)
		case logic.Refuse:
			r.core.completion.refuse(ex, a.After, a.Why)
		case logic.Fail:
			r.core.completion.fail(ex, a.Why)
		case logic.Release:
			r.core.releaser.release(ex)
		case logic.Move:
			r.core.sender.move(ex)
		}
	}
}
