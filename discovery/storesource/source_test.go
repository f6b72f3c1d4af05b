package storesource

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lichenshelf/discovery/membership"
	"lichenshelf/store"
)

// recordingSink keeps what a source reports.
type recordingSink struct {
	reports chan membership.Report
	fails   chan error
	warns   chan error
}

func newRecordingSink() *recordingSink {
	return &recordingSink{make(chan membership.Report, 16), make(chan error, 16), make(chan error, 16)}
}

func (s *recordingSink) Report(r membership.Report) { s.reports <- r }
func (s *recordingSink) Fail(err error)             { s.fails <- err }
func (s *recordingSink) Warn(err error)             { s.warns <- err }

func (s *recordingSink) next(t *testing.T) map[string]membership.Entry {
	t.Helper()
	select {
	case r := <-s.reports:
		out := map[string]membership.Entry{}
		for _, e := range r.Entries {
			require.NotContains(t, out, e.Name)
			out[e.Name] = e
		}
		return out
	case <-time.After(20 * time.Second):
		t.Fatal("no report")
		return nil
	}
}

func TestSourceFollowsAReplica(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, l.Close())
	replica, err := store.Open(store.Config{ID: "r", DataDir: t.TempDir(), HeartbeatTimeout: 100 * time.Millisecond,
		Peers: []store.Peer{{ID: "r", Raft: l.Addr().String()}}})
	require.NoError(t, err)
	defer func() { require.NoError(t, replica.Close()) }()
	require.Eventually(t, func() bool { return replica.Create(BackendsPath, nil, "") == nil }, 20*time.Second, time.Millisecond)
	const a, b = BackendsPath + "/a", BackendsPath + "/b"
	require.NoError(t, replica.Create(a, []byte(`{"addr":"h:1","cell":2,"started_at_ms":5,"weight":3}`), ""))

	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	s := newRecordingSink()
	go New(Replica{replica}, BackendsPath, membership.Entry{Weight: 1, Cell: 7, Zone: 4}).Run(ctx, s)
	require.Equal(t, map[string]membership.Entry{"a": {Name: "a", Addr: "h:1", Weight: 3, Cell: 2, Zone: 4, Since: 5e6}}, s.next(t))
	require.NoError(t, replica.Create(b, []byte(`{"addr":"h:2"}`), ""))
	require.Equal(t, map[string]membership.Entry{"b": {Name: "b", Addr: "h:2", Weight: 1, Cell: 7, Zone: 4}}, s.next(t), "only what changed")
	// A truncated payload leaves the worker unchanged until it is corrected.
	require.NoError(t, replica.Set(b, []byte(`{"addr":"h:2","drai`), 0))
	require.ErrorContains(t, <-s.warns, b)
	require.NoError(t, replica.Set(b, []byte(`{"addr":"h:2","draining":true}`), 1))
	require.Equal(t, membership.Draining, s.next(t)["b"].Status)
	require.NoError(t, replica.Delete(b, 2))
	require.Equal(t, membership.Entry{Name: "b", Status: membership.Gone}, s.next(t)["b"])
	require.NoError(t, replica.Create(b, []byte(`{"addr":"h:3"}`), ""))
	require.Equal(t, "h:3", s.next(t)["b"].Addr)
	require.Empty(t, s.fails)
}

// fakeRegistry is a registry whose reads can be made to fail.
type fakeRegistry struct {
	mu      sync.Mutex
	nodes   map[string]string
	failing map[string]int // how many more reads of a path fail
	watches map[string][]chan struct{}
}

func (s *fakeRegistry) fail(path string) error {
	if s.failing[path] > 0 {
		s.failing[path]--
		return errors.New("cut off")
	}
	return nil
}

func (s *fakeRegistry) Get(path string) ([]byte, store.Stat, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.fail(path); err != nil {
		return nil, store.Stat{}, err
	}
	data, ok := s.nodes[path]
	if !ok {
		return nil, store.Stat{}, store.ErrNoNode
	}
	return []byte(data), store.Stat{}, nil
}

func (s *fakeRegistry) Children(path string) (out []string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range slices.Sorted(maps.Keys(s.nodes)) {
		out = append(out, p[len(path)+1:])
	}
	return out, s.fail(path)
}

func (s *fakeRegistry) Watch(path string) (<-chan struct{}, func(), error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := make(chan struct{})
	s.watches[path] = append(s.watches[path], c)
	return c, func() {}, nil
}

func (s *fakeRegistry) change(path string, f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
	for _, c := range s.watches[path] {
		close(c)
	}
	delete(s.watches, path)
}

// A read that fails midway must lose nothing of what was read before it.
func TestReadsThatFailMidwayLoseNothing(t *testing.T) {
	s := &fakeRegistry{nodes: map[string]string{}, failing: map[string]int{"/w/n3": 2, "/w": 1}, watches: map[string][]chan struct{}{}}
	for i := range 6 {
		s.nodes[fmt.Sprintf("/w/n%d", i)] = `{"addr":"h:1"}`
	}
	k := newRecordingSink()
	go New(s, "/w", membership.Entry{}).Run(t.Context(), k)
	require.Len(t, k.next(t), 6)
	require.Len(t, k.fails, 3)
	// A removed node is reported as gone, an invalid one as a warning.
	s.change("/w", func() { s.nodes["/w/n7"] = `{"addr":"h:7"}`; s.nodes["/w/n8"] = "{"; delete(s.nodes, "/w/n0") })
	got := k.next(t)
	require.Len(t, got, 2)
	require.Equal(t, membership.Gone, got["n0"].Status)
	require.ErrorContains(t, <-k.warns, "/w/n8")
}
