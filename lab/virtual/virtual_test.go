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

var seeds = flag.Int("seeds", 3, "pairs that are played for each figure")

// terms are those of a fleet, as deploy/fleet.toml has them.
func terms() *node.Config {
	return &node.Config{Lease: 2 * time.Second, Floor: 0.1, Burst: time.Second, Drift: 0.01, Period: 500 * time.Millisecond, CountsPeriod: 100 * time.Millisecond, Fanout: 2, Digest: 32,
		Observers: 2, Quorum: 2, MaxOut: 0.3, MinFailures: 3, Hold: 3 * time.Second, Return: 10 * time.Second}
}

// usual is the demonstration's site before n routers, at a rate over all of them.
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

// Whatever routers share, each request ends once, nothing is left held, and the same seed plays the same.
func TestEachRequestEndsOnce(t *testing.T) {
	for _, n := range []int{1, 3, 8} {
		for _, fleet := range []*node.Config{nil, terms()} {
			cfg := usual(n, 40, uint64(n))
			cfg.Fleet = fleet
			cfg.Loss = 0.2
			cfg.Faults = []Fault{{8 * time.Second, func(w *World) { w.Kill("reader-0", 3*time.Second) }}, {12 * time.Second, func(w *World) { w.Site.Set("writer-1", engine.Fault{Errors: true}) }}}
			r := play(t, cfg)
			require.Greater(t, r.Asked, 1000)
			require.Equal(t, r.Asked, r.Served+r.Broken+r.Refused+r.Failed, "%d routers, fleet %v", n, fleet != nil)
			require.Greater(t, float64(r.Served), 0.6*float64(r.Asked))
			require.Zero(t, r.Held, "read states that nobody let go of")
			again := play(t, cfg)
			require.Equal(t, []int{r.Served, r.Sent, r.Messages}, []int{again.Served, again.Sent, again.Messages})
			require.Equal(t, fleet != nil && n > 1, r.Messages > 0)
		}
	}
}

// A budget for repeats holds over all routers by what the workers saw, and what it refuses is answered.
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
		cfg.Fleet = terms()
		cfg.Fleet.MaxOut = 0 // nobody is taken out, so that there is something to send again
		cfg.Fleet.RepeatsPerSecond = limit
		r := play(t, cfg)
		t.Logf("%2d routers: %d repeats without a budget, %d with; served %d and %d of %d", n, free.Repeats, r.Repeats, free.Served, r.Served, r.Asked)
		require.LessOrEqual(t, float64(r.Repeats), limit*(cfg.For+cfg.Patience).Seconds()+limit+float64(n))
		require.Greater(t, free.Repeats, r.Repeats)
		require.Equal(t, r.Asked, r.Served+r.Broken+r.Refused+r.Failed)
	}
}

// A reader that comes back cold gets no more than its budget from all routers together, by its own record.
func TestColdWorkersBudgetByItsOwnRecord(t *testing.T) {
	const limit = 6.0
	for _, n := range []int{1, 8, 40} {
		cfg := usual(n, 40, uint64(n))
		cfg.Fleet = terms()
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

// models is a site of mixed workers alike that keep nothing, as behind the model API.
func models(n int, rate float64, seed uint64) Config {
	cfg := usual(n, rate, seed)
	cfg.Site.Kinds = []engine.Kind{{Role: logic.RoleBoth, ReadRate: 9000, ReadBase: 15 * time.Millisecond, Queue: 24, Step: 4 * time.Millisecond, StepDouble: 16}}
	cfg.Site.Servers = nil
	for j := range 8 {
		cfg.Site.Servers = append(cfg.Site.Servers, engine.Spec{Name: fmt.Sprint("m-", j), Started: -time.Hour})
	}
	cfg.Settings = demo.Settings(&cfg.Site)
	cfg.Load.PrefixTokens, cfg.Load.Prefixes, cfg.Load.Turns, cfg.Load.Prompt, cfg.Load.Answer = 0, 1, 1, 800, 4
	return cfg
}

// pair plays the same requests with routers that share nothing and with a fleet, over some seeds.
func pair(t *testing.T, kind, seeds int, make func(seed uint64) Config) (p99, busiest [2]float64, served [2]int, all Result) {
	for seed := range uint64(seeds) {
		for i, fleet := range []*node.Config{nil, terms()} {
			cfg := make(100 + seed)
			cfg.Warm, cfg.Fleet = 6*time.Second, fleet
			r := play(t, cfg)
			p99[i] += float64(r.First.ValueAtQuantile(99)) / 1000 / float64(seeds)
			busiest[i] += r.Busiest(cfg.Site, kind) / float64(seeds)
			served[i] += r.Served
			all.Messages += r.Messages
			all.Bytes += r.Bytes
		}
	}
	return
}

// With and without counts in pairs over the same requests: routers that each see little of what the others have out.
// The figures are in docs/measurements/fleet-state.md, from -seeds 20.
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
			t.Logf("%2d routers, %s: p99 of first tokens %.0f ms alone, %.0f with counts; busiest one's part %.3f, %.3f; served %d, %d",
				n, name, p99[0], p99[1], busiest[0], busiest[1], served[0], served[1])
			if n >= 8 {
				require.Less(t, p99[1], p99[0], name)
			}
			require.Greater(t, float64(served[1]), 0.95*float64(served[0]), name)
		}
	}
}

// A reader that answers with errors at once is asked by each router until two in a row tell, and then by single trials; by
// agreement it is out for all meanwhile, which must not cost the routers more than they learn alone.
func TestBadReaderIsLeftAlone(t *testing.T) {
	const mostEach = 8 // times that a router asks: two errors, trials after 1, 2, 4 and 8 s, and two for what crosses
	for _, n := range []int{3, 8, 40} {
		cfg := usual(n, 40, uint64(n))
		cfg.Site.Servers = append([]engine.Spec{}, cfg.Site.Servers...)
		const bad = 5 * time.Second
		cfg.Faults = []Fault{{bad, func(w *World) { w.Site.Set("reader-0", engine.Fault{Errors: true}) }}}
		alone := play(t, cfg)
		cfg.Fleet = terms()
		r := play(t, cfg)
		// The longest time in which nobody asked it, from when it was bad.
		longest := func(at []time.Duration) (gap time.Duration, asked int, first time.Duration) {
			last := bad
			for _, a := range append(at, cfg.For) {
				if a < bad {
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
		t.Logf("%2d routers: asked %d times alone, %d times by agreement; left alone from %.1f s after the fault for %.1f s", n, without, with,
			(from - bad).Seconds(), gap.Seconds())
		require.LessOrEqual(t, without, mostEach*n)
		require.LessOrEqual(t, with, mostEach*n)
		require.Less(t, with, without+n)
		require.Greater(t, gap, 2*time.Second)
	}
}

// Messages and bytes go with the number of routers, not with its square.
func TestWorkBetweenRouters(t *testing.T) {
	each := map[int]float64{}
	for _, n := range []int{3, 10, 80, 200} {
		cfg := usual(n, 60, 9)
		cfg.Fleet, cfg.Warm, cfg.For = terms(), 4*time.Second, 10*time.Second
		cfg.Fleet.RepeatsPerSecond = 20
		r := play(t, cfg)
		span := (cfg.For + cfg.Patience - cfg.Warm).Seconds()
		each[n] = float64(r.Messages) / span / float64(n)
		t.Logf("%3d routers: %.1f messages and %.0f bytes a second for each", n, each[n], float64(r.Bytes)/span/float64(n))
	}
	require.Less(t, each[200], 2*each[10])
}

// zoned is three zones alike before six routers, and a load that leaves room for one to be lost.
func zoned(seed uint64) Config {
	cfg := usual(6, 20, seed)
	cfg.Site.Servers = nil
	for z := range 3 {
		for i, kind := range []int{0, 0, 1, 1, 1, 2} {
			cfg.Site.Servers = append(cfg.Site.Servers, engine.Spec{Name: fmt.Sprintf("s%d-z%d", i, z), Kind: kind, Cell: z, Zone: z, Started: -time.Hour})
		}
	}
	cfg.Zoned, cfg.For, cfg.Warm, cfg.Hop = true, 60*time.Second, 8*time.Second, time.Millisecond
	return cfg
}

// mapped has the map of zones decided in common.
func mapped(cfg Config) Config {
	cfg.Fleet = terms()
	cfg.Fleet.MaxOut = 0 // what goes out by agreement on single workers is another matter
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

// A zone's workers all answer errors for twelve seconds, then it is back. Three ways over the same requests: the usual figure
// for far workers, plain locality, and the map. The figures are in docs/measurements/zones.md, from -seeds 10.
func TestZonesInPairs(t *testing.T) {
	const ill, well = 20 * time.Second, 32 * time.Second
	type sums struct{ before, during, after, late, moved, near, back float64 }
	of := map[string]*sums{}
	for name, make := range map[string]func(Config) Config{
		"usual figure": func(c Config) Config { return c },
		"locality":     func(c Config) Config { c.Near = 20; return c },
		"map":          mapped,
	} {
		s := &sums{}
		of[name] = s
		for seed := range uint64(*seeds) {
			cfg := make(zoned(500 + seed))
			harm := func(on bool) func(*World) {
				return func(w *World) {
					for _, l := range cfg.Site.Servers {
						if l.Zone == 0 {
							w.Site.Set(l.Name, engine.Fault{Errors: on})
						}
					}
				}
			}
			cfg.Faults = []Fault{{ill, harm(true)}, {well, harm(false)}}
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
			s.before += share(cfg.Warm, ill, inTime) / n
			s.during += share(ill, well, inTime) / n
			s.after += share(well, cfg.For, inTime) / n
			s.near += share(cfg.Warm, ill, near) / n
			s.late += float64(r.Late) / float64(r.Asked) / n
			s.moved += r.Moved / 1e3 / n
			back := cfg.For
			for at := well; at+3*time.Second <= cfg.For; at += time.Second {
				if share(at, at+3*time.Second, near) >= 0.95*share(cfg.Warm, ill, near) {
					back = at
					break
				}
			}
			s.back += (back - well).Seconds() / n
		}
		t.Logf("%-12s in time before %.3f, while it is lost %.3f, after %.3f; late %.3f; near before %.2f; thousand tokens moved %.0f; near again after %.1f s",
			name, s.before, s.during, s.after, s.late, s.near, s.moved, s.back)
	}
	require.Greater(t, of["map"].near, 0.9)
	for what, s := range map[string][2]float64{"before": {of["map"].before, of["usual figure"].before}, "while it is lost": {of["map"].during, of["usual figure"].during},
		"after": {of["map"].after, of["usual figure"].after}} {
		require.Greater(t, s[0], 0.9*s[1], what)
	}
}
