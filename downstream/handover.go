package downstream

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"lichenshelf/internal/socket"
)

// Listen opens a client address with SO_REUSEPORT: in an upgrade both processes
// take clients there, and the kernel deals new connections out between them. Connections are accepted without keep-alive probes,
// which cost four system calls each: every wait for a client has a timer of its own.
func Listen(addr string) (net.Listener, error) {
	shared := net.ListenConfig{KeepAlive: -1, Control: func(_, _ string, raw syscall.RawConn) error {
		return onSocket(raw, func(fd int) error {
			return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
		})
	}}
	shared.SetMultipathTCP(false) // Go's default, whose sockets take no program
	return shared.Listen(context.Background(), "tcp", addr)
}

// handOver has the kernel deal new connections to the process that began to listen
// at the address after this one, if there is one. The sockets of a group stand in
// the order in which they began; the program names the second, and where there is
// none the kernel goes by its hash, as without a program. It goes when the group does.
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

// emptyWait bounds the wait for a listener's queue to be empty.
const emptyWait = 250 * time.Millisecond

// closeEmpty closes a listener that is being accepted from, at an instant when no
// connection waits in its queue: one that does would be reset unread. While the
// queue does not empty within emptyWait, it is closed all the same.
func closeEmpty(l net.Listener) error {
	if raw, err := socket.Raw(l); err == nil {
		for until := time.Now().Add(emptyWait); socket.Queued(raw) && time.Now().Before(until); {
			time.Sleep(time.Millisecond)
		}
	}
	return l.Close()
}

// onSocket runs f on the descriptor and returns its error.
func onSocket(raw syscall.RawConn, f func(fd int) error) error {
	var err error
	if cerr := raw.Control(func(fd uintptr) { err = f(int(fd)) }); cerr != nil {
		return cerr
	}
	return err
}
