package store

import (
	"errors"
	"sync"

	"github.com/hashicorp/raft"
)

// errNoVote is the answer to who asks a replica without a vote to lead, or to have itself elected.
var errNoVote = errors.New("this replica may have lost what it had acknowledged, and has no vote before it has caught up")

// voteless is raft's transport for a replica that may have no vote: while it has none it grants none, and asks for none.
type voteless struct {
	*raft.NetworkTransport
	recovery *recovery
	rpcs     chan raft.RPC
	closing  chan struct{}
	once     sync.Once
}

func newVoteless(t *raft.NetworkTransport, r *recovery) *voteless {
	v := &voteless{NetworkTransport: t, recovery: r, rpcs: make(chan raft.RPC), closing: make(chan struct{})}
	go v.filter()
	return v
}

// Consumer implements raft.Transport.
func (v *voteless) Consumer() <-chan raft.RPC { return v.rpcs }

// Close implements raft.WithClose. It may be called again: raft closes its transport at its shutdown.
func (v *voteless) Close() error {
	v.once.Do(func() { close(v.closing) })
	return v.NetworkTransport.Close()
}

// filter hands on what comes, but for elections while the replica has no vote.
func (v *voteless) filter() {
	for {
		select {
		case rpc := <-v.NetworkTransport.Consumer():
			if v.recovery.active.Load() && refuse(rpc) {
				continue
			}
			select {
			case v.rpcs <- rpc:
			case <-v.closing:
				return
			}
		case <-v.closing:
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
func (v *voteless) RequestVote(id raft.ServerID, target raft.ServerAddress, args *raft.RequestVoteRequest, resp *raft.RequestVoteResponse) error {
	if v.recovery.active.Load() {
		return errNoVote
	}
	return v.NetworkTransport.RequestVote(id, target, args, resp)
}

// RequestPreVote implements raft.WithPreVote.
func (v *voteless) RequestPreVote(id raft.ServerID, target raft.ServerAddress, args *raft.RequestPreVoteRequest, resp *raft.RequestPreVoteResponse) error {
	if v.recovery.active.Load() {
		return errNoVote
	}
	return v.NetworkTransport.RequestPreVote(id, target, args, resp)
}
