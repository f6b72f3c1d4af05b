package downstream

import (
	"io"
	"net"
	"time"
)

// Close implements net.Conn. Unless its client has gone, the connection is shut first and closed when
// its client has closed it, or after a moment: closed at once, it would be reset by what comes just then,
// and the answer lost before the client has read it.
func (c *conn) Close() error {
	c.endTurn()
	c.endWatch()
	c.home.ahead.used.Add(-int64(len(c.ahead)))
	c.ahead, c.came = nil, nil
	tcp, ok := c.Conn.(*net.TCPConn)
	c.home.mu.Lock()
	defer c.home.mu.Unlock()
	if !c.home.conns.has(c) || !ok || c.err != nil {
		c.home.conns.remove(c)
		return c.Conn.Close()
	}
	c.ending = true
	c.home.become(c, lingering)
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
	for c := range l.conns.all() {
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
		c.home.conns.remove(c)
		_ = tcp.Close()
	}()
	if tcp.CloseWrite() != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, tcp, discardMost)
}
