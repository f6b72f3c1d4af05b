// Package members implements failure detection among the routers of a fleet with gossiped
// heartbeats.
//
// A router numbers its own heartbeats. Each message carries the sender's latest heartbeat and
// those that it knows of a bounded number of other routers. Heartbeats therefore also arrive
// through third routers: a link that is lost, or lost in one direction, makes no router suspect
// while some reachable router still receives its heartbeats. The number of messages grows with
// the number of routers, not with its square.
//
// A router without a newer heartbeat for some time is suspect. It is silent only once a
// configured number of other routers suspect the same heartbeat as well; a newer heartbeat
// removes all suspicions of older ones. A router that receives heartbeats of less than half of
// the others is isolated: it reports no suspicions and considers no router silent.
//
// The package does no I/O and starts no goroutines; clock and randomness are arguments. A View
// is not safe for concurrent use.
package members

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Time is a reading of the caller's monotonic clock from an arbitrary start.
type Time time.Duration

// State is the state of a router as seen by this one.
type State uint8

// The states of a router.
const (
	Unknown State = iota // no heartbeat received since this process started
	Alive                // a newer heartbeat was received recently
	Suspect              // no newer heartbeat for SuspectAfter
	Silent               // suspect, and enough other routers agree
	Left                 // it reported that it leaves
)

// String implements fmt.Stringer.
func (s State) String() string {
	return [...]string{"unheard", "alive", "doubtful", "silent", "gone"}[min(s, Left)]
}

// Config holds the routers and the settings of failure detection.
type Config struct {
	Self        string
	Routers     []string // all, Self among them
	Incarnation uint64   // grows with each start under this name
	Period      time.Duration
	Fanout      int // routers that get a message per period
	Digest      int // heartbeats in a message, including the sender's own
	// SuspectAfter is the time without a newer heartbeat after which a router is suspect;
	// SuspicionTimeout returns a suitable value.
	SuspectAfter time.Duration
	Observers    int // other routers that must suspect a router before it is silent
}

// maxCount limits incarnations and heartbeat numbers: a router could not exceed a much larger
// one to refute it.
const maxCount = 1 << 62

// ErrConfig is wrapped by the errors for an invalid Config.
var ErrConfig = errors.New("members")

// SuspicionTimeout returns a suitable Config.SuspectAfter. Heartbeats arrive through other
// routers and each message holds a limited number of them, so the time that they take to spread
// grows with the number of routers.
func SuspicionTimeout(routers int, period time.Duration, fanout, digest int) time.Duration {
	rounds := 8 + 12*float64(routers)/float64(max(1, fanout*digest))
	return time.Duration(rounds * float64(period))
}

func (c *Config) check() error {
	seen := map[string]bool{}
	for _, r := range c.Routers {
		if r == "" || seen[r] {
			return fmt.Errorf("%w: router name %q is empty or listed twice", ErrConfig, r)
		}
		seen[r] = true
	}
	switch {
	case !seen[c.Self]:
		return fmt.Errorf("%w: self is %q, which is not one of the routers", ErrConfig, c.Self)
	case c.Period <= 0 || c.SuspectAfter < c.Period:
		return fmt.Errorf("%w: period is %v and suspect-after %v, want a period over 0 and no longer than suspect-after", ErrConfig, c.Period, c.SuspectAfter)
	case c.Fanout < 1 || c.Digest < 1:
		return fmt.Errorf("%w: fanout is %d and digest %d, want at least 1", ErrConfig, c.Fanout, c.Digest)
	case c.Observers < 0:
		return fmt.Errorf("%w: observers is %d, want at least 0", ErrConfig, c.Observers)
	}
	return nil
}

// Heartbeat is the latest heartbeat of a router that the sender knows.
type Heartbeat struct {
	Name        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Count       uint64 `cbor:"3,keyasint"`
	Suspect     bool   `cbor:"4,keyasint,omitempty"` // the sender suspects the router
	Left        bool   `cbor:"5,keyasint,omitempty"` // the router reported that it leaves
}

// Message carries heartbeats from one router to another.
type Message struct {
	From       string      `cbor:"1,keyasint"`
	To         string      `cbor:"2,keyasint"`
	Heartbeats []Heartbeat `cbor:"3,keyasint"`
}

// View is one router's view of the others.
type View struct {
	cfg          Config
	rng          *rand.Rand
	self         Heartbeat
	countedAt    Time // when the own heartbeat was last counted up
	startedAt    Time
	fenced       bool
	peers        []*peer
	byName       map[string]*peer
	nextInDigest int // index of the peer whose heartbeat is sent next
}

type peer struct {
	Heartbeat
	known      bool
	updatedAt  Time // when a newer heartbeat was last received
	suspicions []suspicion
}

type suspicion struct {
	by                string
	incarnation, beat uint64
	at                Time
}

// New returns a view in which all other routers are Unknown.
func New(cfg Config, rng *rand.Rand, now Time) (*View, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	v := &View{cfg: cfg, rng: rng, startedAt: now, countedAt: now - Time(cfg.Period), byName: map[string]*peer{},
		self: Heartbeat{Name: cfg.Self, Incarnation: cfg.Incarnation}}
	for _, name := range slices.Sorted(slices.Values(cfg.Routers)) {
		if name != cfg.Self {
			o := &peer{Heartbeat: Heartbeat{Name: name}, updatedAt: now}
			v.peers = append(v.peers, o)
			v.byName[name] = o
		}
	}
	return v, nil
}

// Fenced reports whether another process with a newer incarnation runs under this name.
func (v *View) Fenced() bool { return v.fenced }

// Leave marks this router as leaving in its next messages.
func (v *View) Leave() { v.self.Left = true }

// Tick returns the messages that are due: once per period, to routers drawn at random. These
// include silent routers; otherwise a healed link would never be detected.
func (v *View) Tick(now Time) []Message {
	if v.fenced || now-v.countedAt < Time(v.cfg.Period) {
		return nil
	}
	v.countedAt = now
	v.self.Count++
	var out []Message
	for _, i := range v.rng.Perm(len(v.peers)) {
		if len(out) == v.cfg.Fanout {
			break
		}
		out = append(out, Message{From: v.cfg.Self, To: v.peers[i].Name, Heartbeats: v.digest(now)})
	}
	return out
}

// digest returns the own heartbeat and those of the next peers, round-robin.
func (v *View) digest(now Time) []Heartbeat {
	out := []Heartbeat{v.self}
	for range v.peers {
		if len(out) >= v.cfg.Digest {
			break
		}
		o := v.peers[v.nextInDigest%len(v.peers)]
		v.nextInDigest++
		if o.known {
			b := o.Heartbeat
			b.Suspect = v.overdue(o, now) && !v.Isolated(now)
			out = append(out, b)
		}
	}
	return out
}

// overdue reports whether no newer heartbeat of a peer has been received for SuspectAfter. A peer
// that has left is never overdue.
func (v *View) overdue(o *peer, now Time) bool {
	return !o.Left && now-o.updatedAt >= Time(v.cfg.SuspectAfter)
}

// Receive processes a message. It ignores heartbeats of routers that are not in the fleet, and
// messages from such routers or addressed to another router.
func (v *View) Receive(m Message, now Time) {
	if m.To != v.cfg.Self || v.byName[m.From] == nil {
		return
	}
	for _, b := range m.Heartbeats {
		if b.Name == v.cfg.Self {
			v.receiveOwnName(b, now)
			continue
		}
		o := v.byName[b.Name]
		if o == nil || b.Incarnation > maxCount || b.Count > maxCount {
			continue
		}
		newer := b.Incarnation > o.Incarnation || b.Incarnation == o.Incarnation && b.Count > o.Count
		if newer || b.Incarnation == o.Incarnation && b.Left && !o.Left {
			o.Incarnation, o.Count, o.Left = b.Incarnation, b.Count, b.Left
			o.known, o.updatedAt = true, now
			o.suspicions = slices.DeleteFunc(o.suspicions, func(d suspicion) bool {
				return d.incarnation < o.Incarnation || d.incarnation == o.Incarnation && d.beat < o.Count
			})
		}
		o.suspicions = slices.DeleteFunc(o.suspicions, func(d suspicion) bool { return d.by == m.From })
		// A suspicion of an older heartbeat than the one known here is refuted already.
		if b.Suspect && b.Name != m.From && b.Incarnation == o.Incarnation && b.Count == o.Count {
			o.suspicions = append(o.suspicions, suspicion{m.From, b.Incarnation, b.Count, now})
		}
	}
}

// receiveOwnName processes a heartbeat under this router's own name. A later number of its own
// incarnation is invalid and is refuted by a still later one. A newer incarnation belongs to
// another process, and of the two the one that started later continues: a process that has just
// started, but whose wall clock is slow, takes an incarnation beyond the one received; an older
// process is fenced.
func (v *View) receiveOwnName(b Heartbeat, now Time) {
	switch {
	case b.Incarnation > maxCount || b.Count > maxCount:
	case b.Incarnation > v.self.Incarnation && now-v.startedAt < Time(v.cfg.SuspectAfter):
		v.self.Incarnation = b.Incarnation + 1
	case b.Incarnation > v.self.Incarnation:
		v.fenced = true
	case b.Incarnation == v.self.Incarnation && b.Count > v.self.Count:
		v.self.Count = b.Count + 1
	}
}

// Renew continues under the next incarnation.
func (v *View) Renew() { v.self.Incarnation++ }

// Incarnation returns the own incarnation. It only grows, soon after the start and by Renew.
func (v *View) Incarnation() uint64 { return v.self.Incarnation }

// Isolated reports whether this router receives heartbeats of less than half of the others, in
// which case its own link is the likely fault.
func (v *View) Isolated(now Time) bool {
	present, reachable := 0, 0
	for _, o := range v.peers {
		if o.Left {
			continue
		}
		present++
		if o.known && !v.overdue(o, now) {
			reachable++
		}
	}
	return 2*reachable < present
}

// State returns the state of a router at time now.
func (v *View) State(name string, now Time) State {
	o := v.byName[name]
	switch {
	case name == v.cfg.Self && !v.fenced:
		return Alive
	case o == nil || o.Left:
		return Left
	case !o.known:
		return Unknown
	case !v.overdue(o, now):
		return Alive
	case v.confirmed(o, now) && !v.Isolated(now):
		return Silent
	}
	return Suspect
}

// confirmed reports whether enough other routers suspect a peer: Observers, or all reachable ones
// if they are fewer.
func (v *View) confirmed(o *peer, now Time) bool {
	suspecting, reachable := 0, 0
	for _, d := range o.suspicions {
		if now-d.at < Time(2*v.cfg.SuspectAfter) {
			suspecting++
		}
	}
	for _, x := range v.peers {
		if x != o && x.known && !x.Left && !v.overdue(x, now) {
			reachable++
		}
	}
	return suspecting >= min(v.cfg.Observers, reachable)
}

// Router is the state of one router, for display.
type Router struct {
	Name        string
	State       State
	Incarnation uint64
	Beats       uint64
	Age         time.Duration // since a newer heartbeat was last received
	Suspicions  int           // number of other routers that suspect it
}

// Routers returns the states of all other routers, ordered by name.
func (v *View) Routers(now Time) []Router {
	out := make([]Router, 0, len(v.peers))
	for _, o := range v.peers {
		out = append(out, Router{o.Name, v.State(o.Name, now), o.Incarnation, o.Count, time.Duration(now - o.updatedAt), len(o.suspicions)})
	}
	return out
}
