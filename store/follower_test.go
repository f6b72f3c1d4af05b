package store

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func (c *cluster) followers(n int, interval time.Duration) []*Follower {
	c.leader()
	var addrs []string
	for _, cfg := range c.cfg {
		addrs = append(addrs, cfg.Self().API)
	}
	out := make([]*Follower, n)
	for i := range out {
		k := i % len(addrs)
		out[i] = NewFollower(fmt.Sprintf("f-%d", i), interval, append(addrs[k:len(addrs):len(addrs)], addrs[:k]...)...)
	}
	return out
}

// Followers set, create exclusively and delete nodes, creating missing parents, at any replica.
func TestFollowersChangeNodes(t *testing.T) {
	c := newCluster(t)
	for i, f := range c.followers(3, time.Second) {
		p := fmt.Sprintf("/acks/m%d/f", i)
		for _, text := range []string{"x", "y"} {
			require.NoError(t, f.Put(t.Context(), p, []byte(text)))
			got, _, err := f.Get(p)
			require.NoError(t, err)
			require.Equal(t, text, string(got))
		}
		require.NoError(t, f.CreateAll(t.Context(), p+"/slot", nil))
		require.ErrorIs(t, f.CreateAll(t.Context(), p+"/slot", nil), ErrNodeExists)
		require.NoError(t, f.DeleteIfExists(t.Context(), p+"/slot"))
		require.NoError(t, f.DeleteIfExists(t.Context(), p+"/slot"), "a missing node is no error")
		_, _, err := f.Get(p + "/slot")
		require.ErrorIs(t, err, ErrNoNode)
		_, stat, err := f.Get(p)
		require.NoError(t, err)
		require.NoError(t, f.CompareAndSet(t.Context(), p, []byte("z"), stat.Version))
		require.ErrorIs(t, f.CompareAndSet(t.Context(), p, []byte("late"), stat.Version), ErrBadVersion)
		require.ErrorIs(t, c.replicas[i].CompareAndSet(t.Context(), p, []byte("late"), stat.Version), ErrBadVersion)
		ended, cancel := context.WithCancel(t.Context())
		cancel()
		require.ErrorIs(t, f.Put(ended, p, nil), ErrUnknown)
	}
}

// 200 followers that all lag receive a version once each and acknowledge it; a later poll never
// returns an older one.
func TestTwoHundredFollowers(t *testing.T) {
	const n = 200
	c := newCluster(t)
	all := c.followers(n, 100*time.Millisecond)
	ctx, stop := context.WithCancel(t.Context())
	var running, notified sync.WaitGroup
	for _, f := range all {
		changed, _, err := f.Follow("m")
		require.NoError(t, err)
		running.Go(func() { f.Run(ctx, "m") })
		notified.Go(func() {
			<-changed
			if f.Latest("m").Version != 1 || f.Put(ctx, "/acks/m/"+f.ID(), []byte("1")) != nil {
				t.Errorf("%s received version %d, or can't acknowledge", f.ID(), f.Latest("m").Version)
			}
		})
	}
	published := time.Now()
	_, err := c.replicas[c.leader()].Publish(ctx, "m", []byte("x = 1"), "first", "test", nil)
	require.NoError(t, err)
	notified.Wait()
	t.Logf("%v from the publish to the last of %d acknowledgements, at a poll interval of 100 ms", time.Since(published), n)
	names, err := c.replicas[c.leader()].Children("/acks/m")
	require.NoError(t, err)
	require.Len(t, names, n)
	for _, f := range all[:9] {
		require.NoError(t, f.CatchUp(ctx, "m"))
		require.EqualValues(t, 1, f.Latest("m").Version)
	}
	stop()
	running.Wait()
}

// Writes that come while the replicas elect a leader must wait for it. A write may be sent several
// times then, and must be applied once.
func TestWritesWaitForALeader(t *testing.T) {
	const n = 20
	c := newCluster(t)
	all := c.followers(n, time.Second)
	for i, f := range all {
		require.NoError(t, f.Put(t.Context(), fmt.Sprint("/n", i), nil))
	}
	c.close(c.leader())
	var writing sync.WaitGroup
	errs := make(chan error, n)
	for i, f := range all {
		writing.Go(func() { errs <- f.Put(t.Context(), fmt.Sprint("/n", i), []byte("x")) })
	}
	writing.Wait()
	for range n {
		require.NoError(t, <-errs)
	}
	for i := range n {
		data, stat, err := c.replicas[c.leader()].Get(fmt.Sprint("/n", i))
		require.NoError(t, err)
		require.Equal(t, "x", string(data))
		require.EqualValues(t, 1, stat.Version)
	}
}
