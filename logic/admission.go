package logic

// This file: which requests are taken on: quotas, and waits that would be too long.

import (
	"math"
	"time"
)

const (
	waitLeast  = 0.2 // part of the aim the least worthy may wait behind a backlog
	answerPart = 0.3 // guess of an answer's length as part of its limit, without a hint
	quotaBurst = 2.0 // seconds of quota that may come at once, beside what chance adds
)

type bucket struct {
	level float64
	at    Time
}

func (g *Gateway) arrive(q Request) {
	if g.requests[q.ID] != nil {
		return
	}
	if g.lastArrival != 0 {
		g.arrivalGap += fastLearn * (math.Min(after(g.lastArrival, g.now).Seconds(), 5) - g.arrivalGap)
	}
	g.lastArrival = g.now
	r := &request{Request: q, arrived: g.now}
	r.PromptTokens = finite(q.PromptTokens, 1, 1e7)
	r.PrefixTokens = finite(q.PrefixTokens, 0, r.PromptTokens)
	r.MaxTokens = finite(q.MaxTokens, 1, 1e6)
	r.Patience = min(max(q.Patience, 0), time.Hour)
	r.deadline = g.now + Time(r.Patience)
	r.most = g.set.MaxAttempts
	r.Class = min(max(q.Class, 0), len(g.set.Classes)-1)
	c := g.class(r)
	r.aim = min(c.Aim+time.Duration(float64(c.AimPer1000)*r.PromptTokens/1000), r.Patience)
	r.worth = 1
	if g.maxWorth > 0 {
		r.worth = c.Points / g.maxWorth
	}
	if !g.inQuota(r.Tenant) {
		r.worth *= g.set.OverShareWorth
	}
	answer := r.MaxTokens * answerPart
	if q.Hinted && c.TokenAim > 0 {
		answer = math.Min(r.MaxTokens, float64(q.AnswerHint)/float64(c.TokenAim))
	}
	r.memory = r.PromptTokens + answer
	g.requests[q.ID] = r
	g.findHomes(r)
	g.proceed(r)
}

// inQuota tells whether the tenant is within this gateway's even part of its quota. The burst allows for
// chance as well: of a small part, even traffic comes in lumps.
func (g *Gateway) inQuota(tenant int) bool {
	if tenant >= len(g.set.Tenants) || g.set.Tenants[tenant].QuotaPerSecond <= 0 {
		return true
	}
	b, rate := &g.quota[tenant], g.set.Tenants[tenant].QuotaPerSecond/float64(g.set.Gateways)
	burst := quotaBurst*rate + 2*math.Sqrt(quotaBurst*rate) + 1
	b.level = math.Min(burst, b.level+rate*after(b.at, g.now).Seconds()) // full at the start
	b.at = g.now
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

// tooLate tells whether even the best reader's backlog eats up the aim. A fleet that reads only what is late
// by then, for nobody, never comes back: so what would wait too long is refused, the less worthy the earlier,
// and so is what would not be read and fetched in the time that its client has left.
func (g *Gateway) tooLate(r *request, s *server) bool {
	told := g.peerShare * g.trust(s, unreadFade) * s.load.UnreadToken
	wait := g.readSeconds(s, g.pending(s)+told) + g.waitAt(s.role)
	need := g.readSeconds(s, g.missing(r, s)+baseTokens)
	full := 1.0 // where a writer reports room, waits of before are over; remembered, they would keep all out
	if s.role == RoleRead {
		need += g.fetch.seconds(r.PromptTokens + baseTokens)
		if w := g.pools[RoleWrite].roomiest; w != nil {
			full = finite(2*(g.share(w)+r.memory/w.memory)/roomShare-1, 0, 1)
		}
		wait += full * g.waitAt(RoleWrite)
	}
	// Nor does a wait show where it is hidden in what is usual by now, but first tokens come late for it.
	wait = math.Max(wait, full*g.delay.value(g.now, g.waitSpan()))
	r.need = need
	worth := r.worth
	if r.Resumed {
		worth = 1
	}
	if after(r.arrived, g.now) > r.aim {
		worth = 0
	}
	least := waitLeast * g.queueWaitLimit(r)
	limit := least + math.Max(0, math.Min(r.aim.Seconds()-need, g.queueWaitLimit(r))-least)*worth
	return wait > limit || seconds(wait+need) > after(g.now, r.deadline)
}

// queueWaitLimit is the wait, in seconds, that a request may add itself to: all classes wait in the same
// queues, so what is less worthy must not fill them past the aim of what is worth more.
func (g *Gateway) queueWaitLimit(r *request) float64 {
	aim := r.aim
	for _, c := range g.set.Classes {
		if c.Points > g.class(r).Points {
			aim = min(aim, c.Aim)
		}
	}
	return aim.Seconds()
}
