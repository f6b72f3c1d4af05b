// Package upstream speaks HTTP/1.1 with workers: it keeps the connections, runs
// attempts and calls on them, and tells exactly how far each one came.
//
// Messages are written and read by fasthttp. Its client is not used: it sends
// again on its own, and does not tell whether a request's last byte was written.
package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"lichenshelf/internal/transient"
	"lichenshelf/router"
)

// errFull says that no connection may be opened now.
var errFull = errors.New("all connections to workers are in use")

// pool keeps idle connections, the latest used first: the rest then age and go.
type pool struct {
	dialTimeout time.Duration
	idleFor     time.Duration // an idle connection is closed after this
	most        int
	learning    time.Duration // mostLearning, but in tests
	rest        time.Duration // restFor, but in tests

	mu      sync.Mutex
	open    int
	idle    map[*router.Worker][]*conn
	trust   time.Duration // idle connections are used after so long at most, as of doubted
	doubted time.Time
}

const readBuffer = 4096

// releaseSpare is how many connections releases may have beside those of attempts: what is held has to
// be let go of also while attempts have them all.
const releaseSpare = 16

// restFor is how long a connection rests after an answer before another request may go out on it. A worker may write a
// second answer some milliseconds after the first: on a connection that rests it shows, and the connection is of no further
// use; behind the next request it could not be told from that one's answer.
const restFor = 20 * time.Millisecond

// need says which connections will do.
type need struct {
	fresh bool          // a new one alone
	rest  time.Duration // it has rested for so long
	spare int           // so many past the bound may be opened
}

// get takes an idle connection to the worker, or opens one.
func (p *pool) get(ctx context.Context, w *router.Worker, n need) (*conn, error) {
	if !n.fresh {
		if c := p.take(w, n.rest); c != nil {
			return c, nil
		}
	}
	if !p.reserve(n.spare) {
		return nil, errFull
	}
	d := net.Dialer{Timeout: p.dialTimeout, KeepAlive: -1}
	nc, err := d.DialContext(ctx, "tcp", w.Addr)
	if err != nil {
		p.closed()
		if lacking(err) {
			return nil, fmt.Errorf("%w: %w", errFull, err)
		}
		return nil, fmt.Errorf("connect to %s: %w", w.Name, err)
	}
	tc := nc.(*net.TCPConn)
	return &conn{TCPConn: tc, br: bufio.NewReaderSize(tc, readBuffer), pool: p, ended: make(chan struct{})}, nil
}

// lacking tells whether a connection could not be opened for want of something on the router's own machine (socket(2),
// connect(2)). That tells nothing of the worker.
func lacking(err error) bool {
	return transient.Is(err, syscall.ENOBUFS, syscall.EADDRNOTAVAIL, syscall.ENETUNREACH, syscall.ENETDOWN, syscall.EPERM, syscall.EACCES)
}

const (
	leastTrust = 5 * time.Millisecond
	// trustDoubles is how soon the time that connections may be idle doubles again.
	trustDoubles = 2 * time.Second
)

// doubt takes note of a connection that turned out stale. Some workers, or what is
// on the way to them, drop idle connections far earlier than they state and tell so
// only at the next request, which may have run as far as anybody can tell. A new
// connection costs little, so for a while the idle ones are used only when younger.
func (p *pool) doubt(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.trust, p.doubted = max(min(p.trusted(), c.idled/2), leastTrust), time.Now()
}

// trusted is how long a connection may have been idle now; the lock is held.
func (p *pool) trusted() time.Duration {
	if p.doubted.IsZero() {
		return p.idleFor
	}
	doublings := min(time.Since(p.doubted)/trustDoubles, 32)
	return min(p.trust<<doublings, p.idleFor)
}

// take takes the connection to a worker that was used last, of those that have rested and that nobody has ended or written to.
func (p *pool) take(w *router.Worker, rest time.Duration) *conn {
	for {
		p.mu.Lock()
		c := p.lastRested(w, rest)
		trusted := p.trusted()
		p.mu.Unlock()
		if c == nil {
			return nil
		}
		c.idled = time.Since(c.kept)
		if c.retire.Stop() && c.idled <= trusted && c.alive() {
			c.reused = true
			return c
		}
		_ = c.Close()
	}
}

// lastRested takes the latest connection out of the idle ones that has rested for so long; the lock is held.
func (p *pool) lastRested(w *router.Worker, rest time.Duration) *conn {
	list := p.idle[w]
	for i := len(list) - 1; i >= 0; i-- {
		if c := list[i]; time.Since(c.kept) >= rest {
			p.idle[w] = slices.Delete(list, i, i+1)
			return c
		}
	}
	return nil
}

// put keeps a connection whose last answer was read to its end.
func (p *pool) put(w *router.Worker, c *conn) {
	// What is behind the answer belongs to nobody, and would be taken for the next.
	if c.br.Buffered() > 0 || c.SetDeadline(time.Time{}) != nil || !w.MaySend() {
		_ = c.Close()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	c.kept = time.Now()
	c.retire = time.AfterFunc(p.idleFor, func() { p.drop(w, c) })
	p.idle[w] = append(p.idle[w], c)
}

func (p *pool) drop(w *router.Worker, c *conn) {
	p.mu.Lock()
	for i, other := range p.idle[w] {
		if other == c {
			p.idle[w] = append(p.idle[w][:i], p.idle[w][i+1:]...)
			break
		}
	}
	p.mu.Unlock()
	_ = c.Close()
}

// forget closes the idle connections to a worker.
func (p *pool) forget(w *router.Worker) {
	p.mu.Lock()
	list := p.idle[w]
	delete(p.idle, w)
	p.mu.Unlock()
	for _, c := range list {
		c.retire.Stop()
		_ = c.Close()
	}
}

// reserve takes a place for a new connection; an idle one elsewhere gives way.
func (p *pool) reserve(spare int) bool {
	p.mu.Lock()
	if p.open < p.most+spare {
		p.open++
		p.mu.Unlock()
		return true
	}
	var victim *conn
	for w, list := range p.idle {
		if len(list) > 0 {
			victim = list[0]
			p.idle[w] = list[1:]
			break
		}
	}
	p.mu.Unlock()
	if victim == nil {
		return false
	}
	victim.retire.Stop()
	_ = victim.Close()
	return p.reserve(spare)
}

func (p *pool) closed() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// order puts the workers in the order in which they are most likely to be reached at
// once: those with a connection at hand first, the latest used before others, and those
// that are leaving last. Workers that are alike keep their order.
func (p *pool) order(workers []*router.Worker) {
	p.mu.Lock()
	last := make(map[*router.Worker]time.Time, len(p.idle))
	for w, list := range p.idle {
		if len(list) > 0 {
			last[w] = list[len(list)-1].kept
		}
	}
	p.mu.Unlock()
	slices.SortStableFunc(workers, func(a, b *router.Worker) int {
		if a.MaySend() != b.MaySend() {
			if a.MaySend() {
				return -1
			}
			return 1
		}
		return last[b].Compare(last[a])
	})
}
