package transient

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

func TestWhatPassesIsWhatTheSystemLacksAndWhatTheCallerNames(t *testing.T) {
	wrapped := func(errno syscall.Errno) error {
		return fmt.Errorf("listen: %w", &net.OpError{Op: "listen", Err: os.NewSyscallError("socket", errno)})
	}
	for _, errno := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOMEM, syscall.EAGAIN} {
		require.True(t, Is(wrapped(errno)), errno.Error())
	}
	for _, errno := range []syscall.Errno{syscall.EACCES, syscall.ENOENT, syscall.EIO} {
		require.False(t, Is(wrapped(errno)), errno.Error())
		require.True(t, Is(wrapped(errno), syscall.EINTR, errno), errno.Error())
	}
	require.False(t, Is(nil))
	require.False(t, Is(errors.New("nothing of the system's")))
}

func TestRetryEndsWithTheCallTheErrorOrItsTime(t *testing.T) {
	passing, final := errors.New("passes"), errors.New("final")
	for name, c := range map[string]struct {
		errs   []error // of the calls in turn; the last one's stays
		passes func(error) bool
		calls  int
		want   error
	}{
		"at once":         {errs: []error{nil}, calls: 1},
		"after a while":   {errs: []error{passing, passing, nil}, calls: 3},
		"a final error":   {errs: []error{passing, final}, passes: func(err error) bool { return errors.Is(err, passing) }, calls: 2, want: final},
		"its time is up":  {errs: []error{passing}, calls: 11, want: passing},
		"all errors pass": {errs: []error{final, nil}, calls: 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second+time.Millisecond)
				defer cancel()
				calls := 0
				err := Retry(ctx, time.Second, c.passes, func() error {
					calls++
					return c.errs[min(calls, len(c.errs))-1]
				})
				require.Equal(t, c.want, err)
				require.Equal(t, c.calls, calls)
			})
		})
	}
}
