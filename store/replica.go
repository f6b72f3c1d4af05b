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

// ErrNotLeader says that another replica takes writes now.
var ErrNotLeader = errors.New("not the leader")

// Peer is one replica.
type Peer struct {
	ID   string `toml:"id"`
	Raft string `toml:"raft"` // where replicas speak to each other
	API  string `toml:"api"`  // where clients speak to it
}

// Config is what a replica is made of.
type Config struct {
	ID      string `toml:"id"` // which of Peers this one is
	DataDir string `toml:"data_dir"`
	Peers   []Peer `toml:"peer"`
	// ZooKeeper is where ZooKeeper clients connect to this replica; empty: the
	// front is off.
	ZooKeeper string `toml:"zookeeper"`
	// Follow and Name are of a router without a replica: the API addresses of those that have one, and what it is called there.
	Follow []string `toml:"follow"`
	Name   string   `toml:"name"`

	// Pace shortens raft's heartbeat, election and lease times where it is not 0.
	Pace time.Duration `toml:"-"`
	Log  io.Writer     `toml:"-"`
}

const (
	applyWait    = 5 * time.Second
	snapshotKeep = 2
	raftConns    = 3
	raftWait     = 2 * time.Second
	// raftCallsInFlight is how many messages of entries may be on their way to a replica. One of them turns raft's pipelined
	// replication off: where a replica refuses entries, raft v1.7.3 ends the reader of the answers (replication.go,
	// pipelineDecode) while the sender waits for it (net_transport.go, netPipeline.AppendEntries). That replica would get no
	// entries any more, and the sender would never end. The entries of one message are as many as are due, up to raft's
	// MaxAppendEntries.
	raftCallsInFlight = 1
	// stalledHeartbeats is for how many times the heartbeat's time-out a write may be under way before a leader gives way: with
	// one, a disk that is slow for a moment would end as many leaders as it has moments.
	stalledHeartbeats = 2
	// closeWait is how long Close waits in all: for calls to other replicas, and some more.
	closeWait = raftWait + time.Second
)

// ErrNotClosed says that a replica could not be closed in time: its disk, most likely, does not answer.
var ErrNotClosed = errors.New("the replica does not end, its disk may not answer")

// Replica is one member of the store.
type Replica struct {
	cfg      Config
	machine  *machine
	raft     *raft.Raft
	network  *transport
	disk     *disk
	recovery *recovery
	peers    fasthttp.Client // to the leader's API
	sessions sessions
	reads    gate
	sure     atomic.Uint64 // the term in which all that was acknowledged before has been applied here, as a leader
	caught   chan struct{} // closed once this replica has caught up since its start
	stop     context.CancelFunc
	stopped  chan struct{}
}

// Open starts a replica. A data directory that is empty gets the peers as its
// first configuration; one that is not goes on from where it was.
func Open(cfg Config) (*Replica, error) {
	self, err := cfg.self()
	if err != nil {
		return nil, err
	}
	if err := os.MkdirAll(cfg.DataDir, 0o700); err != nil {
		return nil, fmt.Errorf("data directory: %w", err)
	}
	if err := own(cfg.DataDir, cfg.ID); err != nil {
		return nil, err
	}
	logs, err := raftboltdb.NewBoltStore(filepath.Join(cfg.DataDir, "raft.db"))
	if err != nil {
		return nil, fmt.Errorf("open log: %w", err)
	}
	r := &Replica{cfg: cfg, machine: newMachine(), disk: newDisk(logs, cfg.logger()), stopped: make(chan struct{}), caught: make(chan struct{}), peers: onceClient()}
	if r.recovery, err = newRecovery(cfg.DataDir); err == nil {
		err = r.start(self)
	}
	if err != nil {
		_ = logs.Close()
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	r.stop = cancel
	go r.watchSessions(ctx)
	go r.catchUpOnce(ctx)
	return r, nil
}

// ErrForeign says that a data directory is another replica's.
var ErrForeign = errors.New("the data are another replica's")

const ownerFile = "replica"

// own notes whose the data directory is. With another replica's data this one would vote twice where the other has voted,
// and take its own name for the other's history. A directory from before there was such a file becomes this replica's.
func own(dir, id string) error {
	path := filepath.Join(dir, ownerFile)
	text, err := os.ReadFile(path)
	switch {
	case err == nil && string(text) == id:
		return nil
	case err == nil:
		return fmt.Errorf("%w: %s says %.64q, this is %q", ErrForeign, path, text, id)
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

// output is where raft's log goes.
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
	if p := r.cfg.Pace; p > 0 {
		rc.HeartbeatTimeout, rc.ElectionTimeout, rc.LeaderLeaseTimeout, rc.CommitTimeout = p, p, p/2, p/20
	}
	snapshots, err := raft.NewFileSnapshotStore(r.cfg.DataDir, snapshotKeep, io.Discard)
	if err != nil {
		return fmt.Errorf("open snapshots: %w", err)
	}
	advertised, err := net.ResolveTCPAddr("tcp", self.Raft)
	if err != nil {
		return fmt.Errorf("raft address: %w", err)
	}
	if err := r.repair(snapshots); err != nil {
		return err
	}
	network, err := raft.NewTCPTransportWithConfig(self.Raft, advertised, &raft.NetworkTransportConfig{
		MaxPool:         raftConns,
		MaxRPCsInFlight: raftCallsInFlight,
		Timeout:         raftWait,
		Logger:          r.cfg.logger(),
	})
	if err != nil {
		return fmt.Errorf("listen for replicas: %w", err)
	}
	r.network = newTransport(network, r.recovery, r.disk, stalledHeartbeats*rc.HeartbeatTimeout)
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

// Close ends the replica; its data stay. It waits for some seconds at most, and is ErrNotClosed then: the process may end all the
// same, what was acknowledged is on the disk.
func (r *Replica) Close() error {
	closed := make(chan error, 1)
	go func() { closed <- r.close() }()
	select {
	case err := <-closed:
		return err
	case <-time.After(closeWait):
		return ErrNotClosed
	}
}

func (r *Replica) close() error {
	r.stop()
	<-r.stopped
	r.disk.shut()
	err := r.raft.Shutdown().Error()
	return errors.Join(err, r.network.Close(), r.disk.file.Close())
}

// ID is this replica's name among the peers.
func (r *Replica) ID() string { return r.cfg.ID }

// Leader returns the peer that takes writes, if one is known.
func (r *Replica) Leader() (Peer, bool) {
	_, id := r.raft.LeaderWithID()
	for _, p := range r.cfg.Peers {
		if p.ID == string(id) {
			return p, true
		}
	}
	return Peer{}, false
}

// Current tells whether this replica has caught up with what was acknowledged since it was
// started. Until then it may know less than it did before.
func (r *Replica) Current() bool {
	select {
	case <-r.caught:
		return true
	default:
		return false
	}
}

// Settled is closed once Current.
func (r *Replica) Settled() <-chan struct{} { return r.caught }

// IsLeader tells whether this replica takes writes.
func (r *Replica) IsLeader() bool { return r.raft.State() == raft.Leader }

// apply puts a command through the log, and returns what it has led to. ErrNotLeader
// means that it was not taken and may be given to another replica; ErrUnknown that it may be
// applied still, so that giving it again could apply it twice.
func (r *Replica) apply(c command) (*Result, error) {
	c.TimeMs = time.Now().UnixMilli()
	return r.lead(c)
}

func (r *Replica) done(c command) error { return errOf(r.apply(c)) }

// Create makes a node. With a session it is ephemeral: it goes with the session.
func (r *Replica) Create(path string, data []byte, session string) error {
	return r.done(command{Op: opCreate, Path: path, Data: data, Session: session})
}

// Set replaces a node's data if its version matches.
func (r *Replica) Set(path string, data []byte, version int64) error {
	return r.done(command{Op: opSet, Path: path, Data: data, Version: version})
}

// Delete removes a node without children if its version matches.
func (r *Replica) Delete(path string, version int64) error {
	return r.done(command{Op: opRemove, Path: path, Version: version})
}

// NewSession starts a session that ends unless it is touched within the time-out.
func (r *Replica) NewSession(timeout time.Duration) (string, error) {
	c, err := newSession(timeout)
	if err != nil {
		return "", err
	}
	return c.Session, r.done(c)
}

// newSession is the command that starts a session under a name that nobody else has.
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

// EndSession ends a session at its owner's wish.
func (r *Replica) EndSession(id string) error {
	return r.done(command{Op: opEndSession, Session: id})
}

// Get reads a node as this replica knows it, which may be older than what others have. Before
// it has caught up since its start it is ErrBehind.
func (r *Replica) Get(path string) ([]byte, Stat, error) {
	if !r.Current() {
		return nil, Stat{}, ErrBehind
	}
	r.machine.mu.RLock()
	defer r.machine.mu.RUnlock()
	n, err := r.machine.tree.find(path)
	if err != nil {
		return nil, Stat{}, err
	}
	return n.Data, n.Stat, nil
}

// Children returns the names below a node in order, as Get does.
func (r *Replica) Children(path string) ([]string, error) {
	if !r.Current() {
		return nil, ErrBehind
	}
	r.machine.mu.RLock()
	defer r.machine.mu.RUnlock()
	if _, err := r.machine.tree.find(path); err != nil {
		return nil, err
	}
	return r.machine.tree.children(path), nil
}

// Watch tells of the next time that a node comes, goes, or changes its data or
// its list of children. Set before a read, it misses nothing after it.
func (r *Replica) Watch(path string) (*Watch, error) {
	if err := checkPath(path); err != nil {
		return nil, err
	}
	r.machine.mu.Lock()
	defer r.machine.mu.Unlock()
	return r.machine.watch(path), nil
}
