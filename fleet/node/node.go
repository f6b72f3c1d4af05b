// Package node is one router's whole part in its fleet: who is there, budgets, counts of
// work and judgements on workers, put together as they are used. What runs on sockets and
// what runs in virtual time is this same part.
//
// The package does no I/O and starts nothing; clock and randomness are handed in. A Node is
// not safe for concurrent use.
package node

import (
	"fmt"
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"lichenshelf/fleet/attempts"
	"lichenshelf/fleet/budget"
	"lichenshelf/fleet/counts"
	"lichenshelf/fleet/members"
	"lichenshelf/fleet/outlier"
	"lichenshelf/fleet/version"
)

// Time is a reading of the caller's monotonic clock from an arbitrary start. It must go
// on while the process is stopped.
type Time = time.Duration

// Envelope is one message between two routers. Version to To are the link's.
type Envelope struct {
	Version uint8               `cbor:"1,keyasint"`
	Need    uint8               `cbor:"2,keyasint"` // the oldest version that can make sense of it
	Fleet   string              `cbor:"3,keyasint"`
	From    string              `cbor:"4,keyasint"`
	To      string              `cbor:"5,keyasint"`
	Members *members.Message    `cbor:"10,keyasint,omitempty"`
	Budget  []budget.Message    `cbor:"11,keyasint,omitempty"`
	Judged  []outlier.Judgement `cbor:"12,keyasint,omitempty"` // of the sender and passed on
	Counts  *counts.State       `cbor:"13,keyasint,omitempty"`
	Acts    version.Vector      `cbor:"14,keyasint,omitempty"` // what the sender acts on, with Members
	Zones   *ZoneNews           `cbor:"15,keyasint,omitempty"` // the same
	Sums    map[string]Sum      `cbor:"16,keyasint,omitempty"` // the same
	Wanted  *Wanted             `cbor:"17,keyasint,omitempty"`
	Text    *Text               `cbor:"18,keyasint,omitempty"` // the answer
}

// Spoken drops what speaks for another router than the one that sent it.
func (e *Envelope) Spoken() {
	e.Budget = slices.DeleteFunc(e.Budget, func(m budget.Message) bool { return m.From != e.From })
	if e.Members != nil && e.Members.From != e.From {
		e.Members = nil
	}
	if e.Counts != nil && e.Counts.Router != e.From {
		e.Counts = nil
	}
}

// Config says who the routers are and under which terms they share. Life grows with each
// start under the name Self, such as the wall clock does; if it does not, the fleet puts it
// right.
type Config struct {
	Self      string
	Zones     map[string]string // of all routers, Self among them
	Life      uint64
	Lease     time.Duration
	Floor     float64
	Burst     time.Duration
	Drift     float64
	Period    time.Duration // of heartbeats and judgements
	Counts    time.Duration // from one telling of work to the next; 0: it is not told
	Fanout    int           // routers told at a time
	Digest    int
	Observers int
	Quorum    int
	MostOut   float64
	Least     float64
	Hold      time.Duration
	Return    time.Duration
	Repeats   float64 // a second, over all routers; 0: not bounded
	Cold      float64 // a second, to one cold worker; 0: not bounded
	Tell      bool    // what is lent is told by Moves
}

// Node is one router's part.
type Node struct {
	cfg      Config
	names    []string
	ledger   *budget.Ledger
	members  *members.View
	outliers *outlier.Detector
	work     *counts.Board
	limits   map[string]float64
	fronts   []*Front
	states   map[string]members.State // as noticed last
	parts    map[string]float64
	fenced   bool
	deaf     bool
	rng      *rand.Rand
	counted  Time // when own work was told to others last
	told     Time // when others' work was told here last
	notices  []Notice
	acts     version.Vector // what is told to the others
	said     map[string]said
	texts    texts
	zones    *zones // nil: traffic between zones is each router's own matter
}

// said is what another router said that it acts on.
type said struct {
	acts version.Vector
	at   Time
}

const (
	mostParts = 64  // of what a router says that it acts on
	mostPart  = 512 // bytes of a part's name
)

// What may change.
const (
	Fenced        NoticeKind = iota // another process goes on under this name
	Deaf                            // this router hears too few of the others
	Hears                           // it hears enough of them again
	RouterChanged                   // Name went from state Was to Is
	WorkerOut                       // worker Name is out for all
	WorkerBack                      // worker Name comes back
)

// New returns a node that has heard of nobody.
func New(cfg Config, rng *rand.Rand, now Time) (*Node, error) {
	n := &Node{cfg: cfg, rng: rng, limits: map[string]float64{}, states: map[string]members.State{}, said: map[string]said{}, texts: newTexts()}
	n.names = slices.Sorted(maps.Keys(cfg.Zones))
	var err error
	if n.ledger, err = budget.New(budget.Config{Self: cfg.Self, Routers: n.names, Incarnation: cfg.Life, Epoch: cfg.terms(n.names),
		Lease: cfg.Lease, Drift: cfg.Drift, Floor: cfg.Floor, Burst: cfg.Burst, Tell: cfg.Tell}, budget.Time(now)); err != nil {
		return nil, err
	}
	if n.members, err = members.New(members.Config{Self: cfg.Self, Routers: n.names, Life: cfg.Life, Period: cfg.Period,
		Fanout: cfg.Fanout, Digest: cfg.Digest, Observers: cfg.Observers,
		DoubtFor: members.Patience(len(n.names), cfg.Period, cfg.Fanout, cfg.Digest)}, rng, members.Time(now)); err != nil {
		return nil, err
	}
	if n.outliers, err = outlier.New(outlier.Config{Self: cfg.Self, Zones: cfg.Zones, Quorum: cfg.Quorum, MostOut: cfg.MostOut, Least: cfg.Least,
		Hold: cfg.Hold, Return: cfg.Return}, cfg.Life); err != nil {
		return nil, err
	}
	n.work = counts.New(cfg.Self, n.names, cfg.Life, 2*max(cfg.Counts, time.Millisecond))
	return n, nil
}

// terms stands for all that must be the same at two routers that lend each other, beside
// the limit of what is lent.
func (c *Config) terms(names []string) uint64 {
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, c.Lease, c.Floor, c.Burst, c.Drift)
	_, _ = fmt.Fprintf(h, "%q", names)
	return h.Sum64()
}

// SetLimits sets the limits of all budgets with a prefix, in cost a second over all
// routers; those that are not named any more are free.
func (n *Node) SetLimits(prefix string, limits map[string]float64, now Time) {
	for key := range n.limits {
		if _, ok := limits[key]; !ok && strings.HasPrefix(key, prefix) {
			delete(n.limits, key)
			n.ledger.SetLimit(key, 0, budget.Time(now))
		}
	}
	for key, v := range limits {
		if n.limits[key] != v {
			n.limits[key] = v
			n.ledger.SetLimit(key, v, budget.Time(now))
		}
	}
}

// Spend takes cost out of a budget, if it is there.
func (n *Node) Spend(key string, cost float64, now Time) bool {
	return n.ledger.Spend(key, cost, budget.Time(now))
}

// Terms names what must be the same at two routers that lend each other, beside a budget's limit.
func (n *Node) Terms() string { return strconv.FormatUint(n.cfg.terms(n.names), 16) }

// Moves tells what was lent, returned and borrowed since it was asked for last.
func (n *Node) Moves() []budget.Move { return n.ledger.Moves() }

// Leave makes the next messages say that this router leaves: it is not missed then.
func (n *Node) Leave() { n.members.Leave() }

// Tick returns what is due to the others. It is to be called several times in a lease, and
// as often as work is told.
func (n *Node) Tick(now Time) []Envelope {
	var out []Envelope
	to := func(name string) *Envelope {
		for i := range out {
			if out[i].To == name {
				return &out[i]
			}
		}
		out = append(out, Envelope{From: n.cfg.Self, To: name})
		return &out[len(out)-1]
	}
	for _, m := range n.members.Tick(members.Time(now)) {
		e := to(m.To)
		e.Members, e.Acts, e.Sums = &m, n.acts, n.texts.sums
		if n.zones != nil {
			e.Zones = n.zones.tell(now)
		}
		if len(n.fronts) > 0 {
			e.Judged = n.outliers.Tell(outlier.Time(now))
		}
	}
	if len(n.fronts) > 0 && n.cfg.Counts > 0 && now-n.counted >= n.cfg.Counts && !n.fenced {
		n.counted = now
		state := n.work.Tell()
		left := n.cfg.Fanout
		for _, i := range n.rng.Perm(len(n.names)) {
			if left > 0 && n.names[i] != n.cfg.Self {
				to(n.names[i]).Counts = &state
				left--
			}
		}
	}
	for _, m := range n.ledger.Tick(budget.Time(now)) {
		e := to(m.To)
		e.Budget = append(e.Budget, m)
	}
	n.askForTexts(now, to)
	n.notice(now)
	n.lookAtZones(now)
	for _, f := range n.fronts {
		if limits, changed := f.rules.Cold(attempts.Time(now)); changed {
			n.SetLimits(f.rules.Prefix(), limits, now)
		}
	}
	return out
}

// Receive takes a message and returns the answer to it, if there is one.
func (n *Node) Receive(e Envelope, now Time) []Envelope {
	if e.Members != nil {
		n.members.Receive(*e.Members, members.Time(now))
		n.hear(e.From, e.Acts, now)
		if n.other(e.From) {
			n.texts.hear(e.From, e.Sums)
		}
		if n.zones != nil && e.Zones != nil && n.other(e.From) {
			n.zones.hear(e.From, *e.Zones, now)
		}
	}
	n.outliers.Receive(e.Judged, outlier.Time(now))
	if e.Counts != nil {
		n.work.Receive(*e.Counts, counts.Time(now))
	}
	answer := Envelope{From: n.cfg.Self, To: e.From}
	if e.Wanted != nil && n.other(e.From) {
		answer.Text = n.giveText(e.Wanted, now)
	}
	if e.Text != nil && n.other(e.From) {
		n.takeText(e.From, *e.Text)
	}
	for _, m := range e.Budget {
		answer.Budget = append(answer.Budget, n.ledger.Receive(m, budget.Time(now))...)
	}
	if len(answer.Budget) == 0 && answer.Text == nil {
		return nil
	}
	return []Envelope{answer}
}

// Renew goes on under a new life, as a process that has started anew would: what was lent under the one before is over.
func (n *Node) Renew() {
	n.members.Renew()
	n.ledger.SetIncarnation(n.members.Life())
}

// SetActs sets what the others are told that this router acts on. The vector must not be changed after.
func (n *Node) SetActs(v version.Vector) { n.acts = v }

// other tells whether a name is another router's of the fleet.
func (n *Node) other(name string) bool {
	_, known := n.cfg.Zones[name]
	return known && name != n.cfg.Self
}

// observers is how many others it takes to say a thing for this router to go by it: all that have spoken, if they are fewer.
func (n *Node) observers() int { return min(max(n.cfg.Observers, 1), len(n.said)) }

// hear takes what another router says that it acts on, unless that makes no sense.
func (n *Node) hear(from string, v version.Vector, now Time) {
	if !n.other(from) || len(v) > mostParts {
		return
	}
	for part := range v {
		if len(part) > mostPart {
			return
		}
	}
	n.said[from] = said{v, now}
}

// Newest tells, for each part that this router acts on too, the newest version that Observers others act on, or all that have
// said so if they are fewer: one that says anything can't make the others look old. Heard is when so many were heard last;
// false if nobody was.
func (n *Node) Newest() (newest version.Vector, heard Time, ok bool) {
	need := n.observers()
	if need == 0 {
		return nil, 0, false
	}
	times := make([]Time, 0, len(n.said))
	versions := map[string][]uint64{}
	for _, s := range n.said {
		times = append(times, s.at)
		for part := range n.acts {
			if v, ok := s.acts[part]; ok {
				versions[part] = append(versions[part], v)
			}
		}
	}
	newest = version.Vector{}
	for part, all := range versions {
		if len(all) >= need {
			slices.Sort(all)
			newest[part] = all[len(all)-need]
		}
	}
	slices.Sort(times)
	return newest, times[len(times)-need], true
}

const (
	answerPart = 0.3  // guess of an answer's length as part of its limit
	keptWeight = 0.05 // of one read in the mean of what is found kept
)

// View is what this router knows of the others.
type View struct {
	Life         uint64
	Fenced, Deaf bool
	Routers      []members.Router
}

// Members tells who is there.
func (n *Node) Members(now Time) View {
	return View{n.members.Life(), n.members.Fenced(), n.members.Deaf(members.Time(now)), n.members.Routers(members.Time(now))}
}

// Budgets tells what may be spent.
func (n *Node) Budgets(now Time) []budget.View { return n.ledger.Views(budget.Time(now)) }
