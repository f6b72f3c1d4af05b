package upstream

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"lichenshelf/router"
)

const (
	// releaseCallTimeout is how long one worker may take to answer a release. The release takes
	// effect once it reaches a running worker, so the answer only shows which worker runs.
	releaseCallTimeout = 250 * time.Millisecond
	// releaseWaveInterval is how long the workers called so far may stay silent before further ones
	// are called, twice as many each time. Half of those are drawn at random: the workers that
	// answered latest may have failed together. With four in five of hundreds of workers
	// unreachable, all of the 63 drawn within 120 ms are unreachable once in a million times.
	releaseWaveInterval = 20 * time.Millisecond
	// maxReleaseCalls bounds the concurrent calls of one release, apart from one to a worker that
	// has just accepted another release.
	maxReleaseCalls = 128
	// releaseTimeout bounds a release as a whole. Workers that failed are called again after
	// releaseRetryInterval.
	releaseTimeout       = 600 * time.Millisecond
	releaseRetryInterval = 50 * time.Millisecond
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
	c.pool.order(workers)
	go func() {
		by := c.releaseAtAny(name, workers)
		if by == nil {
			c.cfg.Counters.Add("releases_nobody_took", 1)
			done(nil, errNotReleased)
			return
		}
		done(by, nil)
	}()
}

// releaseSearch is the search of one release for a worker that accepts it.
type releaseSearch struct {
	client   *Client
	ctx      context.Context
	name     string
	pending  []*router.Worker // not called yet, in their order
	failed   []*router.Worker // to be called again
	results  chan releaseResult
	inFlight int
}

// releaseResult is the result of one call of a release.
type releaseResult struct {
	worker *router.Worker
	err    error
}

// releaseAtAny calls the workers in their order until one accepts the release. It returns nil if
// none does.
func (c *Client) releaseAtAny(name string, workers []*router.Worker) (by *router.Worker) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	// The channel has room for the results of all calls that can be in flight.
	search := &releaseSearch{client: c, ctx: ctx, name: name, pending: workers, results: make(chan releaseResult, len(workers))}
	next, retry := time.NewTimer(0), time.NewTicker(releaseRetryInterval)
	defer next.Stop()
	defer retry.Stop()
	// Many releases may run at once, as when workers fail together: a worker that accepts one of
	// them is tried by all others.
	_, nextAccepted := c.targets.latest()
	for wave := 1; ; {
		select {
		case <-nextAccepted:
			var w *router.Worker
			w, nextAccepted = c.targets.latest()
			search.prefer(w)
		case result := <-search.results:
			search.inFlight--
			if result.err == nil {
				return result.worker
			}
			c.cfg.Counters.Add("releases_tried_again", 1)
			search.failed = append(search.failed, result.worker)
			if !errors.Is(result.err, errFull) { // with errFull a connection must be freed first
				search.callNext(1)
			}
		case <-next.C:
			search.callNext(min(wave, maxReleaseCalls-search.inFlight))
			wave = min(2*wave, maxReleaseCalls)
			next.Reset(releaseWaveInterval)
		case <-retry.C:
			search.pending, search.failed = append(search.pending, search.failed...), nil
		case <-ctx.Done():
			return nil
		}
	}
}

// callNext calls n of the pending workers, every second one drawn at random. Workers whose window
// is full are called again later.
func (s *releaseSearch) callNext(n int) {
	for called := 0; called < n && len(s.pending) > 0; {
		if called%2 == 1 {
			drawn := rand.IntN(len(s.pending))
			s.pending[0], s.pending[drawn] = s.pending[drawn], s.pending[0]
		}
		w := s.pending[0]
		s.pending = s.pending[1:]
		if s.call(w) {
			called++
		} else {
			s.failed = append(s.failed, w)
		}
	}
}

// prefer calls a worker that has just accepted another release, unless a call to it is in flight.
func (s *releaseSearch) prefer(w *router.Worker) {
	for _, list := range []*[]*router.Worker{&s.pending, &s.failed} {
		if i := slices.Index(*list, w); i >= 0 && s.call(w) {
			*list = slices.Delete(*list, i, i+1)
			return
		}
	}
}

// call starts a call to the worker. It returns false if the worker's window is full.
func (s *releaseSearch) call(w *router.Worker) bool {
	if !s.client.targets.acquire(w) {
		return false
	}
	s.inFlight++
	go func() {
		err := s.client.release(s.ctx, s.name, w)
		s.client.cfg.Counters.Add(s.endCounter(err), 1)
		s.client.targets.settle(w, s.outcomeOf(err))
		s.results <- releaseResult{w, err}
	}()
	return true
}

// outcomeOf returns what the end of a call says about its worker.
func (s *releaseSearch) outcomeOf(err error) callOutcome {
	switch {
	case err == nil:
		return callAccepted
	// No connection was available, or another worker accepted the release.
	case errors.Is(err, errFull), s.ctx.Err() != nil:
		return callInconclusive
	}
	return callFailed
}

// endCounter returns the name of the counter for calls that ended like this one.
func (s *releaseSearch) endCounter(err error) string {
	switch {
	case err == nil:
		return "release_calls_accepted"
	case errors.Is(err, errFull):
		return "release_calls_without_a_connection"
	case s.ctx.Err() != nil:
		return "release_calls_called_off"
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, os.ErrDeadlineExceeded):
		return "release_calls_timed_out"
	}
	return "release_calls_failed"
}

// release calls one worker.
func (c *Client) release(ctx context.Context, name string, w *router.Worker) error {
	ctx, cancel := context.WithTimeout(ctx, c.releaseCallTimeout)
	defer cancel()
	cn, err := c.pool.get(ctx, w, connRequirements{reuseDelay: c.pool.reuseDelay, spare: releaseSpareConns})
	if err != nil {
		return err
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
