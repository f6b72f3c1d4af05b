package budget

// This file: one router's part in all budgets: what it may spend now.

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Ledger is one router's part in all budgets.
type Ledger struct {
	moves   []Move
	cfg     Config
	began   Time
	fenced  bool
	seq     uint64
	budgets map[string]*account
}

// account is what a router knows of one budget.
type account struct {
	limit  float64
	level  float64 // what may be spent now
	at     Time    // when level was right
	demand float64 // a second, at the time above
	off    bool    // without a limit, but what was lent may still be in use
	lent   map[string]*lent
	held   map[string]*held
	next   int // who is asked first, so that not all ask the same
}

// New returns a router's ledger without budgets.
func New(cfg Config, now Time) (*Ledger, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	cfg.Routers = slices.Sorted(slices.Values(cfg.Routers))
	return &Ledger{cfg: cfg, began: now, budgets: map[string]*account{}}, nil
}

// SetLimit sets a budget's limit, in cost a second over all routers; 0 removes it.
// While routers go over to another limit one by one, the larger of the two holds.
func (l *Ledger) SetLimit(key string, perSecond float64, now Time) {
	a := l.budgets[key]
	if !(perSecond > 0) || math.IsInf(perSecond, 0) {
		if a != nil {
			l.settle(a, now)
			a.off, a.limit, a.demand = true, 0, 0
		}
		return
	}
	if a == nil {
		a = &account{at: now, lent: map[string]*lent{}, held: map[string]*held{}}
		a.next = slices.Index(l.cfg.Routers, l.cfg.Self) + 1
		l.budgets[key] = a
	}
	l.settle(a, now)
	a.off, a.limit = false, perSecond
	l.settle(a, now)
}

// epoch is what both ends of a loan must agree in: the terms, and this budget's limit.
// Another budget's change interrupts nothing here.
func (l *Ledger) epoch(a *account) uint64 {
	return (l.cfg.Epoch ^ math.Float64bits(a.limit)) * 0x9e3779b97f4a7c15
}

// SetIncarnation tells that this process goes by a newer life. What it has borrowed
// under the one before is given up here and runs out where it came from.
func (l *Ledger) SetIncarnation(life uint64) {
	if life <= l.cfg.Incarnation {
		return
	}
	l.cfg.Incarnation = life
	for _, a := range l.budgets {
		clear(a.held)
	}
}

// Fence ends all spending: another process goes on under this router's name.
func (l *Ledger) Fence() { l.fenced = true }

// Spend takes cost out of a budget, if it is there. A key without a limit is free.
// The cost may be up to what Burst lets a router save up, and 1 at any rate.
func (l *Ledger) Spend(key string, cost float64, now Time) bool {
	a := l.budgets[key]
	if a == nil || a.off {
		return !l.fenced
	}
	if !(cost >= 0) || l.fenced {
		return false
	}
	l.settle(a, now)
	a.demand += cost / (demandOver * l.cfg.Lease.Seconds())
	if a.level < cost {
		return false
	}
	a.level -= cost
	return true
}

func (l *Ledger) share(a *account) float64 { return a.limit / float64(len(l.cfg.Routers)) }

// unsure tells whether an earlier process under this name may still have lent.
func (l *Ledger) unsure(now Time) bool { return now-l.began < Time(l.cfg.Lease) }

// own is what is left of the own share.
func (l *Ledger) own(a *account, now Time) float64 {
	rate := l.share(a)
	if l.unsure(now) {
		rate *= l.cfg.Floor
	}
	for _, n := range a.lent {
		rate -= n.out(now)
	}
	return math.Max(rate, 0)
}

func (l *Ledger) borrowed(a *account, now Time) float64 {
	rate := 0.0
	for _, h := range a.held {
		if now < h.until {
			rate += h.amount
		}
	}
	return rate
}

// most is what may be saved up.
func (l *Ledger) most(a *account, now Time) float64 {
	return math.Max(1, l.cfg.Burst.Seconds()*(l.own(a, now)+l.borrowed(a, now)))
}

// settle brings an account up to now. What came in since is counted by the rates at
// the beginning, those of leases that ended meanwhile up to their ends.
func (l *Ledger) settle(a *account, now Time) {
	if now > a.at {
		gained := l.own(a, a.at) * (time.Duration(now - a.at)).Seconds()
		for _, h := range a.held {
			if end := min(h.until, now); end > a.at {
				gained += h.amount * (time.Duration(end - a.at)).Seconds()
			}
		}
		a.level += gained
		a.demand *= math.Exp(-float64(now-a.at) / (demandOver * float64(l.cfg.Lease)))
		a.at = now
	}
	for _, n := range a.lent {
		n.grants = slices.DeleteFunc(n.grants, func(g grant) bool { return now >= g.until })
	}
	a.level = math.Min(a.level, l.most(a, now))
}

// Tick returns the asks that are due. It is to be called several times a lease.
func (l *Ledger) Tick(now Time) []Message {
	var out []Message
	if l.fenced {
		return nil
	}
	for _, key := range slices.Sorted(maps.Keys(l.budgets)) {
		a := l.budgets[key]
		l.settle(a, now)
		switch {
		case !a.off:
			out = l.asks(key, a, now, out)
		case !a.out(now):
			delete(l.budgets, key)
		}
	}
	return out
}

// Receive takes a message and returns the answer to it, if there is one. What is
// malformed, of another epoch, for somebody else or of a stranger is dropped.
func (l *Ledger) Receive(m Message, now Time) []Message {
	a := l.budgets[m.Key]
	if a == nil || a.off || l.fenced || m.To != l.cfg.Self || m.From == l.cfg.Self || m.Epoch != l.epoch(a) || m.Seq == 0 ||
		!(m.Amount >= 0) || math.IsInf(m.Amount, 0) || !slices.Contains(l.cfg.Routers, m.From) {
		return nil
	}
	l.settle(a, now)
	switch m.Kind {
	case Ask:
		return l.lend(a, m, now)
	case Grant:
		l.take(a, m, now)
	case Return:
		a.lent[m.From].back(m)
		l.tell(Move{Kind: Returned, Key: m.Key, Router: m.From, Life: m.Life, Seq: m.Seq, Amount: m.Amount})
	}
	l.settle(a, now)
	return nil
}

func (l *Ledger) tell(m Move) {
	if l.cfg.Tell {
		l.moves = append(l.moves, m)
	}
}

// Moves returns what was lent, returned and borrowed since it was asked for last, in order.
func (l *Ledger) Moves() []Move {
	out := l.moves
	l.moves = nil
	return out
}
