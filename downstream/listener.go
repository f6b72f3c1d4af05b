// Package downstream serves clients over HTTP/1.1 with fasthttp's server, and
// adds what that server lacks: it notices a client that leaves while its request
// is being handled, knows when a request's last byte came, and closes idle
// connections in good order at the end.
package downstream

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	accepting "lichenshelf/internal/listener"
	"lichenshelf/internal/socket"
	"lichenshelf/router"
)

// listener hands out connections that can be watched, and bounds their number.
type listener struct {
	net.Listener
	most  int
	count router.Counters
	ahead room // what watches have read ahead
	// crossing, if set, is called right before a connection is shut: tests let bytes come there.
	crossing func()
	mu       sync.Mutex
	conns    map[*conn]bool
	ending   int           // of conns, those that are
	last     time.Time     // when the latest was accepted
	linger   time.Duration // how long what is shut may take to be closed
}

// One of endingPart connections may be ending beside those in use: what gives way is shut first, and
// closed when its client has seen that.
const endingPart = 16

// Accept implements net.Listener. Clients come with more connections than there
// is room for, and some ask once and keep theirs for good: what has waited
// longest gives way, or the others would be turned away.
func (l *listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			if !accepting.Passes(err) {
				return nil, err
			}
			l.failed(err) // the server would end on the error
			time.Sleep(accepting.RetryAfter)
			continue
		}
		c := &conn{Conn: nc, home: l, phase: waiting, since: time.Now()}
		if l.take(c) {
			return c, nil
		}
		l.count.Add("connections_turned_away", 1)
		_ = nc.Close()
	}
}

// failed takes an error of accept that passes by itself, or, where a descriptor lacks, as one of ours is closed.
func (l *listener) failed(err error) {
	if !accepting.LacksDescriptor(err) {
		l.count.Add("accepts_failed", 1)
		return
	}
	l.count.Add("connections_without_a_descriptor", 1)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.evict(forDescriptor)
}

// take adds a connection, if need be in place of another.
func (l *listener) take(c *conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.most > 0 && (len(l.conns) >= l.most || len(l.conns)-l.ending >= l.most-l.most/endingPart) {
		why := forRoom
		if len(l.conns) >= l.most {
			why = forRoomNow
		}
		if !l.evict(why) {
			return false
		}
	}
	l.conns[c] = true
	l.last = c.since
	return true
}

// evict ends the connection that is missed least, as far as the reason goes. The lock is held.
func (l *listener) evict(why reason) bool {
	for {
		var victim *conn
		for c := range l.conns {
			if c.end(why) != keep && (victim == nil || c.missedLess(victim)) {
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
		switch victim.end(why) {
		case closeNow:
			l.remove(victim)
			_ = victim.Conn.Close()
			return true
		case shutIdle:
			l.shut(victim)
		case answerNow:
			l.hurry(victim)
		}
		l.count.Add("connections_evicted", 1)
		return true
	}
}

// end tells how the connection may be ended for a reason; the lock is held.
func (c *conn) end(why reason) ending {
	return endingOf(connState{phase: c.phase, ending: c.ending, used: c.used, age: time.Since(c.since)}, why)
}

// missedLess tells which of two connections gives way; the lock is held.
func (c *conn) missedLess(than *conn) bool {
	switch {
	case c.ending != than.ending:
		return c.ending
	case c.phase != than.phase:
		return c.phase < than.phase
	}
	return c.since.Before(than.since)
}

// shut ends a connection that is between requests: its sending is shut, so that its client sees it end,
// and what still comes is dropped unread by anybody. Closed at once, it would be reset by a request that
// comes just then, and take what its client has not read yet with it. The lock is held.
func (l *listener) shut(c *conn) {
	if l.crossing != nil {
		l.crossing()
	}
	c.dropped = true
	l.end(c)
	c.phase, c.since = lingering, time.Now()
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	_ = c.Conn.SetReadDeadline(longAgo) // its server wakes, and closes it
}

// hurry ends the wait for the rest of a request: its server answers at once. The lock is held.
func (l *listener) hurry(c *conn) {
	c.hurried = true
	l.end(c)
	_ = c.Conn.SetReadDeadline(longAgo)
}

// longAgo is a deadline that is over.
var longAgo = time.Unix(1, 0)

// end notes that a connection is on its way out; the lock is held.
func (l *listener) end(c *conn) {
	if l.conns[c] && !c.ending {
		l.ending++
	}
	c.ending = true
}

// remove forgets a connection; the lock is held.
func (l *listener) remove(c *conn) {
	if l.conns[c] && c.ending {
		l.ending--
	}
	delete(l.conns, c)
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

// closeIdle shuts the connections that are between requests. A request that
// crosses this is sent again by its client, on a new connection; one whose bytes
// have come already, but that the server has not read yet, is left to be served:
// closing on it would lose a request that was taken. So is, for a moment, a new
// connection whose first request may be on its way.
func (l *listener) closeIdle() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if c.end(forStop) == shutIdle && !c.pending() {
			l.shut(c)
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
	dropped bool      // shut from outside, and to be served no more
	lingers time.Time // until when it is open for its client to close it; zero: its server is not done with it
	hurried bool      // what has not come of its request is not waited for
	ending  bool      // it is one of these, or its last answer is out
	used    bool      // something has come on it

	lastRead atomic.Int64 // when the bytes came that the server got last, by sinceStart
	deadline time.Time    // the server's own
	watching chan struct{}
	left     func()   // what the watch calls
	ahead    []byte   // read by the watch, for the server
	came     arrivals // of what was read ahead
	err      error    // met by the watch, for the server
	given    int64    // bytes that the server has got
	asked    int64    // of them, those of the requests that it has handled, as far as can be told
}

// enter begins a phase. It tells whether the connection is still there.
func (c *conn) enter(p phase) bool {
	c.home.mu.Lock()
	defer c.home.mu.Unlock()
	if c.dropped {
		return false
	}
	if c.phase != p {
		c.phase, c.since = p, time.Now()
	}
	c.used = c.used || p != waiting
	return true
}

// pending tells whether bytes have come that nobody has read.
func (c *conn) pending() bool {
	raw, err := socket.Raw(c.Conn)
	if err != nil {
		return false
	}
	n, _ := socket.Pending(raw)
	return n > 0
}

// mostAhead bounds what is read ahead of a connection's server: a request of the largest size. What is
// further behind stays with the system; a client that sends more than both take is seen to leave
// when the server gets there. It is read by aheadStep at first, then by as much as there is, to aheadMost.
const (
	mostAhead = 256<<10 + headBuffer
	aheadStep = 512
	aheadMost = 16 << 10
	// behindAhead is what the system is asked to take of a connection that is not read ahead any further; it grants less,
	// by net.core.rmem_max.
	behindAhead = 1 << 20
)

// watch calls left once if the client closes the connection, also behind requests that it has sent
// ahead. It ends when the server reads again.
func (c *conn) watch(left func()) {
	if c.gone() {
		left()
		return
	}
	c.left = left
	c.look(mostAhead)
}

// look is the watch, which reads so much ahead at most.
func (c *conn) look(most int) {
	done := make(chan struct{})
	c.watching = done
	_ = c.Conn.SetReadDeadline(time.Time{})
	go func() {
		defer close(done)
		for len(c.ahead) < most {
			step := min(max(len(c.ahead), aheadStep), aheadMost, most-len(c.ahead))
			if !c.home.ahead.take(int64(step)) {
				break
			}
			b := make([]byte, step)
			n, err := c.Conn.Read(b)
			if n > 0 {
				c.ahead, c.came = append(c.ahead, b[:n]...), c.came.add(n, c.receivedAt())
			}
			c.home.ahead.used.Add(int64(n - step))
			if err != nil {
				c.ended(err)
				return
			}
		}
		// Its client's close comes behind what it has sent: the system must take that for the close to be seen.
		if tcp, ok := c.Conn.(*net.TCPConn); ok && most == mostAhead {
			_ = tcp.SetReadBuffer(behindAhead)
		}
		c.ended(c.hungUp())
	}()
}

// ended takes the error that a watch met.
func (c *conn) ended(err error) {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return // the server wants to read
	}
	c.err = err
	c.left()
}

// hungUp waits, without reading, until the client has closed its side.
func (c *conn) hungUp() error {
	raw, err := socket.Raw(c.Conn)
	if err != nil {
		return os.ErrDeadlineExceeded
	}
	if err := socket.WaitHungUp(raw); err != nil {
		return err
	}
	return io.EOF
}

// gone tells whether the client has closed the connection, as far as was seen; the watch ends.
func (c *conn) gone() bool {
	c.endWatch()
	return c.err != nil
}

// endWatch takes the connection back from the watch.
func (c *conn) endWatch() {
	if c.watching == nil {
		return
	}
	_ = c.Conn.SetReadDeadline(longAgo)
	<-c.watching
	c.watching = nil
	_ = c.SetReadDeadline(c.deadline)
}

// Read implements net.Conn for the server.
func (c *conn) Read(p []byte) (int, error) {
	c.endWatch()
	if c.err != nil {
		return 0, c.err
	}
	// Only now is the answer out: a stream goes on long after its handler has
	// returned, and must not be closed as idle.
	if !c.between() {
		return 0, net.ErrClosed
	}
	if len(c.ahead) > 0 {
		rest, n, at := c.came.take(len(p))
		copy(p, c.ahead[:n])
		c.home.ahead.used.Add(-int64(n))
		c.came = rest
		if c.ahead = c.ahead[n:]; len(c.ahead) == 0 {
			c.ahead, c.came = nil, nil
		}
		return c.arrived(n, nil, at)
	}
	n, err := c.Conn.Read(p)
	if n == 0 {
		return c.arrived(n, err, 0)
	}
	return c.arrived(n, err, c.receivedAt())
}

// between begins the wait for the next request where an answer is out. It tells whether the
// connection is still there.
func (c *conn) between() bool {
	c.home.mu.Lock()
	defer c.home.mu.Unlock()
	if c.phase == serving {
		c.phase, c.since = waiting, time.Now()
	}
	return !c.dropped
}

// arrived takes what was read and when it came, unless the connection has been shut meanwhile: its client knows by
// then that nothing was served.
func (c *conn) arrived(n int, err error, at time.Duration) (int, error) {
	if n > 0 {
		if !c.enter(reading) {
			return 0, net.ErrClosed
		}
		c.given += int64(n)
		c.lastRead.Store(int64(at))
	}
	if err != nil && !c.between() {
		return 0, net.ErrClosed
	}
	return n, err
}

// late tells whether the rest of the request was not waited for.
func (c *conn) late() bool {
	c.home.mu.Lock()
	defer c.home.mu.Unlock()
	return c.hurried
}

// leastRequest is the size of the shortest request.
const leastRequest = len("GET / HTTP/1.1\n\n")

// handled notes a request that the server has read, of a size that may be told a few bytes too small;
// below 0 it is not known.
func (c *conn) handled(size int) {
	if size < 0 {
		c.asked = c.given
		return
	}
	c.asked += int64(size)
}

// last tells whether the answer that begins may be the connection's last: nothing has been read of further
// requests, nor will be. A client whose request was read can't tell that it was not served.
func (c *conn) last() bool {
	watched := c.watching != nil
	c.endWatch()
	last := len(c.ahead) == 0 && c.given-c.asked < int64(leastRequest)
	if watched && c.err == nil {
		most := mostAhead
		if last {
			most = 0
		}
		c.look(most)
	}
	return last
}

// SetReadDeadline implements net.Conn for the server.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.deadline = t
	if c.watching != nil {
		return nil // set when the watch has ended
	}
	c.home.mu.Lock()
	defer c.home.mu.Unlock()
	if c.dropped || c.hurried {
		return nil // it is over
	}
	return c.Conn.SetReadDeadline(t)
}

// Close implements net.Conn. Unless its client has gone, the connection is shut first and closed when
// its client has closed it, or after a moment: closed at once, it would be reset by what comes just then,
// and the answer lost before the client has read it.
func (c *conn) Close() error {
	c.endWatch()
	c.home.ahead.used.Add(-int64(len(c.ahead)))
	c.ahead, c.came = nil, nil
	tcp, ok := c.Conn.(*net.TCPConn)
	c.home.mu.Lock()
	defer c.home.mu.Unlock()
	if !c.home.conns[c] || !ok || c.err != nil {
		c.home.remove(c)
		return c.Conn.Close()
	}
	c.home.end(c)
	c.phase, c.since = lingering, time.Now()
	c.lingerUntil(c.since.Add(c.home.linger))
	go c.discard(tcp)
	return nil
}

// lingerUntil bounds how long a connection that its server is done with stays open. The lock is held.
func (c *conn) lingerUntil(t time.Time) {
	c.lingers = t
	_ = c.Conn.SetReadDeadline(t)
}

// lingerFor bounds how long connections stay open that have been shut or will be. The lock is held.
func (l *listener) lingerFor(most time.Duration) {
	l.linger = most
	until := time.Now().Add(most)
	for c := range l.conns {
		if c.lingers.After(until) {
			c.lingerUntil(until)
		}
	}
}

const (
	discardFor  = 500 * time.Millisecond
	discardLast = 200 * time.Millisecond // where the process is about to be killed
	discardMost = 4 << 20
)

// discard drops what the client still sends before it closes the connection.
func (c *conn) discard(tcp *net.TCPConn) {
	defer func() {
		c.home.mu.Lock()
		defer c.home.mu.Unlock()
		c.home.remove(c)
		_ = tcp.Close()
	}()
	if tcp.CloseWrite() != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, tcp, discardMost)
}
