// Package deaf plays a machine to which connections never come up: its listener's queue is full, and nothing is accepted
// until Accept is called.
package deaf

import (
	"fmt"
	"net"
	"os"
	"syscall"
	"time"
)

// fullAfter is how long the connection may take that shows the queue to be full.
const fullAfter = 100 * time.Millisecond

// Listener is such a machine's. Its methods may be called from any goroutine.
type Listener struct {
	fd      int
	addr    string
	filling []net.Conn
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
		c, err := net.DialTimeout("tcp", l.addr, fullAfter)
		if err != nil {
			return nil
		}
		l.filling = append(l.filling, c)
	}
}

// Addr is the address, host and port.
func (l *Listener) Addr() string { return l.addr }

// Accept takes the next connection from the queue, those that filled it first, so that another may come up. It waits
// for one, and fails once the listener is closed.
func (l *Listener) Accept() (net.Conn, error) {
	fd, _, err := syscall.Accept(l.fd)
	if err != nil {
		return nil, fmt.Errorf("accept: %w", err)
	}
	f := os.NewFile(uintptr(fd), "accepted")
	defer f.Close()
	return net.FileConn(f)
}

// Close ends the listener and the connections that filled its queue.
func (l *Listener) Close() {
	_ = syscall.Shutdown(l.fd, syscall.SHUT_RDWR)
	_ = syscall.Close(l.fd)
	for _, c := range l.filling {
		_ = c.Close()
	}
}
