package logic

// This file: slow start: what may be sent to servers that are not warm yet.

import (
	"cmp"
	"math"
	"time"
)

const (
	coldCaution = 0.6              // part of the cold budget used; the rest is for chance
	creditPart  = 0.4              // the same by credits alone, where little is seen of peers
	homePart    = 0.4              // and the other, where requests meet
	creditSpan  = 4                // times the settings' time for a fall: credits accrue for so long at most
	rateMemory  = 10 * time.Second // time constant of the rates that cold budgets go by
	toldWithin  = 6 * time.Second  // what discovery has to tell counts as told by then (protocol)
)

// stage is what all servers that read, or that answer, do for this gateway.
type stage struct {
	n, units float64            // of the usable servers: how many, and the sum of their warmth
	cold     []*server          // of those that requests meet at
	served   fading             // own requests, by what a unit of warmth bore of them
	offered  fading             // own requests that came to it
	recent   [32]affinitySample // of the last ones
	last     int
}

// affinitySample is the affinity key of a request, and when it came.
type affinitySample struct {
	key Key
	at  Time
}

// coldest is the cold server at which requests of a key meet: of all that read, or of the writers of a cell.
func (st *stage) coldest(key Key) (at *server) {
	least := 2.0
	for _, s := range st.cold {
		if s.role == RoleWrite && Key(s.Cell+1) != key {
			continue
		}
		if x := hash(key, s.Server); x < least {
			at, least = s, x
		}
	}
	return at
}

// addToStages adds a usable server to the stages that it has a part in.
func (g *Gateway) addToStages(s *server, warmth float64) {
	for i := range g.stages {
		if st := &g.stages[i]; s.role == RoleBoth || s.role.stage() == i {
			st.n++
			st.units += warmth
			if warmth < 1 && s.fails == 0 && (i == 0 || s.role == RoleWrite) {
				st.cold = append(st.cold, s)
			}
		}
	}
}

// perWarmth is what own requests had done a second by each unit of warmth there. Memory of a gateway that
// has begun just now reaches back to that, not further.
func (st *stage) perWarmth(now, born Time) float64 {
	known := 1 - math.Exp(-math.Max(after(born, now).Seconds(), 1)/rateMemory.Seconds())
	return math.Max(0, st.served.value(now, rateMemory)) / rateMemory.Seconds() / known
}

// settleStage takes how a request ended at the stage that it was counted at, if it is counted still.
func (g *Gateway) settleStage(r *request, done bool) {
	if r.countedAt == nil {
		return
	}
	r.countedAt.served.add(g.now, rateMemory, -r.countedShare)
	if done {
		r.countedAt.served.add(g.now, rateMemory, 1/r.countedAt.units)
	}
	r.countedAt = nil
}

// stage is 0 where a server only reads, 1 where it answers.
func (r Role) stage() int {
	if r == RoleRead {
		return 0
	}
	return 1
}

// assumedWarmth is the warmth that sends go by. A server that could not be reached twice may have started
// anew: it is sent as to a cold one since, until discovery would have told of a start. Trials go on where
// much is seen.
func (g *Gateway) assumedWarmth(s *server) float64 {
	w, gone := g.warmth(s), after(s.unreachableAt, g.now)
	trial := g.unseenShare <= mostUnseen && s.suspectUntil != 0 && g.now >= s.suspectUntil && s.waiting == 0
	if s.unreachableAt == 0 || gone >= toldWithin || trial || g.set.FallMultiple <= 0 || g.set.FallAfter <= 0 {
		return w
	}
	return math.Min(w, g.set.ColdShare+(1-g.set.ColdShare)*gone.Seconds()/toldWithin.Seconds())
}

// coldRoom tells whether this gateway may send to s now. For a server in slow start it has credits, one
// for each send, which accrue with time: its share of what the settings let the whole fleet send, by the
// rate that a unit of warmth bears. That share is what its own requests had of the rate, so the shares of
// all gateways make up the fleet's rate, however uneven. Fractions of a credit are drawn for. Credits
// lapse: saved up, they would be used at once.
func (g *Gateway) coldRoom(s *server) bool {
	w := g.assumedWarmth(s)
	if w >= 1 {
		return true
	}
	least := 1 / float64(g.set.Gateways) / g.set.FallAfter.Seconds() // one a window of all: warming has to begin
	part := coldCaution
	if g.unseenShare > mostUnseen {
		part = creditPart // where requests meet, cold servers have another
	}
	rate := math.Max(part*g.set.FallMultiple*w*g.stages[s.role.stage()].perWarmth(g.now, g.startedAt), least)
	if g.now >= s.creditsLapseAt {
		s.coldCredits = 0
	}
	accrued := rate * min(after(s.creditsGivenAt, g.now), creditSpan*g.set.FallAfter).Seconds()
	if n := int(accrued + g.rng.Float64()); n > 0 {
		s.coldCredits, s.creditsLapseAt = s.coldCredits+n, g.now+Time(g.set.FallAfter)
	}
	s.creditsGivenAt = g.now
	return s.coldCredits > 0
}

// countAtStage counts a request at the stage that it comes to. Until it ends it stands for what servers
// bear however warm; done, for what their warmth did; failed, for nothing.
func (g *Gateway) countAtStage(r *request) {
	st := &g.stages[r.stage()]
	if r.countedAt == st || st.n == 0 {
		return
	}
	g.settleStage(r, false)
	r.countedAt, r.countedShare = st, (1-g.unseenShare/2)/st.n
	st.served.add(g.now, rateMemory, r.countedShare)
	st.offered.add(g.now, rateMemory, 1)
	if r.creditFreeServer = nil; g.unseenShare > mostUnseen {
		g.allowCreditFree(r, st)
	}
}

// allowCreditFree lets a part of the requests go without a credit to the cold server at which a request meets
// others of its kind, by its beginning or near its reader: the less, the more of this gateway's last ones
// met there. It bounds the mean of what all let go to one server, however requests fall on servers: where
// k of m met there, each with the chance h, E[h(m+1)/(k+1)] < 1, and that k = 0 counts twice adds 1/e at
// most.
func (g *Gateway) allowCreditFree(r *request, st *stage) {
	key := cmp.Or(r.affinityKey, Key(r.ID))
	if r.reader != nil {
		key = Key(r.reader.Cell + 1)
	}
	at, k, m := st.coldest(key), 0.0, 1.0
	for _, p := range st.recent {
		if p.key != 0 && after(p.at, g.now) < keepFor {
			m++
			if at != nil && (p.key == key || st.coldest(p.key) == at) {
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
	bears := homePart * g.set.FallMultiple * g.assumedWarmth(at) * st.served.v / st.offered.v
	if g.rng.Float64()*(k+1)/m < bears {
		r.creditFreeServer = at
	}
}
