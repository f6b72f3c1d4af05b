package logic

// This file: slow start: what may be sent to servers that are not warm yet.

import (
	"cmp"
	"math"
)

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
	if r.asked == st || st.n == 0 {
		return
	}
	g.settleStage(r, false)
	r.asked, r.part = st, (1-g.unseenShare/2)/st.n
	st.served.add(g.now, rateMemory, r.part)
	st.offered.add(g.now, rateMemory, 1)
	if r.invitedTo = nil; g.unseenShare > mostUnseen {
		g.invite(r, st)
	}
}

// invite lets a part of the requests go without a credit to the cold server at which a request meets
// others of its kind, by its beginning or near its reader: the less, the more of this gateway's last ones
// met there. It bounds the mean of what all let go to one server, however requests fall on servers: where
// k of m met there, each with the chance h, E[h(m+1)/(k+1)] < 1, and that k = 0 counts twice adds 1/e at
// most.
func (g *Gateway) invite(r *request, st *stage) {
	key := cmp.Or(r.meets, Key(r.ID))
	if r.reader != nil {
		key = Key(r.reader.Cell + 1)
	}
	at, k, m := st.coldest(key), 0.0, 1.0
	for _, p := range st.past {
		if p.key != 0 && after(p.at, g.now) < keepFor {
			m++
			if at != nil && (p.key == key || st.coldest(p.key) == at) {
				k++
			}
		}
	}
	st.past[st.last%len(st.past)] = meeting{key, g.now}
	st.last++
	if k == 0 {
		m *= 2
	}
	if at == nil {
		return
	}
	bears := homePart * g.set.FallMultiple * g.assumedWarmth(at) * st.served.v / st.offered.v
	if g.rng.Float64()*(k+1)/m < bears {
		r.invitedTo = at
	}
}
