package store

import (
	"fmt"
	"net"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	pace    = 100 * time.Millisecond
	patient = 20 * time.Second
	soon    = 5 * time.Millisecond
)

// cluster is three replicas on loopback addresses.
type cluster struct {
	t        *testing.T
	cfg      []Config
	replicas []*Replica
}

func newCluster(t *testing.T) *cluster {
	c := &cluster{t: t, replicas: make([]*Replica, 3)}
	var peers []Peer
	for i := range c.replicas {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		peers = append(peers, Peer{ID: fmt.Sprintf("r%d", i), Raft: l.Addr().String()})
		require.NoError(t, l.Close())
	}
	dir := t.TempDir()
	for i, p := range peers {
		c.cfg = append(c.cfg, Config{ID: p.ID, DataDir: filepath.Join(dir, p.ID), Peers: peers, Pace: pace})
		c.open(i)
	}
	t.Cleanup(func() {
		for i := range c.replicas {
			c.close(i)
		}
	})
	return c
}

func (c *cluster) open(i int) {
	r, err := Open(c.cfg[i])
	require.NoError(c.t, err)
	c.replicas[i] = r
}

func (c *cluster) close(i int) {
	if r := c.replicas[i]; r != nil {
		c.replicas[i] = nil
		require.NoError(c.t, r.Close())
	}
}

// leader waits for the replica that takes writes.
func (c *cluster) leader() (found int) {
	c.eventually(func() bool {
		for i, r := range c.replicas {
			if r != nil && r.IsLeader() {
				found = i
				return true
			}
		}
		return false
	})
	return found
}

func (c *cluster) eventually(f func() bool) { require.Eventually(c.t, f, patient, soon) }

// everywhere waits until all replicas that run hold the data; nil: no node.
func (c *cluster) everywhere(path string, data []byte) {
	c.eventually(func() bool {
		for _, r := range c.replicas {
			if r == nil {
				continue
			}
			got, _, err := r.Get(path)
			if (err == nil) != (data != nil) || string(got) != string(data) {
				return false
			}
		}
		return true
	})
}

func TestReplicasAgreeOnVersionsAndPaths(t *testing.T) {
	c := newCluster(t)
	l := c.replicas[c.leader()]
	require.NoError(t, l.Create("/config", []byte("a"), ""))
	require.ErrorIs(t, l.Create("/config", nil, ""), ErrNodeExists)
	require.ErrorIs(t, l.Create("/none/below", nil, ""), ErrNoNode)
	require.ErrorIs(t, l.Create("/config/", nil, ""), ErrBadPath)
	require.NoError(t, l.Set("/config", []byte("b"), 0))
	require.ErrorIs(t, l.Set("/config", []byte("c"), 0), ErrBadVersion, "a version can be set from once")
	require.NoError(t, l.Create("/config/x", []byte("x"), ""))
	require.ErrorIs(t, l.Delete("/config", AnyVersion), ErrNotEmpty)
	c.everywhere("/config", []byte("b"))
	c.everywhere("/config/x", []byte("x"))
	for _, r := range c.replicas {
		if r != l {
			require.ErrorIs(t, r.Set("/config", nil, AnyVersion), ErrNotLeader)
		}
	}
}

func TestWatchTellsOnceOfAChange(t *testing.T) {
	c := newCluster(t)
	at := c.leader()
	l, follower := c.replicas[at], c.replicas[(at+1)%3]
	w, err := follower.Watch("/later")
	require.NoError(t, err)
	other, err := follower.Watch("/other")
	require.NoError(t, err)
	require.NoError(t, l.Create("/later", nil, ""))
	select {
	case <-w.Changed():
	case <-time.After(patient):
		t.Fatal("the watch did not tell of the node's coming")
	}
	select {
	case <-other.Changed():
		t.Fatal("a watch told of another path")
	default:
	}
	names, err := follower.Children("/")
	require.NoError(t, err)
	require.Equal(t, []string{"later"}, names)
}

func TestLeaderLost(t *testing.T) {
	c := newCluster(t)
	at := c.leader()
	id, err := c.replicas[at].NewSession(time.Minute)
	require.NoError(t, err)
	require.NoError(t, c.replicas[at].Create("/kept", []byte("1"), id))
	c.close(at)
	next := c.leader()
	require.NotEqual(t, at, next)
	// The session outlives its leader, and its owner goes on with the next one.
	c.eventually(func() bool { return c.replicas[next].Touch(id) == nil })
	require.NoError(t, c.replicas[next].Set("/kept", []byte("2"), 0))
	c.everywhere("/kept", []byte("2"))
	c.open(at)
	c.everywhere("/kept", []byte("2"))
}

func TestLostSessionTakesItsNodesAlong(t *testing.T) {
	c := newCluster(t)
	l := c.replicas[c.leader()]
	lost, err := l.NewSession(10 * pace)
	require.NoError(t, err)
	kept, err := l.NewSession(time.Hour)
	require.NoError(t, err)
	require.NoError(t, l.Create("/b", []byte("b"), ""))
	require.NoError(t, l.Create("/b/lost", []byte("x"), lost))
	require.NoError(t, l.Create("/b/kept", []byte("y"), kept))
	require.ErrorIs(t, l.Create("/b/kept/below", nil, ""), ErrEphemeral)
	c.everywhere("/b/lost", []byte("x"))
	c.everywhere("/b/lost", nil) // its owner says nothing more
	c.everywhere("/b/kept", []byte("y"))
	require.ErrorIs(t, l.Touch(lost), ErrNoSession)
	require.ErrorIs(t, l.Create("/b/again", nil, lost), ErrNoSession)
	require.NoError(t, l.EndSession(kept))
	c.everywhere("/b/kept", nil)
}

func TestRestartKeepsData(t *testing.T) {
	c := newCluster(t)
	l := c.replicas[c.leader()]
	require.NoError(t, l.Create("/config", []byte("kept"), ""))
	require.NoError(t, l.raft.Snapshot().Error())
	require.NoError(t, l.Set("/config", []byte("later"), 0))
	for i := range c.replicas {
		c.close(i)
	}
	for i := range c.replicas {
		c.open(i)
	}
	c.leader()
	c.everywhere("/config", []byte("later"))
}
