package downstream

import (
	"sync/atomic"
	"time"
)

const (
	// mostBeginning bounds the connections that are accepted and whose server has not begun to run. Goroutines run in the order
	// in which they became ready: without a bound, all that waits to be accepted would come before what is due for requests in
	// hand, for as long as a crowd of new connections needs.
	mostBeginning = 4
	// promptly is how soon the server of a connection begins where processor time does not lack.
	promptly = 2 * time.Millisecond
	// mostPause bounds the pause before the next connection, and with it how long a client waits that comes alone.
	mostPause = 50 * time.Millisecond
)

// acceptPace keeps the accepting of connections from taking the processor time that requests in hand need. How late the
// servers of accepted connections begin to run tells how late everything else is: before the next ones are accepted, as much
// time passes without any. What waits meanwhile stays with the system, and its time of arrival is known (arrivals.go).
type acceptPace struct {
	beginning chan struct{} // a place for each connection whose server has not begun
	late      *atomic.Int64 // by how much the latest one did, in nanoseconds
}

func newAcceptPace() acceptPace {
	return acceptPace{beginning: make(chan struct{}, mostBeginning), late: &atomic.Int64{}}
}

// wait returns when another connection may be accepted, and takes a place for it.
func (p acceptPace) wait() {
	p.beginning <- struct{}{}
	if pause := pauseAfter(time.Duration(p.late.Swap(0))); pause > 0 {
		time.Sleep(pause)
	}
}

// pauseAfter is how long no connection is accepted after one whose server began so late.
func pauseAfter(late time.Duration) time.Duration {
	if late <= promptly {
		return 0
	}
	return min(late, mostPause)
}

// begun gives the place of a connection back whose server runs now, and which was accepted at a time; the zero time says nothing.
func (p acceptPace) begun(accepted time.Time) {
	if !accepted.IsZero() {
		p.late.Store(int64(time.Since(accepted)))
	}
	<-p.beginning
}
