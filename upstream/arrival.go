package upstream

import (
	"time"

	"lichenshelf/internal/socket"
)

// watchArrival gives the attempt up unless its worker's system has confirmed all of it by a time, where it has one: a send
// that has not arrived takes no read state, and a connection whose other end has vanished takes what is written all the same.
func (x *attempt) watchArrival(c *conn) (stop func()) {
	if x.reach.IsZero() {
		return func() {}
	}
	look := time.AfterFunc(time.Until(confirmBy(c.wrote, x.reach)), func() {
		x.mu.Lock()
		defer x.mu.Unlock()
		if !x.heard && unconfirmed(c) {
			x.vanished = true
			c.cutOff()
		}
	})
	return func() {
		look.Stop()
		x.mu.Lock()
		defer x.mu.Unlock()
		x.heard = true
	}
}

// confirmAfter is how long after its last byte a request may be unconfirmed though it has arrived: a system keeps an
// acknowledgement back for 40 ms (Linux's TCP_DELACK_MIN), and the way there and back takes its time as well.
const confirmAfter = 100 * time.Millisecond

// confirmBy is when a request that was written at a time, and had to be by another, must have been confirmed.
func confirmBy(wrote, reach time.Time) time.Time {
	if least := wrote.Add(confirmAfter); least.After(reach) {
		return least
	}
	return reach
}

// unconfirmed tells whether the other end's system has not confirmed all that was written; false where that can't be told.
func unconfirmed(c *conn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	n, err := socket.Unacknowledged(raw)
	return err == nil && n > 0
}
