package store

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"
	"github.com/valyala/fasthttp"
)

// ErrNotLeader means that writes have to go to another replica.
var ErrNotLeader = errors.New("not the leader")

// Peer is one replica of the store.
type Peer struct {
	ID   string `toml:"id"`
	Raft string `toml:"raft"` // address for traffic between replicas
	API  string `toml:"api"`  // address for clients
}

// Config is the configuration of a replica, or of a router that follows the replicas.
type Config struct {
	ID      string `toml:"id"` // ID of this replica among Peers
	DataDir string `toml:"data_dir"`
	Peers   []Peer `toml:"peer"`
	// ZooKeeper is the address on which this replica accepts ZooKeeper clients; empty disables the
	// front.
	ZooKeeper string `toml:"zookeeper"`
	// Follow and Name are set for a router without a replica: the API addresses of the replicas,
	// and the router's unique name.
	Follow []string `toml:"follow"`
	Name   string   `toml:"name"`

	// HeartbeatTimeout, if it is not 0, is raft's heartbeat and election time-out; the lease time-out is half
	// of it, and the commit time-out a twentieth.
	HeartbeatTimeout time.Duration `toml:"-"`
	Log              io.Writer     `toml:"-"`
}

const (
	applyTimeout  = 5 * time.Second
	snapshotsKept = 2
	raftMaxConns  = 3
	raftTimeout   = 2 * time.Second
	// maxRaftCallsInFlight is the number of AppendEntries messages in flight to a replica. A value
	// of 1 disables raft's pipelined replication. With pipelining, when a replica refuses entries,
	// raft v1.7.3 ends the goroutine that reads the answers (replication.go, pipelineDecode) while
	// the sender waits for it (net_transport.go, netPipeline.AppendEntries): that replica would get
	// no more entries, and the sender would never end. One message carries all entries that are
	// due, up to raft's MaxAppendEntries.
	maxRaftCallsInFlight = 1
	// maxStalledHeartbeats is the number of heartbeat time-outs for which a write may be pending
	// before a leader stops sending heartbeats. With 1, every short stall of a slow disk would
	// force the election of a new leader.
	maxStalledHeartbeats = 2
	// closeTimeout bounds Close: the time for pending calls to other replicas, and a margin.
	closeTimeout = raftTimeout + time.Second
)

// ErrNotClosed means that a replica could not be closed in time, most likely because its disk does
// not respond.
var ErrNotClosed = errors.New("replica did not close in time, its disk may not be responding")

// Replica is one member of the store.
type Replica struct {
	cfg      Config
	machine  *fsm
	raft     *raft.Raft
	network  *transport
	disk     *disk
	recovery *recovery
	peers    fasthttp.Client // client for calls to other replicas
	sessions sessions
	reads    callCoalescer
	// barrierTerm is the term in which this replica, as leader, has applied everything acknowledged
	// before.
	barrierTerm atomic.Uint64
	caughtUp    chan struct{} // closed once this replica has caught up since its start
	stop        context.CancelFunc
	stopped     chan struct{}
}

// Open starts a replica. With an empty data directory it bootstraps the cluster from the peers;
// otherwise it resumes from the stored state.
func Open(cfg Config) (*Replica, error) {
	self, err := cfg.self()
	if err != nil {
		return nil, err
	}
	if err := os.MkdirAll(cfg.DataDir, 0o700); err != nil {
		return nil, fmt.Errorf("data directory: %w", err)
	}
	if err := claimDataDir(cfg.DataDir, cfg.ID); err != nil {
		return nil, err
	}
	logs, err := raftboltdb.NewBoltStore(filepath.Join(cfg.DataDir, "raft.db"))
	if err != nil {
		return nil, fmt.Errorf("open log: %w", err)
	}
	r := &Replica{cfg: cfg, machine: newFSM(), disk: newDisk(logs, cfg.logger()), stopped: make(chan struct{}), caughtUp: make(chan struct{}), peers: newSingleAttemptClient()}
	if r.recovery, err = newRecovery(cfg.DataDir); err == nil {
		err = r.start(self)
	}
	if err != nil {
		_ = logs.Close()
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	r.stop = cancel
	go r.expireSessions(ctx)
	go r.catchUpAfterStart(ctx)
	return r, nil
}

// ErrForeignData means that a data directory belongs to another replica.
var ErrForeignData = errors.New("the data directory is another replica's")

const ownerFile = "replica"

// claimDataDir records the replica that owns the data directory. With another replica's data, this
// one would vote again in terms in which the other has voted, and would take the other's history
// for its own. A directory without the file becomes this replica's.
func claimDataDir(dir, id string) error {
	path := filepath.Join(dir, ownerFile)
	text, err := os.ReadFile(path)
	switch {
	case err == nil && string(text) == id:
		return nil
	case err == nil:
		return fmt.Errorf("%w: %s names %.64q, this replica is %q", ErrForeignData, path, text, id)
	case !errors.Is(err, os.ErrNotExist):
		return fmt.Errorf("data directory: %w", err)
	}
	tmp := path + ".new"
	if err := os.WriteFile(tmp, []byte(id), 0o600); err != nil {
		return fmt.Errorf("data directory: %w", err)
	}
	if err := os.Rename(tmp, path); err != nil {
		return fmt.Errorf("data directory: %w", err)
	}
	return nil
}

func (c *Config) self() (Peer, error) {
	for _, p := range c.Peers {
		if p.ID == c.ID {
			return p, nil
		}
	}
	return Peer{}, fmt.Errorf("replica %q is not among the peers", c.ID)
}

// output returns the destination of raft's log.
func (c *Config) output() io.Writer {
	if c.Log == nil {
		return io.Discard
	}
	return c.Log
}

func (c *Config) logger() hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{Name: "raft", Output: c.output(), Level: hclog.Warn})
}

func (r *Replica) start(self Peer) error {
	rc := raft.DefaultConfig()
	rc.LocalID = raft.ServerID(self.ID)
	rc.Logger = r.cfg.logger()
	if p := r.cfg.HeartbeatTimeout; p > 0 {
		rc.HeartbeatTimeout, rc.ElectionTimeout, rc.LeaderLeaseTimeout, rc.CommitTimeout = p, p, p/2, p/20
	}
	snapshots, err := raft.NewFileSnapshotStore(r.cfg.DataDir, snapshotsKept, io.Discard)
	if err != nil {
		return fmt.Errorf("open snapshots: %w", err)
	}
	advertised, err := net.ResolveTCPAddr("tcp", self.Raft)
	if err != nil {
		return fmt.Errorf("raft address: %w", err)
	}
	if err := r.repairLog(snapshots); err != nil {
		return err
	}
	network, err := raft.NewTCPTransportWithConfig(self.Raft, advertised, &raft.NetworkTransportConfig{
		MaxPool:         raftMaxConns,
		MaxRPCsInFlight: maxRaftCallsInFlight,
		Timeout:         raftTimeout,
		Logger:          r.cfg.logger(),
	})
	if err != nil {
		return fmt.Errorf("listen for replicas: %w", err)
	}
	r.network = newTransport(network, r.recovery, r.disk, maxStalledHeartbeats*rc.HeartbeatTimeout)
	var first raft.Configuration
	for _, p := range r.cfg.Peers {
		first.Servers = append(first.Servers, raft.Server{ID: raft.ServerID(p.ID), Address: raft.ServerAddress(p.Raft)})
	}
	if err := r.bootstrap(rc, snapshots, first); err != nil {
		_ = r.network.Close()
		return err
	}
	if r.raft, err = raft.NewRaft(rc, r.machine, r.disk, r.disk, snapshots, r.network); err != nil {
		_ = r.network.Close()
		return fmt.Errorf("start raft: %w", err)
	}
	return nil
}

// Close stops the replica and keeps its data. If that takes longer than closeTimeout it returns
// ErrNotClosed; the process may exit all the same, since everything acknowledged is on disk.
func (r *Replica) Close() error {
	closed := make(chan error, 1)
	go func() { closed <- r.close() }()
	select {
	case err := <-closed:
		return err
	case <-time.After(closeTimeout):
		return ErrNotClosed
	}
}

func (r *Replica) close() error {
	r.stop()
	<-r.stopped
	r.disk.stop()
	err := r.raft.Shutdown().Error()
	return errors.Join(err, r.network.Close(), r.disk.file.Close())
}

// ID returns this replica's ID among the peers.
func (r *Replica) ID() string { return r.cfg.ID }

// Leader returns the peer that takes writes, if it is known.
func (r *Replica) Leader() (Peer, bool) {
	_, id := r.raft.LeaderWithID()
	for _, p := range r.cfg.Peers {
		if p.ID == string(id) {
			return p, true
		}
	}
	return Peer{}, false
}

// Current reports whether this replica has caught up with everything acknowledged since it was
// started. Until then its state may be older than it was before the restart.
func (r *Replica) Current() bool {
	select {
	case <-r.caughtUp:
		return true
	default:
		return false
	}
}

// CaughtUp returns a channel that is closed once Current reports true.
func (r *Replica) CaughtUp() <-chan struct{} { return r.caughtUp }

// IsLeader reports whether this replica takes writes.
func (r *Replica) IsLeader() bool { return r.raft.State() == raft.Leader }

// apply replicates a command and returns its result. ErrNotLeader means that it was not accepted
// and may be sent to another replica; ErrUnknown means that it may still be applied, so that
// sending it again could apply it twice.
func (r *Replica) apply(c command) (*Result, error) {
	c.TimeMs = time.Now().UnixMilli()
	return r.applyAsLeader(c)
}

func (r *Replica) do(c command) error { return resultError(r.apply(c)) }

// Create creates a node. With a session the node is ephemeral: it is removed with the session.
func (r *Replica) Create(path string, data []byte, session string) error {
	return r.do(command{Op: opCreate, Path: path, Data: data, Session: session})
}

// Set replaces a node's data if its version matches.
func (r *Replica) Set(path string, data []byte, version int64) error {
	return r.do(command{Op: opSet, Path: path, Data: data, Version: version})
}

// Delete removes a node without children if its version matches.
func (r *Replica) Delete(path string, version int64) error {
	return r.do(command{Op: opRemove, Path: path, Version: version})
}

// NewSession starts a session that expires unless it is touched within the time-out.
func (r *Replica) NewSession(timeout time.Duration) (string, error) {
	c, err := newSession(timeout)
	if err != nil {
		return "", err
	}
	return c.Session, r.do(c)
}

// newSession returns the command that starts a session with a new random ID.
func newSession(timeout time.Duration) (command, error) {
	if timeout <= 0 {
		return command{}, fmt.Errorf("session time-out %v is not positive", timeout)
	}
	var id [8]byte
	if _, err := rand.Read(id[:]); err != nil {
		return command{}, fmt.Errorf("session id: %w", err)
	}
	return command{Op: opSession, Session: hex.EncodeToString(id[:]), Timeout: timeout}, nil
}

// EndSession ends a session on request of its owner.
func (r *Replica) EndSession(id string) error {
	return r.do(command{Op: opEndSession, Session: id})
}

// Get reads a node from this replica's state, which may lag behind other replicas. It returns
// ErrLagging until the replica has caught up since its start.
func (r *Replica) Get(path string) ([]byte, Stat, error) {
	if !r.Current() {
		return nil, Stat{}, ErrLagging
	}
	r.machine.mu.RLock()
	defer r.machine.mu.RUnlock()
	n, err := r.machine.tree.find(path)
	if err != nil {
		return nil, Stat{}, err
	}
	return n.Data, n.Stat, nil
}

// Children returns the names below a node in order, under the same conditions as Get.
func (r *Replica) Children(path string) ([]string, error) {
	if !r.Current() {
		return nil, ErrLagging
	}
	r.machine.mu.RLock()
	defer r.machine.mu.RUnlock()
	if _, err := r.machine.tree.find(path); err != nil {
		return nil, err
	}
	return r.machine.tree.children(path), nil
}

// Watch returns a watch that fires the next time that the node is created or removed, or that its
// data or its list of children change. A watch registered before a read misses no change after it.
func (r *Replica) Watch(path string) (*Watch, error) {
	if err := checkPath(path); err != nil {
		return nil, err
	}
	r.machine.mu.Lock()
	defer r.machine.mu.Unlock()
	return r.machine.watch(path), nil
}
