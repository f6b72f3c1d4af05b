package outlier

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func config(self string, zones ...string) Config {
	c := Config{Self: self, Zones: map[string]string{}, Quorum: 2, MaxOut: 0.3, MinFailures: 3, Hold: 3 * time.Second, Return: 4 * time.Second}
	for i, z := range zones {
		c.Zones[fmt.Sprintf("r%d", i)] = z
	}
	return c
}

func detector(t require.TestingT, c Config) *Detector {
	k, err := New(c, 1)
	require.NoError(t, err)
	return k
}

func pool(n int) []Worker {
	out := make([]Worker, n)
	for i := range out {
		out[i] = Worker{Name: fmt.Sprintf("w%02d", i), Since: 1, Kind: "k", Zone: "z"}
	}
	return out
}

// judgementBy makes another router's judgement of a worker.
func judgementBy(origin, worker string, seq uint64) Judgement {
	return Judgement{Worker: worker, Since: 1, Origin: origin, Incarnation: 1, Seq: seq, Fault: Errors, Bad: 2, LeftMs: 3000}
}

func TestQuorumForTakingAWorkerOut(t *testing.T) {
	now := Time(time.Hour)
	for _, tc := range []struct {
		name       string
		zones      []string // of r0, the router under test, and the others
		judgements []Judgement
		out        bool
	}{
		{"no router", []string{"a", "a", "a"}, nil, false},
		{"one router alone", []string{"a", "a", "a"}, []Judgement{judgementBy("r1", "w00", 1)}, false},
		{"two of one zone, the only one", []string{"a", "a", "a"}, []Judgement{judgementBy("r1", "w00", 1), judgementBy("r2", "w00", 1)}, true},
		{"two of one zone of two", []string{"b", "a", "a"}, []Judgement{judgementBy("r1", "w00", 1), judgementBy("r2", "w00", 1)}, false},
		{"two of two zones", []string{"b", "a", "b"}, []Judgement{judgementBy("r1", "w00", 1), judgementBy("r2", "w00", 1)}, true},
		{"one of them twice", []string{"a", "a", "a"}, []Judgement{judgementBy("r1", "w00", 1), judgementBy("r1", "w00", 2)}, false},
		{"one withdraws it", []string{"a", "a", "a"}, []Judgement{judgementBy("r1", "w00", 1), judgementBy("r2", "w00", 1),
			{Worker: "w00", Since: 1, Origin: "r2", Incarnation: 1, Seq: 2, LeftMs: 3000}}, false},
		{"the withdrawal arrives late", []string{"a", "a", "a"}, []Judgement{judgementBy("r1", "w00", 1), judgementBy("r2", "w00", 9),
			{Worker: "w00", Since: 1, Origin: "r2", Incarnation: 1, Seq: 2, LeftMs: 3000}}, true},
		{"an unknown router", []string{"a", "a", "a"}, []Judgement{judgementBy("r1", "w00", 1), judgementBy("r7", "w00", 1)}, false},
		{"an earlier incarnation", []string{"a", "a", "a"}, []Judgement{judgementBy("r1", "w00", 1),
			{Worker: "w00", Since: 0, Origin: "r2", Incarnation: 1, Seq: 1, Fault: Errors, Bad: 2, LeftMs: 3000}}, false},
		{"invalid values", []string{"a", "a", "a"}, []Judgement{judgementBy("r1", "w00", 1),
			{Worker: "w00", Since: 1, Origin: "r2", Incarnation: 1, Seq: 1, Fault: 99, Bad: 2, LeftMs: 3000},
			{Worker: "w00", Since: 1, Origin: "r2", Incarnation: 1, Seq: 1, Fault: Errors, Bad: math.NaN(), LeftMs: 3000},
			{Worker: "w00", Since: 1, Origin: "r2", Incarnation: 1, Seq: 1, Fault: Errors, Bad: 2, LeftMs: 1 << 31},
			{Worker: "w00", Since: 1, Origin: "r0", Incarnation: 1, Seq: 1, Fault: Errors, Bad: 2, LeftMs: 3000}}, false},
		{"too few failures together", []string{"a", "a", "a"}, []Judgement{{Worker: "w00", Since: 1, Origin: "r1", Incarnation: 1, Seq: 1, Fault: Errors, Bad: 1, LeftMs: 3000},
			{Worker: "w00", Since: 1, Origin: "r2", Incarnation: 1, Seq: 1, Fault: Errors, Bad: 1, LeftMs: 3000}}, false},
		{"a router that judges all workers", []string{"a", "a", "a"}, func() (out []Judgement) {
			for i := range 10 {
				out = append(out, judgementBy("r2", fmt.Sprintf("w%02d", i), uint64(i+1)))
			}
			return append(out, judgementBy("r1", "w00", 1))
		}(), false},
	} {
		c := detector(t, config("r0", tc.zones...))
		c.Receive(tc.judgements, now)
		_, out := c.TrafficShares(pool(10), now)["w00"]
		require.Equal(t, tc.out, out, tc.name)
	}
}

// Own attempts make a judgement that is shared and expires; the worker returns in steps; a new
// incarnation has all of its traffic.
func TestOutAndBackInSteps(t *testing.T) {
	now := Time(time.Hour)
	a, b := detector(t, config("r0", "x", "x")), detector(t, config("r1", "x", "x"))
	for i := range 40 {
		for _, c := range []*Detector{a, b} {
			c.Observe(fmt.Sprintf("w%02d", i%10), 1, map[bool]Fault{true: Errors}[i%10 == 3], now)
		}
	}
	a.Judge(now)
	b.Judge(now)
	require.NotContains(t, a.TrafficShares(pool(10), now), "w03", "one router alone takes no worker out")
	a.Receive(b.Judgements(now), now)
	require.Equal(t, map[string]float64{"w03": 0}, a.TrafficShares(pool(10), now))
	k := a.Case("w03", now)
	require.True(t, k.Out)
	require.Len(t, k.By, 2)
	again := pool(10)
	again[3].Since = 2
	require.NotContains(t, detector(t, config("r0", "x", "x")).TrafficShares(again, now), "w03")
	now += Time(3 * time.Second)
	var steps []float64
	for range 6 {
		p, ok := a.TrafficShares(pool(10), now)["w03"]
		if !ok {
			p = 1
		}
		steps = append(steps, p)
		now += Time(time.Second)
	}
	require.Equal(t, []float64{0.2, 0.4, 0.6, 0.8, 1, 1}, steps)
}

// A process whose incarnation is raised makes its judgements again: others have dropped those of
// the old incarnation.
func TestNewerIncarnationRenewsJudgements(t *testing.T) {
	now := Time(time.Hour)
	a, b := detector(t, config("r0", "x", "x")), detector(t, config("r1", "x", "x"))
	// From its predecessor.
	a.Receive([]Judgement{{Worker: "w03", Since: 1, Origin: "r1", Incarnation: 9, Seq: 50, LeftMs: 3000}}, now)
	for i := range 40 {
		b.Observe(fmt.Sprintf("w%02d", i%10), 1, map[bool]Fault{true: Errors}[i%10 == 3], now)
	}
	b.Judge(now)
	a.Receive(b.Judgements(now), now)
	require.Equal(t, None, a.Case("w03", now).By[0].Fault, "of an older incarnation")
	b.SetIncarnation(10)
	b.Judge(now)
	a.Receive(b.Judgements(now), now)
	require.Equal(t, Errors, a.Case("w03", now).By[0].Fault)
}

// A router to which most workers appear faulty has a faulty link, and judges no worker.
func TestRouterWithBadLinkJudgesNoWorker(t *testing.T) {
	now := Time(time.Hour)
	c := detector(t, config("r0", "x", "x"))
	for i := range 100 {
		c.Observe(fmt.Sprintf("w%02d", i%10), 1, map[bool]Fault{true: Connect}[i%10 < 6], now)
	}
	c.Judge(now)
	require.Empty(t, c.Judgements(now))
}

// For any judgements, no more than the stated share of a kind or a zone is out, and no worker is
// out on one router's judgement.
func TestShareHoldsForAnyJudgements(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := Time(time.Hour)
		c := detector(t, config("r0", "a", "b", "a", "b"))
		workers := pool(rapid.IntRange(1, 30).Draw(t, "workers"))
		for i := range workers {
			workers[i].Kind = rapid.SampledFrom([]string{"read", "write"}).Draw(t, "kind")
			workers[i].Zone = rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone")
		}
		for range rapid.IntRange(0, 60).Draw(t, "judgements") {
			judgement := judgementBy(fmt.Sprintf("r%d", rapid.IntRange(1, 3).Draw(t, "origin")), workers[rapid.IntRange(0, len(workers)-1).Draw(t, "worker")].Name,
				rapid.Uint64Max(100).Draw(t, "seq"))
			c.Receive([]Judgement{judgement}, now)
			if rapid.Bool().Draw(t, "own") {
				c.Observe(judgement.Worker, 1, Errors, now)
			}
			c.Judge(now)
			out := map[string]int{}
			for name, part := range c.TrafficShares(workers, now) {
				for _, w := range workers {
					if w.Name == name && part == 0 {
						out["kind "+w.Kind]++
						out["zone "+w.Zone]++
						by, _ := c.agreed(w, map[string]bool{}, now)
						require.GreaterOrEqual(t, len(by), 2)
					}
				}
			}
			all := map[string]int{}
			for _, w := range workers {
				all["kind "+w.Kind]++
				all["zone "+w.Zone]++
			}
			for group, n := range out {
				require.LessOrEqual(t, float64(n), 0.3*float64(all[group]), group)
			}
			now += Time(rapid.IntRange(0, 500).Draw(t, "ms")) * Time(time.Millisecond)
		}
	})
}

// One of 20 workers begins to answer all requests with errors. With little traffic each router
// alone needs a long time to count enough failures; with others' judgements all routers soon stop
// using it. The test compares both times within one run.
func TestAllStopUsingABadWorker(t *testing.T) {
	const rate, most, tick = 4.0, 3 * time.Minute, 100 * time.Millisecond
	for _, n := range []int{8, 40, 200} {
		rng := rand.New(rand.NewPCG(5, 5))
		zones := make([]string, n)
		for i := range n {
			zones[i] = string(rune('a' + i%2))
		}
		detectors := make([]*Detector, n)
		aloneAt, sharedAt := make([]Time, n), make([]Time, n)
		for i := range n {
			detectors[i] = detector(t, config(fmt.Sprintf("r%d", i), zones...))
		}
		begin := Time(time.Hour)
		for now := begin; now-begin < Time(most); now += Time(tick) {
			left := 0
			for i, c := range detectors {
				if rng.Float64() < rate*tick.Seconds() {
					w := rng.IntN(20)
					c.Observe(fmt.Sprintf("w%02d", w), 1, map[bool]Fault{true: Errors}[w == 0], now)
				}
				if e := c.evidence["w00"]; aloneAt[i] == 0 && e != nil && e.bad[Errors] >= c.cfg.MinFailures {
					aloneAt[i] = now - begin
				}
				if sharedAt[i] == 0 {
					left++
					c.Judge(now)
					if p, ok := c.TrafficShares(pool(20), now)["w00"]; ok && p == 0 {
						sharedAt[i] = now - begin
					}
				}
				if (now/Time(tick))%5 == 0 { // twice per second to two others
					for range 2 {
						detectors[rng.IntN(n)].Receive(c.Judgements(now), now)
					}
				}
			}
			if left == 0 && !slices.Contains(aloneAt, 0) {
				break
			}
		}
		last := func(of []Time) time.Duration {
			worst := Time(0)
			for _, at := range of {
				if at == 0 {
					at = Time(most)
				}
				worst = max(worst, at)
			}
			return time.Duration(worst)
		}
		t.Logf("%3d routers of 4 attempts a second over 20 workers: all stop after %v; each alone has counted as many failures after %v (%v: not by then)",
			n, last(sharedAt), last(aloneAt), most)
		require.Less(t, last(sharedAt), 30*time.Second)
		require.Greater(t, last(aloneAt), 2*last(sharedAt))
	}
}

func TestFaultyConfig(t *testing.T) {
	for want, spoil := range map[string]func(*Config){
		`self is "x"`: func(c *Config) { c.Self = "x" }, "quorum is 0": func(c *Config) { c.Quorum = 0 },
		"most_out is 0.9": func(c *Config) { c.MaxOut = 0.9 }, "least is 0": func(c *Config) { c.MinFailures = 0 },
		"hold is 0s": func(c *Config) { c.Hold = 0 },
	} {
		c := config("r0", "a")
		spoil(&c)
		_, err := New(c, 1)
		require.ErrorIs(t, err, ErrConfig)
		require.ErrorContains(t, err, want)
	}
}
