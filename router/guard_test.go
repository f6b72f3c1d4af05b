package router

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lichenshelf/logic"
	"lichenshelf/metrics"
)

// runGuarded starts a core with one worker, whose only class must not run twice.
func runGuarded(t *testing.T, d deciderFunc) (*Core, *fakeTransport, *metrics.Set) {
	w, counters := newFakeTransport(), &metrics.Set{}
	c := New(Config{Decider: d, Transport: w, Counters: counters, MaxOpen: 9,
		Settings: logic.Settings{Classes: []logic.Class{{Effect: logic.EffectOnce}}, MaxAttempts: 3, ReleaseWithin: time.Millisecond}})
	ctx, cancel := context.WithCancel(context.Background())
	go c.Run(ctx)
	t.Cleanup(func() { cancel(); <-c.stopped })
	c.Discovered([]Member{{Member: logic.Member{Server: 5}, Name: "s", Addr: "x:1"}}, true)
	return c, w, counters
}

// A faulty decider can neither send a request twice that must not run twice, nor promise that
// repeating it is harmless.
func TestFaultyDeciderActionsAreBlocked(t *testing.T) {
	ended := 0
	c, w, counters := runGuarded(t, func(e logic.Event) []logic.Action {
		switch e.Kind {
		case logic.Arrived:
			return []logic.Action{{Kind: logic.Send, ID: e.Request.ID, Server: 5, After: time.Minute}}
		case logic.AttemptEnded:
			if ended++; ended == 1 {
				return []logic.Action{{Kind: logic.Send, ID: e.ID, Server: 5, After: time.Minute}}
			}
			return []logic.Action{{Kind: logic.Refuse, ID: e.ID, Why: logic.WhyQueue}}
		}
		return nil
	})
	client, _ := submit(c, "a")
	(<-w.sent).Ended(Outcome{Status: logic.ConnectionReset})
	require.Equal(t, "failed", <-client.answers)
	require.Empty(t, w.sent)
	require.Equal(t, int64(1), counters.Get("attempts_sent"))
	require.Equal(t, int64(2), counters.Get("rule_violations_ran_already"), "one send, one refusal")
	require.Equal(t, int64(2), counters.Get("rule_violations"))
	require.Equal(t, int64(1), counters.Get("failed_queue"))
}

// A request that remains unanswered is counted as a violation.
func TestUnansweredRequestIsCounted(t *testing.T) {
	c, _, counters := runGuarded(t, func(logic.Event) []logic.Action { return nil })
	client := fakeClient{make(chan string, 4)}
	c.Submit(&Request{Name: "a", Received: time.Now().Add(-time.Second)}, client)
	require.Eventually(t, func() bool { return counters.Get("rule_violations_never_answered") == 1 }, 10*time.Second, time.Millisecond)
	require.Empty(t, client.answers)
}

// A read state that is sent on too late is counted, and so is an attempt that began long after its
// client had left.
func TestLateActsAreCounted(t *testing.T) {
	c, w, counters := runGuarded(t, func(e logic.Event) []logic.Action {
		switch e.Kind {
		case logic.Arrived:
			return []logic.Action{{Kind: logic.Send, ID: e.Request.ID, Server: 5, After: time.Minute}}
		case logic.AttemptEnded:
			if e.Status == logic.PromptRead {
				return []logic.Action{{Kind: logic.SetTimer, After: 400 * time.Millisecond, Token: uint64(e.ID)}}
			}
		case logic.TimerFired:
			return []logic.Action{{Kind: logic.Send, ID: logic.RequestID(e.Token), Server: 5, After: time.Minute}}
		}
		return nil
	})
	_, ticket := submit(c, "a")
	(<-w.sent).Ended(Outcome{Status: logic.PromptRead})
	<-w.sent
	require.Equal(t, int64(1), counters.Get("rule_violations_held_too_long"))
	c.post(func() { c.completion.clientLeft(ticket.ex, time.Now().Add(-time.Second)) })
	require.Eventually(t, func() bool { return counters.Get("rule_violations_gone_too_long") == 1 }, 10*time.Second, time.Millisecond)
}
