package downstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lichenshelf/metrics"
	"lichenshelf/router"
)

const (
	nextRequest = "GET /next HTTP/1.1\r\nHost: x\r\n\r\n"
	testTimeout = 10 * time.Second
	// nothing may begin for a request later than this after its client has left
	maxLeaveDelay = 100 * time.Millisecond
)

// A complete answer must be sent even if its client has sent part of a further request. If the
// server kept the end back, a refusal or the end of a stream would arrive with the next answer,
// seconds late.
func TestAnswersAreSentBeforeNextRequestEnds(t *testing.T) {
	for name, first := range map[string]func(*Call){
		"refusal": func(c *Call) { c.Problem(http.StatusServiceUnavailable, errOverloaded) },
		"stream":  func(c *Call) { c.Stream("text/plain", io.NopCloser(strings.NewReader("whole"))) },
	} {
		t.Run(name, func(t *testing.T) {
			proceed := make(chan struct{})
			_, url := serve(t, Config{Handler: func(c *Call) {
				if string(c.Path()) == "/next" {
					<-proceed
					return
				}
				first(c)
			}})
			defer close(proceed)
			c := dial(t, url, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"+nextRequest)
			require.NoError(t, c.SetReadDeadline(time.Now().Add(testTimeout)))
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			require.NoError(t, err)
			_, err = io.ReadAll(resp.Body)
			require.NoError(t, err, "the answer ends while the next request is being handled")
		})
	}
}

// leaveWays are the ways in which a client leaves.
var leaveWays = map[string]func(net.Conn) error{
	"closes": net.Conn.Close,
	"resets": func(c net.Conn) error { _ = c.(*net.TCPConn).SetLinger(0); return c.Close() },
	"shuts":  func(c net.Conn) error { return c.(*net.TCPConn).CloseWrite() },
}

// A client that leaves is detected, whatever it has sent ahead.
func TestClientLeaveIsDetectedBehindPipelinedRequests(t *testing.T) {
	for name, ahead := range map[string]string{
		"nothing": "", "a byte": "G", "a request": nextRequest, "many requests": strings.Repeat(nextRequest, 500),
		"more than is read ahead": strings.Repeat(nextRequest, (maxReadAhead+headBuffer/2)/len(nextRequest)),
	} {
		for way, leave := range leaveWays {
			for _, together := range []bool{true, false} {
				t.Run(name+", "+way, func(t *testing.T) {
					t.Parallel()
					began, left := make(chan struct{}), make(chan time.Time, 1)
					s, url := serve(t, Config{MaxBytes: 16 << 20, Handler: func(c *Call) {
						if string(c.Path()) != "/first" {
							return
						}
						c.conn.watch(func() { left <- time.Now() })
						close(began)
						<-left
						left <- time.Now()
					}})
					first := "GET /first HTTP/1.1\r\nHost: x\r\n\r\n"
					var c net.Conn
					if together {
						c = dial(t, url, first+ahead)
						<-began
					} else {
						c = dial(t, url, first)
						<-began
						_, err := io.WriteString(c, ahead)
						require.NoError(t, err)
					}
					// takes the lock; the watch reads up to its bound meanwhile
					_ = s.listener.open()
					from := time.Now()
					require.NoError(t, leave(c))
					select {
					case at := <-left:
						left <- at
						require.Less(t, at.Sub(from), maxLeaveDelay+time.Second)
					case <-time.After(testTimeout):
						left <- time.Now()
						t.Fatal("the client's leaving was not detected")
					}
				})
			}
		}
	}
}

// The bytes read ahead are bounded for each connection and for all together, and are released.
func TestReadAheadIsBounded(t *testing.T) {
	const budget = maxReadAhead + maxReadAhead/4
	began, proceed := make(chan struct{}), make(chan struct{})
	s, url := serve(t, Config{MaxBytes: budget * readAheadDivisor, Handler: func(c *Call) {
		if string(c.Path()) == "/first" {
			c.conn.watch(func() {})
			began <- struct{}{}
			<-proceed
		}
	}})
	var clients []net.Conn
	for range 2 {
		c := dial(t, url, "GET /first HTTP/1.1\r\nHost: x\r\n\r\n")
		<-began
		_, err := io.WriteString(c, strings.Repeat(nextRequest, maxReadAhead/len(nextRequest)))
		require.NoError(t, err)
		clients = append(clients, c)
	}
	require.Eventually(t, func() bool { return s.listener.readAheadBudget.used.Load() > budget-2*maxReadAheadStep }, testTimeout, time.Millisecond)
	require.LessOrEqual(t, s.listener.readAheadBudget.used.Load(), int64(budget))
	close(proceed)
	for _, c := range clients {
		answers := bufio.NewReader(c)
		for range 1 + maxReadAhead/len(nextRequest) {
			resp, err := http.ReadResponse(answers, nil)
			require.NoError(t, err)
			require.NoError(t, resp.Body.Close())
		}
		require.NoError(t, c.Close())
	}
	require.Eventually(t, func() bool { return s.listener.readAheadBudget.used.Load() == 0 }, testTimeout, time.Millisecond)
}

// A pipelined request whose client has left is not routed.
func TestPipelinedRequestOfLeftClientIsNotRouted(t *testing.T) {
	for way, leave := range leaveWays {
		t.Run(way, func(t *testing.T) {
			began, seen, routed := make(chan struct{}), make(chan struct{}), make(chan Answer, 1)
			counters := &metrics.Set{}
			core := router.New(router.Config{Counters: counters})
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go core.Run(ctx)
			_, url := serve(t, Config{Core: core, Handler: func(c *Call) {
				if string(c.Path()) == "/next" {
					routed <- c.Route(&router.Request{Name: "next"})
					return
				}
				c.conn.watch(func() { close(seen) })
				close(began)
				<-seen
			}})
			c := dial(t, url, "GET /first HTTP/1.1\r\nHost: x\r\n\r\n"+nextRequest)
			<-began
			require.NoError(t, leave(c))
			<-seen
			select {
			case a := <-routed:
				require.True(t, a.Left)
			// the server has read the end of the connection first
			case <-time.After(200 * time.Millisecond):
			}
			require.Zero(t, counters.Get("requests_taken"))
		})
	}
}

// readToEnd reads to the end of a connection, which must not be a reset.
func readToEnd(t *testing.T, c net.Conn) string {
	require.NoError(t, c.SetReadDeadline(time.Now().Add(testTimeout)))
	text, err := io.ReadAll(c)
	require.NoError(t, err, "the connection ends, and is not reset")
	return string(text)
}

// A request that arrives just as its idle connection is shut down is not served. Its client must
// see the end of the connection and no reset.
func TestRequestDuringIdleConnectionCloseIsNotServed(t *testing.T) {
	for name, end := range map[string]func(*Server){
		"stopping": func(s *Server) { s.listener.closeUnused() },
		"evicted":  func(s *Server) { s.listener.mu.Lock(); s.listener.evict(forRoom); s.listener.mu.Unlock() },
		"leaving":  func(s *Server) { s.DropUnread() },
	} {
		t.Run(name, func(t *testing.T) {
			served := make(chan string, 2)
			s, url := serve(t, Config{Handler: func(c *Call) { served <- string(c.Path()) }})
			c := dial(t, url, "GET /first HTTP/1.1\r\nHost: x\r\n\r\n")
			require.Equal(t, "/first", <-served)
			answers := bufio.NewReader(c)
			resp, err := http.ReadResponse(answers, nil)
			require.NoError(t, err)
			require.NoError(t, resp.Body.Close())
			waitPhase(t, s, waiting)
			s.listener.beforeShut = func() {
				_, err := io.WriteString(c, nextRequest)
				require.NoError(t, err)
			}
			end(s)
			require.Empty(t, readToEnd(t, c), "nothing is answered after the end")
			require.Empty(t, served)
		})
	}
}

func waitPhase(t *testing.T, s *Server, p phase) {
	require.Eventually(t, func() bool {
		s.listener.mu.Lock()
		defer s.listener.mu.Unlock()
		for c := range s.listener.conns.all() {
			return c.phase == p
		}
		return false
	}, testTimeout, time.Millisecond)
}

// The last answer of a connection must not be lost because its client sends bytes meanwhile.
func TestLastAnswerIsNotResetByLaterBytes(t *testing.T) {
	began, proceed := make(chan struct{}), make(chan struct{})
	_, url := serve(t, Config{Handler: func(c *Call) {
		close(began)
		<-proceed
		c.Response.SetConnectionClose()
		c.SetBodyString(strings.Repeat("z", 100<<10))
	}})
	c := dial(t, url, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	<-began
	_, err := io.WriteString(c, "GET /half")
	require.NoError(t, err)
	close(proceed)
	require.Equal(t, 100<<10, strings.Count(readToEnd(t, c), "z"))
}

// A process that stops answers the requests that it has read, including pipelined ones: their
// client cannot tell that they were not served.
func TestStopAnswersRequestsAlreadyRead(t *testing.T) {
	for name, together := range map[string]bool{"together": true, "one after the other": false} {
		t.Run(name, func(t *testing.T) {
			began, proceed := make(chan struct{}, 3), make(chan struct{})
			s, url := serve(t, Config{MaxBytes: 1 << 20, Handler: func(c *Call) {
				c.conn.watch(func() {})
				began <- struct{}{}
				<-proceed
				c.SetBodyString("done")
			}})
			rest := strings.Repeat("POST /b HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", 2)
			var c net.Conn
			if together {
				c = dial(t, url, nextRequest+rest)
				<-began
			} else {
				c = dial(t, url, nextRequest)
				<-began
				_, err := io.WriteString(c, rest)
				require.NoError(t, err)
				require.Eventually(t, func() bool { return s.listener.readAheadBudget.used.Load() == int64(len(rest)+minReadAheadStep) },
					testTimeout, time.Millisecond, "the rest is read ahead, and the watch continues")
			}
			s.stopping.Store(true)
			close(proceed)
			go func() {
				for range 2 {
					<-began
				}
				s.listener.closeUnused()
			}()
			answers := bufio.NewReader(c)
			for range 3 {
				resp, err := http.ReadResponse(answers, nil)
				require.NoError(t, err)
				text, err := io.ReadAll(resp.Body)
				require.NoError(t, err)
				require.Equal(t, "done", string(text))
			}
		})
	}
}

// A partial request, in head or body, is refused with an answer when the process exits.
func TestPartialRequestIsRefusedAtExit(t *testing.T) {
	for _, text := range []string{"GET / HT", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\n{"} {
		s, url := serve(t, Config{Handler: func(c *Call) {
			if _, release, ok := c.Body(); ok {
				release()
			}
		}})
		c := dial(t, url, text)
		waitPhase(t, s, reading)
		s.DropUnread()
		require.Regexp(t, "^HTTP/1.1 503 (?s:.*)Retry-After: ", readToEnd(t, c), "%q", text)
	}
}

// A body that ends early must not be passed on, however much of it has been received: it would be
// another request than the client's.
func TestTruncatedBodyIsNotPassedOn(t *testing.T) {
	for way, leave := range leaveWays {
		for _, received := range []int{0, 1, 5000, 20000, 39999} {
			for _, chunked := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s after %d, chunked %v", way, received, chunked), func(t *testing.T) {
					t.Parallel()
					whole := make(chan int, 1)
					s, url := serve(t, Config{MaxBody: 64 << 10, Handler: func(c *Call) {
						if body, release, ok := c.Body(); ok {
							release()
							whole <- len(body)
						}
					}})
					head := "Content-Length: 40000\r\n\r\n"
					if chunked {
						head = "Transfer-Encoding: chunked\r\n\r\n9c40\r\n"
					}
					c := dial(t, url, "POST / HTTP/1.1\r\nHost: x\r\n"+head+strings.Repeat("x", received))
					waitPhase(t, s, reading)
					require.Eventually(t, func() bool { return !hasPendingBytes(s) }, testTimeout, time.Millisecond, "all received bytes are read")
					require.NoError(t, leave(c))
					require.Eventually(t, func() bool { return s.listener.open() == 0 }, testTimeout, time.Millisecond)
					require.Empty(t, whole)
				})
			}
		}
	}
}

// hasPendingBytes reports whether the kernel holds bytes that the server has not read.
func hasPendingBytes(s *Server) bool {
	s.listener.mu.Lock()
	defer s.listener.mu.Unlock()
	for c := range s.listener.conns.all() {
		return c.pending()
	}
	return false
}
