package downstream

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"lichenshelf/metrics"
)

// serve starts a server with the handler and returns its URL.
func serve(t *testing.T, cfg Config) (*Server, string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	cfg.MaxBody, cfg.MaxConns, cfg.Counters = 1<<10, 16, &metrics.Set{}
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
		require.NoError(t, s.Stop(ctx))
		require.NoError(t, <-done)
	})
	return s, "http://" + l.Addr().String()
}

func post(t *testing.T, url string, size int) *http.Response {
	resp, err := http.Post(url, "text/plain", strings.NewReader(strings.Repeat("x", size)))
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	return resp
}

// Many large bodies at once would go over the memory limit: what has no room is
// refused, and room comes back.
func TestBodiesInHandAreBounded(t *testing.T) {
	holding, goOn := make(chan struct{}), make(chan struct{})
	_, url := serve(t, Config{MaxBytes: 1000, Handler: func(c *Call) {
		release, ok := c.Room()
		if !ok {
			return
		}
		defer release()
		if len(c.TakeBody()) == 600 {
			holding <- struct{}{}
			<-goOn
		}
	}})
	first := make(chan int)
	go func() { first <- post(t, url, 600).StatusCode }()
	<-holding
	refused := post(t, url, 500)
	require.Equal(t, http.StatusServiceUnavailable, refused.StatusCode)
	require.NotEmpty(t, refused.Header.Get("Retry-After"))
	require.Equal(t, http.StatusOK, post(t, url, 300).StatusCode, "there is room for a smaller one")
	close(goOn)
	require.Equal(t, http.StatusOK, <-first)
	require.Equal(t, http.StatusOK, post(t, url, 900).StatusCode)
}

// Requests may come along with each other: the watch of the first must have ended
// before that of the second begins, and a byte that it has read is not lost.
func TestEarlyNextRequestIsKept(t *testing.T) {
	goOn := make(chan struct{})
	_, url := serve(t, Config{Handler: func(c *Call) {
		c.conn.watch(func() {})
		<-goOn
		c.SetBodyString("done")
	}})
	c, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	require.NoError(t, err)
	defer c.Close()
	const request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n"
	_, err = c.Write([]byte(request + request)) // both are read at once
	require.NoError(t, err)
	goOn <- struct{}{}
	_, err = c.Write([]byte(request)) // and this one by the watch of the second
	require.NoError(t, err)
	close(goOn)
	answers := make([]byte, 0, 1024)
	for strings.Count(string(answers), "done") < 3 {
		buf := make([]byte, 512)
		n, err := c.Read(buf)
		require.NoError(t, err, string(answers))
		answers = append(answers, buf[:n]...)
	}
}
