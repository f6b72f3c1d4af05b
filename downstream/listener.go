// Package downstream serves clients over HTTP/1.1 with fasthttp's server, and
// adds what that server lacks: it notices a client that leaves while its request
// is being handled, knows when a request's last byte came, and closes idle
// connections in good order at the end.
package downstream

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// listener hands out connections that can be watched.
type listener struct {
	net.Listener
	mu    sync.Mutex
	conns map[*conn]bool
}

func (l *listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: nc, home: l}
	c.idle.Store(true)
	l.mu.Lock()
	l.conns[c] = true
	l.mu.Unlock()
	return c, nil
}

// count is the number of client connections.
func (l *listener) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// closeIdle closes the connections that are between requests. A request that
// crosses this is sent again by its client, on a new connection.
func (l *listener) closeIdle() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if c.idle.Load() {
			_ = c.Conn.Close()
		}
	}
}

// conn is a client's connection. The server reads it between requests; while
// one is handled, the watch reads it to see the client leave.
type conn struct {
	net.Conn
	home     *listener
	idle     atomic.Bool  // nothing of a next request has come, and the last one is answered
	called   bool         // a request has been handled since the server last read
	lastRead atomic.Int64 // when the latest bytes came, in Unix nanoseconds
	deadline time.Time    // the server's own
	watching chan struct{}
	byte1    []byte // read by the watch, for the server
	err      error  // met by the watch, for the server
	linger   bool   // it is closed with something of a request unread
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
	if c.called {
		// Only now is the answer out: a stream goes on long after its handler has
		// returned, and must not be closed as idle.
		c.called = false
		c.idle.Store(true)
	}
	c.endWatch()
	if c.err != nil {
		return 0, c.err
	}
	if len(c.byte1) > 0 {
		n := copy(p, c.byte1)
		c.byte1 = c.byte1[n:]
		c.arrived()
		return n, nil
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.arrived()
	}
	return n, err
}

func (c *conn) arrived() {
	c.idle.Store(false)
	c.lastRead.Store(time.Now().UnixNano())
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
	c.home.mu.Lock()
	delete(c.home.conns, c)
	c.home.mu.Unlock()
	if tcp, ok := c.Conn.(*net.TCPConn); ok && c.linger {
		go discard(tcp)
		return nil
	}
	return c.Conn.Close()
}

const (
	discardFor  = 500 * time.Millisecond
	discardMost = 4 << 20
)

// discard reads what the client still sends before it closes. Closed at once, the
// connection would be reset, and the answer lost before the client has read it.
func discard(c *net.TCPConn) {
	defer c.Close()
	if c.CloseWrite() != nil || c.SetReadDeadline(time.Now().Add(discardFor)) != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, c, discardMost)
}
