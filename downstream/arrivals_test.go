package downstream

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lichenshelf/metrics"
)

// All bytes are handed out once, in order, as having come when they came or up to mergeWithin before.
func TestArrivalsKeepTheirTimes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var a arrivals
		var times []time.Duration // by byte
		now := time.Duration(0)
		for range rapid.IntRange(1, 30).Draw(t, "reads") {
			now += time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * time.Millisecond
			n := rapid.IntRange(1, 9).Draw(t, "bytes")
			a = a.add(n, now)
			for range n {
				times = append(times, now)
			}
		}
		for len(times) > 0 {
			rest, n, at := a.take(rapid.IntRange(1, 12).Draw(t, "asked"))
			for _, came := range times[:n] {
				require.GreaterOrEqual(t, came, at)
				require.Less(t, came-at, mergeWithin)
			}
			a, times = rest, times[n:]
		}
		require.Empty(t, a)
	})
}

// The time of a request's arrival is no wall clock reading: a step of the clock would move what is left to its client.
func TestTheTimeOfArrivalIsMonotonic(t *testing.T) {
	came := make(chan time.Time, 1)
	_, url := serve(t, Config{Handler: func(c *Call) {
		_, release, ok := c.Body()
		if ok {
			defer release()
		}
		came <- c.Received
	}})
	post(t, url, 10)
	at := <-came
	require.Less(t, time.Since(at), time.Minute)
	require.NotEqual(t, at, at.Round(0), "Round(0) strips the monotonic reading")
}

// A request whose connection waits to be accepted, for want of a descriptor or of a process that has started, has come when its
// bytes have, on each connection: its client's time runs.
func TestTheTimeOfArrivalIsThatBeforeTheAccept(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	came := make(chan time.Time, 1)
	s := NewServer(l, Config{MaxBody: 1 << 10, MaxConns: most, Counters: &metrics.Set{}, Problem: TextProblem, Handler: func(c *Call) {
		_, release, ok := c.Body()
		if ok {
			defer release()
		}
		came <- c.Received
	}})
	c := dial(t, "http://"+l.Addr().String(), "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody")
	wrote := time.Now()
	time.Sleep(4 * arrivalResolution)
	accepting := time.Now()
	done := make(chan error, 1)
	go func() { done <- s.Serve() }()
	at := <-came
	require.True(t, at.Before(accepting), "it came %v after it was written, the accept %v", at.Sub(wrote), accepting.Sub(wrote))
	require.NoError(t, c.Close())
	require.NoError(t, s.Stop(t.Context(), takes(0)))
	require.NoError(t, <-done)
}
