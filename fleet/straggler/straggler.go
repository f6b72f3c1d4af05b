// Package straggler decides what a router does that lags behind the others in the versions it acts
// on. It is first brought up to date, at a random time so that many lagging routers don't all ask
// together. If that does not help within a grace, it is shut out, which means that it accepts no
// new requests until it has caught up.
//
// The whole fleet is never shut out: at any time at most a stated share of the routers is. Half of
// that share is granted as slots, which a store assigns and takes back. The other half is for
// routers that receive no confirmation from anywhere for too long; since they can't agree on
// anything, the right to shut out is fixed by rank. A router without a slot or that right continues
// to serve with its current state and reports how old it is.
//
// The precedence is: the bound on the share over a router's lag; catching up over being shut out;
// being shut out over serving with a state that the router has acknowledged as superseded.
//
// The package does no I/O and starts no goroutines; clock and randomness are arguments. A Machine
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

// State is the state of a router.
type State uint8

// The states of a router.
const (
	Current    State = iota
	Lagging          // it waits for its time to catch up
	CatchingUp       // it has requested the missing versions
	ShutOut          // it accepts no new requests
)

// String implements fmt.Stringer.
func (s State) String() string {
	return [...]string{"current", "behind", "catching up", "shut out"}[min(s, ShutOut)]
}

// Config says when a router counts as lagging and what follows. All fields except Rank must be the
// same at every router.
type Config struct {
	Routers  int
	Rank     int           // rank of this router among all, from 0; unique
	Versions uint64        // lag, in versions over all parts, from which a router counts as lagging
	Grace    time.Duration // time to catch up
	// Maximum age of the last confirmation of the newest versions; 0: unlimited.
	MaxAge  time.Duration
	MaxShut float64 // fraction of the routers that may be shut out, 0 to 0.5
	Rate    float64 // routers per second, over the fleet, that may ask to catch up
	// How long a router must be up to date before it is readmitted; doubled each time it was shut
	// out again recently.
	Steady time.Duration
}

// ErrConfig is wrapped by the errors for an invalid Config.
var ErrConfig = errors.New("straggler")

const (
	maxDoublings         = 4  // of Steady
	forgetAfter          = 20 // multiple of Grace after which an earlier shutout no longer counts
	slotRequestsPerGrace = 4  // requests for a slot per Grace
	catchUpsPerGrace     = 2  // requests to catch up per Grace
)

func (c *Config) check() error {
	switch {
	case c.Routers < 1:
		return fmt.Errorf("%w: routers is %d, must be at least 1", ErrConfig, c.Routers)
	case c.Rank < 0 || c.Rank >= c.Routers:
		return fmt.Errorf("%w: rank is %d, must be from 0 to %d", ErrConfig, c.Rank, c.Routers-1)
	case c.Versions < 1:
		return fmt.Errorf("%w: versions is %d, must be at least 1", ErrConfig, c.Versions)
	case c.Grace <= 0 || c.MaxAge < 0 || c.Steady < 0:
		return fmt.Errorf("%w: grace is %v, most_age %v and steady %v, want grace > 0, most_age >= 0 and steady >= 0", ErrConfig, c.Grace, c.MaxAge, c.Steady)
	case !(c.MaxShut >= 0 && c.MaxShut <= 0.5):
		return fmt.Errorf("%w: most_shut is %v, must be from 0 to 0.5", ErrConfig, c.MaxShut)
	case !(c.Rate > 0):
		return fmt.Errorf("%w: rate is %v, must be greater than 0", ErrConfig, c.Rate)
	}
	return nil
}

// MaxShutOut is how many routers may be shut out at a time.
func (c *Config) MaxShutOut() int { return int(c.MaxShut * float64(c.Routers)) }

// Slots is how many of them need a slot from the store; the rest are determined by rank.
func (c *Config) Slots() int { return (c.MaxShutOut() + 1) / 2 }

// ranked reports whether this router may shut itself out without a slot.
func (c *Config) ranked() bool { return c.Rank < c.MaxShutOut()-c.Slots() }

// View is what a router knows.
type View struct {
	Held        version.Vector // versions that it acts on
	Newest      version.Vector // the newest versions it has been informed of
	ConfirmedAt Time           // when Newest was last confirmed by another router or the store
	Slot        bool           // the store has assigned it a slot that it still holds
}

// ActionKind is the type of an Action.
type ActionKind uint8

// The kinds of Action.
const (
	CatchUp     ActionKind = iota + 1 // request the missing versions
	RequestSlot                       // request a slot from the store; idempotent
	ReturnSlot                        // return the slot
	// Accept no new requests and return what is borrowed, for the reason Why.
	Shut
	Readmit // accept new requests again, under a new epoch
)

// Action is something that the caller must do.
type Action struct {
	Kind ActionKind
	Why  string
}

// Machine is the state machine of one router.
type Machine struct {
	cfg         Config
	rng         *rand.Rand
	state       State
	since       Time // start of the lag
	catchUpAt   Time // time of the next request to catch up
	slotAskedAt Time // time of the last request for a slot
	steadySince Time // while shut out: up to date since then; -1: it is not
	shutAt      Time // time of the last shutout
	repeats     int  // repeated shutouts in short succession
	byAge       bool // shut out by rank, not by a slot
	wasShutOut  bool
	// Newest versions when the router began to lag; once it holds them, the lag is measured anew.
	target version.Vector
}

// New returns the machine of a router that is up to date.
func New(cfg Config, rng *rand.Rand) (*Machine, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	return &Machine{cfg: cfg, rng: rng}, nil
}

// State returns the router's current state.
func (m *Machine) State() State { return m.state }

// Age is the time since the newest versions were last confirmed.
func Age(v View, now Time) time.Duration { return time.Duration(max(now-v.ConfirmedAt, 0)) }

// Step processes the current view and returns the actions to take. Call it several times per Grace
// and whenever the view changes.
func (m *Machine) Step(v View, now Time) []Action {
	lag := v.Held.Lag(v.Newest)
	lagging := lag >= m.cfg.Versions
	if m.state != Current && m.target != nil && v.Held.Lag(m.target) == 0 {
		// It makes progress: under a steady stream of new versions no router ever holds the newest.
		m.since, m.target = now, maps.Clone(v.Newest)
	}
	old := m.cfg.MaxAge > 0 && Age(v, now) > m.cfg.MaxAge
	if m.state == ShutOut {
		return m.stepShutOut(lag > 0 && now-m.since >= Time(m.cfg.Grace/catchUpsPerGrace), old, v, now)
	}
	var out []Action
	if v.Slot { // requested before it caught up and assigned afterwards
		out = append(out, Action{Kind: ReturnSlot})
	}
	if old && m.cfg.ranked() {
		return append(out, m.shutOut(now, true, fmt.Sprintf("no word of what is newest for %v", Age(v, now).Round(time.Millisecond)))...)
	}
	switch {
	case !lagging:
		m.state = Current
	case m.state == Current:
		m.state, m.since, m.target = Lagging, now, maps.Clone(v.Newest)
		// Routers that begin to lag at once are spread over the time that the rate needs for all
		// routers.
		m.catchUpAt = now + Time(m.rng.Float64()*min(float64(m.cfg.Routers)/m.cfg.Rate*float64(time.Second), float64(m.cfg.Grace)/2))
		m.slotAskedAt = now
	}
	if m.state == Current {
		return out
	}
	if now >= m.catchUpAt {
		m.state = CatchingUp
		m.catchUpAt = now + Time(m.cfg.Grace/catchUpsPerGrace)
		out = append(out, Action{Kind: CatchUp})
	}
	if now-m.since < Time(m.cfg.Grace) || m.cfg.Slots() == 0 {
		return out
	}
	if v.Slot { // it is needed now
		out = out[1:]
		return append(out, m.shutOut(now, false, fmt.Sprintf("%d versions behind for %v", lag, time.Duration(now-m.since).Round(time.Millisecond)))...)
	}
	if now-m.slotAskedAt >= Time(m.cfg.Grace/slotRequestsPerGrace) {
		m.slotAskedAt = now
		out = append(out, Action{Kind: RequestSlot})
	}
	return out
}

func (m *Machine) shutOut(now Time, byAge bool, why string) []Action {
	if m.wasShutOut && now-m.shutAt < Time(forgetAfter*m.cfg.Grace) {
		m.repeats = min(m.repeats+1, maxDoublings)
	} else {
		m.repeats = 0
	}
	if m.state == Current { // by its age alone
		m.since, m.target = now, nil
	}
	m.state, m.shutAt, m.byAge, m.steadySince, m.wasShutOut = ShutOut, now, byAge, -1, true
	m.catchUpAt = now
	return []Action{{Kind: Shut, Why: why}}
}

// stepShutOut waits until the router has been up to date for long enough. A router that no longer
// holds the slot by which it was shut out is readmitted as well: another router may be shut out in
// its place by now.
func (m *Machine) stepShutOut(lagging, old bool, v View, now Time) []Action {
	if !m.byAge && !v.Slot {
		return m.readmit(v, now)
	}
	if lagging || old {
		m.steadySince = -1
		if now >= m.catchUpAt {
			m.catchUpAt = now + Time(m.cfg.Grace/catchUpsPerGrace)
			return []Action{{Kind: CatchUp}}
		}
		return nil
	}
	if m.steadySince < 0 {
		m.steadySince = now
	}
	if now-m.steadySince < Time(m.cfg.Steady<<m.repeats) {
		return nil
	}
	return m.readmit(v, now)
}

func (m *Machine) readmit(v View, now Time) []Action {
	m.state, m.since = Current, now
	out := []Action{{Kind: Readmit}}
	if v.Slot {
		out = append(out, Action{Kind: ReturnSlot})
	}
	return out
}
