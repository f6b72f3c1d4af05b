package test

import (
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/go-zookeeper/zk"
	"github.com/stretchr/testify/require"

	"lichenshelf/internal/standin/link"
)

const (
	dutyNode       = "/duty"
	dutySession    = 4 * time.Second // time-out of the holders' sessions
	dutyAskPause   = 50 * time.Millisecond
	dutyCutMargin  = 30 * time.Second // for a holder to be replaced after a cut
	dutyHeldInCut  = time.Second      // by the new holder, before the cut ends
	holderHoldUp   = 200 * time.Millisecond
	dutyRoundsEach = 2

	leaderWithoutClients = 2 // a replica; the clients are at 0 and 1
)

// heldSpan is a time in which a client was told, without a break, that it holds the duty.
type heldSpan struct{ from, to time.Time }

// longestOverlap returns the longest time in which both clients believed to hold the duty.
func longestOverlap(a, b []heldSpan) (longest time.Duration) {
	for _, x := range a {
		for _, y := range b {
			from, to := x.from, x.to
			if y.from.After(from) {
				from = y.from
			}
			if y.to.Before(to) {
				to = y.to
			}
			longest = max(longest, to.Sub(from))
		}
	}
	return longest
}

// The check finds two holders at one time, and none where one follows the other.
func TestLongestOverlap(t *testing.T) {
	start := time.Now()
	span := func(from, to int) heldSpan {
		return heldSpan{start.Add(time.Duration(from) * time.Second), start.Add(time.Duration(to) * time.Second)}
	}
	require.Zero(t, longestOverlap([]heldSpan{span(0, 5), span(9, 12)}, []heldSpan{span(5, 9)}))
	require.Equal(t, 2*time.Second, longestOverlap([]heldSpan{span(0, 7), span(9, 12)}, []heldSpan{span(6, 6), span(5, 9)}))
	require.Equal(t, time.Second, longestOverlap([]heldSpan{span(0, 20)}, []heldSpan{span(5, 6)}))
}

// dutyClient is a ZooKeeper client that tries to hold the duty: an ephemeral node with its name.
type dutyClient struct {
	name string
	conn *zk.Conn

	mu      sync.Mutex
	spans   []heldSpan
	holding bool
	lost    int // times that the connection was lost
	expired int // sessions that have ended
}

func newDutyClient(t *testing.T, name string, servers ...string) *dutyClient {
	c := &dutyClient{name: name}
	conn, _, err := zk.Connect(servers, dutySession, zk.WithLogger(discardLog{}), zk.WithLogInfo(false), zk.WithEventCallback(c.onEvent))
	require.NoError(t, err)
	t.Cleanup(conn.Close)
	c.conn = conn
	return c
}

// onEvent ends the client's belief that it holds the duty when its connection or session ends.
func (c *dutyClient) onEvent(e zk.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch e.State {
	case zk.StateDisconnected:
		c.lost++
		c.release()
	case zk.StateExpired:
		c.expired++
		c.release()
	}
}

// release ends the current span, if there is one. The caller holds mu.
func (c *dutyClient) release() {
	if c.holding {
		c.holding = false
		c.spans[len(c.spans)-1].to = time.Now()
	}
}

// ask tries to get the duty, unless the client holds it, and asks whose it is. A client that holds
// the duty only reads, which its replica answers without the others.
func (c *dutyClient) ask() {
	c.mu.Lock()
	lost, holding := c.lost, c.holding
	c.mu.Unlock()
	var err error
	if !holding {
		_, err = c.conn.Create(dutyNode, []byte(c.name), zk.FlagEphemeral, zk.WorldACL(zk.PermAll))
	}
	own := false
	if err == nil || errors.Is(err, zk.ErrNodeExists) {
		data, stat, err := c.conn.Get(dutyNode)
		own = err == nil && string(data) == c.name && stat.EphemeralOwner == c.conn.SessionID()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case lost != c.lost: // the answer is from before the loss
	case !own:
		c.release()
	case !c.holding:
		c.holding = true
		c.spans = append(c.spans, heldSpan{from: time.Now()})
	}
}

func (c *dutyClient) run(stop <-chan struct{}) {
	for {
		c.ask()
		select {
		case <-stop:
			return
		case <-time.After(dutyAskPause):
		}
	}
}

func (c *dutyClient) holds() bool { return c.heldFor() > 0 }

// heldFor returns for how long the client has held the duty without a break, 0 if it does not.
func (c *dutyClient) heldFor() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.holding {
		return 0
	}
	return time.Since(c.spans[len(c.spans)-1].from)
}

// history returns the spans so far, the current one until now.
func (c *dutyClient) history() []heldSpan {
	c.mu.Lock()
	defer c.mu.Unlock()
	spans := slices.Clone(c.spans)
	if c.holding {
		spans[len(spans)-1].to = time.Now()
	}
	return spans
}

// linkedStore is a store whose replicas reach each other over relays.
type linkedStore struct {
	*storeCluster
	relays map[[2]int][]*link.Relay // by the replicas at both ends
}

func startLinkedStore(t *testing.T, paths ...string) *linkedStore {
	s := &linkedStore{relays: map[[2]int][]*link.Relay{}}
	replicas := layOutReplicasVia(t, len(paths), func(from, to int, addr string) string {
		relay, err := link.New(addr)
		require.NoError(t, err)
		t.Cleanup(relay.Close)
		s.relays[[2]int{from, to}] = append(s.relays[[2]int{from, to}], relay)
		return relay.Addr()
	})
	s.storeCluster = startReplicas(t, replicas, paths...)
	return s
}

// set sets the fault of all links of a replica.
func (s *linkedStore) set(replica int, f link.Fault) {
	for ends, relays := range s.relays {
		if ends[0] == replica || ends[1] == replica {
			for _, r := range relays {
				r.Set(f)
			}
		}
	}
}

func programs(n int) []string { return slices.Repeat([]string{binary}, n) }

var cut = link.Fault{Drop: [2]bool{true, true}}

// Guards against two clients that both hold an ephemeral node: a replica that was cut off from the
// others went on answering its clients after the majority had ended their sessions. With
// -previous-program the leader in the cases at a follower runs an earlier release.
func TestEphemeralNodeHasOneHolderWhileReplicaIsCutOff(t *testing.T) {
	for _, tc := range []struct {
		name     string
		replicas int
		atLeader bool
		before   link.Fault // of the holder's replica, before the cut
	}{
		{name: "three, at a follower", replicas: 3},
		{name: "three, at the leader", replicas: 3, atLeader: true},
		{name: "five, at a follower on slow links", replicas: 5, before: link.Fault{Delay: 50 * time.Millisecond}},
		{name: "five, at the leader", replicas: 5, atLeader: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			paths := programs(tc.replicas)
			if *previousProgram != "" && !tc.atLeader {
				paths[leaderWithoutClients] = *previousProgram
			}
			s := startLinkedStore(t, paths...)
			s.waitLeader()
			// Each client knows one replica. The duty passes between the two.
			clients := []*dutyClient{newDutyClient(t, "a", s.replicas[0].zooKeeper), newDutyClient(t, "b", s.replicas[1].zooKeeper)}
			stop := make(chan struct{})
			var running sync.WaitGroup
			for _, c := range clients {
				running.Go(func() { c.run(stop) })
			}
			stopped := sync.OnceFunc(func() { close(stop); running.Wait() })
			t.Cleanup(stopped)
			for range dutyRoundsEach {
				var holder int
				eventually(t, func() bool {
					holder = slices.IndexFunc(clients, (*dutyClient).holds)
					return holder >= 0
				}, "one client holds the duty")
				leads := leaderWithoutClients
				if tc.atLeader {
					leads = holder
				}
				s.makeLeader(leads)
				s.set(holder, tc.before)
				eventually(t, clients[holder].holds, "the holder is told so")
				s.set(holder, cut)
				// The cut goes on, so that a former holder that is not told would be seen.
				require.Eventually(t, func() bool { return clients[1-holder].heldFor() > dutyHeldInCut }, dutyCutMargin, dutyAskPause, "the other client holds the duty")
				s.set(holder, link.Fault{})
			}
			stopped()
			overlap := longestOverlap(clients[0].history(), clients[1].history())
			t.Logf("both believed to hold the duty for %v at most", max(overlap, 0))
			require.LessOrEqual(t, overlap, holderHoldUp)
		})
	}
}

// A client whose replica is cut off must be told in time to resume its session at another replica,
// with its ephemeral node.
func TestSessionOfCutOffReplicaIsResumedInTime(t *testing.T) {
	t.Parallel()
	s := startLinkedStore(t, programs(3)...)
	s.waitLeader()
	addrs := map[string]int{}
	var servers []string
	for i, r := range s.replicas {
		addrs[r.zooKeeper] = i
		servers = append(servers, r.zooKeeper)
	}
	c := newDutyClient(t, "a", servers...)
	stop := make(chan struct{})
	var running sync.WaitGroup
	running.Go(func() { c.run(stop) })
	eventually(t, c.holds, "the client holds the duty")
	session := c.conn.SessionID()
	for round := range dutyRoundsEach {
		at, known := addrs[c.conn.Server()]
		require.True(t, known, c.conn.Server())
		s.makeLeader((at + 1) % len(servers))
		eventually(t, c.holds, "the client holds the duty")
		s.set(at, cut)
		eventually(t, func() bool { c.mu.Lock(); defer c.mu.Unlock(); return c.lost > round }, "the connection is closed")
		eventually(t, c.holds, "the session is resumed")
		require.NotEqual(t, servers[at], c.conn.Server())
		s.set(at, link.Fault{})
	}
	close(stop)
	running.Wait()
	require.Equal(t, session, c.conn.SessionID())
	require.Zero(t, c.expired, fmt.Sprint("sessions that ended: ", c.expired))
}
