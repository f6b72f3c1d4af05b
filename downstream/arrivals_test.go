package downstream

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lichenshelf/metrics"
)

// All bytes are returned once and in order. Their receive time is the real one or up to
// arrivalMergeWindow earlier.
func TestArrivalsKeepReceiveTimes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var a arrivals
		var times []time.Duration // of each byte
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
			for _, received := range times[:n] {
				require.GreaterOrEqual(t, received, at)
				require.Less(t, received-at, arrivalMergeWindow)
			}
			a, times = rest, times[n:]
		}
		require.Empty(t, a)
	})
}

// The receive time of a request is not a reading of the wall clock: a step of the clock would
// change the client's remaining time.
func TestReceiveTimeIsMonotonic(t *testing.T) {
	received := make(chan time.Time, 1)
	_, url := serve(t, Config{Handler: func(c *Call) {
		_, release, ok := c.Body()
		if ok {
			defer release()
		}
		received <- c.Received
	}})
	post(t, url, 10)
	at := <-received
	require.Less(t, time.Since(at), time.Minute)
	require.NotEqual(t, at, at.Round(0), "Round(0) strips the monotonic reading")
}

// If the connection waits to be accepted, because descriptors have run out or the process is still
// starting, the receive time of its request is still that of its bytes, because the client's time
// is running.
func TestReceiveTimePrecedesAccept(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	received := make(chan time.Time, 1)
	s := NewServer(l, Config{MaxBody: 1 << 10, MaxConns: maxTestConns, Counters: &metrics.Set{}, Problem: TextProblem, Handler: func(c *Call) {
		_, release, ok := c.Body()
		if ok {
			defer release()
		}
		received <- c.Received
	}})
	c := dial(t, "http://"+l.Addr().String(), "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody")
	wrote := time.Now()
	time.Sleep(4 * arrivalResolution)
	accepting := time.Now()
	done := make(chan error, 1)
	go func() { done <- s.Serve() }()
	at := <-received
	require.True(t, at.Before(accepting), "received %v after it was written, the accept %v", at.Sub(wrote), accepting.Sub(wrote))
	require.NoError(t, c.Close())
	require.NoError(t, s.Stop(t.Context(), constantTimeout(0)))
	require.NoError(t, <-done)
}
