package upstream

import (
	"sync"

	"lichenshelf/router"
)

// mostWindow bounds the releases that are out at one worker at once.
const mostWindow = 32

// window is how many releases may be out at a worker: one while nothing says that it runs, twice as many with each that it
// takes, and one again after a failure.
type window struct{ size, out int }

// releaseTargets keeps the windows of all workers, and which one took a release last. Without windows all releases of one moment
// go to the same worker first, and where that one says nothing they have all connections until their time is over.
type releaseTargets struct {
	mu      sync.Mutex
	windows map[*router.Worker]*window // of workers that are asked, or have more than one
	last    *router.Worker
	next    chan struct{} // closed when another one is taken; nil while nobody waits
}

// acquire takes a place in the worker's window; false if there is none.
func (t *releaseTargets) acquire(w *router.Worker) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	v := t.windows[w]
	if v == nil {
		v = &window{size: 1}
		t.windows[w] = v
	}
	if v.out >= v.size {
		return false
	}
	v.out++
	return true
}

// callVerdict is what the end of a call says of its worker.
type callVerdict uint8

const (
	callTaken callVerdict = iota
	callFailed
	callSaysNothing
)

// settle gives a place back.
func (t *releaseTargets) settle(w *router.Worker, v callVerdict) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if at := t.windows[w]; at != nil {
		at.out--
		switch v {
		case callTaken:
			at.size = min(2*at.size, mostWindow)
		case callFailed:
			at.size = 1
		}
		if at.out == 0 && at.size == 1 {
			delete(t.windows, w)
		}
	}
	if v != callTaken {
		return
	}
	if t.last = w; t.next != nil {
		close(t.next)
		t.next = nil
	}
}

// latest returns the worker that took a release last, nil if none has, and a channel that is closed when the next one is taken.
func (t *releaseTargets) latest() (*router.Worker, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.next == nil {
		t.next = make(chan struct{})
	}
	return t.last, t.next
}

// forget drops what is kept of a worker that has left or restarted.
func (t *releaseTargets) forget(w *router.Worker) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.windows, w)
	if t.last == w {
		t.last = nil
	}
}
