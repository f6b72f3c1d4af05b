package router

import (
	"time"

	"lichenshelf/logic"
)

// mostStarts bounds the starts that are remembered: of as many workers as a fleet may have, twice.
const mostStarts = 2 * 4096

// startJitter is by how much two statements of one start may differ: lists that count back from an uptime in whole seconds state
// another one each time. Taken for restarts, they would make all workers cold with each list.
const startJitter = time.Second

// Starts tells when workers have started, on the monotonic clock of this process. Lists tell it by a wall clock, which is
// another machine's and may be stepped, as may this one's: an age that is the difference of the two may be wrong by any
// amount, and a worker that has just started pass for a warm one. So a start that is news to this process counts from when
// it was heard of. Only what a process finds listed as it starts goes by the wall clock of that moment, since all workers
// would count as cold otherwise. The zero value is ready; it is not safe for concurrent use.
type Starts struct{ known map[string]started }

// started is one incarnation of a worker.
type started struct {
	since logic.Time // by which its list tells it from others
	began time.Time
}

// Began returns when the worker's incarnation has started, the zero time where its list gives no start. News tells that the
// list that was in hand before had been up to date. What was once said of an incarnation stays.
func (s *Starts) Began(worker string, since logic.Time, news bool, now time.Time) time.Time {
	if since == 0 {
		return time.Time{}
	}
	if k, ok := s.known[worker]; ok && time.Duration(max(since-k.since, k.since-since)) <= startJitter {
		s.known[worker] = started{since, k.began}
		return k.began
	}
	began := now
	if age := now.UnixNano() - int64(since); age > 0 && !news {
		began = now.Add(-time.Duration(age))
	}
	if s.known == nil {
		s.known = map[string]started{}
	}
	for other := range s.known {
		if len(s.known) < mostStarts {
			break
		}
		delete(s.known, other)
	}
	s.known[worker] = started{since, began}
	return began
}
