package upstream

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"lichenshelf/router"
)

const (
	// releaseWait is how long one worker may take to answer a release. A call counts
	// once it has reached a running worker, so the wait only tells which one runs.
	releaseWait = 250 * time.Millisecond
	// releaseNext is how long the workers asked so far may say nothing before others are asked beside
	// them, twice as many each time. Half of those are drawn: what answered latest may have fallen silent
	// together. With four in five out of reach, of hundreds, all of the 63 drawn within 120 ms are
	// among them once in a million times.
	releaseNext = 20 * time.Millisecond
	// mostReleasing bounds the calls of one release that are out at once, beside one to a worker that has just taken another.
	mostReleasing = 128
	// releaseFor bounds a release as a whole. Workers that failed are asked again after releaseAgain.
	releaseFor   = 600 * time.Millisecond
	releaseAgain = 50 * time.Millisecond
)

// errNotReleased says that a release has found nobody.
var errNotReleased = errors.New("no worker took the release in time")

// Release implements router.Transport. Workers that answered latest on a connection
// that is at hand are asked first: what is held must be let go of within a few
// hundred milliseconds.
func (c *Client) Release(name string, workers []*router.Worker, done func(by *router.Worker, err error)) {
	if c.cfg.ReleasePath == "" {
		go done(nil, nil)
		return
	}
	c.pool.order(workers)
	go func() {
		by := c.releaseAt(name, workers)
		if by == nil {
			c.cfg.Counters.Add("releases_nobody_took", 1)
			done(nil, errNotReleased)
			return
		}
		done(by, nil)
	}()
}

// releaseSearch is one release on its way to a worker that takes it.
type releaseSearch struct {
	client *Client
	ctx    context.Context
	name   string
	ahead  []*router.Worker // not asked yet, in their order
	failed []*router.Worker // to be asked again
	ends   chan releaseEnd
	out    int
}

// releaseEnd is how one call of a release ended.
type releaseEnd struct {
	at  *router.Worker
	err error
}

// releaseAt asks the workers in their order until one took the release; nil if none did.
func (c *Client) releaseAt(name string, workers []*router.Worker) (by *router.Worker) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseFor)
	defer cancel()
	s := &releaseSearch{client: c, ctx: ctx, name: name, ahead: workers, ends: make(chan releaseEnd, len(workers))} // as many as can be out
	next, again := time.NewTimer(0), time.NewTicker(releaseAgain)
	defer next.Stop()
	defer again.Stop()
	// Many states may be let go of at once, as when workers fall silent together: who runs is found once for all of them.
	_, taken := c.targets.latest()
	for wave := 1; ; {
		select {
		case <-taken:
			var w *router.Worker
			w, taken = c.targets.latest()
			s.prefer(w)
		case e := <-s.ends:
			s.out--
			if e.err == nil {
				return e.at
			}
			c.cfg.Counters.Add("releases_tried_again", 1)
			s.failed = append(s.failed, e.at)
			if !errors.Is(e.err, errFull) { // else a place has to come free first
				s.ask(1)
			}
		case <-next.C:
			s.ask(min(wave, mostReleasing-s.out))
			wave = min(2*wave, mostReleasing)
			next.Reset(releaseNext)
		case <-again.C:
			s.ahead, s.failed = append(s.ahead, s.failed...), nil
		case <-ctx.Done():
			return nil
		}
	}
}

// ask calls so many of the workers that have not been asked yet, every second one drawn. Those that may not be called now come
// again later.
func (s *releaseSearch) ask(n int) {
	for asked := 0; asked < n && len(s.ahead) > 0; {
		if asked%2 == 1 {
			drawn := rand.IntN(len(s.ahead))
			s.ahead[0], s.ahead[drawn] = s.ahead[drawn], s.ahead[0]
		}
		w := s.ahead[0]
		s.ahead = s.ahead[1:]
		if s.call(w) {
			asked++
		} else {
			s.failed = append(s.failed, w)
		}
	}
}

// prefer calls a worker that has just taken another release, unless it has been called.
func (s *releaseSearch) prefer(w *router.Worker) {
	for _, list := range []*[]*router.Worker{&s.ahead, &s.failed} {
		if i := slices.Index(*list, w); i >= 0 && s.call(w) {
			*list = slices.Delete(*list, i, i+1)
			return
		}
	}
}

// call asks one worker, if its window has room.
func (s *releaseSearch) call(w *router.Worker) bool {
	if !s.client.targets.acquire(w) {
		return false
	}
	s.out++
	go func() {
		err := s.client.release(s.ctx, s.name, w)
		s.client.targets.settle(w, s.verdict(err))
		s.ends <- releaseEnd{w, err}
	}()
	return true
}

// verdict is what the end of a call says of its worker.
func (s *releaseSearch) verdict(err error) callVerdict {
	switch {
	case err == nil:
		return callTaken
	case errors.Is(err, errFull), s.ctx.Err() != nil: // no place for a connection, or another worker took it
		return callSaysNothing
	}
	return callFailed
}

// release makes one call.
func (c *Client) release(ctx context.Context, name string, w *router.Worker) error {
	ctx, cancel := context.WithTimeout(ctx, c.releaseWait)
	defer cancel()
	cn, err := c.pool.get(ctx, w, need{rest: c.pool.rest, spare: releaseSpare})
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
		cn.dropUnconfirmed(0) // it would let go of what is read for the request by then
		_ = cn.TCPConn.Close()
	})
	var resp fasthttp.Response
	if err = cn.SetDeadline(deadline); err == nil {
		_, err = cn.Write(h.Header())
		cn.wrote = time.Now()
		if err == nil {
			err = resp.ReadLimitBody(cn.br, c.cfg.MaxAnswer)
		}
	}
	// Called off before it is handed back: another worker that took the release would close it in the next one's hands.
	if !stop() || err != nil || resp.ConnectionClose() {
		_ = cn.Close()
	} else {
		c.pool.put(w, cn)
	}
	if err != nil && cn.stale() {
		c.pool.doubt(cn)
	}
	if err == nil && resp.StatusCode()/100 != 2 {
		err = fmt.Errorf("status %d", resp.StatusCode())
	}
	if err != nil {
		return fmt.Errorf("release %s at %s: %w", name, w.Name, err)
	}
	return nil
}
