package budget

import (
	"maps"
	"slices"
	"time"
)

// Loan is what one router holds of another's share.
type Loan struct {
	Router string
	Amount float64       // per second
	Left   time.Duration // until the lease expires
}

// View is the state of a budget at this router, for display. Rates are per second.
type View struct {
	Key                 string
	Limit, Share, Floor float64
	Rate                float64 // rate that may be spent now
	// Rate that may be spent once all leases have expired without messages from other routers.
	IsolatedRate   float64
	Demand         float64
	Lent, Borrowed []Loan
	Unsure         bool // recently started: loans by an earlier process may still be in use
	Fenced         bool
}

// Views returns the state of all budgets, sorted by key.
func (l *Ledger) Views(now Time) []View {
	var out []View
	for _, key := range slices.Sorted(maps.Keys(l.budgets)) {
		a := l.budgets[key]
		if a.removed {
			continue
		}
		l.settle(a, now)
		share := l.share(a)
		v := View{Key: key, Limit: a.limit, Share: share, Floor: share * l.cfg.Floor, Rate: l.ownRate(a, now) + l.borrowedRate(a, now),
			IsolatedRate: share, Demand: a.demand, Unsure: l.unsure(now), Fenced: l.fenced}
		if l.fenced {
			v.Rate, v.IsolatedRate = 0, 0
		}
		for _, name := range slices.Sorted(maps.Keys(a.lent)) {
			if amount := a.lent[name].total(now); amount > 0 {
				end := Time(0)
				for _, g := range a.lent[name].grants {
					end = max(end, g.until)
				}
				v.Lent = append(v.Lent, Loan{name, amount, time.Duration(end - now)})
			}
		}
		for _, name := range slices.Sorted(maps.Keys(a.held)) {
			if amount := a.inUse(name, now); amount > 0 {
				v.Borrowed = append(v.Borrowed, Loan{name, amount, time.Duration(a.held[name].until - now)})
			}
		}
		out = append(out, v)
	}
	return out
}
