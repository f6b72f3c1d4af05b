package counts

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func names(n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("r%03d", i)
	}
	return out
}

func peers(b *Board, now Time) map[string]float64 {
	out := map[string]float64{}
	b.Peers(now, func(w string, v Work) {
		if v.Unread > 0 {
			out[w] = v.Unread
		}
	})
	return out
}

// States merge to the same result in any order and with repetitions.
func TestStatesMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var states []State
		for range rapid.IntRange(0, 12).Draw(t, "states") {
			states = append(states, State{Router: rapid.SampledFrom(names(4)).Draw(t, "router"), Incarnation: rapid.Uint64Range(1, 2).Draw(t, "incarnation"),
				Version: rapid.Uint64Range(1, 4).Draw(t, "version"), Work: map[string]Work{}})
			s := &states[len(states)-1]
			// One version has one content.
			s.Work["w"] = Work{Unread: float64(s.Incarnation*10 + s.Version)}
		}
		now := Time(time.Hour)
		a, b := New("r000", names(4), 1, time.Second), New("r000", names(4), 1, time.Second)
		for _, s := range states {
			a.Receive(s, now)
		}
		for _, i := range rapid.Permutation(indices(len(states))).Draw(t, "order") {
			for range rapid.IntRange(1, 3).Draw(t, "times") {
				b.Receive(states[i], now)
			}
		}
		require.Equal(t, peers(a, now), peers(b, now))
	})
}

func indices(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i
	}
	return out
}

// If each router sends its state to two others per round, every router's estimate of the total is
// within a quarter.
func TestEstimateOfPeersWork(t *testing.T) {
	for _, n := range []int{2, 8, 80, 200} {
		rng := rand.New(rand.NewPCG(uint64(n), 3))
		boards := make([]*Board, n)
		for i, name := range names(n) {
			boards[i] = New(name, names(n), 1, time.Second)
			boards[i].Add("w", Work{Unread: 1000 + 500*rng.Float64()})
		}
		now := Time(time.Hour)
		sent, worst := 0, 0.0
		for round := range 50 {
			for _, b := range boards {
				s := b.NextState()
				for range 2 {
					sent++
					boards[rng.IntN(n)].Receive(s, now)
				}
			}
			if round >= 20 {
				truth := 0.0
				for _, b := range boards[1:] {
					truth += b.own.Work["w"].Unread
				}
				worst = math.Max(worst, math.Abs(peers(boards[0], now)["w"]/truth-1))
			}
			now += Time(200 * time.Millisecond)
		}
		t.Logf("%3d routers: maximum error %.2f, %.0f messages a second", n, worst, float64(sent)/10)
		require.Less(t, worst, 0.25)
	}
}

func TestOldStatesDecayToTheMeanAndExpire(t *testing.T) {
	now := Time(time.Hour)
	b := New("r000", names(3), 1, time.Second)
	require.Empty(t, peers(b, now), "no state is known")
	b.Receive(State{Router: "r001", Incarnation: 1, Version: 1, Work: map[string]Work{"w": {Unread: 900}}}, now)
	require.InDelta(t, 1350, peers(b, now)["w"], 1, "the third counts as the mean of the two")
	b.Receive(State{Router: "r002", Incarnation: 1, Version: 1, Work: map[string]Work{"w": {Unread: 100}}}, now)
	require.InDelta(t, 1000, peers(b, now)["w"], 1)
	now += Time(3 * time.Second)
	b.Receive(State{Router: "r002", Incarnation: 1, Version: 2, Work: map[string]Work{"w": {Unread: 100}}}, now)
	require.Less(t, peers(b, now)["w"], 320.0, "a silent router counts as the mean of the others")
	b.Receive(State{Router: "r001", Incarnation: 2, Version: 1, Work: map[string]Work{}}, now)
	require.InDelta(t, 100, peers(b, now)["w"], 1, "restarted, with no open work")
	now += Time(11 * time.Second)
	require.Empty(t, peers(b, now))
	b.Add("w", Work{Unread: 30, Held: 50})
	b.Peers(now, func(_ string, w Work) {
		require.Equal(t, Work{Unread: 60, Held: 100}, w, "without states of others, the own work is the estimate for them")
	})
}

func TestNewerIncarnationReplacesState(t *testing.T) {
	now := Time(time.Hour)
	a, b := New("r000", names(2), 1, time.Second), New("r001", names(2), 1, time.Second)
	a.Receive(State{Router: "r001", Incarnation: 9, Version: 50}, now)
	b.Add("w", Work{Unread: 100})
	a.Receive(b.NextState(), now)
	require.Empty(t, peers(a, now), "of an older incarnation")
	b.SetIncarnation(10)
	a.Receive(b.NextState(), now)
	require.InDelta(t, 100, peers(a, now)["w"], 1)
}

func TestInvalidStatesAreDropped(t *testing.T) {
	now := Time(time.Hour)
	b := New("r000", names(2), 1, time.Second)
	many := map[string]Work{}
	for i := range maxWorkers + 1 {
		many[fmt.Sprint(i)] = Work{Unread: 1}
	}
	for name, s := range map[string]State{
		"an unknown router": {Router: "x", Work: map[string]Work{"w": {Unread: 1}}}, "itself": {Router: "r000", Work: map[string]Work{"w": {Unread: 1}}},
		"negative":      {Router: "r001", Incarnation: 1, Version: 1, Work: map[string]Work{"w": {Unread: -1}}},
		"not a number":  {Router: "r001", Incarnation: 1, Version: 1, Work: map[string]Work{"w": {Unread: math.NaN()}}},
		"held":          {Router: "r001", Incarnation: 1, Version: 1, Work: map[string]Work{"w": {Held: math.Inf(1)}}},
		"out of bounds": {Router: "r001", Incarnation: 1, Version: 1, Work: map[string]Work{"w": {Unread: 1e300}}},
		"too many":      {Router: "r001", Incarnation: 1, Version: 1, Work: many},
	} {
		b.Receive(s, now)
		require.Empty(t, peers(b, now), name)
	}
	b.Add("w", Work{Unread: math.NaN()})
	b.Add("w", Work{Unread: 10})
	b.Add("w", Work{Unread: -30})
	require.Empty(t, b.NextState().Work)
}
