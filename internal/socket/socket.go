// Package socket looks at open connections beside whoever reads them. A look that a signal interrupts (EINTR), or that finds no
// memory (ENOMEM), is made again: taken for an answer, it would lose an event that does not come twice, or find one that is none.
package socket

import (
	"errors"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Raw returns what of a connection or listener can be looked at; an error means that it can't be.
func Raw(of any) (syscall.RawConn, error) {
	c, ok := of.(syscall.Conn)
	if !ok {
		return nil, syscall.ENOTSUP
	}
	return c.SyscallConn()
}

// WaitHungUp waits, without reading, until the other end has closed its side or broken the connection. It fails with the read
// deadline's error, or when the connection is closed here.
func WaitHungUp(raw syscall.RawConn) error {
	return raw.Read(func(fd uintptr) bool {
		events, err := poll(fd, unix.POLLRDHUP)
		return err == nil && events&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
}

// Pending tells, without waiting or reading, how many of the first bytes have come that nobody has read, 1 at most. At the end
// of what the other end sends it is 0 and no error; where nothing has come, EAGAIN.
func Pending(raw syscall.RawConn) (n int, err error) {
	if cerr := raw.Control(func(fd uintptr) { n, err = peek(fd) }); cerr != nil {
		return 0, cerr
	}
	return n, err
}

// Unacknowledged tells how many of the bytes that were written to a connection the other end's system has not confirmed.
func Unacknowledged(raw syscall.RawConn) (n int, err error) {
	if cerr := raw.Control(func(fd uintptr) { n, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) }); cerr != nil {
		return 0, cerr
	}
	return n, err
}

// SinceReceived is how long ago the last bytes came that were received on a TCP connection, by the system's clock ticks; for a
// connection on which nothing has come, how long ago it was made.
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

// Queued tells whether connections wait at a listener to be accepted.
func Queued(raw syscall.RawConn) bool {
	var events int16
	var err error
	if cerr := raw.Control(func(fd uintptr) { events, err = poll(fd, unix.POLLIN) }); cerr != nil {
		return false
	}
	return err == nil && events != 0
}

// memoryAfter is the pause after a look that found no memory.
const memoryAfter = time.Millisecond

// poll asks, without waiting, which of the events there are.
func poll(fd uintptr, events int16) (int16, error) {
	look := []unix.PollFd{{Fd: int32(fd), Events: events}}
	for {
		n, err := unix.Poll(look, 0)
		switch {
		case errors.Is(err, unix.EINTR):
		case errors.Is(err, unix.ENOMEM), errors.Is(err, unix.EAGAIN):
			time.Sleep(memoryAfter)
		case err != nil || n == 0:
			return 0, err
		default:
			return look[0].Revents, nil
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
