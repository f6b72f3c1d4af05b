// Package straggler decides what a router does that lies behind the others in what it acts on:
// it is brought up first, at a time of its own so that many behind at once don't all ask
// together; where that does not help in time, it is shut out, which means that it takes
// nothing new until it has caught up.
//
// Never the whole fleet: no more than a stated share is shut out at any time. Half of that
// share goes by slots, which a store hands out and takes back; the other half is for routers
// that hear of nobody for too long, and there the right is fixed by rank, since they can
// agree on nothing. A router without a slot or a right serves on with what it has, and shows
// how old that is.
//
// What wins: a bound on the share over a router's being behind; being brought up over being
// shut out; being shut out over serving something that was acknowledged to be over.
//
// The package does no I/O and starts nothing; clock and randomness are arguments. A Machine
// is not safe for concurrent use.
package straggler

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"time"

	"lichenshelf/fleet/version"
)

// Time is a reading of the caller's monotonic clock from an arbitrary start.
type Time time.Duration

// State is what a router is.
type State uint8

// The states of a router.
const (
	Current    State = iota
	Behind           // it waits for its time to be brought up
	CatchingUp       // it has asked for what it lacks
	ShutOut          // it takes nothing new
)

// String implements fmt.Stringer.
func (s State) String() string {
	return [...]string{"current", "behind", "catching up", "shut out"}[min(s, ShutOut)]
}

// Config says when a router counts as behind and what may come of it. All but Rank must be the
// same at every router.
type Config struct {
	Routers  int
	Rank     int           // of this router among all, from 0: no two have the same
	Versions uint64        // so many behind, over all parts, count
	Grace    time.Duration // to be brought up in
	MostAge  time.Duration // without word of what is newest; 0: any age serves on
	MostShut float64       // share of the routers that may be shut out, 0 to 0.5
	Rate     float64       // routers a second, over all, that may ask to be brought up
	Steady   time.Duration // caught up for so long before it is let in again; longer each time soon after the last
}

// ErrConfig is what a faulty Config wraps.
var ErrConfig = errors.New("straggler")

const (
	mostDoublings = 4  // of Steady
	forgetAfter   = 20 // times Grace, after which an earlier shutting out counts no more
	askEvery      = 4  // times in a Grace that a slot is asked for
	againAfter    = 2  // askings to be brought up in a Grace
)

func (c *Config) check() error {
	switch {
	case c.Routers < 1:
		return fmt.Errorf("%w: routers is %d, not 1 or more", ErrConfig, c.Routers)
	case c.Rank < 0 || c.Rank >= c.Routers:
		return fmt.Errorf("%w: rank is %d, not from 0 to %d", ErrConfig, c.Rank, c.Routers-1)
	case c.Versions < 1:
		return fmt.Errorf("%w: versions is %d, not 1 or more", ErrConfig, c.Versions)
	case c.Grace <= 0 || c.MostAge < 0 || c.Steady < 0:
		return fmt.Errorf("%w: grace is %v, most_age %v and steady %v, not over 0, 0 or more and 0 or more", ErrConfig, c.Grace, c.MostAge, c.Steady)
	case !(c.MostShut >= 0 && c.MostShut <= 0.5):
		return fmt.Errorf("%w: most_shut is %v, not from 0 to 0.5", ErrConfig, c.MostShut)
	case !(c.Rate > 0):
		return fmt.Errorf("%w: rate is %v, not over 0", ErrConfig, c.Rate)
	}
	return nil
}

// Most is how many routers may be shut out at a time.
func (c *Config) Most() int { return int(c.MostShut * float64(c.Routers)) }

// Slots is how many of them go by the store's word; the rest go by rank.
func (c *Config) Slots() int { return (c.Most() + 1) / 2 }

// right tells whether this router may shut itself out with nobody's word.
func (c *Config) right() bool { return c.Rank < c.Most()-c.Slots() }

// View is what a router knows.
type View struct {
	Held   version.Vector // what it acts on
	Newest version.Vector // what it has heard to be newest
	Heard  Time           // when somebody who knows confirmed that
	Slot   bool           // the store has given it a slot that it still holds
}

// ActionKind says what is to be done.
type ActionKind uint8

// What a router may have to do.
const (
	BringUp  ActionKind = iota + 1 // ask for what it lacks
	AskSlot                        // ask the store for a slot; to ask twice is to ask once
	GiveSlot                       // give the slot back
	Shut                           // take nothing new, give back what is borrowed; Why says it
	LetIn                          // take new requests again, under a new epoch
)

// Action is something to be done.
type Action struct {
	Kind ActionKind
	Why  string
}

// Machine is one router's.
type Machine struct {
	cfg    Config
	rng    *rand.Rand
	state  State
	since  Time // behind
	turn   Time // when it is to be brought up
	asked  Time // for a slot
	steady Time // caught up since, while shut out
	shut   Time // last shut out
	times  int  // shut out, each soon after the last
	byAge  bool // shut out by its right, not by a slot
	began  bool
	target version.Vector // what was newest when the router fell behind; once it is there, a newer one counts anew
}

// New returns a machine of a router that is current.
func New(cfg Config, rng *rand.Rand) (*Machine, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	return &Machine{cfg: cfg, rng: rng}, nil
}

// State is what the router is by now.
func (m *Machine) State() State { return m.state }

// Age is how long ago it was confirmed that what is held, or what is known to be newer, is newest.
func Age(v View, now Time) time.Duration { return time.Duration(max(now-v.Heard, 0)) }

// Step takes what is known now and returns what is to be done. It is to be called several
// times in a Grace, and whenever the view changes.
func (m *Machine) Step(v View, now Time) []Action {
	lacks := v.Held.Behind(v.Newest)
	behind := lacks >= m.cfg.Versions
	if m.state != Current && m.target != nil && v.Held.Behind(m.target) == 0 {
		m.since, m.target = now, maps.Clone(v.Newest) // it is at work: where versions come all the time, nobody ever has the newest
	}
	old := m.cfg.MostAge > 0 && Age(v, now) > m.cfg.MostAge
	if m.state == ShutOut {
		return m.whileShut(lacks > 0 && now-m.since >= Time(m.cfg.Grace/againAfter), old, v, now)
	}
	var out []Action
	if v.Slot { // asked for before it caught up, and granted after
		out = append(out, Action{Kind: GiveSlot})
	}
	if old && m.cfg.right() {
		return append(out, m.shutOut(now, true, fmt.Sprintf("no word of what is newest for %v", Age(v, now).Round(time.Millisecond)))...)
	}
	switch {
	case !behind:
		m.state = Current
	case m.state == Current:
		m.state, m.since, m.target = Behind, now, maps.Clone(v.Newest)
		// All that are behind at once are spread over the time that the rate needs for all routers.
		m.turn = now + Time(m.rng.Float64()*min(float64(m.cfg.Routers)/m.cfg.Rate*float64(time.Second), float64(m.cfg.Grace)/2))
		m.asked = now
	}
	if m.state == Current {
		return out
	}
	if now >= m.turn {
		m.state = CatchingUp
		m.turn = now + Time(m.cfg.Grace/againAfter)
		out = append(out, Action{Kind: BringUp})
	}
	if now-m.since < Time(m.cfg.Grace) || m.cfg.Slots() == 0 {
		return out
	}
	if v.Slot { // it is wanted by now
		out = out[1:]
		return append(out, m.shutOut(now, false, fmt.Sprintf("%d versions behind for %v", lacks, time.Duration(now-m.since).Round(time.Millisecond)))...)
	}
	if now-m.asked >= Time(m.cfg.Grace/askEvery) {
		m.asked = now
		out = append(out, Action{Kind: AskSlot})
	}
	return out
}

func (m *Machine) shutOut(now Time, byAge bool, why string) []Action {
	if m.began && now-m.shut < Time(forgetAfter*m.cfg.Grace) {
		m.times = min(m.times+1, mostDoublings)
	} else {
		m.times = 0
	}
	if m.state == Current { // by its age alone
		m.since, m.target = now, nil
	}
	m.state, m.shut, m.byAge, m.steady, m.began = ShutOut, now, byAge, -1, true
	m.turn = now
	return []Action{{Kind: Shut, Why: why}}
}

// whileShut waits until the router lacks nothing for long enough. Who was shut out by a slot
// that it no longer holds comes back as well: somebody else may be out in its place by now.
func (m *Machine) whileShut(lacks, old bool, v View, now Time) []Action {
	if !m.byAge && !v.Slot {
		return m.letIn(v, now)
	}
	if lacks || old {
		m.steady = -1
		if now >= m.turn {
			m.turn = now + Time(m.cfg.Grace/againAfter)
			return []Action{{Kind: BringUp}}
		}
		return nil
	}
	if m.steady < 0 {
		m.steady = now
	}
	if now-m.steady < Time(m.cfg.Steady<<m.times) {
		return nil
	}
	return m.letIn(v, now)
}

func (m *Machine) letIn(v View, now Time) []Action {
	m.state, m.since = Current, now
	out := []Action{{Kind: LetIn}}
	if v.Slot {
		out = append(out, Action{Kind: GiveSlot})
	}
	return out
}
