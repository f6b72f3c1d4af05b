// Package deaf simulates a machine to which no connection can be established: the accept queue of
// its listener is full, and no connection is accepted until Accept is called.
package deaf

import (
	"fmt"
	"net"
	"os"
	"syscall"
	"time"
)

// dialTimeout bounds a connection attempt; one that takes longer shows that the queue is full.
const dialTimeout = 100 * time.Millisecond

// Listener is a listener with a full accept queue. Its methods are safe for concurrent use.
type Listener struct {
	fd     int
	addr   string
	queued []net.Conn
}

// Listen listens on a free port of 127.0.0.1 and fills the queue.
func Listen() (*Listener, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("deaf listener: %w", err)
	}
	l := &Listener{fd: fd}
	if err := l.fill(); err != nil {
		l.Close()
		return nil, fmt.Errorf("deaf listener: %w", err)
	}
	return l, nil
}

func (l *Listener) fill() error {
	if err := syscall.Bind(l.fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return err
	}
	if err := syscall.Listen(l.fd, 0); err != nil {
		return err
	}
	name, err := syscall.Getsockname(l.fd)
	if err != nil {
		return err
	}
	l.addr = fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port)
	for {
		c, err := net.DialTimeout("tcp", l.addr, dialTimeout)
		if err != nil {
			return nil
		}
		l.queued = append(l.queued, c)
	}
}

// Addr returns the address as host:port.
func (l *Listener) Addr() string { return l.addr }

// Accept removes the oldest connection from the queue, beginning with those that Listen has filled
// it with, so that another connection can be established. It blocks while the queue is empty and
// fails once the listener is closed.
func (l *Listener) Accept() (net.Conn, error) {
	fd, _, err := syscall.Accept(l.fd)
	if err != nil {
		return nil, fmt.Errorf("accept: %w", err)
	}
	f := os.NewFile(uintptr(fd), "accepted")
	defer f.Close()
	return net.FileConn(f)
}

// Close closes the listener and the connections with which Listen has filled its queue.
func (l *Listener) Close() {
	_ = syscall.Shutdown(l.fd, syscall.SHUT_RDWR)
	_ = syscall.Close(l.fd)
	for _, c := range l.queued {
		_ = c.Close()
	}
}
