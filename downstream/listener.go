// Package downstream serves clients over HTTP/1.1 with fasthttp's server, and
// adds what that server lacks: it notices a client that leaves while its request
// is being handled, knows when a request's last byte came, and closes idle
// connections in good order at the end.
package downstream

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"lichenshelf/router"
)

// phase is what a client's connection is at.
type phase int

const (
	lingering phase = iota // answered for good; what still comes is dropped
	waiting                // no request has begun to come
	reading                // a request has begun to come
	serving                // it is whole, and its answer not yet out
)

// listener hands out connections that can be watched, and bounds their number.
type listener struct {
	net.Listener
	most  int
	count router.Counters
	mu    sync.Mutex
	conns map[*conn]bool
	last  time.Time // when the latest was accepted
}

// freshFor is how long a new connection is left open at the end, for its request to come.
const freshFor = time.Second

// noDescriptor is how long to wait for one where the system has none left.
const noDescriptor = 5 * time.Millisecond

// Accept implements net.Listener. Clients come with more connections than there
// is room for, and some ask once and keep theirs for good: what has waited
// longest gives way, or the others would be turned away.
func (l *listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
			// The server would end on this error.
			l.count.Add("connections_without_a_descriptor", 1)
			l.evict()
			time.Sleep(noDescriptor)
			continue
		}
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: nc, home: l, phase: waiting, since: time.Now()}
		if l.take(c) {
			return c, nil
		}
		l.count.Add("connections_turned_away", 1)
		_ = nc.Close()
	}
}

// take adds a connection, if need be in place of another.
func (l *listener) take(c *conn) bool {
	l.mu.Lock()
	full := l.most > 0 && len(l.conns) >= l.most
	l.mu.Unlock()
	if full && !l.evict() {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = true
	l.last = c.since
	return true
}

// evict closes the connection that is missed least: one that only lingers, else
// the one that has waited longest, else the one whose request comes slowest.
func (l *listener) evict() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for {
		var victim *conn
		for c := range l.conns {
			if c.phase != serving && (victim == nil || c.phase < victim.phase ||
				c.phase == victim.phase && c.since.Before(victim.since)) {
				victim = c
			}
		}
		if victim == nil {
			return false
		}
		if victim.phase == waiting && victim.pending() {
			victim.phase, victim.since = reading, time.Now() // its server has not got to it yet
			continue
		}
		l.count.Add("connections_evicted", 1)
		l.drop(victim)
		return true
	}
}

// drop closes a connection that is not serving; the lock is held.
func (l *listener) drop(c *conn) {
	c.dropped = true
	delete(l.conns, c)
	_ = c.Conn.Close()
}

// quietSince is how long no connection has been accepted, since the given time at most.
func (l *listener) quietSince(t time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.last.After(t) {
		t = l.last
	}
	return time.Since(t)
}

// open is the number of client connections.
func (l *listener) open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// closeIdle closes the connections that are between requests. A request that
// crosses this is sent again by its client, on a new connection; one whose bytes
// have come already, but that the server has not read yet, is left to be served:
// closing on it would lose a request that was taken. So is, for a moment, a new
// connection whose first request may be on its way.
func (l *listener) closeIdle() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if c.phase == waiting && !c.pending() && (c.used || time.Since(c.since) >= freshFor) {
			l.drop(c)
		}
	}
}

// conn is a client's connection. The server reads it between requests; while
// one is handled, the watch reads it to see the client leave.
type conn struct {
	net.Conn
	home *listener
	// Under the lock of home:
	phase   phase
	since   time.Time // when the phase began
	dropped bool      // closed from outside, and to be served no more
	used    bool      // something has come on it

	lastRead atomic.Int64 // when the latest bytes came, in Unix nanoseconds
	deadline time.Time    // the server's own
	watching chan struct{}
	byte1    []byte // read by the watch, for the server
	err      error  // met by the watch, for the server
	linger   bool   // it is closed with something of a request unread
}

// enter begins a phase. It tells whether the connection is still there.
func (c *conn) enter(p phase) bool {
	c.home.mu.Lock()
	defer c.home.mu.Unlock()
	if c.phase != p {
		c.phase, c.since = p, time.Now()
	}
	c.used = c.used || p != waiting
	return !c.dropped
}

// pending tells whether bytes have come that nobody has read.
func (c *conn) pending() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	err = raw.Control(func(fd uintptr) { // not Read, which would wait for the server's
		var b [1]byte
		n, _, _ = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return err == nil && n > 0
}

// watch calls left once if the client closes the connection. It ends when the
// server reads again.
func (c *conn) watch(left func()) {
	c.endWatch() // of an earlier request, where this one came along with it
	if c.err != nil || len(c.byte1) > 0 {
		return // the server will meet it, and there is nothing to read ahead of it
	}
	done := make(chan struct{})
	c.watching = done
	_ = c.Conn.SetReadDeadline(time.Time{})
	go func() {
		defer close(done)
		var b [1]byte
		n, err := c.Conn.Read(b[:])
		if n > 0 { // the next request, early: it waits for its turn
			c.byte1 = b[:n]
			return
		}
		if ne, ok := err.(net.Error); ok && ne.Timeout() {
			return // the server wants to read
		}
		c.err = err
		left()
	}()
}

// endWatch takes the connection back from the watch.
func (c *conn) endWatch() {
	if c.watching == nil {
		return
	}
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	<-c.watching
	c.watching = nil
	_ = c.Conn.SetReadDeadline(c.deadline)
}

// Read implements net.Conn for the server.
func (c *conn) Read(p []byte) (int, error) {
	c.endWatch()
	if c.err != nil {
		return 0, c.err
	}
	if c.asked() {
		// Only now is the answer out: a stream goes on long after its handler has
		// returned, and must not be closed as idle.
		c.enter(waiting)
	}
	if len(c.byte1) > 0 {
		n := copy(p, c.byte1)
		c.byte1 = c.byte1[n:]
		return c.arrived(n, nil)
	}
	return c.arrived(c.Conn.Read(p))
}

// asked tells whether the server reads for the next request.
func (c *conn) asked() bool {
	c.home.mu.Lock()
	defer c.home.mu.Unlock()
	return c.phase == serving
}

// arrived takes what was read, unless the connection has been dropped meanwhile:
// its client knows by then that nothing was served.
func (c *conn) arrived(n int, err error) (int, error) {
	if n > 0 {
		if !c.enter(reading) {
			return 0, net.ErrClosed
		}
		c.lastRead.Store(time.Now().UnixNano())
	}
	return n, err
}

// SetReadDeadline implements net.Conn for the server.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.deadline = t
	if c.watching != nil {
		return nil // set when the watch has ended
	}
	return c.Conn.SetReadDeadline(t)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok && c.linger && c.enter(lingering) {
		go c.discard(tcp)
		return nil
	}
	c.leave()
	return c.Conn.Close()
}

func (c *conn) leave() {
	c.home.mu.Lock()
	defer c.home.mu.Unlock()
	delete(c.home.conns, c)
}

const (
	discardFor  = 500 * time.Millisecond
	discardMost = 4 << 20
)

// discard reads what the client still sends before it closes. Closed at once, the
// connection would be reset, and the answer lost before the client has read it.
func (c *conn) discard(tcp *net.TCPConn) {
	defer tcp.Close()
	defer c.leave()
	if tcp.CloseWrite() != nil || tcp.SetReadDeadline(time.Now().Add(discardFor)) != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, tcp, discardMost)
}
