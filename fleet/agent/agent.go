// Package agent is one router's part in its fleet: it hands what comes over the
// links to the parts that decide, their messages to the links, and answers the fronts.
package agent

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"lichenshelf/fleet/budget"
	"lichenshelf/fleet/counts"
	"lichenshelf/fleet/link"
	"lichenshelf/fleet/members"
	"lichenshelf/fleet/verdict"
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

	mu      sync.Mutex
	ledger  *budget.Ledger
	members *members.View
	limits  map[string]float64
	states  map[string]members.State // as logged last
	fenced  bool
	deaf    bool
	court   *verdict.Court
	board   *counts.Board
	fronts  []*Front // whose workers are judged
	parts   map[string]float64
	told    time.Duration // when the cores were told of others' work last
}

// New returns an agent; Run and Serve start it. The life is a number that grows with
// each start, such as the wall clock's; if it does not, the fleet puts it right.
func New(cfg *Config, life, seed uint64, count Counters, log logrus.FieldLogger) (*Agent, error) {
	a := &Agent{cfg: cfg, count: count, log: log, start: time.Now(), limits: map[string]float64{}, states: map[string]members.State{}}
	var names []string
	var peers []link.Peer
	for _, r := range cfg.Routers {
		names = append(names, r.Name)
		if r.Name != cfg.Self {
			peers = append(peers, link.Peer{Name: r.Name, Addr: r.Addr})
		}
	}
	var err error
	if a.ledger, err = budget.New(budget.Config{Self: cfg.Self, Routers: names, Incarnation: life, Epoch: a.epoch(), Lease: cfg.Lease.Duration,
		Drift: cfg.Drift, Floor: cfg.Floor, Burst: cfg.Burst.Duration}, budget.Time(a.now())); err != nil {
		return nil, err
	}
	if a.members, err = members.New(members.Config{Self: cfg.Self, Routers: names, Life: life, Period: cfg.Period.Duration,
		Fanout: cfg.Fanout, Digest: cfg.Digest, Observers: cfg.Observe,
		DoubtFor: members.Patience(len(names), cfg.Period.Duration, cfg.Fanout, cfg.Digest)},
		rand.New(rand.NewPCG(seed, life)), members.Time(a.now())); err != nil {
		return nil, err
	}
	zones := map[string]string{}
	for _, r := range cfg.Routers {
		zones[r.Name] = r.Zone
	}
	if a.court, err = verdict.New(verdict.Config{Self: cfg.Self, Zones: zones, Quorum: cfg.Quorum, MostOut: cfg.MostOut, Least: cfg.Least,
		Hold: cfg.Hold.Duration, Return: cfg.Return.Duration}, life); err != nil {
		return nil, err
	}
	a.board = counts.New(cfg.Self, names, life, 2*cfg.Period.Duration)
	a.link = link.New(link.Config{Fleet: cfg.Fleet, Self: cfg.Self, Peers: peers, Timeout: cfg.Timeout.Duration,
		StaleAfter: cfg.Lease.Duration / 4, Seed: seed, Counters: count, Log: log, Receive: a.receive})
	return a, nil
}

// now is monotonic, and goes on while the process is stopped.
func (a *Agent) now() time.Duration { return time.Since(a.start) }

// epoch stands for the terms that must be the same at two routers that lend each other.
func (a *Agent) epoch() uint64 {
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, a.cfg.Lease, a.cfg.Floor, a.cfg.Burst, a.cfg.Drift)
	names := make([]string, 0, len(a.cfg.Routers))
	for _, r := range a.cfg.Routers {
		names = append(names, r.Name)
	}
	slices.Sort(names)
	_, _ = fmt.Fprintf(h, "%q", names)
	return h.Sum64()
}

// SetLimits sets the limits of all budgets with a prefix, in cost a second over all
// routers; those that are not named any more are free.
func (a *Agent) SetLimits(prefix string, limits map[string]float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.setLimits(prefix, limits)
}

func (a *Agent) setLimits(prefix string, limits map[string]float64) {
	now := budget.Time(a.now())
	for key := range a.limits {
		if _, ok := limits[key]; !ok && strings.HasPrefix(key, prefix) {
			delete(a.limits, key)
			a.ledger.SetLimit(key, 0, now)
		}
	}
	for key, v := range limits {
		a.limits[key] = v
		a.ledger.SetLimit(key, v, now)
	}
}

// Spend takes cost out of a budget, if it is there.
func (a *Agent) Spend(key string, cost float64) bool {
	a.mu.Lock()
	ok := a.ledger.Spend(key, cost, budget.Time(a.now()))
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
	a.members.Leave()
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
	tick := time.NewTicker(a.cfg.Lease.Duration / ticksPerLease)
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

// tick sends what the parts have due, one message for each router.
func (a *Agent) tick() {
	now := a.now()
	a.mu.Lock()
	out := map[string]*link.Envelope{}
	to := func(name string) *link.Envelope {
		if out[name] == nil {
			out[name] = &link.Envelope{To: name}
		}
		return out[name]
	}
	for _, m := range a.members.Tick(members.Time(now)) {
		e := to(m.To)
		e.Members = &m
		if len(a.fronts) > 0 {
			state := a.board.Tell()
			e.Judged, e.Counts = a.court.Tell(verdict.Time(now)), &state
		}
	}
	for _, m := range a.ledger.Tick(budget.Time(now)) {
		e := to(m.To)
		e.Budget = append(e.Budget, m)
	}
	a.notice(members.Time(now))
	for _, f := range a.fronts {
		f.thaw(now)
	}
	a.mu.Unlock()
	for _, e := range out {
		a.link.Send(*e)
	}
	a.confer()
}

// notice logs what has changed since it looked last.
func (a *Agent) notice(now members.Time) {
	if a.members.Fenced() && !a.fenced {
		a.fenced = true
		a.ledger.Fence()
		a.log.WithField("router", a.cfg.Self).Error("another process with this router's name has started later: this one spends nothing any more")
		a.count.Add("fleet_fenced", 1)
	}
	life := a.members.Life()
	a.ledger.SetIncarnation(life)
	a.court.SetLife(life)
	a.board.SetLife(life)
	if deaf := a.members.Deaf(now); deaf != a.deaf {
		a.deaf = deaf
		a.log.WithField("deaf", deaf).Warn("fleet: hearing of the other routers has changed")
	}
	for _, r := range a.members.Routers(now) {
		if was, ok := a.states[r.Name]; r.State != was || !ok {
			a.states[r.Name] = r.State
			if ok {
				a.log.WithFields(logrus.Fields{"router": r.Name, "state": r.State.String(), "was": was.String()}).Info("fleet: router changed")
			}
		}
	}
}

func (a *Agent) receive(e link.Envelope) {
	now := a.now()
	answer := link.Envelope{To: e.From}
	a.mu.Lock()
	if e.Members != nil {
		a.members.Receive(*e.Members, members.Time(now))
	}
	a.court.Receive(e.Judged, verdict.Time(now))
	if e.Counts != nil {
		a.board.Receive(*e.Counts, counts.Time(now))
	}
	for _, m := range e.Budget {
		answer.Budget = append(answer.Budget, a.ledger.Receive(m, budget.Time(now))...)
	}
	a.mu.Unlock()
	if len(answer.Budget) > 0 {
		a.link.Send(answer)
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
	defer a.mu.Unlock()
	now := a.now()
	k := a.court.Case(name, verdict.Time(now))
	p := WorkerPage{Worker: name, Part: 1, Good: k.Good, Bad: k.Bad, By: []JudgeLine{}}
	for _, f := range a.fronts {
		p.Listed = p.Listed || f.gate.Known(name)
	}
	if part, ok := a.parts[name]; ok {
		p.Part = part
	}
	a.board.Peers(counts.Time(now), func(w string, v counts.Work) {
		if w == name {
			p.Unread, p.Held = v.Unread, v.Held
		}
	})
	for _, j := range k.By {
		p.By = append(p.By, JudgeLine{j.Origin, j.Fault.String(), j.Bad, j.Good, float64(j.LeftMs) / 1000})
	}
	return p
}

// Page returns what there is to see under a name: members, budgets, links, or worker/
// and a worker's name.
func (a *Agent) Page(name string) (any, bool) {
	if worker, ok := strings.CutPrefix(name, "worker/"); ok && worker != "" {
		return a.worker(worker), true
	}
	now := a.now()
	switch name {
	case "members":
		a.mu.Lock()
		defer a.mu.Unlock()
		p := MembersPage{Fleet: a.cfg.Fleet, Self: a.cfg.Self, Life: a.members.Life(), Fenced: a.members.Fenced(),
			Deaf: a.members.Deaf(members.Time(now)), Routers: []MemberLine{}}
		for _, r := range a.members.Routers(members.Time(now)) {
			p.Routers = append(p.Routers, MemberLine{r.Name, r.State.String(), r.Life, r.Age.Seconds(), r.Doubt})
		}
		return p, true
	case "budgets":
		a.mu.Lock()
		defer a.mu.Unlock()
		out := []BudgetLine{}
		for _, v := range a.ledger.Views(budget.Time(now)) {
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
		return out, true
	case "links":
		out := []LinkLine{}
		for _, s := range a.link.Statuses() {
			out = append(out, LinkLine{s.Name, s.Addr, s.Connected, s.Sent, s.Dropped, s.Heard, seconds(s.SinceTaken),
				seconds(s.SinceHeard), s.LastFault})
		}
		return out, true
	}
	return nil, false
}

func seconds(d time.Duration) float64 {
	if d < 0 {
		return -1
	}
	return d.Seconds()
}
