package router

import (
	"context"
	"errors"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"lichenshelf/logic"
	"lichenshelf/metrics"
	"lichenshelf/router/rules"
)

// deciderFunc is a decider made of a function that handles single events.
type deciderFunc func(logic.Event) []logic.Action

func (d deciderFunc) Handle(_ logic.Time, events []logic.Event, actions []logic.Action) []logic.Action {
	for _, e := range events {
		actions = append(actions, d(e)...)
	}
	return actions
}

// fakeTransport is a transport that only records its calls.
type fakeTransport struct {
	sent         chan Sink
	cancelled    chan struct{}
	released     chan string
	releaseTaken chan struct{} // releases end only when this can be received from, if it is set
	refuse       atomic.Int64  // number of further releases that no worker accepts
	acknowledged chan struct{} // closed when workers have noticed a cancellation; nil means at once
}

func newFakeTransport() *fakeTransport {
	return &fakeTransport{sent: make(chan Sink, 16), cancelled: make(chan struct{}, 16), released: make(chan string, 16)}
}

func (w *fakeTransport) Send(_ Attempt, s Sink) func() <-chan struct{} {
	w.sent <- s
	return sync.OnceValue(func() <-chan struct{} { w.cancelled <- struct{}{}; return w.acknowledged })
}
func (w *fakeTransport) Release(name string, _ []*Worker, done func(*Worker, error)) {
	w.released <- name
	go func() {
		if w.releaseTaken != nil {
			<-w.releaseTaken
		}
		if w.refuse.Add(-1) >= 0 {
			done(nil, errors.New("nobody"))
			return
		}
		done(nil, nil)
	}()
}
func (w *fakeTransport) Forget(*Worker) {}

// fakeClient records its answers.
type fakeClient struct{ answers chan string }

func (c fakeClient) Stream(Answer)                      { c.answers <- "stream" }
func (c fakeClient) Refuse(time.Duration, logic.Status) { c.answers <- "refused" }
func (c fakeClient) Fail(logic.Status)                  { c.answers <- "failed" }

type fakeAnswer struct{ io.Reader }

func (fakeAnswer) Close() error     { return nil }
func (fakeAnswer) Head() any        { return nil }
func (fakeAnswer) Kept() uint32     { return 7 }
func (fakeAnswer) Load() logic.Load { return logic.Load{} }

func run(t *testing.T, d deciderFunc, w *fakeTransport) (*Core, *metrics.Set) {
	return runWith(t, d, w, logic.Settings{MaxAttempts: 3})
}

func runWith(t *testing.T, d deciderFunc, w *fakeTransport, settings logic.Settings) (*Core, *metrics.Set) {
	counters := &metrics.Set{}
	c := New(Config{Decider: d, Transport: w, Counters: counters, Settings: settings, MaxOpen: 2})
	ctx, cancel := context.WithCancel(context.Background())
	go c.Run(ctx)
	t.Cleanup(func() { cancel(); <-c.stopped })
	c.Discovered([]Member{{Member: logic.Member{Server: 5}, Name: "s", Addr: "x:1"}}, true)
	return c, counters
}

func submit(c *Core, name string) (fakeClient, Ticket) {
	client := fakeClient{make(chan string, 4)}
	return client, c.Submit(&Request{Name: name, Received: time.Now(), Request: logic.Request{Patience: time.Minute}}, client)
}

// sendAll sends each request on arrival. When an attempt ends, it refuses the request and releases
// its state.
func sendAll(ended chan<- logic.Event) deciderFunc {
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

func TestAnswerAfterAttemptEndIsIgnored(t *testing.T) {
	ended, w := make(chan logic.Event, 4), newFakeTransport()
	c, _ := run(t, sendAll(ended), w)
	client, _ := submit(c, "a")
	sink := <-w.sent
	sink.Ended(Outcome{Status: logic.ServerError})
	sink.Started(fakeAnswer{})
	sink.Ended(Outcome{Status: logic.Served})
	require.Equal(t, "refused", <-client.answers)
	require.Equal(t, logic.ServerError, (<-ended).Status)
	require.Eventually(t, func() bool { return c.Open() == 0 }, time.Minute, time.Millisecond)
	require.Empty(t, client.answers, "one final answer only")
	require.Empty(t, ended)
}

// A read can complete just as it is cut off. The first release may overtake its completion, so a
// second one must follow.
func TestCutOffReadIsReleasedTwice(t *testing.T) {
	ended, w := make(chan logic.Event, 4), newFakeTransport()
	c, _ := run(t, sendAll(ended), w)
	submit(c, "a")
	(<-w.sent).Ended(Outcome{Status: logic.ConnectionReset})
	require.Equal(t, "a", <-w.released)
	require.Equal(t, "a", <-w.released)
}

// A release uses a connection of its own. If the next read overtakes the release, the release
// removes the state of that read, and the writer turns the request away.
func TestSendWaitsForEarlierRelease(t *testing.T) {
	w := newFakeTransport()
	w.releaseTaken = make(chan struct{})
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
	close(w.releaseTaken)
	<-w.sent
}

// Guards against a repeat that was decided within the window of its class or before a drain, waits
// for a release, and is sent after that (review case 2).
func TestAttemptThatWaitedForReleaseIsCheckedAgain(t *testing.T) {
	const window = 2 * time.Second
	for name, c := range map[string]struct {
		waits  time.Duration
		drains bool
		sent   bool
	}{
		"in its window":   {waits: window - time.Millisecond, sent: true},
		"window over":     {waits: window + time.Millisecond},
		"worker draining": {drains: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newFakeTransport()
				w.releaseTaken = make(chan struct{})
				ended := make(chan logic.Event, 2)
				core, counters := runWith(t, func(e logic.Event) []logic.Action {
					send := logic.Action{Kind: logic.Send, ID: max(e.ID, e.Request.ID), Server: 5, After: time.Hour}
					switch {
					case e.Kind == logic.Arrived:
						return []logic.Action{send}
					case e.Kind != logic.AttemptEnded:
						return nil
					}
					ended <- e
					if e.Attempt > 0 {
						return []logic.Action{{Kind: logic.Refuse, ID: e.ID}}
					}
					return []logic.Action{{Kind: logic.Release, ID: e.ID}, send}
				}, w, logic.Settings{MaxAttempts: 3, Classes: []logic.Class{{Effect: logic.EffectByKey, RepeatWindow: window}}})
				client, _ := submit(core, "a")
				(<-w.sent).Ended(Outcome{Status: logic.ConnectionReset})
				<-ended
				synctest.Wait() // the repeat waits for the release
				if c.drains {
					core.Discovered([]Member{{Member: logic.Member{Server: 5, Health: logic.Draining}, Name: "s", Addr: "x:1"}}, false)
				}
				time.Sleep(c.waits)
				close(w.releaseTaken)
				synctest.Wait()
				if c.sent {
					require.Len(t, w.sent, 1)
					return
				}
				require.Empty(t, w.sent)
				e := <-ended
				require.Equal(t, logic.Full, e.Status)
				require.True(t, e.Unreached)
				require.Equal(t, "refused", <-client.answers)
				require.EqualValues(t, 1, counters.Get("attempts_withdrawn"))
				require.Zero(t, counters.Get("rule_violations"), "time has passed, which is no fault of the decider")
			})
		})
	}
}

// The guard must report a repeat that a transport has sent after the window of its class.
func TestRepeatWrittenAfterItsWindowIsAViolation(t *testing.T) {
	for late, violations := range map[time.Duration]int64{rules.SendSlack: 0, rules.SendSlack + time.Millisecond: 1} {
		synctest.Test(t, func(t *testing.T) {
			const window = time.Second
			w := newFakeTransport()
			core, counters := runWith(t, func(e logic.Event) []logic.Action {
				if e.Kind == logic.Arrived || e.Kind == logic.AttemptEnded && e.Attempt == 0 {
					return []logic.Action{{Kind: logic.Send, ID: max(e.ID, e.Request.ID), Server: 5, After: time.Hour}}
				}
				return nil
			}, w, logic.Settings{MaxAttempts: 3, Classes: []logic.Class{{Effect: logic.EffectByKey, RepeatWindow: window}}})
			submit(core, "a")
			(<-w.sent).Ended(Outcome{Status: logic.ConnectionReset})
			repeat := <-w.sent
			time.Sleep(window + late)
			repeat.Written(Written{At: time.Now()})
			repeat.Ended(Outcome{Status: logic.ServerError})
			synctest.Wait()
			require.Equal(t, violations, counters.Get("rule_violations_window_over"), late)
		})
	}
}

func TestClientLeavingCancelsAttemptAndReleases(t *testing.T) {
	ended, w := make(chan logic.Event, 4), newFakeTransport()
	c, _ := run(t, sendAll(ended), w)
	client, ticket := submit(c, "a")
	<-w.sent
	ticket.Leave()
	<-w.cancelled
	e := <-ended
	require.Equal(t, logic.Cancelled, e.Status)
	require.True(t, e.Closed)
	require.Equal(t, "a", <-w.released)
	require.Empty(t, client.answers, "the client has left")
}

func TestOpenRequestsAreBoundedAndNamesUnique(t *testing.T) {
	w := newFakeTransport()
	c, counters := run(t, sendAll(make(chan logic.Event, 4)), w)
	submit(c, "a")
	first := <-w.sent
	again, _ := submit(c, "a")
	refused, _ := submit(c, "b") // a request that waits for another of its name counts as open
	require.Equal(t, "refused", <-refused.answers)
	require.Empty(t, w.sent, "two requests of one name are in flight")
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

// Any client may use a name. A copy of a request that workers reject must not displace the real
// one, which may arrive later. Two requests of one name must not be in flight together, nor may the
// second run where the first may have run.
func TestRequestsOfOneNameAreQueued(t *testing.T) {
	never := []logic.Status{logic.Rejected, logic.Full, logic.ConnectFailed}
	mayHave := []logic.Status{logic.ServerError, logic.ConnectionReset, logic.Cancelled, logic.TimedOut}
	start := func(t *testing.T) (c *Core, w *fakeTransport, first Sink, second fakeClient, ticket Ticket) {
		w = newFakeTransport()
		c, _ = run(t, sendAll(make(chan logic.Event, 8)), w)
		submit(c, "a")
		first = <-w.sent
		second, ticket = submit(c, "a")
		return
	}
	for _, s := range never {
		t.Run("proceeds after "+statusNames[s], func(t *testing.T) {
			c, w, first, second, _ := start(t)
			first.Ended(Outcome{Status: s})
			(<-w.sent).Started(fakeAnswer{eof{}})
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
			c.post(func() { armed <- ticket.ex.queueTimer.Stop() })
			require.False(t, <-armed, "a timer still retains the request")
			require.Eventually(t, func() bool { return c.Open() == 0 }, time.Minute, time.Millisecond)
			require.Empty(t, w.sent)
		})
	}
	t.Run("proceeds once the held state is released", func(t *testing.T) {
		w := newFakeTransport()
		w.releaseTaken = make(chan struct{})
		ended := make(chan logic.Event, 8)
		c, _ := run(t, sendAll(ended), w)
		submit(c, "a")
		first := <-w.sent
		submit(c, "a")
		first.Ended(Outcome{Status: logic.Full})
		<-ended
		<-w.released
		c.post(func() {}) // all effects of the end have been processed
		seen := make(chan int)
		c.post(func() { seen <- len(w.sent) })
		require.Zero(t, <-seen, "the release could overtake its read")
		w.releaseTaken <- struct{}{}
		<-w.sent
	})
	t.Run("fails once the first is answered", func(t *testing.T) {
		c, w, first, second, _ := start(t)
		first.Started(fakeAnswer{eof{}})
		require.Equal(t, "failed", <-second.answers)
		third, _ := submit(c, "a")
		require.Equal(t, "failed", <-third.answers)
		require.Empty(t, w.sent)
	})
	t.Run("fails when its time is over", func(t *testing.T) {
		w := newFakeTransport()
		c, _ := run(t, sendAll(make(chan logic.Event, 8)), w)
		submit(c, "a")
		<-w.sent
		second := fakeClient{make(chan string, 4)}
		c.Submit(&Request{Name: "a", Received: time.Now(), Request: logic.Request{Patience: 50 * time.Millisecond}}, second)
		require.Equal(t, "failed", <-second.answers)
		require.Empty(t, w.sent)
	})
	t.Run("fails at once where too many are queued", func(t *testing.T) {
		w, counters := newFakeTransport(), &metrics.Set{}
		c := New(Config{Decider: sendAll(make(chan logic.Event, 8)), Transport: w, Counters: counters})
		ctx, cancel := context.WithCancel(context.Background())
		go c.Run(ctx)
		t.Cleanup(func() { cancel(); <-c.stopped })
		c.Discovered([]Member{{Member: logic.Member{Server: 5}, Name: "s", Addr: "x:1"}}, true)
		submit(c, "a")
		<-w.sent
		for range maxQueuedPerName {
			submit(c, "a")
		}
		more, _ := submit(c, "a")
		require.Equal(t, "failed", <-more.answers)
		require.Equal(t, 1+maxQueuedPerName, c.Open())
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
	ended, w := make(chan logic.Event, 4), newFakeTransport()
	c, _ := run(t, sendAll(ended), w)
	c.Discovered([]Member{{Member: logic.Member{Server: 5, Health: logic.Draining}, Name: "s", Addr: "x:1"}}, false)
	submit(c, "a")
	require.Equal(t, logic.Full, (<-ended).Status)
	require.Empty(t, w.sent)
}

func TestRelayReportsHowAnswerEnded(t *testing.T) {
	for _, tc := range []struct {
		read io.Reader
		want logic.Status
	}{{eof{}, logic.Served}, {broken{}, logic.ConnectionReset}} {
		ended, w := make(chan logic.Event, 4), newFakeTransport()
		c, _ := run(t, sendAll(ended), w)
		got := make(chan Answer, 1)
		c.Submit(&Request{Name: "a", Received: time.Now()}, streamClient{got})
		(<-w.sent).Started(fakeAnswer{tc.read})
		_, _ = io.ReadAll(<-got)
		e := <-ended
		require.Equal(t, tc.want, e.Status)
		require.True(t, e.Closed)
	}
}

type streamClient struct{ got chan Answer }

func (s streamClient) Stream(a Answer)                  { s.got <- a }
func (streamClient) Refuse(time.Duration, logic.Status) {}
func (streamClient) Fail(logic.Status)                  {}

type eof struct{}

func (eof) Read([]byte) (int, error) { return 0, io.EOF }

type broken struct{}

func (broken) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// fakePermit is a permit that records the calls and returns prepared results.
type fakePermit struct {
	repeats chan bool
	results []Allowance
}

func (a *fakePermit) Allow(_ *Worker, repeat bool) Allowance {
	a.repeats <- repeat
	result := a.results[0]
	a.results = a.results[1:]
	return result
}

// The permit is asked before each attempt and informed which attempts follow a failed one; a write
// after its read does not. An attempt denied for one worker has not run there. A request that must
// not be repeated ends with the status of its last attempt.
func TestPermitIsAskedBeforeEachAttempt(t *testing.T) {
	w, p := newFakeTransport(), &fakePermit{make(chan bool, 8), []Allowance{WorkerDenied, AttemptAllowed, AttemptAllowed, RepeatDenied}}
	counters := &metrics.Set{}
	ended := make(chan logic.Event, 8)
	c := New(Config{Decider: deciderFunc(func(e logic.Event) []logic.Action {
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
	client := fakeClient{make(chan string, 4)}
	lasts := make(chan logic.Status, 1)
	c.Submit(&Request{Name: "a", Received: time.Now(), Request: logic.Request{Patience: time.Minute}}, failClient{client, lasts})
	(<-w.sent).Ended(Outcome{Status: logic.PromptRead})
	(<-w.sent).Ended(Outcome{Status: logic.ConnectionReset})
	require.Equal(t, "failed", <-client.answers)
	require.Equal(t, logic.ConnectionReset, <-lasts, "the status of its last attempt")
	for i, want := range []logic.Status{logic.Full, logic.PromptRead, logic.ConnectionReset, logic.NotSent} {
		require.Equal(t, want, (<-ended).Status, "attempt %d", i)
	}
	for i, want := range []bool{false, true, false, true} {
		require.Equal(t, want, <-p.repeats, "attempt %d", i)
	}
	require.Empty(t, w.sent, "a denied attempt is not sent")
}

type failClient struct {
	fakeClient
	lasts chan logic.Status
}

func (f failClient) Fail(last logic.Status) {
	f.lasts <- last
	f.fakeClient.Fail(last)
}

// A cancelled attempt is in flight until its worker has noticed the cancellation: nothing is
// repeated or refused before that. Its client may leave meanwhile, and the attempt's latency ends
// with the cancellation.
func TestNothingFollowsUntilCancelIsAcknowledged(t *testing.T) {
	const wait = 10 * time.Millisecond
	w := newFakeTransport()
	ended := make(chan logic.Event, 8)
	tries := 0
	c, _ := run(t, func(e logic.Event) []logic.Action {
		switch e.Kind {
		case logic.Arrived:
			w.acknowledged = make(chan struct{})
			return []logic.Action{{Kind: logic.Send, ID: e.Request.ID, Server: 5, After: wait}}
		case logic.AttemptEnded:
			ended <- e
			if tries++; tries == 1 {
				w.acknowledged = make(chan struct{})
				return []logic.Action{{Kind: logic.Send, ID: e.ID, Server: 5, After: wait}}
			}
			return []logic.Action{{Kind: logic.Refuse, ID: e.ID}}
		}
		return nil
	}, w)
	// requireNothing checks that nothing follows for a while, which is long enough for the core to
	// have acted.
	requireNothing := func(client fakeClient) {
		time.Sleep(5 * wait)
		require.Empty(t, ended)
		require.Empty(t, w.sent)
		require.Empty(t, client.answers)
	}
	from := time.Now()
	client, _ := submit(c, "a")
	<-w.sent
	<-w.cancelled
	took := time.Since(from)
	requireNothing(client)
	close(w.acknowledged)
	<-w.sent
	require.LessOrEqual(t, (<-ended).Latency, took)
	<-w.cancelled
	requireNothing(client)
	close(w.acknowledged)
	require.Equal(t, "refused", <-client.answers)
	<-ended

	client, ticket := submit(c, "b")
	<-w.sent
	<-w.cancelled
	ticket.Leave()
	requireNothing(client)
	require.Equal(t, 1, c.Open())
	close(w.acknowledged)
	require.Eventually(t, func() bool { return c.Open() == 0 }, time.Minute, time.Millisecond)
	require.Empty(t, w.sent)
}

// A release that no worker accepts is retried until one accepts it, unless the request has been
// sent again meanwhile, whose state the release would remove.
func TestFailedReleaseIsRetried(t *testing.T) {
	for _, again := range []bool{false, true} {
		w := newFakeTransport()
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
			time.Sleep(2 * releaseRetryDelay)
			require.Len(t, w.released, 1)
			continue
		}
		for range 3 {
			require.Equal(t, "a", <-w.released)
		}
		time.Sleep(2 * releaseRetryDelay)
		require.Empty(t, w.released, "a worker has accepted it")
		require.EqualValues(t, 2, counters.Get("releases_made_again"))
	}
}

// earlyStartTransport is a transport whose answer begins before the core processes anything else,
// including the attempt's time-out.
type earlyStartTransport struct{ *fakeTransport }

func (w earlyStartTransport) Send(a Attempt, s Sink) func() <-chan struct{} {
	cancel := w.fakeTransport.Send(a, s)
	s.Started(fakeAnswer{strings.NewReader("")})
	time.Sleep(20 * a.Wait) // the core is blocked meanwhile
	return cancel
}

// Once the answer has begun, the attempt's time-out, which is queued after it, must not end it.
func TestAttemptTimeoutDoesNotEndStartedAnswer(t *testing.T) {
	ended, w := make(chan logic.Event, 4), newFakeTransport()
	c := New(Config{Decider: deciderFunc(func(e logic.Event) []logic.Action {
		switch e.Kind {
		case logic.Arrived:
			return []logic.Action{{Kind: logic.Send, ID: e.Request.ID, Server: 5, After: 10 * time.Millisecond}}
		case logic.AttemptEnded:
			ended <- e
		}
		return nil
	}), Transport: earlyStartTransport{w}, Counters: &metrics.Set{}, Settings: logic.Settings{MaxAttempts: 3}, MaxOpen: 2})
	ctx, cancel := context.WithCancel(context.Background())
	go c.Run(ctx)
	t.Cleanup(func() { cancel(); <-c.stopped })
	c.Discovered([]Member{{Member: logic.Member{Server: 5}, Name: "s", Addr: "x:1"}}, true)
	client, _ := submit(c, "a")
	require.Equal(t, "stream", <-client.answers)
	sink := <-w.sent
	sink.Ended(Outcome{Status: logic.Served})
	require.Equal(t, logic.Served, (<-ended).Status)
	require.Empty(t, w.cancelled)
}

// An attempt that waits for a release has not been sent. If it is cancelled or times out, it never
// ran and its worker was not contacted.
func TestAttemptQueuedBehindReleaseNeverRan(t *testing.T) {
	for name, wait := range map[string]time.Duration{"cancelled": time.Hour, "timed out": time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			w := newFakeTransport()
			w.releaseTaken = make(chan struct{})
			t.Cleanup(func() { close(w.releaseTaken) })
			ended := make(chan logic.Event, 4)
			c, counters := run(t, func(e logic.Event) []logic.Action {
				switch e.Kind {
				case logic.Arrived:
					return []logic.Action{{Kind: logic.Release, ID: e.Request.ID}, {Kind: logic.Send, ID: e.Request.ID, Server: 5, After: wait},
						{Kind: logic.SetTimer, Token: uint64(e.Request.ID), After: time.Millisecond}}
				case logic.TimerFired:
					return []logic.Action{{Kind: logic.CancelAttempt, ID: logic.RequestID(e.Token), Attempt: 0}}
				case logic.AttemptEnded:
					ended <- e
					return []logic.Action{{Kind: logic.Refuse, ID: e.ID}}
				}
				return nil
			}, w)
			client, _ := submit(c, "a")
			e := <-ended
			require.Equal(t, logic.Full, e.Status)
			require.True(t, e.Unreached)
			require.Equal(t, "refused", <-client.answers)
			require.Empty(t, w.sent)
			require.Zero(t, counters.Get("rule_violations"))
		})
	}
}
