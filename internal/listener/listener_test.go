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

// failing fails its first accepts with the given errors, and has no connection after that.
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

func TestResilientGoesOnUntilTheListenerIsOfNoUse(t *testing.T) {
	for _, passing := range []syscall.Errno{syscall.ENOBUFS, syscall.ENOMEM, syscall.EPROTO, syscall.EOPNOTSUPP, syscall.EPERM} {
		told := 0
		l := Resilient(&failing{errs: []error{passing, passing}}, func(error) { told++ })
		_, err := l.Accept()
		require.NoError(t, err)
		require.Equal(t, 2, told)
	}
	for _, over := range []error{net.ErrClosed, syscall.EBADF, syscall.EINVAL} {
		_, err := Resilient(&failing{errs: []error{syscall.EMFILE, over}}, nil).Accept()
		require.ErrorIs(t, err, over)
	}
	require.True(t, LacksDescriptor(fmt.Errorf("accept: %w", syscall.ENFILE)))
	require.False(t, LacksDescriptor(syscall.ENOBUFS))
}

func TestOpenGoesOnUntilItIsOfNoUse(t *testing.T) {
	for _, c := range []struct {
		passing int
		then    error
	}{{3, nil}, {2, syscall.EACCES}, {0, syscall.EINVAL}} {
		tries, told := 0, 0
		_, err := Open(t.Context(), func() (net.Listener, error) {
			if tries++; tries <= c.passing {
				return nil, &net.OpError{Op: "listen", Err: os.NewSyscallError("socket", syscall.ENOBUFS)}
			}
			return nil, c.then
		}, func(error) { told++ })
		require.ErrorIs(t, err, c.then)
		require.Equal(t, c.passing+1, tries)
		require.Equal(t, min(c.passing, 1), told)
	}
	ctx, cancel := context.WithCancel(t.Context())
	_, err := Open(ctx, func() (net.Listener, error) { return nil, syscall.EADDRINUSE }, func(error) { cancel() })
	require.ErrorIs(t, err, syscall.EADDRINUSE, "who is told to end waits for nothing")
}
