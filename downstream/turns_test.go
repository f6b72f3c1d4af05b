package downstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lichenshelf/metrics"
)

// The pause follows the scheduling delay up to a bound, and there is none if everything runs
// promptly.
func TestPauseFollowsSchedulingDelay(t *testing.T) {
	for late, want := range map[time.Duration]time.Duration{
		0: 0, maxPromptDelay: 0, maxPromptDelay + 1: maxPromptDelay + 1, 20 * time.Millisecond: 20 * time.Millisecond, maxPause: maxPause, time.Minute: maxPause,
	} {
		require.Equal(t, want, pauseAfter(late), "late by %v", late)
	}
}

// Slots are released whatever happens to a connection: served, refused, left half-way, routed and
// waiting, or closed.
func TestWorkSlotsAreReleased(t *testing.T) {
	waiting, proceed := make(chan struct{}, 1), make(chan struct{})
	s, url := serve(t, Config{Handler: func(c *Call) {
		if string(c.Path()) == "/wait" {
			waiting <- struct{}{}
			<-proceed
		}
	}})
	slots := cap(s.listener.unroutedSlots)
	addr := strings.TrimPrefix(url, "http://")
	send := func(text string) net.Conn {
		c, err := net.Dial("tcp", addr)
		require.NoError(t, err)
		_, err = io.WriteString(c, text)
		require.NoError(t, err)
		return c
	}
	for range 2 * slots {
		require.NoError(t, send("GET / HTTP/1.1\r\nHost: x\r\n").Close())
		require.NoError(t, send("nonsense\r\n\r\n").Close())
		require.NoError(t, send("").Close())
	}
	for range min(slots+1, maxTestConns-2) {
		defer send("GET /wait HTTP/1.1\r\nHost: x\r\n\r\n").Close()
		<-waiting
	}
	c := send("GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	defer c.Close()
	status, err := bufio.NewReader(c).ReadString('\n')
	require.NoError(t, err)
	require.Contains(t, status, "200")
	close(proceed)
	require.Eventually(t, func() bool { return len(s.listener.unroutedSlots) <= 1 }, time.Minute, time.Millisecond, "except the slot for the next connection")
}

// BenchmarkCalls measures calls on kept connections, including the slots.
func BenchmarkCalls(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	s := NewServer(l, Config{MaxConns: 1000, Counters: &metrics.Set{}, Handler: func(*Call) {}})
	go func() { _ = s.Serve() }()
	b.SetParallelism(16)
	b.RunParallel(func(calls *testing.PB) {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			b.Error(err)
			return
		}
		defer c.Close()
		for br := bufio.NewReader(c); calls.Next(); {
			if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
				b.Error(err)
				return
			}
			resp, err := http.ReadResponse(br, nil)
			if err != nil {
				b.Error(err)
				return
			}
			_, _ = io.Copy(io.Discard, resp.Body)
		}
	})
}
