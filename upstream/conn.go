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
	br        *bufio.Reader
	reused    bool
	idleSince time.Time     // when it became idle
	lastIdle  time.Duration // how long it was idle before its latest use
	writtenAt time.Time     // when writing the latest request ended
	idleTimer *time.Timer   // closes it while idle, well before the worker does so
	pool      *pool
	ended     chan struct{} // closed when the connection is closed
	once      sync.Once
}

// port returns the local port, by which log records of both ends can be matched.
func (c *conn) port() int {
	if a, ok := c.LocalAddr().(*net.TCPAddr); ok {
		return a.Port
	}
	return 0
}

// Close closes the connection and frees its slot in the pool. It may be called more than once.
func (c *conn) Close() (err error) {
	c.once.Do(func() { err = c.close() })
	return err
}

func (c *conn) close() error {
	c.dropUnacknowledged(0)
	err := c.TCPConn.Close()
	c.pool.releaseSlot()
	close(c.ended)
	return err
}

// maxShutdownWait bounds the time that a worker has to notice that an attempt was aborted: what
// follows must still be within the request's time (answerMargin in package router).
const maxShutdownWait = 10 * time.Millisecond

// finOctet is the FIN's share of the unacknowledged bytes: it uses up one sequence number.
const finOctet = 1

// shutdown closes a connection that has a request in flight: it closes the sending side, which
// notifies the worker that the attempt was aborted, and closes the connection when the worker has
// closed its side as well, or after maxShutdownWait. The returned channel is closed then. How long
// the worker takes can't be predicted: it is often longer than opening the connection took
// (docs/measurements/crossings.md).
func (c *conn) shutdown() (closed <-chan struct{}) {
	c.once.Do(func() {
		if c.TCPConn.CloseWrite() != nil { // the connection is broken already
			_ = c.close()
			return
		}
		bound := time.AfterFunc(c.pool.shutdownWait, func() {
			c.dropUnacknowledged(finOctet)
			_ = c.TCPConn.Close()
		})
		go func() {
			// A read deadline that is set, or that a reader sets meanwhile, is not meant for this
			// wait.
			err := os.ErrDeadlineExceeded
			for errors.Is(err, os.ErrDeadlineExceeded) {
				_ = c.SetReadDeadline(time.Time{})
				err = c.waitPeerClosed()
			}
			bound.Stop()
			_ = c.close()
		}()
	})
	return c.ended
}

// dropUnacknowledged makes the kernel discard unacknowledged bytes when the connection is closed,
// if there are more than the tolerated number. If they stayed in the send queue, they would be
// retransmitted and arrive when the peer is reachable again: long after another worker has
// processed the request, its client has left, or the state held for it has been released.
func (c *conn) dropUnacknowledged(tolerated int) {
	if unacknowledgedBytes(c) > tolerated {
		_ = c.TCPConn.SetLinger(0)
	}
}

// abandon closes a connection on which reading an answer failed: at once if the peer has closed it,
// otherwise by shutdown.
func (c *conn) abandon(err error) {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) {
		_ = c.Close()
		return
	}
	c.shutdown()
}

// waitPeerClosed waits until the peer has closed its side. Another goroutine may read meanwhile.
func (c *conn) waitPeerClosed() error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	return socket.WaitPeerClosed(raw)
}

// alive reports, without waiting, whether an idle connection is usable: the worker has neither
// closed it nor sent unrequested bytes.
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

// staleWithin is the time within which a request fails if it is written to a connection that the
// worker had dropped.
const staleWithin = 50 * time.Millisecond

// isStale reports whether the latest request was written to a connection that the worker had
// dropped while it was idle. Such a failure says nothing about the worker's health.
func (c *conn) isStale() bool { return c.reused && time.Since(c.writtenAt) < staleWithin }
