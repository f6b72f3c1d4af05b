package budget

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Ledger is one router's part in all budgets. It decides what the router may spend now.
type Ledger struct {
	moves     []Move
	cfg       Config
	startedAt Time
	fenced    bool
	seq       uint64
	budgets   map[string]*account
}

// account is a router's state of one budget.
type account struct {
	limit     float64
	level     float64 // amount that may be spent now
	settledAt Time    // when level was last updated
	demand    float64 // per second, averaged up to settledAt
	removed   bool    // the limit was removed, but loans may still be in use
	lent      map[string]*lending
	held      map[string]*borrowing
	// Index of the owner that is asked first; it differs between routers to spread the asks.
	firstOwner int
}

// New returns a router's ledger with no budgets.
func New(cfg Config, now Time) (*Ledger, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	cfg.Routers = slices.Sorted(slices.Values(cfg.Routers))
	return &Ledger{cfg: cfg, startedAt: now, budgets: map[string]*account{}}, nil
}

// SetLimit sets a budget's limit, in cost per second over all routers; 0 removes it. While the
// routers change to another limit one by one, the larger of the two applies to the fleet.
func (l *Ledger) SetLimit(key string, perSecond float64, now Time) {
	a := l.budgets[key]
	if !(perSecond > 0) || math.IsInf(perSecond, 0) {
		if a != nil {
			l.settle(a, now)
			a.removed, a.limit, a.demand = true, 0, 0
		}
		return
	}
	if a == nil {
		a = &account{settledAt: now, lent: map[string]*lending{}, held: map[string]*borrowing{}}
		a.firstOwner = slices.Index(l.cfg.Routers, l.cfg.Self) + 1
		l.budgets[key] = a
	}
	l.settle(a, now)
	a.removed, a.limit = false, perSecond
	l.settle(a, now)
}

// epoch identifies what both ends of a loan must agree on: the terms and this budget's limit. A
// change to another budget does not interrupt loans of this one.
func (l *Ledger) epoch(a *account) uint64 {
	return (l.cfg.Epoch ^ math.Float64bits(a.limit)) * 0x9e3779b97f4a7c15
}

// SetIncarnation sets a newer incarnation for this process. What it borrowed under the previous one
// is released here and expires at the owners.
func (l *Ledger) SetIncarnation(incarnation uint64) {
	if incarnation <= l.cfg.Incarnation {
		return
	}
	l.cfg.Incarnation = incarnation
	for _, a := range l.budgets {
		clear(a.held)
	}
}

// Fence stops all spending, because another process has taken over this router's name.
func (l *Ledger) Fence() { l.fenced = true }

// Spend takes cost from a budget and reports whether enough was available. A key without a limit is
// unrestricted. The maximum cost is the amount that Burst lets a router accumulate, and at least 1.
func (l *Ledger) Spend(key string, cost float64, now Time) bool {
	a := l.budgets[key]
	if a == nil || a.removed {
		return !l.fenced
	}
	if !(cost >= 0) || l.fenced {
		return false
	}
	l.settle(a, now)
	a.demand += cost / (demandWindow * l.cfg.Lease.Seconds())
	if a.level < cost {
		return false
	}
	a.level -= cost
	return true
}

func (l *Ledger) share(a *account) float64 { return a.limit / float64(len(l.cfg.Routers)) }

// unsure reports whether loans by an earlier process with this name may still be in use.
func (l *Ledger) unsure(now Time) bool { return now-l.startedAt < Time(l.cfg.Lease) }

// ownRate is the part of the own share that is not lent.
func (l *Ledger) ownRate(a *account, now Time) float64 {
	rate := l.share(a)
	if l.unsure(now) {
		rate *= l.cfg.Floor
	}
	for _, n := range a.lent {
		rate -= n.total(now)
	}
	return math.Max(rate, 0)
}

func (l *Ledger) borrowedRate(a *account, now Time) float64 {
	rate := 0.0
	for _, h := range a.held {
		if now < h.until {
			rate += h.amount
		}
	}
	return rate
}

// maxLevel is the largest amount that may accumulate.
func (l *Ledger) maxLevel(a *account, now Time) float64 {
	return math.Max(1, l.cfg.Burst.Seconds()*(l.ownRate(a, now)+l.borrowedRate(a, now)))
}

// settle updates an account to now. Income since the last update is computed from the rates at its
// beginning; leases that expired in between count up to their expiry.
func (l *Ledger) settle(a *account, now Time) {
	if now > a.settledAt {
		gained := l.ownRate(a, a.settledAt) * (time.Duration(now - a.settledAt)).Seconds()
		for _, h := range a.held {
			if end := min(h.until, now); end > a.settledAt {
				gained += h.amount * (time.Duration(end - a.settledAt)).Seconds()
			}
		}
		a.level += gained
		a.demand *= math.Exp(-float64(now-a.settledAt) / (demandWindow * float64(l.cfg.Lease)))
		a.settledAt = now
	}
	for _, n := range a.lent {
		n.grants = slices.DeleteFunc(n.grants, func(g grant) bool { return now >= g.until })
	}
	a.level = math.Min(a.level, l.maxLevel(a, now))
}

// Tick returns the asks that are due. Call it several times per lease.
func (l *Ledger) Tick(now Time) []Message {
	var out []Message
	if l.fenced {
		return nil
	}
	for _, key := range slices.Sorted(maps.Keys(l.budgets)) {
		a := l.budgets[key]
		l.settle(a, now)
		switch {
		case !a.removed:
			out = l.requestLoans(key, a, now, out)
		case !a.hasLent(now):
			delete(l.budgets, key)
		}
	}
	return out
}

// Receive processes a message and returns the answers to it. It drops messages that are malformed,
// of another epoch, addressed to another router or sent by an unknown router.
func (l *Ledger) Receive(m Message, now Time) []Message {
	a := l.budgets[m.Key]
	if a == nil || a.removed || l.fenced || m.To != l.cfg.Self || m.From == l.cfg.Self || m.Epoch != l.epoch(a) || m.Seq == 0 ||
		!(m.Amount >= 0) || math.IsInf(m.Amount, 0) || !slices.Contains(l.cfg.Routers, m.From) {
		return nil
	}
	l.settle(a, now)
	switch m.Kind {
	case Ask:
		return l.lend(a, m, now)
	case Grant:
		l.acceptGrant(a, m, now)
	case Return:
		a.lent[m.From].reduce(m)
		l.record(Move{Kind: Returned, Key: m.Key, Router: m.From, Incarnation: m.Incarnation, Seq: m.Seq, Amount: m.Amount})
	}
	l.settle(a, now)
	return nil
}

func (l *Ledger) record(m Move) {
	if l.cfg.RecordMoves {
		l.moves = append(l.moves, m)
	}
}

// Moves returns the loans, returns and borrowings since the last call, in order.
func (l *Ledger) Moves() []Move {
	out := l.moves
	l.moves = nil
	return out
}
