package straggler

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lichenshelf/fleet/version"
)

// Depth 6 has 12,103 states.
var depth = flag.Int("depth", 5, "steps that are explored")

const (
	grace = 4 * time.Second
	tick  = 100 * time.Millisecond
)

func config(n, rank int) Config {
	return Config{Routers: n, Rank: rank, Versions: 1, Grace: grace, MaxAge: 30 * time.Second, MaxShut: 0.25, Rate: 20, Steady: time.Second}
}

// world simulates routers with a store that assigns slots. The store's answers may be lost.
type world struct {
	cfg      Config
	now      Time
	newest   uint64
	machines []*Machine
	views    []View
	shut     []bool
	slots    map[int]bool // assigned by the store
	cut      []bool       // no messages from or to the router
	stuck    []bool       // can't catch up
	asks     []Time       // times of the requests to catch up
}

func newWorld(t require.TestingT, n int, change func(*Config)) *world {
	w := &world{now: Time(time.Hour), newest: 1, slots: map[int]bool{}, cut: make([]bool, n), stuck: make([]bool, n), shut: make([]bool, n)}
	for i := range n {
		cfg := config(n, i)
		if change != nil {
			change(&cfg)
		}
		w.cfg = cfg
		m, err := New(cfg, rand.New(rand.NewPCG(uint64(i), uint64(n))))
		require.NoError(t, err)
		w.machines = append(w.machines, m)
		w.views = append(w.views, View{Held: version.Vector{"c": 1}, Newest: version.Vector{"c": 1}, ConfirmedAt: w.now})
	}
	return w
}

// step updates one router. With lose the store processes the request but its answer is lost.
func (w *world) step(i int, lose bool) {
	v := &w.views[i]
	if !w.cut[i] {
		v.Newest, v.ConfirmedAt = version.Vector{"c": w.newest}, w.now
		v.Slot = w.slots[i]
	}
	for _, a := range w.machines[i].Step(*v, w.now) {
		switch a.Kind {
		case CatchUp:
			w.asks = append(w.asks, w.now)
			if !w.cut[i] && !w.stuck[i] {
				v.Held = version.Vector{"c": w.newest}
			}
		case RequestSlot:
			if !w.cut[i] && (len(w.slots) < w.cfg.Slots() || w.slots[i]) {
				w.slots[i] = true
				v.Slot = !lose
			}
		case ReturnSlot:
			if !w.cut[i] {
				delete(w.slots, i)
				v.Slot = false
			}
		case Shut:
			w.shut[i] = true
		case Readmit:
			w.shut[i] = false
		}
	}
}

func (w *world) out() (n int) {
	for _, s := range w.shut {
		if s {
			n++
		}
	}
	return n
}

func (w *world) run(t require.TestingT, d time.Duration) {
	for end := w.now + Time(d); w.now < end; w.now += Time(tick) {
		for i := range w.machines {
			w.step(i, false)
		}
		require.LessOrEqual(t, w.out(), w.cfg.MaxShutOut(), "at %v", time.Duration(w.now))
	}
}

// 30 of 80 routers begin to lag at once: no router that can catch up is shut out, and their
// requests are spread.
func TestLaggingRoutersCatchUp(t *testing.T) {
	for _, n := range []int{1, 8, 80, 200} {
		w := newWorld(t, n, nil)
		w.newest = 5
		for i := range n {
			if i%8 >= 3 { // the others are up to date
				w.views[i].Held = version.Vector{"c": 5}
			}
		}
		w.run(t, grace)
		require.Zero(t, w.out())
		for i, m := range w.machines {
			require.Equal(t, Current, m.State(), "router %d of %d", i, n)
		}
		most := 0
		for i, at := range w.asks {
			in := 0
			for _, o := range w.asks[i:] {
				if o-at < Time(500*time.Millisecond) {
					in++
				}
			}
			most = max(most, in)
		}
		t.Logf("%3d routers: %d asked, at most %d within half a second", n, len(w.asks), most)
		require.LessOrEqual(t, most, max(3, len(w.asks)/2))
	}
}

// Routers that can't catch up are shut out, at most as many as permitted, and are readmitted once
// they can.
func TestRoutersThatCantCatchUpAreShutOut(t *testing.T) {
	for _, n := range []int{1, 8, 80, 200} {
		w := newWorld(t, n, nil)
		for i := range n / 2 {
			w.stuck[i] = true
		}
		w.newest = 2
		w.run(t, 3*grace)
		require.Equal(t, min(w.cfg.Slots(), n/2), w.out(), "%d routers", n)
		for i := range w.stuck {
			w.stuck[i] = false
		}
		w.run(t, 5*grace)
		require.Zero(t, w.out())
		require.Empty(t, w.slots, "all slots are returned")
	}
}

// With the store down and no messages between routers, the fleet serves on with its last versions;
// past the maximum age no more routers are shut out than permitted.
func TestNeverTheWholeFleet(t *testing.T) {
	for _, n := range []int{1, 2, 8, 80, 200} {
		w := newWorld(t, n, nil)
		w.run(t, time.Second)
		for i := range n {
			w.cut[i] = true
		}
		w.run(t, 29*time.Second)
		require.Zero(t, w.out(), "the age is not reached")
		w.run(t, time.Minute)
		require.Equal(t, w.cfg.MaxShutOut()-w.cfg.Slots(), w.out(), "%d routers", n)
		for i := range n {
			w.cut[i] = false
		}
		w.run(t, 2*grace)
		require.Zero(t, w.out())
	}
}

// A router that begins to lag again and again is readmitted later each time.
func TestFlappingRouterIsReadmittedLater(t *testing.T) {
	w := newWorld(t, 8, func(c *Config) { c.MaxAge = 0 })
	var away []time.Duration
	for range 5 {
		w.stuck[0] = true
		w.newest++
		for !w.shut[0] {
			w.run(t, tick)
		}
		w.stuck[0] = false
		began := w.now
		for w.shut[0] {
			w.run(t, tick)
		}
		away = append(away, time.Duration(w.now-began))
	}
	t.Logf("shut out for %v", away)
	require.Greater(t, away[3], 2*away[0])
	w.run(t, 2*forgetAfter*grace)
	w.stuck[0] = true
	w.newest++
	for !w.shut[0] {
		w.run(t, tick)
	}
	w.stuck[0] = false
	began := w.now
	for w.shut[0] {
		w.run(t, tick)
	}
	require.Less(t, time.Duration(w.now-began), away[3], "the earlier shutouts no longer count")
}

// With lost answers, cut links and routers that can't catch up, in any order, the share holds at
// every moment, and all routers are readmitted once the faults end.
func TestTheShareHoldsWhateverHappens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{1, 3, 8, 20}).Draw(t, "routers")
		w := newWorld(t, n, nil)
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			i := rapid.IntRange(0, n-1).Draw(t, "router")
			switch rapid.IntRange(0, 7).Draw(t, "what") {
			case 0:
				w.newest++
			case 1:
				w.cut[i] = !w.cut[i]
			case 2:
				w.stuck[i] = !w.stuck[i]
			case 3:
				w.now += Time(rapid.IntRange(0, int(20*time.Second)).Draw(t, "later"))
			default:
				w.step(i, rapid.Bool().Draw(t, "lost"))
			}
			require.LessOrEqual(t, w.out(), w.cfg.MaxShutOut())
			require.LessOrEqual(t, len(w.slots), w.cfg.Slots())
			for i, m := range w.machines {
				require.Equal(t, m.State() == ShutOut, w.shut[i])
			}
		}
		for i := range n {
			w.cut[i], w.stuck[i] = false, false
		}
		w.run(t, grace+(1<<maxDoublings)*2*time.Second)
		require.Zero(t, w.out())
		require.Empty(t, w.slots)
	})
}

// Explores all sequences of events at four routers up to a depth: a new version, links cut and
// healed, routers that can't catch up, a step whose answer is lost or not, time.
func TestAllOrdersAtSmallSize(t *testing.T) {
	const n = 4
	type move struct {
		what, router int
	}
	var moves []move
	for i := range 2 { // two of them have faults, the others only step
		moves = append(moves, move{0, i}, move{1, i}, move{2, i}, move{3, i})
	}
	moves = append(moves, move{4, 0}, move{5, 0}, move{6, 0})
	seen := map[string]bool{}
	play := func(path []move) *world {
		w := newWorld(t, n, func(c *Config) { c.MaxShut = 0.5 })
		for _, m := range path {
			switch m.what {
			case 0:
				w.step(m.router, false)
			case 1:
				w.step(m.router, true)
			case 2:
				w.cut[m.router] = !w.cut[m.router]
			case 3:
				w.stuck[m.router] = !w.stuck[m.router]
			case 4:
				w.newest++
			case 5:
				w.now += Time(grace + tick)
			case 6:
				w.now += Time(40 * time.Second)
				for i := range n {
					w.step(i, false)
				}
			}
		}
		return w
	}
	// By length, so that a state is first reached by its shortest path.
	for paths := [][]move{nil}; len(paths) > 0; {
		var next [][]move
		for _, path := range paths {
			w := play(path)
			require.LessOrEqual(t, w.out(), w.cfg.MaxShutOut(), "%v", path)
			require.LessOrEqual(t, len(w.slots), w.cfg.Slots(), "%v", path)
			key := fmt.Sprint(w.now, w.newest, w.slots, w.cut, w.stuck, w.shut)
			for i, m := range w.machines {
				key += fmt.Sprint(m.state, m.since, m.catchUpAt, m.slotAskedAt, m.steadySince, m.shutAt, m.repeats, w.views[i])
			}
			if seen[key] {
				continue
			}
			if seen[key] = true; len(path) == *depth {
				continue
			}
			for _, m := range moves {
				next = append(next, append(path[:len(path):len(path)], m))
			}
		}
		paths = next
	}
	t.Logf("%d states", len(seen))
	require.Greater(t, len(seen), 1000)
}

// The check of the share detects routers that shut themselves out without a slot and without the
// rank for it.
func TestTheCheckOfTheShareCanFail(t *testing.T) {
	w := newWorld(t, 8, nil)
	for i, m := range w.machines {
		m.cfg.Rank = 0 // all assume the rank that permits it
		w.cut[i] = true
	}
	failed := &recorder{}
	w.run(failed, time.Minute)
	require.True(t, failed.found)
}

type recorder struct{ found bool }

func (f *recorder) Errorf(string, ...any) { f.found = true }
func (f *recorder) FailNow()              {}

func TestFaultyConfigs(t *testing.T) {
	for name, spoil := range map[string]func(*Config){"routers": func(c *Config) { c.Routers = 0 }, "rank": func(c *Config) { c.Rank = 8 },
		"versions": func(c *Config) { c.Versions = 0 }, "grace": func(c *Config) { c.Grace = 0 }, "most_shut": func(c *Config) { c.MaxShut = 0.6 },
		"rate": func(c *Config) { c.Rate = 0 }} {
		cfg := config(8, 0)
		spoil(&cfg)
		_, err := New(cfg, rand.New(rand.NewPCG(1, 1)))
		require.ErrorIs(t, err, ErrConfig)
		require.ErrorContains(t, err, name)
	}
}

// A steady stream of versions does not make a router lag that takes each of them within the grace,
// and a router that was shut out is readmitted under such a stream.
func TestSteadyStreamOfVersions(t *testing.T) {
	for _, n := range []int{1, 8, 80, 200} {
		w := newWorld(t, n, nil)
		w.stuck[0] = n > 1
		for range 8 * int(grace/tick) {
			w.newest++ // each step finds a newer version than the router holds
			w.run(t, tick)
		}
		require.Equal(t, n > 7, w.shut[0], "%d routers, a quarter of them may be out", n)
		for i := 1; i < n; i++ {
			require.False(t, w.shut[i])
		}
		w.stuck[0] = false
		for range 8 * int(grace/tick) {
			w.newest++
			w.run(t, tick)
		}
		require.Zero(t, w.out(), "%d routers", n)
	}
}

// A fence is closed from the moment that a router has not checked for too long until a check opens
// it, and never for longer than the grace.
func TestFence(t *testing.T) {
	const window, ms = time.Second, time.Millisecond
	at := func(d time.Duration) Time { return Time(time.Hour + d) }
	type check struct {
		asked, now     time.Duration // after a suspension of a minute
		lag            uint64
		answered, open bool
	}
	for name, checks := range map[string][]check{
		"no version missing":        {{0, 10 * ms, 0, true, false}, {100 * ms, 110 * ms, 0, true, true}},
		"asked for before the stop": {{-time.Minute, 10 * ms, 0, true, false}, {5 * ms, 20 * ms, 0, true, false}, {100 * ms, 110 * ms, 0, true, true}},
		"no answer":                 {{0, 10 * ms, 0, false, false}, {time.Second, time.Second, 0, false, false}, {4200 * ms, 4200 * ms, 0, false, true}},
		"lagging": {{0, 10 * ms, 7, true, false}, {time.Second, time.Second, 7, true, false}, {2 * time.Second, 2 * time.Second, 7, true, false},
			{3 * time.Second, 3 * time.Second, 0, true, true}},
		"lagging until the grace ends": {{0, 10 * ms, 7, true, false}, {4200 * ms, 4200 * ms, 7, true, true}},
	} {
		f := NewFence(window, grace, at(0))
		f.Update(9, true, at(window), at(window)) // a lag alone does not close the fence
		require.True(t, f.Open(at(2*window)), name)
		require.False(t, f.Open(at(2*window+1)), name)
		resumed := at(time.Minute)
		require.False(t, f.Open(resumed), name)
		for _, l := range checks {
			f.Update(l.lag, l.answered, resumed+Time(l.asked), resumed+Time(l.now))
			require.Equal(t, l.open, f.Open(resumed+Time(l.now)), "%s, %v after", name, l.now)
		}
	}
}
