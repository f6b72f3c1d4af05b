// Package listener opens listeners, and keeps them open, over errors that pass by themselves.
//
// Linux reports by accept what is wrong with the machine for a moment (no descriptor, no memory) and what went wrong with
// one connection while it waited in the queue (accept(2)). A server that ends on such an error takes all that it has in hand
// with it.
package listener

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"lichenshelf/internal/transient"
)

// RetryAfter is the pause after an accept that failed.
const RetryAfter = 5 * time.Millisecond

const (
	// OpenWait bounds how long Open tries: a port that stays taken has to be told soon, and a start has 10 s in all.
	OpenWait = 5 * time.Second
	// OpenAgain is the pause between its tries.
	OpenAgain = 20 * time.Millisecond
)

// mayOpenLater tells whether socket, bind and listen may succeed a moment later.
func mayOpenLater(err error) bool {
	return transient.Is(err, syscall.EADDRINUSE, syscall.EADDRNOTAVAIL, syscall.EINTR, syscall.ENOBUFS)
}

// Open calls open until it succeeds, fails by an error that does not pass by itself, ctx ends, or OpenWait is over. failed is told
// of the first error that may pass.
func Open(ctx context.Context, open func() (net.Listener, error), failed func(error)) (net.Listener, error) {
	ctx, cancel := context.WithTimeout(ctx, OpenWait)
	defer cancel()
	var l net.Listener
	told := false
	err := transient.Retry(ctx, OpenAgain, mayOpenLater, func() (err error) {
		l, err = open()
		if err != nil && !told && mayOpenLater(err) {
			told = true
			failed(err)
		}
		return err
	})
	if err != nil {
		return nil, err
	}
	return l, nil
}

// final are the errors that say that the listener itself is of no use any more.
var final = []error{net.ErrClosed, syscall.EBADF, syscall.EINVAL, syscall.ENOTSOCK, syscall.EFAULT}

// Passes tells whether accept may succeed later on the same listener.
func Passes(err error) bool {
	for _, f := range final {
		if errors.Is(err, f) {
			return false
		}
	}
	return true
}

// LacksDescriptor tells whether the process, or the machine, had no descriptor left.
func LacksDescriptor(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}

// Resilient returns a listener whose Accept goes on after errors that pass; failed, if it is not nil, is told of each.
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
		if err == nil || !Passes(err) {
			return c, err
		}
		if r.failed != nil {
			r.failed(err)
		}
		time.Sleep(RetryAfter)
	}
}
