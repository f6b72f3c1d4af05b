package test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lichenshelf/internal/standin/zk"
	"lichenshelf/zkwire"
)

// startZK starts the program on a coordination server that lists its workers.
func startZK(t *testing.T) (*sourced, *zk.Server) {
	service, err := zk.New()
	require.NoError(t, err)
	t.Cleanup(service.Close)
	service.Create("/w", "", 0)
	s := &sourced{t: t, sources: filepath.Join(t.TempDir(), "sources.toml"), codes: map[int]int{}, api: &api{file: filepath.Join(t.TempDir(), "modelapi.toml")}}
	text := fmt.Sprintf("[[source]]\nname = \"zk\"\nkind = \"zookeeper\"\nservers = [%q]\npath = \"/w\"\nsession = \"2s\"\nresync = \"1s\"\n", service.Addr())
	require.NoError(t, os.WriteFile(s.sources, []byte(text), 0o600))
	return s, service
}

func node(w *worker, startedAtMs int64) string {
	return fmt.Sprintf(`{"addr":%q,"started_at_ms":%d}`, w.Listener.Addr(), startedAtMs)
}

func (s *sourced) waitSet(in bool, name string) {
	s.t.Helper()
	eventually(s.t, func() bool { return slices.Contains(s.set(), name) == in }, name)
}

// Two hundred sessions flap while clients go on asking: once a node has vanished,
// and the window is over, its worker gets nothing until the node is back.
func TestTwoHundredFlaps(t *testing.T) {
	const flaps = 200
	s, service := startZK(t)
	var workers []*worker
	for i := range 4 {
		w := newWorker(t, fmt.Sprintf("w%d", i), "model", model)
		workers = append(workers, w)
		service.Create("/w/"+w.name, node(w, 5), int64(i+1))
	}
	s.run()
	s.becomes("w0", "w1", "w2", "w3")
	service.Script(func(ev zkwire.WatcherEvent) zk.Delivery { // events come twice or late now and then
		return zk.Delivery{Twice: rand.IntN(4) == 0, After: time.Duration(rand.IntN(3)) * time.Millisecond}
	})
	type span struct {
		w        *worker
		from, to time.Time // the window is over; the node is made again
	}
	var closed []span
	for i := range flaps {
		k := i % 3 // the fourth one stays, so that somebody serves
		w := workers[k]
		service.Expire(int64(k + 1))
		s.waitSet(false, w.name)
		told := time.Now()
		if i%10 == 0 {
			time.Sleep(400 * time.Millisecond) // longer than the window
		}
		closed = append(closed, span{w, told.Add(250 * time.Millisecond), time.Now()})
		service.Create("/w/"+w.name, node(w, 5), int64(k+1))
		s.waitSet(true, w.name)
	}
	long := 0
	for _, c := range closed {
		if c.to.After(c.from) {
			long++
		}
		for _, got := range c.w.got(http.MethodPost) {
			require.False(t, got.at.After(c.from) && got.at.Before(c.to), "a send to %s after the window", c.w.name)
		}
	}
	require.Equal(t, flaps/10, long)
	for _, w := range workers[:3] {
		require.NotZero(t, posts(w), "it serves between its flaps")
	}
	s.finish()
}

// The service is cut off for longer than our session, and all workers' sessions
// expire at once: the cut says nothing, the expiry says all.
func TestCoordinationServiceCutOffAndAllExpired(t *testing.T) {
	s, service := startZK(t)
	a, b := newWorker(t, "a", "model", model), newWorker(t, "b", "model", model)
	service.Create("/w/a", node(a, 5), 1)
	service.Create("/w/b", node(b, 5), 2)
	s.run()
	s.becomes("a", "b")
	service.Refuse(true)
	service.ExpireClients()
	eventually(t, func() bool { return s.logged("source failed") }, "the cut is seen")
	n := posts(a, b)
	eventually(t, func() bool { return posts(a, b) > n+50 }, "both go on serving")
	s.becomes("a", "b")
	service.Expire(2)
	service.Refuse(false)
	s.becomes("a")
	service.Expire(1)
	s.becomes()
	eventually(t, func() bool { return s.status(http.MethodGet, "/healthz") == 503 }, "nobody is left")
	service.Create("/w/b", node(b, 6), 3)
	s.becomes("b")
	s.waitReady()
	s.finish()
}
