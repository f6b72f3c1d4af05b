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

// The wait header must state the time that is left when the request's first byte is written:
// opening the connection may have taken long, or the first connection may have failed.
func TestWaitHeaderIsTheTimeLeft(t *testing.T) {
	const wait, late = 10 * time.Second, 300 * time.Millisecond
	stated := make(chan int, 1)
	l, err := deaf.Listen()
	require.NoError(t, err)
	t.Cleanup(l.Close)
	c := New(Config{ConnectTimeout: wait, ConnIdle: time.Minute, MaxConns: 8, WaitHeader: "X-Wait", Counters: &metrics.Set{},
		Classify: func(int, *fasthttp.ResponseHeader, []byte) router.Outcome { return router.Outcome{} }})
	w := &router.Worker{Name: "w", Addr: l.Addr()}
	e := recordingSink{make(chan router.Outcome, 4), make(chan router.Answer, 4)}
	m := &Message{Method: "POST", URI: "/x", Stream: true}
	from := time.Now()
	c.Send(router.Attempt{Request: &router.Request{Name: "a", Payload: m, Received: from, Request: logic.Request{Patience: wait}}, Worker: w, Wait: wait}, e)
	time.Sleep(late) // the connection is not accepted meanwhile
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
					stated <- ms
				}
			}()
		}
	}()
	ms := <-stated
	require.LessOrEqual(t, time.Duration(ms)*time.Millisecond, wait-late)
	require.GreaterOrEqual(t, time.Duration(ms)*time.Millisecond, wait-time.Since(from)-time.Millisecond)
}

// Waiting for the end of a refusal's body is bounded. If the body is incomplete, the request may
// have run. A prompt that was read is held as soon as the head has arrived, whatever happens to the
// body.
func TestRefusalBodyIsBounded(t *testing.T) {
	heads := map[string]logic.Status{
		"503 Service Unavailable\r\nX-Not-Run: 1": logic.ConnectionReset, "410 Gone\r\nX-Not-Run: 1": logic.ConnectionReset,
		"202 Accepted": logic.PromptRead, "500 Internal Server Error": logic.ConnectionReset,
	}
	bodies := map[string]string{
		"is missing": "Content-Length: 10\r\n\r\n", "stops": "Content-Length: 10\r\n\r\n{}", "has no length": "\r\n",
		"never ends":   "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("2\r\nab\r\n", 10),
		"is malformed": "Transfer-Encoding: chunked\r\n\r\nzz\r\n",
		"is too long":  "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("400\r\n"+strings.Repeat("x", 1<<10)+"\r\n", 4),
	}
	for head, want := range heads {
		for name, body := range bodies {
			t.Run(head[:3]+" "+name, func(t *testing.T) {
				t.Parallel()
				closed := make(chan struct{}, 1)
				c, w, _ := startWorker(t, respondAndWait("HTTP/1.1 "+head+"\r\n"+body, closed))
				c.cfg.BodyWait = 50 * time.Millisecond
				c.cfg.Classify = func(status int, h *fasthttp.ResponseHeader, _ []byte) router.Outcome {
					switch {
					case string(h.Peek("X-Not-Run")) == "1":
						return router.Outcome{Status: logic.Full}
					case status == http.StatusAccepted:
						return router.Outcome{Status: logic.PromptRead}
					}
					return router.Outcome{Status: logic.ServerError}
				}
				e := recordingSink{make(chan router.Outcome, 4), make(chan router.Answer, 4)}
				m := &Message{Method: "POST", URI: "/x", Stream: true}
				c.Send(router.Attempt{Request: &router.Request{Name: "a", Payload: m}, Worker: w, Wait: time.Hour}, e)
				select {
				case o := <-e.outcomes:
					require.Equal(t, want, o.Status)
				case <-time.After(10 * time.Second):
					t.Fatal("the attempt did not end")
				}
				<-closed // the connection must not be reused
			})
		}
	}
}

// A worker that stops reading in the middle of a request has not received it. The attempt must end
// when SendWithin has passed.
func TestSendWithinBoundsAPartlyWrittenRequest(t *testing.T) {
	proceed := make(chan struct{})
	defer close(proceed)
	c, w, _ := startWorker(t, func(nc net.Conn) {
		_, _ = nc.Read(make([]byte, 1))
		<-proceed
	})
	e := recordingSink{make(chan router.Outcome, 1), make(chan router.Answer, 1)}
	r := &router.Request{Payload: &Message{Method: "POST", URI: "/x", Body: make([]byte, 64<<20)}}
	c.Send(router.Attempt{Request: r, Worker: w, Wait: time.Hour, SendWithin: 50 * time.Millisecond}, e)
	select {
	case o := <-e.outcomes:
		require.ErrorIs(t, o.Cause, os.ErrDeadlineExceeded)
		o.Cause = nil
		require.Equal(t, router.Outcome{Status: logic.ConnectFailed, Unreached: true}, o)
	case <-time.After(10 * time.Second):
		require.Fail(t, "the attempt did not end")
	}
}

// Guards against a repeat that is sent after its group has forgotten the request. The end of that
// time, before or while its connection is opened or written to, is no fault of the worker.
func TestRepeatIsNotSentAfterItsWindow(t *testing.T) {
	const window = 50 * time.Millisecond
	ask := func(c *Client, w *router.Worker, repeatBy time.Time, size int) router.Outcome {
		e := recordingSink{make(chan router.Outcome, 1), make(chan router.Answer, 1)}
		r := &router.Request{Payload: &Message{Method: "POST", URI: "/x", Body: make([]byte, size)}}
		c.Send(router.Attempt{Request: r, Worker: w, Wait: time.Hour, SendWithin: time.Hour, RepeatBy: repeatBy}, e)
		select {
		case o := <-e.outcomes:
			return o
		case <-time.After(10 * time.Second):
			require.Fail(t, "the attempt did not end")
			return router.Outcome{}
		}
	}
	requireNotSent := func(t *testing.T, o router.Outcome) {
		require.Equal(t, logic.Full, o.Status, o.Cause)
		require.True(t, o.Unreached)
	}
	t.Run("connected, too late", func(t *testing.T) {
		var requests atomic.Int64
		c, w, _ := startWorker(t, func(nc net.Conn) {
			if request(nc) {
				requests.Add(1)
				_, _ = io.WriteString(nc, accepted)
			}
		})
		o := ask(c, w, time.Now(), 1)
		requireNotSent(t, o)
		require.Equal(t, logic.PromptRead, ask(c, w, time.Now().Add(time.Hour), 1).Status, "in time")
		require.EqualValues(t, 1, requests.Load())
	})
	t.Run("while connecting", func(t *testing.T) {
		l, err := deaf.Listen()
		require.NoError(t, err)
		t.Cleanup(l.Close)
		c, w, _ := startWorker(t, func(net.Conn) {})
		w.Addr = l.Addr()
		requireNotSent(t, ask(c, w, time.Now().Add(window), 1))
	})
	t.Run("while writing", func(t *testing.T) {
		proceed := make(chan struct{})
		defer close(proceed)
		c, w, _ := startWorker(t, func(nc net.Conn) {
			_, _ = nc.Read(make([]byte, 1))
			<-proceed
		})
		requireNotSent(t, ask(c, w, time.Now().Add(window), 64<<20))
	})
}

// acceptedRelease is a release that a worker accepted.
type acceptedRelease struct {
	path string
	at   time.Time
}

// startPartlySilentWorkers starts workers that accept releases. Once quiet is set, four in five of
// them neither answer nor accept any.
func startPartlySilentWorkers(t *testing.T, n int, received chan<- acceptedRelease) (workers []*router.Worker, quiet *atomic.Bool) {
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
				received <- acceptedRelease{req.URL.Path, time.Now()}
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

// A release must reach a running worker in time although four in five workers are silent, among
// them those whose connections were used last.
func TestReleaseReachesARunningWorker(t *testing.T) {
	for _, n := range []int{16, 100, 400} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			c := New(Config{ConnectTimeout: 250 * time.Millisecond, ConnIdle: time.Minute, MaxConns: 2 * n, MaxAnswer: 1 << 10,
				ReleasePath: "/holds/", Counters: &metrics.Set{}})
			received := make(chan acceptedRelease, n)
			workers, quiet := startPartlySilentWorkers(t, n, received)
			release := func(order []*router.Worker) time.Duration {
				from, done := time.Now(), make(chan struct{})
				c.Release("a", append([]*router.Worker(nil), order...), func(*router.Worker, error) { close(done) })
				<-done
				for last := from; ; {
					select {
					case r := <-received:
						last = r.at
						continue
					default:
					}
					require.True(t, last.After(from), "no worker accepted the release")
					return last.Sub(from)
				}
			}
			// Opens an idle connection to each worker, the latest used ones to those that become
			// silent.
			for i := range workers {
				release(workers[i : i+1])
			}
			for i := range workers {
				if i%5 != 0 {
					release(workers[i : i+1])
				}
			}
			quiet.Store(true)
			var longest time.Duration
			for range 8 {
				longest = max(longest, release(workers))
			}
			require.Less(t, longest, releaseTimeout)
			t.Logf("%d workers: at most %v", n, longest)
		})
	}
}

// When workers fail together, as many releases start at once as reads were in flight at them. Calls
// to silent workers last until they time out, here as long as the whole release, and must not
// occupy all connections while running workers could be called.
func TestManyReleasesReachARunningWorker(t *testing.T) {
	for _, size := range []struct{ workers, conns, releases int }{{16, 32, 40}, {100, 64, 200}, {400, 64, 200}, {400, 300, 200}} {
		t.Run(fmt.Sprintf("%d at %d workers over %d connections", size.releases, size.workers, size.conns), func(t *testing.T) {
			c := New(Config{ConnectTimeout: 250 * time.Millisecond, ConnIdle: time.Minute, MaxConns: size.conns, MaxAnswer: 1 << 10,
				ReleasePath: "/holds/", Counters: &metrics.Set{}})
			c.releaseCallTimeout = releaseTimeout
			received := make(chan acceptedRelease, size.workers*(size.releases+2))
			workers, quiet := startPartlySilentWorkers(t, size.workers, received)
			for range 2 { // opens some connections, which stay idle
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
			for len(received) > 0 {
				if r := <-received; first[r.path] == 0 && r.at.After(from) {
					first[r.path] = r.at.Sub(from)
				}
			}
			require.Len(t, first, size.releases, "releases that a worker accepted")
			t.Logf("at most %v", slices.Max(slices.Collect(maps.Values(first))))
		})
	}
}

// The only worker refuses the release at first. The release must be retried.
func TestRefusedReleaseIsRetried(t *testing.T) {
	var refused atomic.Int64
	c, w, _ := startWorker(t, func(nc net.Conn) {
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

// Releases can open spare connections while attempts use all others.
func TestReleaseHasSpareConnections(t *testing.T) {
	releaseRead, proceed := make(chan struct{}, 1), make(chan struct{})
	defer close(proceed)
	c, w, _ := startWorker(t, func(nc net.Conn) {
		req, err := http.ReadRequest(bufio.NewReader(nc))
		if err == nil && req.Method == http.MethodDelete {
			releaseRead <- struct{}{}
			_, _ = io.WriteString(nc, "HTTP/1.1 204 No Content\r\n\r\n")
		}
		<-proceed
	})
	for range 2 {
		_, abort := send(c, w, true)
		defer abort()
	}
	require.Eventually(t, func() bool { c.pool.mu.Lock(); defer c.pool.mu.Unlock(); return c.pool.open == 2 },
		time.Minute, time.Millisecond)
	done := make(chan struct{})
	c.Release("a", []*router.Worker{w}, func(*router.Worker, error) { close(done) })
	<-done
	require.Len(t, releaseRead, 1)
}

// A worker sends bytes on an idle connection, a partial line or another answer. They must not count
// as an answer to the next request, which must use a new connection.
func TestBytesOnAnIdleConnectionAreNoAnswer(t *testing.T) {
	for _, text := range []string{"H", "HTTP/1.1 2", "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n", accepted} {
		sent := make(chan struct{}, 2)
		c, w, counters := startWorker(t, func(nc net.Conn) {
			for first := true; request(nc); first = false {
				_, _ = io.WriteString(nc, accepted)
				if first {
					_, _ = io.WriteString(nc, text)
					sent <- struct{}{}
				}
			}
		})
		for range 2 {
			e, _ := send(c, w, true)
			require.Equal(t, logic.PromptRead, (<-e.outcomes).Status, "%q", text)
			<-sent
		}
		require.EqualValues(t, 2, counters.Get("connections_opened"), "%q", text)
	}
}

// The first event arrives in parts. If the connection breaks or stalls before its end, nothing is
// passed on, so that the request can be retried at another worker. A whole event is passed on at
// once.
func TestAnAnswerBeginsWithAWholeEvent(t *testing.T) {
	chunk := func(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }
	for _, parts := range [][]string{
		{"data: {\"choi"}, {"d"}, {"data: x"}, {"data: x\n"}, {"data: x\r\n"}, {"da", "ta: x", "\n"}, {": a comment\n\n"}, {"\n\n"},
		{": a comment\n\n", "data: x\n", "data: y\n"},
	} {
		for _, stays := range []bool{true, false} {
			t.Run(fmt.Sprintf("%q %v", parts, stays), func(t *testing.T) {
				t.Parallel()
				c, w, _ := startWorker(t, func(nc net.Conn) {
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
					t.Fatal("an incomplete event was passed on")
				case <-time.After(10 * time.Second):
					t.Fatal("the attempt did not end")
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
			c, w, _ := startWorker(t, func(nc net.Conn) {
				request(nc)
				_, _ = io.WriteString(nc, streamHead)
				for _, p := range parts {
					_, _ = io.WriteString(nc, chunk(p))
				}
				_, _ = nc.Read(make([]byte, 1))
			})
			e, abort := send(c, w, true)
			defer abort()
			select {
			case a := <-e.answers:
				want, got := strings.Join(parts, ""), make([]byte, 64)
				n, err := io.ReadFull(a, got[:len(want)])
				require.NoError(t, err)
				require.Equal(t, want, string(got[:n]))
			case o := <-e.outcomes:
				t.Fatalf("the attempt ended: %v", o.Status)
			case <-time.After(10 * time.Second):
				t.Fatal("the answer did not start")
			}
		})
	}
}

// If the router has no free file descriptor, the attempt has not reached the worker, and the
// failure is not the worker's. The test runs in a child process that lowers its descriptor limit.
func TestDescriptorExhaustionIsNoWorkerFault(t *testing.T) {
	const child = "LICHENSHELF_TEST_WITHOUT_DESCRIPTORS"
	if os.Getenv(child) == "" {
		cmd := exec.Command(os.Args[0], "-test.run=^"+t.Name()+"$", "-test.count=1", "-test.v", "-test.timeout=10s")
		cmd.Env = append(os.Environ(), child+"=1")
		out, err := cmd.CombinedOutput()
		require.NoError(t, err, string(out))
		require.Contains(t, string(out), "--- PASS: "+t.Name())
		return
	}
	c, w, counters := startWorker(t, func(nc net.Conn) { request(nc); _, _ = io.WriteString(nc, accepted) })
	var usual syscall.Rlimit
	require.NoError(t, syscall.Getrlimit(syscall.RLIMIT_NOFILE, &usual))
	none := syscall.Rlimit{Cur: 3, Max: usual.Max} // the three standard streams are open
	require.NoError(t, syscall.Setrlimit(syscall.RLIMIT_NOFILE, &none))
	e, _ := send(c, w, true)
	o := <-e.outcomes
	require.NoError(t, syscall.Setrlimit(syscall.RLIMIT_NOFILE, &usual))
	require.Equal(t, logic.Full, o.Status)
	require.True(t, o.Unreached)
	require.EqualValues(t, 1, counters.Get("attempts_without_a_connection"))
}

// An answer without a single event may be a second answer to the previous request, with the real
// answer still to come. Its connection must not return to the pool.
func TestConnectionWithAnEmptyStreamIsNotReused(t *testing.T) {
	for _, text := range []string{"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", streamHead + "0\r\n\r\n"} {
		closed := make(chan struct{}, 1)
		c, w, _ := startWorker(t, respondAndWait(text, closed))
		e, _ := send(c, w, true)
		require.Equal(t, logic.ConnectionReset, (<-e.outcomes).Status)
		<-closed
		c.pool.mu.Lock()
		require.Empty(t, c.pool.idle[w], "the connection was returned to the pool")
		require.Zero(t, c.pool.open)
		c.pool.mu.Unlock()
	}
}

// The end of the first event must be found whatever the size of the parts.
func TestFirstEventsInParts(t *testing.T) {
	for text, want := range map[string]bool{
		"data: x\n\n": true, "data: x\r\n\r\n": true, "data: x\r\r": true, "data\n\n": true, ": c\n\ndata: x\n\n": true, "id: 1\ndata: x\n\n": true,
		"data: x\n": false, "data: x\r\n": false, "dat: x\n\n": false, " data: x\n\n": false, "\n\n\n": false, "x data: x\n\n": false, "data": false,
	} {
		for size := 1; size <= len(text); size++ {
			var e eventScanner
			got := false
			for i := 0; i < len(text) && !got; i += size {
				_, got = e.scan([]byte(text[i:min(i+size, len(text))]))
			}
			require.Equal(t, want, got, "%q in parts of %d", text, size)
		}
	}
}

// An attempt that is aborted, or whose answer is malformed, lasts until its worker has closed its
// side of the connection as well, which shows that it noticed: the router closes its sending side
// first and the connection after that. The wait for a silent worker is bounded.
func TestAttemptLastsUntilItsWorkerHasClosed(t *testing.T) {
	for name, tc := range map[string]struct {
		answer string // to the second request of the connection; empty: none
		ends   bool   // the worker closes the connection after it by itself
	}{
		"aborted": {}, "malformed head": {answer: "noise\r\n\r\n"}, "malformed chunk": {answer: streamHead + "zz\r\n"},
		"closed": {answer: streamHead, ends: true}, "closed without an answer": {ends: true},
	} {
		for _, bounded := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, bounded %v", name, bounded), func(t *testing.T) {
				requestRead, noticed, proceed := make(chan struct{}), make(chan error, 1), make(chan struct{})
				defer close(proceed)
				c, w, _ := startWorker(t, func(nc net.Conn) {
					br := bufio.NewReader(nc)
					for _, answer := range []string{accepted, tc.answer} {
						req, err := http.ReadRequest(br)
						if err != nil {
							return
						}
						_, _ = io.Copy(io.Discard, req.Body)
						_, _ = io.WriteString(nc, answer)
					}
					close(requestRead)
					if !tc.ends {
						_, err := br.ReadByte()
						noticed <- err
						<-proceed
					}
					_ = nc.Close()
				})
				c.pool.shutdownWait = time.Hour
				if bounded {
					c.pool.shutdownWait = time.Millisecond
				}
				e, _ := send(c, w, true)
				require.Equal(t, logic.PromptRead, (<-e.outcomes).Status)
				e, abort := send(c, w, true)
				<-requestRead
				over := make(chan struct{})
				go func() {
					defer close(over)
					if name == "aborted" {
						<-abort()
					} else {
						<-e.outcomes
					}
				}()
				if !tc.ends && !bounded {
					require.ErrorIs(t, <-noticed, io.EOF)
					select {
					case <-over:
						require.Fail(t, "the attempt ended before its worker had closed the connection")
					case <-time.After(50 * time.Millisecond):
					}
					proceed <- struct{}{}
				}
				<-over
			})
		}
	}
}

// A stream's events are passed on whole, each as soon as its end has arrived, however its bytes are
// split. A partial event is dropped if the stream breaks, and passed on if the stream ends
// properly.
func TestEventsArePassedOnWhole(t *testing.T) {
	const first = "data: first\n\n"
	chunk := func(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }
	huge := "data: " + strings.Repeat("y", maxChunk)
	for name, tc := range map[string]struct {
		parts, want []string
		breaks      bool
	}{
		"in one":                      {parts: []string{"data: a\n\n"}, want: []string{"data: a\n\n"}},
		"in halves":                   {parts: []string{"data", ": a\n", "\n"}, want: []string{"data: a\n\n"}},
		"a partial event behind":      {parts: []string{"data: a\n\ndata: ", "b\r\n\r\n"}, want: []string{"data: a\n\n", "data: b\r\n\r\n"}},
		"a comment":                   {parts: []string{": c\n\n"}, want: []string{": c\n\n"}},
		"no event at the end":         {parts: []string{"data: a"}, want: []string{"data: a"}},
		"a partial event and a break": {parts: []string{"data: a\n\ndata: "}, want: []string{"data: a\n\n"}, breaks: true},
		"beyond the size limit":       {parts: []string{huge[:maxChunk], huge[maxChunk:], "\n\n"}, want: []string{huge[:maxChunk], huge[maxChunk:] + "\n\n"}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			proceed := make(chan struct{})
			c, w, _ := startWorker(t, func(nc net.Conn) {
				request(nc)
				_, _ = io.WriteString(nc, streamHead+chunk(first))
				for _, p := range tc.parts {
					<-proceed // the previous part has been read
					_, _ = io.WriteString(nc, chunk(p))
				}
				<-proceed
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
					proceed <- struct{}{}
				}
			}()
			var got []string
			for buf := make([]byte, 2*maxChunk); ; {
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
				require.True(t, strings.HasSuffix(part, "\n\n") || strings.HasSuffix(part, "\r\n\r\n") || part == "data: a" || len(part) >= maxChunk, "%.40q", part)
			}
		})
	}
}

// A request drops its message when an answer begins, while an aborted attempt may still be in
// progress. That attempt must not access the request's message.
func TestAttemptOutlivesItsRequestsMessage(t *testing.T) {
	for _, answer := range []string{streamHead + "5\r\ndata\n\r\n", accepted, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"} {
		requestRead, proceed := make(chan struct{}), make(chan struct{})
		c, w, _ := startWorker(t, func(nc net.Conn) {
			request(nc)
			close(requestRead)
			<-proceed
			_, _ = io.WriteString(nc, answer)
			_ = nc.Close()
		})
		e := recordingSink{make(chan router.Outcome, 4), make(chan router.Answer, 4)}
		req := &router.Request{Name: "a", Payload: &Message{Method: "POST", URI: "/x", Body: []byte("body"), Stream: true}}
		c.Send(router.Attempt{Request: req, Worker: w, Wait: time.Minute}, e)
		req.Payload = nil
		<-requestRead
		close(proceed)
		<-e.outcomes
	}
}

// A worker writes a second answer some milliseconds after the first. It must not be taken for the
// answer to the next request, however soon that follows.
func TestLateSecondAnswerIsDiscarded(t *testing.T) {
	const late = 5 * time.Millisecond
	c, w, _ := startWorker(t, func(nc net.Conn) {
		defer nc.Close()
		for request(nc) {
			_, _ = io.WriteString(nc, streamHead+"b\r\ndata: own\n\n\r\n0\r\n\r\n")
			time.Sleep(late)
			_, _ = io.WriteString(nc, streamHead+"f\r\ndata: another\n\n\r\n0\r\n\r\n")
		}
	})
	c.pool.reuseDelay = minReuseDelay
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

// A late second answer must not be taken for the answer to a release either: the worker may have
// closed the connection without reading the release.
func TestLateSecondAnswerDoesNotAnswerARelease(t *testing.T) {
	const late = 5 * time.Millisecond
	var conns atomic.Int32
	released := make(chan struct{})
	c, w, _ := startWorker(t, func(nc net.Conn) {
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
	c.pool.reuseDelay = minReuseDelay
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

// A connection is reused once it has been idle for the reuse delay, and not before.
func TestConnectionIsReusedAfterTheReuseDelay(t *testing.T) {
	for _, c := range []struct {
		reuseDelay time.Duration
		opened     int64
	}{{0, 1}, {time.Hour, 3}} {
		client, w, counters := startWorker(t, func(nc net.Conn) {
			for request(nc) {
				_, _ = io.WriteString(nc, accepted)
			}
		})
		client.pool.reuseDelay, client.pool.maxOpen = c.reuseDelay, 8
		for range 3 {
			e, _ := send(client, w, true)
			require.Equal(t, logic.PromptRead, (<-e.outcomes).Status)
		}
		require.EqualValues(t, c.opened, counters.Get("connections_opened"))
	}
}
