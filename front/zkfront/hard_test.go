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

// muteProxy forwards calls to a replica's API and, while it is muted, drops the answers.
type muteProxy struct {
	net.Listener
	to      string
	dropped atomic.Int64
	muted   atomic.Bool
}

func newMuteProxy(t testing.TB, at, to string) *muteProxy {
	l, err := net.Listen("tcp", at)
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	m := &muteProxy{Listener: l, to: to}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go m.forward(c)
		}
	}()
	return m
}

func (m *muteProxy) forward(c net.Conn) {
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
		if m.muted.Load() {
			m.dropped.Add(1)
			return
		}
		if _, err := c.Write(buf[:n]); err != nil {
			return
		}
	}
}

// newProxiedCluster starts a cluster whose replicas reach each other's API through proxies.
func newProxiedCluster(t testing.TB) *cluster {
	return newClusterWith(t, func(c *cluster) {
		for i := range c.peers {
			real := freeAddr(t)
			c.proxies = append(c.proxies, newMuteProxy(t, c.peers[i].API, real))
			c.apis[i] = real
		}
	})
}

// The leader's answer to a forwarded create is lost after the commit. The client must learn that
// the outcome is unknown, not that the create failed, and the node exists once.
func TestAnswerOfCreateIsLost(t *testing.T) {
	c := newProxiedCluster(t)
	leader := c.leader()
	follower := (leader + 1) % 3
	conn := c.dial(8*time.Second, follower)
	_, err := conn.Create("/a", nil, 0, openACL)
	require.NoError(t, err)
	c.proxies[leader].muted.Store(true)
	_, err = conn.Create("/b", []byte("once"), 0, openACL)
	require.Equal(t, zk.ErrConnectionClosed, err, "the outcome is unknown")
	require.NotZero(t, c.proxies[leader].dropped.Load(), "an answer was lost")
	c.proxies[leader].muted.Store(false)
	there := c.dial(8*time.Second, leader)
	data, stat, err := there.Get("/b")
	require.NoError(t, err, "it was committed")
	require.Equal(t, "once", string(data))
	require.Equal(t, stat.Czxid, stat.Mzxid)
	require.Zero(t, stat.Version)
}

// An ephemeral node of a client that is lost together with the leader is deleted within its session
// timeout, the time to elect a leader, and the whole timeout that the new leader grants again.
func TestEphemeralsOutliveLeaderByOneTimeout(t *testing.T) {
	c := newCluster(t)
	leader := c.leader()
	raw, _ := c.hello(leader, zkwire.ConnectRequest{TimeoutMs: 1000, Password: make([]byte, 16)})
	_, err := raw.Write(create(1, "/e", zkwire.FlagEphemeral))
	require.NoError(t, err)
	_, err = zkwire.ReadFrame(raw, zkwire.MaxFrame)
	require.NoError(t, err)
	last := time.Now()
	time.Sleep(500 * time.Millisecond) // half of the timeout has passed when the leader is killed
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
	}, testTimeout, time.Millisecond)
	took := time.Since(last)
	require.Greater(t, took, elected+time.Second, "the new leader grants the whole timeout again")
	t.Logf("deleted %v after the last call of the session, %v after the next leader was elected; the timeout was 1s", took, took-elected)
}

// Thousands of sessions that only ping stay alive and do not delay other clients.
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
	lastFrames := make([]time.Time, idle) // when each session's last frame was answered
	ping := zkwire.Append(nil, &zkwire.RequestHeader{Xid: zkwire.XidPing, Op: zkwire.OpPing})
	pinged := func(i int) error {
		if _, err := conns[i].Write(ping); err != nil {
			return fmt.Errorf("session %d: %w", i, err)
		}
		if err := conns[i].SetReadDeadline(time.Now().Add(testTimeout)); err != nil {
			return err
		}
		_, err := zkwire.ReadFrame(conns[i], zkwire.MaxFrame)
		lastFrames[i] = time.Now()
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
		lastFrames[i] = time.Now()
		return err
	}
	pingDue := func(i int) error {
		if time.Since(lastFrames[i]) < timeout/6 {
			return nil
		}
		return pinged(i)
	}
	defer func() {
		for _, raw := range conns {
			if raw != nil {
				_ = raw.Close()
			}
		}
	}()
	// On a busy machine, connecting some hundred sessions may take longer than the session timeout,
	// so the connected ones are pinged in between, before a sixth of it has passed for them.
	const part = 100
	for from := 0; from < idle; from += part {
		to := min(from+part, idle)
		each(from, to, connect)
		each(0, to, pingDue)
	}
	each(0, idle, pinged)
	busy := c.dial(10*time.Second, 0)
	for from, round := time.Now(), 0; time.Since(from) < timeout+2*time.Second; round++ {
		each(0, idle, pinged)
		_, err := busy.Create(fmt.Sprintf("/busy%d", round), nil, 0, openACL)
		require.NoError(t, err)
		time.Sleep(time.Second)
	}
}

// A session whose opening has an unknown outcome, because the leader's answer was lost, is still opened
// on the same connection.
func TestSessionOpensAfterLostAnswer(t *testing.T) {
	c := newProxiedCluster(t)
	leader := c.leader()
	c.proxies[leader].muted.Store(true)
	raw, err := net.Dial("tcp", c.addrs[(leader+1)%3])
	require.NoError(t, err)
	defer raw.Close()
	_, err = raw.Write(zkwire.Append(nil, &zkwire.ConnectRequest{TimeoutMs: 4000, Password: make([]byte, 16)}))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return c.proxies[leader].dropped.Load() > 0 }, testTimeout, time.Millisecond)
	c.proxies[leader].muted.Store(false)
	require.NoError(t, raw.SetReadDeadline(time.Now().Add(testTimeout)))
	body, err := zkwire.ReadFrame(raw, zkwire.MaxFrame)
	require.NoError(t, err)
	var answer zkwire.ConnectResponse
	require.NoError(t, zkwire.DecodeAll(body, &answer))
	require.NotZero(t, answer.SessionID)
	sessions := 0
	c.nodes[leader].replica.View(func(v store.View) { sessions = v.Sessions() })
	require.Equal(t, 1, sessions)
}

// A session is resumed although the answer of the leader to its command is lost.
func TestSessionResumesAfterLostAnswer(t *testing.T) {
	c := newProxiedCluster(t)
	leader := c.leader()
	follower := (leader + 1) % 3
	raw, opened := c.hello(follower, zkwire.ConnectRequest{TimeoutMs: 20_000, Password: make([]byte, 16)})
	require.NoError(t, raw.Close())
	c.proxies[leader].muted.Store(true)
	again, err := net.Dial("tcp", c.addrs[follower])
	require.NoError(t, err)
	defer again.Close()
	_, err = again.Write(zkwire.Append(nil, &zkwire.ConnectRequest{TimeoutMs: 20_000, SessionID: opened.SessionID, Password: opened.Password}))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return c.proxies[leader].dropped.Load() > 0 }, testTimeout, time.Millisecond)
	c.proxies[leader].muted.Store(false)
	require.NoError(t, again.SetReadDeadline(time.Now().Add(testTimeout)))
	body, err := zkwire.ReadFrame(again, zkwire.MaxFrame)
	require.NoError(t, err)
	var answer zkwire.ConnectResponse
	require.NoError(t, zkwire.DecodeAll(body, &answer))
	require.Equal(t, opened.SessionID, answer.SessionID)
}

// Beyond the limit on connections, new ones are closed and the others are still served.
func TestConnectionLimit(t *testing.T) {
	c := newClusterWith(t, func(c *cluster) { c.conns = 1 })
	conn := c.dial(4*time.Second, 0)
	raw, err := net.Dial("tcp", c.addrs[0])
	require.NoError(t, err)
	defer raw.Close()
	require.NoError(t, raw.SetReadDeadline(time.Now().Add(testTimeout)))
	_, err = raw.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
	_, _, err = conn.Get("/")
	require.NoError(t, err)
}
