// Package listener opens listeners and keeps them open in spite of temporary errors.
//
// On Linux, accept reports temporary shortages of the machine (descriptors, memory) and errors of a
// single connection that occurred while it waited in the queue (accept(2)). A server that exits on
// such an error loses all its open requests.
package listener

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"lichenshelf/internal/transient"
)

// RetryAfter is the pause after a failed accept.
const RetryAfter = 5 * time.Millisecond

const (
	// OpenTimeout bounds the time for which Open retries: a port that stays in use must be reported
	// soon, and a start has 10 s in all.
	OpenTimeout = 5 * time.Second
	// OpenRetryInterval is the pause between the attempts of Open.
	OpenRetryInterval = 20 * time.Millisecond
)

// isTemporaryOpenError reports whether socket, bind and listen may succeed a moment later.
func isTemporaryOpenError(err error) bool {
	return transient.Is(err, syscall.EADDRINUSE, syscall.EADDRNOTAVAIL, syscall.EINTR, syscall.ENOBUFS)
}

// Open calls open until it succeeds, fails with an error that is not temporary, ctx ends, or
// OpenTimeout has passed. failed is called with the first temporary error.
func Open(ctx context.Context, open func() (net.Listener, error), failed func(error)) (net.Listener, error) {
	ctx, cancel := context.WithTimeout(ctx, OpenTimeout)
	defer cancel()
	var l net.Listener
	reported := false
	err := transient.Retry(ctx, OpenRetryInterval, isTemporaryOpenError, func() (err error) {
		l, err = open()
		if err != nil && !reported && isTemporaryOpenError(err) {
			reported = true
			failed(err)
		}
		return err
	})
	if err != nil {
		return nil, err
	}
	return l, nil
}

// permanentErrors are the errors after which the listener itself is unusable.
var permanentErrors = []error{net.ErrClosed, syscall.EBADF, syscall.EINVAL, syscall.ENOTSOCK, syscall.EFAULT}

// IsTemporary reports whether accept may succeed later on the same listener.
func IsTemporary(err error) bool {
	for _, f := range permanentErrors {
		if errors.Is(err, f) {
			return false
		}
	}
	return true
}

// OutOfDescriptors reports whether the process or the machine had no file descriptor left.
func OutOfDescriptors(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}

// Resilient returns a listener whose Accept retries after temporary errors; failed, if it is not
// nil, is called with each.
func Resilient(l net.Listener, failed func(error)) net.Listener {
	return &resilient{Listener: l, failed: failed}
}

type resilient struct {
	net.Listener
	failed func(error)
}

// Accept implements net.Listener. It fails once the listener is closed.
func (r *resilient) Accept() (net.Conn, error) {
	for {
		c, err := r.Listener.Accept()
		if err == nil || !IsTemporary(err) {
			return c, err
		}
		if r.failed != nil {
			r.failed(err)
		}
		time.Sleep(RetryAfter)
	}
}
