package test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const patience = 6 * time.Second

// pair returns a reader and a writer; writer replaces the writer's answer unless it is nil.
func pair(t *testing.T, writer func(http.ResponseWriter, *http.Request)) (r, w *worker) {
	return newWorker(t, "s-00000001", "reader", nil), newWorker(t, "s-00000002", "writer", writer)
}

// heldStream returns a handler that sends the first event of a stream, and the rest once more is
// closed.
func heldStream(more <-chan struct{}) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, _ *http.Request) {
		beginStream(w)
		<-more
		_, _ = io.WriteString(w, streamEnd)
	}
}

func TestRequestPassesReaderAndWriterUnchanged(t *testing.T) {
	r, w := pair(t, nil)
	p, _ := startPlatform(t, r, w)
	id := newID()
	a := p.ask("query", id, patience)
	require.NoError(t, a.err)
	require.Equal(t, 200, a.status)
	require.Equal(t, streamStart+streamEnd, a.body)
	for _, k := range []*worker{r, w} {
		calls := k.received(http.MethodPost)
		require.Len(t, calls, 1)
		require.Equal(t, prompt, string(calls[0].body))
		require.Equal(t, "/v1/chat/completions?x=1&y=%2F", calls[0].uri)
		require.Equal(t, id, calls[0].id)
		left, err := strconv.Atoi(calls[0].header.Get("X-Time-Left-Ms"))
		require.NoError(t, err)
		require.LessOrEqual(t, left, int(patience.Milliseconds()))
		require.Greater(t, left, 0)
	}
}

func TestEventsAreForwardedAsTheyArrive(t *testing.T) {
	more := make(chan struct{})
	r, w := pair(t, heldStream(more))
	p, _ := startPlatform(t, r, w)
	resp, err := http.DefaultClient.Do(p.request("query", newID(), patience))
	require.NoError(t, err)
	defer resp.Body.Close()
	require.Equal(t, strings.TrimSuffix(streamStart, "\n"), firstLine(t, resp))
	close(more) // only now does the worker send the rest
	_, err = io.ReadAll(resp.Body)
	require.NoError(t, err)
}

// A stream that breaks off must not look complete, or its client would use the answer as a whole
// one.
func TestBrokenStreamHasNoLastChunk(t *testing.T) {
	r, w := pair(t, func(w http.ResponseWriter, r *http.Request) {
		beginStream(w)
		closeConnection(w, r)
	})
	p, _ := startPlatform(t, r, w)
	a := p.ask("query", newID(), patience)
	require.Equal(t, 200, a.status)
	require.Equal(t, streamStart, a.body)
	require.ErrorIs(t, a.err, io.ErrUnexpectedEOF)
	require.Equal(t, 1, countPosts(w), "no further attempt once an answer has begun")
}

func TestOnceClassIsNotRetriedAfterAReset(t *testing.T) {
	r, w := pair(t, closeConnection)
	other := newWorker(t, "s-00000003", "writer", closeConnection)
	p, _ := startPlatform(t, r, w, other)
	a := p.ask("file", newID(), patience)
	require.Equal(t, http.StatusBadGateway, a.status, "it may have run, so the status must not be that of a refusal")
	require.Equal(t, 1, countPosts(w, other))
}

func TestRepeatableClassIsRetriedAfterAReset(t *testing.T) {
	r, w := pair(t, closeConnection)
	other := newWorker(t, "s-00000003", "writer", closeConnection)
	p, _ := startPlatform(t, r, w, other)
	a := p.ask("query", newID(), patience)
	require.NotEqual(t, 200, a.status)
	require.Greater(t, countPosts(w, other), 1)
}

func TestOnceClassIsRetriedIfItNeverRan(t *testing.T) {
	full := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Unprocessed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	r, w := pair(t, full)
	mixed := newWorker(t, "s-00000003", "mixed", func(w http.ResponseWriter, _ *http.Request) { full(w, nil) })
	good := newWorker(t, "s-00000004", "writer", nil)
	p, d := startPlatform(t, r, w, mixed)
	d.addList(false, "in_service", good)
	eventually(t, func() bool { return p.ask("file", newID(), patience).status == 200 }, "the writer that accepts it is found")
}

func TestClientDisconnectCancelsTheAttemptAndReleasesState(t *testing.T) {
	cancelled := make(chan struct{})
	r, w := pair(t, func(_ http.ResponseWriter, r *http.Request) {
		neverAnswer(nil, r)
		close(cancelled)
	})
	p, _ := startPlatform(t, r, w)
	ctx, leave := context.WithCancel(context.Background())
	id := newID()
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, err := http.DefaultClient.Do(p.request("query", id, patience).WithContext(ctx))
		require.Error(t, err)
	}()
	eventually(t, func() bool { return countPosts(w) == 1 }, "the writer has the request")
	leave()
	<-done
	select {
	case <-cancelled:
	case <-time.After(eventualTimeout):
		t.Fatal("the attempt was not cancelled")
	}
	eventually(t, func() bool { return released(id, r, w) }, "the state held by the reader is released")
}

// Without a writer the read state stays at the reader: it must be released in time, and a worker
// that can't be reached must not prevent that.
func TestHeldStateIsReleasedWithoutAWriter(t *testing.T) {
	r := newWorker(t, "s-00000001", "reader", nil)
	dead := newWorker(t, "s-00000002", "reader", nil)
	p, _ := startPlatform(t, r, dead)
	dead.CloseClientConnections()
	dead.Close()
	id := newID()
	a := p.ask("query", id, patience)
	require.Equal(t, http.StatusServiceUnavailable, a.status)
	require.NotEmpty(t, a.header.Get("Retry-After"))
	eventually(t, func() bool { return released(id, r) }, "the state is released")
	calls := r.received(http.MethodPost)
	took := r.received(http.MethodDelete)[0].at.Sub(calls[len(calls)-1].at)
	require.Less(t, took, loadTolerance)
}

func TestSilentWorkerEndsAtTheDeadline(t *testing.T) {
	r, w := pair(t, neverAnswer)
	p, _ := startPlatform(t, r, w)
	const short = 400 * time.Millisecond
	a := p.ask("file", newID(), short)
	require.Equal(t, http.StatusGatewayTimeout, a.status)
	require.Less(t, a.took, short+loadTolerance)
}

func TestNothingGoesToADrainingWorker(t *testing.T) {
	r, w := pair(t, nil)
	leaving := newWorker(t, "s-00000003", "reader", nil)
	p, d := startPlatform(t, r, w, leaving)
	eventually(t, func() bool { p.ask("query", newID(), patience); return countPosts(leaving) > 0 }, "both readers serve")
	drainedAt := p.waitForList(d.addList(false, "terminating", leaving))
	const window = 250 * time.Millisecond
	for time.Since(drainedAt) < 2*window {
		require.Equal(t, 200, p.ask("query", newID(), patience).status)
	}
	for _, c := range leaving.received(http.MethodPost) {
		require.Less(t, c.at.Sub(drainedAt), window)
	}
}

func TestBadInputHasItsStatus(t *testing.T) {
	r, w := pair(t, nil)
	p, _ := startPlatform(t, r, w)
	const path = "/v1/chat/completions"
	require.Equal(t, 404, p.status(http.MethodPost, "/v1/else"))
	require.Equal(t, 405, p.status(http.MethodGet, path))
	require.Equal(t, 400, p.status(http.MethodPost, path))
	for header, value := range map[string]string{"X-Correlation-Id": "a/b", "X-Service-Class": "none",
		"X-Time-Left-Ms": "soon", "X-Facts": "prompt_len=many", "X-Weight-Hint": "-1"} {
		req := p.request("query", newID(), patience)
		req.Header.Set(header, value)
		require.Equal(t, 400, do(req).status, header)
	}
	req := p.request("query", newID(), patience)
	req.Body = io.NopCloser(strings.NewReader(strings.Repeat("x", 256<<10+1)))
	req.ContentLength = 256<<10 + 1
	req.Header.Set("Connection", "close")
	require.Equal(t, 413, do(req).status)
	require.Zero(t, countPosts(r, w))
}

func TestInvalidDiscoveryLineKeepsTheOldList(t *testing.T) {
	r, w := pair(t, nil)
	p, d := startPlatform(t, r, w)
	d.addLine(`{"generation":2,"reset":true,"instances":[{"instanceId":"s-9","hostPort":"nowhere","lifecycle":"odd"}]}`)
	eventually(t, func() bool { return p.logged("discovery watch ended") }, "the line is logged")
	require.Equal(t, 200, p.ask("query", newID(), patience).status)
	eventually(t, func() bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		return len(d.watchedFrom) > 1 && d.watchedFrom[1] == "1"
	},
		"the watch continues from the last valid list")
}

// A list over the size limit is rejected and a start time in the future is logged; the known
// workers stay in use.
func TestOversizedListsAndStartsInTheFuture(t *testing.T) {
	r, w := pair(t, nil)
	p, d := startPlatform(t, r, w)
	good := listText(2, false, "in_service", w)
	d.addLine(strings.Replace(good, `"instances":[`, `"instances":[`+strings.Repeat(" ", 5<<20), 1))
	eventually(t, func() bool { return p.logged("bytes in one list") }, "the limit is named")
	require.Equal(t, 200, p.ask("query", newID(), patience).status)
	d.mu.Lock()
	d.lines = append(slices.Clone(d.lines[:1]), strings.Replace(good, `"startedAtMs":0`, `"startedAtMs":4102444800000`, 1))
	d.mu.Unlock()
	eventually(t, func() bool { return p.logged("started_ms=4102444800000") && p.logged("lies in the future") }, "key and value are named")
	eventually(t, func() bool { return p.ask("query", newID(), patience).status == 200 }, "it serves, with the worker as a cold one")
}

// An invalid list must still stop new requests to the workers that it lists as leaving.
func TestInvalidListStillStopsSendsToLeavingWorkers(t *testing.T) {
	r, w := pair(t, nil)
	other := newWorker(t, "s-00000003", "writer", nil)
	p, d := startPlatform(t, r, w, other)
	good := listText(2, false, "terminating", w)
	d.addLine(strings.Replace(good, `"instances":[`, `"instances":[{"instanceId":"s-9","hostPort":"nowhere","lifecycle":"in_service"},`, 1))
	eventually(t, func() bool { return p.logged("not used, but for 1 that leave") }, "the line is named")
	before := countPosts(w)
	for range 6 {
		require.Equal(t, 200, p.ask("query", newID(), patience).status)
	}
	require.Equal(t, before, countPosts(w))
}

func TestReadyOnlyWithAListAndServesFromAKnownOne(t *testing.T) {
	r, w := pair(t, nil)
	d := newDiscovery(t)
	p := startPlatformWith(t, d, connIdle)
	eventually(t, func() bool { return p.status(http.MethodGet, "/healthz") == 503 }, "not ready without a worker")
	d.addList(true, "in_service", r, w)
	p.waitReady()

	addr := ownAddr(t) // discovery is down: the known workers are used
	old := start(t, addr, []string{"ROUTER_LISTEN=" + addr, "ROUTER_DISCOVERY=" + ownAddr(t),
		"ROUTER_CONFIG=" + config(t, listText(7, true, "in_service", r, w), connIdle)}, "serve").waitReady()
	require.Equal(t, 200, old.ask("query", newID(), patience).status)
}

// connReuseDelay is longer than package upstream keeps a worker's connection unused after an
// answer.
const connReuseDelay = 100 * time.Millisecond

// A worker closes idle connections, and a request written to one at that moment is lost: the router
// has to close them first. Until then a connection is reused, after a short delay that the tests of
// package upstream cover.
func TestIdleConnectionsAreClosedBeforeWorkersDo(t *testing.T) {
	r, w := pair(t, nil)
	d := newDiscovery(t)
	d.addList(true, "in_service", r, w)
	p := startPlatformWith(t, d, 3*time.Second).waitReady()
	connsMade := func() int { w.mu.Lock(); defer w.mu.Unlock(); return w.conns }
	for range 3 {
		require.Equal(t, 200, p.ask("query", newID(), patience).status)
		time.Sleep(connReuseDelay)
	}
	require.Equal(t, 1, connsMade(), "the connection is reused")
	eventually(t, func() bool { w.mu.Lock(); defer w.mu.Unlock(); return w.open == 0 }, "the router closes it")
	require.Equal(t, 1, connsMade())
}

func TestTermFinishesOpenRequestsAndServesNewOnes(t *testing.T) {
	more := make(chan struct{})
	r, w := pair(t, heldStream(more))
	p, _ := startPlatform(t, r, w)
	resp, err := http.DefaultClient.Do(p.request("query", newID(), patience))
	require.NoError(t, err)
	defer resp.Body.Close()
	idle, err := net.Dial("tcp", p.addr)
	require.NoError(t, err)
	defer idle.Close()
	p.signal(syscall.SIGTERM)
	eventually(t, func() bool { return p.logged("stopping") }, "the signal is handled")
	late := make(chan answer)
	go func() {
		req := p.request("query", newID(), patience)
		late <- do(req)
	}()
	eventually(t, func() bool { return countPosts(w) == 2 }, "a request that arrives after the signal is served too")
	_, err = idle.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF, "idle connections are closed, those with a stream are not")
	close(more)
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, streamStart+streamEnd, string(body))
	a := <-late
	require.NoError(t, a.err)
	require.Equal(t, 200, a.status)
	p.waitExit()
	require.True(t, p.logged("answers_served 2"), "the counters are printed at exit")
}

// A request that is complete only 1 s after SIGTERM is refused: its stream could still run when the
// process is killed, and the client would lose the rest.
func TestTermRefusesRequestsThatArriveTooLate(t *testing.T) {
	r, w := pair(t, nil)
	p, _ := startPlatform(t, r, w)
	c, err := net.Dial("tcp", p.addr)
	require.NoError(t, err)
	defer c.Close()
	req := p.request("query", newID(), patience)
	var text bytes.Buffer
	require.NoError(t, req.Write(&text))
	half := text.Len() / 2
	_, err = c.Write(text.Bytes()[:half])
	require.NoError(t, err)
	p.signal(syscall.SIGTERM)
	eventually(t, func() bool { return p.logged("stopping") }, "the signal is handled")
	time.Sleep(time.Second)
	_, err = c.Write(text.Bytes()[half:])
	require.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(c), req)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	resp.Body.Close()
	p.waitExit()
	require.Zero(t, countPosts(r, w))
	require.True(t, p.logged("requests_refused_at_the_end 1"))
}

func TestCountersAreLoggedOnSIGUSR1(t *testing.T) {
	r, w := pair(t, nil)
	p, _ := startPlatform(t, r, w)
	for range 3 {
		require.Equal(t, 200, p.ask("query", newID(), patience).status)
	}
	p.signal(syscall.SIGUSR1)
	eventually(t, func() bool { return p.logged("requests_taken 3") && p.logged("attempts_sent 6") }, "the counters are logged")
}

func TestConcurrentRequestsEndOnceEach(t *testing.T) {
	r, w := pair(t, nil)
	mixed := newWorker(t, "s-00000003", "mixed", nil)
	p, _ := startPlatform(t, r, w, mixed)
	const n = 100
	answers := make(chan answer, n)
	names := map[string]bool{}
	for range n {
		id := newID()
		names[id] = true
		go func() { answers <- p.ask("query", id, patience) }()
	}
	for range n {
		a := <-answers
		require.NoError(t, a.err)
		require.Contains(t, []int{200, 503}, a.status)
	}
	sent := map[string]int{}
	for _, k := range []*worker{w, mixed} {
		for _, c := range k.received(http.MethodPost) {
			require.True(t, names[c.id], fmt.Sprintf("unknown id %q", c.id))
			sent[c.id]++
		}
	}
	for id, times := range sent {
		require.Equal(t, 1, times, id)
	}
}

// SIGHUP changes the address of discovery. Until the new discovery answers, the known workers stay
// in use; then its list replaces theirs as a whole. Its generations are numbered independently: a
// watch from the old generation would miss that a worker was removed.
func TestReloadMovesToTheNewDiscovery(t *testing.T) {
	more := make(chan struct{})
	finish := sync.OnceFunc(func() { close(more) })
	r, w := pair(t, heldStream(more))
	removed := newWorker(t, "s-00000003", "reader", nil)
	p, d := startPlatform(t, r, w, removed)
	p.waitForList(d.addList(false, "in_service", removed))
	t.Cleanup(finish)
	resp, err := http.DefaultClient.Do(p.request("query", newID(), patience))
	require.NoError(t, err)
	defer resp.Body.Close()
	good, err := os.ReadFile(p.file)
	require.NoError(t, err)
	p.reconfigure(`{"discovery":`)
	eventually(t, func() bool { return p.logged("discovery stays as it is") }, "a file that can't be read is logged")
	addr := ownAddr(t)
	p.reconfigure(fmt.Sprintf(`{"discovery":%q,%s`, addr, good[1:]))
	eventually(t, func() bool { return p.logged("connect to discovery: dial tcp " + addr) }, "the router connects to the new address")
	second, err := http.DefaultClient.Do(p.request("query", newID(), patience))
	require.NoError(t, err)
	defer second.Body.Close()
	require.Equal(t, 200, second.StatusCode, "the known workers serve until discovery answers")

	next := newDiscoveryAt(t, addr, listText(1, true, "in_service", r, w))
	eventually(t, func() bool { next.mu.Lock(); defer next.mu.Unlock(); return len(next.watchedFrom) == 1 }, "the new discovery is watched")
	require.Equal(t, "1", next.watchedFrom[0])
	before := countPosts(removed)
	finish()
	for range 10 {
		require.Equal(t, 200, p.ask("query", newID(), patience).status)
	}
	require.Equal(t, before, countPosts(removed), "the new list does not have it")
	for _, open := range []*http.Response{resp, second} {
		body, err := io.ReadAll(open.Body)
		require.NoError(t, err)
		require.Equal(t, streamStart+streamEnd, string(body), "open requests are served to their end")
	}
}
