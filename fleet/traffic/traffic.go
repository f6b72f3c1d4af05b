// Package traffic holds the map of where each entry zone's traffic goes, which is decided once for
// all routers, and computes the steps from one map to the next.
//
// A map has an epoch. A router accepts only a map of a later epoch. A map of a decider that was
// stopped and resumes with an older epoch is ignored, and of two maps with the same epoch the first
// one received stays in effect until a later one arrives (Keeper).
//
// The decider moves traffic in steps (Stepper). In one step a zone gains no more load than it has
// capacity for, and regains its own entry's traffic more slowly. Traffic leaves a zone that may not
// be used at once; the part of it for which the other zones have no capacity yet is shed instead.
// The number of maps made in a time is bounded for any input.
//
// A map that is not renewed expires: after Fresh a router changes gradually, over Fade, to its own
// zone and a bounded spill, without a jump. The minority side of a partition may do no more than
// that: keep its map, and move its traffic towards its own zones. It does not use zones that it
// can't reach itself.
//
// The package does no I/O and starts no goroutines; clocks are arguments. No type in it is safe for
// concurrent use.
package traffic

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"time"
)

// Time is a reading of the caller's monotonic clock from an arbitrary start.
type Time time.Duration

// Map states where traffic goes. Zones are the names of the rows and columns.
type Map struct {
	Epoch uint64   `cbor:"1,keyasint" json:"epoch"`
	Zones []string `cbor:"2,keyasint" json:"zones"`
	// By entry and readers' zone; the difference from 1 is shed.
	Read  [][]float64 `cbor:"3,keyasint" json:"read"`
	Write [][]float64 `cbor:"4,keyasint" json:"write"` // by readers' zone and writers' zone
	Why   string      `cbor:"5,keyasint" json:"why"`
	By    string      `cbor:"6,keyasint" json:"by"` // the router that decided
	// Level is the part of each zone's capacity that may be used; the workers of a zone at 0
	// receive nothing new. Empty: all zones may be used in full.
	Level []float64 `cbor:"7,keyasint,omitempty" json:"level"`
}

// The errors for a map that is not accepted.
var (
	ErrOlder = errors.New("epoch is outdated")
	ErrOther = errors.New("another map of the same epoch is in effect")
	ErrMap   = errors.New("invalid map")
)

const (
	maxZones          = 256
	roundingTolerance = 1e-6
)

// Check returns an error if the map is invalid.
func (m *Map) Check() error {
	n := len(m.Zones)
	bad := func(format string, args ...any) error {
		return fmt.Errorf("%w: %s", ErrMap, fmt.Sprintf(format, args...))
	}
	if n == 0 || n > maxZones || len(m.Read) != n || len(m.Write) != n {
		return bad("%d zones, %d rows of read, %d of write", n, len(m.Read), len(m.Write))
	}
	for i, z := range m.Zones {
		if z == "" || slices.Contains(m.Zones[:i], z) {
			return bad("zones hold %q, empty or duplicate", z)
		}
	}
	if len(m.Level) != 0 && len(m.Level) != n {
		return bad("%d levels of %d zones", len(m.Level), n)
	}
	for i, l := range m.Level {
		if !(l >= 0 && l <= 1) {
			return bad("level of %s is %v, must be from 0 to 1", m.Zones[i], l)
		}
	}
	for name, rows := range map[string][][]float64{"read": m.Read, "write": m.Write} {
		for i, row := range rows {
			sum := 0.0
			for _, v := range row {
				if !(v >= 0 && v <= 1+roundingTolerance) {
					return bad("%s of %s holds %v, must be from 0 to 1", name, m.Zones[i], v)
				}
				sum += v
			}
			if len(row) != n || sum > 1+roundingTolerance {
				return bad("%s of %s has %d parts with a sum of %v", name, m.Zones[i], len(row), sum)
			}
		}
	}
	return nil
}

// same reports whether two maps have equal contents, regardless of By and Why.
func (m *Map) same(o *Map) bool {
	equal := func(a, b [][]float64) bool { return slices.EqualFunc(a, b, slices.Equal) }
	return slices.Equal(m.Zones, o.Zones) && slices.Equal(m.Level, o.Level) && equal(m.Read, o.Read) && equal(m.Write, o.Write)
}

// Terms say how long a router applies a map that is not renewed.
type Terms struct {
	Fresh time.Duration // time since the renewal for which a map applies in full
	Fade  time.Duration // time from there until only the own zone and the spill remain
	Spill float64       // part that a router without a map may send to other zones, 0 to 1
}

// Keeper holds the map that is in effect at a router.
type Keeper struct {
	terms     Terms
	zone      string
	current   *Map
	renewedAt Time // when it was last renewed
}

// NewKeeper returns the keeper of a router in a zone, without a map.
func NewKeeper(terms Terms, zone string) (*Keeper, error) {
	if !(terms.Spill >= 0 && terms.Spill <= 1) || terms.Fresh <= 0 || terms.Fade <= 0 {
		return nil, fmt.Errorf("%w: spill is %v, fresh %v and fade %v, want 0 <= spill <= 1, fresh > 0 and fade > 0", ErrMap, terms.Spill, terms.Fresh, terms.Fade)
	}
	return &Keeper{terms: terms, zone: zone}, nil
}

// Take applies a map of a later epoch, or renews the current one, as of the time at. It returns
// ErrOlder for a map of an earlier epoch, and ErrOther for a different one of the same epoch.
func (k *Keeper) Take(m *Map, at Time) error {
	if err := m.Check(); err != nil {
		return err
	}
	switch {
	case k.current == nil || m.Epoch > k.current.Epoch:
		k.current, k.renewedAt = m, at
		return nil
	case m.Epoch < k.current.Epoch:
		return fmt.Errorf("%w: %d, this router applies %d", ErrOlder, m.Epoch, k.current.Epoch)
	case !m.same(k.current):
		return fmt.Errorf("%w: %d of %s, refused that of %s", ErrOther, m.Epoch, k.current.By, m.By)
	}
	k.renewedAt = max(k.renewedAt, at)
	return nil
}

// Map returns the current map, or nil, and the time since it was renewed.
func (k *Keeper) Map(now Time) (*Map, time.Duration) {
	return k.current, time.Duration(max(now-k.renewedAt, 0))
}

// Barred reports whether the map, while it is fresh, forbids sending new requests to a zone's
// workers. A map that is past Fresh bars no zone; the router's own evidence still does.
func (k *Keeper) Barred(zone string, now Time) bool {
	if k.current == nil || len(k.current.Level) == 0 || time.Duration(now-k.renewedAt) > k.terms.Fresh {
		return false
	}
	i := slices.Index(k.current.Zones, zone)
	return i >= 0 && k.current.Level[i] == 0
}

// Shares returns the part of this router's traffic that is to be read in each of the zones; the
// difference from 1 is to be shed. seen reports which zones the router can reach itself. The share
// of an unreachable zone is divided over the reachable ones in proportion to their shares.
func (k *Keeper) Shares(zones []string, seen func(zone string) bool, now Time) []float64 {
	defaults := k.defaultShares(zones, seen)
	if k.current == nil {
		return defaults
	}
	entry := slices.Index(k.current.Zones, k.zone)
	if entry < 0 { // a map that does not contain this zone does not apply to it
		return defaults
	}
	shares, unreachable, kept := make([]float64, len(zones)), 0.0, 0.0
	for i, z := range zones {
		if j := slices.Index(k.current.Zones, z); j >= 0 {
			if shares[i] = k.current.Read[entry][j]; !seen(z) {
				unreachable += shares[i]
				shares[i] = 0
			}
			kept += shares[i]
		}
	}
	if unreachable > 0 && kept > 0 {
		for i := range shares {
			shares[i] *= (kept + unreachable) / kept
		}
	}
	if kept == 0 && unreachable > 0 {
		shares = defaults
	}
	fade := math.Min(math.Max((time.Duration(now-k.renewedAt)-k.terms.Fresh).Seconds()/k.terms.Fade.Seconds(), 0), 1)
	for i := range shares {
		shares[i] += fade * (defaults[i] - shares[i])
	}
	return shares
}

// defaultShares returns the shares without a map: the own zone, and a spill over the other
// reachable ones; if its own zone is unreachable, everything goes to the others.
func (k *Keeper) defaultShares(zones []string, seen func(string) bool) []float64 {
	out := make([]float64, len(zones))
	others, own := 0, -1
	for i, z := range zones {
		switch {
		case z == k.zone && seen(z):
			own = i
		case seen(z):
			others++
		}
	}
	spill := k.terms.Spill
	if own < 0 {
		spill = 1
	}
	for i, z := range zones {
		switch {
		case i == own && others == 0:
			out[i] = 1
		case i == own:
			out[i] = 1 - spill
		case seen(z):
			out[i] = spill / float64(others)
		}
	}
	return out
}
