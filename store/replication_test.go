package store

import (
	"context"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/raft"
	"github.com/stretchr/testify/require"
)

const (
	// refusals is the number of times that the stand-in refuses entries. How many messages the
	// leader has in flight at each refusal is random.
	refusals     = 30
	refusalDelay = 10 * time.Millisecond // pause before a refusal, while more is written
	writers      = 8                     // concurrent
)

// refusingPeer stands in for a replica with a disk that fails at times: it grants every vote,
// answers heartbeats, and refuses a message of entries each time that refuse is set.
type refusingPeer struct {
	transport *raft.NetworkTransport
	refuse    atomic.Bool   // refuse the next entries
	refused   atomic.Int64  // number of refused messages
	last      atomic.Uint64 // the last entry accepted
}

func startRefusingPeer(t *testing.T, address string) *refusingPeer {
	advertised, err := net.ResolveTCPAddr("tcp", address)
	require.NoError(t, err)
	transport, err := raft.NewTCPTransport(address, advertised, raftMaxConns, raftTimeout, io.Discard)
	require.NoError(t, err)
	p := &refusingPeer{transport: transport}
	stop := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case rpc := <-transport.Consumer():
				p.answer(rpc)
			case <-stop:
				return
			}
		}
	}()
	t.Cleanup(func() {
		close(stop)
		<-done
		require.NoError(t, transport.Close())
	})
	return p
}

func (p *refusingPeer) answer(rpc raft.RPC) {
	switch c := rpc.Command.(type) {
	case *raft.RequestPreVoteRequest:
		rpc.Respond(&raft.RequestPreVoteResponse{RPCHeader: c.RPCHeader, Term: c.Term, Granted: true}, nil)
	case *raft.RequestVoteRequest:
		rpc.Respond(&raft.RequestVoteResponse{RPCHeader: c.RPCHeader, Term: c.Term, Granted: true}, nil)
	case *raft.AppendEntriesRequest:
		rpc.Respond(p.appendEntries(c), nil)
	default:
		rpc.Respond(nil, fmt.Errorf("unexpected %T", c))
	}
}

func (p *refusingPeer) appendEntries(c *raft.AppendEntriesRequest) *raft.AppendEntriesResponse {
	answer := &raft.AppendEntriesResponse{RPCHeader: c.RPCHeader, Term: c.Term}
	switch {
	case c.PrevLogEntry == 0 && len(c.Entries) == 0: // a heartbeat
		answer.Success = true
	case c.PrevLogEntry > p.last.Load():
	case len(c.Entries) > 0 && p.refuse.Swap(false):
		time.Sleep(refusalDelay)
		p.refused.Add(1)
	default:
		if n := len(c.Entries); n > 0 {
			p.last.Store(c.Entries[n-1].Index)
		}
		answer.Success = true
	}
	answer.LastLog = p.last.Load()
	return answer
}

// A replica that refuses entries while more are in flight still receives the following ones, and
// the leader can be closed.
func TestLeaderClosesDespitePeerThatRefusesEntries(t *testing.T) {
	c := newCluster(t)
	require.NoError(t, c.create("/n", "0", ""))
	refusing := (c.leader() + 1) % len(c.replicas)
	c.close(refusing)
	peer := startRefusingPeer(t, c.cfg[refusing].Self().Raft)
	c.eventually(func() bool { return peer.last.Load() > 0 })

	running := slices.DeleteFunc(slices.Clone(c.replicas), func(r *Replica) bool { return r == nil })
	ctx, stop := context.WithCancel(t.Context())
	var written sync.WaitGroup
	for range writers {
		written.Go(func() {
			for ctx.Err() == nil {
				for _, r := range running {
					if r.IsLeader() {
						_ = r.Set("/n", []byte("1"), AnyVersion)
					}
				}
			}
		})
	}
	for n := int64(1); n <= refusals; n++ {
		peer.refuse.Store(true)
		c.eventually(func() bool { return peer.refused.Load() == n })
		before := peer.last.Load()
		c.eventually(func() bool { return peer.last.Load() > before })
	}
	stop()
	written.Wait()

	leader := c.leader()
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		c.close(leader)
	}()
	select {
	case <-closed:
	case <-time.After(waitLimit):
		t.Fatal("the leader did not close")
	}
}
