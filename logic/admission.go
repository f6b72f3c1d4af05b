package logic

import (
	"math"
	"time"
)

const (
	minWaitShare       = 0.2 // part of the aim that a request of the lowest value may wait
	defaultAnswerShare = 0.3 // assumed length of an answer relative to its limit, without a hint
	quotaBurstSeconds  = 2.0 // quota that may arrive at once, in addition to random variation
)

// tokenBucket limits the rate of one tenant.
type tokenBucket struct {
	level float64
	at    Time
}

// arrive registers a new request and makes its first decision.
func (g *Gateway) arrive(q Request) {
	if g.requests[q.ID] != nil {
		return
	}
	if g.lastArrival != 0 {
		g.arrivalInterval += fastWeight *
			(math.Min(between(g.lastArrival, g.now).Seconds(), 5) - g.arrivalInterval)
	}
	g.lastArrival = g.now
	r := &request{Request: q, arrived: g.now}
	r.PromptTokens = clamp(q.PromptTokens, 1, 1e7)
	r.PrefixTokens = clamp(q.PrefixTokens, 0, r.PromptTokens)
	r.MaxTokens = clamp(q.MaxTokens, 1, 1e6)
	r.Patience = min(max(q.Patience, 0), time.Hour)
	r.deadline = g.now + Time(r.Patience)
	r.maxAttempts = g.settings.MaxAttempts
	r.classes = g.settings.Classes
	r.Class = min(max(q.Class, 0), len(r.classes)-1)
	c := r.class()
	r.aim = min(c.Aim+time.Duration(float64(c.AimPer1000)*r.PromptTokens/1000), r.Patience)
	r.relativeValue = 1
	if g.maxPoints > 0 {
		r.relativeValue = c.Points / g.maxPoints
	}
	if !g.inQuota(r.Tenant) {
		r.relativeValue *= g.settings.OverShareWorth
	}
	answer := r.MaxTokens * defaultAnswerShare
	if q.Hinted && c.TokenAim > 0 {
		answer = math.Min(r.MaxTokens, float64(q.AnswerHint)/float64(c.TokenAim))
	}
	r.memory = r.PromptTokens + answer
	g.requests[q.ID] = r
	g.findPreferredReaders(r)
	g.proceed(r)
}

// inQuota reports whether the tenant is within this gateway's even part of its quota. The burst
// also allows for random variation: of a small part, even traffic arrives in clusters.
func (g *Gateway) inQuota(tenant int) bool {
	if tenant >= len(g.settings.Tenants) || g.settings.Tenants[tenant].QuotaPerSecond <= 0 {
		return true
	}
	b, rate := &g.quotaBuckets[tenant],
		g.settings.Tenants[tenant].QuotaPerSecond/float64(g.settings.Gateways)
	burst := quotaBurstSeconds*rate + 2*math.Sqrt(quotaBurstSeconds*rate) + 1
	b.level = math.Min(burst, b.level+rate*between(b.at, g.now).Seconds()) // the bucket starts full
	b.at = g.now
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

// tooLate reports whether the backlog of even the best reader uses up the aim. A fleet that only
// reads prompts whose answers are late by then, after their clients have left, never recovers. So
// requests that would wait too long are refused, those of lower value earlier, and so are requests
// that could not be read and fetched in the time left to the client.
func (g *Gateway) tooLate(r *request, s *server) bool {
	peerTokens := g.peerShare * g.reportWeight(s, unreadDecay) * s.load.UnreadToken
	wait := g.readSeconds(s, g.pendingLoad(s)+peerTokens) + g.recentWait(s.role)
	serviceSeconds := g.readSeconds(s, g.uncachedTokens(r, s)+overheadTokens)
	// Where a writer reports room, earlier waits are over. If they still counted, all requests
	// would be refused.
	writerFullness := 1.0
	if s.role == RoleRead {
		serviceSeconds += g.fetchSpeed.seconds(r.PromptTokens + overheadTokens)
		if w := g.pools[RoleWrite].leastLoaded; w != nil {
			writerFullness = clamp(
				2*(g.memoryShare(w)+r.memory/w.memory)/maxMemoryShare-1, 0, 1)
		}
		wait += writerFullness * g.recentWait(RoleWrite)
	}
	// A wait that has become part of the usual durations does not show in the waits above, but it
	// delays first tokens.
	wait = math.Max(wait, writerFullness*g.firstTokenDelay.value(g.now, g.waitTimeConstant()))
	r.serviceSeconds = serviceSeconds
	relativeValue := r.relativeValue
	if r.Resumed {
		relativeValue = 1
	}
	if between(r.arrived, g.now) > r.aim {
		relativeValue = 0
	}
	minWait := minWaitShare * g.queueWaitLimit(r)
	limit := minWait + math.Max(0, math.Min(r.aim.Seconds()-serviceSeconds, g.queueWaitLimit(r))-minWait)*
		relativeValue
	return wait > limit || seconds(wait+serviceSeconds) > between(g.now, r.deadline)
}

// queueWaitLimit returns the wait, in seconds, up to which a request may join a queue. All classes
// wait in the same queues, so requests of lower value must not fill them beyond the aim of those of
// higher value.
func (g *Gateway) queueWaitLimit(r *request) float64 {
	aim := r.aim
	for _, c := range g.settings.Classes {
		if c.Points > r.class().Points {
			aim = min(aim, c.Aim)
		}
	}
	return aim.Seconds()
}
