package dispatch

import "time"

const (
	// maxWindow bounds the releases that are in flight to one worker.
	maxWindow = 32
	// runningFor is how long a worker counts as running after it accepted a release.
	runningFor = 250 * time.Millisecond
)

// target is what the calls to a worker have shown about it.
type target struct {
	window       int // calls that may be in flight at once
	inFlight     int
	running      bool
	acceptedAt   time.Time // when it last accepted a release
	waitingSince time.Time // since when it has accepted none of the calls in flight
	retryAt      time.Time // not called before this
}

// newTarget returns the state of a worker that is not known to run: one call at a time.
func newTarget() *target { return &target{window: 1} }

// hasRoom reports whether another call to the worker may be started.
func (t *target) hasRoom() bool { return t.inFlight < t.window }

// start records a call.
func (t *target) start(now time.Time) {
	if t.inFlight == 0 {
		t.waitingSince = now
	}
	t.inFlight++
}

// accept records that the worker accepted one of the releases in flight. If its window was full, it
// may get twice as many at once: a window that was never used says nothing about the worker.
func (t *target) accept(now time.Time) {
	if !t.hasRoom() {
		t.window = min(2*t.window, maxWindow)
	}
	t.running, t.acceptedAt, t.waitingSince, t.retryAt = true, now, now, time.Time{}
}

// stop records that the worker is no longer known to run.
func (t *target) stop() { t.window, t.running = 1, false }

// isSilent reports whether a worker that counts as running has not accepted anything for so long
// that it may have failed.
func (t *target) isSilent(now time.Time, answerWait time.Duration) bool {
	return t.inFlight > 0 && now.Sub(t.waitingSince) >= answerWait || now.Sub(t.acceptedAt) >= runningFor
}

// isBetterThan reports whether a release is more likely to be accepted soon than by the other worker.
func (t *target) isBetterThan(other *target) bool {
	if t.inFlight != other.inFlight {
		return t.inFlight < other.inFlight
	}
	return t.acceptedAt.After(other.acceptedAt)
}
