// Package downstream serves clients over HTTP/1.1. It bounds the memory that clients take together,
// detects a client that leaves while its request is being handled, records when a request's last
// byte was received, and closes idle connections gracefully on a stop.
package downstream

import (
	"net"
	"sync"
	"time"

	accepting "lichenshelf/internal/listener"
	"lichenshelf/internal/memory"
	"lichenshelf/router"
)

// listener accepts connections that can be watched, and bounds their number.
type listener struct {
	net.Listener
	maxConns        int
	count           router.Counters
	readAheadBudget byteBudget // bytes read ahead by watches
	// bytes of open bodies, and of all else that requests take
	bodies, requests memory.Budget
	// slots for connections that have had a request routed, and for other connections
	routedSlots, unroutedSlots workSlots
	// beforeShut, if set, is called right before a connection is shut down, so that tests can send
	// bytes at that moment.
	beforeShut    func()
	mu            sync.Mutex
	conns         evictionOrder
	lastAccept    time.Time     // when the latest connection was accepted
	lingerTimeout time.Duration // from the shutdown of a connection to its close
	exiting       bool          // the process is about to end
}

// One of endingDivisor connections may be ending in addition to those in use: an evicted connection
// is shut down first, and closed when its client has noticed that.
const endingDivisor = 16

// accept returns the next connection. Clients may open more connections than the bound allows, and some
// send one request and keep the connection for good. Therefore the connection that has waited
// longest is evicted; otherwise new ones would be turned away.
func (l *listener) accept() (*conn, error) {
	for {
		l.unroutedSlots.acquire()
		nc, err := l.Listener.Accept()
		if err != nil {
			l.unroutedSlots.release()
			if !accepting.IsTemporary(err) {
				return nil, err
			}
			l.acceptFailed(err) // the server would end on the error
			time.Sleep(accepting.RetryAfter)
			continue
		}
		l.unroutedSlots.yield()
		c := &conn{Conn: nc, owner: l, phase: waiting, since: time.Now(), heldSlots: l.unroutedSlots, refused: make(chan struct{})}
		c.body.budget, c.request.budget = &l.bodies, &l.requests
		if l.admit(c) {
			return c, nil
		}
		l.unroutedSlots.release()
		l.count.Add("connections_turned_away", 1)
		_ = nc.Close()
	}
}

// acceptFailed handles an accept error that is temporary. If descriptors have run out, it evicts a
// connection to free one.
func (l *listener) acceptFailed(err error) {
	if !accepting.OutOfDescriptors(err) {
		l.count.Add("accepts_failed", 1)
		return
	}
	l.count.Add("connections_without_a_descriptor", 1)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.evict(forDescriptor)
}

// admit adds a connection, if necessary in place of another one.
func (l *listener) admit(c *conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.maxConns > 0 && (l.conns.size >= l.maxConns || l.conns.size-l.conns.ending() >= l.maxConns-l.maxConns/endingDivisor) {
		why := forRoom
		if l.conns.size >= l.maxConns {
			why = forRoomNow
		}
		if !l.evict(why) {
			return false
		}
	}
	l.conns.place(c)
	l.lastAccept = c.since
	return true
}

// evict ends the first connection in the eviction order that may be ended for the reason. mu is
// held.
func (l *listener) evict(why endReason) bool {
	for {
		now := time.Now()
		victim := l.conns.victim(why, now)
		if victim == nil {
			return false
		}
		if victim.phase == waiting && victim.pending() {
			l.setPhase(victim, reading) // its server has not read the bytes yet
			continue
		}
		switch victim.endActionFor(why, now) {
		case closeNow:
			l.conns.remove(victim)
			_ = victim.Conn.Close()
			return true
		case shutIdle:
			l.shut(victim)
		case refuseNow:
			l.refuseRest(victim)
		}
		l.count.Add("connections_evicted", 1)
		return true
	}
}

// endActionFor returns how the connection may be ended for a reason. The owner's mu is held.
func (c *conn) endActionFor(why endReason, now time.Time) endAction {
	return decideEnd(connState{phase: c.phase, ending: c.ending, used: c.used, age: now.Sub(c.since)}, why)
}

// setPhase sets the phase of a connection. mu is held.
func (l *listener) setPhase(c *conn, p phase) {
	c.phase, c.since = p, time.Now()
	c.used = c.used || p != waiting
	if l.conns.has(c) {
		l.conns.place(c)
	}
}

// shut ends a connection that is between requests. It shuts down the sending side, so that the
// client sees the end, and further bytes are dropped unread. If it were closed at once, a request
// that arrives just then would cause a reset, and the client could lose what it has not read yet.
// mu is held.
func (l *listener) shut(c *conn) {
	if l.beforeShut != nil {
		l.beforeShut()
	}
	c.dropped, c.ending = true, true
	l.setPhase(c, lingering)
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	_ = c.Conn.SetReadDeadline(pastDeadline) // wakes the server, which closes the connection
}

// refuseRest ends the wait for the rest of a request, so that the server answers at once. mu is
// held.
func (l *listener) refuseRest(c *conn) {
	if !c.restRefused {
		close(c.refused)
	}
	c.restRefused, c.ending = true, true
	l.setPhase(c, reading)
	_ = c.Conn.SetReadDeadline(pastDeadline)
}

// pastDeadline is a deadline that has expired.
var pastDeadline = time.Unix(1, 0)

// idleSince returns for how long no connection has been accepted, counted from t at the earliest.
func (l *listener) idleSince(t time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lastAccept.After(t) {
		t = l.lastAccept
	}
	return time.Since(t)
}

// open returns the number of client connections.
func (l *listener) open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conns.size
}

// closeUnused ends the connections that a stop need not wait for: those between requests and, once
// the process is about to end, also those with a partial request. If a request arrives at the same
// time, its client repeats it on a new connection. A connection with bytes that the server has not
// read yet is left to be served, because closing it would lose a request that the kernel has
// accepted. A new connection is left for newConnGrace, because its first request may be on its way.
// Once the process is about to end, both are refused.
func (l *listener) closeUnused() {
	l.mu.Lock()
	defer l.mu.Unlock()
	why := forStop
	if l.exiting {
		why = forExit
	}
	now := time.Now()
	for c := range l.conns.all() {
		switch end := c.endActionFor(why, now); {
		case end == keep:
		case end == shutIdle && !c.pending():
			l.shut(c)
		case why == forExit:
			l.refuseRest(c)
		}
	}
}
