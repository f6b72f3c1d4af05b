package budget

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const key = "account/a"

var depth = flag.Int("depth", 6, "steps that TestAllOrdersOfTwoLeases explores")

func names(n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("r%03d", i)
	}
	return out
}

// fleet simulates routers in virtual time: clocks of different speeds, a network that loses,
// duplicates, delays and reorders messages, and processes that stop and restart.
type fleet struct {
	rng         *rand.Rand
	now         time.Duration // true time
	limit       float64
	drift       float64
	burst       time.Duration
	lease       time.Duration
	routers     []*router
	inFlight    []delivery
	loss        float64
	duplication float64
	maxDelay    time.Duration
	cut         func(from, to string) bool
	spent       float64
	// What remains of a token bucket with the fleet's limit from which all spending is taken.
	left, worst float64
	sent        int
	maxRate     float64 // largest sum of rates at one moment; computed for up to 8 routers
}

type router struct {
	name        string
	incarnation uint64
	speed       float64
	stopped     bool
	ledger      *Ledger
	demand      func(time.Duration) float64 // per second
	served      float64
	unspent     float64
	earlier     []*Ledger // replaced processes of this router that may still run
}

type delivery struct {
	at time.Duration
	m  Message
}

func newFleet(t require.TestingT, n int, seed uint64) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 7)), limit: 100, drift: 0.01, burst: time.Second, lease: 2 * time.Second,
		now: time.Hour, cut: func(string, string) bool { return false }}
	for _, name := range names(n) {
		f.routers = append(f.routers, &router{name: name, speed: 1 + f.drift*(2*f.rng.Float64()-1)})
	}
	for _, r := range f.routers {
		f.restart(t, r)
	}
	f.left = f.bound()
	f.worst = f.left
	return f
}

// bound is the burst of all routers, including rounding.
func (f *fleet) bound() float64 { return f.limit*f.burst.Seconds() + float64(len(f.routers)) }

func (f *fleet) clock(r *router) Time { return Time(float64(f.now) * r.speed) }

// restart starts a process under the router's name with no state.
func (f *fleet) restart(t require.TestingT, r *router) {
	r.incarnation++
	if r.ledger != nil {
		r.earlier = append(r.earlier, r.ledger)
	}
	l, err := New(Config{Self: r.name, Routers: names(len(f.routers)), Incarnation: r.incarnation, Epoch: 1, Lease: f.lease,
		Drift: f.drift, Floor: 0.1, Burst: f.burst}, f.clock(r))
	require.NoError(t, err)
	l.SetLimit(key, f.limit, f.clock(r))
	r.ledger = l
}

func (f *fleet) send(ms []Message) {
	for _, m := range ms {
		f.sent++
		for n := 1; n > 0; n-- {
			if f.rng.Float64() < f.duplication {
				n++
			}
			if f.rng.Float64() >= f.loss && !f.cut(m.From, m.To) {
				f.inFlight = append(f.inFlight, delivery{f.now + time.Duration(f.rng.Float64()*float64(f.maxDelay)), m})
			}
		}
	}
}

func (f *fleet) spend(l *Ledger, at Time, r *router) bool {
	if !l.Spend(key, 1, at) {
		return false
	}
	f.spent++
	f.left--
	f.worst = math.Min(f.worst, f.left)
	r.served++
	return true
}

const step = 20 * time.Millisecond

// run advances the simulation by d; demand arrives evenly.
func (f *fleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; {
		f.now += step
		f.left = math.Min(f.bound(), f.left+f.limit*(1+f.drift)*step.Seconds())
		due := f.inFlight
		f.inFlight = nil
		for _, k := range due {
			r := f.router(k.m.To)
			if k.at > f.now || r.stopped {
				f.inFlight = append(f.inFlight, k)
				continue
			}
			f.send(r.ledger.Receive(k.m, f.clock(r)))
		}
		for _, r := range f.routers {
			if r.stopped {
				continue
			}
			if r.demand != nil {
				r.unspent += r.demand(f.now) * step.Seconds()
			}
			for ; r.unspent >= 1; r.unspent-- {
				f.spend(r.ledger, f.clock(r), r)
			}
			if (f.now/step)%6 == 0 {
				f.send(r.ledger.Tick(f.clock(r)))
			}
		}
		if len(f.routers) <= 8 {
			f.maxRate = math.Max(f.maxRate, f.rates())
		}
	}
}

// rates is the sum of the rates that all routers may spend now. A replaced process counts only with
// what it borrows: its own share also belongs to its successor, and Fence prevents that it is spent
// twice.
func (f *fleet) rates() float64 {
	sum := 0.0
	for _, r := range f.routers {
		now := f.clock(r)
		sum += r.ledger.ownRate(r.ledger.budgets[key], now) + r.ledger.borrowedRate(r.ledger.budgets[key], now)
		for _, l := range r.earlier {
			sum += l.borrowedRate(l.budgets[key], now)
		}
	}
	return sum
}

func (f *fleet) router(name string) *router {
	for _, r := range f.routers {
		if r.name == name {
			return r
		}
	}
	panic(name)
}

func always(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// With a working network one router can use nine tenths of a limit, at any number of routers.
func TestOneRouterUsesNineTenthsOfTheLimit(t *testing.T) {
	for _, n := range []int{1, 2, 8, 80, 200} {
		f := newFleet(t, n, 1)
		f.maxDelay = 30 * time.Millisecond
		hot := f.routers[n/2]
		hot.demand = always(2 * f.limit)
		f.run(2*f.lease + 2*time.Second)
		before, sent := hot.served, f.sent
		f.run(10 * time.Second)
		use := (hot.served - before) / 10 / f.limit
		t.Logf("%3d routers: %.3f of the limit, %.1f messages a second", n, use, float64(f.sent-sent)/10)
		require.GreaterOrEqual(t, use, 0.9*(1-f.drift), "%d routers", n)
		require.LessOrEqual(t, use, 1+f.drift)
		require.GreaterOrEqual(t, f.worst, 0.0, "the limit holds")
	}
}

// With lost, duplicated, late and reordered messages, clock drift, and processes that stop, restart
// or run twice, no window exceeds the limit, and a router that requests its floor gets it.
func TestTheLimitHoldsWhateverHappens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{1, 2, 3, 5, 8}).Draw(t, "routers")
		f := newFleet(t, n, rapid.Uint64().Draw(t, "seed"))
		f.loss = rapid.Float64Range(0, 0.9).Draw(t, "loss")
		f.duplication = rapid.Float64Range(0, 0.5).Draw(t, "double")
		f.maxDelay = time.Duration(rapid.IntRange(0, 6000).Draw(t, "late")) * time.Millisecond
		for _, r := range f.routers {
			r.demand = always(rapid.SampledFrom([]float64{0, 1, 20, 300}).Draw(t, "demand"))
		}
		for range rapid.IntRange(1, 12).Draw(t, "events") {
			r := f.routers[rapid.IntRange(0, n-1).Draw(t, "router")]
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				r.stopped = !r.stopped
			case 1:
				f.restart(t, r)
			case 2:
				a, b := rapid.IntRange(0, n-1).Draw(t, "from"), rapid.IntRange(0, n-1).Draw(t, "to")
				f.cut = func(from, to string) bool { return from == f.routers[a].name && to == f.routers[b].name }
			case 3:
				f.cut = func(from, to string) bool { return (from < f.routers[n/2].name) != (to < f.routers[n/2].name) }
			case 4:
				r.demand = always(rapid.SampledFrom([]float64{0, 5, 500}).Draw(t, "next"))
			case 5:
				f.cut = func(string, string) bool { return false }
			}
			f.run(time.Duration(rapid.IntRange(1, 3000).Draw(t, "wait")) * time.Millisecond)
			require.GreaterOrEqual(t, f.worst, -1e-6, "exceeds the limit")
			require.LessOrEqual(t, f.maxRate, f.limit*(1+1e-9), "more is held at one moment than the limit")
		}
		// No messages are received any more: the floor is available, and the whole share after a
		// lease.
		f.cut = func(string, string) bool { return true }
		f.inFlight = nil
		for _, r := range f.routers {
			r.stopped, r.demand, r.unspent = false, always(f.limit), 0
		}
		f.run(f.lease + time.Second)
		before := make([]float64, n)
		for i, r := range f.routers {
			before[i] = r.served
		}
		f.run(4 * time.Second)
		for i, r := range f.routers {
			require.GreaterOrEqual(t, r.served-before[i], 4*f.limit/float64(n)*(1-f.drift)-2, "its own share once isolated")
		}
		require.GreaterOrEqual(t, f.worst, -1e-6, "exceeds the limit")
	})
}

// The check detects a broken bound: a borrower that never ends a lease, and an owner that spends
// what it has lent. Without these faults the same run passes.
func TestTheCheckerFindsABrokenBound(t *testing.T) {
	for _, fault := range []string{"none", "a lease without end", "an owner that forgets what it lent"} {
		f := newFleet(t, 5, 3)
		f.maxDelay = 50 * time.Millisecond
		f.run(f.lease)
		f.routers[0].demand = always(1000)
		f.run(3 * f.lease)
		f.cut = func(string, string) bool { return true }
		for _, r := range f.routers[1:] {
			r.demand = always(1000)
		}
		for range 100 {
			switch fault {
			case "a lease without end":
				for _, h := range f.routers[0].ledger.budgets[key].held {
					h.until = math.MaxInt64
				}
			case "an owner that forgets what it lent":
				for _, r := range f.routers[1:] {
					clear(r.ledger.budgets[key].lent)
				}
			}
			f.run(100 * time.Millisecond)
		}
		require.Equal(t, fault == "none", f.worst >= 0, "%s: minimum remaining %.1f", fault, f.worst)
	}
}

// A router that was stopped for longer than its lease holds no loans when it resumes, and its
// accumulated burst is cut to that of its own share.
func TestStoppedForLongerThanItsLease(t *testing.T) {
	f := newFleet(t, 4, 5)
	f.run(f.lease)
	hot := f.routers[0]
	hot.demand = always(400)
	f.run(2 * f.lease)
	require.NotEmpty(t, hot.ledger.Views(f.clock(hot))[0].Borrowed)
	hot.stopped, hot.demand, hot.unspent = true, nil, 0
	f.cut = func(string, string) bool { return true }
	f.run(2 * f.lease)
	hot.stopped = false
	got := 0
	for hot.ledger.Spend(key, 1, f.clock(hot)) {
		got++
	}
	require.LessOrEqual(t, float64(got), f.limit/4*f.burst.Seconds()+1)
	require.Empty(t, hot.ledger.Views(f.clock(hot))[0].Borrowed)
}

// An earlier process resumes under the same name while its successor runs: the owners still reserve
// what it borrowed, and it stops all spending once it learns of the successor.
func TestTwoProcessesUnderOneName(t *testing.T) {
	f := newFleet(t, 4, 9)
	f.run(f.lease)
	replaced := f.routers[0]
	replaced.demand = always(400)
	f.run(2 * f.lease)
	old := replaced.ledger
	f.restart(t, replaced)
	f.run(50 * time.Millisecond)
	old.Fence()
	require.False(t, old.Spend(key, 1, f.clock(replaced)))
	require.Empty(t, old.Tick(f.clock(replaced)))
	f.run(3 * f.lease)
	require.GreaterOrEqual(t, f.worst, 0.0)
	require.Greater(t, replaced.ledger.Views(f.clock(replaced))[0].Rate, 0.85*f.limit, "the new process borrows again")
}

// An owner that has lent to a process and receives an ask of its successor lends no more than it
// has left: the first process may only be suspended, and may resume with what it holds.
func TestLoanToAnEarlierProcessStaysReserved(t *testing.T) {
	cfg := Config{Self: "a", Routers: []string{"a", "b", "c"}, Incarnation: 1, Epoch: 1, Lease: 4 * time.Second, Floor: 0.1, Burst: time.Second}
	owner, err := New(cfg, 0)
	require.NoError(t, err)
	owner.SetLimit(key, 30, 0)
	now := Time(cfg.Lease)
	ask := func(incarnation, seq uint64, amount float64) float64 {
		m := Message{Kind: Ask, From: "b", To: "a", Epoch: owner.epoch(owner.budgets[key]), Incarnation: incarnation, Key: key, Seq: seq, Amount: amount}
		answer := owner.Receive(m, now)
		require.Len(t, answer, 1)
		return answer[0].Amount
	}
	require.InDelta(t, 6, ask(1, 1, 6), 1e-9)
	require.InDelta(t, 3, ask(2, 1, 9), 1e-9, "the floor of 1 stays, and 6 are lent to the first process")
	now += Time(cfg.Lease)
	require.InDelta(t, 9, ask(2, 2, 9), 1e-9, "the first lease has expired")
}

func TestDemandThatMovesEachSecond(t *testing.T) {
	f := newFleet(t, 5, 11)
	f.maxDelay = 20 * time.Millisecond
	f.run(f.lease)
	for i, r := range f.routers {
		r.demand = func(now time.Duration) float64 {
			if int(now/time.Second)%len(f.routers) == i {
				return 60
			}
			return 0
		}
	}
	f.run(20 * time.Second)
	require.GreaterOrEqual(t, f.worst, 0.0)
	t.Logf("demand of 0.6 of the limit that moves each second: served %.2f of it", f.spent/(20*60))
	require.Greater(t, f.spent/(20*60), 0.5)
}

func TestFaultyMessagesAndConfigs(t *testing.T) {
	good := Config{Self: "a", Routers: []string{"b", "a"}, Incarnation: 1, Epoch: 1, Lease: time.Second, Floor: 0.1, Burst: time.Second}
	for want, spoil := range map[string]func(*Config){
		`self is "x"`: func(c *Config) { c.Self = "x" }, `routers is "a"`: func(c *Config) { c.Routers = []string{"a", "a"} },
		"lease is 0s": func(c *Config) { c.Lease = 0 }, "burst is -1s": func(c *Config) { c.Burst = -time.Second },
		"drift is 0.5": func(c *Config) { c.Drift = 0.5 }, "floor is 0": func(c *Config) { c.Floor = 0 },
		"floor is NaN": func(c *Config) { c.Floor = math.NaN() },
	} {
		c := good
		spoil(&c)
		_, err := New(c, 0)
		require.ErrorIs(t, err, ErrConfig)
		require.ErrorContains(t, err, want)
	}
	now := Time(time.Hour)
	l, err := New(good, now)
	require.NoError(t, err)
	l.SetLimit(key, 10, now)
	now += Time(2 * time.Second)
	ask := Message{Kind: Ask, From: "b", To: "a", Epoch: l.epoch(l.budgets[key]), Incarnation: 1, Key: key, Seq: 1, Amount: 3}
	for name, spoil := range map[string]func(*Message){
		"another epoch": func(m *Message) { m.Epoch++ }, "another limit": func(m *Message) { m.Epoch = l.epoch(&account{limit: 11}) }, "an unknown router": func(m *Message) { m.From = "c" },
		"itself": func(m *Message) { m.From = "a" }, "for another": func(m *Message) { m.To = "b" },
		"no such budget": func(m *Message) { m.Key = "?" }, "not a number": func(m *Message) { m.Amount = math.NaN() },
		"negative": func(m *Message) { m.Amount = -1 }, "infinite": func(m *Message) { m.Amount = math.Inf(1) },
		"no number": func(m *Message) { m.Seq = 0 }, "another kind": func(m *Message) { m.Kind = 9 },
		"a grant without an ask": func(m *Message) { m.Kind = Grant },
	} {
		m := ask
		spoil(&m)
		require.Empty(t, l.Receive(m, now), name)
		require.Equal(t, 5.0, l.Views(now)[0].Rate, name)
	}
	huge := ask
	huge.Amount = 1e300
	answer := l.Receive(huge, now)
	require.Len(t, answer, 1)
	require.InDelta(t, 4.5, answer[0].Amount, 1e-9, "all but the floor, however much is requested")
	require.Empty(t, l.Receive(huge, now), "duplicate")
	require.InDelta(t, 0.5, l.Views(now)[0].Rate, 1e-9)
	require.True(t, l.Spend("free", 1e9, now), "no limit is set")
	require.False(t, l.Spend(key, math.NaN(), now))
	// A limit that is removed and set again keeps the state of its loans.
	l.SetLimit(key, 0, now)
	l.Tick(now)
	l.SetLimit(key, 10, now)
	require.InDelta(t, 0.5, l.Views(now)[0].Rate, 1e-9)
}

// Explores all sequences of events at three routers up to a depth: asks, messages delivered,
// duplicated or lost, time, and a process that restarts while its predecessor continues.
func TestAllOrdersOfTwoLeases(t *testing.T) {
	type world struct {
		now         Time
		ledgers     []*Ledger // replaced predecessors follow the current ones
		inFlight    []Message
		incarnation uint64
	}
	cfg := Config{Self: "a", Routers: []string{"a", "b", "c"}, Incarnation: 1, Epoch: 1, Lease: 4 * time.Second, Floor: 0.1, Burst: time.Second}
	newLedger := func(self string, incarnation uint64, now Time) *Ledger {
		c := cfg
		c.Self, c.Incarnation = self, incarnation
		l, err := New(c, now)
		require.NoError(t, err)
		l.SetLimit(key, 3, now)
		return l
	}
	clone := func(l *Ledger) *Ledger {
		c := *l
		c.budgets = map[string]*account{}
		for k, a := range l.budgets {
			b := *a
			b.lent, b.held = map[string]*lending{}, map[string]*borrowing{}
			for n, x := range a.lent {
				y := *x
				y.grants = append([]grant(nil), x.grants...)
				b.lent[n] = &y
			}
			for n, x := range a.held {
				y := *x
				y.asks = append([]ask(nil), x.asks...)
				b.held[n] = &y
			}
			c.budgets[k] = &b
		}
		return &c
	}
	copyOf := func(w world) world {
		out := world{now: w.now, inFlight: append([]Message(nil), w.inFlight...), incarnation: w.incarnation}
		for _, l := range w.ledgers {
			out.ledgers = append(out.ledgers, clone(l))
		}
		return out
	}
	print := func(w world) string {
		var b strings.Builder
		fmt.Fprint(&b, w.now, w.inFlight)
		for _, l := range w.ledgers {
			a := l.budgets[key]
			fmt.Fprint(&b, "|", l.cfg.Self, l.seq, l.startedAt, a.demand > 0)
			for _, n := range cfg.Routers {
				if x := a.lent[n]; x != nil {
					fmt.Fprint(&b, "l", n, *x)
				}
				if x := a.held[n]; x != nil {
					fmt.Fprint(&b, "h", n, *x)
				}
			}
		}
		return b.String()
	}
	rates := func(w world) float64 {
		sum := 0.0
		for _, l := range w.ledgers {
			a := l.budgets[key]
			sum += l.ownRate(a, w.now) + l.borrowedRate(a, w.now)
		}
		return sum
	}
	first := world{now: Time(time.Hour), incarnation: 1}
	for _, n := range cfg.Routers {
		first.ledgers = append(first.ledgers, newLedger(n, 1, first.now))
	}
	first.now += Time(cfg.Lease) // every router now knows that nothing was lent before
	seen := map[string]bool{}
	frontier := []world{first}
	for range *depth {
		var next []world
		visit := func(w world) {
			k := print(w)
			if seen[k] {
				return
			}
			seen[k] = true
			// Without Fence a predecessor spends its own share as well as its successor does, so
			// that share is allowed for. What the predecessor borrowed must stay reserved.
			own := 0.0
			for _, predecessor := range w.ledgers[3:] {
				own += predecessor.ownRate(predecessor.budgets[key], w.now)
			}
			require.LessOrEqual(t, rates(w), 3+own+1e-9, k)
			next = append(next, w)
		}
		for _, w := range frontier {
			for i := range 2 { // a and b request everything, or nothing more
				for _, demand := range []float64{3, 0} {
					n := copyOf(w)
					n.ledgers[i].budgets[key].demand, n.ledgers[i].budgets[key].settledAt = demand, n.now
					n.inFlight = append(n.inFlight, n.ledgers[i].Tick(n.now)...)
					visit(n)
				}
			}
			for i, m := range w.inFlight {
				for _, keep := range []bool{false, true} {
					if keep && len(w.inFlight) > 4 {
						continue
					}
					n := copyOf(w)
					if !keep {
						n.inFlight = append(n.inFlight[:i:i], n.inFlight[i+1:]...)
					}
					for j, l := range n.ledgers[:3] {
						if cfg.Routers[j] == m.To {
							n.inFlight = append(n.inFlight, l.Receive(m, n.now)...)
						}
					}
					visit(n)
				}
			}
			n := copyOf(w)
			n.now += Time(cfg.Lease / 2)
			visit(n)
			if w.incarnation < 2 {
				n := copyOf(w)
				n.incarnation++
				n.ledgers = append(n.ledgers, n.ledgers[0])
				n.ledgers[0] = newLedger("a", n.incarnation, n.now)
				visit(n)
			}
		}
		frontier = next
	}
	t.Logf("%d states", len(seen))
	require.Greater(t, len(seen), 1000)
}
