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

	"lichenshelf/router"
)

// errFull says that no connection may be opened now.
var errFull = errors.New("all connections to workers are in use")

// conn is a connection to a worker, used by one goroutine at a time.
type conn struct {
	*net.TCPConn
	br     *bufio.Reader
	reused bool
	kept   time.Time     // since when it is idle
	idled  time.Duration // before its latest use
	wrote  time.Time     // when the latest request had been written
	near   time.Duration // that the other end is away, there and back at least
	retire *time.Timer   // closes it while idle, well before the worker does
	pool   *pool
	ended  time.Time // when it was closed
	once   sync.Once
}

// Close closes the connection and gives its place back. It may be called again.
func (c *conn) Close() error {
	_, err := c.end()
	return err
}

// mostLearning bounds the time that is left to a worker to learn that its connection was closed: what follows
// must still be within a request's time (router's answerMargin).
const mostLearning = 10 * time.Millisecond

// end is Close. It tells how long the other end may still take to learn of it: since the close, the time in which the
// connection came up, which is a way there and back.
func (c *conn) end() (learns time.Duration, err error) {
	c.once.Do(func() {
		err = c.TCPConn.Close()
		c.pool.closed()
		c.ended = time.Now()
	})
	return max(min(c.near, mostLearning)-time.Since(c.ended), 0), err
}

// alive looks, without waiting, whether the worker has closed the connection or
// has said something that nobody asked for.
func (c *conn) alive() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}

// pool keeps idle connections, the latest used first: the rest then age and go.
type pool struct {
	dialTimeout time.Duration
	idleFor     time.Duration // an idle connection is closed after this
	most        int
	pause       func(time.Duration) // time.Sleep, but in tests

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

// get takes an idle connection to the worker, or opens one.
func (p *pool) get(ctx context.Context, w *router.Worker, fresh bool) (*conn, error) {
	return p.getFor(ctx, w, fresh, 0)
}

// getFor is get with so many connections past the bound.
func (p *pool) getFor(ctx context.Context, w *router.Worker, fresh bool, spare int) (*conn, error) {
	if !fresh {
		if c := p.take(w); c != nil {
			return c, nil
		}
	}
	if !p.reserve(spare) {
		return nil, errFull
	}
	d := net.Dialer{Timeout: p.dialTimeout, KeepAlive: -1}
	from := time.Now()
	nc, err := d.DialContext(ctx, "tcp", w.Addr)
	if err != nil {
		p.closed()
		if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
			return nil, fmt.Errorf("%w: %w", errFull, err) // that is not the worker's fault
		}
		return nil, fmt.Errorf("connect to %s: %w", w.Name, err)
	}
	tc := nc.(*net.TCPConn)
	return &conn{TCPConn: tc, br: bufio.NewReaderSize(tc, readBuffer), pool: p, near: time.Since(from)}, nil
}

const (
	// staleWithin is how soon a request breaks off that met a connection which its
	// worker had dropped.
	staleWithin = 50 * time.Millisecond
	leastTrust  = 5 * time.Millisecond
	// trustDoubles is how soon the time that connections may be idle doubles again.
	trustDoubles = 2 * time.Second
)

// stale tells whether a request met a connection that its worker had dropped while
// it was idle. That says nothing of the worker.
func (c *conn) stale() bool { return c.reused && time.Since(c.wrote) < staleWithin }

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

func (p *pool) take(w *router.Worker) *conn {
	for {
		p.mu.Lock()
		list := p.idle[w]
		if len(list) == 0 {
			p.mu.Unlock()
			return nil
		}
		c := list[len(list)-1]
		p.idle[w] = list[:len(list)-1]
		trusted := p.trusted()
		p.mu.Unlock()
		c.idled = time.Since(c.kept)
		if c.retire.Stop() && c.idled <= trusted && c.alive() {
			c.reused = true
			return c
		}
		_ = c.Close()
	}
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
