package console

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"lichenshelf/cordon"
	"lichenshelf/metrics"
)

type workers struct{ out map[string]bool }

func (w *workers) Suspend(name string) error { return w.set(name, true) }
func (w *workers) Resume(name string) error  { return w.set(name, false) }
func (w *workers) set(name string, out bool) error {
	if name != "w1" {
		return fmt.Errorf("worker %q: %w", name, cordon.ErrUnknown)
	}
	w.out[name] = out
	return nil
}

// call sends a request on a new connection and returns the status of the answer.
func call(t *testing.T, addr, method, path string) int {
	c, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	defer c.Close()
	_, err = fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: console\r\nContent-Length: 0\r\n\r\n", method, path)
	require.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	require.True(t, resp.Close, "one call per connection")
	return resp.StatusCode
}

func TestCallsAreAnsweredDespiteIdleAndIncompleteConnections(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var ready atomic.Bool
	w := &workers{out: map[string]bool{}}
	s := New(ready.Load, w).Server(l, &metrics.Set{})
	go func() { _ = s.Serve() }()
	addr := l.Addr().String()

	// More connections than the limit are open without a complete request.
	for i := range 2 * MaxConns {
		c, err := net.Dial("tcp", addr)
		require.NoError(t, err)
		defer c.Close()
		if i%2 == 0 {
			_, _ = c.Write([]byte("GET /v1/rea"))
		}
	}
	require.Equal(t, http.StatusServiceUnavailable, call(t, addr, "GET", "/v1/readyz"))
	ready.Store(true)
	require.Equal(t, http.StatusOK, call(t, addr, "GET", "/v1/readyz"))
	require.Equal(t, http.StatusOK, call(t, addr, "POST", "/v1/workers/w1/suspend"))
	require.True(t, w.out["w1"])
	require.Equal(t, http.StatusOK, call(t, addr, "POST", "/v1/workers/w1/suspend"))
	require.Equal(t, http.StatusNotFound, call(t, addr, "POST", "/v1/workers/nobody/suspend"))
	require.Equal(t, http.StatusMethodNotAllowed, call(t, addr, "GET", "/v1/workers/w1/resume"))
	require.Equal(t, http.StatusOK, call(t, addr, "POST", "/v1/workers/w1/resume"))
	require.False(t, w.out["w1"])
}
