package zone

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const (
	second = time.Second
	tick   = 200 * time.Millisecond
)

func config(zones ...string) Config {
	return Config{Zones: zones, MinAttempts: 5, Failing: 0.2, Lost: 0.8, Strain: 0.85, Confirm: second, Hold: 5 * second, Return: 10 * second, Trial: 0.05}
}

// world simulates the observations of routers: bad[from][of] is the part that fails.
type world struct {
	t   require.TestingT
	cfg Config
	c   *Monitor
	now Time
	bad map[[2]string]float64
	v   View
	got map[string]Decision
}

func newWorld(t require.TestingT, cfg Config) *world {
	w := &world{t: t, cfg: cfg, now: Time(time.Hour), bad: map[[2]string]float64{}, got: map[string]Decision{}}
	w.v = View{Capacities: map[string]Capacity{}, Out: map[string]bool{}}
	for _, z := range cfg.Zones {
		w.v.Capacities[z] = Capacity{Load: 50, Now: 100, Listed: true}
	}
	var err error
	w.c, err = New(cfg, w.now)
	require.NoError(t, err)
	w.run(tick)
	return w
}

// all sets the failing part of a zone as observed from every zone.
func (w *world) all(of string, bad float64) {
	for _, from := range w.cfg.Zones {
		w.bad[[2]string{from, of}] = bad
	}
}

func (w *world) run(d time.Duration) {
	for end := w.now + Time(d); w.now < end; w.now += Time(tick) {
		w.v.Observations = nil
		for _, from := range w.cfg.Zones {
			for _, of := range w.cfg.Zones {
				// A zone without traffic is not observed.
				if w.got[of].Level > 0 || len(w.got) == 0 {
					w.v.Observations = append(w.v.Observations, Observation{from, of, 20, 20 * w.bad[[2]string{from, of}]})
				}
			}
		}
		for _, v := range w.c.Judge(w.v, w.now) {
			w.got[v.Zone] = v
		}
	}
}

func (w *world) state(z string) State { return w.got[z].State }

func TestLostAndReturning(t *testing.T) {
	w := newWorld(t, config("a", "b", "c"))
	w.all("a", 1)
	w.run(second / 2)
	require.Equal(t, Healthy, w.state("a"), "not confirmed yet")
	w.run(second)
	require.Equal(t, Lost, w.state("a"))
	require.Zero(t, w.got["a"].Level)
	require.Contains(t, w.got["a"].Why, "100% went wrong")
	w.all("a", 0)
	w.v.Capacities["a"] = Capacity{Now: 100}
	w.run(10 * second)
	require.Equal(t, Lost, w.state("a"), "none of its workers is listed")
	w.v.Capacities["a"] = Capacity{Now: 100, Listed: true}
	w.run(2 * tick)
	require.Equal(t, Returning, w.state("a"))
	require.Less(t, w.got["a"].Level, 0.1)
	w.run(5 * second)
	require.InDelta(t, 0.05+0.5*0.95, w.got["a"].Level, 0.05, "half of the way to full capacity")
	w.run(6 * second)
	require.Equal(t, Healthy, w.state("a"))
	require.Equal(t, Healthy, w.state("b"))
}

// A zone that fails and recovers every 3 s returns later each time, which bounds how often traffic
// moves.
func TestFlappingZone(t *testing.T) {
	w := newWorld(t, config("a", "b", "c"))
	moves, last := 0, Healthy
	for i := range 200 {
		w.all("a", float64(i%2))
		w.run(3 * second)
		if s := w.state("a"); s != last {
			moves, last = moves+1, s
		}
	}
	t.Logf("%d changes of state in ten minutes of flapping every 3 s", moves)
	require.Less(t, moves, 40)
}

func TestCutLinksAreNoLostZones(t *testing.T) {
	w := newWorld(t, config("a", "b", "c"))
	w.bad[[2]string{"b", "a"}], w.bad[[2]string{"a", "b"}] = 1, 1
	w.run(20 * second)
	require.Equal(t, Healthy, w.state("a"))
	require.Equal(t, []string{"b"}, w.got["a"].Cut)
	require.Equal(t, []string{"a"}, w.got["b"].Cut)
	require.Empty(t, w.got["c"].Cut)
	// A zone that is cut off from all others still serves its own traffic.
	w.bad[[2]string{"c", "a"}] = 1
	w.run(20 * second)
	require.Equal(t, Healthy, w.state("a"), "its own routers report it as good")
	require.Equal(t, []string{"b", "c"}, w.got["a"].Cut)
	// A decider that receives reports of its own zone only finds no lost zone.
	w = newWorld(t, config("a", "b", "c"))
	for range 100 {
		w.now += Time(tick)
		for _, v := range w.c.Judge(View{Observations: []Observation{{"a", "b", 20, 20}, {"a", "c", 20, 20}, {"a", "a", 20, 0}}}, w.now) {
			require.Equal(t, Healthy, v.State)
		}
	}
	// There is no link between a zone and its own routers.
	w = newWorld(t, config("a", "b"))
	for range 20 {
		w.now += Time(tick)
		w.c.Judge(View{Observations: []Observation{{"b", "b", 20, 20}}, Capacities: w.v.Capacities}, w.now)
	}
	require.Equal(t, Lost, w.c.Judge(View{}, w.now)[1].State)
	// With two zones, a loss of the other one is indistinguishable from a cut link.
	w = newWorld(t, config("a", "b"))
	w.bad[[2]string{"a", "b"}] = 1
	w.run(10 * second)
	require.Equal(t, Healthy, w.state("b"))
	require.Equal(t, []string{"a"}, w.got["b"].Cut)
}

func TestFailingStrainedAndOut(t *testing.T) {
	w := newWorld(t, config("a", "b", "c"))
	w.all("a", 0.4)
	w.run(3 * second)
	require.Equal(t, Failing, w.state("a"))
	require.InDelta(t, 0.6, w.got["a"].Level, 0.01, "the part that succeeds there")
	w.all("a", 0)
	w.run(second)
	require.Equal(t, Returning, w.state("a"))
	w.run(10 * second)
	require.Equal(t, Healthy, w.state("a"))
	w.v.Capacities["b"] = Capacity{Load: 90, Now: 100, Listed: true}
	w.run(second)
	require.Equal(t, Strained, w.state("b"))
	require.Equal(t, 1.0, w.got["b"].Level)
	w.v.Capacities["b"] = Capacity{Load: -1, Now: 1e300 * 0, Listed: true} // invalid
	w.run(second)
	require.Equal(t, Healthy, w.state("b"))
	w.v.Out["c"] = true
	w.run(tick)
	require.Equal(t, Out, w.state("c"))
	require.Zero(t, w.got["c"].Level)
	delete(w.v.Out, "c")
	w.run(tick)
	require.Equal(t, Returning, w.state("c"), "not at once")
}

func TestFaultyConfigs(t *testing.T) {
	for name, spoil := range map[string]func(*Config){"zones": func(c *Config) { c.Zones = append(c.Zones, "a") }, "zones is": func(c *Config) { c.Zones = nil },
		"failing": func(c *Config) { c.Failing = 0.9 }, "least": func(c *Config) { c.MinAttempts = 0 }, "strain": func(c *Config) { c.Strain = 0 },
		"trial": func(c *Config) { c.Trial = 2 }, "hold": func(c *Config) { c.Hold = 0 }} {
		cfg := config("a", "b")
		spoil(&cfg)
		_, err := New(cfg, 0)
		require.ErrorIs(t, err, ErrConfig)
		require.ErrorContains(t, err, name)
	}
}

// For any observations, a zone becomes lost only if its own routers or those of two other zones
// report it, and none reports it as good; a lost zone has level 0; and once there are no faults for
// long enough all zones are healthy.
func TestAnyObservations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := []string{"a", "b", "c", "d"}[:rapid.IntRange(1, 4).Draw(t, "zones")]
		w := newWorld(t, config(zones...))
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			from, of := rapid.SampledFrom(zones).Draw(t, "from"), rapid.SampledFrom(zones).Draw(t, "of")
			w.bad[[2]string{from, of}] = rapid.SampledFrom([]float64{0, 0.1, 0.5, 1}).Draw(t, "bad")
			if rapid.IntRange(0, 5).Draw(t, "operator") == 0 {
				w.v.Out[of] = !w.v.Out[of]
			}
			before := map[string]State{}
			for z := range w.got {
				before[z] = w.state(z)
			}
			w.run(time.Duration(rapid.IntRange(1, 40).Draw(t, "for")) * tick)
			for z, v := range w.got {
				if v.State == Lost || v.State == Out {
					require.Zero(t, v.Level)
				}
				require.True(t, v.Level >= 0 && v.Level <= 1)
				if v.State == Lost && before[z] != Lost {
					worse := 0
					for _, from := range zones {
						if w.bad[[2]string{from, z}] >= w.cfg.Lost {
							worse++
						} else {
							require.GreaterOrEqual(t, w.bad[[2]string{from, z}], w.cfg.Failing, "%s reports %s as good", from, z)
						}
					}
					require.True(t, worse >= 2 || w.bad[[2]string{z, z}] >= w.cfg.Lost, "%s by the report of one other zone", z)
				}
			}
		}
		clear(w.bad)
		clear(w.v.Out)
		w.run(w.cfg.Hold<<maxDoublings + 2*w.cfg.Return + 10*second)
		for z := range w.got {
			require.Equal(t, Healthy, w.state(z), fmt.Sprint(z, w.got[z]))
		}
	})
}
