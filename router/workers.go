package router

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"lichenshelf/logic"
)

// Member is one line of discovery's list.
type Member struct {
	logic.Member
	Name string
	Addr string
	// News says that the list in hand was up to date when this line came: a start that the line tells has just happened.
	News bool
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
	fence   func() bool // nil: none
}

// Since is when the worker last started, as its list says; 0 means long ago.
func (w *Worker) Since() logic.Time { return w.since }

// MaySend tells whether something new may go to the worker. A sender asks right
// before the first byte: between the decision and the write a connection may
// have had to come up, and a drain may have been told meanwhile.
func (w *Worker) MaySend() bool { return !w.leaving.Load() && (w.fence == nil || w.fence()) }

// workerSet holds the workers that discovery has named. Discovery's goroutine marks
// a leaving worker here before the core hears of it, so that queued sends stop.
type workerSet struct {
	mu     sync.RWMutex
	byID   map[logic.ServerID]*Worker
	fence  func() bool // nil: none
	starts Starts
}

// dated returns the lines as the decisions take them, with starts on the core's clock. The clock tells the time there.
func (s *workerSet) dated(members []Member, now time.Time, clock func(time.Time) logic.Time) []logic.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]logic.Member, len(members))
	for i, m := range members {
		out[i] = m.Member
		if began := s.starts.Began(m.Name, m.Since, m.News, now); !began.IsZero() {
			out[i].Began = clock(began)
		}
	}
	return out
}

// apply takes a list and returns the workers whose connections are void.
func (s *workerSet) apply(members []Member, whole bool) (void []*Worker) {
	s.mu.Lock()
	defer s.mu.Unlock()
	named := make(map[logic.ServerID]bool, len(members))
	for _, m := range members {
		named[m.Server] = true
		w := s.byID[m.Server]
		if w != nil && (w.Addr != m.Addr && m.Addr != "" || m.Health == logic.Ready && w.since != m.Since) {
			w.leaving.Store(true) // another process by now
			void, w = append(void, w), nil
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
			void = append(void, w)
		}
	}
	if whole {
		for id, w := range s.byID {
			if !named[id] {
				w.leaving.Store(true)
				void = append(void, w)
			}
		}
	}
	for _, w := range void {
		if s.byID[w.ID] == w {
			delete(s.byID, w.ID)
		}
	}
	return void
}

func (s *workerSet) worker(id logic.ServerID) *Worker {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.byID[id]
}

// running returns the workers in random order, those that are leaving last: they
// run still, and take a release where no other does.
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
