package router

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"lichenshelf/logic"
	"lichenshelf/metrics"
)

// runLogging starts a core whose decider sends each request once and refuses it when its attempt
// ends.
func runLogging(t *testing.T) (*Core, *fakeTransport, *logtest.Hook) {
	log, lines := logtest.NewNullLogger()
	w := newFakeTransport()
	c := New(Config{Decider: sendAll(make(chan logic.Event, 1000)), Transport: w, Counters: &metrics.Set{}, Settings: logic.Settings{MaxAttempts: 3}, Log: log})
	ctx, cancel := context.WithCancel(context.Background())
	go c.Run(ctx)
	t.Cleanup(func() { cancel(); <-c.stopped })
	c.Discovered([]Member{{Member: logic.Member{Server: 5}, Name: "s-5", Addr: "x:1"}}, true)
	return c, w, lines
}

// A request that failed is logged in one line at the default level, one that succeeded is not.
func TestFailedRequestIsLoggedWithItsSteps(t *testing.T) {
	c, w, lines := runLogging(t)
	client, _ := submit(c, "well")
	(<-w.sent).Started(fakeAnswer{})
	require.Equal(t, "stream", <-client.answers)

	client, _ = submit(c, "wrong")
	sink := <-w.sent
	sink.Written(Written{At: time.Now(), Port: 40312, Reused: true, Bytes: 423})
	sink.Ended(Outcome{Status: logic.ConnectionReset, Cause: errors.New("connection reset by peer")})
	require.Equal(t, "refused", <-client.answers)
	require.Eventually(t, func() bool { return len(lines.AllEntries()) > 0 }, time.Minute, time.Millisecond)
	line := lines.LastEntry()
	require.Equal(t, logrus.WarnLevel, line.Level)
	require.Equal(t, "wrong", line.Data["request"])
	steps := line.Data["steps"].(string)
	for _, want := range []string{"send 0 to s-5, for 3", "written 0 to s-5, 423 bytes on kept connection 40312",
		"ended 0 at s-5: reset (connection reset by peer)", "refused: none", "release requested"} {
		require.Contains(t, steps, want)
	}
	require.Len(t, lines.AllEntries(), 1)
}

// The log lines on failed requests are bounded, and the next line reports how many were suppressed.
func TestRequestLogIsBounded(t *testing.T) {
	log, lines := logtest.NewNullLogger()
	began := time.Now()
	l := newHistoryLog(log)
	wrong := func(kind stepKind) *exchange {
		ex := &exchange{Request: &Request{Received: time.Now()}}
		for range 2 * maxSteps {
			ex.history.add(step{kind: kind})
		}
		return ex
	}
	for range 10 * failureLinesBurst {
		l.write(wrong(stepFailed))
		l.write(wrong(stepRefused))
	}
	const burst, perSecond = failureLinesBurst + refusedLinesBurst, failureLinesPerSecond + refusedLinesPerSecond
	require.GreaterOrEqual(t, len(lines.AllEntries()), burst)
	require.LessOrEqual(t, float64(len(lines.AllEntries())), burst+perSecond*time.Since(began).Seconds())
	require.Contains(t, lines.LastEntry().Data["steps"], fmt.Sprintf("and %d more", maxSteps))
	require.Positive(t, l.suppressed)
	l.failures.SetBurst(1 << 20)
	l.failures.SetLimit(1 << 20)
	time.Sleep(time.Millisecond)
	l.write(wrong(stepFailed))
	require.Positive(t, lines.LastEntry().Data["suppressed"])
	require.Zero(t, l.suppressed)
}
