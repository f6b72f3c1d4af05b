package traffic

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lichenshelf/fleet/solver"
	"lichenshelf/fleet/zone"
)

const second = time.Second

func local(zones ...string) Map {
	m := Map{Epoch: 1, Zones: zones, By: "r", Why: "at first"}
	for i := range zones {
		row := make([]float64, len(zones))
		row[i] = 1
		m.Read, m.Write = append(m.Read, row), append(m.Write, append([]float64(nil), row...))
	}
	return m
}

func all(string) bool { return true }

func TestInvalidMaps(t *testing.T) {
	m := local("a", "b")
	require.NoError(t, m.Check())
	for name, spoil := range map[string]func(m *Map){"zones": func(m *Map) { m.Zones[1] = "a" }, "rows": func(m *Map) { m.Read = m.Read[:1] },
		"read of a": func(m *Map) { m.Read[0][0] = math.NaN() }, "write of b": func(m *Map) { m.Write[1][0] = 0.5 }, "0 zones": func(m *Map) { *m = Map{} }} {
		m := local("a", "b")
		spoil(&m)
		require.ErrorIs(t, m.Check(), ErrMap, name)
		require.ErrorContains(t, m.Check(), name)
	}
}

// A map of a decider that resumes with an old epoch is refused, of two maps of one epoch the first
// stays in effect, and a later epoch replaces it.
func TestEpochs(t *testing.T) {
	k, err := NewKeeper(Terms{Fresh: second, Fade: second, Spill: 0.2}, "a")
	require.NoError(t, err)
	five, other, six := local("a", "b"), local("a", "b"), local("a", "b")
	five.Epoch, other.Epoch, six.Epoch = 5, 5, 6
	other.Read[0] = []float64{0.5, 0.5}
	require.NoError(t, k.Take(&five, 0))
	require.ErrorIs(t, k.Take(&other, Time(second)), ErrOther)
	again := five
	again.By = "another decider, the same contents"
	require.NoError(t, k.Take(&again, Time(2*second)))
	_, age := k.Map(Time(3 * second))
	require.Equal(t, second, age, "renewed")
	require.NoError(t, k.Take(&six, Time(3*second)))
	require.ErrorIs(t, k.Take(&five, Time(4*second)), ErrOlder)
	m, _ := k.Map(0)
	require.EqualValues(t, 6, m.Epoch)
}

// A map that is not renewed fades into the own zone and the spill without a jump; unreachable zones
// are not used meanwhile.
func TestMapThatIsNotRenewedFades(t *testing.T) {
	zones := []string{"a", "b", "c"}
	k, err := NewKeeper(Terms{Fresh: 2 * second, Fade: 10 * second, Spill: 0.2}, "a")
	require.NoError(t, err)
	require.InDeltaSlice(t, []float64{0.8, 0.1, 0.1}, k.Shares(zones, all, 0), 1e-9, "without any")
	m := local(zones...)
	m.Read[0] = []float64{0.2, 0.8, 0}
	require.NoError(t, k.Take(&m, 0))
	require.InDeltaSlice(t, []float64{0.2, 0.8, 0}, k.Shares(zones, all, Time(2*second)), 1e-9)
	last := k.Shares(zones, all, 0)
	for at := Time(0); at < Time(20*second); at += Time(100 * time.Millisecond) {
		now := k.Shares(zones, all, at)
		for i := range now {
			require.InDelta(t, last[i], now[i], 0.02, "jump at %v", time.Duration(at))
		}
		last = now
	}
	require.InDeltaSlice(t, []float64{0.8, 0.1, 0.1}, last, 1e-9)
	blind := func(z string) bool { return z != "b" }
	require.InDeltaSlice(t, []float64{1, 0, 0}, k.Shares(zones, blind, 0), 1e-9, "the share of b goes where the rest does")
	require.InDeltaSlice(t, []float64{0, 0.5, 0.5}, k.Shares(zones, func(z string) bool { return z != "a" }, Time(time.Hour)), 1e-9)
	foreign, err := NewKeeper(Terms{Fresh: second, Fade: second}, "z")
	require.NoError(t, err)
	require.NoError(t, foreign.Take(&m, 0))
	require.InDeltaSlice(t, []float64{1. / 3, 1. / 3, 1. / 3}, foreign.Shares(zones, all, 0), 1e-9, "a map that does not contain the zone")
}

// world simulates zones with their load and capacity under a decider, in virtual time.
type world struct {
	t         require.TestingT
	names     []string
	load      []float64 // of each entry
	actual    []float64 // actual capacity of each zone; 0: lost
	cfg       zone.Config
	monitor   *zone.Monitor
	step      *Stepper
	pace      Pace
	now       Map
	at        Time
	states    []zone.Decision
	maps      int
	cutLinks  map[[2]int]bool
	served    float64
	requested float64
}

const tick = 250 * time.Millisecond

func newWorld(t require.TestingT, load, takes []float64) *world {
	w := &world{t: t, load: load, actual: append([]float64(nil), takes...), cutLinks: map[[2]int]bool{}, at: Time(time.Hour)}
	for i := range load {
		w.names = append(w.names, fmt.Sprint("z", i))
	}
	w.now = local(w.names...)
	w.cfg = zone.Config{Zones: w.names, MinAttempts: 5, Failing: 0.2, Lost: 0.8, Strain: 0.85, Confirm: second, Hold: 5 * second, Return: 20 * second, Trial: 0.05}
	w.pace = Pace{Every: second, Up: 0.2, Back: 0.05, Band: 0.02, Burst: 12, PerMin: 20, Reserve: 4}
	var err error
	w.monitor, err = zone.New(w.cfg, zone.Time(w.at))
	require.NoError(t, err)
	w.step, err = NewStepper(w.pace, w.at)
	require.NoError(t, err)
	return w
}

// in returns the load of each zone under the current map.
func (w *world) in() []float64 {
	out := make([]float64, len(w.names))
	for e, l := range w.load {
		for z := range w.names {
			out[z] += l * w.now.Read[e][z]
		}
	}
	return out
}

func (w *world) run(d time.Duration) {
	n := len(w.names)
	for end := w.at + Time(d); w.at < end; w.at += Time(tick) {
		in := w.in()
		view := zone.View{Capacities: map[string]zone.Capacity{}}
		for e := range n {
			for z := range n {
				sent := w.load[e] * w.now.Read[e][z]
				bad := 0.0
				if w.actual[z] == 0 || w.cutLinks[[2]int{e, z}] {
					bad = 1
				}
				w.requested += sent
				if bad == 0 {
					w.served += sent * math.Min(1, w.actual[z]/in[z])
				}
				if sent > 0 {
					view.Observations = append(view.Observations, zone.Observation{From: w.names[e], Of: w.names[z], Attempts: sent, Failures: sent * bad})
				}
				// Routers always send a little traffic to each other's zones, since sessions stay
				// at their workers.
				view.Observations = append(view.Observations, zone.Observation{From: w.names[e], Of: w.names[z], Attempts: 6, Failures: 6 * bad})
			}
			w.requested += w.load[e] * (1 - sum(w.now.Read[e])) // shed
		}
		for z, name := range w.names {
			view.Capacities[name] = zone.Capacity{Load: in[z], Now: w.actual[z], Listed: w.actual[z] > 0}
		}
		w.states = w.monitor.Judge(view, zone.Time(w.at))
		site := solver.Site{Far: make([][]float64, n), Seen: make([][]bool, n), Safe: 0.8}
		aim := Aim{Load: w.load, Why: "virtual", By: "r", Headroom: make([]float64, n), Level: make([]float64, n)}
		for z, v := range w.states {
			capacity := v.Level * math.Max(w.actual[z], 1)
			site.Zones = append(site.Zones, solver.Zone{Read: capacity, Write: capacity})
			site.Demand = append(site.Demand, solver.Demand{Entry: z, Load: w.load[z], Value: 1})
			aim.Level[z], aim.Headroom[z] = v.Level, math.Max(capacity-in[z], 0)
			site.Far[z], site.Seen[z] = make([]float64, n), make([]bool, n)
			for o := range n {
				site.Seen[z][o] = true
				if o != z {
					site.Far[z][o] = 0.5
				}
			}
		}
		for z, v := range w.states {
			for _, from := range v.Cut {
				for e, name := range w.names {
					if name == from {
						site.Seen[e][z] = false
					}
				}
			}
		}
		plan, err := solver.Solve(site, &solver.Plan{Read: w.now.Read})
		require.NoError(w.t, err)
		aim.Read, aim.Write = plan.Read, plan.Write
		before := w.now
		if next := w.step.Step(w.now, aim, w.at); next != nil {
			require.NoError(w.t, next.Check())
			require.Equal(w.t, w.now.Epoch+1, next.Epoch)
			w.now = *next
			w.maps++
			after := w.in()
			for z := range n {
				require.LessOrEqual(w.t, after[z], math.Max(in[z], in[z]+aim.Headroom[z])+1e-6*(1+in[z]), "zone %d has no capacity for more", z)
				if aim.Level[z] == 0 {
					require.Zero(w.t, after[z], "nothing goes to a zone that may not be used")
				}
			}
			for e := range n {
				require.LessOrEqual(w.t, sum(w.now.Read[e]), 1+1e-9)
				if got, had := w.now.Read[e][e], before.Read[e][e]; got > had {
					require.LessOrEqual(w.t, (got-had)*w.load[e], w.pace.Back*sum(w.load)+1e-6, "a return is slow")
				}
			}
		}
	}
}

func sum(v []float64) (s float64) {
	for _, x := range v {
		s += x
	}
	return s
}

func (w *world) far() (far float64) {
	for e, l := range w.load {
		for z := range w.names {
			if z != e {
				far += l * w.now.Read[e][z]
			}
		}
	}
	return far / sum(w.load)
}

// A zone with 40% of the load is lost at once while its neighbours are at 70%: they receive what
// they have capacity for, the lost zone nothing, and the rest is shed. The zone returns gradually,
// and then all traffic is near again.
func TestAZoneIsLostAndReturns(t *testing.T) {
	w := newWorld(t, []float64{80, 60, 60}, []float64{115, 86, 86})
	w.run(10 * second)
	require.Zero(t, w.far(), "nothing moves without a fault")
	require.Zero(t, w.maps)
	w.actual[0] = 0
	w.served, w.requested = 0, 0
	w.run(5 * second)
	require.Equal(t, zone.Lost, w.states[0].State)
	w.served, w.requested = 0, 0
	w.run(15 * second)
	t.Logf("served %.3f of all while the zone is lost; the remaining capacity of 172 for 200 permits %.3f", w.served/w.requested, 172./200)
	require.Greater(t, w.served/w.requested, 0.95*172/200)
	w.actual[0] = 115
	began, near := w.at, time.Duration(0)
	for w.far() > 0.001 && w.at < began+Time(5*time.Minute) {
		w.run(second)
		near = time.Duration(w.at - began)
	}
	t.Logf("all traffic is near again %v after the workers returned, %d maps in total", near, w.maps)
	require.Less(t, near, 4*time.Minute)
	made := w.maps
	w.run(time.Minute)
	require.Equal(t, made, w.maps, "nothing moves once the faults have ended")
}

// A cut link moves only the traffic that used it; both sides continue to serve their own traffic.
func TestACutLinkMovesLittle(t *testing.T) {
	w := newWorld(t, []float64{110, 40, 40}, []float64{100, 100, 100})
	w.run(20 * second)
	require.Greater(t, w.far(), 0.1, "the excess is in other zones")
	to := 1
	if w.now.Read[0][2] > w.now.Read[0][1] {
		to = 2
	}
	w.cutLinks[[2]int{0, to}], w.cutLinks[[2]int{to, 0}] = true, true
	w.run(30 * second)
	require.Zero(t, w.now.Read[0][to])
	require.InDelta(t, 1, w.now.Read[to][to], 1e-6, "it serves its own traffic")
	for _, v := range w.states {
		require.NotEqual(t, zone.Lost, v.State)
	}
}

// For random faults at 2 to 4 zones: nothing goes to a lost zone, no zone gains more than it has
// capacity for, no more maps are made than stated, and all traffic is near again once the faults
// end.
func TestWhateverHappens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 4).Draw(t, "zones")
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		load, takes := make([]float64, n), make([]float64, n)
		for z := range n {
			takes[z] = 50 + 100*rng.Float64()
			load[z] = takes[z] * (0.3 + 0.45*rng.Float64())
		}
		w := newWorld(t, load, takes)
		for range rapid.IntRange(1, 10).Draw(t, "faults") {
			z, o := rng.IntN(n), rng.IntN(n)
			switch rng.IntN(4) {
			case 0:
				w.actual[z] = 0
			case 1:
				w.actual[z] = takes[z]
			case 2:
				w.cutLinks[[2]int{z, o}] = !w.cutLinks[[2]int{z, o}]
			case 3:
				w.load[z] = takes[z] * 1.5 * rng.Float64()
			}
			began, made := w.at, w.maps
			w.run(time.Duration(1+rng.IntN(40)) * second / 2)
			require.LessOrEqual(t, float64(w.maps-made), w.pace.MaxMaps(time.Duration(w.at-began)))
		}
		for z := range n {
			w.actual[z], w.load[z] = takes[z], takes[z]*0.5
		}
		clear(w.cutLinks)
		w.run(4 * time.Minute)
		require.InDelta(t, 0, w.far(), 0.05, "near again")
		for e := range n {
			require.InDelta(t, 1, sum(w.now.Read[e]), 0.02, "nothing is shed")
		}
	})
}

// The check of the zones' capacity detects a decider that moves everything at once.
func TestTheCheckCanFail(t *testing.T) {
	f := &recorder{}
	w := newWorld(f, []float64{180, 20, 20}, []float64{100, 150, 150})
	w.run(20 * second)
	require.False(t, f.found)
	w.step.pace.Up, w.step.pace.Back = 1, 1
	w.load[0] = 60
	w.run(10 * second)
	require.True(t, f.found)
}

type recorder struct{ found bool }

func (f *recorder) Errorf(string, ...any) { f.found = true }
func (f *recorder) FailNow()              {}

func TestFaultyPaces(t *testing.T) {
	good := Pace{Every: second, Up: 0.2, Back: 0.1, Band: 0.02, Burst: 6, PerMin: 10, Reserve: 2}
	for name, spoil := range map[string]func(*Pace){"every": func(p *Pace) { p.Every = 0 }, "up is": func(p *Pace) { p.Up = 0 }, "back": func(p *Pace) { p.Back = 0.3 },
		"band": func(p *Pace) { p.Band = 1 }, "burst": func(p *Pace) { p.Burst = 0 }, "reserve": func(p *Pace) { p.Reserve = 6 }, "per_min": func(p *Pace) { p.PerMin = 0 }} {
		p := good
		spoil(&p)
		_, err := NewStepper(p, 0)
		require.ErrorIs(t, err, ErrMap)
		require.ErrorContains(t, err, name)
	}
	_, err := NewKeeper(Terms{Fresh: second, Fade: second, Spill: 2}, "a")
	require.ErrorIs(t, err, ErrMap)
}

// The factors bring the traffic sent to the target shares, whatever the other costs of the zones
// are.
func TestFactorsBringSentTrafficToShares(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for _, share := range []float64{0.1, 0.3, 0.6} {
		var b Balance
		at, sent := Time(0), []float64{0, 0, 0}
		shares, may := []float64{1 - share, share, 0}, []bool{true, true, false}
		factors := b.Factors(shares, may, 0, at)
		for i := range 6000 {
			at += Time(10 * time.Millisecond)
			// The cheapest server, with noise as large as the factors.
			best, z := math.Inf(1), 0
			for k := range factors {
				if c := factors[k] * (0.5 + rng.Float64()); c < best {
					best, z = c, k
				}
			}
			b.RecordSent(z, 3, at)
			if i > 2000 {
				sent[z]++
			}
			if i%10 == 0 {
				factors = b.Factors(shares, may, 0, at)
			}
		}
		t.Logf("share %.2f: %.3f sent", share, sent[1]/(sent[0]+sent[1]))
		require.InDelta(t, share, sent[1]/(sent[0]+sent[1]), 0.06)
		require.Zero(t, sent[2])
		require.Equal(t, 1.0, factors[0])
		require.Equal(t, maxFactor, b.Factors(shares, []bool{true, true, true}, 0, at)[2], "no share, but it may be used")
	}
}
