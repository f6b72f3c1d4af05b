package downstream

import (
	"time"

	"lichenshelf/internal/socket"
)

// started is what times of arrival are counted from: a step of the wall clock moves none of them.
var started = time.Now()

// sinceStart is the monotonic time since the process has started.
func sinceStart() time.Duration { return time.Since(started) }

// mergeWithin is how close together bytes count as one arrival. Clients that send byte by byte would take more memory for
// the times than for the bytes.
const mergeWithin = 5 * time.Millisecond

// arrivalResolution is an age of received bytes that the system can tell from none: its clock ticks each 10 ms or more often.
const arrivalResolution = 20 * time.Millisecond

// receivedAt is when what was just read had come, or later: bytes wait in the system until their connection is accepted, for
// which a descriptor may lack, and until their reader runs.
func (c *conn) receivedAt() time.Duration {
	now := sinceStart()
	raw, err := socket.Raw(c.Conn)
	if err != nil {
		return now
	}
	age, err := socket.SinceReceived(raw)
	if err != nil || age < arrivalResolution {
		return now
	}
	c.home.count.Add("reads_delayed", 1)
	return now - age
}

// arrival is a part of what was read ahead, and when it came.
type arrival struct {
	bytes int
	at    time.Duration
}

// arrivals are the parts of what was read ahead, in order.
type arrivals []arrival

// add notes bytes that have come. Those that follow others at once count as come with them.
func (a arrivals) add(n int, at time.Duration) arrivals {
	if last := len(a) - 1; last >= 0 && at-a[last].at < mergeWithin {
		a[last].bytes += n
		return a
	}
	return append(a, arrival{n, at})
}

// take hands out the next n bytes at most, no more than came together, and tells how many and when they came.
func (a arrivals) take(n int) (rest arrivals, taken int, at time.Duration) {
	taken, at = min(n, a[0].bytes), a[0].at
	if a[0].bytes -= taken; a[0].bytes == 0 {
		return a[1:], taken, at
	}
	return a, taken, at
}
