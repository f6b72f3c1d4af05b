package downstream

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"lichenshelf/internal/socket"
)

// Listen opens a client address with SO_REUSEPORT: during an upgrade both processes accept clients
// there, and the kernel distributes new connections between them. Connections are accepted without
// keep-alive probes, which cost four system calls each; every wait for a client has its own
// time-out.
func Listen(addr string) (net.Listener, error) {
	shared := net.ListenConfig{KeepAlive: -1, Control: func(_, _ string, raw syscall.RawConn) error {
		return onSocket(raw, func(fd int) error {
			return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
		})
	}}
	// multipath TCP is Go's default, but its sockets accept no BPF program
	shared.SetMultipathTCP(false)
	return shared.Listen(context.Background(), "tcp", addr)
}

// handOver makes the kernel pass new connections to the process that began to listen at the address
// after this one, if there is one. The sockets of a reuseport group are in the order in which they
// began to listen. The BPF program selects the second; if there is none, the kernel selects by
// hash, as without a program. The program is removed with the group.
func handOver(l net.Listener) error {
	raw, err := socket.Raw(l)
	if err != nil {
		return err
	}
	second := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 1}}
	return onSocket(raw, func(fd int) error {
		return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_REUSEPORT_CBPF,
			&unix.SockFprog{Len: uint16(len(second)), Filter: &second[0]})
	})
}

// emptyQueueTimeout bounds the wait for a listener's queue to be empty.
const emptyQueueTimeout = 250 * time.Millisecond

// closeEmpty closes a listener that is being accepted from at a moment when no connection waits in
// its queue, because a waiting one would be reset unread. If the queue does not empty within
// emptyQueueTimeout, the listener is closed all the same.
func closeEmpty(l net.Listener) error {
	if raw, err := socket.Raw(l); err == nil {
		for until := time.Now().Add(emptyQueueTimeout); socket.Queued(raw) && time.Now().Before(until); {
			time.Sleep(time.Millisecond)
		}
	}
	return l.Close()
}

// onSocket runs f on the file descriptor and returns its error.
func onSocket(raw syscall.RawConn, f func(fd int) error) error {
	var err error
	if cerr := raw.Control(func(fd uintptr) { err = f(int(fd)) }); cerr != nil {
		return cerr
	}
	return err
}
