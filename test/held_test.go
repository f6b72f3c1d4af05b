package test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lichenshelf/internal/standin/deaf"
	"lichenshelf/internal/standin/link"
)

// maxAttempts is bounds.most-tries in settings.
const maxAttempts = 5

// maxHoldTime is extra.release-ns in settings plus the platform's tolerance.
const maxHoldTime = 600 * time.Millisecond

// holds records what workers observe of the read states held for requests, by request id.
type holds struct {
	mu       sync.Mutex
	since    map[string]time.Time // since when a state is held with no attempt at a writer
	pending  map[string]int       // attempts that have reached a writer and not ended
	answered map[string]bool      // a writer's answer has begun, which frees the state
	overdue  []string
	reads    int
	maxHeld  time.Duration
}

func newHolds() *holds {
	return &holds{since: map[string]time.Time{}, pending: map[string]int{}, answered: map[string]bool{}}
}

// attemptEnded records that an attempt at a writer has ended, and whether its answer had begun.
func (h *holds) attemptEnded(id string, began bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pending[id]--
	h.answered[id] = h.answered[id] || began
	if h.pending[id] == 0 && !h.answered[id] {
		h.since[id] = time.Now()
	}
}

// answerLost records that a reader's answer may not have reached the router, for which the read is
// then still pending.
func (h *holds) answerLost(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.since, id)
}

// stateFreed records that a state was used by a writer or released.
func (h *holds) stateFreed(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if from, ok := h.since[id]; ok {
		delete(h.since, id)
		h.record(id, time.Since(from))
	}
}

func (h *holds) record(id string, d time.Duration) {
	h.maxHeld = max(h.maxHeld, d)
	if d > maxHoldTime {
		h.overdue = append(h.overdue, fmt.Sprintf("%s after %v", id, d))
	}
}

// check returns the requests whose states were held for longer than maxHoldTime.
func (h *holds) check() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	for id, from := range h.since {
		h.record(id, time.Since(from))
	}
	return slices.Clone(h.overdue)
}

// observe makes a worker report held states to h.
func (h *holds) observe(k *worker) *worker {
	serve := k.serve
	k.serve = func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("X-Correlation-Id")
		if k.kind == "reader" {
			serveRead(w, r)
			h.mu.Lock()
			h.reads++
			h.since[id] = time.Now()
			h.mu.Unlock()
			return
		}
		h.stateFreed(id)
		h.mu.Lock()
		h.pending[id]++
		h.mu.Unlock()
		// If the writer does not begin an answer, the reader still holds the state.
		rw := &recorder{ResponseWriter: w}
		if serve == nil {
			serveStream(rw, r)
		} else {
			serve(rw, r)
		}
		h.attemptEnded(id, rw.began)
	}
	k.onRelease = func(id string) { h.stateFreed(id) }
	return k
}

// recorder records whether an answer has begun.
type recorder struct {
	http.ResponseWriter
	began bool
}

func (b *recorder) Write(p []byte) (int, error) { b.began = true; return b.ResponseWriter.Write(p) }
func (b *recorder) Flush()                      { b.ResponseWriter.(http.Flusher).Flush() }
func (b *recorder) Hijack() (net.Conn, *bufio.ReadWriter, error) {
	return b.ResponseWriter.(http.Hijacker).Hijack()
}

// unreachableWorker returns an address at which no connection can be established until accept is
// called, which then accepts and closes all connections.
func unreachableWorker(t *testing.T) (addr string, accept func()) {
	l, err := deaf.Listen()
	require.NoError(t, err)
	t.Cleanup(l.Close)
	return l.Addr(), func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_ = c.Close()
		}
	}
}

// Guards against read states that a reader holds for too long. Each must be used by a writer or
// released within maxHoldTime, whatever the writers and the client do. The workers' observations
// decide.
func TestHeldStatesAreUsedOrReleasedInTime(t *testing.T) {
	full := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Unprocessed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	for name, tc := range map[string]struct {
		serve       func(http.ResponseWriter, *http.Request) // half of the reachable writers
		unreachable int                                      // number of unreachable writers
		lateAccept  bool                                     // they are reachable after one second
		leave       time.Duration                            // clients then disconnect, unless 0
		timeout     time.Duration                            // the clients' time limit
		served      bool                                     // all requests are served in the end
	}{
		"writers that can't be reached": {unreachable: 6, timeout: patience, served: true},
		"writers that come up late":     {unreachable: 6, lateAccept: true, timeout: patience, served: true},
		"no writer can be reached":      {unreachable: 8, timeout: 2 * time.Second},
		"writers that turn away":        {serve: full, timeout: patience, served: true},
		"writers that hang":             {serve: neverAnswer, timeout: time.Second},
		"writers that break off":        {serve: closeConnection, timeout: patience},
		"clients that leave":            {unreachable: 6, serve: neverAnswer, leave: 150 * time.Millisecond, timeout: patience},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			seen := newHolds()
			workers := []*worker{seen.observe(newWorker(t, "s-00000001", "reader", nil)), seen.observe(newWorker(t, "s-00000002", "reader", nil))}
			for i := range 8 - tc.unreachable {
				serve := tc.serve
				if i%2 == 0 {
					serve = nil
				}
				workers = append(workers, seen.observe(newWorker(t, fmt.Sprintf("s-000001%02x", i), "writer", serve)))
			}
			p, d := startPlatform(t, workers...)
			for i := range tc.unreachable {
				addr, accept := unreachableWorker(t)
				d.addWorkerAt(fmt.Sprintf("s-000002%02x", i), "writer", addr)
				if tc.lateAccept {
					time.AfterFunc(time.Second, accept)
				}
			}
			p.waitForList(1 + tc.unreachable)
			var all sync.WaitGroup
			var mu sync.Mutex
			statuses := map[int]int{}
			var refused []string
			ask := func() {
				id := newID()
				ctx, leave := context.WithCancel(context.Background())
				defer leave()
				if tc.leave > 0 {
					time.AfterFunc(tc.leave, leave)
				}
				resp, err := http.DefaultClient.Do(p.request("query", id, tc.timeout).WithContext(ctx))
				status := 0
				if err == nil {
					status = resp.StatusCode
					_, _ = io.Copy(io.Discard, resp.Body)
					resp.Body.Close()
				}
				mu.Lock()
				defer mu.Unlock()
				statuses[status]++
				if status == 503 {
					refused = append(refused, id)
				}
			}
			for range 4 {
				all.Go(func() {
					for range 5 {
						ask()
					}
				})
			}
			all.Wait()
			time.Sleep(maxHoldTime + 100*time.Millisecond)
			require.Empty(t, seen.check(), "states held for too long, of %d; answers %v", seen.reads, statuses)
			require.GreaterOrEqual(t, seen.reads, 4)
			t.Logf("%d reads, held for %v at most, answers %v", seen.reads, seen.maxHeld, statuses)
			if tc.served {
				// By chance all attempts of a request may go to writers that reject.
				for _, id := range refused {
					tries := 0
					for _, k := range workers {
						for _, c := range k.received(http.MethodPost) {
							if c.id == id {
								tries++
							}
						}
					}
					require.Equal(t, maxAttempts, tries, "%s is refused with attempts left", id)
				}
				require.Equal(t, 20, statuses[200]+len(refused), "answers %v", statuses)
				require.GreaterOrEqual(t, statuses[200], 5, "answers %v", statuses)
			}
		})
	}
}

// holds.check must report states that were held for too long, released late or never.
func TestHoldsCheckReportsOverdueStates(t *testing.T) {
	h := newHolds()
	h.since["taken late"] = time.Now().Add(-2 * maxHoldTime)
	h.stateFreed("taken late")
	h.since["never"] = time.Now().Add(-2 * maxHoldTime)
	h.pending["in time"]++
	h.attemptEnded("in time", false)
	h.stateFreed("in time")
	require.Len(t, h.check(), 2)
}

// A request that never arrives at its writer must not stop the release timer of the read state.
// This holds whether or not something on the way acknowledges the bytes (the kernel of a worker
// that is stopped or cut off, a proxy).
func TestUnacknowledgedSendDoesNotStopReleaseTimer(t *testing.T) {
	require.NoError(t, link.CanBlackhole(), "on this system the test needs privileges")
	testLostSends(t, link.Fault{Blackhole: true})
}

func TestUnreadSendDoesNotStopReleaseTimer(t *testing.T) {
	for name, fault := range map[string]link.Fault{
		"lost on the way there":    {Drop: [2]bool{true, false}},
		"lost both ways":           {Drop: [2]bool{true, true}},
		"lost, and the link slow":  {Drop: [2]bool{true, true}, Delay: 20 * time.Millisecond},
		"lost, and passed in bits": {Drop: [2]bool{true, true}, Pieces: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			testLostSends(t, fault)
		})
	}
}

// testLostSends makes a writer unreachable while connections to it stay open, and checks how long
// its reader holds read states.
func testLostSends(t *testing.T, fault link.Fault) {
	for _, class := range []string{"file", "query"} {
		t.Run(class, func(t *testing.T) {
			t.Parallel()
			h := newHolds()
			r, w := pair(t, nil)
			h.observe(r)
			h.observe(w)
			relay, err := link.New(w.Listener.Addr().String())
			require.NoError(t, err)
			t.Cleanup(relay.Close)
			p, d := startPlatform(t, r)
			p.waitForList(d.addWorkerAt(w.name, w.kind, relay.Addr()))
			for range 8 { // opens connections that are kept
				require.Equal(t, http.StatusOK, p.ask(class, newID(), 3*time.Second).status)
			}
			relay.Set(fault)
			var all sync.WaitGroup
			for range 8 {
				all.Go(func() { p.ask(class, newID(), 3*time.Second) })
			}
			all.Wait()
			time.Sleep(maxHoldTime)
			require.Empty(t, h.check())
			require.Greater(t, h.reads, 8, "nothing was read while the writer was unreachable")
		})
	}
}

// The release of a read state must not cancel the attempt that uses it: the router must wait for a
// writer that takes longer than maxHoldTime to answer.
func TestReleaseDoesNotCancelSlowWriter(t *testing.T) {
	h := newHolds()
	r, w := pair(t, func(w http.ResponseWriter, r *http.Request) {
		if sleepUnlessDone(r, maxHoldTime) {
			serveStream(w, r)
		}
	})
	h.observe(r)
	h.observe(w)
	p, _ := startPlatform(t, r, w)
	for _, class := range []string{"file", "query"} {
		require.Equal(t, http.StatusOK, p.ask(class, newID(), 3*time.Second).status, class)
	}
	require.Empty(t, h.check())
	require.Len(t, w.received(http.MethodPost), 2, "each was sent to its writer once")
	require.Len(t, r.received(http.MethodPost), 2, "and read once")
}
