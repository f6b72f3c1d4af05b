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

func testConfig(self string, n int) Config {
	c := Config{Self: self, Zones: map[string]string{}, Incarnation: 1, Lease: 2 * time.Second, Floor: 0.1, Burst: time.Second, Drift: 0.01,
		Period: 500 * time.Millisecond, CountsPeriod: 100 * time.Millisecond, Fanout: 2, Digest: 32, Observers: 1, Quorum: 2, MaxOut: 0.5, MinFailures: 2,
		Hold: 3 * time.Second, Return: 4 * time.Second}
	for i := range n {
		c.Zones[fmt.Sprintf("r-%d", i)] = ""
	}
	return c
}

var kinds = logic.Settings{WarmWithin: 10 * time.Second, Kinds: []logic.Kind{{Role: logic.RoleRead}, {Role: logic.RoleWrite, MemoryTokens: 1000}, {Role: logic.RoleBoth}}}

// fleet runs nodes over simulated links, which lose nothing unless cut is set.
type fleet struct {
	t       testing.TB
	nodes   map[string]*Node
	fronts  map[string]*Front
	lines   []ListedWorker
	now     Time
	cut     func(from, to string) bool
	alter   func(*Envelope) // changes a message in transit
	loads   map[string][]PeerLoad
	parts   map[string]map[string]float64
	notices []Notice
}

func newFleet(t testing.TB, n, workers int, change func(*Config)) *fleet {
	f := &fleet{t: t, nodes: map[string]*Node{}, fronts: map[string]*Front{}, now: time.Hour, loads: map[string][]PeerLoad{}, parts: map[string]map[string]float64{}}
	for i := range workers {
		f.lines = append(f.lines, ListedWorker{Name: fmt.Sprintf("w-%d", i), Server: logic.ServerID(i), Kind: 1})
	}
	for i := range n {
		cfg := testConfig(fmt.Sprintf("r-%d", i), n)
		if change != nil {
			change(&cfg)
		}
		f.start(cfg)
	}
	return f
}

func (f *fleet) start(cfg Config) {
	n, err := New(cfg, rand.New(rand.NewPCG(cfg.Incarnation, xxh3.HashString(cfg.Self))), f.now)
	require.NoError(f.t, err)
	f.nodes[cfg.Self] = n
	f.fronts[cfg.Self] = n.Front(FrontConfig{Name: "p", Settings: kinds}, f.now)
	f.fronts[cfg.Self].UpdateWorkers(f.lines, true, int64(f.now), f.now)
}

func (f *fleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; f.now += 50 * time.Millisecond {
		for i := range len(f.nodes) {
			name := fmt.Sprintf("r-%d", i)
			n := f.nodes[name]
			f.send(n.Tick(f.now))
			parts, loads := n.EvaluateWorkers([][]ListedWorker{f.lines}, f.now)
			f.parts[name] = parts
			if loads != nil {
				f.loads[name] = loads[0]
			}
			f.notices = append(f.notices, n.Notices()...)
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

func (f *fleet) noticed(k NoticeKind, name string) bool {
	for _, n := range f.notices {
		if n.Kind == k && n.Name == name {
			return true
		}
	}
	return false
}

// The other routers get the work of one router as a worker's load report, until the work is done
// or unless reports of work are switched off.
func TestPeerWorkBecomesLoadReport(t *testing.T) {
	f := newFleet(t, 3, 2, nil)
	f.run(time.Second)
	f.nodes["r-0"].Charge("w-0", counts.Work{Unread: 300, Held: 400})
	f.nodes["r-1"].Charge("w-0", counts.Work{Held: 100})
	f.run(2 * time.Second)
	load := f.loads["r-2"][0].Load
	require.True(t, load.HasMemory && load.HasUnread)
	require.InDelta(t, 0.5, load.MemoryShare, 0.1, "of 1000 tokens")
	require.InDelta(t, 300*3/2, load.UnreadToken, 60, "the core takes two thirds of it as peers' load")
	load = f.loads["r-0"][0].Load
	require.InDelta(t, 0.5, load.MemoryShare, 0.1, "including its own work")
	require.Less(t, load.UnreadToken, 120.0, "its own work counts only as an estimate for peers without a recent report")
	f.nodes["r-0"].Charge("w-0", counts.Work{Unread: -300, Held: -400})
	f.run(2 * time.Second)
	require.InDelta(t, 0.1, f.loads["r-2"][0].Load.MemoryShare, 0.05)

	silent := newFleet(t, 3, 2, func(c *Config) { c.CountsPeriod = 0 })
	silent.run(3 * time.Second)
	require.Empty(t, silent.loads, "switched off")
	for _, n := range silent.nodes {
		for _, e := range n.Tick(silent.now) {
			require.Nil(t, e.Counts)
		}
	}
}

func TestWorkOfAnAttempt(t *testing.T) {
	f := newFleet(t, 1, 0, nil)
	p := f.fronts["r-0"]
	p.UpdateWorkers([]ListedWorker{{Name: "r", Kind: 0}, {Name: "w", Kind: 1}, {Name: "b", Kind: 2}, {Name: "odd", Kind: 9}}, true, 0, f.now)
	q := &logic.Request{PromptTokens: 1000, MaxTokens: 100}
	for name, want := range map[string]counts.Work{"r": {Unread: 1000}, "w": {Held: 1030}, "b": {Unread: 1000, Held: 1030},
		"odd": {Unread: 1000, Held: 1030}, "unknown": {Unread: 1000}} {
		require.Equal(t, want, p.Work(name, q), name)
	}
	for range 200 {
		p.Kept(1000, 750)
	}
	p.Kept(0, 5)
	require.InDelta(t, 250, p.Work("r", q).Unread, 1, "tokens in the worker's memory need not be read")
}

// A worker at which two routers of three see errors is out at all of them, and gets traffic again
// later.
func TestOutByAgreement(t *testing.T) {
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
	require.True(t, f.noticed(WorkerOut, "w-0"))
	part, k, _ := f.nodes["r-2"].Worker("w-0", f.now)
	require.Zero(t, part)
	require.NotEmpty(t, k.By)
	f.run(20 * time.Second)
	require.True(t, f.noticed(WorkerBack, "w-0"))
	for s, want := range map[logic.Status]outlier.Fault{logic.ServerError: outlier.Errors, logic.ConnectionReset: outlier.Resets,
		logic.ConnectFailed: outlier.Connect, logic.Served: outlier.None} {
		got, relevant := FaultOf(s)
		require.True(t, relevant)
		require.Equal(t, want, got)
	}
	_, relevant := FaultOf(logic.Full)
	require.False(t, relevant)
}

// A router whose wall clock is an hour off shares budgets as the others do: after a restart its
// incarnation becomes the newest through the membership protocol, and a worker counts as cold
// there for as long as elsewhere.
func TestWallClockAnHourOff(t *testing.T) {
	f := newFleet(t, 3, 2, func(c *Config) { c.ColdPerSecond, c.RepeatsPerSecond = 6, 5 })
	f.run(4 * time.Second)
	f.fronts["r-0"].Allow("w-0", true, f.now)
	cfg := testConfig("r-1", 3)
	// Restarted, with an earlier wall clock than the previous process had.
	cfg.ColdPerSecond, cfg.RepeatsPerSecond, cfg.Incarnation = 6, 5, 0
	f.start(cfg)
	f.run(6 * time.Second)
	require.False(t, f.nodes["r-1"].Members(f.now).Fenced, "the later process continues")
	require.Greater(t, f.nodes["r-1"].Members(f.now).Incarnation, uint64(1))
	for name, wall := range map[string]time.Duration{"r-0": f.now, "r-1": f.now - time.Hour, "r-2": f.now + time.Hour} {
		f.fronts[name].UpdateWorkers([]ListedWorker{{Name: "w-9", Since: int64(f.now), Kind: 1}}, false, int64(wall), f.now)
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
	require.Greater(t, sent, 15, "most of the budget is used")
	f.run(7 * time.Second)
	for name, p := range f.fronts {
		require.Equal(t, attempts.None, p.Allow("w-9", false, f.now), "%s: the worker is warm", name)
	}
	for _, v := range f.nodes["r-1"].Budgets(f.now) {
		require.Equal(t, "repeats/p", v.Key, "the cold worker's budget is removed")
	}
}

// Parts of a message whose stated origin is not its sender are removed.
func TestForgedPartsAreDropped(t *testing.T) {
	e := Envelope{From: "a", Budget: []budget.Message{{From: "a", Seq: 1}, {From: "b", Seq: 2}}, Members: &members.Message{From: "b"},
		Counts: &counts.State{Router: "b"}}
	e.DropForged()
	require.Len(t, e.Budget, 1)
	require.Nil(t, e.Members)
	require.Nil(t, e.Counts)
}

func TestFaultyConfigs(t *testing.T) {
	for name, spoil := range map[string]func(*Config){"self": func(c *Config) { c.Self = "x" }, "lease": func(c *Config) { c.Lease = 0 },
		"period": func(c *Config) { c.Period = 0 }, "quorum": func(c *Config) { c.Quorum = 0 }} {
		cfg := testConfig("r-0", 3)
		spoil(&cfg)
		_, err := New(cfg, rand.New(rand.NewPCG(1, 1)), 0)
		require.ErrorContains(t, err, name)
	}
}

// BenchmarkAttempt measures what the fleet adds to one attempt: spending budgets, adding and
// removing its work, and recording its result.
func BenchmarkAttempt(b *testing.B) {
	for _, n := range []int{3, 200} {
		b.Run(fmt.Sprint(n, " routers"), func(b *testing.B) {
			f := newFleet(b, 1, 0, func(c *Config) { *c = testConfig("r-0", n); c.RepeatsPerSecond, c.ColdPerSecond = 1e6, 1e6 })
			for i := range 100 {
				f.lines = append(f.lines, ListedWorker{Name: fmt.Sprintf("w-%d", i), Kind: 1, Since: int64(f.now)})
			}
			node, p := f.nodes["r-0"], f.fronts["r-0"]
			p.UpdateWorkers(f.lines, false, int64(f.now), f.now)
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

// BenchmarkTick measures a tick with the evaluation of workers, which runs at least ten times per
// second.
func BenchmarkTick(b *testing.B) {
	for _, workers := range []int{100, 1000} {
		for _, n := range []int{3, 200} {
			b.Run(fmt.Sprint(n, " routers ", workers, " workers"), func(b *testing.B) {
				f := newFleet(b, 1, workers, func(c *Config) { *c = testConfig("r-0", n) })
				node := f.nodes["r-0"]
				for i := 1; i < n; i++ {
					s := counts.State{Router: fmt.Sprintf("r-%d", i), Incarnation: 1, Version: 1, Work: map[string]counts.Work{}}
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
					node.loadsReportedAt = 0
					node.EvaluateWorkers([][]ListedWorker{f.lines}, now)
				}
			})
		}
	}
}

// A newest version counts only if as many routers as required report it: a single router that
// reports a wrong one does not make the others appear outdated. Invalid reports are ignored.
func TestNewestVersions(t *testing.T) {
	for _, n := range []int{1, 8, 80} {
		f := newFleet(t, n, 0, func(c *Config) { c.Observers = 2 })
		for name, node := range f.nodes {
			node.SetVersions(version.Vector{"config": 7, "only/" + name: 1})
		}
		f.nodes["r-0"].SetVersions(version.Vector{"config": 3})
		f.run(time.Duration(n)*time.Second/8 + 5*time.Second)
		newest, _, ok := f.nodes["r-0"].Newest()
		require.Equal(t, n > 1, ok, "%d routers", n)
		if n == 1 {
			continue
		}
		require.Equal(t, version.Vector{"config": 7}, newest, "%d routers", n)
		f.nodes["r-1"].SetVersions(version.Vector{"config": 1 << 60})
		f.run(time.Duration(n)*time.Second/8 + 5*time.Second)
		newest, _, _ = f.nodes["r-0"].Newest()
		require.Equal(t, version.Vector{"config": 7}, newest, "one false report of %d", n)
	}
	n := newFleet(t, 3, 0, nil).nodes["r-0"]
	n.SetVersions(version.Vector{"config": 3})
	many := version.Vector{}
	for i := range maxParts + 1 {
		many[fmt.Sprint(i)] = 1
	}
	for _, e := range []Envelope{{From: "stranger", Versions: version.Vector{"config": 9}}, {From: "r-0", Versions: version.Vector{"config": 9}},
		{From: "r-1", Versions: many}, {From: "r-2", Versions: version.Vector{strings.Repeat("x", maxPartName+1): 9}}} {
		e.Members = &members.Message{From: e.From, To: "r-0"}
		n.Receive(e, time.Hour)
	}
	_, _, ok := n.Newest()
	require.False(t, ok)
}

// A router that continues under a new incarnation loses its loans and can borrow again.
func TestRenewEndsLoans(t *testing.T) {
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
	before := f.nodes["r-0"].Members(f.now).Incarnation
	f.nodes["r-0"].Renew()
	require.Greater(t, f.nodes["r-0"].Members(f.now).Incarnation, before)
	require.Empty(t, f.nodes["r-0"].Budgets(f.now)[0].Borrowed)
	for range 40 {
		borrowed()
		f.run(100 * time.Millisecond)
	}
	require.Positive(t, borrowed(), "it borrows again under its new incarnation")
}
