package downstream

import (
	"time"

	"lichenshelf/internal/socket"
)

// processStart is the base of all receive times, so that steps of the wall clock do not change
// them.
var processStart = time.Now()

// sinceStart returns the monotonic time since the process started.
func sinceStart() time.Duration { return time.Since(processStart) }

// arrivalMergeWindow is the time within which received bytes count as one arrival. Otherwise the
// receive times of clients that send byte by byte would take more memory than the bytes.
const arrivalMergeWindow = 5 * time.Millisecond

// arrivalResolution is the age of received bytes below which they count as just received: the
// system's clock ticks every 10 ms or more often.
const arrivalResolution = 20 * time.Millisecond

// receivedAt returns the time when the bytes just read were received, or a later time. Bytes wait
// in the kernel until their connection is accepted, which can be delayed by a lack of descriptors,
// and until their reader runs.
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
	c.owner.count.Add("reads_delayed", 1)
	return now - age
}

// arrival is a part of the bytes read ahead, with its receive time.
type arrival struct {
	bytes int
	at    time.Duration
}

// arrivals are the parts of the bytes read ahead, in order.
type arrivals []arrival

// add appends n bytes received at the given time. Bytes that follow others within
// arrivalMergeWindow are merged with them.
func (a arrivals) add(n int, at time.Duration) arrivals {
	if last := len(a) - 1; last >= 0 && at-a[last].at < arrivalMergeWindow {
		a[last].bytes += n
		return a
	}
	return append(a, arrival{n, at})
}

// take removes at most the next n bytes, but no more than arrived together. It returns their number
// and their receive time.
func (a arrivals) take(n int) (rest arrivals, taken int, at time.Duration) {
	taken, at = min(n, a[0].bytes), a[0].at
	if a[0].bytes -= taken; a[0].bytes == 0 {
		return a[1:], taken, at
	}
	return a, taken, at
}
