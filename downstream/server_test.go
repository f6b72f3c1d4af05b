package downstream

import (
	"bufio"
	"cmp"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"lichenshelf/metrics"
)

// maxTestConns is the bound on connections of the servers in these tests.
const maxTestConns = 16

// serve starts a server with the handler and returns its URL.
func serve(t *testing.T, cfg Config) (*Server, string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	cfg.MaxBody, cfg.MaxConns, cfg.Counters = cmp.Or(cfg.MaxBody, 1<<10), maxTestConns, &metrics.Set{}
	cfg.Problem = func(ctx *fasthttp.RequestCtx, status int, fault error) {
		ctx.SetStatusCode(status)
		ctx.SetBodyString(fault.Error())
	}
	s := NewServer(l, cfg)
	done := make(chan error, 1)
	go func() { done <- s.Serve() }()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		http.DefaultClient.CloseIdleConnections()
		require.NoError(t, s.Stop(ctx, constantTimeout(0)))
		require.NoError(t, <-done)
	})
	return s, "http://" + l.Addr().String()
}

func post(t *testing.T, url string, size int) *http.Response {
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader(strings.Repeat("x", size)))
	require.NoError(t, err)
	req.Close = true // or it may use a connection that has just been evicted
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	return resp
}

// Many large bodies at once would exceed the memory limit. A body beyond the budget is refused, and
// the budget is released afterwards.
func TestOpenBodiesAreBounded(t *testing.T) {
	holding, proceed := make(chan struct{}), make(chan struct{})
	_, url := serve(t, Config{MaxBytes: 1000, Handler: func(c *Call) {
		body, release, ok := c.Body()
		if !ok {
			return
		}
		defer release()
		if len(body) == 600 {
			holding <- struct{}{}
			<-proceed
		}
	}})
	first := make(chan int)
	go func() { first <- post(t, url, 600).StatusCode }()
	<-holding
	refused := post(t, url, 500)
	require.Equal(t, http.StatusServiceUnavailable, refused.StatusCode)
	require.NotEmpty(t, refused.Header.Get("Retry-After"))
	require.Equal(t, http.StatusOK, post(t, url, 300).StatusCode, "there is room for a smaller one")
	close(proceed)
	require.Equal(t, http.StatusOK, <-first)
	require.Equal(t, http.StatusOK, post(t, url, 900).StatusCode)
}

// Requests may be pipelined: the watch of the first must end before that of the second begins, and
// a byte that it has read must not be lost.
func TestPipelinedRequestsAreKept(t *testing.T) {
	proceed := make(chan struct{})
	_, url := serve(t, Config{Handler: func(c *Call) {
		c.conn.watch(func() {})
		<-proceed
		c.SetBodyString("done")
	}})
	c, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	require.NoError(t, err)
	defer c.Close()
	const request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n"
	_, err = c.Write([]byte(request + request)) // both are read at once
	require.NoError(t, err)
	proceed <- struct{}{}
	_, err = c.Write([]byte(request)) // and this one by the watch of the second
	require.NoError(t, err)
	close(proceed)
	answers := make([]byte, 0, 1024)
	for strings.Count(string(answers), "done") < 3 {
		buf := make([]byte, 512)
		n, err := c.Read(buf)
		require.NoError(t, err, string(answers))
		answers = append(answers, buf[:n]...)
	}
}

// dial opens a connection and sends text on it.
func dial(t *testing.T, url, text string) net.Conn {
	c, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	_, err = c.Write([]byte(text))
	require.NoError(t, err)
	return c
}

// A head that parsers read differently may hide a second request in a body. It must be refused, and
// nothing after it served.
func TestAmbiguousHeadsAreRefused(t *testing.T) {
	served := make(chan string, 100)
	_, url := serve(t, Config{Handler: func(c *Call) {
		if _, release, ok := c.Body(); ok {
			release()
			served <- string(c.Path())
		}
	}})
	const next = "GET /hidden HTTP/1.1\r\nHost: x\r\n\r\n"
	good := "POST /good HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}"
	for _, head := range []string{
		"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n",
		"Transfer-Encoding: identity\r\n\r\n", "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
		"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n", "Transfer-Encoding:\r\n chunked\r\n\r\n0\r\n\r\n",
		"Content-Length: 2\r\nContent-Length: 2\r\n\r\n{}", "Content-Length: 2, 2\r\n\r\n{}",
		"Content-Length: -2\r\n\r\n{}", "Content-Length: +2\r\n\r\n{}", "Content-Length: 0x2\r\n\r\n{}",
		"Content-Length: \r\n\r\n", "Content-Length: 99999999999999999999\r\n\r\n{}",
		"Content-Length: 99999999999\r\n\r\n{}", "Content-Length: 2000\r\n\r\n{}", "X\r\n\r\n", " X: y\r\n\r\n",
		"X: a\r\n b\r\n\r\n", "X(: y\r\n\r\n", "X: a\x00b\r\n\r\n", "X: a\rContent-Length: 2\r\n\r\n",
		"X: y\nContent-Length: 0\r\n\r\n", "Host: y\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\nzz\r\n",
		"Transfer-Encoding: chunked\r\n\r\n-1\r\n", "Transfer-Encoding: chunked\r\n\r\n2\r\n{}X\r\n0\r\n\r\n",
		"Transfer-Encoding: chunked\r\n\r\nffffffffffffffff1\r\n{}", "X: " + strings.Repeat("y", headBuffer) + "\r\n\r\n",
	} {
		c := dial(t, url, "POST /bad HTTP/1.1\r\nHost: x\r\n"+head+next)
		require.NoError(t, c.SetReadDeadline(time.Now().Add(10*time.Second)))
		text, err := io.ReadAll(c)
		require.NoError(t, err, "%q is neither closed nor answered", head)
		require.Regexp(t, "^HTTP/1.1 4[0-9][0-9] ", string(text), "%q", head)
		require.Equal(t, 1, strings.Count(string(text), "HTTP/1.1"), "%q", head)
		require.Empty(t, served, "%q", head)
	}
	_, err := io.ReadAll(dial(t, url, good))
	require.NoError(t, err)
	require.Equal(t, "/good", <-served)
}

// Hundreds of clients may connect and send nothing, or stop half-way. Each connection is closed in
// time, and other clients are served meanwhile.
func TestSilentConnectionsAreEvicted(t *testing.T) {
	s, url := serve(t, Config{MaxBytes: 64 << 10, Handler: func(c *Call) {
		if _, release, ok := c.Body(); ok {
			release()
		}
	}})
	var bad []net.Conn
	for range 4 * maxTestConns {
		bad = append(bad, dial(t, url, ""))
	}
	require.LessOrEqual(t, s.listener.open(), maxTestConns)
	for range 2 * maxTestConns {
		bad = append(bad, dial(t, url, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1000\r\n\r\n{"))
		require.Equal(t, http.StatusOK, post(t, url, 10).StatusCode)
	}
	from := time.Now()
	for _, c := range bad {
		require.NoError(t, c.SetReadDeadline(from.Add(10*time.Second)))
		if _, err := io.Copy(io.Discard, c); err != nil {
			require.ErrorIs(t, err, syscall.ECONNRESET)
		}
	}
	require.Less(t, time.Since(from), requestReadTimeout+2*time.Second)
}

// An idle connection that its client keeps for good is evicted for new ones; one with an open
// request is not.
func TestIdleConnectionsAreEvicted(t *testing.T) {
	began, proceed := make(chan struct{}), make(chan struct{})
	s, url := serve(t, Config{Handler: func(c *Call) {
		if _, release, ok := c.Body(); ok {
			release()
			if string(c.Path()) == "/held" {
				began <- struct{}{}
				<-proceed
			}
		}
	}})
	held := dial(t, url, "GET /held HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
	<-began
	for range 4 * maxTestConns {
		c := dial(t, url, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
		_, err := c.Read(make([]byte, 256))
		require.NoError(t, err)
	}
	require.LessOrEqual(t, s.listener.open(), maxTestConns)
	close(proceed)
	text, err := io.ReadAll(held)
	require.NoError(t, err)
	require.Contains(t, string(text), "200 OK")
}

// The deadline of a stream must not remain in force after it: it would cut off a later refusal on
// the same connection, and the request would be lost.
func TestAnswerAfterStreamHasOwnDeadline(t *testing.T) {
	const wait = 50 * time.Millisecond
	_, url := serve(t, Config{writeTimeout: wait, Handler: func(c *Call) {
		if string(c.Path()) == "/stream" {
			c.Stream("text/plain", io.NopCloser(strings.NewReader("whole")))
			return
		}
		time.Sleep(2 * wait) // the stream's time is over
		c.Problem(http.StatusServiceUnavailable, errOverloaded)
	}})
	c := dial(t, url, "")
	answers := bufio.NewReader(c)
	for _, tc := range []struct{ path, want string }{{"/stream", "whole"}, {"/refused", errOverloaded.Error()}} {
		_, err := c.Write([]byte("GET " + tc.path + " HTTP/1.1\r\nHost: x\r\n\r\n"))
		require.NoError(t, err)
		resp, err := http.ReadResponse(answers, nil)
		require.NoError(t, err)
		body, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.Equal(t, tc.want, string(body))
	}
}

// constantTimeout returns an accept time-out for Stop that does not change.
func constantTimeout(d time.Duration) func() time.Duration { return func() time.Duration { return d } }
