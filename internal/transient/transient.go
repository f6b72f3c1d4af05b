// Package transient recognizes temporary errors of system calls and retries calls that fail with
// them.
package transient

import (
	"context"
	"errors"
	"slices"
	"syscall"
	"time"
)

// resourceErrors are the errors by which any system call reports a temporary shortage: of
// descriptors or memory, or that a non-blocking call would have to wait.
var resourceErrors = []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOMEM, syscall.EAGAIN}

// Is reports whether an error is a temporary shortage of the system, or one of those given by the
// caller: which other errors are temporary differs from call to call.
func Is(err error, also ...syscall.Errno) bool {
	same := func(e error) bool { return errors.Is(err, e) }
	return slices.ContainsFunc(resourceErrors, same) || slices.ContainsFunc(also, func(e syscall.Errno) bool { return same(e) })
}

// Retry calls do, with a pause of interval between calls, until it succeeds, fails with an error
// that is not retryable, or ctx ends. It returns the last error of do. If retryable is nil, all
// errors are retried.
func Retry(ctx context.Context, interval time.Duration, retryable func(error) bool, do func() error) error {
	return retry(ctx, func() time.Duration { return interval }, retryable, do)
}

// RetryWithBackoff is like Retry, with the pauses of NewBackoff.
func RetryWithBackoff(ctx context.Context, first, longest time.Duration, retryable func(error) bool, do func() error) error {
	return retry(ctx, NewBackoff(first, longest).NextBackOff, retryable, do)
}

func retry(ctx context.Context, nextPause func() time.Duration, retryable func(error) bool, do func() error) error {
	for {
		err := do()
		if err == nil || retryable != nil && !retryable(err) {
			return err
		}
		pause := time.NewTimer(nextPause())
		select {
		case <-pause.C:
		case <-ctx.Done():
			pause.Stop()
			return err
		}
	}
}
