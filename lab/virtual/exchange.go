package virtual

import (
	"fmt"
	"time"

	"lichenshelf/fleet/attempts"
	"lichenshelf/fleet/counts"
	"lichenshelf/fleet/node"
	"lichenshelf/fleet/outlier"
	"lichenshelf/fleet/traffic"
	"lichenshelf/lab/engine"
	"lichenshelf/lab/load"
	"lichenshelf/logic"
)

// exchange is a request that is open at a router.
type exchange struct {
	router     *gateway
	id         logic.RequestID
	job        engine.Job
	arrived    time.Duration
	sends      int
	reads      int
	readZone   int // zone of the server of the latest read
	class      int
	attempt    *attempt
	lastStatus logic.Status
	closed     bool
	answered   bool
}

type attempt struct {
	number int
	server logic.ServerID
	name   string
	since  int64
	sent   time.Duration
	work   counts.Work
}

func (r *gateway) arrive(q load.Request) {
	w := r.w
	r.lastID++
	ex := &exchange{router: r, id: r.lastID, arrived: w.now, class: q.Class, lastStatus: logic.NotSent, job: engine.Job{ID: fmt.Sprintf("%s-%d", r.name, r.lastID),
		Prefix: q.Prefix, Session: q.Session, PrefixTokens: q.PrefixTokens, PromptTokens: q.PromptTokens, AnswerTokens: q.AnswerTokens}}
	r.open[ex.id] = ex
	w.jobs[ex.job.ID] = ex
	w.second(w.now).Asked++
	if r.node != nil {
		r.node.ObserveArrival(w.now)
	}
	if w.now >= w.cfg.MeasureFrom {
		w.Result.Asked++
	}
	r.push(logic.Event{Kind: logic.Arrived, Request: logic.Request{ID: ex.id, Class: q.Class, Session: logic.Key(q.Session), Prefix: logic.Key(q.Prefix),
		PromptTokens: q.PromptTokens, PrefixTokens: q.PrefixTokens, MaxTokens: 2 * float64(q.AnswerTokens), Patience: w.cfg.Patience}})
	r.run()
}

// do performs an action that the router's decisions returned.
func (r *gateway) do(a logic.Action) {
	w := r.w
	if a.Kind == logic.SetTimer {
		w.after(a.After, func() {
			r.push(logic.Event{Kind: logic.TimerFired, Token: a.Token})
			r.run()
		})
		return
	}
	ex := r.open[a.ID]
	if ex == nil {
		return
	}
	switch a.Kind {
	case logic.Send:
		r.send(ex, a.Server, a.After)
	case logic.CancelAttempt:
		if at := ex.attempt; at != nil && at.number == a.Attempt && !ex.answered {
			r.end(ex, at, logic.Cancelled, 0)
		}
	case logic.Refuse:
		r.close(ex, &w.Result.Refused)
	case logic.Fail:
		r.close(ex, &w.Result.Failed)
	case logic.Release:
		w.after(w.cfg.Hop, func() { w.Site.Release(ex.job.ID) })
	}
}

// close ends a request for its client and counts it in counter; only the first call for a request
// counts.
func (r *gateway) close(ex *exchange, counter *int) {
	if ex.closed {
		return
	}
	ex.closed = true
	if ex.arrived >= r.w.cfg.MeasureFrom {
		*counter++
	}
	r.forget(ex)
}

// forget removes a closed request once it has no open attempt.
func (r *gateway) forget(ex *exchange) {
	if ex.closed && ex.attempt == nil {
		r.w.after(0, func() {
			if ex.attempt == nil {
				delete(r.open, ex.id)
				delete(r.w.jobs, ex.job.ID)
			}
		})
	}
}

func (r *gateway) send(ex *exchange, server logic.ServerID, timeout time.Duration) {
	w := r.w
	at := &attempt{number: ex.sends, server: server, name: r.listed[server].Name, since: r.listed[server].Since, sent: w.now}
	if r.front != nil {
		switch r.front.Allow(at.name, ex.sends > 0 && ex.lastStatus != logic.PromptRead, w.now) {
		case attempts.TooCold:
			ex.sends++
			r.report(ex, at, logic.Full, 0)
			return
		case attempts.NoRepeats:
			r.report(ex, at, logic.NotSent, 0)
			return
		}
		at.work = r.front.Work(at.name, &logic.Request{PromptTokens: ex.job.PromptTokens, MaxTokens: 2 * float64(ex.job.AnswerTokens)})
		r.node.Charge(at.name, at.work)
	}
	if w.now >= w.cfg.MeasureFrom {
		w.Result.Sent++
		w.Result.Attempts[at.name]++
		if ex.sends > 0 && ex.lastStatus != logic.PromptRead {
			w.Result.Repeats++
		}
	}
	spec := w.cfg.Site.Servers[server]
	if reads := w.cfg.Site.Kinds[spec.Kind].Role != logic.RoleWrite; reads {
		r.balance.RecordSent(spec.Zone, spec.Zone+1, traffic.Time(w.now))
		ex.readZone = spec.Zone
		if s := w.second(ex.arrived); ex.reads == 0 && ex.sends == 0 && spec.Zone == r.zone {
			s.Near++
		} else if ex.reads == 0 && ex.sends == 0 {
			s.Far++
		}
	} else if ex.readZone != spec.Zone && w.now >= w.cfg.MeasureFrom {
		w.Result.MovedTokens += ex.job.PromptTokens
	}
	ex.sends++
	ex.attempt = at
	w.after(timeout, func() { r.end(ex, at, logic.TimedOut, 0) })
	w.after(w.cfg.Hop, func() {
		if ex.attempt != at {
			return
		}
		w.advanceSite()
		w.Result.Arrivals[at.name] = append(w.Result.Arrivals[at.name], w.now)
		reply := w.Site.Arrive(at.name, ex.job, w.now)
		w.scheduleSite()
		if reply == engine.Accepted {
			return
		}
		w.after(w.cfg.Hop, func() {
			switch reply {
			case engine.Full:
				r.end(ex, at, logic.Full, 0)
			case engine.NoState:
				r.end(ex, at, logic.Full, 1)
			case engine.Failed:
				r.end(ex, at, logic.ServerError, 0)
			case engine.Unreachable:
				r.end(ex, at, logic.ConnectFailed, 0)
			}
		})
	})
}

// handleServerEvent handles a server's event one hop later.
func (r *gateway) handleServerEvent(ex *exchange, e engine.Event) {
	at := ex.attempt
	if at == nil || at.name != e.Server {
		return
	}
	r.w.after(r.w.cfg.Hop, func() {
		if ex.attempt != at {
			return
		}
		switch e.Kind {
		case engine.Read:
			r.end(ex, at, logic.PromptRead, uint32(e.Kept))
		case engine.FirstToken:
			r.started(ex, at)
		case engine.Done:
			r.end(ex, at, logic.Served, uint32(e.Kept))
		case engine.Lost:
			r.end(ex, at, logic.ConnectionReset, 0)
		}
	})
}

func (r *gateway) started(ex *exchange, at *attempt) {
	w := r.w
	ex.answered, ex.closed = true, true
	c := w.cfg.Settings.Classes[ex.class]
	if w.now-ex.arrived <= c.Aim+time.Duration(float64(c.AimPer1000)*ex.job.PromptTokens/1000) {
		w.second(ex.arrived).InTime++
	} else if ex.arrived >= w.cfg.MeasureFrom {
		w.Result.Late++
	}
	if ex.arrived >= w.cfg.MeasureFrom {
		_ = w.Result.FirstToken.RecordValue(max((w.now - ex.arrived).Microseconds(), 1))
	}
	r.releaseWork(at, counts.Work{Unread: at.work.Unread})
	r.push(logic.Event{Kind: logic.AnswerStarted, ID: ex.id, Attempt: at.number, Server: at.server, Latency: w.now - at.sent})
	r.run()
}

// releaseWork subtracts completed work from the router's shared counts.
func (r *gateway) releaseWork(at *attempt, done counts.Work) {
	if r.node != nil {
		r.node.Charge(at.name, counts.Work{Unread: -done.Unread, Held: -done.Held})
	}
	at.work.Unread -= done.Unread
	at.work.Held -= done.Held
}

// end ends an attempt; only the first call for an attempt counts.
func (r *gateway) end(ex *exchange, at *attempt, status logic.Status, kept uint32) {
	w := r.w
	if ex.attempt != at || status == logic.TimedOut && ex.answered {
		return
	}
	ex.attempt, ex.lastStatus = nil, status
	if status == logic.PromptRead && w.now >= w.cfg.MeasureFrom {
		w.Result.PromptTokens += ex.job.PromptTokens
		w.Result.CachedTokens += float64(kept)
		ex.reads++
	}
	if status == logic.Served && w.now >= w.cfg.MeasureFrom {
		w.Result.WastedReads += ex.reads - 1
	}
	r.releaseWork(at, at.work)
	if r.node != nil {
		if status == logic.PromptRead {
			r.front.Kept(ex.job.PromptTokens, float64(kept))
		}
		if fault, counted := node.FaultOf(status); counted {
			r.node.Observe(at.name, at.since, fault, w.now)
			if w.cfg.Zones != nil {
				r.node.ObserveZoneAttempt(w.cfg.Zones.Judge.Zones[w.cfg.Site.Servers[at.server].Zone], fault != outlier.None, w.now)
			}
		}
	}
	if status == logic.TimedOut || status == logic.Cancelled {
		w.after(w.cfg.Hop, func() {
			w.advanceSite()
			w.Site.Cancel(at.name, ex.job.ID)
			w.scheduleSite()
		})
	}
	if ex.answered && ex.arrived >= w.cfg.MeasureFrom {
		if status == logic.Served {
			w.Result.Served++
		} else {
			w.Result.Broken++
		}
	}
	r.report(ex, at, status, kept)
	r.forget(ex)
}

func (r *gateway) report(ex *exchange, at *attempt, status logic.Status, kept uint32) {
	r.push(logic.Event{Kind: logic.AttemptEnded, ID: ex.id, Attempt: at.number, Server: at.server, Latency: r.w.now - at.sent,
		Status: status, Closed: ex.closed, Kept: kept})
	r.run()
}
