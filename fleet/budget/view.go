package budget

// This file: what a ledger shows to people.

import (
	"maps"
	"slices"
	"time"
)

// Loan is what one router holds of another's share.
type Loan struct {
	Router string
	Amount float64       // a second
	Left   time.Duration // until the lease ends
}

// View is a budget as this router knows it. Rates are a second.
type View struct {
	Key                 string
	Limit, Share, Floor float64
	Rate                float64 // what may be spent now
	IfCut               float64 // what may be spent once all leases have passed with no word from anybody
	Demand              float64
	Lent, Borrowed      []Loan
	Unsure              bool // just started: an earlier process may still have lent
	Fenced              bool
}

// Views tells of all budgets, by key.
func (l *Ledger) Views(now Time) []View {
	var out []View
	for _, key := range slices.Sorted(maps.Keys(l.budgets)) {
		a := l.budgets[key]
		if a.off {
			continue
		}
		l.settle(a, now)
		share := l.share(a)
		v := View{Key: key, Limit: a.limit, Share: share, Floor: share * l.cfg.Floor, Rate: l.own(a, now) + l.borrowed(a, now),
			IfCut: share, Demand: a.demand, Unsure: l.unsure(now), Fenced: l.fenced}
		if l.fenced {
			v.Rate, v.IfCut = 0, 0
		}
		for _, name := range slices.Sorted(maps.Keys(a.lent)) {
			if amount := a.lent[name].out(now); amount > 0 {
				end := Time(0)
				for _, g := range a.lent[name].grants {
					end = max(end, g.until)
				}
				v.Lent = append(v.Lent, Loan{name, amount, time.Duration(end - now)})
			}
		}
		for _, name := range slices.Sorted(maps.Keys(a.held)) {
			if amount := a.use(name, now); amount > 0 {
				v.Borrowed = append(v.Borrowed, Loan{name, amount, time.Duration(a.held[name].until - now)})
			}
		}
		out = append(out, v)
	}
	return out
}
