package upstream

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"lichenshelf/router"
	"lichenshelf/upstream/dispatch"
)

const (
	// releaseCallTimeout is how long one worker may take to answer a release. The release takes
	// effect once it reaches a running worker, so the answer only shows which worker runs.
	releaseCallTimeout = 250 * time.Millisecond
	releaseTimeout     = dispatch.Timeout
	// releaseCheckInterval is how often open releases are checked for calls that have become due.
	releaseCheckInterval = 10 * time.Millisecond
)

// errNotReleased means that no worker accepted a release.
var errNotReleased = errors.New("no worker accepted the release in time")

// Release implements router.Transport. Workers with the latest used idle connections are called
// first: held state must be released within a few hundred milliseconds.
func (c *Client) Release(name string, workers []*router.Worker, done func(by *router.Worker, err error)) {
	if c.cfg.ReleasePath == "" {
		go done(nil, nil)
		return
	}
	go func() {
		c.pool.order(workers)
		c.releases.add(name, workers, done)
	}()
}

// releaseCall is a call to one worker.
type releaseCall = dispatch.Call[*router.Worker]

// releaser makes the calls that a plan decides on, for all open releases.
type releaser struct {
	client *Client

	mu    sync.Mutex
	plan  *dispatch.Plan[*router.Worker]
	open  map[*dispatch.Release[*router.Worker]]*openRelease
	timer *time.Timer // fires while releases are open
}

// openRelease is a release that no worker has accepted yet.
type openRelease struct {
	name   string
	ctx    context.Context // ends with the release
	cancel context.CancelFunc
	done   func(by *router.Worker, err error)
}

func newReleaser(c *Client) *releaser {
	return &releaser{client: c, plan: dispatch.New[*router.Worker](rand.IntN), open: map[*dispatch.Release[*router.Worker]]*openRelease{}}
}

// add opens a release.
func (r *releaser) add(name string, workers []*router.Worker, done func(by *router.Worker, err error)) {
	ctx, cancel := context.WithCancel(context.Background())
	r.mu.Lock()
	defer r.mu.Unlock()
	r.open[r.plan.Add(time.Now(), workers)] = &openRelease{name: name, ctx: ctx, cancel: cancel, done: done}
	r.startCalls()
}

// startCalls starts the calls that are due and ends the releases whose time is over. The lock must
// be held.
func (r *releaser) startCalls() {
	calls, expired := r.plan.Next(time.Now(), r.client.pool.room(releaseSpareConns))
	for _, release := range expired {
		r.client.cfg.Counters.Add("releases_nobody_took", 1)
		r.end(release, nil, errNotReleased)
	}
	for _, call := range calls {
		r.start(call)
	}
	if len(r.open) > 0 && r.timer == nil {
		r.timer = time.AfterFunc(releaseCheckInterval, r.check)
	}
}

// check runs while releases are open.
func (r *releaser) check() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.timer = nil
	r.startCalls()
}

// start starts one call, with its place among the connections already taken. The lock must be held.
func (r *releaser) start(call releaseCall) {
	release := r.open[call.Release]
	cn, err := r.client.pool.take(call.Worker, connRequirements{reuseDelay: r.client.pool.reuseDelay, spare: releaseSpareConns})
	if err != nil {
		r.ended(call, release, err)
		return
	}
	go func() {
		err := r.client.release(release.ctx, cn, release.name, call.Worker)
		r.mu.Lock()
		defer r.mu.Unlock()
		r.ended(call, release, err)
		if len(r.open) > 0 {
			r.startCalls()
		}
	}()
}

// ended reports the end of a call to the plan. The lock must be held.
func (r *releaser) ended(call releaseCall, release *openRelease, err error) {
	r.client.cfg.Counters.Add(releaseCallCounter(release.ctx, err), 1)
	if _, isOpen := r.open[call.Release]; isOpen && err != nil {
		r.client.cfg.Counters.Add("releases_tried_again", 1)
	}
	if r.plan.Ended(time.Now(), call, releaseCallOutcome(release.ctx, err)) {
		r.end(call.Release, call.Worker, nil)
	}
}

// end ends a release and calls off its calls in flight. The lock must be held.
func (r *releaser) end(release *dispatch.Release[*router.Worker], by *router.Worker, err error) {
	ended := r.open[release]
	delete(r.open, release)
	ended.cancel()
	go ended.done(by, err)
}

// forget drops what is known of a worker that has left or restarted.
func (r *releaser) forget(w *router.Worker) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.plan.Forget(w)
}

// releaseCallOutcome returns what the end of a call says about its worker.
func releaseCallOutcome(ctx context.Context, err error) dispatch.Outcome {
	switch {
	case err == nil:
		return dispatch.Accepted
	case errors.Is(err, errFull):
		return dispatch.NoConnection
	case ctx.Err() != nil:
		return dispatch.CalledOff
	}
	return dispatch.Failed
}

// releaseCallCounter returns the name of the counter for calls that ended like this one.
func releaseCallCounter(ctx context.Context, err error) string {
	switch releaseCallOutcome(ctx, err) {
	case dispatch.Accepted:
		return "release_calls_accepted"
	case dispatch.NoConnection:
		return "release_calls_without_a_connection"
	case dispatch.CalledOff:
		return "release_calls_called_off"
	}
	if timeout := net.Error(nil); errors.As(err, &timeout) && timeout.Timeout() {
		return "release_calls_timed_out"
	}
	return "release_calls_failed"
}

// release calls one worker on the given connection, or on a new one if it is nil.
func (c *Client) release(ctx context.Context, cn *conn, name string, w *router.Worker) (err error) {
	ctx, cancel := context.WithTimeout(ctx, c.releaseCallTimeout)
	defer cancel()
	if cn == nil {
		if cn, err = c.pool.dial(ctx, w); err != nil {
			return err
		}
	}
	var h fasthttp.RequestHeader
	h.SetMethod(fasthttp.MethodDelete)
	h.SetRequestURI(c.cfg.ReleasePath + name)
	h.SetHost(w.Addr)
	h.SetNoDefaultContentType(true)
	deadline, _ := ctx.Deadline()
	stop := context.AfterFunc(ctx, func() {
		// A late delivery would release state that was read for the request in the meantime.
		cn.dropUnacknowledged(0)
		_ = cn.TCPConn.Close()
	})
	var resp fasthttp.Response
	if err = cn.SetDeadline(deadline); err == nil {
		_, err = cn.Write(h.Header())
		cn.writtenAt = time.Now()
		if err == nil {
			err = resp.ReadLimitBody(cn.br, c.cfg.MaxAnswer)
		}
	}
	// The callback is stopped before the connection is pooled: it would close the connection under
	// its next user when another worker accepts the release.
	if !stop() || err != nil || resp.ConnectionClose() {
		_ = cn.Close()
	} else {
		c.pool.put(w, cn)
	}
	if err != nil && cn.isStale() {
		c.pool.noteStale(cn)
	}
	if err == nil && resp.StatusCode()/100 != 2 {
		err = fmt.Errorf("status %d", resp.StatusCode())
	}
	if err != nil {
		return fmt.Errorf("release %s at %s: %w", name, w.Name, err)
	}
	return nil
}
