// Package upstream is the HTTP/1.1 client for workers: it pools connections, runs attempts and
// release calls on them, and reports exactly how far each one got.
//
// fasthttp formats and parses the messages. Its client is not used: it retries on its own, and does
// not report whether a request's last byte was written.
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

// errFull means that no connection may be opened now.
var errFull = errors.New("all connections to workers are in use")

// pool keeps idle connections. It reuses the latest used one first, so that surplus ones age and
// expire.
type pool struct {
	dialTimeout  time.Duration
	idleTimeout  time.Duration // an idle connection is closed after this
	maxOpen      int
	shutdownWait time.Duration // maxShutdownWait, except in tests
	reuseDelay   time.Duration // minReuseDelay, except in tests

	mu          sync.Mutex
	open        int
	idle        map[*router.Worker][]*conn // only workers that have any
	idleCount   int
	idleLimit   time.Duration // longest idle time of a reusable connection, as of lastStaleAt
	lastStaleAt time.Time     // when a connection last turned out stale; zero: never
}

const readBuffer = 4096

// releaseSpareConns is how many connections releases may open beyond the pool's limit: held state
// must be released even while attempts use all connections.
const releaseSpareConns = 16

// minReuseDelay is how long a connection stays idle after an answer before it may be reused. A
// worker may write a second answer some milliseconds after the first. On an idle connection it is
// detected and the connection is closed; after the next request it would be taken for that
// request's answer.
const minReuseDelay = 20 * time.Millisecond

// connRequirements states which connections get may return.
type connRequirements struct {
	fresh      bool          // only a new connection
	reuseDelay time.Duration // minimum idle time of a reused connection
	spare      int           // connections that may be opened beyond the pool's limit
}

// get returns an idle connection to the worker, or opens one.
func (p *pool) get(ctx context.Context, w *router.Worker, n connRequirements) (*conn, error) {
	c, err := p.take(w, n)
	if c != nil || err != nil {
		return c, err
	}
	return p.dial(ctx, w)
}

// take returns an idle connection to the worker. If there is none it reserves a slot for a new one,
// which dial has to use, and returns nil. It does not wait.
func (p *pool) take(w *router.Worker, n connRequirements) (*conn, error) {
	if !n.fresh {
		if c := p.takeIdle(w, n.reuseDelay); c != nil {
			return c, nil
		}
	}
	if !p.reserveSlot(n.spare) {
		return nil, errFull
	}
	return nil, nil
}

// dial opens a connection to the worker in a slot that take has reserved.
func (p *pool) dial(ctx context.Context, w *router.Worker) (*conn, error) {
	d := net.Dialer{Timeout: p.dialTimeout, KeepAlive: -1}
	nc, err := d.DialContext(ctx, "tcp", w.Addr)
	if err != nil {
		p.releaseSlot()
		if isLocalShortage(err) {
			return nil, fmt.Errorf("%w: %w", errFull, err)
		}
		return nil, fmt.Errorf("connect to %s: %w", w.Name, err)
	}
	tc := nc.(*net.TCPConn)
	return &conn{TCPConn: tc, br: bufio.NewReaderSize(tc, readBuffer), pool: p, ended: make(chan struct{})}, nil
}

// isLocalShortage reports whether a connection could not be opened for lack of a resource, route or
// permission on the router's own machine (socket(2), connect(2)). That says nothing about the
// worker.
func isLocalShortage(err error) bool {
	return transient.Is(err, syscall.ENOBUFS, syscall.EADDRNOTAVAIL, syscall.ENETUNREACH, syscall.ENETDOWN, syscall.EPERM, syscall.EACCES)
}

const (
	minIdleLimit = 5 * time.Millisecond
	// idleLimitDoubling is the time in which a lowered idle limit doubles.
	idleLimitDoubling = 2 * time.Second
)

// noteStale lowers the idle limit after a connection turned out stale. Some workers, or devices on
// the path to them, drop idle connections far earlier than stated, which shows only at the next
// request, and the router can't tell whether that request ran. A new connection costs little, so
// for a while only connections with a shorter idle time are reused.
func (p *pool) noteStale(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idleLimit, p.lastStaleAt = max(min(p.currentIdleLimit(), c.lastIdle/2), minIdleLimit), time.Now()
}

// currentIdleLimit returns the longest idle time of a connection that may be reused now. The lock
// must be held.
func (p *pool) currentIdleLimit() time.Duration {
	if p.lastStaleAt.IsZero() {
		return p.idleTimeout
	}
	doublings := min(time.Since(p.lastStaleAt)/idleLimitDoubling, 32)
	return min(p.idleLimit<<doublings, p.idleTimeout)
}

// takeIdle takes the latest used connection to the worker that has been idle for reuseDelay and is
// still usable, or returns nil.
func (p *pool) takeIdle(w *router.Worker, reuseDelay time.Duration) *conn {
	for {
		p.mu.Lock()
		c := p.lastReusable(w, reuseDelay)
		currentIdleLimit := p.currentIdleLimit()
		p.mu.Unlock()
		if c == nil {
			return nil
		}
		c.lastIdle = time.Since(c.idleSince)
		if c.idleTimer.Stop() && c.lastIdle <= currentIdleLimit && c.alive() {
			c.reused = true
			return c
		}
		_ = c.Close()
	}
}

// lastReusable removes and returns the latest used of the idle connections that have been idle for
// reuseDelay, or nil. The lock must be held.
func (p *pool) lastReusable(w *router.Worker, reuseDelay time.Duration) *conn {
	list := p.idle[w]
	for i := len(list) - 1; i >= 0; i-- {
		if c := list[i]; time.Since(c.idleSince) >= reuseDelay {
			p.setIdle(w, slices.Delete(list, i, i+1))
			return c
		}
	}
	return nil
}

// setIdle sets the idle connections to a worker. The lock must be held.
func (p *pool) setIdle(w *router.Worker, list []*conn) {
	p.idleCount += len(list) - len(p.idle[w])
	if len(list) == 0 {
		delete(p.idle, w)
		return
	}
	p.idle[w] = list
}

// put returns a connection to the pool after its answer was read to the end.
func (p *pool) put(w *router.Worker, c *conn) {
	// Bytes after the answer would be taken for the next request's answer.
	if c.br.Buffered() > 0 || c.SetDeadline(time.Time{}) != nil || !w.MaySend() {
		_ = c.Close()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	c.idleSince = time.Now()
	c.idleTimer = time.AfterFunc(p.idleTimeout, func() { p.removeIdle(w, c) })
	p.setIdle(w, append(p.idle[w], c))
}

func (p *pool) removeIdle(w *router.Worker, c *conn) {
	p.mu.Lock()
	for i, other := range p.idle[w] {
		if other == c {
			p.setIdle(w, slices.Delete(p.idle[w], i, i+1))
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
	p.setIdle(w, nil)
	p.mu.Unlock()
	for _, c := range list {
		c.idleTimer.Stop()
		_ = c.Close()
	}
}

// reserveSlot reserves a slot for a new connection. If the pool is full, it evicts an idle
// connection.
func (p *pool) reserveSlot(spare int) bool {
	p.mu.Lock()
	if p.open < p.maxOpen+spare {
		p.open++
		p.mu.Unlock()
		return true
	}
	var victim *conn
	for w, list := range p.idle {
		if len(list) > 0 {
			victim = list[0]
			p.setIdle(w, list[1:])
			break
		}
	}
	p.mu.Unlock()
	if victim == nil {
		return false
	}
	victim.idleTimer.Stop()
	_ = victim.Close()
	return p.reserveSlot(spare)
}

func (p *pool) releaseSlot() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// room returns how many connections a caller could get now, be they new or idle.
func (p *pool) room(spare int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(p.maxOpen+spare-p.open+p.idleCount, 0)
}

// order sorts the workers by how likely they can be reached at once: those with an idle connection
// first, the latest used before others, and draining ones last. Equal workers keep their order.
func (p *pool) order(workers []*router.Worker) {
	p.mu.Lock()
	last := make(map[*router.Worker]time.Time, len(p.idle))
	for w, list := range p.idle {
		if len(list) > 0 {
			last[w] = list[len(list)-1].idleSince
		}
	}
	p.mu.Unlock()
	var connected, unconnected, draining []*router.Worker
	for _, w := range workers {
		switch _, isConnected := last[w]; {
		case !w.MaySend():
			draining = append(draining, w)
		case isConnected:
			connected = append(connected, w)
		default:
			unconnected = append(unconnected, w)
		}
	}
	byLastUse := func(a, b *router.Worker) int { return last[b].Compare(last[a]) }
	slices.SortStableFunc(connected, byLastUse)
	slices.SortStableFunc(draining, byLastUse)
	copy(workers, slices.Concat(connected, unconnected, draining))
}
