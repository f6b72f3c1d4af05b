package store

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"lichenshelf/internal/transient"
)

// Reads are linearizable at every replica: none returns a state older than what was acknowledged
// before the read began. The replica asks the leader for the index of the latest operation and
// waits until it has applied it. If it can't find out in time, it returns ErrLagging instead of
// older data.
//
// A replica may also be ahead of the leader for a moment, since a committed operation can be
// applied there first. A read at that replica would then return an operation that a later read at
// another replica does not. A read therefore returns only operations that the leader is known to
// have applied as well.
//
// The leader counts only operations that it has applied itself, as each write is before it is
// acknowledged, and asks the other replicas for their terms. If a majority is still at its own
// term, no other leader had been elected before it asked, so no other replica had acknowledged
// anything. (raft's VerifyLeader is not sufficient: it also counts an answer to a heartbeat that
// was sent before the call.) A new leader first commits a barrier, so that everything acknowledged
// by earlier leaders is applied as well. Reads that arrive while a query is pending share the next
// one.

// ErrLagging means that this replica can't determine the latest operation, or has not applied it
// yet.
var ErrLagging = errors.New("this replica is behind")

const (
	newestPath  = "/v1/newest"
	termPath    = "/v1/term"
	readTimeout = time.Second // for a replica to reach the state that a read needs
	// The pauses between questions for the latest operation.
	minNewestPause = 20 * time.Millisecond
	maxNewestPause = 200 * time.Millisecond
	// The pauses between attempts to catch up after a start.
	minRecoveryPause = 10 * time.Millisecond
	maxRecoveryPause = time.Second
	// VersionHeader carries the index of the operation up to which an answer is current. A caller
	// that sends it never gets an answer from an older state.
	VersionHeader = "X-Store-Version"
)

// callCoalescer lets concurrent callers share queries: each caller gets the result of a query that
// was started after it called.
type callCoalescer struct {
	mu      sync.Mutex
	next    *sharedCall
	running bool
}

type sharedCall struct {
	done  chan struct{}
	index uint64
	err   error
}

// do starts the query, or joins one that has not been started yet.
func (g *callCoalescer) do(ctx context.Context, query func() (uint64, error)) (uint64, error) {
	g.mu.Lock()
	call := g.next
	if call == nil {
		call = &sharedCall{done: make(chan struct{})}
		g.next = call
	}
	if !g.running {
		g.running = true
		go g.run(query)
	}
	g.mu.Unlock()
	select {
	case <-call.done:
		return call.index, call.err
	case <-ctx.Done():
		return 0, fmt.Errorf("%w: %w", ErrLagging, ctx.Err())
	}
}

func (g *callCoalescer) run(query func() (uint64, error)) {
	for {
		g.mu.Lock()
		call := g.next
		g.next = nil
		g.running = call != nil
		g.mu.Unlock()
		if call == nil {
			return
		}
		call.index, call.err = query()
		close(call.done)
	}
}

// appliedIndex returns the latest operation applied by this replica.
func (m *fsm) appliedIndex() uint64 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.tree.Index
}

// newestAsLeader returns the latest operation, as the leader.
func (r *Replica) newestAsLeader() (uint64, error) {
	term := r.raft.CurrentTerm()
	if r.barrierTerm.Load() != term {
		if err := r.raft.Barrier(readTimeout).Error(); err != nil {
			return 0, fmt.Errorf("%w: %w", ErrNotLeader, err)
		}
		// Stores the term from before the barrier: a later term needs another barrier.
		r.barrierTerm.Store(term)
	}
	index := r.machine.appliedIndex()
	return index, r.confirmTerm(term)
}

// confirmTerm checks that a majority of the replicas, including this one, is at the term now.
func (r *Replica) confirmTerm(term uint64) error {
	if r.raft.CurrentTerm() != term || !r.IsLeader() {
		return fmt.Errorf("%w: the term has changed", ErrNotLeader)
	}
	need := len(r.cfg.Peers) / 2 // besides this replica
	if need == 0 {
		return nil
	}
	terms := make(chan uint64, len(r.cfg.Peers))
	deadline := time.Now().Add(readTimeout)
	for _, p := range r.cfg.Peers {
		if p.ID == r.cfg.ID {
			continue
		}
		go func() {
			var peerTerm uint64 // 0 is not a valid term
			if err := r.askPeer(p, termPath, deadline, &peerTerm); err != nil {
				peerTerm = 0
			}
			terms <- peerTerm
		}()
	}
	for range len(r.cfg.Peers) - 1 {
		if <-terms == term {
			if need--; need == 0 {
				return nil
			}
		}
	}
	return fmt.Errorf("%w: no majority is at term %d", ErrNotLeader, term)
}

// askPeer sends a request without a body to a replica.
func (r *Replica) askPeer(p Peer, path string, deadline time.Time, into any) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + p.API + path)
	if err := r.peers.DoDeadline(req, resp, deadline); err != nil {
		return fmt.Errorf("ask %s: %w", p.ID, err)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return fmt.Errorf("ask %s: status %d", p.ID, resp.StatusCode())
	}
	return json.Unmarshal(resp.Body(), into)
}

// newestIndex asks the leader for the latest operation, retrying for up to readTimeout.
func (r *Replica) newestIndex(ctx context.Context) (uint64, error) {
	return r.reads.do(ctx, func() (uint64, error) {
		ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
		defer cancel()
		var index uint64
		err := transient.RetryWithBackoff(ctx, minNewestPause, maxNewestPause, nil, func() (err error) {
			if r.IsLeader() {
				index, err = r.newestAsLeader()
				return err
			}
			return r.askLeader(ctx, newestPath, nil, &index)
		})
		if err != nil {
			return 0, fmt.Errorf("%w: what is newest is not known: %w", ErrLagging, err)
		}
		return index, nil
	})
}

// CatchUp returns once this replica has applied everything acknowledged before the call. ErrLagging
// means that it may not have.
func (r *Replica) CatchUp(ctx context.Context) error {
	index, err := r.newestIndex(ctx)
	if err != nil {
		return err
	}
	return r.WaitApplied(ctx, index)
}

// WaitApplied returns once this replica has applied an operation.
func (r *Replica) WaitApplied(ctx context.Context, index uint64) error {
	if err := r.machine.waitApplied(ctx, index); err != nil {
		return fmt.Errorf("%w: %w", ErrLagging, err)
	}
	return nil
}

// catchUpAfterStart enables local reads once this replica has caught up after its start.
func (r *Replica) catchUpAfterStart(ctx context.Context) {
	err := transient.RetryWithBackoff(ctx, minRecoveryPause, maxRecoveryPause, nil, func() error { return r.CatchUp(ctx) })
	if err == nil {
		r.endRecovery()
		close(r.caughtUp)
	}
}

// State is a consistent snapshot of a node and its children, with the operation up to which it is
// current.
type State struct {
	Data     []byte
	Stat     Stat
	Children []string
	Index    uint64
}

// Read reads a node from this replica's state. The result has the index of the state even if the
// node does not exist.
func (r *Replica) Read(path string) (State, error) {
	r.machine.mu.RLock()
	defer r.machine.mu.RUnlock()
	s := State{Index: r.machine.tree.Index}
	n, err := r.machine.tree.find(path)
	if err != nil {
		return s, err
	}
	s.Data, s.Stat, s.Children = n.Data, n.Stat, r.machine.tree.children(path)
	return s, nil
}

// freshness is the consistency requirement of a read.
type freshness struct {
	newest    bool
	confirmed uint64 // index that the leader is known to have applied
}

// waitFresh waits until this replica is as current as the caller needs: with read=local it does not
// wait, with read=session it waits for the given version, and otherwise for everything acknowledged
// before the call.
func (a *API) waitFresh(ctx *fasthttp.RequestCtx) (f freshness, err error) {
	wait, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	token := string(ctx.Request.Header.Peek(VersionHeader))
	if v := ctx.QueryArgs().Peek("at_least"); len(v) > 0 {
		token = string(v)
	}
	var minIndex uint64
	if token != "" {
		if minIndex, err = strconv.ParseUint(token, 10, 64); err != nil {
			return f, fmt.Errorf("%w: version %.40q is not a number", errInput, token)
		}
	}
	switch kind := string(ctx.QueryArgs().Peek("read")); kind {
	case "local":
		return f, nil
	case "session":
		if token == "" {
			return f, fmt.Errorf("%w: read=session needs a version, in %s or at_least", errInput, VersionHeader)
		}
		return f, a.replica.WaitApplied(wait, minIndex)
	case "", "newest":
		f.newest = true
		if f.confirmed, err = a.replica.newestIndex(wait); err != nil {
			return f, err
		}
		return f, a.replica.WaitApplied(wait, max(f.confirmed, minIndex))
	default:
		return f, fmt.Errorf("%w: read is %.40q, not newest, session or local", errInput, kind)
	}
}

// waitConfirmed waits until a state with the given index meets the consistency requirement of a
// read. A read of the newest state requires that the leader has applied that index as well.
func (a *API) waitConfirmed(f freshness, index uint64) error {
	wait, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	for f.newest && index > f.confirmed {
		var err error
		if f.confirmed, err = a.replica.newestIndex(wait); err != nil {
			return err
		}
	}
	return nil
}

// serveNewest answers another replica that asks for the latest operation.
func (a *API) serveNewest(ctx *fasthttp.RequestCtx) error {
	if !a.replica.IsLeader() {
		return ErrNotLeader
	}
	index, err := a.replica.reads.do(context.Background(), a.replica.newestAsLeader)
	if err != nil {
		return err
	}
	return reply(ctx, fasthttp.StatusOK, index)
}

// setVersion sets the index up to which an answer is current.
func setVersion(ctx *fasthttp.RequestCtx, index uint64) {
	ctx.Response.Header.Set(VersionHeader, strconv.FormatUint(index, 10))
}
