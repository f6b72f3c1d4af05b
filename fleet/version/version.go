// Package version keeps track of the versions that a router acts on. Each part of its state, such
// as the configuration or a list of workers, has a version that only increases, and that is never
// less than what the router has acknowledged, even after a restart. The versions of all parts form
// a vector. Each vector that the router acted on has a number, by which a decision refers to the
// versions it was based on.
//
// The package does no I/O and starts no goroutines. A Tracker is not safe for concurrent use.
package version

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// ErrOlder is returned for a version that is older than the held or the acknowledged one.
var ErrOlder = errors.New("older than what is known")

// maxKept is the number of vectors that are kept by their numbers.
const maxKept = 1024

// LocalPrefix is the prefix of the parts whose versions this router counts by itself. They order
// its own records and can't be compared with those of another router.
const LocalPrefix = "here/"

// Shared returns the parts of v that can be compared between routers.
func (v Vector) Shared() Vector {
	out := Vector{}
	for part, n := range v {
		if !strings.HasPrefix(part, LocalPrefix) {
			out[part] = n
		}
	}
	return out
}

// Restrict returns the parts of v that o has as well.
func (v Vector) Restrict(o Vector) Vector {
	out := Vector{}
	for part, n := range v {
		if _, ok := o[part]; ok {
			out[part] = n
		}
	}
	return out
}

// Vector holds the version of each part. A missing part has version 0.
type Vector map[string]uint64

// Compare reports whether v is older than o in some part, and whether it is newer in some part.
func (v Vector) Compare(o Vector) (older, newer bool) {
	for part, n := range v {
		newer = newer || n > o[part]
	}
	for part, n := range o {
		older = older || v[part] < n
	}
	return older, newer
}

// Lag returns the number of versions by which v lags behind o, over all parts.
func (v Vector) Lag(o Vector) (sum uint64) {
	for part, n := range o {
		if n > v[part] {
			sum += n - v[part]
		}
	}
	return sum
}

// Tracker holds the versions that one router acts on.
type Tracker struct {
	held   Vector
	acked  Vector
	number uint64
	kept   map[uint64]Vector
}

// New returns the tracker of a router that acknowledged the given versions before it started; nil
// if none or unknown.
func New(acked Vector) *Tracker {
	t := &Tracker{held: Vector{}, acked: maps.Clone(acked), kept: map[uint64]Vector{0: {}}}
	if t.acked == nil {
		t.acked = Vector{}
	}
	return t
}

// Take sets the version of a part. The held version changes nothing; a version less than the held
// or the acknowledged one returns ErrOlder and changes nothing.
func (t *Tracker) Take(part string, v uint64) (changed bool, err error) {
	switch {
	case v < t.held[part]:
		return false, fmt.Errorf("%w: %s is at %d, not %d", ErrOlder, part, t.held[part], v)
	case v < t.acked[part]:
		return false, fmt.Errorf("%w: %s was acknowledged at %d, not %d", ErrOlder, part, t.acked[part], v)
	case v == t.held[part]:
		return false, nil
	}
	t.held[part] = v
	t.number++
	t.kept[t.number] = maps.Clone(t.held)
	delete(t.kept, t.number-maxKept)
	return true, nil
}

// Remove removes a part from what the router acts on.
func (t *Tracker) Remove(part string) { delete(t.held, part) }

// Floor records that a version of a part was acknowledged before the start.
func (t *Tracker) Floor(part string, acked uint64) { t.acked[part] = max(t.acked[part], acked) }

// Acknowledge records that the held version of a part has been acknowledged to others.
func (t *Tracker) Acknowledge(part string) { t.acked[part] = max(t.acked[part], t.held[part]) }

// Number identifies the held versions. It increases with each change.
func (t *Tracker) Number() uint64 { return t.number }

// Held returns the versions that the router acts on.
func (t *Tracker) Held() Vector { return maps.Clone(t.held) }

// Acked returns the acknowledged versions.
func (t *Tracker) Acked() Vector { return maps.Clone(t.acked) }

// At returns the vector with a number; false if it is no longer kept.
func (t *Tracker) At(number uint64) (Vector, bool) {
	v, ok := t.kept[number]
	return maps.Clone(v), ok
}

// Missing returns the parts whose held version is less than the acknowledged one. Until they
// arrive, the router acts on older versions than it has acknowledged.
func (t *Tracker) Missing() []string {
	var out []string
	for _, part := range slices.Sorted(maps.Keys(t.acked)) {
		if t.held[part] < t.acked[part] {
			out = append(out, part)
		}
	}
	return out
}
