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
	get     = "GET /next HTTP/1.1\r\nHost: x\r\n\r\n"
	atLast  = 10 * time.Second
	goneFor = 100 * time.Millisecond // after its client's close nothing may begin for a request
)

// An answer that is whole goes out whole, whatever its client has sent behind its request: kept back, a
// refusal or the end of a stream would come with the next answer, seconds late.
func TestAnswersDoNotWaitForTheNextRequest(t *testing.T) {
	for name, first := range map[string]func(*Call){
		"refusal": func(c *Call) { c.Problem(http.StatusServiceUnavailable, errNoRoom) },
		"stream":  func(c *Call) { c.Stream("text/plain", io.NopCloser(strings.NewReader("whole"))) },
	} {
		t.Run(name, func(t *testing.T) {
			goOn := make(chan struct{})
			_, url := serve(t, Config{Handler: func(c *Call) {
				if string(c.Path()) == "/next" {
					<-goOn
					return
				}
				first(c)
			}})
			defer close(goOn)
			c := dial(t, url, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"+get)
			require.NoError(t, c.SetReadDeadline(time.Now().Add(atLast)))
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			require.NoError(t, err)
			_, err = io.ReadAll(resp.Body)
			require.NoError(t, err, "the answer has come to its end while the next request is at work")
		})
	}
}

// ways in which a client leaves.
var ways = map[string]func(net.Conn) error{
	"closes": net.Conn.Close,
	"resets": func(c net.Conn) error { _ = c.(*net.TCPConn).SetLinger(0); return c.Close() },
	"shuts":  func(c net.Conn) error { return c.(*net.TCPConn).CloseWrite() },
}

// A client that leaves is seen to, whatever it has sent ahead.
func TestAClientIsSeenToLeaveBehindWhatItSentAhead(t *testing.T) {
	for name, ahead := range map[string]string{
		"nothing": "", "a byte": "G", "a request": get, "many requests": strings.Repeat(get, 500),
		"more than is read ahead": strings.Repeat(get, (mostAhead+headBuffer/2)/len(get)),
	} {
		for way, leave := range ways {
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
					_ = s.listener.open() // bytes on their way have come: the watch reads up to its bound
					from := time.Now()
					require.NoError(t, leave(c))
					select {
					case at := <-left:
						left <- at
						require.Less(t, at.Sub(from), goneFor+time.Second)
					case <-time.After(atLast):
						left <- time.Now()
						t.Fatal("the client was not seen to leave")
					}
				})
			}
		}
	}
}

// What is read ahead is bounded for each connection and for all, and given back.
func TestWhatIsReadAheadIsBounded(t *testing.T) {
	const room = mostAhead + mostAhead/4
	began, goOn := make(chan struct{}), make(chan struct{})
	s, url := serve(t, Config{MaxBytes: room * aheadPart, Handler: func(c *Call) {
		if string(c.Path()) == "/first" {
			c.conn.watch(func() {})
			began <- struct{}{}
			<-goOn
		}
	}})
	var clients []net.Conn
	for range 2 {
		c := dial(t, url, "GET /first HTTP/1.1\r\nHost: x\r\n\r\n")
		<-began
		_, err := io.WriteString(c, strings.Repeat(get, mostAhead/len(get)))
		require.NoError(t, err)
		clients = append(clients, c)
	}
	require.Eventually(t, func() bool { return s.listener.ahead.used.Load() > room-2*aheadMost }, atLast, time.Millisecond)
	require.LessOrEqual(t, s.listener.ahead.used.Load(), int64(room))
	close(goOn)
	for _, c := range clients {
		answers := bufio.NewReader(c)
		for range 1 + mostAhead/len(get) {
			resp, err := http.ReadResponse(answers, nil)
			require.NoError(t, err)
			require.NoError(t, resp.Body.Close())
		}
		require.NoError(t, c.Close())
	}
	require.Eventually(t, func() bool { return s.listener.ahead.used.Load() == 0 }, atLast, time.Millisecond)
}

// A request that its client has sent ahead and left behind is not routed.
func TestWhatAClientLeftBehindIsNotRouted(t *testing.T) {
	for way, leave := range ways {
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
			c := dial(t, url, "GET /first HTTP/1.1\r\nHost: x\r\n\r\n"+get)
			<-began
			require.NoError(t, leave(c))
			<-seen
			select {
			case a := <-routed:
				require.True(t, a.Left)
			case <-time.After(200 * time.Millisecond): // the server has met the end first
			}
			require.Zero(t, counters.Get("requests_taken"))
		})
	}
}

// read reads to the end of a connection, which must not be a reset.
func read(t *testing.T, c net.Conn) string {
	require.NoError(t, c.SetReadDeadline(time.Now().Add(atLast)))
	text, err := io.ReadAll(c)
	require.NoError(t, err, "the connection ends, and is not reset")
	return string(text)
}

// A request that comes right as its resting connection is shut is not served, and its client sees the end
// of the connection and no reset.
func TestARequestThatCrossesTheEndOfARestingConnection(t *testing.T) {
	for name, end := range map[string]func(*Server){
		"stopping":   func(s *Server) { s.listener.closeUnused() },
		"giving way": func(s *Server) { s.listener.mu.Lock(); s.listener.evict(forRoom); s.listener.mu.Unlock() },
		"leaving":    func(s *Server) { s.DropUnread() },
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
			s.listener.crossing = func() {
				_, err := io.WriteString(c, get)
				require.NoError(t, err)
			}
			end(s)
			require.Empty(t, read(t, c), "nothing is answered after the end")
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
	}, atLast, time.Millisecond)
}

// The last answer of a connection is not lost to bytes that its client sends meanwhile.
func TestTheLastAnswerIsNotResetByWhatComesBehind(t *testing.T) {
	began, goOn := make(chan struct{}), make(chan struct{})
	_, url := serve(t, Config{Handler: func(c *Call) {
		close(began)
		<-goOn
		c.Response.SetConnectionClose()
		c.SetBodyString(strings.Repeat("z", 100<<10))
	}})
	c := dial(t, url, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	<-began
	_, err := io.WriteString(c, "GET /half")
	require.NoError(t, err)
	close(goOn)
	require.Equal(t, 100<<10, strings.Count(read(t, c), "z"))
}

// A process that stops answers what it has read, also of requests that came along with each other: their client
// can't tell that they were not served.
func TestAStopAnswersTheRequestsThatWereRead(t *testing.T) {
	for name, together := range map[string]bool{"together": true, "one after the other": false} {
		t.Run(name, func(t *testing.T) {
			began, goOn := make(chan struct{}, 3), make(chan struct{})
			s, url := serve(t, Config{MaxBytes: 1 << 20, Handler: func(c *Call) {
				c.conn.watch(func() {})
				began <- struct{}{}
				<-goOn
				c.SetBodyString("done")
			}})
			rest := strings.Repeat("POST /b HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", 2)
			var c net.Conn
			if together {
				c = dial(t, url, get+rest)
				<-began
			} else {
				c = dial(t, url, get)
				<-began
				_, err := io.WriteString(c, rest)
				require.NoError(t, err)
				require.Eventually(t, func() bool { return s.listener.ahead.used.Load() == int64(len(rest)+aheadStep) },
					atLast, time.Millisecond, "it is read ahead, and the watch goes on")
			}
			s.stopping.Store(true)
			close(goOn)
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

// Half a request at the very end is refused in good order, head or body.
func TestHalfARequestIsRefusedAtTheEnd(t *testing.T) {
	for _, text := range []string{"GET / HT", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\n{"} {
		s, url := serve(t, Config{Handler: func(c *Call) {
			if _, release, ok := c.Body(); ok {
				release()
			}
		}})
		c := dial(t, url, text)
		waitPhase(t, s, reading)
		s.DropUnread()
		require.Regexp(t, "^HTTP/1.1 503 (?s:.*)Retry-After: ", read(t, c), "%q", text)
	}
}

// A body that breaks off is no request, however much of it has come: sent on, it would be another than its client's.
func TestABodyThatBreaksOffIsNoRequest(t *testing.T) {
	for way, leave := range ways {
		for _, came := range []int{0, 1, 5000, 20000, 39999} {
			for _, chunked := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s after %d, chunked %v", way, came, chunked), func(t *testing.T) {
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
					c := dial(t, url, "POST / HTTP/1.1\r\nHost: x\r\n"+head+strings.Repeat("x", came))
					waitPhase(t, s, reading)
					require.Eventually(t, func() bool { return !pendingAt(s) }, atLast, time.Millisecond, "all that came is read")
					require.NoError(t, leave(c))
					require.Eventually(t, func() bool { return s.listener.open() == 0 }, atLast, time.Millisecond)
					require.Empty(t, whole)
				})
			}
		}
	}
}

// pendingAt tells whether bytes have come on a connection that its server has not read.
func pendingAt(s *Server) bool {
	s.listener.mu.Lock()
	defer s.listener.mu.Unlock()
	for c := range s.listener.conns.all() {
		return c.pending()
	}
	return false
}
