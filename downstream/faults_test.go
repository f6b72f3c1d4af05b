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

// short is a listener whose next accept fails where it is told so.
type short struct {
	net.Listener
	errno atomic.Int64
	met   chan struct{}
}

func (s *short) Accept() (net.Conn, error) {
	c, err := s.Listener.Accept()
	if errno := syscall.Errno(s.errno.Swap(0)); errno != 0 {
		_ = c.Close()
		close(s.met)
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", errno)}
	}
	return c, err
}

// Where a descriptor lacks for a moment, a request that has just begun to come is waited for: refused, it would pay for what
// is nobody's fault, and what is short may not even be this process's.
func TestARequestThatHasJustBegunOutlivesTheLackOfADescriptor(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE} {
		inner, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		l := &short{Listener: inner, met: make(chan struct{})}
		counters := &metrics.Set{}
		s := NewServer(l, Config{MaxConns: most, Counters: counters, Problem: TextProblem, Handler: func(*Call) {}})
		go func() { _ = s.Serve() }()
		c, err := net.Dial("tcp", inner.Addr().String())
		require.NoError(t, err)
		_, err = io.WriteString(c, "GET / HTTP/1.1\r\n")
		require.NoError(t, err)
		require.Eventually(t, func() bool { return s.reading() == 1 }, atLast, goneFor/100, "half a head has come")
		l.errno.Store(int64(errno))
		other, err := net.Dial("tcp", inner.Addr().String())
		require.NoError(t, err)
		<-l.met
		require.Eventually(t, func() bool { return counters.Get("connections_without_a_descriptor") == 1 }, atLast, goneFor/100)
		_, err = io.WriteString(c, "Host: x\r\n\r\n")
		require.NoError(t, err)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, resp.StatusCode, errno.Error())
		_, _, _ = c.Close(), other.Close(), inner.Close()
	}
}

// reading is how many connections have half a request.
func (s *Server) reading() (n int) {
	s.listener.mu.Lock()
	defer s.listener.mu.Unlock()
	for c := range s.listener.conns.all() {
		if c.phase == reading {
			n++
		}
	}
	return n
}

// breaking is a connection whose reads fail by an error once it is told so.
type breaking struct {
	*net.TCPConn
	errno *atomic.Int64
}

func (b breaking) Read(p []byte) (int, error) {
	n, err := b.TCPConn.Read(p)
	if errno := syscall.Errno(b.errno.Load()); errno != 0 && n > 0 {
		return 0, &net.OpError{Op: "read", Err: os.NewSyscallError("read", errno)}
	}
	return n, err
}

// brittle is a listener of such connections.
type brittle struct {
	net.Listener
	errno atomic.Int64
}

func (b *brittle) Accept() (net.Conn, error) {
	c, err := b.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return breaking{c.(*net.TCPConn), &b.errno}, nil
}

// A client's connection may break by any of the errors that Linux documents for it: its request has nobody who waits then.
func TestAConnectionThatBreaksIsAClientThatHasGone(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.ECONNRESET, syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ENETUNREACH, syscall.ENETDOWN, syscall.EPIPE} {
		t.Run(errno.Error(), func(t *testing.T) {
			inner, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			l := &brittle{Listener: inner}
			began, left, goOn := make(chan struct{}), make(chan struct{}), make(chan struct{})
			s := NewServer(l, Config{MaxConns: most, MaxBytes: 1 << 20, Counters: &metrics.Set{}, Problem: TextProblem, Handler: func(c *Call) {
				c.conn.watch(func() { close(left) })
				close(began)
				<-goOn
			}})
			go func() { _ = s.Serve() }()
			c, err := net.Dial("tcp", inner.Addr().String())
			require.NoError(t, err)
			defer func() { close(goOn); _, _ = c.Close(), inner.Close() }()
			_, err = io.WriteString(c, get)
			require.NoError(t, err)
			<-began
			l.errno.Store(int64(errno))
			_, err = io.WriteString(c, "G") // the read returns
			require.NoError(t, err)
			select {
			case <-left:
			case <-time.After(goneFor + time.Second):
				t.Fatal("the client was not seen to leave")
			}
		})
	}
}
