package upstream

import (
	"math"
	"time"

	"lichenshelf/internal/socket"
)

// watchAcknowledgement aborts the attempt unless the worker's kernel acknowledges the request
// promptly. A request that has not arrived has not used its read state, and a connection whose peer
// has become unreachable still accepts writes. A TCP retransmission would deliver the request late,
// with a stated waiting time that has partly or wholly passed.
func (x *attempt) watchAcknowledgement(c *conn) (stop func()) {
	if !x.sendBy.IsZero() {
		return x.pollUntilHead(time.Until(ackDeadline(c.writtenAt, earliest(x.sendBy, x.RepeatBy))), func() time.Duration {
			if unacknowledgedBytes(c) > 0 {
				x.abortUnacknowledged(c)
			}
			return 0
		})
	}
	last := math.MaxInt
	return x.pollUntilHead(minAckWait/2, func() time.Duration {
		now := unacknowledgedBytes(c)
		switch {
		case now == 0:
			return 0
		case now < last && !x.mustHaveArrived(c): // progress: a large request over a slow link
			last = now
			return minAckWait / 2
		}
		x.abortUnacknowledged(c)
		return 0
	})
}

// mustHaveArrived reports whether a repeat that has not arrived by now might run again.
func (x *attempt) mustHaveArrived(c *conn) bool {
	return !x.RepeatBy.IsZero() && !time.Now().Before(ackDeadline(c.writtenAt, x.RepeatBy))
}

// pollUntilHead calls check after the given time, and again after each interval that check returns,
// until the interval is 0 or stop is called. check runs with the attempt's lock held.
func (x *attempt) pollUntilHead(after time.Duration, check func() time.Duration) (stop func()) {
	x.mu.Lock()
	defer x.mu.Unlock()
	var timer *time.Timer
	timer = time.AfterFunc(after, func() {
		x.mu.Lock()
		defer x.mu.Unlock()
		if x.headDone {
			return
		}
		if interval := check(); interval > 0 {
			timer.Reset(interval)
		}
	})
	return func() {
		timer.Stop()
		x.mu.Lock()
		defer x.mu.Unlock()
		x.headDone = true
	}
}

// abortUnacknowledged ends an attempt whose request the worker's kernel has not acknowledged. The
// attempt's lock must be held.
func (x *attempt) abortUnacknowledged(c *conn) {
	x.unacknowledged = true
	_ = c.Close() // also discards the unacknowledged bytes
}

// minAckWait is how long after its last byte a request that has arrived may stay unacknowledged:
// kernels delay acknowledgements by up to 40 ms (Linux's TCP_DELACK_MIN), and the round trip comes
// on top.
const minAckWait = 100 * time.Millisecond

// ackDeadline returns when a request that was written at the time wrote, and had to be sent by
// sendBy, must have been acknowledged.
func ackDeadline(wrote, sendBy time.Time) time.Time {
	if earliest := wrote.Add(minAckWait); earliest.After(sendBy) {
		return earliest
	}
	return sendBy
}

// unacknowledgedBytes returns how many of the written bytes the peer's kernel has not acknowledged,
// or 0 if that is unknown.
func unacknowledgedBytes(c *conn) int {
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
