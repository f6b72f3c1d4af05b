package logic

import (
	"cmp"
	"math"
	"time"
)

const (
	// Part of the cold budget that is used; the rest allows for random variation.
	coldBudgetShare = 0.6
	// The same for credits alone, where little is seen of peers.
	creditBudgetShare = 0.4
	// The same for sends without a credit, which go by affinity key.
	affinityBudgetShare = 0.4
	// Credits accrue for at most this many times Settings.FallAfter.
	maxCreditWindows = 4
	// Time constant of the rates that determine the cold budgets.
	rateTimeConstant = 10 * time.Second
	// Discovery reports a start within this time, by the protocol.
	discoveryDelay = 6 * time.Second
)

// stage is the work that all servers that read, or all that answer, do for this gateway.
type stage struct {
	count, warmthSum float64            // number of usable servers, and the sum of their warmth
	cold             []*server          // cold servers that affinity keys are mapped to
	served           decayingValue      // own requests served per unit of warmth
	offered          decayingValue      // own requests that reached the stage
	recent           [32]affinitySample // ring buffer of the latest requests
	last             int
}

// affinitySample is the affinity key of a request and the time of its arrival at a stage.
type affinitySample struct {
	key Key
	at  Time
}

// coldServerFor returns the cold server that a key maps to: of all that read, or of the writers of
// a cell. It returns nil if there is none.
func (st *stage) coldServerFor(key Key) (at *server) {
	lowest := 2.0
	for _, s := range st.cold {
		if s.role == RoleWrite && Key(s.Cell+1) != key {
			continue
		}
		if x := rendezvousHash(key, s.Server); x < lowest {
			at, lowest = s, x
		}
	}
	return at
}

// addToStages adds a usable server to the stages that it serves.
func (g *Gateway) addToStages(s *server, warmth float64) {
	for i := range g.stages {
		if st := &g.stages[i]; s.role == RoleBoth || s.role.stageIndex() == i {
			st.count++
			st.warmthSum += warmth
			if warmth < 1 && s.failures == 0 && (i == 0 || s.role == RoleWrite) {
				st.cold = append(st.cold, s)
			}
		}
	}
}

// ratePerWarmth returns the own requests per second that each unit of warmth has served. The
// average covers at most the time since the gateway started.
func (st *stage) ratePerWarmth(now, startedAt Time) float64 {
	known := 1 - math.Exp(-math.Max(between(startedAt, now).Seconds(), 1)/rateTimeConstant.Seconds())
	return math.Max(0, st.served.value(now, rateTimeConstant)) / rateTimeConstant.Seconds() / known
}

// settleStageCount replaces the provisional count of a request at its stage by its outcome.
func (g *Gateway) settleStageCount(r *request, done bool) {
	if r.countedStage == nil {
		return
	}
	r.countedStage.served.add(g.now, rateTimeConstant, -r.countedAmount)
	if done {
		r.countedStage.served.add(g.now, rateTimeConstant, 1/r.countedStage.warmthSum)
	}
	r.countedStage = nil
}

// stageIndex returns 0 for a server that only reads and 1 for one that answers.
func (r Role) stageIndex() int {
	if r == RoleRead {
		return 0
	}
	return 1
}

// assumedWarmth returns the warmth by which sends are limited. A server that could not be reached
// twice may have restarted, so it is treated as cold since then, until discovery would have
// reported a start. Trials go on where this gateway sees much of the traffic.
func (g *Gateway) assumedWarmth(s *server) float64 {
	w, sinceUnreachable := g.warmth(s), between(s.lastUnreachableAt, g.now)
	trial := g.unseenShare <= maxUnseenShare &&
		s.suspectUntil != 0 && g.now >= s.suspectUntil && s.waiting == 0
	if s.lastUnreachableAt == 0 || sinceUnreachable >= discoveryDelay || trial ||
		g.settings.FallMultiple <= 0 || g.settings.FallAfter <= 0 {
		return w
	}
	return math.Min(w, g.settings.ColdShare+
		(1-g.settings.ColdShare)*sinceUnreachable.Seconds()/discoveryDelay.Seconds())
}

// mayUseCold reports whether this gateway may send to s now. For a server in slow start each send
// takes a credit. Credits accrue with time: this gateway's share of what the settings let the whole
// fleet send, by the rate that a unit of warmth serves. The share is the part of that rate that its
// own requests had, so the shares of all gateways add up to the fleet's rate, however uneven they
// are. Fractions of a credit are granted at random. Credits expire: saved up, they would be used
// all at once.
func (g *Gateway) mayUseCold(s *server) bool {
	w := g.assumedWarmth(s)
	if w >= 1 {
		return true
	}
	// One send per FallAfter over all gateways, so that warming can begin.
	minRate := 1 / float64(g.settings.Gateways) / g.settings.FallAfter.Seconds()
	budgetShare := coldBudgetShare
	if g.unseenShare > maxUnseenShare {
		budgetShare = creditBudgetShare // the other part is for sends without a credit
	}
	rate := math.Max(budgetShare*g.settings.FallMultiple*w*
		g.stages[s.role.stageIndex()].ratePerWarmth(g.now, g.startedAt), minRate)
	if g.now >= s.creditsExpireAt {
		s.coldCredits = 0
	}
	accrued := rate *
		min(between(s.creditsAccruedAt, g.now), maxCreditWindows*g.settings.FallAfter).Seconds()
	if n := int(accrued + g.rng.Float64()); n > 0 {
		s.coldCredits, s.creditsExpireAt = s.coldCredits+n, g.now+Time(g.settings.FallAfter)
	}
	s.creditsAccruedAt = g.now
	return s.coldCredits > 0
}

// countAtStage counts a request at the stage that it reaches. Until it ends it counts per server,
// whatever the warmth; once done, per unit of warmth; if it failed, not at all.
func (g *Gateway) countAtStage(r *request) {
	st := &g.stages[r.stageIndex()]
	if r.countedStage == st || st.count == 0 {
		return
	}
	g.settleStageCount(r, false)
	r.countedStage, r.countedAmount = st, (1-g.unseenShare/2)/st.count
	st.served.add(g.now, rateTimeConstant, r.countedAmount)
	st.offered.add(g.now, rateTimeConstant, 1)
	if r.creditFreeServer = nil; g.unseenShare > maxUnseenShare {
		g.allowCreditFree(r, st)
	}
}

// allowCreditFree lets a part of the requests go without a credit to the cold server that their
// affinity key (the prefix, or the cell of the reader) maps to: the more of this gateway's latest
// requests mapped there, the smaller the part. This bounds the mean of what all gateways send to
// one server, however the keys are distributed over servers: where k of m mapped there, each with
// the probability h, E[h(m+1)/(k+1)] < 1, and counting k = 0 twice adds 1/e at most.
func (g *Gateway) allowCreditFree(r *request, st *stage) {
	key := cmp.Or(r.affinityKey, Key(r.ID))
	if r.reader != nil {
		key = Key(r.reader.Cell + 1)
	}
	at, k, m := st.coldServerFor(key), 0.0, 1.0
	for _, p := range st.recent {
		if p.key != 0 && between(p.at, g.now) < entryTTL {
			m++
			if at != nil && (p.key == key || st.coldServerFor(p.key) == at) {
				k++
			}
		}
	}
	st.recent[st.last%len(st.recent)] = affinitySample{key, g.now}
	st.last++
	if k == 0 {
		m *= 2
	}
	if at == nil {
		return
	}
	probability := affinityBudgetShare * g.settings.FallMultiple * g.assumedWarmth(at) *
		st.served.v / st.offered.v
	if g.rng.Float64()*(k+1)/m < probability {
		r.creditFreeServer = at
	}
}
