// Package counts estimates the load that the other routers of a fleet have at each worker: prompt
// tokens that were sent there and not yet read, and tokens of answers that are written there.
//
// Each router reports all of its own work in one state with an increasing version. States merge in
// any order and with any repetition: the newest state of each router counts. A router sends its
// state to a few others per round, so the cost is proportional to the number of routers. A router
// without a recent state counts as the mean of the known ones, including this router.
//
// The package does no I/O and starts no goroutines; the clock is an argument. A Board is not safe
// for concurrent use.
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
	maxWorkers  = 4096 // in one state
	maxTokens   = 1e8  // at one worker; larger values are invalid
	forgetAfter = 10   // multiple of fresh after which a state is dropped
	minTokens   = 0.5  // tokens; less is a rounding error
)

// Work is the open load at one worker, in tokens.
type Work struct {
	_      struct{} `cbor:",toarray"`
	Unread float64  // prompts that wait there to be read
	Held   float64  // prompts and answers that it holds while it writes
}

func (w Work) plus(v Work, times float64) Work {
	return Work{Unread: w.Unread + times*v.Unread, Held: w.Held + times*v.Held}
}

func (w Work) valid() bool {
	return w.Unread >= 0 && w.Unread <= maxTokens && w.Held >= 0 && w.Held <= maxTokens
}

// State is all open work of one router.
type State struct {
	Router      string          `cbor:"1,keyasint"`
	Incarnation uint64          `cbor:"2,keyasint"`
	Version     uint64          `cbor:"3,keyasint"`
	Work        map[string]Work `cbor:"5,keyasint"` // by worker
}

// Board holds one router's own work and the latest states of the others.
type Board struct {
	self   string
	others int // number of routers other than this one
	fresh  time.Duration
	own    State
	states map[string]*state
	known  map[string]bool
}

type state struct {
	State
	at Time
}

// New returns the board of one of the given routers. The weight of a state decays with the time
// constant fresh. The incarnation increases with each start.
func New(self string, routers []string, incarnation uint64, fresh time.Duration) *Board {
	b := &Board{self: self, fresh: fresh, own: State{Router: self, Incarnation: incarnation, Work: map[string]Work{}},
		states: map[string]*state{}, known: map[string]bool{}}
	for _, r := range routers {
		b.known[r] = r != self
	}
	b.others = len(routers) - 1
	return b
}

// SetIncarnation sets a newer incarnation for this process.
func (b *Board) SetIncarnation(incarnation uint64) {
	b.own.Incarnation = max(b.own.Incarnation, incarnation)
}

// Add records own work at a worker: sent, or completed if negative.
func (b *Board) Add(worker string, more Work) {
	w, ok := b.own.Work[worker]
	w = w.plus(more, 1)
	switch {
	case !ok && len(b.own.Work) >= maxWorkers || math.IsNaN(w.Unread+w.Held):
	case w.Unread < minTokens && w.Held < minTokens:
		delete(b.own.Work, worker)
	default:
		b.own.Work[worker] = Work{Unread: min(max(w.Unread, 0), maxTokens), Held: min(max(w.Held, 0), maxTokens)}
	}
}

// NextState returns the own state with a new version.
func (b *Board) NextState() State {
	b.own.Version++
	s := b.own
	s.Work = maps.Clone(b.own.Work)
	return s
}

// Receive stores another router's state. It ignores a state that is older than the stored one, of
// an unknown router, or out of bounds.
func (b *Board) Receive(s State, now Time) {
	if !b.known[s.Router] || len(s.Work) > maxWorkers {
		return
	}
	was := b.states[s.Router]
	if was != nil && (s.Incarnation < was.Incarnation || s.Incarnation == was.Incarnation && s.Version <= was.Version) {
		return
	}
	for _, w := range s.Work {
		if !w.valid() {
			return
		}
	}
	b.states[s.Router] = &state{s, now}
}

// Own returns this router's work at a worker.
func (b *Board) Own(worker string) Work { return b.own.Work[worker] }

// Peers calls report, in order of the workers' names, with an estimate of the other routers' total
// work at each worker where any router has work.
func (b *Board) Peers(now Time, report func(worker string, w Work)) {
	maps.DeleteFunc(b.states, func(_ string, s *state) bool { return now-s.at > Time(forgetAfter*b.fresh) })
	totalWeight, sums, seen := 0.0, map[string]Work{}, map[string]Work{}
	for w, v := range b.own.Work {
		seen[w] = v
	}
	for _, s := range b.states {
		weight := b.weight(s, now)
		totalWeight += weight
		for w, v := range s.Work {
			sums[w], seen[w] = sums[w].plus(v, weight), seen[w].plus(v, weight)
		}
	}
	// Received states count by their weight; the remaining routers count as the mean of all known
	// states.
	rest := math.Max(float64(b.others)-totalWeight, 0) / (totalWeight + 1)
	for _, w := range slices.Sorted(maps.Keys(seen)) {
		report(w, sums[w].plus(seen[w], rest))
	}
}

func (b *Board) weight(s *state, now Time) float64 {
	return math.Exp(-float64(max(now-s.at, 0)) / float64(b.fresh))
}

// PeerWeight returns the sum of the weights of the other routers' states.
func (b *Board) PeerWeight(now Time) float64 {
	totalWeight := 0.0
	for _, s := range b.states {
		totalWeight += b.weight(s, now)
	}
	return totalWeight
}
