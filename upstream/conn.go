package upstream

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"lichenshelf/internal/socket"
)

// conn is a connection to a worker, used by one goroutine at a time.
type conn struct {
	*net.TCPConn
	br     *bufio.Reader
	reused bool
	kept   time.Time     // since when it is idle
	idled  time.Duration // before its latest use
	wrote  time.Time     // when the latest request had been written
	retire *time.Timer   // closes it while idle, well before the worker does
	pool   *pool
	ended  chan struct{} // closed when it is
	once   sync.Once
}

// port is the connection's at this end, by which records of both ends can be matched.
func (c *conn) port() int {
	if a, ok := c.LocalAddr().(*net.TCPAddr); ok {
		return a.Port
	}
	return 0
}

// Close closes the connection and gives its place back. It may be called again.
func (c *conn) Close() (err error) {
	c.once.Do(func() { err = c.close() })
	return err
}

func (c *conn) close() error {
	c.dropUnconfirmed(0)
	err := c.TCPConn.Close()
	c.pool.closed()
	close(c.ended)
	return err
}

// mostLearning bounds the time that is left to a worker to learn that an attempt was given up: what follows
// must still be within a request's time (router's answerMargin).
const mostLearning = 10 * time.Millisecond

// finOctet is what the end of the sending counts among the bytes that are not confirmed.
const finOctet = 1

// end is Close for a connection that has a request out: it ends the sending, by which a worker learns that the attempt is
// given up, and closes when the worker has ended its side as well, or after mostLearning. The channel is closed then. How long
// that takes can't be foretold: the time in which the connection came up is often less (docs/measurements/crossings.md).
func (c *conn) end() (known <-chan struct{}) {
	c.once.Do(func() {
		if c.TCPConn.CloseWrite() != nil { // it has broken
			_ = c.close()
			return
		}
		bound := time.AfterFunc(c.pool.learning, func() {
			c.dropUnconfirmed(finOctet)
			_ = c.TCPConn.Close()
		})
		go func() {
			err := os.ErrDeadlineExceeded // one that is set, or set by who reads, is not meant for this
			for errors.Is(err, os.ErrDeadlineExceeded) {
				_ = c.SetReadDeadline(time.Time{})
				err = c.hungUp()
			}
			bound.Stop()
			_ = c.close()
		}()
	})
	return c.ended
}

// dropUnconfirmed has the system drop, at the close, what the other end's system has not confirmed, if that is more than so many
// bytes. Left in the system's queue it would be sent again, and arrive when the other end is back: long after others have taken
// the request on, its client has gone, or what was held for it has been let go of.
func (c *conn) dropUnconfirmed(most int) {
	if unconfirmed(c) > most {
		_ = c.TCPConn.SetLinger(0)
	}
}

// abandon ends a connection on which reading an answer failed, at once where the other end has ended it.
func (c *conn) abandon(err error) {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) {
		_ = c.Close()
		return
	}
	c.end()
}

// hungUp waits, beside who reads, until the other end has ended its side.
func (c *conn) hungUp() error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	return socket.WaitHungUp(raw)
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
	_, err = socket.Pending(raw)
	return errors.Is(err, syscall.EAGAIN)
}

// staleWithin is how soon a request breaks off that met a connection which its
// worker had dropped.
const staleWithin = 50 * time.Millisecond

// stale tells whether a request met a connection that its worker had dropped while
// it was idle. That says nothing of the worker.
func (c *conn) stale() bool { return c.reused && time.Since(c.wrote) < staleWithin }
