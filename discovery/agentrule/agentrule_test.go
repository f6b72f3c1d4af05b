package agentrule

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	step      = 10 * time.Millisecond
	heartbeat = 2 * time.Second
	grace     = 250 * time.Millisecond // the settings' safety.stop-sending-within-ns
)

// agent simulates a discovery agent on a router's machine.
type agent struct {
	rule     *Rule
	now      time.Time
	open     map[Call]*watch
	changes  int // number of changes that it has
	received int // number of changes that the router has received
	// knownAt holds when each change counts as known to the router.
	knownAt []time.Time
	maxLate time.Duration // the longest delay of a change after its knownAt

	downUntil, refusesUntil time.Time
	silentSince             time.Time // when the open watches fell silent; zero: they work
	calls                   int
}

type watch struct {
	silent   bool
	lastBeat time.Time
	sent     int // number of changes that were sent on it
	isNew    bool
}

func newAgent(rule *Rule) *agent {
	return &agent{rule: rule, now: time.Unix(1e9, 0), open: map[Call]*watch{}}
}

func (a *agent) up() bool { return !a.now.Before(a.downUntil) && !a.now.Before(a.refusesUntil) }

func (a *agent) end(id Call, invalid bool) {
	delete(a.open, id)
	a.rule.CallEnded(a.now, id, invalid)
}

// step advances the time by one step.
func (a *agent) step() {
	a.now = a.now.Add(step)
	drop, open, _ := a.rule.Next(a.now)
	for _, id := range drop {
		delete(a.open, id)
	}
	if open != 0 {
		a.calls++
		a.open[open] = &watch{sent: a.received, isNew: true}
	}
	for id, l := range a.open {
		switch {
		case a.now.Before(a.refusesUntil):
			a.end(id, false)
		case !a.up() || l.silent:
		case l.isNew || l.sent < a.changes:
			l.isNew, l.sent, l.lastBeat = false, a.changes, a.now
			a.silentSince = time.Time{}
			for ; a.received < a.changes; a.received++ {
				a.maxLate = max(a.maxLate, a.now.Sub(a.knownAt[a.received]))
			}
			for _, id := range a.rule.ListReceived(a.now, id) {
				delete(a.open, id)
			}
		case a.now.Sub(l.lastBeat) >= heartbeat:
			l.lastBeat = a.now
			a.rule.BytesReceived(a.now, id)
		}
	}
	// A change that has not arrived yet counts as late, too.
	if a.received < a.changes {
		a.maxLate = max(a.maxLate, a.now.Sub(a.knownAt[a.received]))
	}
}

// change gives the agent a new change to send.
func (a *agent) change() {
	known := a.now
	if !a.silentSince.IsZero() && a.silentSince.Add(6*time.Second).After(known) {
		known = a.silentSince.Add(6 * time.Second)
	}
	for _, t := range []time.Time{a.downUntil, a.refusesUntil} {
		if t.After(known) {
			known = t
		}
	}
	a.changes++
	a.knownAt = append(a.knownAt, known)
}

// simulatePushed simulates two minutes of faults and returns how late the latest change arrived and
// the number of calls.
func simulatePushed(cfg Config, faults string, seed uint64) (late time.Duration, calls int) {
	rng := rand.New(rand.NewPCG(seed, 3))
	cfg.Seed = seed
	a := newAgent(New(cfg))
	next := func(mean time.Duration) time.Time {
		return a.now.Add(time.Duration(rng.ExpFloat64() * float64(mean)))
	}
	change, fault := next(time.Second), next(3*time.Second)
	for range int(2 * time.Minute / step) {
		if !a.now.Before(change) {
			a.change()
			change = next(time.Second)
		}
		if !a.now.Before(fault) && a.up() {
			fault = next(5 * time.Second)
			switch faults[rng.IntN(len(faults))] {
			case 's':
				for _, l := range a.open {
					l.silent = true
				}
				if a.silentSince.IsZero() {
					a.silentSince = a.now
				}
			case 'r':
				for id := range a.open {
					a.end(id, false)
				}
				a.silentSince = time.Time{}
			case 'd':
				a.downUntil = a.now.Add(time.Duration(rng.Int64N(int64(9 * time.Second))))
			case 'f':
				a.refusesUntil = a.now.Add(time.Duration(rng.Int64N(int64(9 * time.Second))))
			case 'm':
				a.rule.AddressChanged(a.now)
			}
			for i := a.received; i < a.changes; i++ { // the agent cannot have sent these yet
				for _, t := range []time.Time{a.downUntil, a.refusesUntil} {
					if t.After(a.knownAt[i]) {
						a.knownAt[i] = t
					}
				}
			}
		}
		a.step()
	}
	return a.maxLate, a.calls
}

// Whatever happens to the watches of a router's own agent, each change must reach the router within
// the grace after it counts as known, whatever the number of routers.
func TestPushedListsArriveWithinTheGrace(t *testing.T) {
	for _, routers := range []int{0, 1, 8, 80, 300, 350} {
		for _, faults := range []string{"s", "r", "d", "f", "m", "srdfm"} {
			for seed := range uint64(4) {
				late, calls := simulatePushed(Config{Routers: routers, Pushed: true}, faults, seed)
				require.LessOrEqual(t, late, grace, "%d routers, faults %s, seed %d", routers, faults, seed)
				require.Less(t, calls, 1300, "%d routers, faults %s, seed %d: calls in two minutes", routers, faults, seed)
			}
		}
	}
	// The check can fail: with the rule for polled lists, changes arrive late.
	late, _ := simulatePushed(Config{Routers: 300}, "r", 1)
	require.Greater(t, late, time.Second)
}

// An agent that keeps sending an invalid list is called at growing intervals.
func TestInvalidListsBackOff(t *testing.T) {
	r, now := New(Config{Pushed: true}), time.Unix(1e9, 0)
	calls := 0
	for range int(30 * time.Second / step) {
		now = now.Add(step)
		if _, open, _ := r.Next(now); open != 0 {
			calls++
			r.BytesReceived(now, open)
			r.CallEnded(now, open, true)
		}
	}
	require.InDelta(t, 18, calls, 4)
}

// A discovery that can serve a fixed number of calls a second has lost all its watches at once. It
// serves calls in turn and fails those that have waited for two seconds; a failed call costs it as
// much as any other. All routers must reconnect within a bounded time without calling in step.
func TestRoutersReconnectToDiscoveryOfFixedCapacity(t *testing.T) {
	const callTimeout = 2 * time.Second
	for routers, each := range map[int]time.Duration{ // discovery's time for one call
		1: 100 * time.Millisecond, 8: 100 * time.Millisecond, 20: 100 * time.Millisecond, 80: 20 * time.Millisecond,
		200: 8 * time.Millisecond, 350: 5 * time.Millisecond, 1024: 1600 * time.Microsecond,
	} {
		t.Run(fmt.Sprint(routers), func(t *testing.T) {
			type waiting struct {
				router int
				id     Call
				at     time.Time
			}
			start := time.Unix(1e9, 0)
			now, free := start, start
			rules, in := make([]*Rule, routers), make([]bool, routers)
			for i := range rules {
				rules[i] = New(Config{Routers: routers, MustAsk: 10 * time.Second, Seed: uint64(1000 + i)})
				_, id, _ := rules[i].Next(now)
				rules[i].ListReceived(now, id)
				rules[i].CallEnded(now, id, false)
			}
			var queue []waiting
			callsPerSecond, back := map[int]int{}, 0
			for ; back < routers && now.Sub(start) < 3*time.Minute; now = now.Add(step) {
				for i, r := range rules {
					if in[i] {
						continue
					}
					if _, id, _ := r.Next(now); id != 0 {
						callsPerSecond[int(now.Sub(start)/time.Second)]++
						queue = append(queue, waiting{i, id, now})
					}
				}
				for len(queue) > 0 && free.Before(now.Add(step)) {
					w := queue[0]
					queue = queue[1:]
					if free.Before(now) {
						free = now
					}
					free = free.Add(each)
					switch {
					case now.Sub(w.at) >= callTimeout:
						rules[w.router].CallEnded(now, w.id, false)
					case !in[w.router]:
						in[w.router] = true
						back++
					}
				}
			}
			require.Equal(t, routers, back, "routers that are back")
			require.Less(t, now.Sub(start), 2*maxWait+callTimeout, "when the last one is")
			most := 0
			for _, n := range callsPerSecond {
				most = max(most, n)
			}
			t.Logf("%d routers, %v a call: back after %v, %d calls in the worst second", routers, each, now.Sub(start), most)
			require.LessOrEqual(t, most, max(2*initialCallsPerSecond, routers/2), "calls in the worst second")
		})
	}
}

// knownAfter is the time after which a change counts as known, whatever has failed before.
const knownAfter = 6 * time.Second

// simulatePolled simulates faults of a discovery that all routers poll, until it answers again. It
// returns how long after that the last router has its list, and the calls in the worst second
// before.
func simulatePolled(routers int, faults string, seed uint64) (late time.Duration, most int) {
	rng := rand.New(rand.NewPCG(seed, 9))
	start := time.Unix(1e9, 0)
	answers := start.Add(3*time.Second + time.Duration(rng.Int64N(int64(20*time.Second))))
	type out struct {
		fault byte
		at    time.Time // when the call ends, or the next bytes arrive
	}
	callsPerSecond := map[int]int{}
	for i := range routers {
		r := New(Config{Routers: routers, MustAsk: 10 * time.Second, Seed: seed<<16 + uint64(i)})
		open := map[Call]*out{}
		_, id, _ := r.Next(start)
		r.ListReceived(start, id)
		open[id] = &out{fault: 's'}
		if rng.IntN(2) == 0 {
			r.CallEnded(start, id, false)
			delete(open, id)
		}
		fault := func() byte { return faults[rng.IntN(len(faults))] }
		for now := start; ; now = now.Add(step) {
			drop, id, _ := r.Next(now)
			for _, d := range drop {
				delete(open, d)
			}
			if id != 0 {
				callsPerSecond[int(now.Sub(start)/time.Second)]++
				if !now.Before(answers) {
					late = max(late, now.Sub(answers))
					break
				}
				o := &out{fault: fault(), at: now}
				switch o.fault {
				case 'd': // no connection within the time-out
					o.at = now.Add(time.Second)
				case '5': // an error answer after a delay
					o.at = now.Add(time.Duration(rng.Int64N(int64(2 * time.Second))))
				}
				open[id] = o
			}
			for id, o := range open {
				if o.at.After(now) {
					continue
				}
				switch o.fault {
				case 'r', 'd', '5': // refused, reset
					r.CallEnded(now, id, false)
					delete(open, id)
				case 'n':
					r.CallEnded(now, id, true)
					delete(open, id)
				case 'h': // half a line, then silence
					r.ListBegun(now, id)
					o.fault = 's'
				case 'b': // endless bytes that never complete a list
					r.BytesReceived(now, id)
					r.ListBegun(now, id)
					o.at = now.Add(500 * time.Millisecond)
				case 'e': // empty lines for a while, then silence
					r.BytesReceived(now, id)
					o.at = now.Add(2 * time.Second)
					if rng.IntN(3) == 0 {
						o.fault = 's'
					}
				}
			}
			if rng.IntN(2000) == 0 {
				r.AddressChanged(now)
			}
		}
	}
	for second, n := range callsPerSecond {
		if second < int(answers.Sub(start)/time.Second) {
			most = max(most, n)
		}
	}
	return late, most
}

// Whatever has failed before, a router that polls must have the next list within 6 s after
// discovery answers again. An open watch that works counts as having sent everything.
func TestPolledListsArriveIn6Seconds(t *testing.T) {
	for _, routers := range []int{1, 8, 80, 350, 1024} {
		alone := []string{"r", "s", "d", "5", "n", "h", "b"}
		if routers > 80 {
			alone = nil // the combination below includes them
		}
		for _, faults := range append(alone, "rsd5nhb") {
			var late time.Duration
			var most int
			for seed := range uint64(max(1, 100/routers)) {
				l, m := simulatePolled(routers, faults, seed)
				late, most = max(late, l), max(most, m)
			}
			t.Logf("%4d routers, faults %-7s: %4d ms at most, %4d calls in the worst second", routers, faults, late.Milliseconds(), most)
			require.LessOrEqual(t, late, knownAfter-500*time.Millisecond, "%d routers, faults %s", routers, faults)
			require.LessOrEqual(t, most, max(2*initialCallsPerSecond, 3*routers/4), "%d routers, faults %s", routers, faults)
		}
	}
}

// A call that fails while a silent one is open must not be repeated at once.
func TestCallsInAdditionToASilentOneKeepTheirRate(t *testing.T) {
	for _, pushed := range []bool{true, false} {
		r, now := New(Config{Routers: 8, Pushed: pushed}), time.Unix(1e9, 0)
		_, id, _ := r.Next(now)
		r.ListReceived(now, id)
		calls := 0
		for range int(4 * time.Second / time.Millisecond) {
			now = now.Add(time.Millisecond)
			if _, open, _ := r.Next(now); open != 0 {
				calls++
				r.CallEnded(now, open, false)
			}
		}
		require.LessOrEqual(t, calls, 1+int(2*time.Second/retryDelay), "pushed %v", pushed)
	}
}

// An agent that takes seconds to answer must be waited for, not called again without end.
func TestSlowAgentIsWaitedFor(t *testing.T) {
	for _, takes := range []time.Duration{time.Second, 3 * time.Second, silenceTimeout - step} {
		r, start := New(Config{Pushed: true}), time.Unix(1e9, 0)
		due, received := map[Call]time.Time{}, false
		for now := start; !received; now = now.Add(step) {
			require.Less(t, now.Sub(start), 2*silenceTimeout, "%v", takes)
			drop, open, _ := r.Next(now)
			for _, id := range drop {
				delete(due, id)
			}
			if open != 0 {
				due[open] = now.Add(takes)
			}
			require.LessOrEqual(t, len(due), maxOpenCalls)
			for id, at := range due {
				if !now.Before(at) {
					r.ListReceived(now, id)
					received = true
				}
			}
		}
	}
}
