package virtual

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lichenshelf/fleet/node"
	"lichenshelf/fleet/solver"
	"lichenshelf/fleet/traffic"
	"lichenshelf/fleet/zone"
	"lichenshelf/lab/demo"
	"lichenshelf/lab/engine"
	"lichenshelf/logic"
)

var seeds = flag.Int("seeds", 3, "number of seeds to run for each comparison")

// fleetConfig returns the settings of deploy/fleet.toml.
func fleetConfig() *node.Config {
	return &node.Config{Lease: 2 * time.Second, Floor: 0.1, Burst: time.Second, Drift: 0.01, Period: 500 * time.Millisecond, CountsPeriod: 100 * time.Millisecond, Fanout: 2, Digest: 32,
		Observers: 2, Quorum: 2, MaxOut: 0.3, MinFailures: 3, Hold: 3 * time.Second, Return: 10 * time.Second}
}

// usual returns the demonstration's site with n routers, at a total request rate.
func usual(n int, rate float64, seed uint64) Config {
	site := demo.Site()
	return Config{Routers: n, Site: site, Load: demo.Load(rate), Settings: demo.Settings(&site), Patience: 4 * time.Second,
		Hop: time.Millisecond, For: 30 * time.Second, Seed: seed}
}

func play(t testing.TB, cfg Config) *Result {
	r, err := Run(cfg)
	require.NoError(t, err)
	return r
}

// With and without a fleet, with lost messages and faults, each request ends once, no read state is
// left, and the same seed gives the same run.
func TestEachRequestEndsOnce(t *testing.T) {
	for _, n := range []int{1, 3, 8} {
		for _, fleet := range []*node.Config{nil, fleetConfig()} {
			cfg := usual(n, 40, uint64(n))
			cfg.Fleet = fleet
			cfg.Loss = 0.2
			cfg.Faults = []Fault{{8 * time.Second, func(w *World) { w.Kill("reader-0", 3*time.Second) }}, {12 * time.Second, func(w *World) { w.Site.Set("writer-1", engine.Fault{Errors: true}) }}}
			r := play(t, cfg)
			require.Greater(t, r.Asked, 1000)
			require.Equal(t, r.Asked, r.Served+r.Broken+r.Refused+r.Failed, "%d routers, fleet %v", n, fleet != nil)
			require.Greater(t, float64(r.Served), 0.6*float64(r.Asked))
			require.Zero(t, r.Held, "read states that were not released")
			again := play(t, cfg)
			require.Equal(t, []int{r.Served, r.Sent, r.Messages}, []int{again.Served, again.Sent, again.Messages})
			require.Equal(t, fleet != nil && n > 1, r.Messages > 0)
		}
	}
}

// The fleet's budget for repeats bounds the repeats of all routers together, as counted at the
// workers, and requests whose repeat it refuses still get an answer.
func TestRepeatsStayInTheirBudget(t *testing.T) {
	const limit = 4.0
	for _, n := range []int{1, 8, 40} {
		cfg := usual(n, 60, uint64(n))
		cfg.Faults = []Fault{{5 * time.Second, func(w *World) {
			for _, name := range []string{"reader-0", "reader-1", "reader-2", "writer-0", "writer-1"} {
				w.Site.Set(name, engine.Fault{Errors: true})
			}
		}}}
		free := play(t, cfg)
		cfg.Fleet = fleetConfig()
		cfg.Fleet.MaxOut = 0 // no worker is taken out, so that failing workers cause repeats
		cfg.Fleet.RepeatsPerSecond = limit
		r := play(t, cfg)
		t.Logf("%2d routers: %d repeats without a budget, %d with; served %d and %d of %d", n, free.Repeats, r.Repeats, free.Served, r.Served, r.Asked)
		require.LessOrEqual(t, float64(r.Repeats), limit*(cfg.For+cfg.Patience).Seconds()+limit+float64(n))
		require.Greater(t, free.Repeats, r.Repeats)
		require.Equal(t, r.Asked, r.Served+r.Broken+r.Refused+r.Failed)
	}
}

// A reader that restarts cold gets no more attempts than its budget from all routers together, as
// counted at the reader.
func TestBudgetOfAColdWorker(t *testing.T) {
	const limit = 6.0
	for _, n := range []int{1, 8, 40} {
		cfg := usual(n, 40, uint64(n))
		cfg.Fleet = fleetConfig()
		cfg.Fleet.ColdPerSecond = limit
		kill := Fault{8 * time.Second, func(w *World) { w.Kill("reader-0", 2*time.Second) }}
		cfg.Faults = []Fault{kill}
		cfg.Loss = 0.3
		r := play(t, cfg)
		up, warm := 10*time.Second, 10*time.Second+cfg.Site.Cold.WarmWithin
		var cold, after int
		for _, at := range r.Arrivals["reader-0"] {
			if at >= up && at < warm {
				cold++
				require.LessOrEqual(t, float64(cold), limit*(at-up).Seconds()+limit+float64(n), "at %v", at)
			}
			if at >= warm+time.Second {
				after++
			}
		}
		cfg.Fleet.ColdPerSecond = 0
		free := 0
		for _, at := range play(t, cfg).Arrivals["reader-0"] {
			if at >= up && at < warm {
				free++
			}
		}
		t.Logf("%2d routers: %d attempts while it is cold, %d without a budget; %d after", n, cold, free, after)
		require.Positive(t, cold)
		require.Positive(t, after)
	}
}

// models returns a site of identical mixed workers without a cache, as behind the model API.
func models(n int, rate float64, seed uint64) Config {
	cfg := usual(n, rate, seed)
	cfg.Site.Kinds = []engine.Kind{{Role: logic.RoleBoth, ReadRate: 9000, ReadBase: 15 * time.Millisecond, ReadQueue: 24, Step: 4 * time.Millisecond, StepDouble: 16}}
	cfg.Site.Servers = nil
	for j := range 8 {
		cfg.Site.Servers = append(cfg.Site.Servers, engine.Spec{Name: fmt.Sprint("m-", j), Started: -time.Hour})
	}
	cfg.Settings = demo.Settings(&cfg.Site)
	cfg.Load.PrefixTokens, cfg.Load.Prefixes, cfg.Load.Turns, cfg.Load.Prompt, cfg.Load.Answer = 0, 1, 1, 800, 4
	return cfg
}

// pair runs the same requests with routers that share nothing and with a fleet, over some seeds.
func pair(t *testing.T, kind, seeds int, make func(seed uint64) Config) (p99, busiest [2]float64, served [2]int, all Result) {
	for seed := range uint64(seeds) {
		for i, fleet := range []*node.Config{nil, fleetConfig()} {
			cfg := make(100 + seed)
			cfg.MeasureFrom, cfg.Fleet = 6*time.Second, fleet
			r := play(t, cfg)
			p99[i] += float64(r.FirstToken.ValueAtQuantile(99)) / 1000 / float64(seeds)
			busiest[i] += r.BusiestShare(cfg.Site, kind) / float64(seeds)
			served[i] += r.Served
			all.Messages += r.Messages
			all.Bytes += r.Bytes
		}
	}
	return
}

// Shared counts must lower the p99 of first tokens over the same requests, with 8 routers or more.
// Without counts, each router knows little of the others' open attempts. The results of -seeds 20
// are in docs/measurements/fleet-state.md.
func TestCountsInPairs(t *testing.T) {
	for _, n := range []int{2, 8, 40} {
		for name, make := range map[string]func(uint64) Config{
			"mixed workers":       func(seed uint64) Config { return models(n, 60, seed) },
			"readers and writers": func(seed uint64) Config { return usual(n, 30, seed) },
		} {
			kind := 0
			if name != "mixed workers" {
				kind = 1
			}
			p99, busiest, served, _ := pair(t, kind, *seeds, make)
			t.Logf("%2d routers, %s: p99 of first tokens %.0f ms alone, %.0f with counts; busiest worker's share %.3f, %.3f; served %d, %d",
				n, name, p99[0], p99[1], busiest[0], busiest[1], served[0], served[1])
			if n >= 8 {
				require.Less(t, p99[1], p99[0], name)
			}
			require.Greater(t, float64(served[1]), 0.95*float64(served[0]), name)
		}
	}
}

// A reader that fails each attempt at once gets attempts of each router until two in a row have
// failed, and single trials after that. With a fleet it is out by agreement for all routers
// meanwhile, which must not cause more attempts than the routers need on their own.
func TestFailingReaderGetsFewAttempts(t *testing.T) {
	// maxEach is the limit of attempts per router: two errors, trials after 1, 2, 4 and 8 s, and
	// two that overlap with these.
	const maxEach = 8
	for _, n := range []int{3, 8, 40} {
		cfg := usual(n, 40, uint64(n))
		cfg.Site.Servers = append([]engine.Spec{}, cfg.Site.Servers...)
		const faultBegin = 5 * time.Second
		cfg.Faults = []Fault{{faultBegin, func(w *World) { w.Site.Set("reader-0", engine.Fault{Errors: true}) }}}
		alone := play(t, cfg)
		cfg.Fleet = fleetConfig()
		r := play(t, cfg)
		// longest returns the longest time without an attempt since the fault, the number of
		// attempts since then, and the start of that time.
		longest := func(at []time.Duration) (gap time.Duration, asked int, first time.Duration) {
			last := faultBegin
			for _, a := range append(at, cfg.For) {
				if a < faultBegin {
					continue
				}
				if a-last > gap {
					gap, first = a-last, last
				}
				if a < cfg.For {
					asked++
				}
				last = a
			}
			return
		}
		_, without, _ := longest(alone.Arrivals["reader-0"])
		gap, with, from := longest(r.Arrivals["reader-0"])
		t.Logf("%2d routers: %d attempts without a fleet, %d with one; no attempt from %.1f s after the fault for %.1f s", n, without, with,
			(from - faultBegin).Seconds(), gap.Seconds())
		require.LessOrEqual(t, without, maxEach*n)
		require.LessOrEqual(t, with, maxEach*n)
		require.Less(t, with, without+n)
		require.Greater(t, gap, 2*time.Second)
	}
}

// Messages between routers grow with the number of routers, not with its square.
func TestMessagesGrowWithTheNumberOfRouters(t *testing.T) {
	each := map[int]float64{}
	for _, n := range []int{3, 10, 80, 200} {
		cfg := usual(n, 60, 9)
		cfg.Fleet, cfg.MeasureFrom, cfg.For = fleetConfig(), 4*time.Second, 10*time.Second
		cfg.Fleet.RepeatsPerSecond = 20
		r := play(t, cfg)
		span := (cfg.For + cfg.Patience - cfg.MeasureFrom).Seconds()
		each[n] = float64(r.Messages) / span / float64(n)
		t.Logf("%3d routers: %.1f messages and %.0f bytes a second for each", n, each[n], float64(r.Bytes)/span/float64(n))
	}
	require.Less(t, each[200], 2*each[10])
}

// zoned returns three identical zones with six routers, and a load that two of the zones can serve.
func zoned(seed uint64) Config {
	cfg := usual(6, 20, seed)
	cfg.Site.Servers = nil
	for z := range 3 {
		for i, kind := range []int{0, 0, 1, 1, 1, 2} {
			cfg.Site.Servers = append(cfg.Site.Servers, engine.Spec{Name: fmt.Sprintf("s%d-z%d", i, z), Kind: kind, Cell: z, Zone: z, Started: -time.Hour})
		}
	}
	cfg.Zoned, cfg.For, cfg.MeasureFrom, cfg.Hop = true, 60*time.Second, 8*time.Second, time.Millisecond
	return cfg
}

// mapped adds a fleet that decides the zone map.
func mapped(cfg Config) Config {
	cfg.Fleet = fleetConfig()
	cfg.Fleet.MaxOut = 0 // no single workers are taken out by agreement, to test zones alone
	zones := node.ZoneConfig{Safe: 0.8, Capacity: map[string]solver.Zone{}, Terms: traffic.Terms{Fresh: 5 * time.Second, Fade: 20 * time.Second, Spill: 0.2},
		Judge: zone.Config{Zones: []string{"a", "b", "c"}, MinAttempts: 3, Failing: 0.2, Lost: 0.8, Strain: 0.8, Confirm: time.Second, Hold: 5 * time.Second,
			Return: 5 * time.Second, Trial: 0.1},
		Pace: traffic.Pace{Every: time.Second, Up: 0.5, Back: 0.2, Band: 0.02, Burst: 12, PerMin: 20, Reserve: 4}}
	for i, name := range zones.Judge.Zones {
		zones.Capacity[name] = solver.Zone{Read: 37, Write: 37}
		far, room := []float64{0.5, 0.5, 0.5}, []float64{-1, -1, -1}
		far[i] = 0
		zones.Far, zones.Room = append(zones.Far, far), append(zones.Room, room)
	}
	cfg.Zones = &zones
	return cfg
}

// All workers of a zone fail for twelve seconds. The test compares three modes over the same
// requests: the usual cost of far workers ("usual figure"), a high cost ("locality"), and the zone
// map. The results of -seeds 10 are in docs/measurements/zones.md.
func TestZonesInPairs(t *testing.T) {
	const faultBegin, faultEnd = 20 * time.Second, 32 * time.Second
	type sums struct{ before, during, after, late, moved, near, back float64 }
	byName := map[string]*sums{}
	for name, make := range map[string]func(Config) Config{
		"usual figure": func(c Config) Config { return c },
		"locality":     func(c Config) Config { c.FarCost = 20; return c },
		"map":          mapped,
	} {
		s := &sums{}
		byName[name] = s
		for seed := range uint64(*seeds) {
			cfg := make(zoned(500 + seed))
			setErrors := func(on bool) func(*World) {
				return func(w *World) {
					for _, l := range cfg.Site.Servers {
						if l.Zone == 0 {
							w.Site.Set(l.Name, engine.Fault{Errors: on})
						}
					}
				}
			}
			cfg.Faults = []Fault{{faultBegin, setErrors(true)}, {faultEnd, setErrors(false)}}
			r := play(t, cfg)
			require.Equal(t, r.Asked, r.Served+r.Broken+r.Refused+r.Failed, name)
			share := func(from, to time.Duration, f func(Second) int) float64 {
				part, all := 0, 0
				for _, x := range r.Seconds[int(from/time.Second):int(to/time.Second)] {
					part, all = part+f(x), all+x.Asked
				}
				return float64(part) / float64(max(all, 1))
			}
			inTime := func(x Second) int { return x.InTime }
			near := func(x Second) int { return x.Near }
			n := float64(*seeds)
			s.before += share(cfg.MeasureFrom, faultBegin, inTime) / n
			s.during += share(faultBegin, faultEnd, inTime) / n
			s.after += share(faultEnd, cfg.For, inTime) / n
			s.near += share(cfg.MeasureFrom, faultBegin, near) / n
			s.late += float64(r.Late) / float64(r.Asked) / n
			s.moved += r.MovedTokens / 1e3 / n
			back := cfg.For
			for at := faultEnd; at+3*time.Second <= cfg.For; at += time.Second {
				if share(at, at+3*time.Second, near) >= 0.95*share(cfg.MeasureFrom, faultBegin, near) {
					back = at
					break
				}
			}
			s.back += (back - faultEnd).Seconds() / n
		}
		t.Logf("%-12s in time before %.3f, while it is lost %.3f, after %.3f; late %.3f; near before %.2f; thousand tokens moved %.0f; near again after %.1f s",
			name, s.before, s.during, s.after, s.late, s.near, s.moved, s.back)
	}
	require.Greater(t, byName["map"].near, 0.9)
	for what, s := range map[string][2]float64{"before": {byName["map"].before, byName["usual figure"].before}, "while it is lost": {byName["map"].during, byName["usual figure"].during},
		"after": {byName["map"].after, byName["usual figure"].after}} {
		require.Greater(t, s[0], 0.9*s[1], what)
	}
}
