package daemon

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"lichenshelf/front/platform"
)

const (
	movesPart = 6 // of the time until all is given up, the last, in which streams move
	// dropAfter is how long after all was given up what keeps connections open is ended: half requests, and streams of which
	// nothing has come for silentFor, some ten times the usual time between two events. A connection takes 0.2 s to be closed
	// then, a release up to 0.1 s, and the kill comes 0.7 s after all was given up.
	dropAfter = 300 * time.Millisecond
	silentFor = 500 * time.Millisecond
)

// ending is how a front ends, in time after SIGTERM.
type ending struct {
	take  time.Duration // how long it takes clients that still come
	leave time.Duration // when it gives up what is in hand; 0: it finishes all
}

// platformEnding is how the platform's front ends by its configuration.
func platformEnding(cfg *platform.Config) ending { return ending{cfg.AcceptFor(), cfg.CancelAfter()} }

// sooner is the ending that is safe where either of two may hold.
func (e ending) sooner(than ending) ending {
	return ending{min(e.take, than.take), min(e.leave, than.leave)}
}

// endings holds how a front ends, which a reload may change, also while it ends. It is safe for use from any goroutine.
type endings struct {
	mu    sync.Mutex
	now   ending
	moved chan struct{} // closed when now changes
}

func newEndings(e ending) *endings { return &endings{now: e, moved: make(chan struct{})} }

func (e *endings) set(to ending) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.now != to {
		e.now = to
		close(e.moved)
		e.moved = make(chan struct{})
	}
}

// get returns the ending as it is, and a channel that is closed when it changes.
func (e *endings) get() (ending, <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.now, e.moved
}

// take is how long the front takes clients that still come.
func (e *endings) take() time.Duration {
	now, _ := e.get()
	return now.take
}

// drop ends what keeps connections open and will not end by itself in time.
func (f *front) drop(ending) {
	f.server.DropUnread()
	f.core.CancelSilent(silentFor)
}

// giveUp has the front give up what is in hand, step by step, in time for the platform's kill. It returns when that is done, or
// done is closed.
func (f *front) giveUp(began time.Time, done <-chan struct{}) {
	steps := []struct {
		name string
		due  func(ending) time.Duration
		do   func(ending)
	}{
		{"streams move", func(e ending) time.Duration { return e.leave - e.leave/movesPart }, func(e ending) { f.core.Close(e.leave / movesPart) }},
		{"requests are answered", func(e ending) time.Duration { return e.leave }, func(ending) { f.core.Close(0) }},
		{"half requests and silent streams are ended", func(e ending) time.Duration { return e.leave + dropAfter }, f.drop},
	}
	for len(steps) > 0 {
		end, moved := f.endings.get()
		if end.leave <= 0 {
			return
		}
		due := time.NewTimer(time.Until(began.Add(steps[0].due(end))))
		select {
		case <-due.C:
			f.log.WithFields(logrus.Fields{"step": steps[0].name, "after_ms": time.Since(began).Milliseconds(), "open": f.core.Open(),
				"connections": f.server.Connections()}).Info("stopping: giving up")
			steps[0].do(end)
			steps = steps[1:]
		case <-moved:
		case <-done:
			due.Stop()
			return
		}
		due.Stop()
	}
}
