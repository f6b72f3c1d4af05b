package straggler

import "time"

// Fence stops a router from sending when it has not checked for the newest versions for a window,
// for example after its process or its machine was suspended: its decisions may then rest on
// outdated state. The fence opens again when a check finds that no version is missing. It also
// opens a grace after the router resumed, whatever the checks find, even if nothing answers them;
// from then on the Machine's slots decide who is shut out. A fleet whose machines were all
// suspended while its store is down therefore accepts nothing new for one grace and no longer. The
// clock must keep running while the process is stopped.
//
// A Fence can't prevent one case: a process that is stopped between its last check and the write of
// the first byte still sends that request when it resumes, and only the worker could refuse it. A
// Fence is not safe for concurrent use.
type Fence struct {
	window    time.Duration
	grace     time.Duration
	until     Time
	resumedAt Time
	closed    bool
}

// NewFence returns the fence of a router that knows the newest versions now.
func NewFence(window, grace time.Duration, now Time) *Fence {
	return &Fence{window: window, grace: grace, until: now + Time(window)}
}

// Update records a check for the newest versions that was begun at askedAt. lag is the number of
// versions by which the router lags, and answered is whether an answer was received that was given
// after that time. The check that detects a suspension may have been begun before it, so it does
// not open the fence.
func (f *Fence) Update(lag uint64, answered bool, askedAt, now Time) {
	switch {
	case now > f.until && !f.closed:
		f.closed, f.resumedAt = true, now
	case f.closed && (answered && lag == 0 && askedAt >= f.resumedAt || now-f.resumedAt >= Time(f.grace)):
		f.closed = false
	}
	f.until = askedAt + Time(f.window)
}

// Open reports whether new requests may be sent.
func (f *Fence) Open(now Time) bool { return !f.closed && now <= f.until }
