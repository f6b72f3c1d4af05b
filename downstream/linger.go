package downstream

import (
	"io"
	"net"
	"time"
)

// Close implements net.Conn. Unless the client has closed the connection, Close shuts down the
// sending side first, and closes the connection when the client has closed it or lingerTimeout is
// over. If it were closed at once, bytes that arrive just then would cause a reset, and the client
// could lose the answer before it has read it.
func (c *conn) Close() error {
	c.releaseSlot()
	c.endWatch()
	c.owner.readAheadBudget.used.Add(-int64(len(c.readAhead)))
	c.readAhead, c.readAheadArrivals = nil, nil
	tcp, ok := c.Conn.(*net.TCPConn)
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	if !c.owner.conns.has(c) || !ok || c.err != nil {
		c.owner.conns.remove(c)
		return c.Conn.Close()
	}
	c.ending = true
	c.owner.setPhase(c, lingering)
	c.lingerUntil(c.since.Add(c.owner.lingerTimeout))
	go c.discard(tcp)
	return nil
}

// lingerUntil bounds how long a connection that the server has finished with stays open. The
// owner's mu is held.
func (c *conn) lingerUntil(t time.Time) {
	c.lingerDeadline = t
	_ = c.Conn.SetReadDeadline(t)
}

// limitLinger bounds how long connections stay open that have been shut down, now and later. The
// listener's mu is held.
func (l *listener) limitLinger(timeout time.Duration) {
	l.lingerTimeout = timeout
	until := time.Now().Add(timeout)
	for c := range l.conns.all() {
		if c.lingerDeadline.After(until) {
			c.lingerUntil(until)
		}
	}
}

const (
	discardTimeout     = 500 * time.Millisecond
	exitDiscardTimeout = 200 * time.Millisecond // when the process is about to be killed
	maxDiscardBytes    = 4 << 20
)

// discard drops the bytes that the client sends before it closes the connection.
func (c *conn) discard(tcp *net.TCPConn) {
	defer func() {
		c.owner.mu.Lock()
		defer c.owner.mu.Unlock()
		c.owner.conns.remove(c)
		_ = tcp.Close()
	}()
	if tcp.CloseWrite() != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, tcp, maxDiscardBytes)
}
