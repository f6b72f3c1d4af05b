package node

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/zeebo/xxh3"

	"lichenshelf/fleet/attempts"
	"lichenshelf/fleet/budget"
	"lichenshelf/fleet/counts"
	"lichenshelf/fleet/members"
	"lichenshelf/fleet/outlier"
	"lichenshelf/fleet/version"
	"lichenshelf/logic"
)

func terms(self string, n int) Config {
	c := Config{Self: self, Zones: map[string]string{}, Life: 1, Lease: 2 * time.Second, Floor: 0.1, Burst: time.Second, Drift: 0.01,
		Period: 500 * time.Millisecond, Counts: 100 * time.Millisecond, Fanout: 2, Digest: 32, Observers: 1, Quorum: 2, MostOut: 0.5, Least: 2,
		Hold: 3 * time.Second, Return: 4 * time.Second}
	for i := range n {
		c.Zones[fmt.Sprintf("r-%d", i)] = ""
	}
	return c
}

var kinds = logic.Settings{WarmWithin: 10 * time.Second, Kinds: []logic.Kind{{Role: logic.RoleRead}, {Role: logic.RoleWrite, MemoryTokens: 1000}, {Role: logic.RoleBoth}}}

// fleet is some nodes over links that lose nothing unless told to.
type fleet struct {
	t      testing.TB
	nodes  map[string]*Node
	fronts map[string]*Front
	lines  []Line
	now    Time
	cut    func(from, to string) bool
	alter  func(*Envelope) // on its way
	told   map[string][]Told
	parts  map[string]map[string]float64
	seen   []Notice
}

func newFleet(t testing.TB, n, workers int, change func(*Config)) *fleet {
	f := &fleet{t: t, nodes: map[string]*Node{}, fronts: map[string]*Front{}, now: time.Hour, told: map[string][]Told{}, parts: map[string]map[string]float64{}}
	for i := range workers {
		f.lines = append(f.lines, Line{Name: fmt.Sprintf("w-%d", i), Server: logic.ServerID(i), Kind: 1})
	}
	for i := range n {
		cfg := terms(fmt.Sprintf("r-%d", i), n)
		if change != nil {
			change(&cfg)
		}
		f.start(cfg)
	}
	return f
}

func (f *fleet) start(cfg Config) {
	n, err := New(cfg, rand.New(rand.NewPCG(cfg.Life, xxh3.HashString(cfg.Self))), f.now)
	require.NoError(f.t, err)
	f.nodes[cfg.Self] = n
	f.fronts[cfg.Self] = n.Front(FrontConfig{Name: "p", Settings: kinds}, f.now)
	f.fronts[cfg.Self].Listed(f.lines, true, int64(f.now), f.now)
}

func (f *fleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; f.now += 50 * time.Millisecond {
		for i := range len(f.nodes) {
			name := fmt.Sprintf("r-%d", i)
			n := f.nodes[name]
			f.send(n.Tick(f.now))
			parts, told := n.Confer([][]Line{f.lines}, f.now)
			f.parts[name] = parts
			if told != nil {
				f.told[name] = told[0]
			}
			f.seen = append(f.seen, n.Notices()...)
		}
	}
}

func (f *fleet) send(out []Envelope) {
	for _, e := range out {
		if n := f.nodes[e.To]; n != nil && (f.cut == nil || !f.cut(e.From, e.To)) {
			if f.alter != nil {
				f.alter(&e)
			}
			f.send(n.Receive(e, f.now))
		}
	}
}

func (f *fleet) saw(k NoticeKind, name string) bool {
	for _, n := range f.seen {
		if n.Kind == k && n.Name == name {
			return true
		}
	}
	return false
}

// What one router has out is told to the others as a worker would report it, and ends with the router.
func TestWorkIsToldAsAReport(t *testing.T) {
	f := newFleet(t, 3, 2, nil)
	f.run(time.Second)
	f.nodes["r-0"].Charge("w-0", counts.Work{Unread: 300, Held: 400})
	f.nodes["r-1"].Charge("w-0", counts.Work{Held: 100})
	f.run(2 * time.Second)
	load := f.told["r-2"][0].Load
	require.True(t, load.HasMemory && load.HasUnread)
	require.InDelta(t, 0.5, load.MemoryShare, 0.1, "of 1000 tokens")
	require.InDelta(t, 300*3/2, load.UnreadToken, 60, "the decisions take two thirds of it for peers'")
	load = f.told["r-0"][0].Load
	require.InDelta(t, 0.5, load.MemoryShare, 0.1, "with what it has itself")
	require.Less(t, load.UnreadToken, 120.0, "of its own next to nothing, for who was not heard of just now")
	f.nodes["r-0"].Charge("w-0", counts.Work{Unread: -300, Held: -400})
	f.run(2 * time.Second)
	require.InDelta(t, 0.1, f.told["r-2"][0].Load.MemoryShare, 0.05)

	silent := newFleet(t, 3, 2, func(c *Config) { c.Counts = 0 })
	silent.run(3 * time.Second)
	require.Empty(t, silent.told, "switched off")
	for _, n := range silent.nodes {
		for _, e := range n.Tick(silent.now) {
			require.Nil(t, e.Counts)
		}
	}
}

func TestWorkOfAnAttempt(t *testing.T) {
	f := newFleet(t, 1, 0, nil)
	p := f.fronts["r-0"]
	p.Listed([]Line{{Name: "r", Kind: 0}, {Name: "w", Kind: 1}, {Name: "b", Kind: 2}, {Name: "odd", Kind: 9}}, true, 0, f.now)
	q := &logic.Request{PromptTokens: 1000, MaxTokens: 100}
	for name, want := range map[string]counts.Work{"r": {Unread: 1000}, "w": {Held: 1030}, "b": {Unread: 1000, Held: 1030},
		"odd": {Unread: 1000, Held: 1030}, "unknown": {Unread: 1000}} {
		require.Equal(t, want, p.Work(name, q), name)
	}
	for range 200 {
		p.Kept(1000, 750)
	}
	p.Kept(0, 5)
	require.InDelta(t, 250, p.Work("r", q).Unread, 1, "what is kept need not be read")
}

// Two fronts of one router are judged apart from each other, and by all routers.
func TestJudgedByAll(t *testing.T) {
	f := newFleet(t, 3, 4, nil)
	f.run(2 * time.Second)
	for range 4 {
		for name, n := range f.nodes {
			for i := range 4 {
				fault := outlier.None
				if i == 0 && name != "r-2" {
					fault = outlier.Errors
				}
				n.Observe(fmt.Sprintf("w-%d", i), 0, fault, f.now)
			}
		}
	}
	f.run(time.Second)
	for name, parts := range f.parts {
		require.Equal(t, map[string]float64{"w-0": 0}, parts, name)
	}
	require.True(t, f.saw(WorkerOut, "w-0"))
	part, k, _ := f.nodes["r-2"].Worker("w-0", f.now)
	require.Zero(t, part)
	require.NotEmpty(t, k.By)
	f.run(20 * time.Second)
	require.True(t, f.saw(WorkerBack, "w-0"))
	for s, want := range map[logic.Status]outlier.Fault{logic.ServerError: outlier.Errors, logic.ConnectionReset: outlier.Resets,
		logic.ConnectFailed: outlier.Connect, logic.Served: outlier.None} {
		got, says := FaultOf(s)
		require.True(t, says)
		require.Equal(t, want, got)
	}
	_, says := FaultOf(logic.Full)
	require.False(t, says)
}

// A router whose wall clock is an hour off shares as the others do: its life counts as newest once the fleet has put it
// right, and the same worker is cold there for as long.
func TestWallClockAnHourOff(t *testing.T) {
	f := newFleet(t, 3, 2, func(c *Config) { c.Cold, c.Repeats = 6, 5 })
	f.run(4 * time.Second)
	f.fronts["r-0"].Allow("w-0", true, f.now)
	cfg := terms("r-1", 3)
	cfg.Cold, cfg.Repeats, cfg.Life = 6, 5, 0 // started again, by a clock that is behind that of its forerunner
	f.start(cfg)
	f.run(6 * time.Second)
	require.False(t, f.nodes["r-1"].Members(f.now).Fenced, "the later process goes on")
	require.Greater(t, f.nodes["r-1"].Members(f.now).Life, uint64(1))
	for name, wall := range map[string]time.Duration{"r-0": f.now, "r-1": f.now - time.Hour, "r-2": f.now + time.Hour} {
		f.fronts[name].Listed([]Line{{Name: "w-9", Since: int64(f.now), Kind: 1}}, false, int64(wall), f.now)
	}
	sent, began := 0, f.now
	for range 100 {
		for _, p := range f.fronts {
			if p.Allow("w-9", false, f.now) == attempts.None {
				sent++
			}
		}
		f.run(50 * time.Millisecond)
		require.LessOrEqual(t, float64(sent), 6*(f.now-began).Seconds()+3)
	}
	require.Greater(t, sent, 15, "most of what is allowed is used")
	f.run(7 * time.Second)
	for name, p := range f.fronts {
		require.Equal(t, attempts.None, p.Allow("w-9", false, f.now), "%s: warm by now", name)
	}
	for _, v := range f.nodes["r-1"].Budgets(f.now) {
		require.Equal(t, "repeats/p", v.Key, "the cold worker's budget is over")
	}
}

// A message that speaks for another than its sender counts for nothing in that part.
func TestSpokenForOthers(t *testing.T) {
	e := Envelope{From: "a", Budget: []budget.Message{{From: "a", Seq: 1}, {From: "b", Seq: 2}}, Members: &members.Message{From: "b"},
		Counts: &counts.State{Router: "b"}}
	e.Spoken()
	require.Len(t, e.Budget, 1)
	require.Nil(t, e.Members)
	require.Nil(t, e.Counts)
}

func TestFaultyConfigs(t *testing.T) {
	for name, spoil := range map[string]func(*Config){"self": func(c *Config) { c.Self = "x" }, "lease": func(c *Config) { c.Lease = 0 },
		"period": func(c *Config) { c.Period = 0 }, "quorum": func(c *Config) { c.Quorum = 0 }} {
		cfg := terms("r-0", 3)
		spoil(&cfg)
		_, err := New(cfg, rand.New(rand.NewPCG(1, 1)), 0)
		require.ErrorContains(t, err, name)
	}
}

// What a fleet adds to one attempt: budgets asked, work put on the board and taken off, its end noted.
func BenchmarkAttempt(b *testing.B) {
	for _, n := range []int{3, 200} {
		b.Run(fmt.Sprint(n, " routers"), func(b *testing.B) {
			f := newFleet(b, 1, 0, func(c *Config) { *c = terms("r-0", n); c.Repeats, c.Cold = 1e6, 1e6 })
			for i := range 100 {
				f.lines = append(f.lines, Line{Name: fmt.Sprintf("w-%d", i), Kind: 1, Since: int64(f.now)})
			}
			node, p := f.nodes["r-0"], f.fronts["r-0"]
			p.Listed(f.lines, false, int64(f.now), f.now)
			q := &logic.Request{PromptTokens: 1000, MaxTokens: 100}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now, name := f.now+Time(i)*1000, f.lines[i%100].Name
				p.Allow(name, true, now)
				w := p.Work(name, q)
				node.Charge(name, w)
				node.Charge(name, counts.Work{Unread: -w.Unread, Held: -w.Held})
				node.Observe(name, 0, outlier.None, now)
			}
		})
	}
}

// What a tick costs, ten times a second and more.
func BenchmarkTick(b *testing.B) {
	for _, workers := range []int{100, 1000} {
		for _, n := range []int{3, 200} {
			b.Run(fmt.Sprint(n, " routers ", workers, " workers"), func(b *testing.B) {
				f := newFleet(b, 1, workers, func(c *Config) { *c = terms("r-0", n) })
				node := f.nodes["r-0"]
				for i := 1; i < n; i++ {
					s := counts.State{Router: fmt.Sprintf("r-%d", i), Life: 1, Version: 1, Work: map[string]counts.Work{}}
					for j := range 20 {
						s.Work[fmt.Sprintf("w-%d", (i*7+j)%workers)] = counts.Work{Unread: 100, Held: 50}
					}
					node.Receive(Envelope{From: s.Router, To: "r-0", Counts: &s}, f.now)
				}
				for i := range workers {
					node.Observe(fmt.Sprintf("w-%d", i), 0, outlier.None, f.now)
				}
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					now := f.now + Time(i%10)*time.Millisecond
					node.Tick(now)
					node.told = 0
					node.Confer([][]Line{f.lines}, now)
				}
			})
		}
	}
}

// What others act on is told by as many as must agree: one that says anything makes nobody look old, and nonsense is passed over.
func TestWhatOthersActOn(t *testing.T) {
	for _, n := range []int{1, 8, 80} {
		f := newFleet(t, n, 0, func(c *Config) { c.Observers = 2 })
		for name, node := range f.nodes {
			node.SetActs(version.Vector{"config": 7, "only/" + name: 1})
		}
		f.nodes["r-0"].SetActs(version.Vector{"config": 3})
		f.run(time.Duration(n)*time.Second/8 + 5*time.Second)
		newest, _, ok := f.nodes["r-0"].Newest()
		require.Equal(t, n > 1, ok, "%d routers", n)
		if n == 1 {
			continue
		}
		require.Equal(t, version.Vector{"config": 7}, newest, "%d routers", n)
		f.nodes["r-1"].SetActs(version.Vector{"config": 1 << 60})
		f.run(time.Duration(n)*time.Second/8 + 5*time.Second)
		newest, _, _ = f.nodes["r-0"].Newest()
		require.Equal(t, version.Vector{"config": 7}, newest, "one liar of %d", n)
	}
	n := newFleet(t, 3, 0, nil).nodes["r-0"]
	n.SetActs(version.Vector{"config": 3})
	many := version.Vector{}
	for i := range mostParts + 1 {
		many[fmt.Sprint(i)] = 1
	}
	for _, e := range []Envelope{{From: "stranger", Acts: version.Vector{"config": 9}}, {From: "r-0", Acts: version.Vector{"config": 9}},
		{From: "r-1", Acts: many}, {From: "r-2", Acts: version.Vector{strings.Repeat("x", mostPart+1): 9}}} {
		e.Members = &members.Message{From: e.From, To: "r-0"}
		n.Receive(e, time.Hour)
	}
	_, _, ok := n.Newest()
	require.False(t, ok)
}

// A router that is let in again goes on under a new life, and what was lent to it before is over.
func TestRenewEndsWhatWasLent(t *testing.T) {
	f := newFleet(t, 3, 0, nil)
	for _, n := range f.nodes {
		n.SetLimits("k", map[string]float64{"k": 300}, f.now)
	}
	borrowed := func() int {
		for range 200 {
			f.nodes["r-0"].Spend("k", 1, f.now)
		}
		return len(f.nodes["r-0"].Budgets(f.now)[0].Borrowed)
	}
	f.run(4 * time.Second)
	for range 40 {
		borrowed()
		f.run(100 * time.Millisecond)
	}
	require.Positive(t, borrowed())
	before := f.nodes["r-0"].Members(f.now).Life
	f.nodes["r-0"].Renew()
	require.Greater(t, f.nodes["r-0"].Members(f.now).Life, before)
	require.Empty(t, f.nodes["r-0"].Budgets(f.now)[0].Borrowed)
	for range 40 {
		borrowed()
		f.run(100 * time.Millisecond)
	}
	require.Positive(t, borrowed(), "it borrows anew under its new life")
}
