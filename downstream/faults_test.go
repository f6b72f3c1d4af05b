package downstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lichenshelf/metrics"
)

// failingListener is a listener whose next accept fails with errno, if it is set.
type failingListener struct {
	net.Listener
	errno  atomic.Int64
	failed chan struct{}
}

func (s *failingListener) Accept() (net.Conn, error) {
	c, err := s.Listener.Accept()
	if errno := syscall.Errno(s.errno.Swap(0)); errno != 0 {
		_ = c.Close()
		close(s.failed)
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", errno)}
	}
	return c, err
}

// If descriptors run out for a moment, a request that has just begun to arrive must not be refused:
// its client is not at fault, and the shortage may not be caused by this process.
func TestNewPartialRequestSurvivesDescriptorShortage(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE} {
		inner, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		l := &failingListener{Listener: inner, failed: make(chan struct{})}
		counters := &metrics.Set{}
		s := NewServer(l, Config{MaxConns: maxTestConns, Counters: counters, Problem: TextProblem, Handler: func(*Call) {}})
		go func() { _ = s.Serve() }()
		c, err := net.Dial("tcp", inner.Addr().String())
		require.NoError(t, err)
		_, err = io.WriteString(c, "GET / HTTP/1.1\r\n")
		require.NoError(t, err)
		require.Eventually(t, func() bool { return s.readingCount() == 1 }, testTimeout, maxLeaveDelay/100, "half a head has been received")
		l.errno.Store(int64(errno))
		other, err := net.Dial("tcp", inner.Addr().String())
		require.NoError(t, err)
		<-l.failed
		require.Eventually(t, func() bool { return counters.Get("connections_without_a_descriptor") == 1 }, testTimeout, maxLeaveDelay/100)
		_, err = io.WriteString(c, "Host: x\r\n\r\n")
		require.NoError(t, err)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, resp.StatusCode, errno.Error())
		_, _, _ = c.Close(), other.Close(), inner.Close()
	}
}

// readingCount returns the number of connections with a partial request.
func (s *Server) readingCount() (n int) {
	s.listener.mu.Lock()
	defer s.listener.mu.Unlock()
	for c := range s.listener.conns.all() {
		if c.phase == reading {
			n++
		}
	}
	return n
}

// failingConn is a connection whose reads fail with errno, once it is set.
type failingConn struct {
	*net.TCPConn
	errno *atomic.Int64
}

func (b failingConn) Read(p []byte) (int, error) {
	n, err := b.TCPConn.Read(p)
	if errno := syscall.Errno(b.errno.Load()); errno != 0 && n > 0 {
		return 0, &net.OpError{Op: "read", Err: os.NewSyscallError("read", errno)}
	}
	return n, err
}

// failingConnListener is a listener that accepts failingConns.
type failingConnListener struct {
	net.Listener
	errno atomic.Int64
}

func (b *failingConnListener) Accept() (net.Conn, error) {
	c, err := b.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return failingConn{c.(*net.TCPConn), &b.errno}, nil
}

// Any of the errors that Linux documents for a broken connection means that the client has left and
// its answer is not awaited any more.
func TestBrokenConnectionCountsAsClientLeave(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.ECONNRESET, syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ENETUNREACH, syscall.ENETDOWN, syscall.EPIPE} {
		t.Run(errno.Error(), func(t *testing.T) {
			inner, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			l := &failingConnListener{Listener: inner}
			began, left, proceed := make(chan struct{}), make(chan struct{}), make(chan struct{})
			s := NewServer(l, Config{MaxConns: maxTestConns, MaxBytes: 1 << 20, Counters: &metrics.Set{}, Problem: TextProblem, Handler: func(c *Call) {
				c.conn.watch(func() { close(left) })
				close(began)
				<-proceed
			}})
			go func() { _ = s.Serve() }()
			c, err := net.Dial("tcp", inner.Addr().String())
			require.NoError(t, err)
			defer func() { close(proceed); _, _ = c.Close(), inner.Close() }()
			_, err = io.WriteString(c, nextRequest)
			require.NoError(t, err)
			<-began
			l.errno.Store(int64(errno))
			_, err = io.WriteString(c, "G") // the read returns
			require.NoError(t, err)
			select {
			case <-left:
			case <-time.After(maxLeaveDelay + time.Second):
				t.Fatal("the client's leaving was not detected")
			}
		})
	}
}
