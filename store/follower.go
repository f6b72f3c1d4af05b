package store

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"path"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// Follower is what a router without a replica knows of the store: it asks the replicas over their API. What it is told is
// never older than what it was told before. Its methods may be called from any goroutine.
type Follower struct {
	id     string
	pace   time.Duration
	client *Client
	turn   chan struct{} // held by the one look that is out

	mu      sync.Mutex
	at      map[string]seenNode // by configuration
	latest  map[string]Revision
	watches map[string][]chan struct{} // by configuration, who waits for the next version
}

// seenNode is how a configuration's node was last.
type seenNode struct{ version, children int64 }

// NewFollower returns a follower under a name, which is to be unique among all routers, that looks at the replicas' API
// addresses once in a pace.
func NewFollower(id string, pace time.Duration, addrs ...string) *Follower {
	return &Follower{id: id, pace: pace, client: NewClient(addrs...), turn: make(chan struct{}, 1), at: map[string]seenNode{}, latest: map[string]Revision{},
		watches: map[string][]chan struct{}{}}
}

// ID is the name of the router that follows.
func (f *Follower) ID() string { return f.id }

// Run looks for new versions of the configurations until ctx ends. Each look is drawn from one pace to half as much again,
// so that many followers that start at once don't all ask together.
func (f *Follower) Run(ctx context.Context, names ...string) {
	for {
		select {
		case <-time.After(f.pace + rand.N(f.pace/2)):
		case <-ctx.Done():
			return
		}
		for _, name := range names {
			_ = f.CatchUp(ctx, name) // the next one tells
		}
	}
}

// look asks whether a configuration has changed, and takes what has come of it.
func (f *Follower) look(name string) error {
	f.mu.Lock()
	at, ok := f.at[name]
	f.mu.Unlock()
	if !ok {
		at = seenNode{-1, -1}
	}
	n, changed, err := f.client.Next(path.Join(configNodes, name), at.version, at.children, 0)
	if errors.Is(err, ErrNoNode) {
		return nil // nobody has published it
	}
	if err != nil || !changed {
		return err
	}
	list, err := f.client.Published(name)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.at[name] = seenNode{n.Stat.Version, n.Stat.Children}
	if len(list) == 0 || list[len(list)-1].Version <= f.latest[name].Version {
		return nil
	}
	f.latest[name] = list[len(list)-1]
	for _, w := range f.watches[name] {
		close(w)
	}
	delete(f.watches, name)
	return nil
}

// CatchUp asks for what is newest now, once the look that is out has ended: one that began before the call does not answer it,
// and slow replicas are not asked by more and more at a time. It fails if no replica can tell, or ctx ends first.
func (f *Follower) CatchUp(ctx context.Context, name string) error {
	select {
	case f.turn <- struct{}{}:
	case <-ctx.Done():
		return fmt.Errorf("ask the store: %w", ctx.Err())
	}
	done := make(chan error, 1)
	go func() {
		defer func() { <-f.turn }()
		done <- f.look(name)
	}()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return fmt.Errorf("ask the store: %w", ctx.Err())
	}
}

// Latest returns the latest version of a configuration that this follower was told of; version 0 is none.
func (f *Follower) Latest(name string) Revision {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.latest[name]
}

// Follow returns a channel that is closed at the next version of a configuration, and a function that ends the wait.
func (f *Follower) Follow(name string) (changed <-chan struct{}, stop func(), err error) {
	w := make(chan struct{})
	f.mu.Lock()
	defer f.mu.Unlock()
	f.watches[name] = append(f.watches[name], w)
	return w, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		for i, o := range f.watches[name] {
			if o == w {
				f.watches[name] = append(f.watches[name][:i:i], f.watches[name][i+1:]...)
				return
			}
		}
	}, nil
}

// Get reads a node. A missing one is ErrNoNode.
func (f *Follower) Get(path string) ([]byte, Stat, error) {
	n, err := f.client.Node(path)
	return []byte(n.Data), n.Stat, err
}

// within runs a call that can't be called off; its outcome is not known if ctx ends first.
func within(ctx context.Context, call func() error) error {
	done := make(chan error, 1)
	go func() { done <- call() }()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", ErrUnknown, ctx.Err())
	}
}

// Put makes a node with all that is above it, or sets it.
func (f *Follower) Put(ctx context.Context, p string, data []byte) error {
	return within(ctx, func() error { return f.put(p, data) })
}

func (f *Follower) put(p string, data []byte) error {
	err := f.change(fasthttp.MethodPut, p, data)
	if !errors.Is(err, ErrNoNode) {
		return err
	}
	if err = f.create(p, data); errors.Is(err, ErrNodeExists) { // somebody else made it meanwhile
		err = f.change(fasthttp.MethodPut, p, data)
	}
	return err
}

// Swap sets a node that is at a version, as Replica.Swap does.
func (f *Follower) Swap(ctx context.Context, p string, data []byte, version int64) error {
	return within(ctx, func() error {
		return f.send(fasthttp.MethodPut, p, nodesPath+p+"?version="+strconv.FormatInt(version, 10), data)
	})
}

// Make makes a node that must not be there yet, with all that is above it. ErrNodeExists means that somebody has it.
func (f *Follower) Make(ctx context.Context, p string, data []byte) error {
	return within(ctx, func() error { return f.create(p, data) })
}

func (f *Follower) create(p string, data []byte) error {
	err := f.change(fasthttp.MethodPost, p, data)
	if !errors.Is(err, ErrNoNode) || p == "/" {
		return err
	}
	if err := f.create(path.Dir(p), nil); err != nil && !errors.Is(err, ErrNodeExists) {
		return err
	}
	return f.change(fasthttp.MethodPost, p, data)
}

// Drop removes a node. One that is not there is no fault.
func (f *Follower) Drop(ctx context.Context, p string) error {
	err := within(ctx, func() error { return f.change(fasthttp.MethodDelete, p, nil) })
	if errors.Is(err, ErrNoNode) {
		return nil
	}
	return err
}

// change puts a change to the replicas, and tells the faults apart that a caller must know.
func (f *Follower) change(method, p string, data []byte) error {
	return f.send(method, p, nodesPath+p, data)
}

func (f *Follower) send(method, p, uri string, data []byte) error {
	status, answer, err := f.client.call(method, uri, data)
	switch {
	case err != nil:
		return err
	case status == fasthttp.StatusNotFound:
		return fmt.Errorf("%w: %s", ErrNoNode, p)
	case status == fasthttp.StatusConflict && method == fasthttp.MethodPut:
		return fmt.Errorf("%w: %s", ErrBadVersion, p)
	case status == fasthttp.StatusConflict && method == fasthttp.MethodPost:
		return fmt.Errorf("%w: %s", ErrNodeExists, p)
	case status/100 != 2:
		var a struct {
			Error string `json:"error"`
		}
		_ = json.Unmarshal(answer, &a)
		return fmt.Errorf("%s %s: status %d: %s", method, p, status, a.Error)
	}
	return nil
}
