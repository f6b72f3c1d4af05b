package router

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"lichenshelf/logic"
)

// Member is one entry of discovery's list.
type Member struct {
	logic.Member
	Name string
	Addr string
	// PreviousListCurrent reports that the previous list was up to date: a start that first appears
	// in this entry has just happened.
	PreviousListCurrent bool
}

// Worker is a member as senders see it.
type Worker struct {
	ID      logic.ServerID
	Name    string
	Addr    string
	since   logic.Time
	zone    int
	cell    int
	kind    int
	leaving atomic.Bool
	fence   func() bool // nil never fences
}

// Since returns when the worker last started, as its list states it; 0 means long ago.
func (w *Worker) Since() logic.Time { return w.since }

// MaySend reports whether a new request may be sent to the worker. A sender asks right before the
// first byte, because connecting takes time in which a drain may have been announced.
func (w *Worker) MaySend() bool { return !w.leaving.Load() && (w.fence == nil || w.fence()) }

// workerSet holds the workers that discovery has listed. Discovery's goroutine marks a leaving
// worker here before the core is informed, so that queued sends stop.
type workerSet struct {
	mu     sync.RWMutex
	byID   map[logic.ServerID]*Worker
	fence  func() bool // nil never fences
	starts Starts
}

// withStartTimes returns the members for the decider, with their starts converted by clock to the
// decider's clock.
func (s *workerSet) withStartTimes(members []Member, now time.Time, clock func(time.Time) logic.Time) []logic.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]logic.Member, len(members))
	for i, m := range members {
		out[i] = m.Member
		if began := s.starts.Began(m.Name, m.Since, m.PreviousListCurrent, now); !began.IsZero() {
			out[i].Began = clock(began)
		}
	}
	return out
}

// apply applies a list and returns the workers that were removed or replaced, whose connections
// must be dropped.
func (s *workerSet) apply(members []Member, whole bool) (removed []*Worker) {
	s.mu.Lock()
	defer s.mu.Unlock()
	named := make(map[logic.ServerID]bool, len(members))
	for _, m := range members {
		named[m.Server] = true
		w := s.byID[m.Server]
		if w != nil && (w.Addr != m.Addr && m.Addr != "" || m.Health == logic.Ready && w.since != m.Since) {
			w.leaving.Store(true) // the address now belongs to another process
			removed, w = append(removed, w), nil
		}
		if w == nil {
			if m.Health == logic.Gone {
				continue
			}
			w = &Worker{ID: m.Server, Name: m.Name, Addr: m.Addr, since: m.Since, zone: m.Zone, cell: m.Cell, kind: m.Kind, fence: s.fence}
			s.byID[m.Server] = w
		}
		w.leaving.Store(m.Health != logic.Ready)
		if m.Health == logic.Gone {
			removed = append(removed, w)
		}
	}
	if whole {
		for id, w := range s.byID {
			if !named[id] {
				w.leaving.Store(true)
				removed = append(removed, w)
			}
		}
	}
	for _, w := range removed {
		if s.byID[w.ID] == w {
			delete(s.byID, w.ID)
		}
	}
	return removed
}

func (s *workerSet) worker(id logic.ServerID) *Worker {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.byID[id]
}

// running returns the workers in random order, leaving ones last: those are still running and
// accept a release if no other worker does.
func (s *workerSet) running() []*Worker {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var out, leaving []*Worker
	for _, w := range s.byID {
		if w.MaySend() {
			out = append(out, w)
		} else {
			leaving = append(leaving, w)
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return append(out, leaving...)
}
