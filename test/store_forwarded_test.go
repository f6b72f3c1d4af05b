package test

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/go-zookeeper/zk"
	"github.com/stretchr/testify/require"

	"lichenshelf/store"
)

// previousProgram lets the replicas of a store run different releases.
var previousProgram = flag.String("previous-program", "", "the program of an earlier release, for the tests in which releases mix; without it they run this one alone")

// storeReplica is one replica of a store, with its own addresses.
type storeReplica struct{ id, file, raft, api, zooKeeper string }

// layOutReplicas writes the files of the replicas of one store, which are not started yet.
func layOutReplicas(t *testing.T, n int) []storeReplica {
	return layOutReplicasVia(t, n, func(_, _ int, addr string) string { return addr })
}

// layOutReplicasVia is like layOutReplicas. The replicas reach each other's addresses through those
// that via returns.
func layOutReplicasVia(t *testing.T, n int, via func(from, to int, addr string) string) (replicas []storeReplica) {
	dir := t.TempDir()
	for i := range n {
		replicas = append(replicas, storeReplica{id: fmt.Sprint("r", i), file: filepath.Join(dir, fmt.Sprint("store", i, ".toml")),
			raft: ownAddr(t), api: ownAddr(t), zooKeeper: ownAddr(t)})
	}
	for from, r := range replicas {
		var peers strings.Builder
		for to, p := range replicas {
			raft, api := p.raft, p.api
			if to != from {
				raft, api = via(from, to, raft), via(from, to, api)
			}
			fmt.Fprintf(&peers, "[[peer]]\nid = %q\nraft = %q\napi = %q\n", p.id, raft, api)
		}
		text := fmt.Sprintf("id = %q\ndata_dir = %q\nzookeeper = %q\n%s", r.id, filepath.Join(dir, "data-"+r.id), r.zooKeeper, &peers)
		require.NoError(t, os.WriteFile(r.file, []byte(text), 0o600))
	}
	return replicas
}

// storeCluster is a store whose replicas run as processes.
type storeCluster struct {
	t        *testing.T
	replicas []storeReplica
	programs []*program
	client   *store.Client
}

// startStore starts one replica with each of the given programs.
func startStore(t *testing.T, paths ...string) *storeCluster {
	return startReplicas(t, layOutReplicas(t, len(paths)), paths...)
}

// startReplicas starts each of the given replicas with its program.
func startReplicas(t *testing.T, replicas []storeReplica, paths ...string) *storeCluster {
	c := &storeCluster{t: t, replicas: replicas}
	var apis []string
	for i, r := range c.replicas {
		apis = append(apis, r.api)
		c.programs = append(c.programs, startCommand(t, exec.Command(paths[i], "serve", "--store", r.file), "", nil))
	}
	c.client = store.NewClient(apis...)
	return c
}

// waitLeader waits until a majority of the replicas has a leader.
func (c *storeCluster) waitLeader() {
	c.t.Helper()
	eventually(c.t, func() bool {
		_, err := c.client.Node("/")
		return err == nil
	}, "the store has a leader")
}

func (c *storeCluster) makeLeader(i int) {
	c.t.Helper()
	eventually(c.t, func() bool {
		if leader, err := c.client.Leader(); err == nil && leader == c.replicas[i].id {
			return true
		}
		_ = c.client.TransferLeadership(c.replicas[i].id)
		return false
	}, c.replicas[i].id+" leads")
}

// kill kills some of the replicas at the same time.
func (c *storeCluster) kill(replicas ...int) {
	for _, i := range replicas {
		c.programs[i].signal(syscall.SIGKILL)
	}
	for _, i := range replicas {
		<-c.programs[i].exit
	}
}

// restart starts killed replicas with the data that they have.
func (c *storeCluster) restart(replicas ...int) {
	for _, i := range replicas {
		args := c.programs[i].cmd.Args
		c.programs[i] = startCommand(c.t, exec.Command(args[0], args[1:]...), "", nil)
	}
}

// appendedNode is a sequential node that a client created once.
type appendedNode struct {
	data string // unique
	err  error
}

// sequentialWriter is a ZooKeeper client that creates sequential nodes below sequenceParent at one
// replica, one after the other, each followed by a change of a node of its own that counts them. It
// never repeats a call.
type sequentialWriter struct {
	name string
	conn *zk.Conn

	mu       sync.Mutex
	appended []appendedNode
	counted  callCount
}

// callCount counts the calls of a writer that change its counter.
type callCount struct{ acknowledged, unknown int64 }

const (
	sequenceParent  = "/sequence"
	sequencePause   = 5 * time.Millisecond // between two creates of a writer
	sequenceTimeout = 20 * time.Second     // of the writers' sessions
)

func newSequentialWriter(t *testing.T, name string, at storeReplica) *sequentialWriter {
	conn, _, err := zk.Connect([]string{at.zooKeeper}, sequenceTimeout, zk.WithLogger(discardLog{}), zk.WithLogInfo(false))
	require.NoError(t, err)
	t.Cleanup(conn.Close)
	w := &sequentialWriter{name: name, conn: conn}
	_, err = conn.Create(w.counter(), nil, 0, zk.WorldACL(zk.PermAll))
	require.NoError(t, err)
	return w
}

// counter is the path of the node whose version counts the writer's changes.
func (w *sequentialWriter) counter() string { return "/counter-" + w.name }

type discardLog struct{}

func (discardLog) Printf(string, ...any) {}

// run creates nodes until ctx ends. It returns once the last call has ended.
func (w *sequentialWriter) run(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		data := fmt.Sprint(w.name, "-", n)
		_, err := w.conn.Create(sequenceParent+"/n-", []byte(data), zk.FlagSequence, zk.WorldACL(zk.PermAll))
		w.mu.Lock()
		w.appended = append(w.appended, appendedNode{data, err})
		w.mu.Unlock()
		if _, err := w.conn.Set(w.counter(), nil, store.AnyVersion); err == nil {
			w.counted.acknowledged++
		} else {
			w.counted.unknown++
		}
		time.Sleep(sequencePause)
	}
}

// acknowledged returns the number of creates that succeeded.
func (w *sequentialWriter) acknowledged() (n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, a := range w.appended {
		if a.err == nil {
			n++
		}
	}
	return n
}

// waitAcknowledged waits until each writer has n more acknowledged creates.
func waitAcknowledged(t *testing.T, n int, writers ...*sequentialWriter) {
	t.Helper()
	for _, w := range writers {
		until := w.acknowledged() + n
		eventually(t, func() bool { return w.acknowledged() >= until }, "creates of "+w.name+" are acknowledged")
	}
}

// checkSequence compares the nodes in the store with what the writers created.
func (c *storeCluster) checkSequence(writers ...*sequentialWriter) {
	c.t.Helper()
	parent, err := c.client.Node(sequenceParent)
	require.NoError(c.t, err)
	nodes := map[string][]string{}
	for _, name := range parent.Children {
		n, err := c.client.Node(sequenceParent + "/" + name)
		require.NoError(c.t, err)
		nodes[n.Data] = append(nodes[n.Data], name)
	}
	sent, unknown := 0, 0
	for _, w := range writers {
		sent += len(w.appended)
		unknown += len(w.appended) - w.acknowledged()
		require.Empty(c.t, sequenceFaults(w.appended, nodes))
		counter, err := c.client.Node(w.counter())
		require.NoError(c.t, err)
		require.Empty(c.t, counterFault(w.counted, counter.Stat.Version), w.name)
	}
	c.t.Logf("%d nodes created, %d of them with an unknown outcome", sent, unknown)
}

// sequenceFaults returns the creates that were applied more than once, and the acknowledged ones
// that are missing. nodes has the names of the nodes by their data.
func sequenceFaults(appended []appendedNode, nodes map[string][]string) (faults []string) {
	for _, a := range appended {
		switch names := nodes[a.data]; {
		case len(names) > 1:
			faults = append(faults, fmt.Sprintf("%s was sent once (%v) and applied as %v", a.data, a.err, names))
		case len(names) == 0 && a.err == nil:
			faults = append(faults, fmt.Sprintf("%s was acknowledged and is missing", a.data))
		}
	}
	return faults
}

// counterFault returns how the version of a counter contradicts the calls that changed it; empty if
// it does not.
func counterFault(calls callCount, version int64) string {
	if most := calls.acknowledged + calls.unknown; version < calls.acknowledged || version > most {
		return fmt.Sprintf("%d changes were acknowledged and %d sent, the counter is at %d", calls.acknowledged, most, version)
	}
	return ""
}

// The checks find writes that were applied twice, with and without an answer, and lost ones.
func TestSequenceFaults(t *testing.T) {
	require.Empty(t, counterFault(callCount{4, 1}, 4))
	require.Empty(t, counterFault(callCount{4, 1}, 5))
	require.NotEmpty(t, counterFault(callCount{4, 1}, 3))
	require.NotEmpty(t, counterFault(callCount{4, 1}, 6))
	appended := []appendedNode{{"a", nil}, {"b", nil}, {"c", zk.ErrConnectionClosed}, {"d", zk.ErrConnectionClosed}, {"e", nil}}
	require.Empty(t, sequenceFaults(appended, map[string][]string{"a": {"1"}, "b": {"2"}, "c": {"3"}, "e": {"4"}}))
	require.Len(t, sequenceFaults(appended, map[string][]string{"a": {"1", "2"}, "b": {"3"}, "c": {"4", "5"}}), 3)
}

// Guards against writes of ZooKeeper clients that are applied twice: a replica that had forwarded a
// write sent it again after the leader had lost its majority with the write in its log. With
// -previous-program the leader, and then the forwarding replica, runs an earlier release.
func TestForwardedWritesAreAppliedOnceWhenReplicasAreKilled(t *testing.T) {
	t.Parallel()
	for _, mix := range []struct {
		name                  string
		oldLeader, oldForward bool
	}{{"one release", false, false}, {"leader of the release before", true, false}, {"follower of the release before", false, true}} {
		t.Run(mix.name, func(t *testing.T) {
			if *previousProgram == "" && (mix.oldLeader || mix.oldForward) {
				t.Skip("needs -previous-program")
			}
			pick := func(old bool) string {
				if old {
					return *previousProgram
				}
				return binary
			}
			testForwardedWrites(t, startStore(t, pick(mix.oldLeader), pick(mix.oldForward), binary, binary, binary))
		})
	}
}

// testForwardedWrites has clients write at replica 1, which forwards to replica 0, while the others
// are killed and restarted.
func testForwardedWrites(t *testing.T, c *storeCluster) {
	const rounds, perRound = 2, 10
	c.waitLeader()
	require.NoError(t, c.client.Create(sequenceParent, nil))
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	var writing sync.WaitGroup
	writers := []*sequentialWriter{newSequentialWriter(t, "a", c.replicas[1]), newSequentialWriter(t, "b", c.replicas[1])}
	for _, w := range writers {
		writing.Go(func() { w.run(ctx) })
	}
	atLeader := store.NewClient(c.replicas[0].api)
	for range rounds {
		c.makeLeader(0)
		waitAcknowledged(t, perRound, writers...)
		c.kill(2, 3, 4)
		eventually(t, func() bool {
			_, err := atLeader.Leader()
			return err != nil
		}, "the leader has stepped down")
		c.restart(2, 3, 4)
		c.waitLeader()
	}
	waitAcknowledged(t, perRound, writers...)
	stop()
	writing.Wait()
	c.checkSequence(writers...)
}
