// Package counts tells what the other routers of a fleet have at each worker: prompt
// tokens sent there and not yet read, and tokens of answers that are written there.
//
// Each router tells of its own work as a whole, by a version that grows. States merge
// whatever the order or repetition: the newest of each router counts. Each is told to a
// few others only, so that work goes with the number of routers; who has not been heard
// of lately is taken for the mean of those who have, oneself among them.
//
// The package does no I/O and starts nothing; the clock is an argument. A Board is not
// safe for concurrent use.
package counts

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Time is a reading of the caller's monotonic clock from an arbitrary start.
type Time time.Duration

const (
	mostWorkers = 4096 // in one state
	mostTokens  = 1e8  // at one worker; what is more makes no sense
	forgetAfter = 10   // times Fresh, after which a state is dropped
	least       = 0.5  // tokens; what is less is rounding
)

// Work is what is out at one worker, in tokens.
type Work struct {
	_      struct{} `cbor:",toarray"`
	Unread float64  // prompts that wait there to be read
	Held   float64  // prompts and answers that it holds while it writes
}

func (w Work) plus(v Work, times float64) Work {
	return Work{Unread: w.Unread + times*v.Unread, Held: w.Held + times*v.Held}
}

func (w Work) sane() bool {
	return w.Unread >= 0 && w.Unread <= mostTokens && w.Held >= 0 && w.Held <= mostTokens
}

// State is all that one router has out.
type State struct {
	Router  string          `cbor:"1,keyasint"`
	Life    uint64          `cbor:"2,keyasint"` // its incarnation
	Version uint64          `cbor:"3,keyasint"`
	Work    map[string]Work `cbor:"5,keyasint"` // by worker
}

// Board is what one router knows of all.
type Board struct {
	self   string
	others int // routers beside this one
	fresh  time.Duration
	own    State
	states map[string]*state
	known  map[string]bool
}

type state struct {
	State
	at Time
}

// New returns a board of a router among the given ones. A state loses its weight with
// the time constant fresh. The life grows with each start.
func New(self string, routers []string, life uint64, fresh time.Duration) *Board {
	b := &Board{self: self, fresh: fresh, own: State{Router: self, Life: life, Work: map[string]Work{}},
		states: map[string]*state{}, known: map[string]bool{}}
	for _, r := range routers {
		b.known[r] = r != self
	}
	b.others = len(routers) - 1
	return b
}

// SetLife tells that this process goes by a newer life.
func (b *Board) SetLife(life uint64) { b.own.Life = max(b.own.Life, life) }

// Add notes own work at a worker, sent or, if negative, done.
func (b *Board) Add(worker string, more Work) {
	w, ok := b.own.Work[worker]
	w = w.plus(more, 1)
	switch {
	case !ok && len(b.own.Work) >= mostWorkers || math.IsNaN(w.Unread+w.Held):
	case w.Unread < least && w.Held < least:
		delete(b.own.Work, worker)
	default:
		b.own.Work[worker] = Work{Unread: min(max(w.Unread, 0), mostTokens), Held: min(max(w.Held, 0), mostTokens)}
	}
}

// Tell returns the own state, of a new version.
func (b *Board) Tell() State {
	b.own.Version++
	s := b.own
	s.Work = maps.Clone(b.own.Work)
	return s
}

// Receive takes another router's state. One that is older than what is known, of a
// stranger, or past all bounds is passed over.
func (b *Board) Receive(s State, now Time) {
	if !b.known[s.Router] || len(s.Work) > mostWorkers {
		return
	}
	was := b.states[s.Router]
	if was != nil && (s.Life < was.Life || s.Life == was.Life && s.Version <= was.Version) {
		return
	}
	for _, w := range s.Work {
		if !w.sane() {
			return
		}
	}
	b.states[s.Router] = &state{s, now}
}

// Own is what this router has at a worker.
func (b *Board) Own(worker string) Work { return b.own.Work[worker] }

// Peers is what the other routers have at each worker where somebody has something, the
// sum over all of them. Workers are told in order.
func (b *Board) Peers(now Time, tell func(worker string, w Work)) {
	maps.DeleteFunc(b.states, func(_ string, s *state) bool { return now-s.at > Time(forgetAfter*b.fresh) })
	heard, sums, seen := 0.0, map[string]Work{}, map[string]Work{}
	for w, v := range b.own.Work {
		seen[w] = v
	}
	for _, s := range b.states {
		weight := b.weight(s, now)
		heard += weight
		for w, v := range s.Work {
			sums[w], seen[w] = sums[w].plus(v, weight), seen[w].plus(v, weight)
		}
	}
	// Those who are heard of count by their weight; for the rest stands the mean of all who are known.
	rest := math.Max(float64(b.others)-heard, 0) / (heard + 1)
	for _, w := range slices.Sorted(maps.Keys(seen)) {
		tell(w, sums[w].plus(seen[w], rest))
	}
}

func (b *Board) weight(s *state, now Time) float64 {
	return math.Exp(-float64(max(now-s.at, 0)) / float64(b.fresh))
}

// Heard is how many others count, each by its weight.
func (b *Board) Heard(now Time) float64 {
	heard := 0.0
	for _, s := range b.states {
		heard += b.weight(s, now)
	}
	return heard
}
