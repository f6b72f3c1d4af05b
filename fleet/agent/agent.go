// Package agent runs one router's side of the fleet protocol over sockets. It passes messages
// between the links (fleet/link) and the protocol state (fleet/node), and answers the fronts.
package agent

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"lichenshelf/fleet/budget"
	"lichenshelf/fleet/link"
	"lichenshelf/fleet/node"
	"lichenshelf/fleet/version"
)

// ticksPerLease is the number of ticks in a lease; each sends the messages that are due.
const ticksPerLease = 16

// Counters counts what the agent does.
type Counters interface {
	Add(name string, n int64)
}

// Agent runs one router's side of the fleet protocol. Its methods may be called from any
// goroutine.
type Agent struct {
	cfg   *Config
	link  *link.Link
	count Counters
	log   logrus.FieldLogger
	start time.Time

	mu     sync.Mutex
	node   *node.Node
	fronts []*Front // in the node's order
	onMove func(budget.Move)
	onText func(node.Text)
}

// New returns an agent; Run and Serve start it. onMove, if not nil, is called for each loan and
// borrowing, one at a time and before the other router can know of it; it must not block. The
// incarnation must grow with each start, as the wall clock does; if it does not, the membership
// protocol raises it.
func New(cfg *Config, incarnation, seed uint64, onMove func(budget.Move), count Counters, log logrus.FieldLogger) (*Agent, error) {
	a := &Agent{cfg: cfg, count: count, log: log, start: time.Now(), onMove: onMove}
	zones := map[string]string{}
	var peers []link.Peer
	for _, r := range cfg.Routers {
		zones[r.Name] = r.Zone
		if r.Name != cfg.Self {
			peers = append(peers, link.Peer{Name: r.Name, Addr: r.Addr})
		}
	}
	var err error
	if a.node, err = node.New(node.Config{Self: cfg.Self, Zones: zones, Incarnation: incarnation, Lease: cfg.Lease.Duration, Floor: cfg.Floor,
		Burst: cfg.Burst.Duration, Drift: cfg.Drift, Period: cfg.Period.Duration, CountsPeriod: cfg.CountsPeriod.Duration, Fanout: cfg.Fanout, Digest: cfg.Digest,
		Observers: cfg.Observers, Quorum: cfg.Quorum, MaxOut: cfg.MaxOut, MinFailures: cfg.MinFailures, Hold: cfg.Hold.Duration,
		Return: cfg.Return.Duration, RepeatsPerSecond: cfg.RepeatsPerSecond, ColdPerSecond: cfg.ColdPerSecond, RecordMoves: onMove != nil}, rand.New(rand.NewPCG(seed, incarnation)), a.now()); err != nil {
		return nil, fmt.Errorf("router %s: %w", cfg.Self, err)
	}
	if z, ok := cfg.zones(); ok {
		if err := a.node.Zones(z, a.now()); err != nil {
			return nil, fmt.Errorf("router %s: %w", cfg.Self, err)
		}
	}
	a.link = link.New(link.Config{Fleet: cfg.Fleet, Self: cfg.Self, Peers: peers, Timeout: cfg.Timeout.Duration,
		StaleAfter: cfg.Lease.Duration / 4, Seed: seed, Counters: count, Log: log, Receive: a.receive})
	return a, nil
}

// now reads a monotonic clock that keeps running while the process is stopped.
func (a *Agent) now() time.Duration { return time.Since(a.start) }

// SetVersions sets the versions that this router reports to the others as those it acts on. The
// vector must not be changed afterwards.
func (a *Agent) SetVersions(v version.Vector) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.node.SetVersions(v)
}

// SetText sets a version's text, as read from the store. Other routers may request it from then
// on.
func (a *Agent) SetText(t node.Text) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.node.SetText(t)
}

// RequestText requests a part's text of a later version than held from other routers, until one is
// received. onText is called with it and must not block; it replaces the onText of earlier calls.
func (a *Agent) RequestText(part string, held uint64, onText func(node.Text)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.onText = onText
	a.node.RequestText(part, held)
}

// Renew continues under a new incarnation; loans to this router end.
func (a *Agent) Renew() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.node.Renew()
}

// Newest returns the newest versions that enough other routers act on, and how long ago they
// reported so; ok is false if no router has.
func (a *Agent) Newest() (newest version.Vector, ago time.Duration, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	newest, reportedAt, ok := a.node.Newest()
	return newest, a.now() - reportedAt, ok
}

// Terms returns a hash of the settings, other than a budget's limit, that must be equal at two
// routers for one to lend budget to the other.
func (a *Agent) Terms() string { return a.node.Terms() }

// SetLimits sets the limits of all budgets whose keys begin with prefix, in cost per second over
// all routers. Budgets with the prefix that limits does not name become unlimited.
func (a *Agent) SetLimits(prefix string, limits map[string]float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.node.SetLimits(prefix, limits, a.now())
}

// Spend takes cost out of a budget and reports whether the budget had enough.
func (a *Agent) Spend(key string, cost float64) bool {
	a.mu.Lock()
	ok := a.node.Spend(key, cost, a.now())
	a.mu.Unlock()
	if ok {
		a.count.Add("fleet_budget_spent", 1)
	} else {
		a.count.Add("fleet_budget_refused", 1)
	}
	return ok
}

// Serve accepts the other routers' connections.
func (a *Agent) Serve(l net.Listener) error { return a.link.Serve(l) }

// Leave marks this router as leaving in its next messages, so that the others do not suspect
// it once its heartbeats stop.
func (a *Agent) Leave() {
	a.mu.Lock()
	a.node.Leave()
	a.mu.Unlock()
}

// Run sends the messages that are due until ctx ends.
func (a *Agent) Run(ctx context.Context) {
	sending, end := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() { a.link.Run(sending) })
	defer done.Wait()
	defer end()
	defer a.link.Close()
	every := a.cfg.Lease.Duration / ticksPerLease
	if c := a.cfg.CountsPeriod.Duration; c > 0 {
		every = min(every, c)
	}
	tick := time.NewTicker(every)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			a.tick()
		case <-ctx.Done():
			return
		}
	}
}

// tick sends the messages that are due, at most one per router, updates the workers and logs
// changes.
func (a *Agent) tick() {
	a.mu.Lock()
	out := a.node.Tick(a.now())
	a.mu.Unlock()
	for _, e := range out {
		a.link.Send(e)
	}
	a.updateWorkers()
	a.mu.Lock()
	notices := a.node.Notices()
	a.mu.Unlock()
	for _, n := range notices {
		a.logNotice(n)
	}
}

func (a *Agent) receive(e link.Envelope) {
	a.mu.Lock()
	answers := a.node.Receive(e, a.now())
	for _, m := range a.node.Moves() {
		a.onMove(m)
	}
	for _, t := range a.node.Texts() {
		a.onText(t)
	}
	a.mu.Unlock()
	for _, answer := range answers {
		a.link.Send(answer)
	}
}

// logNotice logs and counts a change.
func (a *Agent) logNotice(n node.Notice) {
	switch n.Kind {
	case node.Fenced:
		a.log.WithField("router", n.Name).Error("another process with this router's name was started later; this one spends nothing any more")
		a.count.Add("fleet_fenced", 1)
	case node.Isolated, node.IsolationEnded:
		a.log.WithField("deaf", n.Kind == node.Isolated).Warn("fleet: heartbeats of the other routers lost or received again")
	case node.RouterChanged:
		a.log.WithFields(logrus.Fields{"router": n.Name, "state": n.Is, "was": n.Was}).Info("fleet: router changed state")
	case node.WorkerOut:
		a.log.WithField("worker", n.Name).Warn("fleet: worker out for all by agreement")
		a.count.Add("fleet_workers_out", 1)
	case node.WorkerBack:
		a.log.WithField("worker", n.Name).Info("fleet: worker gets traffic again")
	}
}

// MembersPage is this router's view of the fleet's members.
type MembersPage struct {
	Fleet       string       `json:"fleet"`
	Self        string       `json:"self"`
	Incarnation uint64       `json:"life"`
	Fenced      bool         `json:"fenced"`
	Isolated    bool         `json:"deaf"`
	Routers     []MemberLine `json:"routers"`
}

// MemberLine is one other router.
type MemberLine struct {
	Name        string  `json:"name"`
	State       string  `json:"state"`
	Incarnation uint64  `json:"life"`
	AgeS        float64 `json:"age_s"` // since its latest heartbeat was received
	Suspicions  int     `json:"doubts"`
}

// BudgetLine is one budget.
type BudgetLine struct {
	Key          string             `json:"key"`
	Limit        float64            `json:"limit"`
	Share        float64            `json:"share"`
	Floor        float64            `json:"floor"`
	Rate         float64            `json:"rate"`
	IsolatedRate float64            `json:"if_cut"`
	Demand       float64            `json:"demand"`
	Lent         map[string]float64 `json:"lent"`
	Borrowed     map[string]float64 `json:"borrowed"`
	EndsS        float64            `json:"ends_s"` // until the last lease ends
	Unsure       bool               `json:"unsure"`
	Fenced       bool               `json:"fenced"`
}

// LinkLine is one link.
type LinkLine struct {
	Name      string  `json:"name"`
	Addr      string  `json:"addr"`
	Connected bool    `json:"connected"`
	Sent      int64   `json:"sent"`
	Dropped   int64   `json:"dropped"`
	Received  int64   `json:"heard"`
	AckedS    float64 `json:"taken_s"` // since it acknowledged a message; -1: never
	ReceivedS float64 `json:"heard_s"` // since a message from it was received; -1: never
	Fault     string  `json:"fault,omitempty"`
}

// WorkerPage is the state of one worker.
type WorkerPage struct {
	Worker string      `json:"worker"`
	Listed bool        `json:"listed"`
	Part   float64     `json:"part"`   // share of its traffic that it gets
	Good   float64     `json:"good"`   // recent own attempts, decaying
	Bad    float64     `json:"bad"`    // those that failed
	Unread float64     `json:"unread"` // prompt tokens of other routers that wait there to be read
	Held   float64     `json:"held"`   // tokens that it holds for other routers
	By     []JudgeLine `json:"by"`
}

// JudgeLine is one router's judgement of a worker.
type JudgeLine struct {
	Router string  `json:"router"`
	Fault  string  `json:"fault"`
	Bad    float64 `json:"bad"`
	Good   float64 `json:"good"`
	LeftS  float64 `json:"left_s"`
}

func (a *Agent) worker(name string) WorkerPage {
	a.mu.Lock()
	part, k, peers := a.node.Worker(name, a.now())
	fronts := a.fronts
	a.mu.Unlock()
	p := WorkerPage{Worker: name, Part: part, Good: k.Good, Bad: k.Bad, Unread: peers.Unread, Held: peers.Held, By: []JudgeLine{}}
	for _, f := range fronts {
		p.Listed = p.Listed || f.gate.Known(name)
	}
	for _, j := range k.By {
		p.By = append(p.By, JudgeLine{j.Origin, j.Fault.String(), j.Bad, j.Good, float64(j.LeftMs) / 1000})
	}
	return p
}

func (a *Agent) membersPage() MembersPage {
	a.mu.Lock()
	v := a.node.Members(a.now())
	a.mu.Unlock()
	p := MembersPage{Fleet: a.cfg.Fleet, Self: a.cfg.Self, Incarnation: v.Incarnation, Fenced: v.Fenced, Isolated: v.Isolated, Routers: []MemberLine{}}
	for _, r := range v.Routers {
		p.Routers = append(p.Routers, MemberLine{r.Name, r.State.String(), r.Incarnation, r.Age.Seconds(), r.Suspicions})
	}
	return p
}

func (a *Agent) budgets() []BudgetLine {
	a.mu.Lock()
	views := a.node.Budgets(a.now())
	a.mu.Unlock()
	out := []BudgetLine{}
	for _, v := range views {
		line := BudgetLine{Key: v.Key, Limit: v.Limit, Share: v.Share, Floor: v.Floor, Rate: v.Rate, IsolatedRate: v.IsolatedRate, Demand: v.Demand,
			Lent: map[string]float64{}, Borrowed: map[string]float64{}, Unsure: v.Unsure, Fenced: v.Fenced}
		for _, l := range v.Lent {
			line.Lent[l.Router] = l.Amount
			line.EndsS = max(line.EndsS, l.Left.Seconds())
		}
		for _, l := range v.Borrowed {
			line.Borrowed[l.Router] = l.Amount
			line.EndsS = max(line.EndsS, l.Left.Seconds())
		}
		out = append(out, line)
	}
	return out
}

func (a *Agent) links() []LinkLine {
	out := []LinkLine{}
	for _, s := range a.link.Statuses() {
		out = append(out, LinkLine{s.Name, s.Addr, s.Connected, s.Sent, s.Dropped, s.Received, seconds(s.SinceAcked),
			seconds(s.SinceReceived), s.LastFault})
	}
	return out
}

// Page returns the console page of a name: members, budgets, links, zones, worker/NAME, or
// zone/NAME, the plan without that zone.
func (a *Agent) Page(name string) (any, bool) {
	if worker, ok := strings.CutPrefix(name, "worker/"); ok && worker != "" {
		return a.worker(worker), true
	}
	if zone, ok := strings.CutPrefix(name, "zone/"); ok && zone != "" {
		return a.planWithoutZone(zone)
	}
	switch name {
	case "zones":
		if p, ok := a.zonesPage(); ok {
			return p, true
		}
	case "members":
		return a.membersPage(), true
	case "budgets":
		return a.budgets(), true
	case "links":
		return a.links(), true
	}
	return nil, false
}

func seconds(d time.Duration) float64 {
	if d < 0 {
		return -1
	}
	return d.Seconds()
}
