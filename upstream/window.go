package upstream

import (
	"sync"

	"lichenshelf/router"
)

// maxWindow bounds the releases that are in flight to one worker.
const maxWindow = 32

// window limits the releases in flight to a worker: one until the worker accepts a release, twice
// as many after each release that it accepts, and one again after a failure.
type window struct{ size, inFlight int }

// releaseTargets keeps the windows of all workers, and which one accepted a release last. Without
// windows, simultaneous releases would all call the same worker first and, if it is silent, occupy
// all connections until they time out.
type releaseTargets struct {
	mu           sync.Mutex
	windows      map[*router.Worker]*window // of workers with calls in flight or a size above 1
	last         *router.Worker
	nextAccepted chan struct{} // closed when the next release is accepted; nil if nothing waits
}

// acquire reserves a slot in the worker's window. It returns false if the window is full.
func (t *releaseTargets) acquire(w *router.Worker) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	v := t.windows[w]
	if v == nil {
		v = &window{size: 1}
		t.windows[w] = v
	}
	if v.inFlight >= v.size {
		return false
	}
	v.inFlight++
	return true
}

// callOutcome is what the end of a release call says about its worker.
type callOutcome uint8

const (
	callAccepted callOutcome = iota
	callFailed
	callInconclusive
)

// settle frees the slot of a call that ended, and adjusts the worker's window to the outcome.
func (t *releaseTargets) settle(w *router.Worker, v callOutcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if at := t.windows[w]; at != nil {
		at.inFlight--
		switch v {
		case callAccepted:
			at.size = min(2*at.size, maxWindow)
		case callFailed:
			at.size = 1
		}
		if at.inFlight == 0 && at.size == 1 {
			delete(t.windows, w)
		}
	}
	if v != callAccepted {
		return
	}
	if t.last = w; t.nextAccepted != nil {
		close(t.nextAccepted)
		t.nextAccepted = nil
	}
}

// latest returns the worker that accepted a release last, or nil, and a channel that is closed when
// the next release is accepted.
func (t *releaseTargets) latest() (*router.Worker, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.nextAccepted == nil {
		t.nextAccepted = make(chan struct{})
	}
	return t.last, t.nextAccepted
}

// forget removes the state of a worker that has left or restarted.
func (t *releaseTargets) forget(w *router.Worker) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.windows, w)
	if t.last == w {
		t.last = nil
	}
}
