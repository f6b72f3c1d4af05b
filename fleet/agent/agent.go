// Package agent is one router's part in its fleet on sockets: it hands what comes over the
// links to the part that decides (fleet/node), its messages to the links, and answers the
// fronts.
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

// ticksPerLease is how often in a lease what is due is looked for.
const ticksPerLease = 16

// Counters is told what the agent does.
type Counters interface {
	Add(name string, n int64)
}

// Agent is a router's part in its fleet. Its methods may be called from any goroutine.
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

// New returns an agent; Run and Serve start it. Loans, if it is not nil, is told of what is lent and borrowed, one after
// the other and before the other end can know of it; it must return at once. The life is a number that grows with
// each start, such as the wall clock's; if it does not, the fleet puts it right.
func New(cfg *Config, life, seed uint64, onMove func(budget.Move), count Counters, log logrus.FieldLogger) (*Agent, error) {
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
	if a.node, err = node.New(node.Config{Self: cfg.Self, Zones: zones, Life: life, Lease: cfg.Lease.Duration, Floor: cfg.Floor,
		Burst: cfg.Burst.Duration, Drift: cfg.Drift, Period: cfg.Period.Duration, Counts: cfg.Counts.Duration, Fanout: cfg.Fanout, Digest: cfg.Digest,
		Observers: cfg.Observers, Quorum: cfg.Quorum, MostOut: cfg.MaxOut, Least: cfg.MinFailures, Hold: cfg.Hold.Duration,
		Return: cfg.Return.Duration, Repeats: cfg.RepeatsPerSecond, Cold: cfg.ColdPerSecond, RecordMoves: onMove != nil}, rand.New(rand.NewPCG(seed, life)), a.now()); err != nil {
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

// now is monotonic, and goes on while the process is stopped.
func (a *Agent) now() time.Duration { return time.Since(a.start) }

// SetActs sets what the others are told that this router acts on. The vector must not be changed after.
func (a *Agent) SetActs(v version.Vector) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.node.SetActs(v)
}

// SetText takes a version's text as the store gave it; others may have it from this router then.
func (a *Agent) SetText(t node.Text) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.node.SetText(t)
}

// WantText has others asked for a part's text of a later version than the one that is held, until one has come. Take is told
// of it and must return at once; the one that was handed in last is.
func (a *Agent) WantText(part string, held uint64, take func(node.Text)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.onText = take
	a.node.RequestText(part, held)
}

// Renew goes on under a new life: what was lent to this router before is over.
func (a *Agent) Renew() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.node.Renew()
}

// Newest is what enough of the others act on, and how long ago they said so; false if they have not.
func (a *Agent) Newest() (newest version.Vector, ago time.Duration, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	newest, heard, ok := a.node.Newest()
	return newest, a.now() - heard, ok
}

// Terms names all that must be the same at two routers that lend each other, beside a budget's limit.
func (a *Agent) Terms() string { return a.node.Terms() }

// SetLimits sets the limits of all budgets with a prefix, in cost a second over all
// routers; those that are not named any more are free.
func (a *Agent) SetLimits(prefix string, limits map[string]float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.node.SetLimits(prefix, limits, a.now())
}

// Spend takes cost out of a budget, if it is there.
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

// Serve takes the other routers' connections.
func (a *Agent) Serve(l net.Listener) error { return a.link.Serve(l) }

// Leave makes the next messages say that this router leaves: it is not missed then.
func (a *Agent) Leave() {
	a.mu.Lock()
	a.node.Leave()
	a.mu.Unlock()
}

// Run sends what is due until ctx ends.
func (a *Agent) Run(ctx context.Context) {
	sending, end := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() { a.link.Run(sending) })
	defer done.Wait()
	defer end()
	defer a.link.Close()
	every := a.cfg.Lease.Duration / ticksPerLease
	if c := a.cfg.Counts.Duration; c > 0 {
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

// tick sends what is due, one message for each router, and confers.
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

// logNotice logs a change.
func (a *Agent) logNotice(n node.Notice) {
	switch n.Kind {
	case node.Fenced:
		a.log.WithField("router", n.Name).Error("another process with this router's name has started later: this one spends nothing any more")
		a.count.Add("fleet_fenced", 1)
	case node.Isolated, node.IsolationEnded:
		a.log.WithField("deaf", n.Kind == node.Isolated).Warn("fleet: hearing of the other routers has changed")
	case node.RouterChanged:
		a.log.WithFields(logrus.Fields{"router": n.Name, "state": n.Is, "was": n.Was}).Info("fleet: router changed")
	case node.WorkerOut:
		a.log.WithField("worker", n.Name).Warn("fleet: worker out for all by agreement")
		a.count.Add("fleet_workers_out", 1)
	case node.WorkerBack:
		a.log.WithField("worker", n.Name).Info("fleet: worker comes back")
	}
}

// MembersPage is what this router knows of the others.
type MembersPage struct {
	Fleet   string       `json:"fleet"`
	Self    string       `json:"self"`
	Life    uint64       `json:"life"`
	Fenced  bool         `json:"fenced"`
	Deaf    bool         `json:"deaf"`
	Routers []MemberLine `json:"routers"`
}

// MemberLine is one other router.
type MemberLine struct {
	Name   string  `json:"name"`
	State  string  `json:"state"`
	Life   uint64  `json:"life"`
	AgeS   float64 `json:"age_s"` // since news of it came
	Doubts int     `json:"doubts"`
}

// BudgetLine is one budget.
type BudgetLine struct {
	Key      string             `json:"key"`
	Limit    float64            `json:"limit"`
	Share    float64            `json:"share"`
	Floor    float64            `json:"floor"`
	Rate     float64            `json:"rate"`
	IfCut    float64            `json:"if_cut"`
	Demand   float64            `json:"demand"`
	Lent     map[string]float64 `json:"lent"`
	Borrowed map[string]float64 `json:"borrowed"`
	EndsS    float64            `json:"ends_s"` // until the last lease ends
	Unsure   bool               `json:"unsure"`
	Fenced   bool               `json:"fenced"`
}

// LinkLine is one link.
type LinkLine struct {
	Name      string  `json:"name"`
	Addr      string  `json:"addr"`
	Connected bool    `json:"connected"`
	Sent      int64   `json:"sent"`
	Dropped   int64   `json:"dropped"`
	Heard     int64   `json:"heard"`
	TakenS    float64 `json:"taken_s"` // since it took a message; -1: never
	HeardS    float64 `json:"heard_s"`
	Fault     string  `json:"fault,omitempty"`
}

// WorkerPage is what is known of one worker.
type WorkerPage struct {
	Worker string      `json:"worker"`
	Listed bool        `json:"listed"`
	Part   float64     `json:"part"`   // of its traffic that it gets
	Good   float64     `json:"good"`   // own attempts lately
	Bad    float64     `json:"bad"`    // those that went wrong
	Unread float64     `json:"unread"` // prompt tokens that the other routers have waiting there
	Held   float64     `json:"held"`   // tokens that it holds for them
	By     []JudgeLine `json:"by"`
}

// JudgeLine is one router's judgement on a worker.
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
	p := MembersPage{Fleet: a.cfg.Fleet, Self: a.cfg.Self, Life: v.Incarnation, Fenced: v.Fenced, Deaf: v.Isolated, Routers: []MemberLine{}}
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
		line := BudgetLine{Key: v.Key, Limit: v.Limit, Share: v.Share, Floor: v.Floor, Rate: v.Rate, IfCut: v.IfCut, Demand: v.Demand,
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

// Page returns what there is to see under a name: members, budgets, links, or worker/
// and a worker's name.
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
