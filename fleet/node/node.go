// Package node implements one router's side of the fleet protocol. It combines membership,
// budgets, counts of work and outlier detection. The daemon runs it over sockets and the
// laboratory runs the same code in virtual time.
//
// The package does no I/O and starts no goroutines; clock and randomness are arguments. A Node
// is not safe for concurrent use.
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

// Time is a reading of the caller's monotonic clock from an arbitrary start. The clock must
// keep running while the process is stopped.
type Time = time.Duration

// Envelope is one message between two routers. Package link sets the fields Version to From
// and routes by To.
type Envelope struct {
	Version uint8            `cbor:"1,keyasint"`
	Need    uint8            `cbor:"2,keyasint"` // oldest version that can read the message
	Fleet   string           `cbor:"3,keyasint"`
	From    string           `cbor:"4,keyasint"`
	To      string           `cbor:"5,keyasint"`
	Members *members.Message `cbor:"10,keyasint,omitempty"`
	Budget  []budget.Message `cbor:"11,keyasint,omitempty"`
	// Judgements holds the sender's judgements and those that it forwards.
	Judgements []outlier.Judgement `cbor:"12,keyasint,omitempty"`
	Counts     *counts.State       `cbor:"13,keyasint,omitempty"`
	// Versions, ZoneReport and Checksums accompany Members. Versions are those of the data that
	// the sender acts on.
	Versions    version.Vector      `cbor:"14,keyasint,omitempty"`
	ZoneReport  *ZoneReport         `cbor:"15,keyasint,omitempty"`
	Checksums   map[string]Checksum `cbor:"16,keyasint,omitempty"`
	TextRequest *TextRequest        `cbor:"17,keyasint,omitempty"`
	Text        *Text               `cbor:"18,keyasint,omitempty"` // answer to a TextRequest
}

// DropForged removes the parts of the message whose stated origin is not the sender.
func (e *Envelope) DropForged() {
	e.Budget = slices.DeleteFunc(e.Budget, func(m budget.Message) bool { return m.From != e.From })
	if e.Members != nil && e.Members.From != e.From {
		e.Members = nil
	}
	if e.Counts != nil && e.Counts.Router != e.From {
		e.Counts = nil
	}
}

// Config holds the routers of the fleet and the settings of what they share.
// Incarnation must grow with each start under the name Self, as the wall clock does. If it does
// not, the membership protocol raises it.
type Config struct {
	Self             string
	Zones            map[string]string // zone of each router, Self included
	Incarnation      uint64
	Lease            time.Duration
	Floor            float64
	Burst            time.Duration
	Drift            float64
	Period           time.Duration // between heartbeats, which carry judgements
	CountsPeriod     time.Duration // between reports of work; 0: work is not reported
	Fanout           int           // routers that get a message per period
	Digest           int
	Observers        int
	Quorum           int
	MaxOut           float64
	MinFailures      float64
	Hold             time.Duration
	Return           time.Duration
	RepeatsPerSecond float64 // repeated attempts per second over all routers; 0: no limit
	ColdPerSecond    float64 // attempts per second to one cold worker; 0: no limit
	RecordMoves      bool    // Moves returns loans and returns of budgets
}

// Node is one router's state in the fleet protocol.
type Node struct {
	cfg             Config
	names           []string
	ledger          *budget.Ledger
	members         *members.View
	outliers        *outlier.Detector
	work            *counts.Board
	limits          map[string]float64
	fronts          []*Front
	states          map[string]members.State // as of the last notice
	parts           map[string]float64       // traffic shares from the last EvaluateWorkers
	fenced          bool
	isolated        bool
	rng             *rand.Rand
	countsSentAt    Time // when own work was last sent to others
	loadsReportedAt Time // when others' work was last returned as load
	notices         []Notice
	versions        version.Vector // sent to the other routers
	peerVersions    map[string]reportedVersions
	texts           texts
	zones           *zones // nil: routers do not coordinate traffic between zones
}

// reportedVersions holds the versions that another router acts on, as it reported them.
type reportedVersions struct {
	versions version.Vector
	at       Time
}

const (
	maxParts    = 64  // entries of a version vector or of checksums in a message
	maxPartName = 512 // bytes
)

// The kinds of a Notice.
const (
	Fenced         NoticeKind = iota // a newer process runs under this router's name
	Isolated                         // this router receives heartbeats of too few others
	IsolationEnded                   // it receives heartbeats of enough others again
	RouterChanged                    // router Name changed from state Was to Is
	WorkerOut                        // worker Name is out at all routers
	WorkerBack                       // worker Name gets traffic again
)

// New returns a node that has received no messages yet.
func New(cfg Config, rng *rand.Rand, now Time) (*Node, error) {
	n := &Node{cfg: cfg, rng: rng, limits: map[string]float64{}, states: map[string]members.State{}, peerVersions: map[string]reportedVersions{}, texts: newTexts()}
	n.names = slices.Sorted(maps.Keys(cfg.Zones))
	var err error
	if n.ledger, err = budget.New(budget.Config{Self: cfg.Self, Routers: n.names, Incarnation: cfg.Incarnation, Epoch: cfg.settingsHash(n.names),
		Lease: cfg.Lease, Drift: cfg.Drift, Floor: cfg.Floor, Burst: cfg.Burst, RecordMoves: cfg.RecordMoves}, budget.Time(now)); err != nil {
		return nil, err
	}
	if n.members, err = members.New(members.Config{Self: cfg.Self, Routers: n.names, Incarnation: cfg.Incarnation, Period: cfg.Period,
		Fanout: cfg.Fanout, Digest: cfg.Digest, Observers: cfg.Observers,
		SuspectAfter: members.SuspicionTimeout(len(n.names), cfg.Period, cfg.Fanout, cfg.Digest)}, rng, members.Time(now)); err != nil {
		return nil, err
	}
	if n.outliers, err = outlier.New(outlier.Config{Self: cfg.Self, Zones: cfg.Zones, Quorum: cfg.Quorum, MaxOut: cfg.MaxOut, MinFailures: cfg.MinFailures,
		Hold: cfg.Hold, Return: cfg.Return}, cfg.Incarnation); err != nil {
		return nil, err
	}
	n.work = counts.New(cfg.Self, n.names, cfg.Incarnation, 2*max(cfg.CountsPeriod, time.Millisecond))
	return n, nil
}

// settingsHash returns a hash of the settings that must be equal at two routers for one to
// lend budget to the other. The budget's limit, which must be equal too, is not part of it.
func (c *Config) settingsHash(names []string) uint64 {
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, c.Lease, c.Floor, c.Burst, c.Drift)
	_, _ = fmt.Fprintf(h, "%q", names)
	return h.Sum64()
}

// SetLimits sets the limits of all budgets whose keys begin with prefix, in cost per second over
// all routers. Budgets with the prefix that limits does not name become unlimited.
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

// Spend takes cost out of a budget and reports whether the budget had enough.
func (n *Node) Spend(key string, cost float64, now Time) bool {
	return n.ledger.Spend(key, cost, budget.Time(now))
}

// Terms returns a hash of the settings, other than a budget's limit, that must be equal at two
// routers for one to lend budget to the other.
func (n *Node) Terms() string { return strconv.FormatUint(n.cfg.settingsHash(n.names), 16) }

// Moves returns what was lent, returned and borrowed since the previous call.
func (n *Node) Moves() []budget.Move { return n.ledger.Moves() }

// Leave marks this router as leaving in its next messages, so that the others do not suspect
// it once its heartbeats stop.
func (n *Node) Leave() { n.members.Leave() }

// Tick returns the messages that are due. It must be called several times per lease, and at
// least as often as work is reported.
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
		e.Members, e.Versions, e.Checksums = &m, n.versions, n.texts.checksums
		if n.zones != nil {
			e.ZoneReport = n.zones.report(now)
		}
		if len(n.fronts) > 0 {
			e.Judgements = n.outliers.Judgements(outlier.Time(now))
		}
	}
	if len(n.fronts) > 0 && n.cfg.CountsPeriod > 0 && now-n.countsSentAt >= n.cfg.CountsPeriod && !n.fenced {
		n.countsSentAt = now
		state := n.work.NextState()
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
	n.requestTexts(now, to)
	n.detectChanges(now)
	n.updateZones(now)
	for _, f := range n.fronts {
		if limits, changed := f.rules.ColdLimits(attempts.Time(now)); changed {
			n.SetLimits(f.rules.ColdPrefix(), limits, now)
		}
	}
	return out
}

// Receive processes a message and returns the answer, if there is one.
func (n *Node) Receive(e Envelope, now Time) []Envelope {
	if e.Members != nil {
		n.members.Receive(*e.Members, members.Time(now))
		n.receiveVersions(e.From, e.Versions, now)
		if n.isPeer(e.From) {
			n.texts.receiveChecksums(e.From, e.Checksums)
		}
		if n.zones != nil && e.ZoneReport != nil && n.isPeer(e.From) {
			n.zones.receive(e.From, *e.ZoneReport, now)
		}
	}
	n.outliers.Receive(e.Judgements, outlier.Time(now))
	if e.Counts != nil {
		n.work.Receive(*e.Counts, counts.Time(now))
	}
	answer := Envelope{From: n.cfg.Self, To: e.From}
	if e.TextRequest != nil && n.isPeer(e.From) {
		answer.Text = n.answerText(e.TextRequest, now)
	}
	if e.Text != nil && n.isPeer(e.From) {
		n.receiveText(e.From, *e.Text)
	}
	for _, m := range e.Budget {
		answer.Budget = append(answer.Budget, n.ledger.Receive(m, budget.Time(now))...)
	}
	if len(answer.Budget) == 0 && answer.Text == nil {
		return nil
	}
	return []Envelope{answer}
}

// Renew continues under a new incarnation, as a restarted process would: loans made to the
// previous incarnation end.
func (n *Node) Renew() {
	n.members.Renew()
	n.ledger.SetIncarnation(n.members.Incarnation())
}

// SetVersions sets the versions that this router reports to the others as those it acts on. The
// vector must not be changed afterwards.
func (n *Node) SetVersions(v version.Vector) { n.versions = v }

// isPeer reports whether name is another router of the fleet.
func (n *Node) isPeer(name string) bool {
	_, known := n.cfg.Zones[name]
	return known && name != n.cfg.Self
}

// requiredObservers returns how many other routers must report the same thing before this
// router accepts it: Observers, or all that have reported if they are fewer.
func (n *Node) requiredObservers() int { return min(max(n.cfg.Observers, 1), len(n.peerVersions)) }

// receiveVersions stores the versions that another router reports, unless they exceed the
// limits.
func (n *Node) receiveVersions(from string, v version.Vector, now Time) {
	if !n.isPeer(from) || len(v) > maxParts {
		return
	}
	for part := range v {
		if len(part) > maxPartName {
			return
		}
	}
	n.peerVersions[from] = reportedVersions{v, now}
}

// Newest returns, for each part that this router acts on as well, the newest version that at
// least Observers other routers act on, or all that reported versions if they are fewer. A
// single router that reports a wrong version can therefore not make the others appear outdated.
// reportedAt is the latest time since which that many routers have reported; ok is false if
// none has.
func (n *Node) Newest() (newest version.Vector, reportedAt Time, ok bool) {
	need := n.requiredObservers()
	if need == 0 {
		return nil, 0, false
	}
	times := make([]Time, 0, len(n.peerVersions))
	versions := map[string][]uint64{}
	for _, s := range n.peerVersions {
		times = append(times, s.at)
		for part := range n.versions {
			if v, ok := s.versions[part]; ok {
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
	answerFraction   = 0.3  // estimated length of an answer as a fraction of its limit
	keptSampleWeight = 0.05 // weight of one prompt in the moving average of freshShare
)

// View is this router's view of the fleet's members.
type View struct {
	Incarnation      uint64
	Fenced, Isolated bool
	Routers          []members.Router
}

// Members returns this router's view of the fleet's members.
func (n *Node) Members(now Time) View {
	return View{n.members.Incarnation(), n.members.Fenced(), n.members.Isolated(members.Time(now)), n.members.Routers(members.Time(now))}
}

// Budgets returns the state of all budgets.
func (n *Node) Budgets(now Time) []budget.View { return n.ledger.Views(budget.Time(now)) }
