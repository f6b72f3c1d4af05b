package members

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const period = 500 * time.Millisecond

// fleet runs views in virtual time over a network that loses and delays messages.
type fleet struct {
	rng      *rand.Rand
	now      time.Duration
	views    []*View
	stopped  map[string]bool
	cut      func(from, to string) bool
	loss     float64
	inFlight []Message
	sent     int
	beats    int
}

func name(i int) string { return fmt.Sprintf("r%03d", i) }

func newFleet(t require.TestingT, n int, seed uint64) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 1)), now: time.Hour, stopped: map[string]bool{},
		cut: func(string, string) bool { return false }}
	for i := range n {
		f.views = append(f.views, f.newView(t, i, n, 1))
	}
	return f
}

func (f *fleet) newView(t require.TestingT, i, n int, incarnation uint64) *View {
	var all []string
	for j := range n {
		all = append(all, name(j))
	}
	v, err := New(Config{Self: name(i), Routers: all, Incarnation: incarnation, Period: period, Fanout: 2, Digest: 32,
		SuspectAfter: SuspicionTimeout(n, period, 2, 32), Observers: 2}, rand.New(rand.NewPCG(uint64(i), incarnation)), Time(f.now))
	require.NoError(t, err)
	return v
}

func (f *fleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; {
		f.now += period / 5
		due := f.inFlight
		f.inFlight = nil
		for _, m := range due {
			for _, v := range f.views {
				if v.cfg.Self == m.To && !f.stopped[m.To] {
					v.Receive(m, Time(f.now))
				}
			}
		}
		for _, v := range f.views {
			if f.stopped[v.cfg.Self] {
				continue
			}
			for _, m := range v.Tick(Time(f.now)) {
				f.sent++
				f.beats += len(m.Heartbeats)
				if f.rng.Float64() >= f.loss && !f.cut(m.From, m.To) {
					f.inFlight = append(f.inFlight, m)
				}
			}
		}
	}
}

func (f *fleet) states(of int) map[State]int {
	out := map[State]int{}
	for i, v := range f.views {
		if i != of && !f.stopped[v.cfg.Self] {
			out[v.State(name(of), Time(f.now))]++
		}
	}
	return out
}

// With a tenth of all messages lost no router is suspect. A router that stops is silent at all
// others within three suspicion timeouts, and alive again once it continues. The number of messages
// is proportional to the number of routers.
func TestOnlyStoppedRouterIsSilent(t *testing.T) {
	for _, n := range []int{3, 8, 80, 200} {
		f := newFleet(t, n, 1)
		f.loss = 0.1
		wait := SuspicionTimeout(n, period, 2, 32)
		f.run(2 * wait)
		f.sent, f.beats = 0, 0
		f.run(20 * time.Second)
		for i := range n {
			require.Equal(t, map[State]int{Alive: n - 1}, f.states(i), "%d routers, of %d", n, i)
		}
		t.Logf("%3d routers: %.0f messages and %.0f beats a second, suspect after %v", n, float64(f.sent)/20, float64(f.beats)/20, wait)
		require.LessOrEqual(t, float64(f.sent)/20, 4.2*float64(n))
		f.stopped[name(1)] = true
		f.run(3 * wait)
		require.Equal(t, map[State]int{Silent: n - 1}, f.states(1), "%d routers", n)
		f.stopped[name(1)] = false
		f.run(wait)
		require.Equal(t, map[State]int{Alive: n - 1}, f.states(1), "%d routers", n)
	}
}

// A link that is lost, or lost in one direction, makes no router suspect: heartbeats arrive through
// other routers.
func TestLostLinkCausesNoSuspicion(t *testing.T) {
	f := newFleet(t, 5, 2)
	f.cut = func(from, to string) bool { return from == name(0) && to == name(1) }
	f.run(time.Minute)
	require.Equal(t, map[State]int{Alive: 4}, f.states(0))
	f.cut = func(from, to string) bool { return from == name(0) && to != name(4) }
	f.run(time.Minute)
	require.Equal(t, map[State]int{Alive: 4}, f.states(0), "one router that receives its heartbeats forwards them to all")
}

// A router that receives nothing is isolated: it considers no router silent, and its suspicions
// make none silent at the others. The others consider it silent once enough of them suspect it.
func TestIsolatedRouterConsidersNoneSilent(t *testing.T) {
	f := newFleet(t, 5, 3)
	f.run(10 * time.Second)
	f.cut = func(from, to string) bool { return to == name(0) }
	f.run(time.Minute)
	isolated := f.views[0]
	require.True(t, isolated.Isolated(Time(f.now)))
	for i := 1; i < 5; i++ {
		require.Equal(t, Suspect, isolated.State(name(i), Time(f.now)))
		require.Equal(t, map[State]int{Alive: 4}[Alive]-1, f.states(i)[Alive], "its suspicions have no effect")
	}
	require.Equal(t, map[State]int{Alive: 4}, f.states(0), "its heartbeats still arrive")
	f.cut = func(from, to string) bool { return (from == name(0)) != (to == name(0)) }
	f.run(time.Minute)
	require.Equal(t, map[State]int{Silent: 4}, f.states(0))
}

// Five routers are partitioned. Partitions shorter than the suspicion timeout, ten in a minute,
// have no effect. In a long one the smaller side is isolated and considers the others only
// suspect, while the larger side considers them silent; all are alive again after it heals.
func TestPartitionAndHeal(t *testing.T) {
	f := newFleet(t, 5, 4)
	f.run(10 * time.Second)
	side := func(s string) bool { return s < name(2) }
	for range 10 {
		f.cut = func(from, to string) bool { return side(from) != side(to) }
		f.run(3 * time.Second)
		f.cut = func(string, string) bool { return false }
		f.run(3 * time.Second)
		for i := range 5 {
			require.Equal(t, 4, f.states(i)[Alive], "3 s are shorter than the suspicion timeout")
		}
	}
	f.cut = func(from, to string) bool { return side(from) != side(to) }
	f.run(time.Minute)
	require.True(t, f.views[0].Isolated(Time(f.now)))
	require.False(t, f.views[4].Isolated(Time(f.now)))
	require.Equal(t, Suspect, f.views[0].State(name(4), Time(f.now)))
	require.Equal(t, Silent, f.views[4].State(name(0), Time(f.now)))
	f.cut = func(string, string) bool { return false }
	f.run(10 * time.Second)
	require.Equal(t, map[State]int{Alive: 4}, f.states(0))
}

// A router restarted under its name is alive at once; the earlier process, if it still runs, is
// fenced.
func TestRestartFencesEarlierProcess(t *testing.T) {
	f := newFleet(t, 4, 5)
	f.run(10 * time.Second)
	old := f.views[2]
	f.views = append(f.views, f.newView(t, 2, 4, 2))
	f.run(5 * time.Second)
	require.True(t, old.Fenced())
	require.Empty(t, old.Tick(Time(f.now+time.Minute)))
	require.False(t, f.views[4].Fenced())
	require.Equal(t, Alive, f.views[0].State(name(2), Time(f.now)))
	f.views[4].Leave()
	f.run(5 * time.Second)
	require.Equal(t, Left, f.views[0].State(name(2), Time(f.now)))
}

// A process that starts with a slow wall clock takes an incarnation beyond the one that it
// receives, and the process that it replaces is fenced.
func TestStartWithSlowClock(t *testing.T) {
	f := newFleet(t, 4, 6)
	for _, v := range f.views {
		v.self.Incarnation = 1000
	}
	f.run(10 * time.Second)
	f.views = append(f.views, f.newView(t, 2, 4, 7))
	f.run(5 * time.Second)
	require.True(t, f.views[2].Fenced())
	require.False(t, f.views[4].Fenced())
	require.EqualValues(t, 1001, f.views[4].Incarnation())
}

// A single router that sends invalid heartbeats and suspects all others makes none of them silent,
// since two observers are required.
func TestALiarAndNonsense(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t, 5, rapid.Uint64().Draw(t, "seed"))
		f.run(10 * time.Second)
		v := f.views[0]
		for range rapid.IntRange(1, 30).Draw(t, "messages") {
			m := Message{From: name(4), To: name(0)}
			for range rapid.IntRange(0, 6).Draw(t, "beats") {
				m.Heartbeats = append(m.Heartbeats, Heartbeat{Name: rapid.SampledFrom([]string{name(1), name(2), "stranger", ""}).Draw(t, "name"),
					Incarnation: rapid.SampledFrom([]uint64{0, 1}).Draw(t, "incarnation"), Count: rapid.Uint64().Draw(t, "count"), Suspect: true})
			}
			v.Receive(m, Time(f.now))
			f.run(period)
			for i := 1; i < 4; i++ {
				require.NotEqual(t, Silent, v.State(name(i), Time(f.now)))
			}
		}
	})
}

func TestFaultyConfig(t *testing.T) {
	good := Config{Self: "a", Routers: []string{"a", "b"}, Period: time.Second, SuspectAfter: time.Second, Fanout: 1, Digest: 1}
	for want, spoil := range map[string]func(*Config){
		`self is "x"`: func(c *Config) { c.Self = "x" }, `name "a"`: func(c *Config) { c.Routers = []string{"a", "a"} },
		"period is 0s": func(c *Config) { c.Period = 0 }, "suspect-after 1ms": func(c *Config) { c.SuspectAfter = time.Millisecond },
		"fanout is 0": func(c *Config) { c.Fanout = 0 }, "digest 0": func(c *Config) { c.Digest = 0 },
		"observers is -1": func(c *Config) { c.Observers = -1 },
	} {
		c := good
		spoil(&c)
		_, err := New(c, rand.New(rand.NewPCG(1, 1)), 0)
		require.ErrorIs(t, err, ErrConfig)
		require.ErrorContains(t, err, want)
	}
}
