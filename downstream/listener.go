// Package downstream serves clients over HTTP/1.1 with fasthttp's server, and
// adds what that server lacks: it notices a client that leaves while its request
// is being handled, knows when a request's last byte came, and closes idle
// connections in good order at the end.
package downstream

import (
	"net"
	"sync"
	"time"

	accepting "lichenshelf/internal/listener"
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
	exiting  bool          // the process is about to end
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

// closeUnused ends the connections that a stop need not wait for: those between requests, and once the process is about to end
// also those with a part of a request. A request that crosses this is sent again by its client, on a new connection; one whose
// bytes have come already, but that the server has not read yet, is left to be served: closing on it would lose a request that
// was taken. So is, for a moment, a new connection whose first request may be on its way. Once the process is about to end,
// both are refused.
func (l *listener) closeUnused() {
	l.mu.Lock()
	defer l.mu.Unlock()
	why := forStop
	if l.exiting {
		why = forExit
	}
	for c := range l.conns {
		switch end := c.end(why); {
		case end == keep:
		case end == shutIdle && !c.pending():
			l.shut(c)
		case why == forExit:
			l.hurry(c)
		}
	}
}
