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

// mostTries is the settings' bounds.most-tries.
const mostTries = 5

// heldWithin is the settings' extra.release-ns, and what the platform adds.
const heldWithin = 600 * time.Millisecond

// holds is what workers saw of the states that are held for requests, by their names.
type holds struct {
	mu    sync.Mutex
	since map[string]time.Time // held, and no attempt out that has reached a worker
	out   map[string]int       // attempts that have, at writers
	begun map[string]bool      // its answer has, which lets go of the rest
	late  []string
	read  int
	most  time.Duration
}

func newHolds() *holds {
	return &holds{since: map[string]time.Time{}, out: map[string]int{}, begun: map[string]bool{}}
}

// left notes that a writer's attempt has ended, and whether its answer had begun.
func (h *holds) left(id string, began bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.out[id]--
	h.begun[id] = h.begun[id] || began
	if h.out[id] == 0 && !h.begun[id] {
		h.since[id] = time.Now()
	}
}

// answerLost notes that the answer of a request's read may not have come to the router, for which it is out then.
func (h *holds) answerLost(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.since, id)
}

// taken notes that a state was taken or let go of.
func (h *holds) taken(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if from, ok := h.since[id]; ok {
		delete(h.since, id)
		h.note(id, time.Since(from))
	}
}

func (h *holds) note(id string, d time.Duration) {
	h.most = max(h.most, d)
	if d > heldWithin {
		h.late = append(h.late, fmt.Sprintf("%s after %v", id, d))
	}
}

// judge returns the requests whose states were held for too long.
func (h *holds) judge() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	for id, from := range h.since {
		h.note(id, time.Since(from))
	}
	return slices.Clone(h.late)
}

// watched makes a worker tell what it sees of held states.
func (h *holds) watched(k *worker) *worker {
	serve := k.serve
	k.serve = func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("X-Correlation-Id")
		if k.kind == "reader" {
			read(w, r)
			h.mu.Lock()
			h.read++
			h.since[id] = time.Now()
			h.mu.Unlock()
			return
		}
		h.taken(id)
		h.mu.Lock()
		h.out[id]++
		h.mu.Unlock()
		// A writer that does not begin to answer leaves the state where it is.
		began := &beginning{ResponseWriter: w}
		if serve == nil {
			write(began, r)
		} else {
			serve(began, r)
		}
		h.left(id, began.yes)
	}
	k.gone = func(id string) { h.taken(id) }
	return k
}

// beginning notes whether an answer has begun.
type beginning struct {
	http.ResponseWriter
	yes bool
}

func (b *beginning) Write(p []byte) (int, error) { b.yes = true; return b.ResponseWriter.Write(p) }
func (b *beginning) Flush()                      { b.ResponseWriter.(http.Flusher).Flush() }
func (b *beginning) Hijack() (net.Conn, *bufio.ReadWriter, error) {
	return b.ResponseWriter.(http.Hijacker).Hijack()
}

// deafWorker returns the address of a machine whose connections never come up, until hear is
// called: then they do, and are ended.
func deafWorker(t *testing.T) (addr string, hear func()) {
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

// What a reader holds for a request is taken by a writer or let go of within the settings'
// time, and what the platform adds, whatever its writers and its client do: as the
// workers saw it.
func TestHeldStatesAreTakenOrLetGoInTime(t *testing.T) {
	full := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Unprocessed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	for name, tc := range map[string]struct {
		serve   func(http.ResponseWriter, *http.Request) // of half of the writers that come up
		deaf    int                                      // writers that don't
		hears   bool                                     // they do a second late
		leave   time.Duration                            // after which clients go
		patient time.Duration
		served  bool // all are, in the end
	}{
		"writers that can't be reached": {deaf: 6, patient: patience, served: true},
		"writers that come up late":     {deaf: 6, hears: true, patient: patience, served: true},
		"no writer can be reached":      {deaf: 8, patient: 2 * time.Second},
		"writers that turn away":        {serve: full, patient: patience, served: true},
		"writers that hang":             {serve: silent, patient: time.Second},
		"writers that break off":        {serve: cut, patient: patience},
		"clients that leave":            {deaf: 6, serve: silent, leave: 150 * time.Millisecond, patient: patience},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			seen := newHolds()
			workers := []*worker{seen.watched(newWorker(t, "s-00000001", "reader", nil)), seen.watched(newWorker(t, "s-00000002", "reader", nil))}
			for i := range 8 - tc.deaf {
				serve := tc.serve
				if i%2 == 0 {
					serve = nil
				}
				workers = append(workers, seen.watched(newWorker(t, fmt.Sprintf("s-000001%02x", i), "writer", serve)))
			}
			p, d := platform(t, workers...)
			for i := range tc.deaf {
				addr, hear := deafWorker(t)
				d.listAt(fmt.Sprintf("s-000002%02x", i), "writer", addr)
				if tc.hears {
					time.AfterFunc(time.Second, hear)
				}
			}
			p.told(1 + tc.deaf)
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
				resp, err := http.DefaultClient.Do(p.request("query", id, tc.patient).WithContext(ctx))
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
			time.Sleep(heldWithin + 100*time.Millisecond)
			require.Empty(t, seen.judge(), "states held for too long, of %d; answers %v", seen.read, statuses)
			require.GreaterOrEqual(t, seen.read, 4)
			t.Logf("%d reads, held for %v at most, answers %v", seen.read, seen.most, statuses)
			if tc.served {
				for _, id := range refused { // by chance one may meet those that turn away alone
					tries := 0
					for _, k := range workers {
						for _, c := range k.got(http.MethodPost) {
							if c.id == id {
								tries++
							}
						}
					}
					require.Equal(t, mostTries, tries, "%s is refused, with tries left", id)
				}
				require.Equal(t, 20, statuses[200]+len(refused), "answers %v", statuses)
				require.GreaterOrEqual(t, statuses[200], 5, "answers %v", statuses)
			}
		})
	}
}

// The check fails for what is held for too long, whether it is let go of at last or never.
func TestTheCheckOfHeldStatesCanFail(t *testing.T) {
	h := newHolds()
	h.since["taken late"] = time.Now().Add(-2 * heldWithin)
	h.taken("taken late")
	h.since["never"] = time.Now().Add(-2 * heldWithin)
	h.out["in time"]++
	h.left("in time", false)
	h.taken("in time")
	require.Len(t, h.judge(), 2)
}

// A send that has not arrived is not out: it does not stop the clock for what a reader holds. Whether something on the way
// acknowledges the bytes (the system of a worker that is stopped or cut off, a proxy) makes no difference.
func TestASendThatNeverArrivesStopsNoClock(t *testing.T) {
	require.NoError(t, link.CanBlackhole(), "this system makes the test one for privileged users")
	sendsThatNeverArrive(t, link.Fault{Blackhole: true})
}

func TestASendThatNobodyReadsStopsNoClock(t *testing.T) {
	for name, fault := range map[string]link.Fault{
		"lost on the way there":    {Drop: [2]bool{true, false}},
		"lost both ways":           {Drop: [2]bool{true, true}},
		"lost, and the link slow":  {Drop: [2]bool{true, true}, Delay: 20 * time.Millisecond},
		"lost, and passed in bits": {Drop: [2]bool{true, true}, Pieces: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sendsThatNeverArrive(t, fault)
		})
	}
}

// sendsThatNeverArrive plays a writer that is lost behind connections which stay open, and looks at how long its reader holds
// what was read for it.
func sendsThatNeverArrive(t *testing.T, fault link.Fault) {
	for _, class := range []string{"file", "query"} {
		t.Run(class, func(t *testing.T) {
			t.Parallel()
			h := newHolds()
			r, w := pair(t, nil)
			h.watched(r)
			h.watched(w)
			relay, err := link.New(w.Listener.Addr().String())
			require.NoError(t, err)
			t.Cleanup(relay.Close)
			p, d := platform(t, r)
			p.told(d.listAt(w.name, w.kind, relay.Addr()))
			for range 8 { // connections are kept
				require.Equal(t, http.StatusOK, p.ask(class, newID(), 3*time.Second).status)
			}
			relay.Set(fault)
			var all sync.WaitGroup
			for range 8 {
				all.Go(func() { p.ask(class, newID(), 3*time.Second) })
			}
			all.Wait()
			time.Sleep(heldWithin)
			require.Empty(t, h.judge())
			require.Greater(t, h.read, 8, "nothing was read while the writer was lost")
		})
	}
}

// What is let go of beside an attempt does not disturb it: a writer that takes its time before it answers is waited for.
func TestASlowWriterIsWaitedForBesideTheRelease(t *testing.T) {
	h := newHolds()
	r, w := pair(t, func(w http.ResponseWriter, r *http.Request) {
		if pause(r, heldWithin) {
			write(w, r)
		}
	})
	h.watched(r)
	h.watched(w)
	p, _ := platform(t, r, w)
	for _, class := range []string{"file", "query"} {
		require.Equal(t, http.StatusOK, p.ask(class, newID(), 3*time.Second).status, class)
	}
	require.Empty(t, h.judge())
	require.Len(t, w.got(http.MethodPost), 2, "each was sent to its writer once")
	require.Len(t, r.got(http.MethodPost), 2, "and read once")
}
