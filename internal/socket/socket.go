// Package socket inspects open connections without reading from them. A call that a signal
// interrupts (EINTR), or that fails for lack of memory (ENOMEM), is repeated: taken as a result, it
// would lose an event that is not reported twice, or report one that did not occur.
package socket

import (
	"errors"
	"io"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Raw returns the raw connection of a connection or listener, or an error if it has none.
func Raw(of any) (syscall.RawConn, error) {
	c, ok := of.(syscall.Conn)
	if !ok {
		return nil, syscall.ENOTSUP
	}
	return c.SyscallConn()
}

// PeerClosed reports, without waiting or reading, whether the peer has closed its side or reset the
// connection, even if bytes that it sent before are unread.
func PeerClosed(raw syscall.RawConn) (closed bool) {
	err := raw.Control(func(fd uintptr) {
		events, perr := poll(fd, unix.POLLRDHUP)
		closed = perr == nil && isPeerClosed(events)
	})
	return err != nil || closed
}

func isPeerClosed(events int16) bool {
	return events&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

// WaitPeerClosed waits, without reading, until the peer has closed its side or reset the
// connection. It fails with the read deadline's error, or if the connection is closed locally.
func WaitPeerClosed(raw syscall.RawConn) error {
	return raw.Read(func(fd uintptr) bool {
		events, err := poll(fd, unix.POLLRDHUP)
		return err == nil && isPeerClosed(events)
	})
}

// WaitReadable waits, without reading, until received bytes can be read. It returns io.EOF at the
// end of the peer's data, and fails with the read deadline's error, or if the connection is reset or
// closed locally.
func WaitReadable(raw syscall.RawConn) (err error) {
	var n int
	werr := raw.Read(func(fd uintptr) bool {
		n, err = peek(fd)
		return !errors.Is(err, syscall.EAGAIN)
	})
	switch {
	case werr != nil:
		return werr
	case err == nil && n == 0:
		return io.EOF
	}
	return err
}

// Pending returns, without waiting or reading, how many received bytes are unread, 1 at most. At
// the end of the peer's data it returns 0 and no error; if nothing was received, EAGAIN.
func Pending(raw syscall.RawConn) (n int, err error) {
	if cerr := raw.Control(func(fd uintptr) { n, err = peek(fd) }); cerr != nil {
		return 0, cerr
	}
	return n, err
}

// Unacknowledged returns how many of the bytes written to a connection the peer's system has not
// acknowledged.
func Unacknowledged(raw syscall.RawConn) (n int, err error) {
	if cerr := raw.Control(func(fd uintptr) { n, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) }); cerr != nil {
		return 0, cerr
	}
	return n, err
}

// SinceReceived returns the time since the last bytes were received on a TCP connection, in the
// resolution of the system's clock ticks. If nothing was received, it returns the time since the
// connection was established.
func SinceReceived(raw syscall.RawConn) (age time.Duration, err error) {
	cerr := raw.Control(func(fd uintptr) {
		var info *unix.TCPInfo
		if info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			age = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	if cerr != nil {
		return 0, cerr
	}
	return age, err
}

// Queued reports whether connections are waiting in a listener's accept queue.
func Queued(raw syscall.RawConn) bool {
	var events int16
	var err error
	if cerr := raw.Control(func(fd uintptr) { events, err = poll(fd, unix.POLLIN) }); cerr != nil {
		return false
	}
	return err == nil && events != 0
}

// noMemoryRetryDelay is the pause after a poll that failed for lack of memory.
const noMemoryRetryDelay = time.Millisecond

// poll returns, without waiting, which of the given events have occurred.
func poll(fd uintptr, events int16) (int16, error) {
	fds := []unix.PollFd{{Fd: int32(fd), Events: events}}
	for {
		n, err := unix.Poll(fds, 0)
		switch {
		case errors.Is(err, unix.EINTR):
		case errors.Is(err, unix.ENOMEM), errors.Is(err, unix.EAGAIN):
			time.Sleep(noMemoryRetryDelay)
		case err != nil || n == 0:
			return 0, err
		default:
			return fds[0].Revents, nil
		}
	}
}

func peek(fd uintptr) (n int, err error) {
	var b [1]byte
	for {
		n, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if !errors.Is(err, syscall.EINTR) {
			return max(n, 0), err
		}
	}
}
