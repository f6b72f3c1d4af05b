// Package counts tells what the other routers of a fleet have at each worker: prompt
// tokens sent there and not yet read.
//
// Each router tells of its own work as a whole, by a version that grows. States merge
// whatever the order or repetition: the newest of each router counts. Each is told to a
// few others only, so that work goes with the number of routers; who has not been heard
// of lately is taken for the mean of those who have.
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
	mostWorkers = 1024 // in one state
	mostTokens  = 1e8  // at one worker; what is more makes no sense
	forgetAfter = 10   // times Fresh, after which a state is dropped
)

// State is all that one router has out.
type State struct {
	Router  string             `cbor:"1,keyasint"`
	Life    uint64             `cbor:"2,keyasint"` // its incarnation
	Version uint64             `cbor:"3,keyasint"`
	Tokens  map[string]float64 `cbor:"4,keyasint"` // by worker
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
	b := &Board{self: self, fresh: fresh, own: State{Router: self, Life: life, Tokens: map[string]float64{}},
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
func (b *Board) Add(worker string, tokens float64) {
	v := b.own.Tokens[worker] + tokens
	if _, ok := b.own.Tokens[worker]; !ok && len(b.own.Tokens) >= mostWorkers || math.IsNaN(v) {
		return
	}
	if v < 0.5 {
		delete(b.own.Tokens, worker)
	} else {
		b.own.Tokens[worker] = math.Min(v, mostTokens)
	}
}

// Tell returns the own state, of a new version.
func (b *Board) Tell() State {
	b.own.Version++
	s := b.own
	s.Tokens = maps.Clone(b.own.Tokens)
	return s
}

// Receive takes another router's state. One that is older than what is known, of a
// stranger, or past all bounds is passed over.
func (b *Board) Receive(s State, now Time) {
	if !b.known[s.Router] || len(s.Tokens) > mostWorkers {
		return
	}
	was := b.states[s.Router]
	if was != nil && (s.Life < was.Life || s.Life == was.Life && s.Version <= was.Version) {
		return
	}
	for _, v := range s.Tokens {
		if !(v >= 0 && v <= mostTokens) {
			return
		}
	}
	b.states[s.Router] = &state{s, now}
}

// Peers is what the other routers have at each worker where they have something, the
// sum over all of them. Workers are told in order.
func (b *Board) Peers(now Time, tell func(worker string, tokens float64)) {
	weights, heard := map[string]float64{}, 0.0
	maps.DeleteFunc(b.states, func(_ string, s *state) bool { return now-s.at > Time(forgetAfter*b.fresh) })
	for name, s := range b.states {
		weights[name] = math.Exp(-float64(max(now-s.at, 0)) / float64(b.fresh))
		heard += weights[name]
	}
	if heard == 0 {
		return
	}
	sums := map[string]float64{}
	for name, s := range b.states {
		for w, v := range s.Tokens {
			sums[w] += weights[name] * v
		}
	}
	// Those who are heard of count by their weight, the mean stands for the rest of all.
	scale := float64(b.others) / heard
	if heard > float64(b.others) {
		scale = 1
	}
	for _, w := range slices.Sorted(maps.Keys(sums)) {
		tell(w, sums[w]*scale)
	}
}

// Heard is how many others count, each by its weight.
func (b *Board) Heard(now Time) float64 {
	heard := 0.0
	for _, s := range b.states {
		heard += math.Exp(-float64(max(now-s.at, 0)) / float64(b.fresh))
	}
	return heard
}
