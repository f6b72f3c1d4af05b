package attempts

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lichenshelf/fleet/budget"
)

const (
	hour = int64(time.Hour)
	warm = 10 * time.Second
)

func rules() *Rules {
	return New(Config{Front: "p", RepeatsPerSecond: 5, ColdPerSecond: 2, WarmWithin: warm})
}

func at(d time.Duration) Time { return Time(d) }

// Whether and how long a worker counts as cold depends on when this router learns of its start.
func TestColdFromWhenItsStartIsLearned(t *testing.T) {
	old := Worker{Name: "old"}
	for name, c := range map[string]struct {
		later      bool // received after the first list
		wall       int64
		since      int64
		coldAt     time.Duration // cold at this time after it was received
		warmAt     time.Duration // warm at this time; 0: always warm
		neverKnown bool
	}{
		"listed at the start, of this second":       {wall: 2 * hour, since: 2*hour - int64(time.Second), coldAt: 8 * time.Second, warmAt: 9 * time.Second},
		"listed at the start, long ago":             {wall: 2 * hour, since: hour},
		"listed at the start, without a start":      {wall: 2 * hour, since: 0},
		"listed at the start, in the future":        {wall: hour, since: 2 * hour, coldAt: 9 * time.Second, warmAt: warm},
		"learnt later":                              {later: true, wall: 2 * hour, since: 2 * hour, coldAt: 9 * time.Second, warmAt: warm},
		"learnt later, own clock an hour ahead":     {later: true, wall: 3 * hour, since: 2 * hour, coldAt: 9 * time.Second, warmAt: warm},
		"learnt later, own clock an hour behind":    {later: true, wall: hour, since: 2 * hour, coldAt: 9 * time.Second, warmAt: warm},
		"learnt later, without a start, never cold": {later: true, wall: hour, since: 0},
	} {
		t.Run(name, func(t *testing.T) {
			r := rules()
			learntAt := time.Duration(0)
			if c.later {
				r.UpdateWorkers([]Worker{old}, true, 2*hour, 0)
				learntAt = time.Second
				r.UpdateWorkers([]Worker{{Name: "w", Since: c.since}}, false, c.wall, at(learntAt))
			} else {
				r.UpdateWorkers([]Worker{old, {Name: "w", Since: c.since}}, true, c.wall, 0)
			}
			cold := func(d time.Duration) bool {
				return r.Spend("w", false, at(learntAt+d), func(string) bool { return false }) == TooCold
			}
			require.Equal(t, c.coldAt > 0, cold(0))
			if c.coldAt > 0 {
				require.True(t, cold(c.coldAt))
				require.False(t, cold(c.warmAt))
				limits, _ := r.ColdLimits(at(learntAt))
				require.Equal(t, map[string]float64{fmt.Sprintf("cold/p/w@%d", c.since): 2}, limits)
				limits, changed := r.ColdLimits(at(learntAt + c.warmAt))
				require.Empty(t, limits)
				require.True(t, changed)
			}
		})
	}
}

// A restart has a budget of its own; a removed worker has none; listing a worker again changes
// nothing.
func TestBudgetsFollowTheList(t *testing.T) {
	r := rules()
	require.False(t, r.UpdateWorkers([]Worker{{Name: "a", Since: 1}, {Name: "b", Since: 1}}, true, hour, 0))
	require.True(t, r.UpdateWorkers([]Worker{{Name: "a", Since: hour}}, false, hour, at(time.Second)))
	require.False(t, r.UpdateWorkers([]Worker{{Name: "a", Since: hour}, {Name: "b", Since: 1}}, true, hour, at(5*time.Second)))
	require.True(t, r.UpdateWorkers([]Worker{{Name: "a", Since: hour + 1}}, false, hour, at(6*time.Second)), "restarted while cold")
	limits, changed := r.ColdLimits(at(6 * time.Second))
	require.False(t, changed)
	require.Equal(t, map[string]float64{fmt.Sprintf("cold/p/a@%d", hour+1): 2}, limits)
	require.True(t, r.UpdateWorkers([]Worker{{Name: "b", Since: 1}}, true, hour, at(7*time.Second)), "not listed any more")
	limits, _ = r.ColdLimits(at(7 * time.Second))
	require.Empty(t, limits)
	require.True(t, r.UpdateWorkers([]Worker{{Name: "a", Since: hour + 1}}, false, hour, at(8*time.Second)))
	require.True(t, r.UpdateWorkers([]Worker{{Name: "a", Removed: true}}, false, hour, at(8*time.Second)))

	many := make([]Worker, 3*maxCold)
	for i := range many {
		many[i] = Worker{Name: fmt.Sprint(i), Since: hour}
	}
	r.UpdateWorkers(many, false, hour, at(9*time.Second))
	limits, _ = r.ColdLimits(at(9 * time.Second))
	require.Len(t, limits, maxCold)

	off := New(Config{Front: "p", WarmWithin: warm})
	require.False(t, off.UpdateWorkers(many, true, hour, 0))
	require.Equal(t, None, off.Spend("1", true, 0, func(string) bool { return false }), "without limits no attempt is refused")
}

func TestBudgetsOfAnAttempt(t *testing.T) {
	r := rules()
	r.UpdateWorkers(nil, true, hour, 0)
	r.UpdateWorkers([]Worker{{Name: "c", Since: hour}, {Name: "w"}}, false, hour, 0)
	for _, c := range []struct {
		worker string
		repeat bool
		empty  string // the budget that is exhausted
		want   Refusal
		spent  string
	}{
		{"w", false, "", None, ""},
		{"w", true, "", None, "repeats/p"},
		{"w", true, "repeats/p", NoRepeats, ""},
		{"c", false, "", None, "cold/p/c@3600000000000"},
		{"c", true, "", None, "cold/p/c@3600000000000 repeats/p"},
		{"c", true, "cold/p/c@3600000000000", TooCold, ""},
		{"c", true, "repeats/p", NoRepeats, "cold/p/c@3600000000000"},
		{"unknown", false, "", None, ""},
	} {
		var spent []string
		got := r.Spend(c.worker, c.repeat, at(time.Second), func(key string) bool {
			if key == c.empty {
				return false
			}
			spent = append(spent, key)
			return true
		})
		require.Equal(t, c.want, got, "%+v", c)
		require.Equal(t, c.spent, strings.Join(spent, " "), "%+v", c)
	}
}

// Many routers learn of a start at different times and all want to send at once. Together they send
// the cold worker no more than its limit, at any number of routers, and use most of the limit if
// they can reach each other.
func TestColdWorkerIsNotOverloadedByManyRouters(t *testing.T) {
	const (
		limit = 20.0
		lease = 2 * time.Second
		step  = 50 * time.Millisecond
	)
	for _, n := range []int{1, 8, 80, 200} {
		for _, linked := range []bool{true, false} {
			t.Run(fmt.Sprintf("%d linked %v", n, linked), func(t *testing.T) {
				rng := rand.New(rand.NewPCG(uint64(n), 7))
				names := make([]string, n)
				for i := range names {
					names[i] = fmt.Sprint("r", i)
				}
				ledgers, all := map[string]*budget.Ledger{}, map[string]*Rules{}
				for _, name := range names {
					l, err := budget.New(budget.Config{Self: name, Routers: names, Incarnation: 1, Epoch: 1, Lease: lease, Drift: 0.01,
						Floor: 0.1, Burst: time.Second}, 0)
					require.NoError(t, err)
					ledgers[name] = l
					r := New(Config{Front: "p", ColdPerSecond: limit, WarmWithin: 14 * time.Second})
					r.UpdateWorkers([]Worker{{Name: "old"}}, true, hour, 0)
					all[name] = r
				}
				began := 10 * time.Second // all are past their first lease
				sent, demand := 0, min(3, n)
				for now := began; now < began+14*time.Second; now += step {
					for i, name := range names {
						l, r := ledgers[name], all[name]
						if learntAt := began + time.Duration(i%8)*step; now == learntAt {
							r.UpdateWorkers([]Worker{{Name: "c", Since: hour}}, false, hour+int64(i-n/2)*hour/10, at(now))
							limits, _ := r.ColdLimits(at(now))
							for key, v := range limits {
								l.SetLimit(key, v, budget.Time(now))
							}
						}
						if i < demand { // only a few routers have requests
							for range 1 + rng.IntN(3) {
								if r.cold["c"].until > 0 && r.Spend("c", false, at(now), func(key string) bool {
									return l.Spend(key, 1, budget.Time(now))
								}) == None {
									sent++
								}
							}
						}
						for _, m := range l.Tick(budget.Time(now)) {
							if linked {
								for _, answer := range ledgers[m.To].Receive(m, budget.Time(now)) {
									l.Receive(answer, budget.Time(now))
								}
							}
						}
					}
					require.LessOrEqual(t, float64(sent), limit*(now-began+step).Seconds()+1, "at %v", now-began)
				}
				if linked {
					require.Greater(t, float64(sent), 0.85*limit*14, "of the budget is used")
				}
			})
		}
	}
}
