// Package traffic is the map of where each entry zone's traffic goes, decided once for all routers, and the way from one map to
// the next.
//
// A map has an epoch. A router takes only one of a later epoch; a decider that was stopped and comes back with an older one is
// not heard, and of two with the same epoch the first that came holds until a later one comes (Keeper). The decider moves by
// steps (Stepper): what a zone gets more of at a time is bounded by what it bears, what it gets back by less; traffic leaves a
// zone that may not be used at once, and what the others can't bear of it yet is shed, not sent there. How many maps are made
// in a time is bounded whatever comes in.
//
// A map that is not renewed grows old: past Fresh a router goes over to its own zone and a bounded spill, little by little
// over Fade, never in a jump. That is all that the minority side of a partition may do: keep its map, and move towards its own
// side; what it can't see itself it does not use.
//
// The package does no I/O and starts nothing; clocks are arguments. Nothing here is safe for concurrent use.
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

// Map says where traffic goes. Zones name the rows and columns.
type Map struct {
	Epoch uint64      `cbor:"1,keyasint" json:"epoch"`
	Zones []string    `cbor:"2,keyasint" json:"zones"`
	Read  [][]float64 `cbor:"3,keyasint" json:"read"`  // by entry and readers' zone; what is missing to 1 is shed
	Write [][]float64 `cbor:"4,keyasint" json:"write"` // by readers' zone and writers' zone
	Why   string      `cbor:"5,keyasint" json:"why"`
	By    string      `cbor:"6,keyasint" json:"by"` // the router that decided
	// Level is the part of each zone's capacity that may be used; nothing new goes to the workers of one at 0. Empty: all of it.
	Level []float64 `cbor:"7,keyasint,omitempty" json:"level"`
}

// The faults of a map.
var (
	ErrOlder = errors.New("of an epoch that is over")
	ErrOther = errors.New("another map of the same epoch holds")
	ErrMap   = errors.New("the map makes no sense")
)

const (
	mostZones = 256
	roundOff  = 1e-6
)

// Check tells what makes no sense in a map.
func (m *Map) Check() error {
	n := len(m.Zones)
	bad := func(format string, args ...any) error {
		return fmt.Errorf("%w: %s", ErrMap, fmt.Sprintf(format, args...))
	}
	if n == 0 || n > mostZones || len(m.Read) != n || len(m.Write) != n {
		return bad("%d zones, %d rows of read, %d of write", n, len(m.Read), len(m.Write))
	}
	for i, z := range m.Zones {
		if z == "" || slices.Contains(m.Zones[:i], z) {
			return bad("zones hold %q, empty or named twice", z)
		}
	}
	if len(m.Level) != 0 && len(m.Level) != n {
		return bad("%d levels of %d zones", len(m.Level), n)
	}
	for i, l := range m.Level {
		if !(l >= 0 && l <= 1) {
			return bad("level of %s is %v, not from 0 to 1", m.Zones[i], l)
		}
	}
	for name, rows := range map[string][][]float64{"read": m.Read, "write": m.Write} {
		for i, row := range rows {
			sum := 0.0
			for _, v := range row {
				if !(v >= 0 && v <= 1+roundOff) {
					return bad("%s of %s holds %v, not from 0 to 1", name, m.Zones[i], v)
				}
				sum += v
			}
			if len(row) != n || sum > 1+roundOff {
				return bad("%s of %s has %d parts that are %v in all", name, m.Zones[i], len(row), sum)
			}
		}
	}
	return nil
}

// same tells whether two maps say the same, whoever made them and why.
func (m *Map) same(o *Map) bool {
	equal := func(a, b [][]float64) bool { return slices.EqualFunc(a, b, slices.Equal) }
	return slices.Equal(m.Zones, o.Zones) && slices.Equal(m.Level, o.Level) && equal(m.Read, o.Read) && equal(m.Write, o.Write)
}

// Terms say how a router holds a map.
type Terms struct {
	Fresh time.Duration // a map that was renewed less long ago counts in full
	Fade  time.Duration // from there until only the own zone and the spill are left
	Spill float64       // part that a router without a map may send to other zones, 0 to 1
}

// Keeper is a router's hold on the map.
type Keeper struct {
	terms Terms
	zone  string
	now   *Map
	at    Time // when it was renewed last
}

// NewKeeper returns the keeper of a router in a zone, without a map.
func NewKeeper(terms Terms, zone string) (*Keeper, error) {
	if !(terms.Spill >= 0 && terms.Spill <= 1) || terms.Fresh <= 0 || terms.Fade <= 0 {
		return nil, fmt.Errorf("%w: spill is %v, fresh %v and fade %v, not from 0 to 1, over 0 and over 0", ErrMap, terms.Spill, terms.Fresh, terms.Fade)
	}
	return &Keeper{terms: terms, zone: zone}, nil
}

// Take goes over to a map, or renews the one that holds, which came at a time. An older one is ErrOlder, another one of the
// same epoch ErrOther.
func (k *Keeper) Take(m *Map, at Time) error {
	if err := m.Check(); err != nil {
		return err
	}
	switch {
	case k.now == nil || m.Epoch > k.now.Epoch:
		k.now, k.at = m, at
		return nil
	case m.Epoch < k.now.Epoch:
		return fmt.Errorf("%w: %d, this router goes by %d", ErrOlder, m.Epoch, k.now.Epoch)
	case !m.same(k.now):
		return fmt.Errorf("%w: %d, of %s, not of %s", ErrOther, m.Epoch, k.now.By, m.By)
	}
	k.at = max(k.at, at)
	return nil
}

// Map is what holds, and how long ago it was renewed; nil without one.
func (k *Keeper) Map(now Time) (*Map, time.Duration) { return k.now, time.Duration(max(now-k.at, 0)) }

// Barred tells whether nothing new may go to a zone's workers: by the map, while it is fresh. One that grows old bars nobody
// any more; own evidence does.
func (k *Keeper) Barred(zone string, now Time) bool {
	if k.now == nil || len(k.now.Level) == 0 || time.Duration(now-k.at) > k.terms.Fresh {
		return false
	}
	i := slices.Index(k.now.Zones, zone)
	return i >= 0 && k.now.Level[i] == 0
}

// Shares is the part of this router's traffic that is to be read in each of the zones; what is missing to 1 is to be shed.
// Seen tells which zones it can reach itself; those that it can't get nothing, and theirs goes to the ones it sees as they
// share.
func (k *Keeper) Shares(zones []string, seen func(zone string) bool, now Time) []float64 {
	alone := k.alone(zones, seen)
	if k.now == nil {
		return alone
	}
	entry := slices.Index(k.now.Zones, k.zone)
	if entry < 0 { // a map that does not know this zone says nothing to it
		return alone
	}
	told, lost, kept := make([]float64, len(zones)), 0.0, 0.0
	for i, z := range zones {
		if j := slices.Index(k.now.Zones, z); j >= 0 {
			if told[i] = k.now.Read[entry][j]; !seen(z) {
				lost += told[i]
				told[i] = 0
			}
			kept += told[i]
		}
	}
	if lost > 0 && kept > 0 {
		for i := range told {
			told[i] *= (kept + lost) / kept
		}
	}
	if kept == 0 && lost > 0 {
		told = alone
	}
	fade := math.Min(math.Max((time.Duration(now-k.at)-k.terms.Fresh).Seconds()/k.terms.Fade.Seconds(), 0), 1)
	for i := range told {
		told[i] += fade * (alone[i] - told[i])
	}
	return told
}

// alone is what a router does that goes by no map: its own zone, and a spill over the others that it sees; all of it over those
// where it does not see its own.
func (k *Keeper) alone(zones []string, seen func(string) bool) []float64 {
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
