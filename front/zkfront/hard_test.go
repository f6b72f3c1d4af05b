package zkfront

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/go-zookeeper/zk"
	"github.com/stretchr/testify/require"

	"lichenshelf/discovery/zkwire"
	"lichenshelf/store"
)

// mute stands before a replica's API and, on command, hands calls on but not
// their answers.
type mute struct {
	net.Listener
	to      string
	dropped atomic.Int64
	on      atomic.Bool
}

func newMute(t testing.TB, at, to string) *mute {
	l, err := net.Listen("tcp", at)
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	m := &mute{Listener: l, to: to}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go m.pass(c)
		}
	}()
	return m
}

func (m *mute) pass(c net.Conn) {
	defer c.Close()
	up, err := net.Dial("tcp", m.to)
	if err != nil {
		return
	}
	defer up.Close()
	go func() { _, _ = io.Copy(up, c) }()
	buf := make([]byte, 64<<10)
	for {
		n, err := up.Read(buf)
		if err != nil {
			return
		}
		if m.on.Load() {
			m.dropped.Add(1)
			return
		}
		if _, err := c.Write(buf[:n]); err != nil {
			return
		}
	}
}

// The leader is lost between the commit of a create and its answer: the client is
// told that the outcome is unknown, never that it failed, and the node is there once.
func TestTheAnswerOfACreateIsLost(t *testing.T) {
	c := newClusterWith(t, func(c *cluster) {
		for i := range c.peers { // replicas reach each other's API through these
			real := freeAddr(t)
			c.mutes = append(c.mutes, newMute(t, c.peers[i].API, real))
			c.apis[i] = real
		}
	})
	leader := c.leader()
	follower := (leader + 1) % 3
	conn := c.dial(8*time.Second, follower)
	_, err := conn.Create("/a", nil, 0, open)
	require.NoError(t, err)
	c.mutes[leader].on.Store(true)
	_, err = conn.Create("/b", []byte("once"), 0, open)
	require.Equal(t, zk.ErrConnectionClosed, err, "the outcome is unknown")
	require.NotZero(t, c.mutes[leader].dropped.Load(), "an answer was lost")
	c.mutes[leader].on.Store(false)
	there := c.dial(8*time.Second, leader)
	data, stat, err := there.Get("/b")
	require.NoError(t, err, "it was committed")
	require.Equal(t, "once", string(data))
	require.Equal(t, stat.Czxid, stat.Mzxid)
	require.Zero(t, stat.Version)
}

// An ephemeral node of a client that is lost together with the leader goes within
// its time-out, the time to elect a leader, and the time-out that that one gives.
func TestEphemeralsOutliveALeaderByOneTimeout(t *testing.T) {
	c := newCluster(t)
	leader := c.leader()
	raw, _ := c.hello(leader, zkwire.ConnectRequest{TimeoutMs: 1000, Password: make([]byte, 16)})
	_, err := raw.Write(create(1, "/e", zkwire.FlagEphemeral))
	require.NoError(t, err)
	_, err = zkwire.ReadFrame(raw, zkwire.MaxFrame)
	require.NoError(t, err)
	last := time.Now()
	time.Sleep(500 * time.Millisecond) // half of its time-out is over when the leader goes
	c.kill(leader)
	next := c.leader()
	elected := time.Since(last)
	require.Eventually(t, func() bool {
		gone := false
		c.nodes[next].replica.View(func(v store.View) {
			_, _, _, err := v.Node("/e")
			gone = errors.Is(err, store.ErrNoNode)
		})
		return gone
	}, patient, time.Millisecond)
	took := time.Since(last)
	require.Greater(t, took, elected+time.Second, "the new leader gives it its whole time-out again")
	t.Logf("vanished %v after its last word, %v after the next leader was there; its time-out was 1s", took, took-elected)
}

// Thousands of sessions that only ping live on, and hold up nobody.
func TestThousandsOfIdleSessions(t *testing.T) {
	idle := 5000
	var limit syscall.Rlimit
	require.NoError(t, syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit))
	if room := (int(limit.Cur) - 500) / 2; room < idle { // both ends are in this process
		t.Logf("only %d sessions fit into %d descriptors", room, limit.Cur)
		idle = room
	}
	c := newCluster(t)
	conns := make([]net.Conn, idle)
	each := func(from, to int, f func(i int) error) {
		errs := make(chan error, to-from)
		slots := make(chan struct{}, 128)
		for i := from; i < to; i++ {
			slots <- struct{}{}
			go func() {
				errs <- f(i)
				<-slots
			}()
		}
		for range to - from {
			require.NoError(t, <-errs)
		}
	}
	const timeout = 6 * time.Second
	ping := zkwire.Append(nil, &zkwire.RequestHeader{Xid: zkwire.XidPing, Op: zkwire.OpPing})
	pinged := func(i int) error {
		if _, err := conns[i].Write(ping); err != nil {
			return fmt.Errorf("session %d: %w", i, err)
		}
		if err := conns[i].SetReadDeadline(time.Now().Add(patient)); err != nil {
			return err
		}
		_, err := zkwire.ReadFrame(conns[i], zkwire.MaxFrame)
		return err
	}
	connect := func(i int) error {
		raw, err := net.Dial("tcp", c.addrs[i%3])
		if err != nil {
			return err
		}
		conns[i] = raw
		if _, err := raw.Write(zkwire.Append(nil, &zkwire.ConnectRequest{TimeoutMs: int32(timeout.Milliseconds()), Password: make([]byte, 16)})); err != nil {
			return err
		}
		_, err = zkwire.ReadFrame(raw, zkwire.MaxFrame)
		return err
	}
	defer func() {
		for _, raw := range conns {
			if raw != nil {
				_ = raw.Close()
			}
		}
	}()
	// On a busy machine to connect them all may take longer than a session may be silent.
	const part = 500
	for from := 0; from < idle; from += part {
		to := min(from+part, idle)
		each(from, to, connect)
		each(0, to, pinged)
	}
	busy := c.dial(10*time.Second, 0)
	for from, round := time.Now(), 0; time.Since(from) < timeout+2*time.Second; round++ {
		each(0, idle, pinged)
		_, err := busy.Create(fmt.Sprintf("/busy%d", round), nil, 0, open)
		require.NoError(t, err)
		time.Sleep(time.Second)
	}
}

// Past the bound on connections, new ones are closed and the others served.
func TestTooManyConnections(t *testing.T) {
	c := newClusterWith(t, func(c *cluster) { c.conns = 1 })
	conn := c.dial(4*time.Second, 0)
	raw, err := net.Dial("tcp", c.addrs[0])
	require.NoError(t, err)
	defer raw.Close()
	require.NoError(t, raw.SetReadDeadline(time.Now().Add(patient)))
	_, err = raw.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
	_, _, err = conn.Get("/")
	require.NoError(t, err)
}
