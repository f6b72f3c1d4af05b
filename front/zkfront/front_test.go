package zkfront

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/go-zookeeper/zk"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"lichenshelf/discovery/zkwire"
	"lichenshelf/store"
)

const testTimeout = 30 * time.Second

// cluster is a set of three replicas on loopback, each with its API and its front.
type cluster struct {
	t       testing.TB
	peers   []store.Peer
	dirs    []string
	apis    []string // listen addresses of the APIs: those of the peers, unless a proxy is in between
	addrs   []string // listen addresses of the fronts
	nodes   []*member
	proxies []*muteProxy
	conns   int // maximum connections of each front; 0: its default
}

type member struct {
	replica *store.Replica
	api     *store.API
	front   *Server
}

var usedAddrs sync.Map // addresses that freeAddr has returned

// freeAddr returns an address for a server that is stopped and restarted. Its port is below the
// ephemeral port range, so that no client socket can take it in between.
func freeAddr(t testing.TB) string {
	for range 1000 {
		addr := fmt.Sprintf("127.0.0.1:%d", 12_000+rand.IntN(20_000))
		if _, taken := usedAddrs.LoadOrStore(addr, true); taken {
			continue
		}
		if l, err := net.Listen("tcp", addr); err == nil {
			require.NoError(t, l.Close())
			return addr
		}
	}
	t.Fatal("no port is free")
	return ""
}

func newCluster(t testing.TB) *cluster { return newClusterWith(t, func(*cluster) {}) }

func newClusterWith(t testing.TB, prepare func(*cluster)) *cluster {
	c := &cluster{t: t, nodes: make([]*member, 3)}
	dir := t.TempDir()
	for i := range c.nodes {
		id := fmt.Sprintf("r%d", i)
		c.peers = append(c.peers, store.Peer{ID: id, Raft: freeAddr(t), API: freeAddr(t)})
		c.dirs = append(c.dirs, filepath.Join(dir, id))
		c.addrs = append(c.addrs, freeAddr(t))
		c.apis = append(c.apis, c.peers[i].API)
	}
	prepare(c)
	for i := range c.nodes {
		c.start(i)
	}
	t.Cleanup(func() {
		for i := range c.nodes {
			c.kill(i)
		}
	})
	c.leader()
	return c
}

func (c *cluster) start(i int) {
	r, err := store.Open(store.Config{ID: c.peers[i].ID, DataDir: c.dirs[i], Peers: c.peers, HeartbeatTimeout: 250 * time.Millisecond})
	require.NoError(c.t, err)
	m := &member{replica: r, api: store.NewAPI(r, nil)}
	api, err := net.Listen("tcp", c.apis[i])
	require.NoError(c.t, err)
	go func() { _ = m.api.Serve(api) }()
	log := logrus.New()
	log.SetOutput(io.Discard)
	m.front = New(r, Config{Self: c.peers[i].ID, Log: log, TimeoutMin: time.Second, MaxQueue: 512, MaxConns: c.conns})
	front, err := net.Listen("tcp", c.addrs[i])
	require.NoError(c.t, err)
	go func() { _ = m.front.Serve(front) }()
	c.nodes[i] = m
}

func (c *cluster) kill(i int) {
	m := c.nodes[i]
	if m == nil {
		return
	}
	c.nodes[i] = nil
	m.front.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = m.api.Close(ctx)
	require.NoError(c.t, m.replica.Close())
}

func (c *cluster) leader() (found int) {
	require.Eventually(c.t, func() bool {
		for i, m := range c.nodes {
			if m != nil && m.replica.IsLeader() {
				found = i
				return true
			}
		}
		return false
	}, testTimeout, time.Millisecond)
	return found
}

// dial connects a client of the ZooKeeper library to the given replicas.
func (c *cluster) dial(timeout time.Duration, at ...int) *zk.Conn {
	var addrs []string
	for _, i := range at {
		addrs = append(addrs, c.addrs[i])
	}
	conn, events, err := zk.Connect(addrs, timeout, zk.WithLogInfo(false), zk.WithLogger(discardLogger{}))
	require.NoError(c.t, err)
	c.t.Cleanup(conn.Close)
	for deadline := time.After(testTimeout); ; {
		select {
		case ev := <-events:
			if ev.State == zk.StateHasSession {
				return conn
			}
		case <-deadline:
			c.t.Fatal("no session")
		}
	}
}

type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

var openACL = zk.WorldACL(zk.PermAll)

func (c *cluster) nextEvent(events <-chan zk.Event) zk.Event {
	c.t.Helper()
	select {
	case ev := <-events:
		return ev
	case <-time.After(testTimeout):
		c.t.Fatal("no event")
		return zk.Event{}
	}
}

// All calls behave as in ZooKeeper, checked with an independent client library at every replica.
func TestConformance(t *testing.T) {
	c := newCluster(t)
	for i := range c.nodes {
		root := fmt.Sprintf("/c%d", i)
		conn := c.dial(4*time.Second, i)
		for _, step := range []struct {
			name string
			do   func() error
			want error
		}{
			{"create", func() error { _, err := conn.Create(root, []byte("x"), 0, openACL); return err }, nil},
			{"create again", func() error { _, err := conn.Create(root, nil, 0, openACL); return err }, zk.ErrNodeExists},
			{"create below nothing", func() error { _, err := conn.Create("/none/x", nil, 0, openACL); return err }, zk.ErrNoNode},
			{"get nothing", func() error { _, _, err := conn.Get("/none"); return err }, zk.ErrNoNode},
			{"children of nothing", func() error { _, _, err := conn.Children("/none"); return err }, zk.ErrNoNode},
			{"set a wrong version", func() error { _, err := conn.Set(root, nil, 7); return err }, zk.ErrBadVersion},
			{"delete a wrong version", func() error { return conn.Delete(root, 7) }, zk.ErrBadVersion},
			{"ephemeral", func() error { _, err := conn.Create(root+"/e", nil, zk.FlagEphemeral, openACL); return err }, nil},
			{"below an ephemeral", func() error { _, err := conn.Create(root+"/e/x", nil, 0, openACL); return err }, zk.ErrNoChildrenForEphemerals},
			{"delete with children", func() error { return conn.Delete(root, -1) }, zk.ErrNotEmpty},
			{"delete nothing", func() error { return conn.Delete(root+"/none", -1) }, zk.ErrNoNode},
			{"closed access list", func() error {
				_, err := conn.Create(root+"/acl", nil, 0, zk.DigestACL(zk.PermAll, "a", "b"))
				return err
			}, zk.ErrInvalidACL},
			{"too much data", func() error { _, err := conn.Set(root, make([]byte, maxData+1), -1); return err }, zk.ErrBadArguments},
			{"sync", func() error { _, err := conn.Sync(root); return err }, nil},
		} {
			require.Equal(t, step.want, step.do(), "%s at replica %d", step.name, i)
		}
		data, stat, err := conn.Get(root)
		require.NoError(t, err)
		require.Equal(t, "x", string(data))
		require.EqualValues(t, 1, stat.NumChildren)
		require.EqualValues(t, 1, stat.DataLength)
		require.Zero(t, stat.EphemeralOwner)
		require.Greater(t, stat.Pzxid, stat.Czxid)
		require.Equal(t, stat.Czxid, stat.Mzxid)
		require.WithinDuration(t, time.Now(), time.UnixMilli(stat.Ctime), time.Minute)
		set, err := conn.Set(root, []byte("yy"), 0)
		require.NoError(t, err)
		require.EqualValues(t, 1, set.Version)
		require.EqualValues(t, 1, set.NumChildren)
		require.Greater(t, set.Mzxid, set.Czxid)
		there, e, err := conn.Exists(root + "/e")
		require.NoError(t, err)
		require.True(t, there)
		require.Equal(t, conn.SessionID(), e.EphemeralOwner)

		var made []string
		for range 3 {
			p, err := conn.Create(root+"/s-", nil, zk.FlagSequence, openACL)
			require.NoError(t, err)
			require.Len(t, p, len(root)+3+10)
			made = append(made, p[len(root)+1:])
		}
		require.True(t, slices.IsSorted(made))
		names, _, err := conn.Children(root)
		require.NoError(t, err)
		require.Equal(t, append([]string{"e"}, made...), names)

		// A multi is applied as a whole or not at all.
		_, stat, err = conn.Get(root)
		require.NoError(t, err)
		_, err = conn.Multi(&zk.CreateRequest{Path: root + "/m", Acl: openACL}, &zk.SetDataRequest{Path: root, Data: []byte("z"), Version: -1},
			&zk.CheckVersionRequest{Path: root, Version: 99})
		require.Equal(t, zk.ErrBadVersion, err)
		again, after, err := conn.Get(root)
		require.NoError(t, err)
		require.Equal(t, "yy", string(again))
		require.Equal(t, stat, after)
		results, err := conn.Multi(&zk.CreateRequest{Path: root + "/m", Acl: openACL}, &zk.CheckVersionRequest{Path: root + "/m", Version: 0},
			&zk.SetDataRequest{Path: root + "/m", Data: []byte("z"), Version: 0}, &zk.DeleteRequest{Path: root + "/" + made[0], Version: 0})
		require.NoError(t, err)
		require.Equal(t, root+"/m", results[0].String)
		_, m, err := conn.Get(root + "/m")
		require.NoError(t, err)
		_, dir, err := conn.Get(root)
		require.NoError(t, err)
		require.Equal(t, m.Czxid, m.Mzxid)
		require.Equal(t, m.Czxid, dir.Pzxid, "one log entry")
		conn.Close() // ending the session deletes its ephemeral nodes
		other := c.dial(4*time.Second, (i+1)%3)
		require.Eventually(t, func() bool { there, _, err := other.Exists(root + "/e"); return err == nil && !there }, testTimeout, 5*time.Millisecond)
	}
}

func TestAllKindsOfWatches(t *testing.T) {
	c := newCluster(t)
	watcher, writer := c.dial(4*time.Second, 0), c.dial(4*time.Second, 1)
	_, _, made, err := watcher.ExistsW("/w")
	require.NoError(t, err)
	_, err = writer.Create("/w", nil, 0, openACL)
	require.NoError(t, err)
	require.Equal(t, zk.EventNodeCreated, c.nextEvent(made).Type)
	_, _, children, err := watcher.ChildrenW("/w")
	require.NoError(t, err)
	_, _, data, err := watcher.GetW("/w")
	require.NoError(t, err)
	_, err = writer.Create("/w/x", nil, 0, openACL)
	require.NoError(t, err)
	require.Equal(t, zk.EventNodeChildrenChanged, c.nextEvent(children).Type)
	_, err = writer.Set("/w", []byte("1"), -1)
	require.NoError(t, err)
	require.Equal(t, zk.EventNodeDataChanged, c.nextEvent(data).Type)
	_, _, deleted, err := watcher.GetW("/w/x")
	require.NoError(t, err)
	require.NoError(t, writer.Delete("/w/x", -1))
	require.Equal(t, zk.EventNodeDeleted, c.nextEvent(deleted).Type)
	// Each watch sends one event.
	_, _, data, err = watcher.GetW("/w")
	require.NoError(t, err)
	for i := range 5 {
		_, err = writer.Set("/w", []byte{byte(i)}, -1)
		require.NoError(t, err)
	}
	c.nextEvent(data)
	select {
	case ev, ok := <-data:
		require.False(t, ok, "%v", ev)
	default:
	}
}

// A session sees its own write at once, also after it moves to any other replica.
func TestSessionNeverReadsOlderState(t *testing.T) {
	c := newCluster(t)
	conn := c.dial(10*time.Second, 0, 1, 2)
	_, err := conn.Create("/n", []byte("0"), 0, openACL)
	require.NoError(t, err)
	for i := range 30 {
		if i%10 == 5 { // move it
			at := conn.Server()
			for k, addr := range c.addrs {
				if addr == at {
					c.kill(k)
					c.start(k)
				}
			}
			want := fmt.Sprint(i)
			require.Eventually(t, func() bool { _, err := conn.Set("/n", []byte(want), -1); return err == nil }, testTimeout, 5*time.Millisecond)
			continue
		}
		want := fmt.Sprint(i)
		var err error
		require.Eventually(t, func() bool { _, err = conn.Set("/n", []byte(want), -1); return err == nil }, testTimeout, 5*time.Millisecond)
		got, _, err := conn.Get("/n")
		if err == nil { // otherwise the connection was closed between the two calls
			require.Equal(t, want, string(got))
		}
	}
}

// A replica whose state is older than what the client has seen must not serve the client.
func TestLaggingReplicaRefusesClientAhead(t *testing.T) {
	c := newCluster(t)
	answer := func(hello zkwire.ConnectRequest) (*zkwire.ConnectResponse, error) {
		raw, err := net.Dial("tcp", c.addrs[0])
		require.NoError(t, err)
		defer raw.Close()
		_, err = raw.Write(zkwire.Append(nil, &hello))
		require.NoError(t, err)
		require.NoError(t, raw.SetReadDeadline(time.Now().Add(testTimeout)))
		body, err := zkwire.ReadFrame(raw, zkwire.MaxFrame)
		if err != nil {
			return nil, err
		}
		var r zkwire.ConnectResponse
		return &r, zkwire.DecodeAll(body, &r)
	}
	r, err := answer(zkwire.ConnectRequest{TimeoutMs: 4000, Password: make([]byte, 16)})
	require.NoError(t, err)
	require.NotZero(t, r.SessionID)
	_, err = answer(zkwire.ConnectRequest{TimeoutMs: 4000, LastZxidSeen: 1 << 40, SessionID: r.SessionID, Password: r.Password})
	require.Error(t, err)
	// A wrong password or an unknown session gets the answer of an expired session.
	for _, h := range []zkwire.ConnectRequest{{SessionID: r.SessionID, Password: make([]byte, 16)}, {SessionID: 77, Password: r.Password}} {
		e, err := answer(h)
		require.NoError(t, err)
		require.Zero(t, e.TimeoutMs)
		require.Zero(t, e.SessionID)
	}
	again, err := answer(zkwire.ConnectRequest{SessionID: r.SessionID, Password: r.Password})
	require.NoError(t, err)
	require.Equal(t, r.SessionID, again.SessionID)
}

// No acknowledged create is lost when the leader is repeatedly killed and restarted.
func TestAcknowledgedCreatesSurviveLeaderRestarts(t *testing.T) {
	c := newCluster(t)
	conn := c.dial(8*time.Second, 0, 1, 2)
	_, err := conn.Create("/d", nil, 0, openACL)
	require.NoError(t, err)
	acknowledged := map[string]bool{}
	for round := range 3 {
		for i := range 20 {
			name := fmt.Sprintf("n%d-%02d", round, i)
			if i == 10 {
				l := c.leader()
				c.kill(l)
				c.start(l)
			}
			if _, err := conn.Create("/d/"+name, nil, 0, openACL); err == nil {
				acknowledged[name] = true
			}
		}
	}
	require.Greater(t, len(acknowledged), 40)
	for i := range c.nodes {
		other := c.dial(8*time.Second, i)
		_, err := other.Sync("/d")
		require.NoError(t, err)
		names, _, err := other.Children("/d")
		require.NoError(t, err)
		for name := range acknowledged {
			require.Contains(t, names, name)
		}
	}
}

// An ephemeral node of a client that falls silent is deleted after the session timeout, although
// the connection stays open.
func TestEphemeralsOfSilentClientExpire(t *testing.T) {
	c := newCluster(t)
	raw, err := net.Dial("tcp", c.addrs[0])
	require.NoError(t, err)
	defer raw.Close()
	const timeout = time.Second
	_, err = raw.Write(zkwire.Append(nil, &zkwire.ConnectRequest{TimeoutMs: int32(timeout.Milliseconds()), Password: make([]byte, 16)}))
	require.NoError(t, err)
	_, err = zkwire.ReadFrame(raw, zkwire.MaxFrame)
	require.NoError(t, err)
	_, err = raw.Write(zkwire.Append(nil, &zkwire.RequestHeader{Xid: 1, Op: zkwire.OpCreate},
		&zkwire.CreateRequest{Path: "/e", ACL: []zkwire.ACL{{Perms: allRights, Scheme: "world", ID: "anyone"}}, Flags: zkwire.FlagEphemeral}))
	require.NoError(t, err)
	_, err = zkwire.ReadFrame(raw, zkwire.MaxFrame)
	require.NoError(t, err)
	last := time.Now() // the client is silent from here on, but its connection stays open
	watcher := c.dial(10*time.Second, 1, 2)
	there, _, deleted, err := watcher.ExistsW("/e")
	require.NoError(t, err)
	require.True(t, there)
	require.Equal(t, zk.EventNodeDeleted, c.nextEvent(deleted).Type)
	took := time.Since(last)
	require.Greater(t, took, timeout)
	t.Logf("deleted %v after the last call of the session, whose timeout is %v", took, timeout)
}

// A malformed frame closes its connection and has no other effect.
func TestMalformedFrames(t *testing.T) {
	c := newCluster(t)
	hello := zkwire.Append(nil, &zkwire.ConnectRequest{TimeoutMs: 4000, Password: make([]byte, 16)})
	for name, bytes := range map[string][]byte{
		"2 GB announced":        {0x7f, 0xff, 0xff, 0xff},
		"negative length":       {0xff, 0xff, 0xff, 0xfe},
		"malformed hello":       {0, 0, 0, 2, 1, 2},
		"2 GB after the hello":  append(slices.Clone(hello), 0x7f, 0xff, 0xff, 0xff),
		"a truncated header":    append(slices.Clone(hello), 0, 0, 0, 3, 1, 2, 3),
		"a truncated body":      append(slices.Clone(hello), 0, 0, 0, 12, 0, 0, 0, 1, 0, 0, 0, 4, 0, 0, 0, 9),
		"a list of 1e9 strings": append(slices.Clone(hello), 0, 0, 0, 20, 0, 0, 0, 1, 0, 0, 0, 101, 0, 0, 0, 0, 0, 0, 0, 0, 0x3b, 0x9a, 0xca, 0),
	} {
		raw, err := net.Dial("tcp", c.addrs[0])
		require.NoError(t, err)
		_, err = raw.Write(bytes)
		require.NoError(t, err, name)
		require.NoError(t, raw.SetReadDeadline(time.Now().Add(testTimeout)))
		_, err = io.ReadAll(raw) // the answer to the hello, then EOF
		require.NoError(t, err, name)
		require.NoError(t, raw.Close())
	}
	conn := c.dial(4*time.Second, 0)
	_, _, err := conn.Get("/")
	require.NoError(t, err)
}

// A client that never reads is disconnected and does not delay others.
func TestClientThatNeverReadsIsDisconnected(t *testing.T) {
	c := newCluster(t)
	raw, err := net.Dial("tcp", c.addrs[0])
	require.NoError(t, err)
	defer raw.Close()
	_, err = raw.Write(zkwire.Append(nil, &zkwire.ConnectRequest{TimeoutMs: 40000, Password: make([]byte, 16)}))
	require.NoError(t, err)
	conn := c.dial(10*time.Second, 0)
	_, err = conn.Create("/big", make([]byte, 200_000), 0, openACL)
	require.NoError(t, err)
	ask := zkwire.Append(nil, &zkwire.RequestHeader{Xid: 1, Op: zkwire.OpGetData}, &zkwire.PathWatch{Path: "/big"})
	require.NoError(t, raw.SetWriteDeadline(time.Now().Add(testTimeout)))
	for err == nil {
		_, err = raw.Write(ask)
	}
	require.NotErrorIs(t, err, os.ErrDeadlineExceeded, "the connection is closed instead of blocking the server")
	_, err = conn.Set("/big", nil, -1)
	require.NoError(t, err)
}

// hello opens or resumes a session over a raw connection.
func (c *cluster) hello(at int, h zkwire.ConnectRequest) (net.Conn, zkwire.ConnectResponse) {
	raw, err := net.Dial("tcp", c.addrs[at])
	require.NoError(c.t, err)
	c.t.Cleanup(func() { _ = raw.Close() })
	_, err = raw.Write(zkwire.Append(nil, &h))
	require.NoError(c.t, err)
	require.NoError(c.t, raw.SetReadDeadline(time.Now().Add(testTimeout)))
	body, err := zkwire.ReadFrame(raw, zkwire.MaxFrame)
	require.NoError(c.t, err)
	var r zkwire.ConnectResponse
	require.NoError(c.t, zkwire.DecodeAll(body, &r))
	return raw, r
}

func create(xid int32, path string, flags int32) []byte {
	return zkwire.Append(nil, &zkwire.RequestHeader{Xid: xid, Op: zkwire.OpCreate},
		&zkwire.CreateRequest{Path: path, ACL: []zkwire.ACL{{Perms: allRights, Scheme: "world", ID: "anyone"}}, Flags: flags})
}

// A session moves to another replica with calls in flight. Calls that the old connection had not
// completed by then are not applied afterwards, and calls are answered in order.
func TestSessionMovesWithCallsInFlight(t *testing.T) {
	c := newCluster(t)
	old, session := c.hello(0, zkwire.ConnectRequest{TimeoutMs: 8000, Password: make([]byte, 16)})
	const calls = 200
	var pipeline []byte
	for i := range calls {
		pipeline = append(pipeline, create(int32(i+1), fmt.Sprintf("/p%03d", i), zkwire.FlagEphemeral)...)
	}
	_, err := old.Write(pipeline)
	require.NoError(t, err)
	fresh, again := c.hello(1, zkwire.ConnectRequest{TimeoutMs: 8000, SessionID: session.SessionID, Password: session.Password})
	require.Equal(t, session.SessionID, again.SessionID)
	_, err = fresh.Write(create(1, "/moved", 0))
	require.NoError(t, err)
	answered := 0
	for {
		body, err := zkwire.ReadFrame(old, zkwire.MaxFrame)
		if err != nil {
			break // the old connection was closed
		}
		var h zkwire.ReplyHeader
		_, err = zkwire.Decode(body, &h)
		require.NoError(t, err)
		require.EqualValues(t, answered+1, h.Xid, "in order")
		answered++
	}
	require.Less(t, answered, calls)
	body, err := zkwire.ReadFrame(fresh, zkwire.MaxFrame)
	require.NoError(t, err)
	var h zkwire.ReplyHeader
	_, err = zkwire.Decode(body, &h)
	require.NoError(t, err)
	require.Equal(t, zkwire.OK, h.Err)
	// Nothing of the old connection was applied after the first call of the new one.
	var moved int64
	var made []int64
	c.nodes[1].replica.View(func(v store.View) {
		for _, name := range v.Children("/") {
			_, st, _, err := v.Node("/" + name)
			require.NoError(t, err)
			if name == "moved" {
				moved = int64(st.Created)
			} else {
				made = append(made, int64(st.Created))
			}
		}
	})
	require.NotZero(t, moved)
	for _, at := range made {
		require.Less(t, at, moved)
	}
	require.GreaterOrEqual(t, len(made), answered, "acknowledged nodes exist")
}

// Pings that arrive just before the timeout keep a session alive.
func TestPingsJustBeforeTimeout(t *testing.T) {
	c := newCluster(t)
	raw, session := c.hello(0, zkwire.ConnectRequest{TimeoutMs: 1000, Password: make([]byte, 16)})
	require.EqualValues(t, 1000, session.TimeoutMs)
	ping := zkwire.Append(nil, &zkwire.RequestHeader{Xid: zkwire.XidPing, Op: zkwire.OpPing})
	for range 4 {
		time.Sleep(900 * time.Millisecond) // the case under test: silence for nearly the timeout
		_, err := raw.Write(ping)
		require.NoError(t, err)
		require.NoError(t, raw.SetReadDeadline(time.Now().Add(testTimeout)))
		_, err = zkwire.ReadFrame(raw, zkwire.MaxFrame)
		require.NoError(t, err, "the session is alive")
	}
}

// Exceeding the limits on sessions or watches affects only the client that exceeds them.
func TestSessionAndWatchLimits(t *testing.T) {
	c := newCluster(t)
	s := c.nodes[0].front
	s.cfg.MaxWatches, s.cfg.MaxSessions = 3, 4
	conn := c.dial(4*time.Second, 0)
	for i := range 3 {
		_, _, _, err := conn.ExistsW(fmt.Sprint("/x", i))
		require.NoError(t, err)
	}
	_, _, _, err := conn.ExistsW("/x3")
	require.Equal(t, zk.ErrConnectionClosed, err)
	for range 3 {
		c.dial(4*time.Second, 0)
	}
	raw, err := net.Dial("tcp", c.addrs[0])
	require.NoError(t, err)
	defer raw.Close()
	_, err = raw.Write(zkwire.Append(nil, &zkwire.ConnectRequest{TimeoutMs: 1000, Password: make([]byte, 16)}))
	require.NoError(t, err)
	require.NoError(t, raw.SetReadDeadline(time.Now().Add(testTimeout)))
	_, err = zkwire.ReadFrame(raw, zkwire.MaxFrame)
	require.ErrorIs(t, err, io.EOF)
}

// A reconnected session sets its watches again and at once receives exactly the events that it
// missed.
func TestWatchesAreSetAgainAfterReconnect(t *testing.T) {
	c := newCluster(t)
	writer := c.dial(10*time.Second, 0)
	for _, p := range []string{"/same", "/set", "/gone", "/grown"} {
		_, err := writer.Create(p, nil, 0, openACL)
		require.NoError(t, err)
	}
	_, stat, err := writer.Get("/grown")
	require.NoError(t, err)
	seen := stat.Czxid
	_, err = writer.Set("/set", nil, -1)
	require.NoError(t, err)
	require.NoError(t, writer.Delete("/gone", -1))
	_, err = writer.Create("/grown/x", nil, 0, openACL)
	require.NoError(t, err)
	_, err = writer.Create("/made", nil, 0, openACL)
	require.NoError(t, err)
	raw, _ := c.hello(0, zkwire.ConnectRequest{TimeoutMs: 8000, Password: make([]byte, 16)})
	_, err = raw.Write(zkwire.Append(nil, &zkwire.RequestHeader{Xid: zkwire.XidSetWatches, Op: zkwire.OpSetWatches},
		&zkwire.SetWatches{RelativeZxid: seen, Data: []string{"/same", "/set", "/gone"}, Exist: []string{"/made", "/later"}, ChildrenPaths: []string{"/grown", "/same"}}))
	require.NoError(t, err)
	events := map[string]zkwire.EventType{}
	read := func() (h zkwire.ReplyHeader) {
		body, err := zkwire.ReadFrame(raw, zkwire.MaxFrame)
		require.NoError(t, err)
		rest, err := zkwire.Decode(body, &h)
		require.NoError(t, err)
		if h.Xid == zkwire.XidNotification {
			var ev zkwire.WatcherEvent
			require.NoError(t, zkwire.DecodeAll(rest, &ev))
			events[ev.Path] = ev.Type
		}
		return h
	}
	for read().Xid == zkwire.XidNotification {
	}
	require.Equal(t, map[string]zkwire.EventType{"/set": zkwire.EventDataChanged, "/gone": zkwire.EventDeleted,
		"/made": zkwire.EventCreated, "/grown": zkwire.EventChildrenChanged}, events)
	clear(events)
	_, err = writer.Create("/same/x", nil, 0, openACL)
	require.NoError(t, err)
	read()
	_, err = writer.Create("/later", nil, 0, openACL)
	require.NoError(t, err)
	read()
	require.Equal(t, map[string]zkwire.EventType{"/same": zkwire.EventChildrenChanged, "/later": zkwire.EventCreated}, events, "the other watches are set")
}
