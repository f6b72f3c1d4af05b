package downstream

import (
	"runtime"
	"time"
)

const (
	// slotsPerProcessor bounds the concurrent pieces of work on client bytes, in addition to the
	// wait for a new connection. With fewer slots, a server with many processors would wait for
	// slots.
	slotsPerProcessor = 4
	// maxPromptDelay is how soon runnable goroutines run when processor time is not short.
	maxPromptDelay = 2 * time.Millisecond
	// maxPause bounds a pause, and with it the delay of a single client.
	maxPause = 50 * time.Millisecond
)

// workSlots keep client input from taking the processor time that open requests need. Goroutines
// run in the order in which they became runnable: without a bound, all connections waiting to be
// accepted and all bytes waiting to be read would run before timers, releases and streams.
// Therefore each such piece of work holds a slot: a new connection until its server begins, and
// bytes that were read until the connection reads again, writes, or waits for the router. The
// holder of a slot first yields to all runnable goroutines and, if that took long, pauses for as
// long. Meanwhile further input stays in the kernel, and its receive time is known (arrivals.go).
// Connections that have had a request routed use separate slots, so that a flood of other
// connections does not delay them.
type workSlots chan struct{}

// newWorkSlots returns slots for the processors that the program may use now.
func newWorkSlots() workSlots { return make(workSlots, 1+slotsPerProcessor*runtime.GOMAXPROCS(0)) }

// acquire waits for a slot.
func (s workSlots) acquire() { s <- struct{}{} }

// release frees a slot.
func (s workSlots) release() { <-s }

// yield lets runnable goroutines run, and pauses if that took long.
func (s workSlots) yield() {
	from := time.Now()
	runtime.Gosched()
	if pause := pauseAfter(time.Since(from)); pause > 0 {
		time.Sleep(pause)
	}
}

// pauseAfter returns the pause of a slot's holder after the runnable goroutines took the given
// time.
func pauseAfter(late time.Duration) time.Duration {
	if late <= maxPromptDelay {
		return 0
	}
	return min(late, maxPause)
}
