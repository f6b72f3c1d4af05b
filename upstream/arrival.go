package upstream

import (
	"math"
	"time"

	"lichenshelf/internal/socket"
)

// watchArrival gives the attempt up unless its worker's system confirms it promptly: a send that has not arrived takes no read
// state, and a connection whose other end has vanished takes what is written all the same. Sent again by the system, it would
// arrive late, and tell its worker a time that is no longer left.
func (x *attempt) watchArrival(c *conn) (stop func()) {
	if !x.sendBy.IsZero() {
		return x.watch(time.Until(confirmBy(c.wrote, x.sendBy)), func() time.Duration {
			if unconfirmed(c) > 0 {
				x.vanish(c)
			}
			return 0
		})
	}
	last := math.MaxInt
	return x.watch(confirmAfter/2, func() time.Duration {
		now := unconfirmed(c)
		switch {
		case now == 0:
			return 0
		case now < last: // a large request over a slow link goes on
			last = now
			return confirmAfter / 2
		}
		x.vanish(c)
		return 0
	})
}

// watch looks at an attempt after a time, and again after as much as the look says, until that is 0, stop is called or the attempt
// is heard of. Looks are made with the attempt's lock held.
func (x *attempt) watch(after time.Duration, look func() time.Duration) (stop func()) {
	x.mu.Lock()
	defer x.mu.Unlock()
	var timer *time.Timer
	timer = time.AfterFunc(after, func() {
		x.mu.Lock()
		defer x.mu.Unlock()
		if x.heard {
			return
		}
		if again := look(); again > 0 {
			timer.Reset(again)
		}
	})
	return func() {
		timer.Stop()
		x.mu.Lock()
		defer x.mu.Unlock()
		x.heard = true
	}
}

// vanish ends an attempt whose worker's system confirms nothing; the attempt's lock is held.
func (x *attempt) vanish(c *conn) {
	x.vanished = true
	_ = c.Close() // which drops what is not confirmed
}

// confirmAfter is how long after its last byte a request may be unconfirmed though it has arrived: a system keeps an
// acknowledgement back for 40 ms (Linux's TCP_DELACK_MIN), and the way there and back takes its time as well.
const confirmAfter = 100 * time.Millisecond

// confirmBy is when a request that was written at a time, and had to be by another, must have been confirmed.
func confirmBy(wrote, sendBy time.Time) time.Time {
	if least := wrote.Add(confirmAfter); least.After(sendBy) {
		return least
	}
	return sendBy
}

// unconfirmed is how many bytes of what was written the other end's system has not confirmed; 0 where that can't be told.
func unconfirmed(c *conn) int {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	n, err := socket.Unacknowledged(raw)
	if err != nil {
		return 0
	}
	return n
}
