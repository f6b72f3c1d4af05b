package logic

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// answeredShares are the fractions of the requests that were answered.
type answeredShares struct {
	all, long     float64 // of all requests, and of the tenth with the longest prompts
	alwaysRefused float64 // part of the sessions with every turn refused, beyond random variation
}

const (
	// Operators' bound on the sessions with every turn refused on a quiet day.
	maxAlwaysRefused = 0.12
	// Operators' bounds for the longest prompts, relative to the share of their class: on a quiet
	// day, and on other days.
	minQuietLongShare = 2.0 / 3
	minBusyLongShare  = 0.5
	readRate          = 20_000.0 // tokens per second of one reader
)

// fairness simulates sessions whose turns arrive at any gateway, one in ten sessions with prompts
// ten times as long. The readers process one prompt after the other; load is the requested part of
// their capacity.
func fairness(n int, load float64, seed uint64) answeredShares {
	const turns, spread = 3, 4 * time.Second
	members := fleet(24, 0)
	c := newGatewaySim(n, members, Time(time.Hour))
	c.rng = rand.New(rand.NewPCG(uint64(n), seed))
	free, readers := map[ServerID]Time{}, 0.0
	for _, m := range members {
		if m.Kind == 0 {
			readers++
		}
	}
	c.answer = func(c *gatewaySim, s ServerID) (Status, time.Duration) {
		if c.gateways[0].byID[s].role != RoleRead {
			return Served, 50 * time.Millisecond
		}
		was := free[s]
		free[s] = max(was, c.now) + Time(seconds(c.requests[c.current.ID].PromptTokens/readRate))
		took := time.Duration(free[s] - c.now)
		if took > c.current.After { // cancelled while it waits
			free[s] = was
			return TimedOut, c.current.After
		}
		return Served, took
	}
	type session struct{ asked, refused int }
	sessions, of := []*session{}, map[RequestID]*session{}
	later := map[Time][]func(){}
	var asked, answered [2]float64 // of short prompts, of long ones
	kind := func(q Request) int {
		if q.PromptTokens > 10_000 {
			return 1
		}
		return 0
	}
	c.onRefused = func(c *gatewaySim, _ int, id RequestID) {
		of[id].refused++
		answered[kind(c.requests[id])]--
	}
	turn := func(s *session, q Request) {
		s.asked++
		of[c.ids+1] = s
		asked[kind(q)]++
		answered[kind(q)]++
		c.ask(c.rng.IntN(n), q)
	}
	const mean = 0.9*2000 + 0.1*20_000 // tokens
	perTick := load * readers * readRate / mean / turns * simTick.Seconds()
	for end := c.now + Time(40*time.Second); c.now < end; {
		for _, f := range later[c.now] {
			f()
		}
		for x := perTick; x > 0 && c.now < end-Time(2*spread) && c.rng.Float64() < x; x-- {
			q := Request{Session: Key(c.rng.Uint64()), PromptTokens: 1000 + 2000*c.rng.Float64(), MaxTokens: 100, Patience: 4 * time.Second}
			if c.rng.Float64() < 0.1 {
				q.PromptTokens *= 10
			}
			s := &session{}
			sessions = append(sessions, s)
			turn(s, q)
			for i := 1; i < turns; i++ {
				at := c.now + Time(i)*Time(spread)/turns + Time(c.rng.IntN(20))*Time(simTick)
				later[at/Time(simTick)*Time(simTick)] = append(later[at/Time(simTick)*Time(simTick)], func() { turn(s, q) })
			}
		}
		c.run(simTick, 0)
	}
	refused, all := 0.0, 0.0
	for _, s := range sessions {
		refused += float64(s.refused) / float64(s.asked) / float64(len(sessions))
		if s.refused == s.asked {
			all += 1 / float64(len(sessions))
		}
	}
	return answeredShares{(answered[0] + answered[1]) / (asked[0] + asked[1]), answered[1] / asked[1], all - math.Pow(refused, turns)}
}

// With any number of gateways the longest prompts get their part of what their class gets, and on a
// quiet day no group of sessions has all its turns refused.
func TestLongPromptsAndSessionsAreServedFairly(t *testing.T) {
	for _, n := range []int{1, 8, 80, 300} {
		for seed := range uint64(2) {
			quiet, busy := fairness(n, 0.6, seed), fairness(n, 1.4, seed)
			t.Logf("%3d gateways, seed %d: quiet %.2f, long %.2f, always refused %+.2f; busy %.2f, long %.2f", n, seed, quiet.all, quiet.long,
				quiet.alwaysRefused, busy.all, busy.long)
			if quiet.long < minQuietLongShare*quiet.all || quiet.alwaysRefused > maxAlwaysRefused {
				t.Errorf("%d gateways, seed %d, quiet: %s", n, seed, fmt.Sprint(quiet))
			}
			if busy.long < minBusyLongShare*busy.all {
				t.Errorf("%d gateways, seed %d, busy: %s", n, seed, fmt.Sprint(busy))
			}
		}
	}
}
