package daemon

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"lichenshelf/front/platform"
)

const (
	// movePhaseDivisor divides the time until open requests are cancelled; streams move to other
	// routers in the last such part of it.
	movePhaseDivisor = 6
	// dropDelay is the time from the cancellation of requests until dropStalled, which drops
	// partial requests and streams from which nothing was received for silentStreamTimeout: about
	// ten times the usual time between two events. Closing a connection then takes 0.2 s, a release
	// up to 0.1 s, and the platform kills the process 0.7 s after the cancellation.
	dropDelay           = 300 * time.Millisecond
	silentStreamTimeout = 500 * time.Millisecond
)

// shutdownTiming holds the times at which a front shuts down, counted from SIGTERM.
type shutdownTiming struct {
	acceptFor   time.Duration // how long new client connections are accepted
	cancelAfter time.Duration // when open requests are cancelled; 0: all of them may finish
}

// platformShutdownTiming returns the shutdown timing set by the platform's configuration.
func platformShutdownTiming(cfg *platform.Config) shutdownTiming {
	return shutdownTiming{cfg.AcceptFor(), cfg.CancelAfter()}
}

// earlier returns a timing that is safe if either of two may apply.
func (e shutdownTiming) earlier(other shutdownTiming) shutdownTiming {
	return shutdownTiming{min(e.acceptFor, other.acceptFor), min(e.cancelAfter, other.cancelAfter)}
}

// currentShutdownTiming holds the shutdown timing of a front, which a reload may change even during
// the shutdown. It is safe for concurrent use.
type currentShutdownTiming struct {
	mu      sync.Mutex
	timing  shutdownTiming
	changed chan struct{} // closed when timing changes
}

func newCurrentShutdownTiming(e shutdownTiming) *currentShutdownTiming {
	return &currentShutdownTiming{timing: e, changed: make(chan struct{})}
}

func (e *currentShutdownTiming) set(to shutdownTiming) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.timing != to {
		e.timing = to
		close(e.changed)
		e.changed = make(chan struct{})
	}
}

// get returns the current timing and a channel that is closed when it changes.
func (e *currentShutdownTiming) get() (shutdownTiming, <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.timing, e.changed
}

// acceptFor returns how long the front accepts new client connections.
func (e *currentShutdownTiming) acceptFor() time.Duration {
	now, _ := e.get()
	return now.acceptFor
}

// dropStalled drops partial requests and silent streams, which keep connections open and would not
// end by themselves in time.
func (f *front) dropStalled(shutdownTiming) {
	f.server.DropUnread()
	f.core.CancelSilent(silentStreamTimeout)
}

// cancelInSteps cancels the front's open requests step by step, in time before the platform kills
// the process. It returns when the last step is done or done is closed.
func (f *front) cancelInSteps(began time.Time, done <-chan struct{}) {
	steps := []struct {
		name string
		due  func(shutdownTiming) time.Duration
		do   func(shutdownTiming)
	}{
		{"move streams", func(e shutdownTiming) time.Duration { return e.cancelAfter - e.cancelAfter/movePhaseDivisor }, func(e shutdownTiming) { f.core.Close(e.cancelAfter / movePhaseDivisor) }},
		{"answer open requests", func(e shutdownTiming) time.Duration { return e.cancelAfter }, func(shutdownTiming) { f.core.Close(0) }},
		{"end partial requests and silent streams", func(e shutdownTiming) time.Duration { return e.cancelAfter + dropDelay }, f.dropStalled},
	}
	for len(steps) > 0 {
		timing, changed := f.shutdownTiming.get()
		if timing.cancelAfter <= 0 {
			return
		}
		due := time.NewTimer(time.Until(began.Add(steps[0].due(timing))))
		select {
		case <-due.C:
			f.log.WithFields(logrus.Fields{"step": steps[0].name, "after_ms": time.Since(began).Milliseconds(), "open": f.core.Open(),
				"connections": f.server.Connections()}).Info("stopping: cancelling open requests")
			steps[0].do(timing)
			steps = steps[1:]
		case <-changed:
		case <-done:
			due.Stop()
			return
		}
		due.Stop()
	}
}
