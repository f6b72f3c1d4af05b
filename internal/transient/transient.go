// Package transient knows the errors of system calls that may be over a moment later, and makes calls again until they are.
package transient

import (
	"context"
	"errors"
	"slices"
	"syscall"
	"time"
)

// lacks are the errors by which the system says of any call that it lacks something now: descriptors, memory, or what a call
// that must not wait would have to wait for.
var lacks = []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOMEM, syscall.EAGAIN}

// Is tells whether an error says that the system lacks something for the moment, or is one of those given, which are the caller's:
// what passes differs from call to call.
func Is(err error, also ...syscall.Errno) bool {
	same := func(e error) bool { return errors.Is(err, e) }
	return slices.ContainsFunc(lacks, same) || slices.ContainsFunc(also, func(e syscall.Errno) bool { return same(e) })
}

// Retry calls do, with a pause of every between calls, until it succeeds, fails by an error that does not pass, or ctx ends. It
// returns the last error of do. passes is asked for each error; nil means that all pass.
func Retry(ctx context.Context, every time.Duration, passes func(error) bool, do func() error) error {
	for {
		err := do()
		if err == nil || passes != nil && !passes(err) {
			return err
		}
		pause := time.NewTimer(every)
		select {
		case <-pause.C:
		case <-ctx.Done():
			pause.Stop()
			return err
		}
	}
}
