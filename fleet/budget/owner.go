package budget

// This file: the end of a loan that lends.

import (
	"math"
	"slices"
)

// lent is what is lent to one router.
type lent struct {
	life, seq uint64 // its latest ask that was answered
	grants    []grant
}

type grant struct {
	life, seq uint64
	amount    float64
	until     Time
}

// out is what is lent to one router: the largest grant to each of its processes, since a process uses one at a time.
func (n *lent) out(now Time) float64 {
	sum := 0.0
	for i, g := range n.grants {
		if !slices.ContainsFunc(n.grants[:i], func(earlier grant) bool { return earlier.life == g.life }) {
			sum += n.outTo(g.life, now)
		}
	}
	return sum
}

// outTo is what is lent to one process: its largest grant.
func (n *lent) outTo(life uint64, now Time) float64 {
	largest := 0.0
	for _, g := range n.grants {
		if g.life == life && now < g.until {
			largest = math.Max(largest, g.amount)
		}
	}
	return largest
}

// out tells whether something is lent.
func (a *account) out(now Time) bool {
	for _, n := range a.lent {
		if n.out(now) > 0 {
			return true
		}
	}
	return false
}

// drop forgets the grants of a life before one that it uses, to which it never goes back, and tells whether there were any.
func (n *lent) drop(life, before uint64) bool {
	count := len(n.grants)
	n.grants = slices.DeleteFunc(n.grants, func(g grant) bool { return g.life == life && g.seq < before })
	return len(n.grants) < count
}

// amount is that of a grant; 0 once its lease is over.
func (n *lent) amount(life, seq uint64) float64 {
	for _, g := range n.grants {
		if g.life == life && g.seq == seq {
			return g.amount
		}
	}
	return 0
}

// back takes a borrower's word that it uses less, which stays true however late it comes.
func (n *lent) back(m Message) {
	if n == nil {
		return
	}
	n.drop(m.Life, m.Seq)
	for i := range n.grants {
		if g := &n.grants[i]; g.life == m.Life && g.seq == m.Seq {
			g.amount = math.Min(g.amount, m.Amount)
		}
	}
}

// lend answers an ask. What the owner needs itself stays, and so does its floor.
func (l *Ledger) lend(a *account, m Message, now Time) []Message {
	n := a.lent[m.From]
	if n == nil {
		n = &lent{}
		a.lent[m.From] = n
	}
	if m.Life < n.life || m.Life == n.life && m.Seq <= n.seq {
		return nil // late or doubled
	}
	n.life, n.seq = m.Life, m.Seq
	if n.drop(m.Life, m.Using) {
		l.tell(Move{Kind: Returned, Key: m.Key, Router: m.From, Life: m.Life, Seq: m.Using, Amount: n.amount(m.Life, m.Using)})
	}
	share := l.share(a)
	others := n.out(now) - n.outTo(m.Life, now) // with processes before the one that asks, which may only be stopped
	for name, other := range a.lent {
		if name != m.From {
			others += other.out(now)
		}
	}
	keep := math.Min(math.Max(l.cfg.Floor*share, headroom*a.demand), share)
	amount := math.Max(0, math.Min(m.Amount, share-keep-others))
	if len(n.grants) >= mostGrants {
		return nil // its answers are lost; what is out already is enough
	}
	if l.unsure(now) {
		amount = 0
	}
	if amount > 0 {
		l.tell(Move{Kind: Lent, Key: m.Key, Router: m.From, Life: m.Life, Seq: m.Seq, Using: m.Using, Amount: amount, Share: share, Left: l.cfg.Lease})
		n.grants = append(n.grants, grant{m.Life, m.Seq, amount, now + Time(l.cfg.Lease)})
		a.level = math.Min(a.level, l.most(a, now))
	}
	return []Message{{Kind: Grant, From: l.cfg.Self, To: m.From, Epoch: m.Epoch, Life: m.Life, Key: m.Key, Seq: m.Seq,
		Amount: amount}}
}
