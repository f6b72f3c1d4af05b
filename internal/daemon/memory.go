package daemon

import (
	"math"
	"runtime/debug"
	"time"

	"github.com/sirupsen/logrus"

	"lichenshelf/metrics"
)

const (
	memoryLimitShare = 0.7 // of the memory limit; above it the garbage collector works harder
	// programBytes is subtracted from the memory limit for the program itself: 14.6 to 14.9 MB are
	// mapped from files, in addition to its data.
	programBytes = 16 << 20
	// stateBytes is what the process keeps whatever its clients do: workers, routers, counters.
	stateBytes = 8 << 20
	// connectionBytes is what a client's connection takes without a request: its goroutine and the
	// runtime's part.
	connectionBytes = 8 << 10
	// minClientShare is the least part of the memory limit that is left to requests.
	minClientShare = 0.125
	// Parts of the requests' memory. A quarter of the bodies' part is added to it for what is read
	// ahead; the rest is for what the collector has not freed yet.
	bodyShare    = 0.25
	requestShare = 0.375
	answerShare  = 0.125
)

// memoryShares are the bytes that the platform's clients may take together; 0 means no bound.
type memoryShares struct {
	bodies   int64 // of open requests
	requests int64 // all else that requests take while they are read or open
	answers  int64 // parts of answers that wait for their clients
}

// divideMemory divides a memory limit in bytes among that number of connections; 0 means none.
func divideMemory(limit int64, connections int) memoryShares {
	if limit <= 0 {
		return memoryShares{}
	}
	clients := max(float64(limit-programBytes-stateBytes-connectionBytes*int64(connections)), float64(limit)*minClientShare)
	return memoryShares{bodies: int64(clients * bodyShare), requests: int64(clients * requestShare),
		answers: int64(clients * answerShare)}
}

// setMemoryLimit makes the garbage collector work harder near a memory limit in bytes. The limit is
// soft: what bounds the memory are the shares that requests are refused by.
func setMemoryLimit(limit int64) {
	target := int64(math.MaxInt64)
	if limit > 0 {
		// memoryLimitShare leaves enough room for the program itself if the limit is large, but not
		// if it is small.
		target = max(min(int64(float64(limit)*memoryLimitShare), limit-programBytes), limit/4)
	}
	debug.SetMemoryLimit(target)
}

// shortageLogInterval is the least time between two log lines on a shortage of memory.
const shortageLogInterval = time.Second

// memoryShortage logs when clients gave way, or were refused, for want of memory.
type memoryShortage struct {
	counters *metrics.Set
	log      logrus.FieldLogger
	events   int64 // as of the latest line
	loggedAt time.Time
}

// report logs the counts so far if there are new ones since the latest line.
func (m *memoryShortage) report(now time.Time) {
	refused, cut := m.counters.Get("connections_refused_for_memory"), m.counters.Get("connections_cut_for_memory")
	without := m.counters.Get("requests_without_memory")
	events := refused + cut + without
	if events == m.events || now.Sub(m.loggedAt) < shortageLogInterval {
		return
	}
	m.events, m.loggedAt = events, now
	m.log.WithFields(logrus.Fields{"refused_while_reading": refused, "cut_while_writing": cut, "refused_unread": without}).
		Warn("clients lack memory")
}
