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

func TestIsRecognizesSystemAndCallerErrors(t *testing.T) {
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
	require.False(t, Is(errors.New("not a system error")))
}

func TestPausesOfRetryWithBackoffGrow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const first, longest = 100 * time.Millisecond, time.Second
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		permanent := errors.New("permanent")
		var calls []time.Time
		err := RetryWithBackoff(ctx, first, longest, nil, func() error {
			calls = append(calls, time.Now())
			return permanent
		})
		require.Equal(t, permanent, err)
		require.LessOrEqual(t, calls[1].Sub(calls[0]), first*3/2)
		n := len(calls)
		require.GreaterOrEqual(t, calls[n-1].Sub(calls[n-2]), longest/2)
		for i := 1; i < n; i++ {
			require.LessOrEqual(t, calls[i].Sub(calls[i-1]), longest*3/2)
		}
	})
}

func TestRetryEndsOnSuccessPermanentErrorOrTimeout(t *testing.T) {
	temporary, permanent := errors.New("temporary"), errors.New("permanent")
	for name, c := range map[string]struct {
		errs      []error // of successive calls; the last one repeats
		retryable func(error) bool
		calls     int
		want      error
	}{
		"success at once":       {errs: []error{nil}, calls: 1},
		"success after retries": {errs: []error{temporary, temporary, nil}, calls: 3},
		"permanent error":       {errs: []error{temporary, permanent}, retryable: func(err error) bool { return errors.Is(err, temporary) }, calls: 2, want: permanent},
		"timeout":               {errs: []error{temporary}, calls: 11, want: temporary},
		"all errors retryable":  {errs: []error{permanent, nil}, calls: 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second+time.Millisecond)
				defer cancel()
				calls := 0
				err := Retry(ctx, time.Second, c.retryable, func() error {
					calls++
					return c.errs[min(calls, len(c.errs))-1]
				})
				require.Equal(t, c.want, err)
				require.Equal(t, c.calls, calls)
			})
		})
	}
}
