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

// recorder is a sink that records all calls and the set of entries that the reports add up to.
type recorder struct {
	mu      sync.Mutex
	set     map[string]membership.Entry
	reports []membership.Report
	fails   []error
	warns   []error
}

func (h *recorder) Report(r membership.Report) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reports = append(h.reports, r)
	if r.Whole {
		h.set = map[string]membership.Entry{}
	}
	for _, e := range r.Entries {
		h.set[e.Name] = e
		if e.Status == membership.Gone {
			delete(h.set, e.Name)
		}
	}
}

func (h *recorder) Fail(err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.fails = append(h.fails, err)
}

func (h *recorder) Warn(err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.warns = append(h.warns, err)
}

func (h *recorder) count() (reports, fails, warns int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.reports), len(h.fails), len(h.warns)
}

func (h *recorder) names() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Sorted(maps.Keys(h.set))
}

func (h *recorder) waitForNames(t *testing.T, names ...string) {
	t.Helper()
	slices.Sort(names)
	require.Eventually(t, func() bool { return slices.Equal(names, h.names()) }, 20*time.Second, time.Millisecond, "want %v", names)
}

func (h *recorder) waitForEntry(t *testing.T, name string, matches func(membership.Entry) bool) {
	t.Helper()
	entry := func() membership.Entry {
		h.mu.Lock()
		defer h.mu.Unlock()
		return h.set[name]
	}
	require.Eventually(t, func() bool { return matches(entry()) }, 20*time.Second, time.Millisecond)
}

func testConfig(s *zk.Server) Config {
	return Config{Servers: []string{s.Addr()}, Path: "/w", Session: 2 * time.Second, Resync: time.Hour, FlapWindow: 10 * time.Second,
		Format: zkrule.JSON, Parallel: 4}
}

func startServer(t *testing.T) *zk.Server {
	s, err := zk.New()
	require.NoError(t, err)
	t.Cleanup(s.Close)
	return s
}

func startSource(t *testing.T, c Config) *recorder {
	h := &recorder{}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); New(c, membership.Entry{Weight: 1}).Run(ctx, h) }()
	t.Cleanup(func() { cancel(); <-done })
	return h
}

func workerData(port int) string { return fmt.Sprintf(`{"addr":"h:%d","started_at_ms":5}`, port) }

func TestSourceFollowsNodes(t *testing.T) {
	s := startServer(t)
	s.Create("/w", "", 0)
	s.Create("/w/a", workerData(1), 1)
	s.Create("/w/b", workerData(2), 2)
	h := startSource(t, testConfig(s))
	h.waitForNames(t, "a", "b")
	require.True(t, h.reports[0].Whole)
	require.Len(t, h.reports, 1)
	n := s.Requests()
	s.Create("/w/c", workerData(3), 3)
	h.waitForNames(t, "a", "b", "c")
	require.LessOrEqual(t, s.Requests()-n, 2, "the list and the new node, nothing else")
	s.Set("/w/c", `{"addr":"h:`)
	require.Eventually(t, func() bool { _, _, warns := h.count(); return warns == 1 }, 20*time.Second, time.Millisecond)
	h.waitForNames(t, "a", "b", "c")
	s.Set("/w/c", `{"addr":"h:4"}`)
	h.waitForEntry(t, "c", func(e membership.Entry) bool { return e.Addr == "h:4" })
	s.Expire(1, 3)
	h.waitForNames(t, "b")
	s.Expire(2) // all sessions at once
	h.waitForNames(t)
	s.Create("/w/b", workerData(2), 9)
	h.waitForNames(t, "b")
	_, fails, _ := h.count()
	require.Zero(t, fails)
}

func TestLateAndDuplicateWatchEvents(t *testing.T) {
	s := startServer(t)
	s.Create("/w", "", 0)
	h := startSource(t, testConfig(s))
	h.waitForNames(t)
	require.Eventually(t, func() bool { n, _, _ := h.count(); return n == 1 }, 20*time.Second, time.Millisecond)
	for name, d := range map[string]zk.Delivery{"twice": {Duplicate: true}, "late": {Delay: 30 * time.Millisecond}, "both": {Duplicate: true, Delay: 5 * time.Millisecond}} {
		s.Script(func(zkwire.WatcherEvent) zk.Delivery { return d })
		for i := range 20 {
			s.Create("/w/"+name, workerData(1), 1)
			if i%2 == 0 {
				h.waitForNames(t, name)
			}
			s.Expire(1)
			if i%3 == 0 {
				h.waitForNames(t)
			}
		}
		h.waitForNames(t)
	}
}

func TestLostWatchEventsAreCoveredByResync(t *testing.T) {
	s := startServer(t)
	s.Create("/w", "", 0)
	s.Create("/w/a", workerData(1), 1)
	c := testConfig(s)
	c.Resync = 50 * time.Millisecond
	h := startSource(t, c)
	h.waitForNames(t, "a")
	s.Script(func(zkwire.WatcherEvent) zk.Delivery { return zk.Delivery{Drop: true} })
	s.Expire(1)
	h.waitForNames(t)
	s.Create("/w/b", workerData(2), 2)
	h.waitForNames(t, "b")
	s.Set("/w/b", `{"addr":"h:2","draining":true}`)
	h.waitForEntry(t, "b", func(e membership.Entry) bool { return e.Status == membership.Draining })
}

// A lost connection must not change the set of workers. After an expired session everything is read
// again, and removals that happened meanwhile are reported.
func TestLostConnectionAndExpiredSession(t *testing.T) {
	s := startServer(t)
	s.Create("/w", "", 0)
	for i := range 5 {
		s.Create(fmt.Sprint("/w/n", i), workerData(i+1), int64(i+1))
	}
	h := startSource(t, testConfig(s))
	all := []string{"n0", "n1", "n2", "n3", "n4"}
	h.waitForNames(t, all...)
	for range 3 { // connections break, sessions remain
		_, was, _ := h.count()
		s.Cut()
		require.Eventually(t, func() bool { _, fails, _ := h.count(); return fails > was }, 20*time.Second, time.Millisecond)
		reports, _, _ := h.count()
		require.Equal(t, all, h.names())
		require.Eventually(t, func() bool { n, _, _ := h.count(); return n > reports }, 20*time.Second, time.Millisecond, "a report follows the recovery, even without changes")
	}
	s.Refuse(true) // cut off for longer than the session
	s.ExpireClients()
	s.Expire(1, 2)
	s.Create("/w/n0", `{"addr":"h:1","started_at_ms":9}`, 1) // restarted meanwhile
	s.Create("/w/n9", workerData(9), 9)
	require.Equal(t, all, h.names())
	s.Refuse(false)
	h.waitForNames(t, "n0", "n2", "n3", "n4", "n9")
	// Concurrent reads may complete in any order: that of n9 may complete before that of n0's new
	// data.
	h.waitForEntry(t, "n0", func(e membership.Entry) bool { return e.Since == 9e6 })
	h.waitForNames(t, "n0", "n2", "n3", "n4", "n9")
	s.Expire(3) // the watches are set again
	h.waitForNames(t, "n0", "n3", "n4", "n9")
}

func TestParentCreatedAndDeleted(t *testing.T) {
	s := startServer(t)
	h := startSource(t, testConfig(s))
	require.Eventually(t, func() bool { n, _, _ := h.count(); return n == 1 }, 20*time.Second, time.Millisecond, "an empty list is reported")
	s.Create("/w", "", 0)
	s.Create("/w/a", workerData(1), 1)
	h.waitForNames(t, "a")
	s.Expire(1)
	s.Delete("/w")
	h.waitForNames(t)
	s.Create("/w", "", 0)
	s.Create("/w/b", workerData(1), 1)
	h.waitForNames(t, "b")
}

// Two hundred nodes are created and deleted while watch events are delayed, duplicated and lost and
// connections break: in the end the reported set must match the existing nodes.
func TestRandomChangesUnderFaultsConverge(t *testing.T) {
	s := startServer(t)
	s.Create("/w", "", 0)
	c := testConfig(s)
	c.Resync = 100 * time.Millisecond
	h := startSource(t, c)
	var n atomic.Int64
	s.Script(func(zkwire.WatcherEvent) zk.Delivery {
		i := n.Add(1)
		return zk.Delivery{Drop: i%7 == 0, Duplicate: i%3 == 0, Delay: time.Duration(i%5) * time.Millisecond}
	})
	there := map[string]bool{}
	for i := range 400 {
		name := fmt.Sprintf("n%03d", i*37%200)
		if there[name] {
			s.Delete("/w/" + name)
		} else {
			s.Create("/w/"+name, workerData(1+i%200), int64(i+1))
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
	h.waitForNames(t, want...)
}
