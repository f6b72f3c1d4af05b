package router

import (
	"time"

	"lichenshelf/logic"
)

// maxStarts bounds the remembered starts: twice the workers that a fleet may have.
const maxStarts = 2 * 4096

// startJitter is by how much two statements of one start may differ. Lists that derive the start
// from an uptime in whole seconds state a different one each time; if these were taken for
// restarts, all workers would be cold after each list.
const startJitter = time.Second

// Starts determines when workers have started, on the monotonic clock of this process. Lists state
// it by the wall clock of another machine, which may be stepped, as may the local one: an age
// computed as the difference of the two may be wrong by any amount, and a worker that has just
// started could be taken for a warm one. Therefore a start that first appears in a later list
// counts from the time that it was received. Only the workers in the first list of a process take
// their start from the wall clock, since otherwise all of them would count as cold. The zero value
// is ready to use; it is not safe for concurrent use.
type Starts struct{ known map[string]incarnation }

// incarnation is one run of a worker.
type incarnation struct {
	since logic.Time // identifies the incarnation in the worker's list
	began time.Time
}

// Began returns when the worker's incarnation started, the zero time if its list states no start.
// listCurrent reports that the previous list was up to date, so that an unknown start has just
// happened. The result for an incarnation never changes.
func (s *Starts) Began(worker string, since logic.Time, listCurrent bool, now time.Time) time.Time {
	if since == 0 {
		return time.Time{}
	}
	if last, ok := s.known[worker]; ok && time.Duration(max(since-last.since, last.since-since)) <= startJitter {
		s.known[worker] = incarnation{since, last.began}
		return last.began
	}
	began := now
	if age := now.UnixNano() - int64(since); age > 0 && !listCurrent {
		began = now.Add(-time.Duration(age))
	}
	if s.known == nil {
		s.known = map[string]incarnation{}
	}
	for other := range s.known {
		if len(s.known) < maxStarts {
			break
		}
		delete(s.known, other)
	}
	s.known[worker] = incarnation{since, began}
	return began
}
