package store

import (
	"errors"
	"sync"
	"time"

	"github.com/hashicorp/raft"
)

// errNoVote is returned to peers that ask a replica without a vote to become leader, and for its
// own elections.
var errNoVote = errors.New("this replica may have lost what it had acknowledged, and has no vote before it has caught up")

// errDiskStalled is returned for messages that a leader with a stalled disk must not send.
var errDiskStalled = errors.New("the disk does not respond, another replica may become leader")

// transport is raft's transport with two restrictions. While this replica has no vote, it neither
// grants nor requests votes. While its disk does not respond, it sends neither entries nor
// heartbeats: raft's heartbeats continue during a hanging write, and would keep the other replicas
// from electing a leader that can write.
type transport struct {
	*raft.NetworkTransport
	recovery   *recovery
	disk       *disk
	stallLimit time.Duration // maximum duration of a disk stall
	rpcs       chan raft.RPC
	closing    chan struct{}
	closeOnce  sync.Once
}

func newTransport(network *raft.NetworkTransport, r *recovery, d *disk, stallLimit time.Duration) *transport {
	t := &transport{NetworkTransport: network, recovery: r, disk: d, stallLimit: stallLimit, rpcs: make(chan raft.RPC), closing: make(chan struct{})}
	go t.filter()
	return t
}

// Consumer implements raft.Transport.
func (t *transport) Consumer() <-chan raft.RPC { return t.rpcs }

// Close implements raft.WithClose. It may be called repeatedly: raft closes its transport at
// shutdown as well.
func (t *transport) Close() error {
	t.closeOnce.Do(func() { close(t.closing) })
	return t.NetworkTransport.Close()
}

// filter forwards incoming calls, except for those of elections while the replica has no vote.
func (t *transport) filter() {
	for {
		select {
		case rpc := <-t.NetworkTransport.Consumer():
			if t.recovery.active.Load() && refuseElection(rpc) {
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

// refuseElection refuses a call that belongs to an election. It reports whether the call was one.
func refuseElection(rpc raft.RPC) bool {
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
	if t.disk.writes.stalledFor(time.Now()) > t.stallLimit {
		return errDiskStalled
	}
	return t.NetworkTransport.AppendEntries(id, target, args, resp)
}
