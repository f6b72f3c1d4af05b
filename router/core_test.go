package router

import (
	"context"
	"errors"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lichenshelf/logic"
	"lichenshelf/metrics"
)

// decide is a decider made of a function of single events.
type decide func(logic.Event) []logic.Action

func (d decide) Handle(_ logic.Time, events []logic.Event, actions []logic.Action) []logic.Action {
	for _, e := range events {
		actions = append(actions, d(e)...)
	}
	return actions
}

// wires is a transport that only notes what it is asked for.
type wires struct {
	sent     chan Sink
	gaveUp   chan struct{}
	released chan string
	taken    chan struct{} // a release waits for this, where it is set
	refuse   atomic.Int64  // so many more releases are taken by nobody
	known    chan struct{} // closed when workers know that an attempt was given up; nil: at once
}

func newWires() *wires {
	return &wires{sent: make(chan Sink, 16), gaveUp: make(chan struct{}, 16), released: make(chan string, 16)}
}

func (w *wires) Send(_ Attempt, s Sink) func() <-chan struct{} {
	w.sent <- s
	return sync.OnceValue(func() <-chan struct{} { w.gaveUp <- struct{}{}; return w.known })
}
func (w *wires) Release(name string, _ []*Worker, done func(*Worker, error)) {
	w.released <- name
	go func() {
		if w.taken != nil {
			<-w.taken
		}
		if w.refuse.Add(-1) >= 0 {
			done(nil, errors.New("nobody"))
			return
		}
		done(nil, nil)
	}()
}
func (w *wires) Forget(*Worker) {}

// caller notes the answers it gets.
type caller struct{ answers chan string }

func (c caller) Stream(Answer)                      { c.answers <- "stream" }
func (c caller) Refuse(time.Duration, logic.Status) { c.answers <- "refused" }
func (c caller) Fail(logic.Status)                  { c.answers <- "failed" }

type text struct{ io.Reader }

func (text) Close() error     { return nil }
func (text) Head() any        { return nil }
func (text) Kept() uint32     { return 7 }
func (text) Load() logic.Load { return logic.Load{} }

func run(t *testing.T, d decide, w *wires) (*Core, *metrics.Set) {
	counters := &metrics.Set{}
	c := New(Config{Decider: d, Transport: w, Counters: counters, Settings: logic.Settings{MaxAttempts: 3}, MaxOpen: 2})
	ctx, cancel := context.WithCancel(context.Background())
	go c.Run(ctx)
	t.Cleanup(func() { cancel(); <-c.stopped })
	c.Discovered([]Member{{Member: logic.Member{Server: 5}, Name: "s", Addr: "x:1"}}, true)
	return c, counters
}

func submit(c *Core, name string) (caller, Ticket) {
	who := caller{make(chan string, 4)}
	return who, c.Submit(&Request{Name: name, Received: time.Now(), Request: logic.Request{Patience: time.Minute}}, who)
}

// sendAll sends each arrival on and, where an attempt ends unserved, refuses and releases.
func sendAll(ended chan<- logic.Event) decide {
	return func(e logic.Event) []logic.Action {
		switch e.Kind {
		case logic.Arrived:
			return []logic.Action{{Kind: logic.Send, ID: e.Request.ID, Server: 5, After: time.Hour}}
		case logic.AttemptEnded:
			ended <- e
			return []logic.Action{{Kind: logic.Refuse, ID: e.ID}, {Kind: logic.Release, ID: e.ID}}
		}
		return nil
	}
}

func TestAnswerThatCrossesItsEndIsVoid(t *testing.T) {
	ended, w := make(chan logic.Event, 4), newWires()
	c, _ := run(t, sendAll(ended), w)
	who, _ := submit(c, "a")
	sink := <-w.sent
	sink.Ended(Outcome{Status: logic.ServerError})
	sink.Started(text{})
	sink.Ended(Outcome{Status: logic.Served})
	require.Equal(t, "refused", <-who.answers)
	require.Equal(t, logic.ServerError, (<-ended).Status)
	require.Eventually(t, func() bool { return c.Open() == 0 }, time.Minute, time.Millisecond)
	require.Empty(t, who.answers, "one final answer")
	require.Empty(t, ended)
}

// A read can end well just as it is cut off. The first release may overtake
// that, so a second one has to follow.
func TestReadThatWasCutOffIsReleasedTwice(t *testing.T) {
	ended, w := make(chan logic.Event, 4), newWires()
	c, _ := run(t, sendAll(ended), w)
	submit(c, "a")
	(<-w.sent).Ended(Outcome{Status: logic.ConnectionReset})
	require.Equal(t, "a", <-w.released)
	require.Equal(t, "a", <-w.released)
}

// The release goes on a connection of its own. Overtaken by the next read, it takes
// away the state that this one leaves, and the writer turns the request away.
func TestSendWaitsForTheReleaseBeforeIt(t *testing.T) {
	w := newWires()
	w.taken = make(chan struct{})
	decided := make(chan struct{}, 1)
	c, _ := run(t, func(e logic.Event) []logic.Action {
		switch e.Kind {
		case logic.Arrived:
			return []logic.Action{{Kind: logic.Send, ID: e.Request.ID, Server: 5, After: time.Hour}}
		case logic.AttemptEnded:
			decided <- struct{}{}
			return []logic.Action{{Kind: logic.Release, ID: e.ID}, {Kind: logic.Send, ID: e.ID, Server: 5, After: time.Hour}}
		}
		return nil
	}, w)
	submit(c, "a")
	(<-w.sent).Ended(Outcome{Status: logic.ConnectionReset})
	<-w.released
	<-decided
	settled := make(chan struct{})
	c.post(func() { close(settled) })
	<-settled
	require.Empty(t, w.sent)
	close(w.taken)
	<-w.sent
}

func TestLeavingGivesUpTheAttemptAndReleases(t *testing.T) {
	ended, w := make(chan logic.Event, 4), newWires()
	c, _ := run(t, sendAll(ended), w)
	who, ticket := submit(c, "a")
	<-w.sent
	ticket.Leave()
	<-w.gaveUp
	e := <-ended
	require.Equal(t, logic.Cancelled, e.Status)
	require.True(t, e.Closed)
	require.Equal(t, "a", <-w.released)
	require.Empty(t, who.answers, "nobody is there to be answered")
}

func TestDoorBoundsWhatIsInHandAndNamesAreUnique(t *testing.T) {
	w := newWires()
	c, counters := run(t, sendAll(make(chan logic.Event, 4)), w)
	submit(c, "a")
	first := <-w.sent
	again, _ := submit(c, "a")
	refused, _ := submit(c, "b") // what waits behind its name is in hand
	require.Equal(t, "refused", <-refused.answers)
	require.Empty(t, w.sent, "two of one name are out together")
	first.Ended(Outcome{Status: logic.ServerError})
	require.Equal(t, "failed", <-again.answers, "the first may have run")
	require.Eventually(t, func() bool { return c.Open() == 0 }, time.Minute, time.Millisecond)
	submit(c, "a")
	<-w.sent
	submit(c, "b")
	<-w.sent
	third, _ := submit(c, "c")
	require.Equal(t, "refused", <-third.answers)
	require.EqualValues(t, 2, counters.Get("requests_refused_at_the_door"))
	require.EqualValues(t, 1, counters.Get("requests_duplicate"))
}

// A name may be used by anybody: a copy of a request that workers reject must not take the place of the real one, which
// may come later, nor may two of one name be out together, nor the second run where the first may have.
func TestARequestWaitsForTheOneOfItsName(t *testing.T) {
	never := []logic.Status{logic.Rejected, logic.Full, logic.ConnectFailed}
	mayHave := []logic.Status{logic.ServerError, logic.ConnectionReset, logic.Cancelled, logic.TimedOut}
	start := func(t *testing.T) (c *Core, w *wires, first Sink, second caller, ticket Ticket) {
		w = newWires()
		c, _ = run(t, sendAll(make(chan logic.Event, 8)), w)
		submit(c, "a")
		first = <-w.sent
		second, ticket = submit(c, "a")
		return
	}
	for _, s := range never {
		t.Run("goes on after "+statusNames[s], func(t *testing.T) {
			c, w, first, second, _ := start(t)
			first.Ended(Outcome{Status: s})
			(<-w.sent).Started(text{eof{}})
			require.Equal(t, "stream", <-second.answers)
			require.Equal(t, 1, c.Open())
		})
	}
	for _, s := range mayHave {
		t.Run("fails after "+statusNames[s], func(t *testing.T) {
			c, w, first, second, ticket := start(t)
			first.Ended(Outcome{Status: s})
			require.Equal(t, "failed", <-second.answers)
			armed := make(chan bool)
			c.post(func() { armed <- ticket.ex.turn.Stop() })
			require.False(t, <-armed, "a timer holds the request still")
			require.Eventually(t, func() bool { return c.Open() == 0 }, time.Minute, time.Millisecond)
			require.Empty(t, w.sent)
		})
	}
	t.Run("goes on once what was held is let go of", func(t *testing.T) {
		w := newWires()
		w.taken = make(chan struct{})
		ended := make(chan logic.Event, 8)
		c, _ := run(t, sendAll(ended), w)
		submit(c, "a")
		first := <-w.sent
		submit(c, "a")
		first.Ended(Outcome{Status: logic.Full})
		<-ended
		<-w.released
		c.post(func() {}) // what the end brought about has been done
		seen := make(chan int)
		c.post(func() { seen <- len(w.sent) })
		require.Zero(t, <-seen, "its read could be overtaken by the release")
		w.taken <- struct{}{}
		<-w.sent
	})
	t.Run("fails once the first is answered", func(t *testing.T) {
		c, w, first, second, _ := start(t)
		first.Started(text{eof{}})
		require.Equal(t, "failed", <-second.answers)
		third, _ := submit(c, "a")
		require.Equal(t, "failed", <-third.answers)
		require.Empty(t, w.sent)
	})
	t.Run("fails when its time is up", func(t *testing.T) {
		w := newWires()
		c, _ := run(t, sendAll(make(chan logic.Event, 8)), w)
		submit(c, "a")
		<-w.sent
		second := caller{make(chan string, 4)}
		c.Submit(&Request{Name: "a", Received: time.Now(), Request: logic.Request{Patience: 50 * time.Millisecond}}, second)
		require.Equal(t, "failed", <-second.answers)
		require.Empty(t, w.sent)
	})
	t.Run("fails at once where too many wait", func(t *testing.T) {
		w, counters := newWires(), &metrics.Set{}
		c := New(Config{Decider: sendAll(make(chan logic.Event, 8)), Transport: w, Counters: counters})
		ctx, cancel := context.WithCancel(context.Background())
		go c.Run(ctx)
		t.Cleanup(func() { cancel(); <-c.stopped })
		c.Discovered([]Member{{Member: logic.Member{Server: 5}, Name: "s", Addr: "x:1"}}, true)
		submit(c, "a")
		<-w.sent
		for range mostBehind {
			submit(c, "a")
		}
		more, _ := submit(c, "a")
		require.Equal(t, "failed", <-more.answers)
		require.Equal(t, 1+mostBehind, c.Open())
	})
	t.Run("leaves with its client", func(t *testing.T) {
		c, w, first, second, ticket := start(t)
		ticket.Leave()
		require.Eventually(t, func() bool { return c.Open() == 1 }, time.Minute, time.Millisecond)
		first.Ended(Outcome{Status: logic.Rejected})
		require.Eventually(t, func() bool { return c.Open() == 0 }, time.Minute, time.Millisecond)
		require.Empty(t, w.sent)
		require.Empty(t, second.answers)
	})
}

func TestSendToALeavingWorkerNeverHappens(t *testing.T) {
	ended, w := make(chan logic.Event, 4), newWires()
	c, _ := run(t, sendAll(ended), w)
	c.Discovered([]Member{{Member: logic.Member{Server: 5, Health: logic.Draining}, Name: "s", Addr: "x:1"}}, false)
	submit(c, "a")
	require.Equal(t, logic.Full, (<-ended).Status)
	require.Empty(t, w.sent)
}

func TestRelayTellsHowAnAnswerEnded(t *testing.T) {
	for _, tc := range []struct {
		read io.Reader
		want logic.Status
	}{{eof{}, logic.Served}, {broken{}, logic.ConnectionReset}} {
		ended, w := make(chan logic.Event, 4), newWires()
		c, _ := run(t, sendAll(ended), w)
		got := make(chan Answer, 1)
		c.Submit(&Request{Name: "a", Received: time.Now()}, streams{got})
		(<-w.sent).Started(text{tc.read})
		_, _ = io.ReadAll(<-got)
		e := <-ended
		require.Equal(t, tc.want, e.Status)
		require.True(t, e.Closed)
	}
}

type streams struct{ got chan Answer }

func (s streams) Stream(a Answer)                  { s.got <- a }
func (streams) Refuse(time.Duration, logic.Status) {}
func (streams) Fail(logic.Status)                  {}

type eof struct{}

func (eof) Read([]byte) (int, error) { return 0, io.EOF }

type broken struct{}

func (broken) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// allow is a permit that notes what it was asked.
type allow struct {
	repeats chan bool
	say     []Allowance
}

func (a *allow) Allow(_ *Worker, repeat bool) Allowance {
	a.repeats <- repeat
	say := a.say[0]
	a.say = a.say[1:]
	return say
}

// A permit is asked before each attempt, and told which of them follow a failed one: a write after its read does not.
// What may not go to one worker has not run there; what may not go again ends as its last attempt left it.
func TestPermitIsAskedBeforeEachAttempt(t *testing.T) {
	w, p := newWires(), &allow{make(chan bool, 8), []Allowance{NotThere, MayGo, MayGo, NotAgain}}
	counters := &metrics.Set{}
	ended := make(chan logic.Event, 8)
	c := New(Config{Decider: decide(func(e logic.Event) []logic.Action {
		switch e.Kind {
		case logic.Arrived:
			return []logic.Action{{Kind: logic.Send, ID: e.Request.ID, Server: 5, After: time.Hour}}
		case logic.AttemptEnded:
			ended <- e
			if e.Status != logic.NotSent {
				return []logic.Action{{Kind: logic.Send, ID: e.ID, Server: 5, After: time.Hour}}
			}
			return []logic.Action{{Kind: logic.Fail, ID: e.ID}}
		}
		return nil
	}), Transport: w, Permit: p, Counters: counters, MaxOpen: 2})
	ctx, cancel := context.WithCancel(context.Background())
	go c.Run(ctx)
	t.Cleanup(func() { cancel(); <-c.stopped })
	c.Discovered([]Member{{Member: logic.Member{Server: 5}, Name: "s", Addr: "x:1"}}, true)
	who := caller{make(chan string, 4)}
	lasts := make(chan logic.Status, 1)
	c.Submit(&Request{Name: "a", Received: time.Now(), Request: logic.Request{Patience: time.Minute}}, failed{who, lasts})
	(<-w.sent).Ended(Outcome{Status: logic.PromptRead})
	(<-w.sent).Ended(Outcome{Status: logic.ConnectionReset})
	require.Equal(t, "failed", <-who.answers)
	require.Equal(t, logic.ConnectionReset, <-lasts, "as its last attempt left it")
	for i, want := range []logic.Status{logic.Full, logic.PromptRead, logic.ConnectionReset, logic.NotSent} {
		require.Equal(t, want, (<-ended).Status, "attempt %d", i)
	}
	for i, want := range []bool{false, true, false, true} {
		require.Equal(t, want, <-p.repeats, "attempt %d", i)
	}
	require.Empty(t, w.sent, "what may not go is not sent")
}

type failed struct {
	caller
	lasts chan logic.Status
}

func (f failed) Fail(last logic.Status) {
	f.lasts <- last
	f.caller.Fail(last)
}

// What was given up is out until its worker knows: nothing is sent again or refused before that. Its client may leave
// meanwhile, and the time that it took is that up to its end.
func TestNothingFollowsUntilTheWorkerKnows(t *testing.T) {
	const wait = 10 * time.Millisecond
	w := newWires()
	ended := make(chan logic.Event, 8)
	tries := 0
	c, _ := run(t, func(e logic.Event) []logic.Action {
		switch e.Kind {
		case logic.Arrived:
			w.known = make(chan struct{})
			return []logic.Action{{Kind: logic.Send, ID: e.Request.ID, Server: 5, After: wait}}
		case logic.AttemptEnded:
			ended <- e
			if tries++; tries == 1 {
				w.known = make(chan struct{})
				return []logic.Action{{Kind: logic.Send, ID: e.ID, Server: 5, After: wait}}
			}
			return []logic.Action{{Kind: logic.Refuse, ID: e.ID}}
		}
		return nil
	}, w)
	// nothing follows for a while; where it would at once, the core has had its time
	nothing := func(who caller) {
		time.Sleep(5 * wait)
		require.Empty(t, ended)
		require.Empty(t, w.sent)
		require.Empty(t, who.answers)
	}
	from := time.Now()
	who, _ := submit(c, "a")
	<-w.sent
	<-w.gaveUp
	took := time.Since(from)
	nothing(who)
	close(w.known)
	<-w.sent
	require.LessOrEqual(t, (<-ended).Latency, took)
	<-w.gaveUp
	nothing(who)
	close(w.known)
	require.Equal(t, "refused", <-who.answers)
	<-ended

	who, ticket := submit(c, "b")
	<-w.sent
	<-w.gaveUp
	ticket.Leave()
	nothing(who)
	require.Equal(t, 1, c.Open())
	close(w.known)
	require.Eventually(t, func() bool { return c.Open() == 0 }, time.Minute, time.Millisecond)
	require.Empty(t, w.sent)
}

// What no worker has taken is let go of again and again, until one takes it; not once the request is sent elsewhere, whose state
// it would take away.
func TestAReleaseThatNobodyTakesIsMadeAgain(t *testing.T) {
	for _, again := range []bool{false, true} {
		w := newWires()
		w.refuse.Store(2)
		c, counters := run(t, func(e logic.Event) []logic.Action {
			switch e.Kind {
			case logic.Arrived:
				return []logic.Action{{Kind: logic.Send, ID: e.Request.ID, Server: 5, After: time.Hour}}
			case logic.AttemptEnded:
				acts := []logic.Action{{Kind: logic.Release, ID: e.ID}}
				if again {
					return append(acts, logic.Action{Kind: logic.Send, ID: e.ID, Server: 5, After: time.Hour})
				}
				return append(acts, logic.Action{Kind: logic.Refuse, ID: e.ID})
			}
			return nil
		}, w)
		submit(c, "a")
		(<-w.sent).Ended(Outcome{Status: logic.Full})
		if again {
			<-w.sent
			time.Sleep(2 * releaseRetryAfter)
			require.Len(t, w.released, 1)
			continue
		}
		for range 3 {
			require.Equal(t, "a", <-w.released)
		}
		time.Sleep(2 * releaseRetryAfter)
		require.Empty(t, w.released, "it has been taken")
		require.EqualValues(t, 2, counters.Get("releases_made_again"))
	}
}

// slowStart is a transport whose answer has begun before the core gets to anything else, also to the end of the attempt's time.
type slowStart struct{ *wires }

func (w slowStart) Send(a Attempt, s Sink) func() <-chan struct{} {
	giveUp := w.wires.Send(a, s)
	s.Started(text{strings.NewReader("")})
	time.Sleep(20 * a.Wait) // the core is busy meanwhile
	return giveUp
}

// An answer that has begun belongs to the client: the end of its attempt's time, noted behind it, ends nothing any more.
func TestTheTimeOfAnAttemptDoesNotEndItsAnswer(t *testing.T) {
	ended, w := make(chan logic.Event, 4), newWires()
	c := New(Config{Decider: decide(func(e logic.Event) []logic.Action {
		switch e.Kind {
		case logic.Arrived:
			return []logic.Action{{Kind: logic.Send, ID: e.Request.ID, Server: 5, After: 10 * time.Millisecond}}
		case logic.AttemptEnded:
			ended <- e
		}
		return nil
	}), Transport: slowStart{w}, Counters: &metrics.Set{}, Settings: logic.Settings{MaxAttempts: 3}, MaxOpen: 2})
	ctx, cancel := context.WithCancel(context.Background())
	go c.Run(ctx)
	t.Cleanup(func() { cancel(); <-c.stopped })
	c.Discovered([]Member{{Member: logic.Member{Server: 5}, Name: "s", Addr: "x:1"}}, true)
	who, _ := submit(c, "a")
	require.Equal(t, "stream", <-who.answers)
	sink := <-w.sent
	sink.Ended(Outcome{Status: logic.Served})
	require.Equal(t, logic.Served, (<-ended).Status)
	require.Empty(t, w.gaveUp)
}

// An attempt that waits behind a release which nobody takes has not been sent: called off, or its time over, it never ran and its
// worker was not asked.
func TestAnAttemptThatWaitedBehindAReleaseNeverRan(t *testing.T) {
	for name, wait := range map[string]time.Duration{"called off": time.Hour, "its time over": time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			w := newWires()
			w.taken = make(chan struct{})
			t.Cleanup(func() { close(w.taken) })
			ended := make(chan logic.Event, 4)
			c, counters := run(t, func(e logic.Event) []logic.Action {
				switch e.Kind {
				case logic.Arrived:
					return []logic.Action{{Kind: logic.Release, ID: e.Request.ID}, {Kind: logic.Send, ID: e.Request.ID, Server: 5, After: wait},
						{Kind: logic.SetTimer, Token: uint64(e.Request.ID), After: time.Millisecond}}
				case logic.TimerFired:
					return []logic.Action{{Kind: logic.CallOff, ID: logic.RequestID(e.Token), Attempt: 0}}
				case logic.AttemptEnded:
					ended <- e
					return []logic.Action{{Kind: logic.Refuse, ID: e.ID}}
				}
				return nil
			}, w)
			who, _ := submit(c, "a")
			e := <-ended
			require.Equal(t, logic.Full, e.Status)
			require.True(t, e.Unreached)
			require.Equal(t, "refused", <-who.answers)
			require.Empty(t, w.sent)
			require.Zero(t, counters.Get("rule_violations"))
		})
	}
}
