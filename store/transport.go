package store

import (
	"errors"
	"sync"
	"time"

	"github.com/hashicorp/raft"
)

// errNoVote is the answer to who asks a replica without a vote to lead, or to have itself elected.
var errNoVote = errors.New("this replica may have lost what it had acknowledged, and has no vote before it has caught up")

// errDiskStalled is why a leader sends nothing.
var errDiskStalled = errors.New("the disk does not answer, and another replica may lead")

// transport is raft's transport, but for what this replica must not do now. While it has no vote it grants none, and asks for
// none. While its disk does not answer it sends no entries and no heartbeats: raft's heartbeats go on beside a write that hangs, and
// would keep the others from electing a leader that can write.
type transport struct {
	*raft.NetworkTransport
	recovery   *recovery
	disk       *disk
	stallLimit time.Duration // of the disk
	rpcs       chan raft.RPC
	closing    chan struct{}
	once       sync.Once
}

func newTransport(network *raft.NetworkTransport, r *recovery, d *disk, stallLimit time.Duration) *transport {
	t := &transport{NetworkTransport: network, recovery: r, disk: d, stallLimit: stallLimit, rpcs: make(chan raft.RPC), closing: make(chan struct{})}
	go t.filter()
	return t
}

// Consumer implements raft.Transport.
func (t *transport) Consumer() <-chan raft.RPC { return t.rpcs }

// Close implements raft.WithClose. It may be called again: raft closes its transport at its shutdown.
func (t *transport) Close() error {
	t.once.Do(func() { close(t.closing) })
	return t.NetworkTransport.Close()
}

// filter hands on what comes, but for elections while the replica has no vote.
func (t *transport) filter() {
	for {
		select {
		case rpc := <-t.NetworkTransport.Consumer():
			if t.recovery.active.Load() && refuse(rpc) {
				continue
			}
			select {
			case t.rpcs <- rpc:
			case <-t.closing:
				return
			}
		case <-t.closing:
			return
		}
	}
}

// refuse answers what has to do with elections. It tells whether the call was one of those.
func refuse(rpc raft.RPC) bool {
	switch c := rpc.Command.(type) {
	case *raft.RequestVoteRequest:
		rpc.Respond(&raft.RequestVoteResponse{RPCHeader: raft.RPCHeader{ProtocolVersion: c.ProtocolVersion}, Term: c.Term}, nil)
	case *raft.RequestPreVoteRequest:
		rpc.Respond(&raft.RequestPreVoteResponse{RPCHeader: raft.RPCHeader{ProtocolVersion: c.ProtocolVersion}, Term: c.Term}, nil)
	case *raft.TimeoutNowRequest:
		rpc.Respond(nil, errNoVote)
	default:
		return false
	}
	return true
}

// RequestVote implements raft.Transport.
func (t *transport) RequestVote(id raft.ServerID, target raft.ServerAddress, args *raft.RequestVoteRequest, resp *raft.RequestVoteResponse) error {
	if t.recovery.active.Load() {
		return errNoVote
	}
	return t.NetworkTransport.RequestVote(id, target, args, resp)
}

// RequestPreVote implements raft.WithPreVote.
func (t *transport) RequestPreVote(id raft.ServerID, target raft.ServerAddress, args *raft.RequestPreVoteRequest, resp *raft.RequestPreVoteResponse) error {
	if t.recovery.active.Load() {
		return errNoVote
	}
	return t.NetworkTransport.RequestPreVote(id, target, args, resp)
}

// AppendEntries implements raft.Transport.
func (t *transport) AppendEntries(id raft.ServerID, target raft.ServerAddress, args *raft.AppendEntriesRequest, resp *raft.AppendEntriesResponse) error {
	if t.disk.writes.stalled(time.Now()) > t.stallLimit {
		return errDiskStalled
	}
	return t.NetworkTransport.AppendEntries(id, target, args, resp)
}
