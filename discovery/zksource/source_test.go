package zksource

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lichenshelf/discovery/membership"
	"lichenshelf/discovery/zkrule"
	"lichenshelf/discovery/zkwire"
	"lichenshelf/internal/standin/zk"
)

// heard keeps the set that the reports lead to, and all that was told.
type heard struct {
	mu      sync.Mutex
	set     map[string]membership.Entry
	reports []membership.Report
	fails   []error
	warns   []error
}

func (h *heard) Report(r membership.Report) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reports = append(h.reports, r)
	if r.Whole {
		h.set = map[string]membership.Entry{}
	}
	for _, e := range r.Entries {
		h.set[e.Name] = e
		if e.Word == membership.Gone {
			delete(h.set, e.Name)
		}
	}
}

func (h *heard) Fail(err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.fails = append(h.fails, err)
}

func (h *heard) Warn(err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.warns = append(h.warns, err)
}

func (h *heard) count() (reports, fails, warns int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.reports), len(h.fails), len(h.warns)
}

func (h *heard) names() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Sorted(maps.Keys(h.set))
}

func (h *heard) becomes(t *testing.T, names ...string) {
	t.Helper()
	slices.Sort(names)
	require.Eventually(t, func() bool { return slices.Equal(names, h.names()) }, 20*time.Second, time.Millisecond, "want %v", names)
}

func quick(s *zk.Server) Config {
	return Config{Servers: []string{s.Addr()}, Path: "/w", Session: 2 * time.Second, Resync: time.Hour, Within: 10 * time.Second,
		Format: zkrule.JSON, Parallel: 4}
}

func standin(t *testing.T) *zk.Server {
	s, err := zk.New()
	require.NoError(t, err)
	t.Cleanup(s.Close)
	return s
}

func follow(t *testing.T, c Config) *heard {
	h := &heard{}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); New(c, membership.Entry{Weight: 1}).Run(ctx, h) }()
	t.Cleanup(func() { cancel(); <-done })
	return h
}

func at(port int) string { return fmt.Sprintf(`{"addr":"h:%d","started_at_ms":5}`, port) }

func TestSourceFollowsNodes(t *testing.T) {
	s := standin(t)
	s.Create("/w", "", 0)
	s.Create("/w/a", at(1), 1)
	s.Create("/w/b", at(2), 2)
	h := follow(t, quick(s))
	h.becomes(t, "a", "b")
	require.True(t, h.reports[0].Whole)
	require.Len(t, h.reports, 1)
	n := s.Requests()
	s.Create("/w/c", at(3), 3)
	h.becomes(t, "a", "b", "c")
	require.LessOrEqual(t, s.Requests()-n, 2, "the list and the new node, nothing else")
	s.Set("/w/c", `{"addr":"h:`)
	require.Eventually(t, func() bool { _, _, warns := h.count(); return warns == 1 }, 20*time.Second, time.Millisecond)
	h.becomes(t, "a", "b", "c")
	s.Set("/w/c", `{"addr":"h:4"}`)
	require.Eventually(t, func() bool { h.mu.Lock(); defer h.mu.Unlock(); return h.set["c"].Addr == "h:4" }, 20*time.Second, time.Millisecond)
	s.Expire(1, 3)
	h.becomes(t, "b")
	s.Expire(2) // all sessions at once
	h.becomes(t)
	s.Create("/w/b", at(2), 9)
	h.becomes(t, "b")
	_, fails, _ := h.count()
	require.Zero(t, fails)
}

func TestWatchesThatFireLateOrTwice(t *testing.T) {
	s := standin(t)
	s.Create("/w", "", 0)
	h := follow(t, quick(s))
	h.becomes(t)
	require.Eventually(t, func() bool { n, _, _ := h.count(); return n == 1 }, 20*time.Second, time.Millisecond)
	for name, d := range map[string]zk.Delivery{"twice": {Twice: true}, "late": {After: 30 * time.Millisecond}, "both": {Twice: true, After: 5 * time.Millisecond}} {
		s.Script(func(zkwire.WatcherEvent) zk.Delivery { return d })
		for i := range 20 {
			s.Create("/w/"+name, at(1), 1)
			if i%2 == 0 {
				h.becomes(t, name)
			}
			s.Expire(1)
			if i%3 == 0 {
				h.becomes(t)
			}
		}
		h.becomes(t)
	}
}

func TestWatchesThatNeverFire(t *testing.T) {
	s := standin(t)
	s.Create("/w", "", 0)
	s.Create("/w/a", at(1), 1)
	c := quick(s)
	c.Resync = 50 * time.Millisecond
	h := follow(t, c)
	h.becomes(t, "a")
	s.Script(func(zkwire.WatcherEvent) zk.Delivery { return zk.Delivery{Swallow: true} })
	s.Expire(1)
	h.becomes(t)
	s.Create("/w/b", at(2), 2)
	h.becomes(t, "b")
	s.Set("/w/b", `{"addr":"h:2","draining":true}`)
	require.Eventually(t, func() bool { h.mu.Lock(); defer h.mu.Unlock(); return h.set["b"].Word == membership.Draining }, 20*time.Second, time.Millisecond)
}

// Losing the connection is no word about any worker; losing our session means
// reading all again, and what has vanished meanwhile is told.
func TestTheServiceIsCutOff(t *testing.T) {
	s := standin(t)
	s.Create("/w", "", 0)
	for i := range 5 {
		s.Create(fmt.Sprint("/w/n", i), at(i+1), int64(i+1))
	}
	h := follow(t, quick(s))
	all := []string{"n0", "n1", "n2", "n3", "n4"}
	h.becomes(t, all...)
	for range 3 { // connections break, the session lives on
		_, was, _ := h.count()
		s.Cut()
		require.Eventually(t, func() bool { _, fails, _ := h.count(); return fails > was }, 20*time.Second, time.Millisecond)
		reports, _, _ := h.count()
		require.Equal(t, all, h.names())
		require.Eventually(t, func() bool { n, _, _ := h.count(); return n > reports }, 20*time.Second, time.Millisecond, "it is told when it is well again")
	}
	s.Refuse(true) // cut off for longer than the session
	s.ExpireClients()
	s.Expire(1, 2)
	s.Create("/w/n0", `{"addr":"h:1","started_at_ms":9}`, 1) // restarted meanwhile
	s.Create("/w/n9", at(9), 9)
	require.Equal(t, all, h.names())
	s.Refuse(false)
	h.becomes(t, "n0", "n2", "n3", "n4", "n9")
	// The answers of reads that are out together may come in any order: n9's may come before that of n0's new data.
	require.Eventually(t, func() bool { h.mu.Lock(); defer h.mu.Unlock(); return h.set["n0"].Since == 9e6 }, 20*time.Second, time.Millisecond)
	h.becomes(t, "n0", "n2", "n3", "n4", "n9")
	s.Expire(3) // the watches stand again
	h.becomes(t, "n0", "n3", "n4", "n9")
}

func TestAParentThatComesAndGoes(t *testing.T) {
	s := standin(t)
	h := follow(t, quick(s))
	require.Eventually(t, func() bool { n, _, _ := h.count(); return n == 1 }, 20*time.Second, time.Millisecond, "an empty list is a list")
	s.Create("/w", "", 0)
	s.Create("/w/a", at(1), 1)
	h.becomes(t, "a")
	s.Expire(1)
	s.Delete("/w")
	h.becomes(t)
	s.Create("/w", "", 0)
	s.Create("/w/b", at(1), 1)
	h.becomes(t, "b")
}

// Two hundred nodes that come and go at random, while events are late, doubled
// and lost and connections break: in the end the set is what is there.
func TestStorm(t *testing.T) {
	s := standin(t)
	s.Create("/w", "", 0)
	c := quick(s)
	c.Resync = 100 * time.Millisecond
	h := follow(t, c)
	var n atomic.Int64
	s.Script(func(zkwire.WatcherEvent) zk.Delivery {
		i := n.Add(1)
		return zk.Delivery{Swallow: i%7 == 0, Twice: i%3 == 0, After: time.Duration(i%5) * time.Millisecond}
	})
	there := map[string]bool{}
	for i := range 400 {
		name := fmt.Sprintf("n%03d", i*37%200)
		if there[name] {
			s.Delete("/w/" + name)
		} else {
			s.Create("/w/"+name, at(1+i%200), int64(i+1))
		}
		there[name] = !there[name]
		if i%100 == 50 {
			s.Cut()
		}
	}
	var want []string
	for name, in := range there {
		if in {
			want = append(want, name)
		}
	}
	h.becomes(t, want...)
}
