package router

import (
	"time"

	"github.com/sirupsen/logrus"

	"lichenshelf/logic"
	"lichenshelf/router/rules"
)

// overdueEvery is how often requests without an answer are looked for.
const overdueEvery = time.Second

// guard holds all acts for a request against the rules (package rules), and counts those that would break one. It belongs to
// the core's goroutine.
type guard struct {
	core     *Core
	settings logic.Settings
	count    Counters
}

// rules begins the history of a request. One of a class that is not stated may be repeated freely, as in the decisions.
func (g *guard) rules(r *Request) *rules.Request {
	c := rules.Config{Deadline: r.Received.Add(r.Patience), Read: r.Read, MostTries: g.settings.MaxAttempts, HeldFor: g.settings.ReleaseWithin}
	if r.Class >= 0 && r.Class < len(g.settings.Classes) {
		c.Class = g.settings.Classes[r.Class]
	}
	if !r.Read.IsZero() && r.Read.After(c.Deadline) {
		g.count.Add("requests_read_past_their_time", 1)
	}
	return rules.New(c)
}

// place is where attempts at a worker go.
func (g *guard) place(w *Worker) rules.Place {
	reads := w.kind >= 0 && w.kind < len(g.settings.Kinds) && g.settings.Kinds[w.kind].Role == logic.RoleRead
	return rules.Place{Zone: w.zone, Cell: w.cell, ReadsOnly: reads}
}

// note counts a verdict and logs it if it is a violation. It tells whether the act may follow.
func (g *guard) note(ex *exchange, act string, v rules.Verdict) bool {
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

// CountViolation counts an act that would break a rule, under a name of its own and with all others.
func CountViolation(c Counters, v rules.Verdict) {
	c.Add("rule_violations", 1)
	c.Add("rule_violations_"+v.String(), 1)
}
