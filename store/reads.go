package store

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/valyala/fasthttp"
)

// Reads are never older than what was acknowledged before they began, whichever replica
// is asked. The replica learns from the leader how far it has to be, and waits until it is
// there; where it can't learn that in time, it says ErrBehind, not something older.
//
// A replica may also be ahead of the leader for a moment: what is agreed on can be applied
// there first. Two reads, the later at another replica, would see it come and go. So what is
// answered is what the leader has been heard to have applied as well.
//
// The leader counts only what it has applied itself, as each write is before it is
// acknowledged, and asks the others for their terms: while a majority is at its own, nobody
// had been elected after it before it asked, so nobody else had acknowledged anything.
// (raft's VerifyLeader is not enough: it also counts an answer to a heartbeat that was sent
// before it was called.) A new leader puts a barrier through the log first, so that what
// the ones before it have acknowledged is applied as well. Reads that come while one
// question is out share the next one.

// ErrBehind says that this replica can't tell what is newest, or does not have it yet.
var ErrBehind = errors.New("this replica is behind")

const (
	newestPath = "/v1/newest"
	termPath   = "/v1/term"
	readWait   = time.Second // for a replica to be where a read needs it
	// VersionHeader carries the number of the operation up to which an answer knows all.
	// A caller that hands it in is never answered from before it.
	VersionHeader = "X-Store-Version"
)

// gate lets callers share questions: each is answered by one that was asked after it came.
type gate struct {
	mu      sync.Mutex
	next    *question
	running bool
}

type question struct {
	done  chan struct{}
	index uint64
	err   error
}

// ask has the question put, or joins one that is yet to be.
func (g *gate) ask(ctx context.Context, put func() (uint64, error)) (uint64, error) {
	g.mu.Lock()
	q := g.next
	if q == nil {
		q = &question{done: make(chan struct{})}
		g.next = q
	}
	if !g.running {
		g.running = true
		go g.run(put)
	}
	g.mu.Unlock()
	select {
	case <-q.done:
		return q.index, q.err
	case <-ctx.Done():
		return 0, fmt.Errorf("%w: %w", ErrBehind, ctx.Err())
	}
}

func (g *gate) run(put func() (uint64, error)) {
	for {
		g.mu.Lock()
		q := g.next
		g.next = nil
		g.running = q != nil
		g.mu.Unlock()
		if q == nil {
			return
		}
		q.index, q.err = put()
		close(q.done)
	}
}

// index is the latest operation that was applied here.
func (m *machine) index() uint64 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.tree.Index
}

// leadNewest is the leader's word on what is newest.
func (r *Replica) leadNewest() (uint64, error) {
	term := r.raft.CurrentTerm()
	if r.sure.Load() != term {
		if err := r.raft.Barrier(readWait).Error(); err != nil {
			return 0, fmt.Errorf("%w: %w", ErrNotLeader, err)
		}
		r.sure.Store(term) // of before: if another has led since, this one is put again
	}
	index := r.machine.index()
	return index, r.sameTerm(term)
}

// sameTerm makes sure that a majority of the replicas, this one among them, is at a term now.
func (r *Replica) sameTerm(term uint64) error {
	if r.raft.CurrentTerm() != term || !r.IsLeader() {
		return fmt.Errorf("%w: the term has changed", ErrNotLeader)
	}
	need := len(r.cfg.Peers) / 2 // beside this one
	if need == 0 {
		return nil
	}
	terms := make(chan uint64, len(r.cfg.Peers))
	deadline := time.Now().Add(readWait)
	for _, p := range r.cfg.Peers {
		if p.ID == r.cfg.ID {
			continue
		}
		go func() {
			var at uint64 // 0 is no replica's
			if err := r.askPeer(p, termPath, deadline, &at); err != nil {
				at = 0
			}
			terms <- at
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

// askPeer puts a question without a body to a replica.
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

// newest asks the leader, wherever that is, while there is time.
func (r *Replica) newest(ctx context.Context) (uint64, error) {
	return r.reads.ask(ctx, func() (uint64, error) {
		ctx, cancel := context.WithTimeout(context.Background(), readWait)
		defer cancel()
		again := backoff.NewExponentialBackOff()
		again.InitialInterval, again.MaxInterval = 20*time.Millisecond, 200*time.Millisecond
		for {
			var index uint64
			var err error
			if r.IsLeader() {
				index, err = r.leadNewest()
			} else {
				err = r.askLeader(ctx, newestPath, nil, &index)
			}
			if err == nil {
				return index, nil
			}
			select {
			case <-time.After(again.NextBackOff()):
			case <-ctx.Done():
				return 0, fmt.Errorf("%w: what is newest is not known: %w", ErrBehind, err)
			}
		}
	})
}

// CatchUp returns once this replica holds all that was acknowledged before the call.
// ErrBehind means that it may not.
func (r *Replica) CatchUp(ctx context.Context) error {
	index, err := r.newest(ctx)
	if err != nil {
		return err
	}
	return r.Reach(ctx, index)
}

// Reach returns once this replica has applied an operation.
func (r *Replica) Reach(ctx context.Context, index uint64) error {
	if err := r.machine.reached(ctx, index); err != nil {
		return fmt.Errorf("%w: %w", ErrBehind, err)
	}
	return nil
}

// catchUpOnce lets local reads begin once this replica, which has started just now, has
// caught up.
func (r *Replica) catchUpOnce(ctx context.Context) {
	again := backoff.NewExponentialBackOff()
	again.InitialInterval, again.MaxInterval = 10*time.Millisecond, time.Second
	for ctx.Err() == nil {
		if r.CatchUp(ctx) == nil {
			r.recovered()
			close(r.caught)
			return
		}
		select {
		case <-time.After(again.NextBackOff()):
		case <-ctx.Done():
		}
	}
}

// State is a node, its children and the operation up to which both are known, of one instant.
type State struct {
	Data     []byte
	Stat     Stat
	Children []string
	Index    uint64
}

// Read reads a node as this replica has it, with the state's version even where there is
// no node.
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

// freshness is what a read is held to.
type freshness struct {
	newest bool
	heard  uint64 // the leader has applied so much
}

// fresh makes a call's read as new as its caller needs it: with read=local as it is, with a
// version no older than that, else no older than what was acknowledged before.
func (a *API) fresh(ctx *fasthttp.RequestCtx) (f freshness, err error) {
	wait, cancel := context.WithTimeout(context.Background(), readWait)
	defer cancel()
	token := string(ctx.Request.Header.Peek(VersionHeader))
	if v := ctx.QueryArgs().Peek("at_least"); len(v) > 0 {
		token = string(v)
	}
	var least uint64
	if token != "" {
		if least, err = strconv.ParseUint(token, 10, 64); err != nil {
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
		return f, a.replica.Reach(wait, least)
	case "", "newest":
		f.newest = true
		if f.heard, err = a.replica.newest(wait); err != nil {
			return f, err
		}
		return f, a.replica.Reach(wait, max(f.heard, least))
	default:
		return f, fmt.Errorf("%w: read is %.40q, not newest, session or local", errInput, kind)
	}
}

// holds returns once a state up to an operation may be told under a freshness.
func (a *API) holds(f freshness, index uint64) error {
	wait, cancel := context.WithTimeout(context.Background(), readWait)
	defer cancel()
	for f.newest && index > f.heard {
		var err error
		if f.heard, err = a.replica.newest(wait); err != nil {
			return err
		}
	}
	return nil
}

// serveNewest answers another replica that asks how far it has to be.
func (a *API) serveNewest(ctx *fasthttp.RequestCtx) error {
	if !a.replica.IsLeader() {
		return ErrNotLeader
	}
	index, err := a.replica.reads.ask(context.Background(), a.replica.leadNewest)
	if err != nil {
		return err
	}
	return reply(ctx, fasthttp.StatusOK, index)
}

// setVersion tells a caller how far its answer goes.
func setVersion(ctx *fasthttp.RequestCtx, index uint64) {
	ctx.Response.Header.Set(VersionHeader, strconv.FormatUint(index, 10))
}
