package test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"lichenshelf/internal/standin/link"
)

// maxListDelay is the time after which a change counts as announced to a router, whatever failed
// before.
const maxListDelay = 6 * time.Second

// setSubscribeMode sets membership-mode subscribe in a program's configuration file: the router
// then requests lists itself.
func setSubscribeMode(t *testing.T, file string) {
	text, err := os.ReadFile(file)
	require.NoError(t, err)
	changed := strings.Replace(string(text), `"balancers":`, `"membership-mode":"subscribe","balancers":`, 1)
	require.NotEqual(t, string(text), changed)
	require.NoError(t, os.WriteFile(file, []byte(changed), 0o600))
}

// With membership-mode subscribe, a router must have a new list within 6 s after discovery is
// reachable again, whatever failed before and however many routers there are. The fault lasts 9 s,
// after which retry delays have reached their maximum.
func TestSubscribedListsArriveWithin6Seconds(t *testing.T) {
	for name, fault := range map[string]func(d *discovery, r *link.Relay) (over func()){
		"refuses": func(_ *discovery, r *link.Relay) func() {
			r.Set(link.Fault{Refuse: true})
			r.Cut()
			return func() { r.Set(link.Fault{}) }
		},
		"says nothing": func(_ *discovery, r *link.Relay) func() {
			r.Set(link.Fault{Drop: [2]bool{true, true}})
			return func() { r.Set(link.Fault{}) }
		},
		"answers 503": func(d *discovery, r *link.Relay) func() {
			d.refuse(true)
			r.Cut()
			return func() { d.refuse(false) }
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r, w := pair(t, nil)
			other := newWorker(t, "s-00000003", "writer", nil)
			d := newDiscovery(t)
			d.addList(true, "in_service", r, w, other)
			relay, err := link.New(d.Listener.Addr().String())
			require.NoError(t, err)
			defer relay.Close()
			addr, file := ownAddr(t), config(t, `{"generation":0,"reset":true,"instances":[]}`, connIdle)
			setRouterCount(t, file, 300)
			setSubscribeMode(t, file)
			p := start(t, addr, []string{"ROUTER_LISTEN=" + addr, "ROUTER_NAME=n1", "ROUTER_DISCOVERY=" + relay.Addr(),
				"ROUTER_CONFIG=" + file}, "serve").waitReady()
			stop := sendTraffic(p)
			defer stop()
			eventually(t, func() bool { return countPosts(w) > 0 && countPosts(other) > 0 }, "both writers are in use")
			over := fault(d, relay)
			time.Sleep(9 * time.Second) // retry delays have reached their maximum by then
			generation := d.addList(false, "terminating", w)
			over()
			from := time.Now()
			eventually(t, func() bool { return p.logged(fmt.Sprintf("generation=%d ", generation)) }, "the list is received")
			require.Less(t, time.Since(from), maxListDelay)
		})
	}
}

// sendRaw opens a connection to the program and sends text.
func (p *program) sendRaw(text string) net.Conn {
	c, err := net.Dial("tcp", p.addr)
	require.NoError(p.t, err)
	p.t.Cleanup(func() { _ = c.Close() })
	_, err = io.WriteString(c, text)
	require.NoError(p.t, err)
	return c
}

// requestText returns a request in HTTP/1.1 wire format.
func (p *program) requestText(class, id string, patience time.Duration) string {
	req := p.request(class, id, patience)
	var b strings.Builder
	require.NoError(p.t, req.Write(&b))
	return b.String()
}

// Guards against work for clients that have disconnected: 0.1 s after a client closes, resets or
// half-closes its connection no attempt may start for its request, at whatever stage that is, and
// none at all for pipelined requests.
func TestNoAttemptStartsForDisconnectedClient(t *testing.T) {
	const disconnectDelay = 100 * time.Millisecond
	slow := func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(700 * time.Millisecond)
		serveRead(w, r)
	}
	for name, tc := range map[string]struct {
		reader      func(http.ResponseWriter, *http.Request)
		unreachable int // unreachable writers, in place of a reachable one
		ahead       int // pipelined requests after the first
	}{
		"while it is read":                {reader: slow},
		"with one request ahead":          {reader: slow, ahead: 1},
		"with more than the server reads": {reader: slow, ahead: 40},
		"while a writer is reached":       {unreachable: 3},
	} {
		for way, leave := range map[string]func(*net.TCPConn) error{
			"close": (*net.TCPConn).Close,
			"reset": func(c *net.TCPConn) error { _ = c.SetLinger(0); return c.Close() },
			"shut":  (*net.TCPConn).CloseWrite,
		} {
			t.Run(name+", "+way, func(t *testing.T) {
				t.Parallel()
				r := newWorker(t, "s-00000001", "reader", tc.reader)
				workers := []*worker{r}
				if tc.unreachable == 0 {
					workers = append(workers, newWorker(t, "s-00000002", "writer", nil))
				}
				p, d := startPlatform(t, workers...)
				for i := range tc.unreachable {
					addr, _ := unreachableWorker(t)
					d.addWorkerAt(fmt.Sprintf("s-000002%02x", i), "writer", addr)
				}
				p.waitForList(1 + tc.unreachable)
				ids := []string{newID()}
				text := p.requestText("query", ids[0], patience)
				for range tc.ahead {
					ids = append(ids, newID())
					text += p.requestText("query", ids[len(ids)-1], patience)
				}
				c := p.sendRaw(text)
				eventually(t, func() bool { return countPosts(r) > 0 }, "the first request is at the reader")
				require.NoError(t, leave(c.(*net.TCPConn)))
				left := time.Now()
				// The next attempt would start when the reader answers, after 0.7 s.
				time.Sleep(1500 * time.Millisecond)
				for _, k := range workers {
					for _, got := range k.received(http.MethodPost) {
						require.Less(t, got.at.Sub(left), disconnectDelay, "%s at %s", got.id, k.name)
						require.Equal(t, ids[0], got.id, "a request after the first, at %s", k.name)
					}
				}
			})
		}
	}
}

// Guards against idle clients that use up all descriptors while discovery is down. Descriptors must
// be left for discovery, workers and the console: the router receives the list as soon as discovery
// answers, serves clients and releases held states.
func TestIdleClientsDoNotExhaustDescriptors(t *testing.T) {
	const sockets = 256
	r := newWorker(t, "s-00000001", "reader", nil)
	failing := newWorker(t, "s-00000002", "writer", closeConnection)
	d := newDiscovery(t)
	d.addList(true, "in_service", r, failing)
	addr, console, file := ownAddr(t), ownAddr(t), config(t, `{"generation":0,"reset":true,"instances":[]}`, connIdle)
	text, err := os.ReadFile(file)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(file, []byte(strings.Replace(string(text), `"sockets":1024`, fmt.Sprintf(`"sockets":%d`, sockets), 1)), 0o600))
	p := start(t, addr, []string{"ROUTER_LISTEN=" + addr, "ROUTER_NAME=n1", "ROUTER_CONSOLE=" + console,
		"ROUTER_DISCOVERY=" + d.Listener.Addr().String(), "ROUTER_CONFIG=" + file}, "serve").waitReady()
	limit := unix.Rlimit{Cur: sockets, Max: sockets}
	require.NoError(t, unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_NOFILE, &limit, nil))
	up := d.stop()
	d.CloseClientConnections()
	var idle []net.Conn
	for range 2 * sockets {
		c, err := net.Dial("tcp", addr)
		require.NoError(t, err)
		defer c.Close()
		idle = append(idle, c)
	}
	d.CloseClientConnections() // the router now needs a new connection to discovery
	id := newID()
	require.NotEqual(t, 200, p.ask("query", id, time.Second).status, "its writer closes the connection")
	eventually(t, func() bool { return released(id, r, failing) }, "the held state is released")
	writer := newWorker(t, "s-00000003", "writer", nil)
	generation := d.addList(false, "in_service", writer)
	up()
	from := time.Now()
	p.waitForList(generation)
	require.Less(t, time.Since(from), loadTolerance)
	eventually(t, func() bool { return p.ask("query", newID(), patience).status == 200 }, "clients are served")
	resp, err := http.Get("http://" + console + "/v1/readyz")
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, 200, resp.StatusCode)
	_, open := processUsage(t, p.cmd.Process.Pid)
	t.Logf("%d idle clients, %d descriptors of %d", len(idle), open, sockets)
	require.LessOrEqual(t, open, sockets)
}

// Thirty processes that start together must be ready within 10 s (90 % of them) if discovery is
// unreachable, refuses connections or does not answer.
func TestProcessesBecomeReadyWithoutDiscovery(t *testing.T) {
	const processes, timeout = 30, 10 * time.Second
	r, w := pair(t, nil)
	mute, _ := unreachableWorker(t)
	dead := ownAddr(t)
	slow, err := net.Listen("tcp", "127.0.0.1:0") // accepts connections and sends nothing
	require.NoError(t, err)
	defer slow.Close()
	var all sync.WaitGroup
	var programs []*program
	for i := range processes {
		addr, file := ownAddr(t), config(t, listText(0, true, "in_service", r, w), connIdle)
		setRouterCount(t, file, processes)
		programs = append(programs, start(t, addr, []string{"ROUTER_LISTEN=" + addr, fmt.Sprintf("ROUTER_NAME=n%d", i),
			"ROUTER_DISCOVERY=" + []string{mute, dead, slow.Addr().String()}[i%3], "ROUTER_CONFIG=" + file}, "serve"))
	}
	from := time.Now()
	took := make([]time.Duration, processes)
	for i, p := range programs {
		all.Go(func() {
			for time.Since(from) < eventualTimeout && p.status(http.MethodGet, "/healthz") != 200 {
				time.Sleep(pollInterval)
			}
			took[i] = time.Since(from)
		})
	}
	all.Wait()
	inTime := 0
	for _, d := range took {
		if d < timeout {
			inTime++
		}
	}
	t.Logf("ready after %v", took)
	require.GreaterOrEqual(t, inTime, processes*9/10)
	require.Equal(t, 200, programs[0].ask("query", newID(), patience).status)
}

// lockstep makes a writer send an event only after the client has received the one before.
type lockstep struct {
	mu   sync.Mutex
	acks map[string]chan struct{} // by request id, a message per event received
}

func (s *lockstep) acksOf(id string) chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.acks[id] == nil {
		s.acks[id] = make(chan struct{}, 100)
	}
	return s.acks[id]
}

// serve writes events one by one, each when the client has received the one before.
func (s *lockstep) serve(events int) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, r *http.Request) {
		beginStream(w)
		for range events {
			select {
			case <-s.acksOf(r.Header.Get("X-Correlation-Id")):
			case <-r.Context().Done():
				return
			}
			_, _ = io.WriteString(w, "data: next\n\n")
			w.(http.Flusher).Flush()
		}
		_, _ = io.WriteString(w, streamEnd)
	}
}

// follow requests streams concurrently and returns how many began and how many were completed. It
// ends a stream in which an event is received later than maxGap after the one before.
func (s *lockstep) follow(p *program, addr string, streams int, maxGap time.Duration) (begun, ended int) {
	var all sync.WaitGroup
	var mu sync.Mutex
	for range streams {
		all.Go(func() {
			id := newID()
			req := p.request("query", id, patience)
			req.URL.Host = addr
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				return
			}
			defer resp.Body.Close()
			if resp.StatusCode != 200 {
				return
			}
			mu.Lock()
			begun++
			mu.Unlock()
			late := time.AfterFunc(maxGap, func() { _ = resp.Body.Close() })
			defer late.Stop()
			for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
				if text := lines.Text(); text == "data: [DONE]" {
					mu.Lock()
					ended++
					mu.Unlock()
				} else if text != "" {
					late.Reset(maxGap)
					s.acksOf(id) <- struct{}{}
				}
			}
		})
	}
	all.Wait()
	return begun, ended
}

// Guards against events that are held back until the next one arrives. Writers send an event
// only after the client has received the one before, while other clients read nothing of their long
// streams. A link with a delay of 200 ms shows that the check can fail.
func TestEventsAreForwardedImmediately(t *testing.T) {
	const streams, stuck, each = 200, 10, 8
	steps := &lockstep{acks: map[string]chan struct{}{}}
	r := newWorker(t, "s-00000001", "reader", nil)
	w := newWorker(t, "s-00000002", "writer", func(rw http.ResponseWriter, req *http.Request) {
		if req.Header.Get("X-Stuck") == "" {
			steps.serve(each)(rw, req)
			return
		}
		beginStream(rw)
		for range 100 { // more than the buffers of a connection hold
			if _, err := io.WriteString(rw, "data: "+strings.Repeat("x", 64<<10)+"\n\n"); err != nil {
				return
			}
		}
	})
	p, _ := startPlatform(t, r, w)
	for range stuck {
		p.sendRaw(strings.Replace(p.requestText("query", newID(), patience), "\r\n", "\r\nX-Stuck: 1\r\n", 1))
	}
	eventually(t, func() bool { return countPosts(w) > 0 }, "long streams have begun")
	var begun, ended int
	for begun < streams {
		b, e := steps.follow(p, p.addr, 50, eventualTimeout)
		begun, ended = begun+b, ended+e
	}
	require.GreaterOrEqual(t, ended, begun*19/20, "streams completed in lockstep, of %d", begun)

	relay, err := link.New(p.addr)
	require.NoError(t, err)
	defer relay.Close()
	relay.Set(link.Fault{Delay: 200 * time.Millisecond})
	begun, ended = 0, 0
	for begun == 0 {
		begun, ended = steps.follow(p, relay.Addr(), 3, 100*time.Millisecond)
	}
	require.Zero(t, ended, "the check can fail")
}

// A process that receives several signals in quick succession must exit cleanly, complete its open
// requests and close connections with partial requests without a reset.
func TestSignalsInQuickSuccession(t *testing.T) {
	for name, signals := range map[string][]syscall.Signal{
		"SIGTERM twice":       {syscall.SIGTERM, syscall.SIGTERM},
		"SIGHUP then SIGTERM": {syscall.SIGHUP, syscall.SIGTERM},
		"SIGTERM then SIGHUP": {syscall.SIGTERM, syscall.SIGHUP},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			more := make(chan struct{})
			r, w := pair(t, heldStream(more))
			p, _ := startPlatform(t, r, w)
			answers := make(chan answer, 1)
			go func() { answers <- p.ask("query", newID(), patience) }()
			eventually(t, func() bool { return countPosts(w) == 1 }, "the answer has begun")
			half := p.sendRaw("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Le")
			body := p.sendRaw(p.requestText("query", newID(), patience)[:400])
			for _, s := range signals {
				p.signal(s)
			}
			eventually(t, func() bool { return p.logged("stopping") }, "it stops")
			close(more)
			a := <-answers
			require.NoError(t, a.err)
			require.Equal(t, streamStart+streamEnd, a.body)
			for _, c := range []net.Conn{half, body} {
				require.NoError(t, c.SetReadDeadline(time.Now().Add(eventualTimeout)))
				_, err := io.ReadAll(c)
				require.NoError(t, err, "a connection with a partial request is reset")
			}
			p.waitExit()
		})
	}
}

// A process that receives SIGTERM before it is ready must exit cleanly.
func TestSIGTERMBeforeReady(t *testing.T) {
	slow, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer slow.Close()
	addr, file := ownAddr(t), config(t, `{"generation":0,"reset":true,"instances":[]}`, connIdle)
	p := start(t, addr, []string{"ROUTER_LISTEN=" + addr, "ROUTER_NAME=n1", "ROUTER_DISCOVERY=" + slow.Addr().String(),
		"ROUTER_CONFIG=" + file}, "serve")
	eventually(t, func() bool { return p.logged("serving") }, "it listens")
	require.Equal(t, 503, p.status(http.MethodGet, "/healthz"))
	p.signal(syscall.SIGTERM)
	p.waitExit()
}
