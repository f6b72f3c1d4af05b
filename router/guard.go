package router

import (
	"time"

	"github.com/sirupsen/logrus"

	"lichenshelf/logic"
	"lichenshelf/router/rules"
)

// overdueCheckInterval is the interval of the check for requests without an answer.
const overdueCheckInterval = time.Second

// guard checks all actions for a request against the rules (package rules) and counts those that
// would break one. It belongs to the core's goroutine.
type guard struct {
	core     *Core
	settings logic.Settings
	count    Counters
}

// rules starts the rule state of a request. A request of an unknown class may be repeated freely,
// as in the decider.
func (g *guard) rules(r *Request) *rules.Request {
	c := rules.Config{Deadline: r.Received.Add(r.Patience), Read: r.Read, MaxAttempts: g.settings.MaxAttempts, HeldFor: g.settings.ReleaseWithin}
	if r.Class >= 0 && r.Class < len(g.settings.Classes) {
		c.Class = g.settings.Classes[r.Class]
	}
	if !r.Read.IsZero() && r.Read.After(c.Deadline) {
		g.count.Add("requests_read_past_their_time", 1)
	}
	return rules.New(c)
}

// effect returns what happens if the request runs twice.
func (g *guard) effect(r *Request) logic.Effect {
	if r.Class < 0 || r.Class >= len(g.settings.Classes) {
		return logic.EffectRepeatable
	}
	return g.settings.Classes[r.Class].Effect
}

// place returns where attempts at a worker go.
func (g *guard) place(w *Worker) rules.Place {
	reads := w.kind >= 0 && w.kind < len(g.settings.Kinds) && g.settings.Kinds[w.kind].Role == logic.RoleRead
	return rules.Place{Zone: w.zone, Cell: w.cell, ReadsOnly: reads}
}

// record logs and counts v if it is a violation. It reports whether the action may follow.
func (g *guard) record(ex *exchange, act string, v rules.Result) bool {
	if v == rules.Allowed {
		return true
	}
	if !v.Violation() {
		return false
	}
	CountViolation(g.count, v)
	ex.history.add(step{kind: stepViolation, text: "violation " + v.String() + " at " + act})
	g.core.histories.entry(ex).WithFields(logrus.Fields{"act": act, "rule": v.String()}).Error("a rule would be broken, or was")
	return false
}

// CountViolation counts an action that would break a rule, under the name of the rule and in the
// total.
func CountViolation(c Counters, v rules.Result) {
	c.Add("rule_violations", 1)
	c.Add("rule_violations_"+v.String(), 1)
}
