// Package version keeps what a router acts on in order: each part of it, such as the
// configuration or a list of workers, has a version that only goes up, and never goes below
// what the router has acknowledged, not even after a restart. All parts together are a
// vector; each vector that was acted on has a number of its own, by which a decision names
// what it rests on.
//
// The package does no I/O and starts nothing. A Tracker is not safe for concurrent use.
package version

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// ErrOlder says that a version lies below one that is held, or was acknowledged.
var ErrOlder = errors.New("older than what is known")

// mostKept is how many vectors are remembered by their numbers.
const mostKept = 1024

// Here begins the name of a part whose versions this router counts by itself: they order its own records, and can't be
// held against another router's.
const Here = "here/"

// Shared is the part of v that can be compared between routers.
func (v Vector) Shared() Vector {
	out := Vector{}
	for part, n := range v {
		if !strings.HasPrefix(part, Here) {
			out[part] = n
		}
	}
	return out
}

// Known is the part of v that o has as well.
func (v Vector) Known(o Vector) Vector {
	out := Vector{}
	for part, n := range v {
		if _, ok := o[part]; ok {
			out[part] = n
		}
	}
	return out
}

// Vector holds the version of each part. A part that is missing has version 0.
type Vector map[string]uint64

// Compare tells whether v is older than o in some part, and whether it is newer in some.
func (v Vector) Compare(o Vector) (older, newer bool) {
	for part, n := range v {
		newer = newer || n > o[part]
	}
	for part, n := range o {
		older = older || v[part] < n
	}
	return older, newer
}

// Behind is by how many versions v lies below o, over all parts.
func (v Vector) Behind(o Vector) (sum uint64) {
	for part, n := range o {
		if n > v[part] {
			sum += n - v[part]
		}
	}
	return sum
}

// Tracker knows what one router acts on.
type Tracker struct {
	held   Vector
	acked  Vector
	number uint64
	kept   map[uint64]Vector
}

// New returns a tracker of a router that has acknowledged so much before it was started;
// nil if that is nothing, or not known.
func New(acked Vector) *Tracker {
	t := &Tracker{held: Vector{}, acked: maps.Clone(acked), kept: map[uint64]Vector{0: {}}}
	if t.acked == nil {
		t.acked = Vector{}
	}
	return t
}

// Take goes over to a version of a part. One that is held already changes nothing; one
// below what is held or was acknowledged is ErrOlder, and changes nothing either.
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
	delete(t.kept, t.number-mostKept)
	return true, nil
}

// Leave gives up a part: what is acted on has none of it any more.
func (t *Tracker) Leave(part string) { delete(t.held, part) }

// Floor notes that a version of a part was acknowledged before the start.
func (t *Tracker) Floor(part string, acked uint64) { t.acked[part] = max(t.acked[part], acked) }

// Acknowledge notes that the held version of a part has been acknowledged to others.
func (t *Tracker) Acknowledge(part string) { t.acked[part] = max(t.acked[part], t.held[part]) }

// Number names what is acted on now. It grows with each change.
func (t *Tracker) Number() uint64 { return t.number }

// Held is what is acted on now.
func (t *Tracker) Held() Vector { return maps.Clone(t.held) }

// Acked is what has been acknowledged.
func (t *Tracker) Acked() Vector { return maps.Clone(t.acked) }

// At is the vector of a number; false if it is not remembered.
func (t *Tracker) At(number uint64) (Vector, bool) {
	v, ok := t.kept[number]
	return maps.Clone(v), ok
}

// Missing names the parts whose version lies below what was acknowledged: until they are
// there, a router acts on less than it has said.
func (t *Tracker) Missing() []string {
	var out []string
	for _, part := range slices.Sorted(maps.Keys(t.acked)) {
		if t.held[part] < t.acked[part] {
			out = append(out, part)
		}
	}
	return out
}
