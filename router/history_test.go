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

// logging starts a core whose decider sends once, and answers what did not end well with a refusal.
func logging(t *testing.T) (*Core, *wires, *logtest.Hook) {
	log, lines := logtest.NewNullLogger()
	w := newWires()
	c := New(Config{Decider: sendAll(make(chan logic.Event, 1000)), Transport: w, Counters: &metrics.Set{}, Settings: logic.Settings{MaxAttempts: 3}, Log: log})
	ctx, cancel := context.WithCancel(context.Background())
	go c.Run(ctx)
	t.Cleanup(func() { cancel(); <-c.stopped })
	c.Discovered([]Member{{Member: logic.Member{Server: 5}, Name: "s-5", Addr: "x:1"}}, true)
	return c, w, lines
}

// What became of a request that went wrong stands in one line at the default level, and nothing of one that went well.
func TestARequestThatWentWrongIsLoggedWithItsSteps(t *testing.T) {
	c, w, lines := logging(t)
	who, _ := submit(c, "well")
	(<-w.sent).Started(text{})
	require.Equal(t, "stream", <-who.answers)

	who, _ = submit(c, "wrong")
	sink := <-w.sent
	sink.Written(Written{At: time.Now(), Port: 40312, Reused: true, Bytes: 423})
	sink.Ended(Outcome{Status: logic.ConnectionReset, Cause: errors.New("connection reset by peer")})
	require.Equal(t, "refused", <-who.answers)
	require.Eventually(t, func() bool { return len(lines.AllEntries()) > 0 }, time.Minute, time.Millisecond)
	line := lines.LastEntry()
	require.Equal(t, logrus.WarnLevel, line.Level)
	require.Equal(t, "wrong", line.Data["request"])
	steps := line.Data["steps"].(string)
	for _, want := range []string{"send 0 to s-5, for 3", "written 0 to s-5, 423 bytes on kept connection 40312",
		"ended 0 at s-5: reset (connection reset by peer)", "refused: none", "release asked"} {
		require.Contains(t, steps, want)
	}
	require.Len(t, lines.AllEntries(), 1)
}

// However many requests go wrong, what is logged of them is bounded, and the next line tells how many it stands for.
func TestWhatIsLoggedIsBounded(t *testing.T) {
	log, lines := logtest.NewNullLogger()
	l := newHistoryLog(log)
	wrong := func(kind stepKind) *exchange {
		ex := &exchange{Request: &Request{Received: time.Now()}}
		for range 2 * mostSteps {
			ex.history.add(step{kind: kind})
		}
		return ex
	}
	for range 10 * wrongLinesBurst {
		l.write(wrong(stepFailed))
		l.write(wrong(stepRefused))
	}
	require.InDelta(t, wrongLinesBurst+refusedLinesBurst, len(lines.AllEntries()), wrongLinesPerSecond)
	require.Contains(t, lines.LastEntry().Data["steps"], fmt.Sprintf("and %d more", mostSteps))
	require.Positive(t, l.suppressed)
	l.wrong.SetBurst(1 << 20)
	l.wrong.SetLimit(1 << 20)
	time.Sleep(time.Millisecond)
	l.write(wrong(stepFailed))
	require.Positive(t, lines.LastEntry().Data["suppressed"])
	require.Zero(t, l.suppressed)
}
