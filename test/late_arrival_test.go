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
	cutFor   = 800 * time.Millisecond
	shortCut = 180 * time.Millisecond // what is sent in it is sent again, and arrives, by some 0.2 s and 0.4 s
	cutRest  = 1200 * time.Millisecond
	cutTwice = 4

	cutPatience = 3 * time.Second
)

// What a router calls off while its worker's machine is out of reach must not arrive there when it is back: a client that has
// gone, another attempt and a released state have nothing to do with it any more. What arrived is told by the workers' handlers.
func TestWhatIsCalledOffDuringACutDoesNotArriveWhenItHeals(t *testing.T) {
	require.NoError(t, link.CanBlackhole(), "this system makes the test one for privileged users")
	h := newHolds()
	var workers []*worker
	var relays []*link.Relay
	d := newDiscovery(t)
	d.list(true, "in_service")
	var mu sync.Mutex
	left := map[string]time.Time{}   // clients that have gone
	var late, beyond []time.Duration // after a client has gone; told beyond what its client had left
	deadlines := map[string]time.Time{}
	arrived := func(r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		id := r.Header.Get("X-Correlation-Id")
		if at, ok := left[id]; ok {
			late = append(late, time.Since(at))
		}
		ms, err := strconv.Atoi(r.Header.Get("X-Time-Left-Ms"))
		if over := time.Duration(ms)*time.Millisecond - time.Until(deadlines[id]); err != nil || over > toldSlack {
			beyond = append(beyond, over)
		}
	}
	var changes atomic.Int64 // cuts that have begun, and that have ended
	for i := range 8 {
		kind := []string{"reader", "writer", "mixed"}[i%3]
		k := h.watched(newWorker(t, "s-0000000"+string(rune('1'+i)), kind, nil))
		serve := k.serve
		k.serve = func(w http.ResponseWriter, r *http.Request) {
			arrived(r)
			before := changes.Load()
			serve(w, r)
			time.AfterFunc(answerUnderWay, func() {
				if i > 0 && (before%2 == 1 || changes.Load() != before) { // its answer may be lost, and the attempt is out for its router
					h.answerLost(r.Header.Get("X-Correlation-Id"))
				}
			})
		}
		relay, err := link.New(k.Listener.Addr().String())
		require.NoError(t, err)
		t.Cleanup(relay.Close)
		workers, relays = append(workers, k), append(relays, relay)
	}
	p := platformAt(t, d, connIdle).waitReady()
	generation := 0
	for i, k := range workers {
		generation = d.listAt(k.name, k.kind, relays[i].Addr())
	}
	p.told(generation)
	asking, stop := context.WithCancel(t.Context())
	var clients sync.WaitGroup
	for i := range 8 {
		clients.Go(func() {
			for n := 0; asking.Err() == nil; n++ {
				id := newID()
				ctx, end := context.WithCancel(t.Context())
				if (i+n)%4 == 0 { // these leave in the middle of a cut
					time.AfterFunc(cutFor/4, func() {
						mu.Lock()
						left[id] = time.Now()
						mu.Unlock()
						end()
					})
				}
				mu.Lock()
				deadlines[id] = time.Now().Add(cutPatience)
				mu.Unlock()
				resp, err := http.DefaultClient.Do(p.request("query", id, cutPatience).WithContext(ctx))
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
	for range cutTwice {
		for _, lasts := range []time.Duration{cutFor, shortCut, shortCut} {
			time.Sleep(cutRest / 2)
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
	time.Sleep(cutRest)
	stop()
	clients.Wait()
	time.Sleep(heldWithin + 100*time.Millisecond)
	t.Logf("%d states held, %v at most; %d requests arrived after their clients had gone, %d were told more time than was left", h.read, h.most, len(late), len(beyond))
	require.Empty(t, h.judge(), "states held for too long")
	for _, d := range late {
		require.Less(t, d, 100*time.Millisecond, "an attempt reached its worker so long after its client had gone")
	}
	require.Empty(t, beyond, "attempts that told their workers more time than was left, by so much")
	require.Greater(t, h.read, 200)
}
