package listener

import (
	"context"
	"fmt"
	"net"
	"os"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// failing returns the given errors from its first accepts, and no connection after that.
type failing struct {
	net.Listener
	errs []error
}

func (f *failing) Accept() (net.Conn, error) {
	if len(f.errs) == 0 {
		return nil, nil
	}
	err := f.errs[0]
	f.errs = f.errs[1:]
	return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", err)}
}

func TestResilientRetriesUntilPermanentError(t *testing.T) {
	for _, temporary := range []syscall.Errno{syscall.ENOBUFS, syscall.ENOMEM, syscall.EPROTO, syscall.EOPNOTSUPP, syscall.EPERM} {
		reported := 0
		l := Resilient(&failing{errs: []error{temporary, temporary}}, func(error) { reported++ })
		_, err := l.Accept()
		require.NoError(t, err)
		require.Equal(t, 2, reported)
	}
	for _, permanent := range []error{net.ErrClosed, syscall.EBADF, syscall.EINVAL} {
		_, err := Resilient(&failing{errs: []error{syscall.EMFILE, permanent}}, nil).Accept()
		require.ErrorIs(t, err, permanent)
	}
	require.True(t, OutOfDescriptors(fmt.Errorf("accept: %w", syscall.ENFILE)))
	require.False(t, OutOfDescriptors(syscall.ENOBUFS))
}

func TestOpenRetriesTemporaryErrors(t *testing.T) {
	for _, c := range []struct {
		temporary int
		then      error
	}{{3, nil}, {2, syscall.EACCES}, {0, syscall.EINVAL}} {
		attempts, reported := 0, 0
		_, err := Open(t.Context(), func() (net.Listener, error) {
			if attempts++; attempts <= c.temporary {
				return nil, &net.OpError{Op: "listen", Err: os.NewSyscallError("socket", syscall.ENOBUFS)}
			}
			return nil, c.then
		}, func(error) { reported++ })
		require.ErrorIs(t, err, c.then)
		require.Equal(t, c.temporary+1, attempts)
		require.Equal(t, min(c.temporary, 1), reported)
	}
	ctx, cancel := context.WithCancel(t.Context())
	_, err := Open(ctx, func() (net.Listener, error) { return nil, syscall.EADDRINUSE }, func(error) { cancel() })
	require.ErrorIs(t, err, syscall.EADDRINUSE, "Open must return when its context is cancelled")
}
