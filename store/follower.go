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

// Follower gives a router without a replica access to the store: it calls the API of the replicas.
// It never returns a state older than one it has returned before. Its methods are safe for
// concurrent use.
type Follower struct {
	id       string
	interval time.Duration
	client   *Client
	pollSlot chan struct{} // held by the pending poll

	mu      sync.Mutex
	seen    map[string]nodeVersions // by configuration
	latest  map[string]Revision
	watches map[string][]chan struct{} // by configuration, closed at the next version
}

// nodeVersions are the versions of a configuration's node at the last poll.
type nodeVersions struct{ version, children int64 }

// NewFollower returns a follower that polls the replicas' API addresses at the given interval. Its
// id must be unique among all routers.
func NewFollower(id string, interval time.Duration, addrs ...string) *Follower {
	return &Follower{id: id, interval: interval, client: NewClient(addrs...), pollSlot: make(chan struct{}, 1), seen: map[string]nodeVersions{}, latest: map[string]Revision{},
		watches: map[string][]chan struct{}{}}
}

// ID returns the name of the router that follows.
func (f *Follower) ID() string { return f.id }

// Run polls for new versions of the configurations until ctx ends. Each pause is drawn at random
// from 1 to 1.5 intervals, so that followers that start at the same time don't poll together.
func (f *Follower) Run(ctx context.Context, names ...string) {
	for {
		select {
		case <-time.After(f.interval + rand.N(f.interval/2)):
		case <-ctx.Done():
			return
		}
		for _, name := range names {
			_ = f.CatchUp(ctx, name) // the next poll retries
		}
	}
}

// poll checks whether a configuration has changed, and stores its new version.
func (f *Follower) poll(name string) error {
	f.mu.Lock()
	seen, ok := f.seen[name]
	f.mu.Unlock()
	if !ok {
		seen = nodeVersions{-1, -1}
	}
	n, changed, err := f.client.Next(path.Join(configNodes, name), seen.version, seen.children, 0)
	if errors.Is(err, ErrNoNode) {
		return nil // nothing has been published
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
	f.seen[name] = nodeVersions{n.Stat.Version, n.Stat.Children}
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

// CatchUp polls for the latest version once the pending poll has ended. It does not reuse a poll
// that began before the call, and it does not add concurrent requests to slow replicas. It fails if
// no replica answers or ctx ends first.
func (f *Follower) CatchUp(ctx context.Context, name string) error {
	select {
	case f.pollSlot <- struct{}{}:
	case <-ctx.Done():
		return fmt.Errorf("ask the store: %w", ctx.Err())
	}
	done := make(chan error, 1)
	go func() {
		defer func() { <-f.pollSlot }()
		done <- f.poll(name)
	}()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return fmt.Errorf("ask the store: %w", ctx.Err())
	}
}

// Latest returns the latest version of a configuration that this follower has received; version 0
// means that there is none.
func (f *Follower) Latest(name string) Revision {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.latest[name]
}

// Revisions returns the retained versions of a configuration, oldest first.
func (f *Follower) Revisions(name string) ([]Revision, error) { return f.client.Published(name) }

// Follow returns a channel that is closed at the next version of a configuration, and a function
// that cancels the wait.
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

// Get reads a node. It returns ErrNoNode if the node does not exist.
func (f *Follower) Get(path string) ([]byte, Stat, error) {
	n, err := f.client.Node(path)
	return []byte(n.Data), n.Stat, err
}

// withContext runs a call that can't be cancelled. If ctx ends first it returns ErrUnknown.
func withContext(ctx context.Context, call func() error) error {
	done := make(chan error, 1)
	go func() { done <- call() }()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", ErrUnknown, ctx.Err())
	}
}

// Put sets a node, creating it and its missing parents if needed.
func (f *Follower) Put(ctx context.Context, p string, data []byte) error {
	return withContext(ctx, func() error { return f.put(p, data) })
}

func (f *Follower) put(p string, data []byte) error {
	err := f.change(fasthttp.MethodPut, p, data)
	if !errors.Is(err, ErrNoNode) {
		return err
	}
	if err = f.create(p, data); errors.Is(err, ErrNodeExists) { // created concurrently
		err = f.change(fasthttp.MethodPut, p, data)
	}
	return err
}

// CompareAndSet sets the data of a node that is at the given version, as Replica.CompareAndSet
// does.
func (f *Follower) CompareAndSet(ctx context.Context, p string, data []byte, version int64) error {
	return withContext(ctx, func() error {
		return f.send(fasthttp.MethodPut, p, nodesPath+p+"?version="+strconv.FormatInt(version, 10), data)
	})
}

// CreateAll creates a node that must not exist yet, and its missing parents. ErrNodeExists means
// that the node exists.
func (f *Follower) CreateAll(ctx context.Context, p string, data []byte) error {
	return withContext(ctx, func() error { return f.create(p, data) })
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

// DeleteIfExists removes a node. It returns nil if the node does not exist.
func (f *Follower) DeleteIfExists(ctx context.Context, p string) error {
	err := withContext(ctx, func() error { return f.change(fasthttp.MethodDelete, p, nil) })
	if errors.Is(err, ErrNoNode) {
		return nil
	}
	return err
}

// change sends a change of a node to the replicas, and maps statuses to the errors that a caller
// has to distinguish.
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
