package upstream

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"os/exec"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"lichenshelf/internal/standin/deaf"
	"lichenshelf/logic"
	"lichenshelf/metrics"
	"lichenshelf/router"
)

// A worker is told the time that is left when its first byte goes out: a connection may have taken
// long to come up, or the first one broke.
func TestTheTimeToldIsWhatIsLeft(t *testing.T) {
	const wait, late = 10 * time.Second, 300 * time.Millisecond
	told := make(chan int, 1)
	l, err := deaf.Listen()
	require.NoError(t, err)
	t.Cleanup(l.Close)
	c := New(Config{ConnectTimeout: wait, ConnIdle: time.Minute, MaxConns: 8, WaitHeader: "X-Wait", Counters: &metrics.Set{},
		Judge: func(int, *fasthttp.ResponseHeader, []byte) router.Outcome { return router.Outcome{} }})
	w := &router.Worker{Name: "w", Addr: l.Addr()}
	e := ends{make(chan router.Outcome, 4), make(chan router.Answer, 4)}
	m := &Message{Method: "POST", URI: "/x", Stream: true}
	from := time.Now()
	c.Send(router.Attempt{Request: &router.Request{Name: "a", Payload: m, Received: from, Request: logic.Request{Patience: wait}}, Worker: w, Wait: wait}, e)
	time.Sleep(late) // its connection does not come up meanwhile
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				req, err := http.ReadRequest(bufio.NewReader(nc))
				if err == nil {
					ms, _ := strconv.Atoi(req.Header.Get("X-Wait"))
					told <- ms
				}
			}()
		}
	}()
	ms := <-told
	require.LessOrEqual(t, time.Duration(ms)*time.Millisecond, wait-late)
	require.GreaterOrEqual(t, time.Duration(ms)*time.Millisecond, wait-time.Since(from)-time.Millisecond)
}

// A refusal whose body does not come to its end is waited for within a bound, and then may have run; a prompt that was
// read is held from the head on, whatever becomes of the body.
func TestTheBodyOfARefusalIsBounded(t *testing.T) {
	heads := map[string]logic.Status{
		"503 Service Unavailable\r\nX-Not-Run: 1": logic.ConnectionReset, "410 Gone\r\nX-Not-Run: 1": logic.ConnectionReset,
		"202 Accepted": logic.PromptRead, "500 Internal Server Error": logic.ConnectionReset,
	}
	bodies := map[string]string{
		"never comes": "Content-Length: 10\r\n\r\n", "stops": "Content-Length: 10\r\n\r\n{}", "has no end": "\r\n",
		"never ends":  "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("2\r\nab\r\n", 10),
		"is spoilt":   "Transfer-Encoding: chunked\r\n\r\nzz\r\n",
		"is too long": "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("400\r\n"+strings.Repeat("x", 1<<10)+"\r\n", 4),
	}
	for head, want := range heads {
		for name, body := range bodies {
			t.Run(head[:3]+" "+name, func(t *testing.T) {
				t.Parallel()
				closed := make(chan struct{}, 1)
				c, w, _ := against(t, replies("HTTP/1.1 "+head+"\r\n"+body, closed))
				c.cfg.BodyWait = 50 * time.Millisecond
				c.cfg.Judge = func(status int, h *fasthttp.ResponseHeader, _ []byte) router.Outcome {
					switch {
					case string(h.Peek("X-Not-Run")) == "1":
						return router.Outcome{Status: logic.Full}
					case status == http.StatusAccepted:
						return router.Outcome{Status: logic.PromptRead}
					}
					return router.Outcome{Status: logic.ServerError}
				}
				e := ends{make(chan router.Outcome, 4), make(chan router.Answer, 4)}
				m := &Message{Method: "POST", URI: "/x", Stream: true}
				c.Send(router.Attempt{Request: &router.Request{Name: "a", Payload: m}, Worker: w, Wait: time.Hour}, e)
				select {
				case o := <-e.outcomes:
					require.Equal(t, want, o.Status)
				case <-time.After(10 * time.Second):
					t.Fatal("it is waited for")
				}
				<-closed // the connection is of no further use
			})
		}
	}
}

// A request that a worker stops taking half-way never reached it, and is not out for longer than it may take to get there.
func TestReachBoundsARequestThatIsTakenInPart(t *testing.T) {
	goOn := make(chan struct{})
	defer close(goOn)
	c, w, _ := against(t, func(nc net.Conn) {
		_, _ = nc.Read(make([]byte, 1))
		<-goOn
	})
	e := ends{make(chan router.Outcome, 1), make(chan router.Answer, 1)}
	r := &router.Request{Payload: &Message{Method: "POST", URI: "/x", Body: make([]byte, 64<<20)}}
	c.Send(router.Attempt{Request: r, Worker: w, Wait: time.Hour, SendWithin: 50 * time.Millisecond}, e)
	select {
	case o := <-e.outcomes:
		require.ErrorIs(t, o.Cause, os.ErrDeadlineExceeded)
		o.Cause = nil
		require.Equal(t, router.Outcome{Status: logic.ConnectFailed, Unreached: true}, o)
	case <-time.After(10 * time.Second):
		require.Fail(t, "the attempt is still out")
	}
}

// taken is a release as a worker took it.
type taken struct {
	path string
	at   time.Time
}

// fallSilent starts workers that take releases. Once quiet is set four in five of them say nothing more and take nothing.
func fallSilent(t *testing.T, n int, took chan<- taken) (workers []*router.Worker, quiet *atomic.Bool) {
	quiet = new(atomic.Bool)
	for i := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(func() { _ = l.Close() })
		serve := func(nc net.Conn) {
			for br := bufio.NewReader(nc); ; {
				req, err := http.ReadRequest(br)
				if err != nil {
					_ = nc.Close()
					return
				}
				if i%5 != 0 && quiet.Load() {
					continue
				}
				took <- taken{req.URL.Path, time.Now()}
				_, _ = io.WriteString(nc, "HTTP/1.1 204 No Content\r\n\r\n")
			}
		}
		go func() {
			for nc, err := l.Accept(); err == nil; nc, err = l.Accept() {
				go serve(nc)
			}
		}()
		workers = append(workers, &router.Worker{Name: fmt.Sprint(i), Addr: l.Addr().String()})
	}
	return workers, quiet
}

// A release finds a worker that runs in time, though four in five of them say nothing, the latest used among
// them.
func TestReleasesFindAWorkerThatRuns(t *testing.T) {
	for _, n := range []int{16, 100, 400} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			c := New(Config{ConnectTimeout: 250 * time.Millisecond, ConnIdle: time.Minute, MaxConns: 2 * n, MaxAnswer: 1 << 10,
				ReleasePath: "/holds/", Counters: &metrics.Set{}})
			took := make(chan taken, n)
			workers, quiet := fallSilent(t, n, took)
			release := func(order []*router.Worker) time.Duration {
				from, done := time.Now(), make(chan struct{})
				c.Release("a", append([]*router.Worker(nil), order...), func(*router.Worker, error) { close(done) })
				<-done
				for last := from; ; {
					select {
					case r := <-took:
						last = r.at
						continue
					default:
					}
					require.True(t, last.After(from), "a release that nobody took")
					return last.Sub(from)
				}
			}
			for i := range workers { // a connection to each is at hand, those that fall silent are the latest used
				release(workers[i : i+1])
			}
			for i := range workers {
				if i%5 != 0 {
					release(workers[i : i+1])
				}
			}
			quiet.Store(true)
			var most time.Duration
			for range 8 {
				most = max(most, release(workers))
			}
			require.Less(t, most, releaseFor)
			t.Logf("%d workers: %v at most", n, most)
		})
	}
}

// As many states are let go of at once as reads were out at workers that fell silent together. Calls to silent workers
// stay out until their time is over, here as long as releases are tried, and must not keep all connections from those that
// would be answered.
func TestManyReleasesAtOnceFindAWorkerThatRuns(t *testing.T) {
	for _, size := range []struct{ workers, conns, releases int }{{16, 32, 40}, {100, 64, 200}, {400, 64, 200}, {400, 300, 200}} {
		t.Run(fmt.Sprintf("%d at %d workers over %d connections", size.releases, size.workers, size.conns), func(t *testing.T) {
			c := New(Config{ConnectTimeout: 250 * time.Millisecond, ConnIdle: time.Minute, MaxConns: size.conns, MaxAnswer: 1 << 10,
				ReleasePath: "/holds/", Counters: &metrics.Set{}})
			c.releaseWait = releaseFor
			took := make(chan taken, size.workers*(size.releases+2))
			workers, quiet := fallSilent(t, size.workers, took)
			for range 2 { // some connections are at hand
				for _, w := range workers {
					done := make(chan struct{})
					c.Release("before", []*router.Worker{w}, func(*router.Worker, error) { close(done) })
					<-done
				}
			}
			quiet.Store(true)
			from := time.Now()
			var all sync.WaitGroup
			for i := range size.releases {
				all.Add(1)
				c.Release(fmt.Sprint(i), slices.Clone(workers), func(*router.Worker, error) { all.Done() })
			}
			all.Wait()
			first := map[string]time.Duration{}
			for len(took) > 0 {
				if r := <-took; first[r.path] == 0 && r.at.After(from) {
					first[r.path] = r.at.Sub(from)
				}
			}
			require.Len(t, first, size.releases, "releases that a worker took")
			t.Logf("%v at most", slices.Max(slices.Collect(maps.Values(first))))
		})
	}
}

// Nobody takes it at first: it is tried again.
func TestAReleaseThatNobodyTookIsTriedAgain(t *testing.T) {
	var refused atomic.Int64
	c, w, _ := against(t, func(nc net.Conn) {
		for br := bufio.NewReader(nc); ; {
			if _, err := http.ReadRequest(br); err != nil {
				return
			}
			if refused.Add(1) <= 3 {
				_, _ = io.WriteString(nc, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")
				continue
			}
			_, _ = io.WriteString(nc, "HTTP/1.1 204 No Content\r\n\r\n")
		}
	})
	done := make(chan struct{})
	c.Release("a", []*router.Worker{w}, func(*router.Worker, error) { close(done) })
	<-done
	require.EqualValues(t, 4, refused.Load())
}

// Attempts that have all connections leave some to releases; and the lack of a descriptor is not held against
// a worker.
func TestAReleaseHasItsConnectionWhileAttemptsHaveAll(t *testing.T) {
	taken, goOn := make(chan struct{}, 1), make(chan struct{})
	defer close(goOn)
	c, w, _ := against(t, func(nc net.Conn) {
		req, err := http.ReadRequest(bufio.NewReader(nc))
		if err == nil && req.Method == http.MethodDelete {
			taken <- struct{}{}
			_, _ = io.WriteString(nc, "HTTP/1.1 204 No Content\r\n\r\n")
		}
		<-goOn
	})
	for range 2 {
		_, giveUp := send(c, w, true)
		defer giveUp()
	}
	require.Eventually(t, func() bool { c.pool.mu.Lock(); defer c.pool.mu.Unlock(); return c.pool.open == 2 },
		time.Minute, time.Millisecond)
	done := make(chan struct{})
	c.Release("a", []*router.Worker{w}, func(*router.Worker, error) { close(done) })
	<-done
	require.Len(t, taken, 1)
}

// A worker that says something on a resting connection, half a line or another answer, is not taken at its word: the
// next request goes out on a connection of its own.
func TestWhatComesOnARestingConnectionIsNoAnswer(t *testing.T) {
	for _, text := range []string{"H", "HTTP/1.1 2", "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n", accepted} {
		said := make(chan struct{}, 2)
		c, w, counters := against(t, func(nc net.Conn) {
			for first := true; request(nc); first = false {
				_, _ = io.WriteString(nc, accepted)
				if first {
					_, _ = io.WriteString(nc, text)
					said <- struct{}{}
				}
			}
		})
		for range 2 {
			e, _ := send(c, w, true)
			require.Equal(t, logic.PromptRead, (<-e.outcomes).Status, "%q", text)
			<-said
		}
		require.EqualValues(t, 2, counters.Get("connections_opened"), "%q", text)
	}
}

// The first event comes in parts, and its connection breaks between them: nothing of it is handed on, and the attempt
// may be made elsewhere. So with one that comes no further. Whole, in whatever form, it is handed on at once.
func TestAnAnswerBeginsWithAWholeEvent(t *testing.T) {
	chunk := func(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }
	for _, parts := range [][]string{
		{"data: {\"choi"}, {"d"}, {"data: x"}, {"data: x\n"}, {"data: x\r\n"}, {"da", "ta: x", "\n"}, {": a comment\n\n"}, {"\n\n"},
		{": a comment\n\n", "data: x\n", "data: y\n"},
	} {
		for _, stays := range []bool{true, false} {
			t.Run(fmt.Sprintf("%q %v", parts, stays), func(t *testing.T) {
				t.Parallel()
				c, w, _ := against(t, func(nc net.Conn) {
					request(nc)
					_, _ = io.WriteString(nc, streamHead)
					for _, p := range parts {
						_, _ = io.WriteString(nc, chunk(p))
					}
					if !stays {
						_ = nc.Close()
					}
				})
				e, _ := send(c, w, true)
				select {
				case o := <-e.outcomes:
					require.Equal(t, logic.ConnectionReset, o.Status)
				case <-e.answers:
					t.Fatal("a part was handed on")
				case <-time.After(10 * time.Second):
					t.Fatal("it is waited for")
				}
			})
		}
	}
	for _, parts := range [][]string{
		{"data: x\n\n"}, {"data: x\r\n\r\n"}, {"data: x\r\r"}, {"event: a\ndata: x\n", "\n"}, {"d", "ata: ", "x\r\n", "\r\n"},
		{": a comment\n\n", "data: x\n\n"}, {"\n\ndata: x\n\n"},
	} {
		t.Run(fmt.Sprintf("%q", parts), func(t *testing.T) {
			t.Parallel()
			c, w, _ := against(t, func(nc net.Conn) {
				request(nc)
				_, _ = io.WriteString(nc, streamHead)
				for _, p := range parts {
					_, _ = io.WriteString(nc, chunk(p))
				}
				_, _ = nc.Read(make([]byte, 1))
			})
			e, giveUp := send(c, w, true)
			defer giveUp()
			select {
			case a := <-e.answers:
				want, got := strings.Join(parts, ""), make([]byte, 64)
				n, err := io.ReadFull(a, got[:len(want)])
				require.NoError(t, err)
				require.Equal(t, want, string(got[:n]))
			case o := <-e.outcomes:
				t.Fatalf("it ended: %v", o.Status)
			case <-time.After(10 * time.Second):
				t.Fatal("it is waited for")
			}
		})
	}
}

// The lack of a descriptor says nothing of a worker, and the attempt has not reached it. It is looked at in a process
// of its own, whose descriptors are taken away.
func TestTheLackOfADescriptorIsNoFaultOfAWorker(t *testing.T) {
	const child = "LICHENSHELF_TEST_WITHOUT_DESCRIPTORS"
	if os.Getenv(child) == "" {
		cmd := exec.Command(os.Args[0], "-test.run=^"+t.Name()+"$", "-test.count=1", "-test.v", "-test.timeout=10s")
		cmd.Env = append(os.Environ(), child+"=1")
		out, err := cmd.CombinedOutput()
		require.NoError(t, err, string(out))
		require.Contains(t, string(out), "--- PASS: "+t.Name())
		return
	}
	c, w, counters := against(t, func(nc net.Conn) { request(nc); _, _ = io.WriteString(nc, accepted) })
	var usual syscall.Rlimit
	require.NoError(t, syscall.Getrlimit(syscall.RLIMIT_NOFILE, &usual))
	none := syscall.Rlimit{Cur: 3, Max: usual.Max} // those are open
	require.NoError(t, syscall.Setrlimit(syscall.RLIMIT_NOFILE, &none))
	e, _ := send(c, w, true)
	o := <-e.outcomes
	require.NoError(t, syscall.Setrlimit(syscall.RLIMIT_NOFILE, &usual))
	require.Equal(t, logic.Full, o.Status)
	require.True(t, o.Unreached)
	require.EqualValues(t, 1, counters.Get("attempts_without_a_connection"))
}

// An answer without a single event is not this request's: it may be a second one for the request before, and the real one
// on its way. Its connection must not get to another request, not for a moment.
func TestAConnectionWithAnEmptyStreamIsNotKept(t *testing.T) {
	for _, text := range []string{"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", streamHead + "0\r\n\r\n"} {
		closed := make(chan struct{}, 1)
		c, w, _ := against(t, replies(text, closed))
		e, _ := send(c, w, true)
		require.Equal(t, logic.ConnectionReset, (<-e.outcomes).Status)
		<-closed
		c.pool.mu.Lock()
		require.Empty(t, c.pool.idle[w], "it was kept")
		require.Zero(t, c.pool.open)
		c.pool.mu.Unlock()
	}
}

// The end of a first event is found by looking at each byte once, however small the parts are.
func TestFirstEventsInParts(t *testing.T) {
	for text, want := range map[string]bool{
		"data: x\n\n": true, "data: x\r\n\r\n": true, "data: x\r\r": true, "data\n\n": true, ": c\n\ndata: x\n\n": true, "id: 1\ndata: x\n\n": true,
		"data: x\n": false, "data: x\r\n": false, "dat: x\n\n": false, " data: x\n\n": false, "\n\n\n": false, "x data: x\n\n": false, "data": false,
	} {
		for size := 1; size <= len(text); size++ {
			var e eventEnds
			got := false
			for i := 0; i < len(text) && !got; i += size {
				_, got = e.last([]byte(text[i:min(i+size, len(text))]))
			}
			require.Equal(t, want, got, "%q in parts of %d", text, size)
		}
	}
}

// An attempt that is given up, or whose answer is spoilt, is out until its worker has ended its side as well, which it does
// when it knows: the sending is ended first, and the connection closed after that. A worker that says nothing is not waited
// for longer than the bound.
func TestAnAttemptIsOutUntilItsWorkerKnows(t *testing.T) {
	for name, tc := range map[string]struct {
		answer string // to the second request of the connection; empty: none
		ends   bool   // the worker closes the connection after it by itself
	}{
		"given up": {}, "spoilt head": {answer: "noise\r\n\r\n"}, "spoilt chunk": {answer: streamHead + "zz\r\n"},
		"ended": {answer: streamHead, ends: true}, "ended without a word": {ends: true},
	} {
		for _, bounded := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, bounded %v", name, bounded), func(t *testing.T) {
				whole, learnt, goOn := make(chan struct{}), make(chan error, 1), make(chan struct{})
				defer close(goOn)
				c, w, _ := against(t, func(nc net.Conn) {
					br := bufio.NewReader(nc)
					for _, answer := range []string{accepted, tc.answer} {
						req, err := http.ReadRequest(br)
						if err != nil {
							return
						}
						_, _ = io.Copy(io.Discard, req.Body)
						_, _ = io.WriteString(nc, answer)
					}
					close(whole)
					if !tc.ends {
						_, err := br.ReadByte()
						learnt <- err
						<-goOn
					}
					_ = nc.Close()
				})
				c.pool.learning = time.Hour
				if bounded {
					c.pool.learning = time.Millisecond
				}
				e, _ := send(c, w, true)
				require.Equal(t, logic.PromptRead, (<-e.outcomes).Status)
				e, giveUp := send(c, w, true)
				<-whole
				over := make(chan struct{})
				go func() {
					defer close(over)
					if name == "given up" {
						<-giveUp()
					} else {
						<-e.outcomes
					}
				}()
				if !tc.ends && !bounded {
					require.ErrorIs(t, <-learnt, io.EOF)
					select {
					case <-over:
						require.Fail(t, "over before its worker knew")
					case <-time.After(50 * time.Millisecond):
					}
					goOn <- struct{}{}
				}
				<-over
			})
		}
	}
}

// A stream's events are handed on whole, each as soon as its end is there, however its bytes come; half of one is dropped where the
// stream breaks, and what is left goes where it ends in good order.
func TestEventsAreHandedOnWhole(t *testing.T) {
	const first = "data: first\n\n"
	chunk := func(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }
	huge := "data: " + strings.Repeat("y", mostChunk)
	for name, tc := range map[string]struct {
		parts, want []string
		breaks      bool
	}{
		"in one":              {parts: []string{"data: a\n\n"}, want: []string{"data: a\n\n"}},
		"in halves":           {parts: []string{"data", ": a\n", "\n"}, want: []string{"data: a\n\n"}},
		"a half behind":       {parts: []string{"data: a\n\ndata: ", "b\r\n\r\n"}, want: []string{"data: a\n\n", "data: b\r\n\r\n"}},
		"a comment":           {parts: []string{": c\n\n"}, want: []string{": c\n\n"}},
		"no event at the end": {parts: []string{"data: a"}, want: []string{"data: a"}},
		"a half and a break":  {parts: []string{"data: a\n\ndata: "}, want: []string{"data: a\n\n"}, breaks: true},
		"past all bounds":     {parts: []string{huge[:mostChunk], huge[mostChunk:], "\n\n"}, want: []string{huge[:mostChunk], huge[mostChunk:] + "\n\n"}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			goOn := make(chan struct{})
			c, w, _ := against(t, func(nc net.Conn) {
				request(nc)
				_, _ = io.WriteString(nc, streamHead+chunk(first))
				for _, p := range tc.parts {
					<-goOn // the part before has been read
					_, _ = io.WriteString(nc, chunk(p))
				}
				<-goOn
				if !tc.breaks {
					_, _ = io.WriteString(nc, "0\r\n\r\n")
				}
				_ = nc.Close()
			})
			c.cfg.StreamStall = time.Minute
			e, _ := send(c, w, true)
			a := <-e.answers
			go func() {
				for range len(tc.parts) + 1 {
					goOn <- struct{}{}
				}
			}()
			var got []string
			for buf := make([]byte, 2*mostChunk); ; {
				n, err := a.Read(buf)
				if n > 0 {
					got = append(got, string(buf[:n]))
				}
				if err != nil {
					require.Equal(t, tc.breaks, err != io.EOF, "%v", err)
					break
				}
			}
			require.Equal(t, strings.Join(append([]string{first}, tc.want...), ""), strings.Join(got, ""))
			for _, part := range got {
				require.True(t, strings.HasSuffix(part, "\n\n") || strings.HasSuffix(part, "\r\n\r\n") || part == "data: a" || len(part) >= mostChunk, "%.40q", part)
			}
		})
	}
}

// A request lets go of its message when an answer begins, while an attempt that was given up is still on its way: it must not
// look for it.
func TestAnAttemptOutlivesItsRequestsMessage(t *testing.T) {
	for _, answer := range []string{streamHead + "5\r\ndata\n\r\n", accepted, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"} {
		whole, goOn := make(chan struct{}), make(chan struct{})
		c, w, _ := against(t, func(nc net.Conn) {
			request(nc)
			close(whole)
			<-goOn
			_, _ = io.WriteString(nc, answer)
			_ = nc.Close()
		})
		e := ends{make(chan router.Outcome, 4), make(chan router.Answer, 4)}
		req := &router.Request{Name: "a", Payload: &Message{Method: "POST", URI: "/x", Body: []byte("body"), Stream: true}}
		c.Send(router.Attempt{Request: req, Worker: w, Wait: time.Minute}, e)
		req.Payload = nil
		<-whole
		close(goOn)
		<-e.outcomes
	}
}

// A worker that writes a second answer some milliseconds after the first has not answered the next request by it, however soon
// that comes.
func TestALateSecondAnswerIsNobodys(t *testing.T) {
	const late = 5 * time.Millisecond
	c, w, _ := against(t, func(nc net.Conn) {
		defer nc.Close()
		for request(nc) {
			_, _ = io.WriteString(nc, streamHead+"b\r\ndata: own\n\n\r\n0\r\n\r\n")
			time.Sleep(late)
			_, _ = io.WriteString(nc, streamHead+"f\r\ndata: another\n\n\r\n0\r\n\r\n")
		}
	})
	c.pool.rest = restFor
	for range 3 {
		e, _ := send(c, w, true)
		select {
		case answer := <-e.answers:
			body, err := io.ReadAll(answer)
			require.NoError(t, err)
			require.Equal(t, "data: own\n\n", string(body))
			require.NoError(t, answer.Close())
		case o := <-e.outcomes:
			t.Fatal("no answer: ", o.Status)
		}
	}
}

// A second answer that comes late says nothing of a release either: its worker may have ended the connection without reading it.
func TestALateSecondAnswerIsNoReleases(t *testing.T) {
	const late = 5 * time.Millisecond
	var conns atomic.Int32
	released := make(chan struct{})
	c, w, _ := against(t, func(nc net.Conn) {
		defer nc.Close()
		if conns.Add(1) == 1 {
			request(nc)
			_, _ = io.WriteString(nc, accepted)
			time.Sleep(late)
			_, _ = io.WriteString(nc, accepted)
			return
		}
		if request(nc) {
			close(released)
			_, _ = io.WriteString(nc, "HTTP/1.1 204 No Content\r\n\r\n")
		}
	})
	c.pool.rest = restFor
	e, _ := send(c, w, true)
	require.Equal(t, logic.PromptRead, (<-e.outcomes).Status)
	done := make(chan struct{})
	c.Release("a", []*router.Worker{w}, func(*router.Worker, error) { close(done) })
	<-done
	select {
	case <-released:
	default:
		t.Fatal("no worker has read the release")
	}
}

// A connection goes to the next request once it has rested, and not before.
func TestAConnectionRestsBeforeItsNextRequest(t *testing.T) {
	for _, c := range []struct {
		rest time.Duration
		made int64
	}{{0, 1}, {time.Hour, 3}} {
		client, w, counters := against(t, func(nc net.Conn) {
			for request(nc) {
				_, _ = io.WriteString(nc, accepted)
			}
		})
		client.pool.rest, client.pool.most = c.rest, 8
		for range 3 {
			e, _ := send(client, w, true)
			require.Equal(t, logic.PromptRead, (<-e.outcomes).Status)
		}
		require.EqualValues(t, c.made, counters.Get("connections_opened"))
	}
}
