package test

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lichenshelf/internal/standin/link"
)

const (
	cutDuration = 800 * time.Millisecond
	// Data sent during a short cut arrives by TCP retransmissions after about 0.2 s and 0.4 s.
	shortCutDuration = 180 * time.Millisecond
	cutPause         = 1200 * time.Millisecond
	cutRounds        = 4

	cutClientTimeout = 3 * time.Second
)

// Guards against canceled requests that arrive late: when a network cut heals, TCP retransmits what
// the router sent before it canceled the attempt, although the client has disconnected, another
// attempt runs or the state is released. The workers' handlers record what arrives.
func TestCanceledSendsDoNotArriveAfterNetworkCut(t *testing.T) {
	require.NoError(t, link.CanBlackhole(), "on this system the test needs privileges")
	h := newHolds()
	var workers []*worker
	var relays []*link.Relay
	d := newDiscovery(t)
	d.addList(true, "in_service")
	var mu sync.Mutex
	left := map[string]time.Time{} // when clients disconnected, by request id
	// late holds times from a disconnect to an arrival; excess how far X-Time-Left-Ms exceeded the
	// time that was left.
	var late, excess []time.Duration
	deadlines := map[string]time.Time{}
	arrived := func(r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		id := r.Header.Get("X-Correlation-Id")
		if at, ok := left[id]; ok {
			late = append(late, time.Since(at))
		}
		ms, err := strconv.Atoi(r.Header.Get("X-Time-Left-Ms"))
		if surplus := time.Duration(ms)*time.Millisecond - time.Until(deadlines[id]); err != nil || surplus > timeLeftTolerance {
			excess = append(excess, surplus)
		}
	}
	var changes atomic.Int64 // beginnings and ends of cuts: odd during a cut
	for i := range 8 {
		kind := []string{"reader", "writer", "mixed"}[i%3]
		k := h.observe(newWorker(t, "s-0000000"+string(rune('1'+i)), kind, nil))
		serve := k.serve
		k.serve = func(w http.ResponseWriter, r *http.Request) {
			arrived(r)
			before := changes.Load()
			serve(w, r)
			time.AfterFunc(maxRelayDelay, func() {
				// The answer may be lost; the router then considers the attempt open.
				if i > 0 && (before%2 == 1 || changes.Load() != before) {
					h.answerLost(r.Header.Get("X-Correlation-Id"))
				}
			})
		}
		relay, err := link.New(k.Listener.Addr().String())
		require.NoError(t, err)
		t.Cleanup(relay.Close)
		workers, relays = append(workers, k), append(relays, relay)
	}
	p := startPlatformWith(t, d, connIdle).waitReady()
	generation := 0
	for i, k := range workers {
		generation = d.addWorkerAt(k.name, k.kind, relays[i].Addr())
	}
	p.waitForList(generation)
	asking, stop := context.WithCancel(t.Context())
	var clients sync.WaitGroup
	for i := range 8 {
		clients.Go(func() {
			for n := 0; asking.Err() == nil; n++ {
				id := newID()
				ctx, end := context.WithCancel(t.Context())
				if (i+n)%4 == 0 { // these clients disconnect early, often during a cut
					time.AfterFunc(cutDuration/4, func() {
						mu.Lock()
						left[id] = time.Now()
						mu.Unlock()
						end()
					})
				}
				mu.Lock()
				deadlines[id] = time.Now().Add(cutClientTimeout)
				mu.Unlock()
				resp, err := http.DefaultClient.Do(p.request("query", id, cutClientTimeout).WithContext(ctx))
				if err == nil {
					_, _ = io.Copy(io.Discard, resp.Body)
					resp.Body.Close()
				}
				mu.Lock()
				if err == nil {
					delete(left, id)
				}
				mu.Unlock()
				end()
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	for range cutRounds {
		for _, lasts := range []time.Duration{cutDuration, shortCutDuration, shortCutDuration} {
			time.Sleep(cutPause / 2)
			changes.Add(1)
			for _, relay := range relays[1:] {
				relay.Set(link.Fault{Blackhole: true, Heals: true})
			}
			time.Sleep(lasts)
			for _, relay := range relays[1:] {
				relay.Set(link.Fault{})
			}
			changes.Add(1)
		}
	}
	time.Sleep(cutPause)
	stop()
	clients.Wait()
	time.Sleep(maxHoldTime + 100*time.Millisecond)
	t.Logf("%d states held, %v at most; %d requests arrived after their clients had disconnected, %d with more time than was left", h.reads, h.maxHeld, len(late), len(excess))
	require.Empty(t, h.check(), "states held for too long")
	for _, d := range late {
		require.Less(t, d, 100*time.Millisecond, "time from the disconnect of a client to the arrival of an attempt")
	}
	require.Empty(t, excess, "attempts that stated more time than was left, by this much")
	require.Greater(t, h.reads, 200)
}
