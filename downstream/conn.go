package downstream

import (
	"bufio"
	"container/list"
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"time"

	"lichenshelf/internal/socket"
)

// conn is a client's connection. The server reads it between requests. While a request is handled,
// the watch reads it to detect that the client closes it.
type conn struct {
	net.Conn
	owner *listener
	// Guarded by the owner's mu:
	phase   phase
	since   time.Time // when the phase began
	dropped bool      // shut down by the listener; no further request is served
	// when it is closed unless its client has closed it by then; zero while the server uses it
	lingerDeadline time.Time
	restRefused    bool // the rest of its request is not awaited
	ending         bool // it is dropped, lingering or restRefused, or its last answer has been sent
	used           bool // bytes have been received on it
	// Position in the owner's eviction order; nil if it is not there.
	orderElement *list.Element
	orderClass   evictionClass

	// refused is closed when restRefused is set
	refused chan struct{}
	// what a request on it holds of the server's budgets: its body, and all else
	body, request holding
	reader        *bufio.Reader // nil while it has nothing to read

	// the slots of which the server holds one for this connection; nil if it holds none
	heldSlots workSlots
	routed    bool // a request on it was passed to the router
	// when the bytes that the server read last were received, by sinceStart
	lastReceived      atomic.Int64
	writeBegan        atomic.Int64 // when the write in progress began, by sinceStart; 0: there is none
	deadline          time.Time    // the read deadline that the server has set
	watchDone         chan struct{}
	onLeave           func()   // called by the watch when the client leaves
	readAhead         []byte   // bytes read by the watch, for the server
	readAheadArrivals arrivals // of the bytes read ahead
	err               error    // read error of the watch, returned to the server
	bytesRead         int64    // bytes passed to the server
	bytesHandled      int64    // of bytesRead, those of handled requests, as far as known
}

// beginPhase sets the phase. It returns false if the connection has been dropped.
func (c *conn) beginPhase(p phase) bool {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	if c.dropped {
		return false
	}
	if c.phase != p {
		c.owner.setPhase(c, p)
	}
	return true
}

// pending reports whether the kernel holds unread bytes.
func (c *conn) pending() bool {
	raw, err := socket.Raw(c.Conn)
	if err != nil {
		return false
	}
	n, _ := socket.Pending(raw)
	return n > 0
}

// maxReadAhead bounds the bytes read ahead of a connection's server; it holds one request of the
// largest size. Further bytes stay in the kernel. If a client sends more than both hold, its
// leaving is detected only when the server has read that far. Reads ahead start with
// minReadAheadStep and grow with what has been read, up to maxReadAheadStep.
const (
	maxReadAhead     = 256<<10 + headBuffer
	minReadAheadStep = 512
	maxReadAheadStep = 16 << 10
	// watchReceiveBuffer is the receive buffer requested for a connection that has been read ahead
	// to the limit; the kernel grants less if net.core.rmem_max is lower.
	watchReceiveBuffer = 1 << 20
)

// watch calls onLeave once if the client closes the connection, even after pipelined requests. It
// ends when the server reads again.
func (c *conn) watch(onLeave func()) {
	if c.clientClosed() {
		onLeave()
		return
	}
	c.onLeave = onLeave
	c.startWatch(maxReadAhead)
}

// startWatch starts the watch goroutine, which reads at most limit bytes ahead.
func (c *conn) startWatch(limit int) {
	done := make(chan struct{})
	c.watchDone = done
	_ = c.Conn.SetReadDeadline(time.Time{})
	go func() {
		defer close(done)
		for len(c.readAhead) < limit {
			step := min(max(len(c.readAhead), minReadAheadStep), maxReadAheadStep, limit-len(c.readAhead))
			if !c.owner.readAheadBudget.reserve(int64(step)) {
				break
			}
			b := make([]byte, step)
			n, err := c.Conn.Read(b)
			if n > 0 {
				c.readAhead, c.readAheadArrivals = append(c.readAhead, b[:n]...), c.readAheadArrivals.add(n, c.receivedAt())
			}
			c.owner.readAheadBudget.used.Add(int64(n - step))
			if err != nil {
				c.watchEnded(err)
				return
			}
		}
		// The client's close follows the bytes that it has sent, so the kernel must accept those
		// for the close to be detected.
		if tcp, ok := c.Conn.(*net.TCPConn); ok && limit == maxReadAhead {
			_ = tcp.SetReadBuffer(watchReceiveBuffer)
		}
		c.watchEnded(c.waitClientClose())
	}()
}

// watchEnded handles the error that ended a watch.
func (c *conn) watchEnded(err error) {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return // the server takes over reading
	}
	c.err = err
	c.onLeave()
}

// waitClientClose waits, without reading, until the client has closed its side.
func (c *conn) waitClientClose() error {
	raw, err := socket.Raw(c.Conn)
	if err != nil {
		return os.ErrDeadlineExceeded
	}
	if err := socket.WaitPeerClosed(raw); err != nil {
		return err
	}
	return io.EOF
}

// clientClosed ends the watch and reports whether it has detected that the client closed the
// connection.
func (c *conn) clientClosed() bool {
	c.endWatch()
	return c.err != nil
}

// hasLeft reports whether the client has closed the connection, as far as the system knows. While no
// watch runs, a request may have waited for memory or processor time since then.
func (c *conn) hasLeft() bool {
	if c.clientClosed() {
		return true
	}
	raw, err := socket.Raw(c.Conn)
	return err == nil && socket.PeerClosed(raw)
}

// endWatch ends the watch, so that the server can read again.
func (c *conn) endWatch() {
	if c.watchDone == nil {
		return
	}
	_ = c.Conn.SetReadDeadline(pastDeadline)
	<-c.watchDone
	c.watchDone = nil
	_ = c.SetReadDeadline(c.deadline)
}

// acquireSlot acquires a slot for the bytes just read, unless the server holds one: bytes read
// together may contain many calls.
func (c *conn) acquireSlot() {
	if c.heldSlots != nil {
		return
	}
	c.heldSlots = c.owner.unroutedSlots
	if c.routed {
		c.heldSlots = c.owner.routedSlots
	}
	c.heldSlots.acquire()
	c.heldSlots.yield()
}

// releaseSlot releases the slot, if the server holds one.
func (c *conn) releaseSlot() {
	if c.heldSlots != nil {
		c.heldSlots.release()
		c.heldSlots = nil
	}
}

// Write implements net.Conn for the server. It releases the slot because a slow client may block
// the write.
func (c *conn) Write(p []byte) (int, error) {
	c.releaseSlot()
	c.writeBegan.Store(int64(sinceStart()))
	defer c.writeBegan.Store(0)
	return c.Conn.Write(p)
}

// Read implements net.Conn for the server.
func (c *conn) Read(p []byte) (int, error) {
	c.releaseSlot()
	c.endWatch()
	if c.err != nil {
		return 0, c.err
	}
	// The answer is complete only now: a stream continues long after its handler has returned, and
	// must not be closed as idle.
	if !c.awaitNextRequest() {
		return 0, net.ErrClosed
	}
	if len(c.readAhead) > 0 {
		rest, n, at := c.readAheadArrivals.take(len(p))
		copy(p, c.readAhead[:n])
		c.owner.readAheadBudget.used.Add(-int64(n))
		c.readAheadArrivals = rest
		if c.readAhead = c.readAhead[n:]; len(c.readAhead) == 0 {
			c.readAhead, c.readAheadArrivals = nil, nil
		}
		c.acquireSlot()
		return c.arrived(n, nil, at)
	}
	n, err := c.Conn.Read(p)
	if n == 0 {
		return c.arrived(n, err, 0)
	}
	at := c.receivedAt()
	c.acquireSlot()
	return c.arrived(n, err, at)
}

// awaitNextRequest begins the wait for the next request if an answer has been sent. It returns
// false if the connection has been dropped.
func (c *conn) awaitNextRequest() bool {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	if c.phase == serving {
		c.owner.setPhase(c, waiting)
	}
	return !c.dropped
}

// arrived records the bytes that were read and their receive time. If the connection has been shut
// down meanwhile, it discards them: the client can tell by then that nothing was served.
func (c *conn) arrived(n int, err error, at time.Duration) (int, error) {
	if n > 0 {
		if !c.beginPhase(reading) {
			return 0, net.ErrClosed
		}
		c.bytesRead += int64(n)
		c.lastReceived.Store(int64(at))
	}
	if err != nil && !c.awaitNextRequest() {
		return 0, net.ErrClosed
	}
	return n, err
}

// isRestRefused reports whether the rest of the request is not awaited.
func (c *conn) isRestRefused() bool {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	return c.restRefused
}

// minRequestSize is the size of the shortest request.
const minRequestSize = len("GET / HTTP/1.1\n\n")

// handled records a request that the server has read. Its size may be a few bytes too small; below
// 0 it is unknown.
func (c *conn) handled(size int) {
	if size < 0 {
		c.bytesHandled = c.bytesRead
		return
	}
	c.bytesHandled += int64(size)
}

// isLastAnswer reports whether the answer that begins may be the connection's last: nothing has
// been read of further requests, nor will be. A client whose request was read could not tell that
// it was not served.
func (c *conn) isLastAnswer() bool {
	watched := c.watchDone != nil
	c.endWatch()
	last := len(c.readAhead) == 0 && c.bytesRead-c.bytesHandled < int64(minRequestSize)
	if watched && c.err == nil {
		limit := maxReadAhead
		if last {
			limit = 0
		}
		c.startWatch(limit)
	}
	return last
}

// SetReadDeadline implements net.Conn for the server.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.deadline = t
	if c.watchDone != nil {
		return nil // set when the watch ends
	}
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	if c.dropped || c.restRefused {
		return nil // the connection is ending
	}
	return c.Conn.SetReadDeadline(t)
}
