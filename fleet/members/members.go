// Package members tells which of a fleet's routers are there, from the heartbeats
// that they pass on to each other.
//
// A router counts its own beats. Each message carries the sender's newest beats of
// itself and of a bounded number of others, so news of a router comes by whoever
// still hears it: a link that is lost, or lost one way, makes nobody doubtful as long
// as somebody who is heard hears that router. Work goes with the number of routers,
// not with its square.
//
// A router of which no newer beat comes is doubtful here. It is silent only once a
// stated number of other routers doubt the same beat as well; a newer beat refutes
// all doubts of older ones. A router that itself hears less than half of the others
// is deaf: it doubts itself, and calls nobody silent.
//
// The package does no I/O and starts nothing; clock and randomness are arguments. A
// View is not safe for concurrent use.
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

// State is what is thought of a router.
type State uint8

// The states of a router.
const (
	Unknown State = iota // nothing has come of it since this process started
	Alive                // a newer beat came lately
	Suspect              // none came for a while
	Silent               // others agree
	Left                 // it said that it leaves
)

// String implements fmt.Stringer.
func (s State) String() string {
	return [...]string{"unheard", "alive", "doubtful", "silent", "gone"}[min(s, Left)]
}

// Config says who the routers are and how soon they are missed.
type Config struct {
	Self         string
	Routers      []string // all, Self among them
	Incarnation  uint64   // incarnation: grows with each start under this name
	Period       time.Duration
	Fanout       int           // routers told in a period
	Digest       int           // beats in a message, the sender's own among them
	SuspectAfter time.Duration // without a newer beat a router is doubtful; Patience gives a value
	Observers    int           // others that must doubt a router before it is silent
}

// maxCount bounds lives and beats: what is past it could not be refuted.
const maxCount = 1 << 62

// ErrConfig is what a faulty Config wraps.
var ErrConfig = errors.New("members")

// SuspicionTimeout is a SuspectAfter that fits: beats come by way of others, and each message
// holds only so many of them, so news of one router takes the longer the more there are.
func SuspicionTimeout(routers int, period time.Duration, fanout, digest int) time.Duration {
	rounds := 8 + 12*float64(routers)/float64(max(1, fanout*digest))
	return time.Duration(rounds * float64(period))
}

func (c *Config) check() error {
	seen := map[string]bool{}
	for _, r := range c.Routers {
		if r == "" || seen[r] {
			return fmt.Errorf("%w: routers hold %q, empty or named twice", ErrConfig, r)
		}
		seen[r] = true
	}
	switch {
	case !seen[c.Self]:
		return fmt.Errorf("%w: self is %q, none of the routers", ErrConfig, c.Self)
	case c.Period <= 0 || c.SuspectAfter < c.Period:
		return fmt.Errorf("%w: period is %v and doubt_for %v, not over 0 and no shorter", ErrConfig, c.Period, c.SuspectAfter)
	case c.Fanout < 1 || c.Digest < 1:
		return fmt.Errorf("%w: fanout is %d and digest %d, not 1 or more", ErrConfig, c.Fanout, c.Digest)
	case c.Observers < 0:
		return fmt.Errorf("%w: observers is %d, negative", ErrConfig, c.Observers)
	}
	return nil
}

// Beat is the newest that somebody knows of a router.
type Beat struct {
	Name  string `cbor:"1,keyasint"`
	Life  uint64 `cbor:"2,keyasint"`
	Count uint64 `cbor:"3,keyasint"`
	Doubt bool   `cbor:"4,keyasint,omitempty"` // the sender waits for a newer one
	Left  bool   `cbor:"5,keyasint,omitempty"` // it said that it leaves
}

// Message is what a router tells another of all.
type Message struct {
	From  string `cbor:"1,keyasint"`
	To    string `cbor:"2,keyasint"`
	Beats []Beat `cbor:"3,keyasint"`
}

// View is what one router thinks of the others.
type View struct {
	cfg          Config
	rng          *rand.Rand
	self         Beat
	countedAt    Time // when the own beat was counted last
	startedAt    Time
	fenced       bool
	peers        []*peer
	byName       map[string]*peer
	nextInDigest int // whose beat is told next
}

type peer struct {
	Beat
	known      bool
	updatedAt  Time // when its beat grew here
	suspicions []suspicion
}

type suspicion struct {
	by                string
	incarnation, beat uint64
	at                Time
}

// New returns a view in which nobody has been heard.
func New(cfg Config, rng *rand.Rand, now Time) (*View, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	v := &View{cfg: cfg, rng: rng, startedAt: now, countedAt: now - Time(cfg.Period), byName: map[string]*peer{},
		self: Beat{Name: cfg.Self, Life: cfg.Incarnation}}
	for _, name := range slices.Sorted(slices.Values(cfg.Routers)) {
		if name != cfg.Self {
			o := &peer{Beat: Beat{Name: name}, updatedAt: now}
			v.peers = append(v.peers, o)
			v.byName[name] = o
		}
	}
	return v, nil
}

// Fenced tells whether another process with a newer life goes on under this name.
func (v *View) Fenced() bool { return v.fenced }

// Leave makes the next messages say that this router leaves.
func (v *View) Leave() { v.self.Left = true }

// Tick returns the messages that are due: once a period, to routers drawn at random.
// Silent ones are among them, or a healed link would never be noticed.
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
		out = append(out, Message{From: v.cfg.Self, To: v.peers[i].Name, Beats: v.digest(now)})
	}
	return out
}

// digest is the own beat and the next ones of the others in turn.
func (v *View) digest(now Time) []Beat {
	out := []Beat{v.self}
	for range v.peers {
		if len(out) >= v.cfg.Digest {
			break
		}
		o := v.peers[v.nextInDigest%len(v.peers)]
		v.nextInDigest++
		if o.known {
			b := o.Beat
			b.Doubt = v.overdue(o, now) && !v.Isolated(now)
			out = append(out, b)
		}
	}
	return out
}

func (v *View) overdue(o *peer, now Time) bool {
	return !o.Left && now-o.updatedAt >= Time(v.cfg.SuspectAfter)
}

// Receive takes a message. Beats of strangers are passed over, and so is a message
// of a stranger, or for somebody else.
func (v *View) Receive(m Message, now Time) {
	if m.To != v.cfg.Self || v.byName[m.From] == nil {
		return
	}
	for _, b := range m.Beats {
		if b.Name == v.cfg.Self {
			v.receiveOwnName(b, now)
			continue
		}
		o := v.byName[b.Name]
		if o == nil || b.Life > maxCount || b.Count > maxCount {
			continue
		}
		newer := b.Life > o.Life || b.Life == o.Life && b.Count > o.Count
		if newer || b.Life == o.Life && b.Left && !o.Left {
			o.Life, o.Count, o.Left = b.Life, b.Count, b.Left
			o.known, o.updatedAt = true, now
			o.suspicions = slices.DeleteFunc(o.suspicions, func(d suspicion) bool {
				return d.incarnation < o.Life || d.incarnation == o.Life && d.beat < o.Count
			})
		}
		o.suspicions = slices.DeleteFunc(o.suspicions, func(d suspicion) bool { return d.by == m.From })
		// A doubt of an older beat than is known here is refuted already.
		if b.Doubt && b.Name != m.From && b.Life == o.Life && b.Count == o.Count {
			o.suspicions = append(o.suspicions, suspicion{m.From, b.Life, b.Count, now})
		}
	}
}

// receiveOwnName looks at a beat under the own name that this process never had. One of its
// own life is nonsense of somebody's, and is refuted by a newer one. A newer life is
// another process's, and the later started of the two goes on: a process that has only
// just started, on a clock that is behind, takes a life past the one that it hears of.
func (v *View) receiveOwnName(b Beat, now Time) {
	switch {
	case b.Life > maxCount || b.Count > maxCount:
	case b.Life > v.self.Life && now-v.startedAt < Time(v.cfg.SuspectAfter):
		v.self.Life = b.Life + 1
	case b.Life > v.self.Life:
		v.fenced = true
	case b.Life == v.self.Life && b.Count > v.self.Count:
		v.self.Count = b.Count + 1
	}
}

// Renew goes on under the next life.
func (v *View) Renew() { v.self.Life++ }

// Incarnation is the own incarnation. It can only grow, soon after the start and by Renew.
func (v *View) Incarnation() uint64 { return v.self.Life }

// Isolated tells whether this router hears so few others that it must doubt itself first.
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

// State is what is thought of a router by now.
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

// confirmed tells whether enough others doubt a router, all that are heard if there are
// no more.
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

// Router is what is known of one, for people.
type Router struct {
	Name        string
	State       State
	Incarnation uint64
	Beats       uint64
	Age         time.Duration // since its beat grew here
	Suspicions  int           // others that doubt it
}

// Routers tells of all the others, by name.
func (v *View) Routers(now Time) []Router {
	out := make([]Router, 0, len(v.peers))
	for _, o := range v.peers {
		out = append(out, Router{o.Name, v.State(o.Name, now), o.Life, o.Count, time.Duration(now - o.updatedAt), len(o.suspicions)})
	}
	return out
}
