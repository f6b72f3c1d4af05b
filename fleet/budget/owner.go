package budget

import (
	"math"
	"slices"
)

// lending is the state of what this router lends to one borrower.
type lending struct {
	incarnation, seq uint64 // its latest ask that was answered
	grants           []grant
}

type grant struct {
	incarnation, seq uint64
	amount           float64
	until            Time
}

// total is the amount lent to one router: the largest grant to each of its processes, since a
// process uses one grant at a time.
func (n *lending) total(now Time) float64 {
	sum := 0.0
	for i, g := range n.grants {
		if !slices.ContainsFunc(n.grants[:i], func(earlier grant) bool { return earlier.incarnation == g.incarnation }) {
			sum += n.totalTo(g.incarnation, now)
		}
	}
	return sum
}

// totalTo is the amount lent to one process: its largest grant.
func (n *lending) totalTo(incarnation uint64, now Time) float64 {
	largest := 0.0
	for _, g := range n.grants {
		if g.incarnation == incarnation && now < g.until {
			largest = math.Max(largest, g.amount)
		}
	}
	return largest
}

// hasLent reports whether any part of the share is lent.
func (a *account) hasLent(now Time) bool {
	for _, n := range a.lent {
		if n.total(now) > 0 {
			return true
		}
	}
	return false
}

// dropGrants removes the grants to an incarnation that are older than the one it uses, since it
// never uses them again, and reports whether there were any.
func (n *lending) dropGrants(incarnation, before uint64) bool {
	count := len(n.grants)
	n.grants = slices.DeleteFunc(n.grants, func(g grant) bool { return g.incarnation == incarnation && g.seq < before })
	return len(n.grants) < count
}

// amount returns the amount of a grant; 0 once its lease has expired.
func (n *lending) amount(incarnation, seq uint64) float64 {
	for _, g := range n.grants {
		if g.incarnation == incarnation && g.seq == seq {
			return g.amount
		}
	}
	return 0
}

// reduce applies a borrower's message that it uses less. The message remains valid however late it
// arrives.
func (n *lending) reduce(m Message) {
	if n == nil {
		return
	}
	n.dropGrants(m.Incarnation, m.Seq)
	for i := range n.grants {
		if g := &n.grants[i]; g.incarnation == m.Incarnation && g.seq == m.Seq {
			g.amount = math.Min(g.amount, m.Amount)
		}
	}
}

// lend answers an ask. The owner keeps its floor and what it needs for its own demand.
func (l *Ledger) lend(a *account, m Message, now Time) []Message {
	n := a.lent[m.From]
	if n == nil {
		n = &lending{}
		a.lent[m.From] = n
	}
	if m.Incarnation < n.incarnation || m.Incarnation == n.incarnation && m.Seq <= n.seq {
		return nil // late or duplicate
	}
	n.incarnation, n.seq = m.Incarnation, m.Seq
	if n.dropGrants(m.Incarnation, m.Using) {
		l.record(Move{Kind: Returned, Key: m.Key, Router: m.From, Incarnation: m.Incarnation, Seq: m.Using, Amount: n.amount(m.Incarnation, m.Using)})
	}
	share := l.share(a)
	// Includes loans to earlier processes of the borrower: they may only be suspended, and resume.
	others := n.total(now) - n.totalTo(m.Incarnation, now)
	for name, other := range a.lent {
		if name != m.From {
			others += other.total(now)
		}
	}
	keep := math.Min(math.Max(l.cfg.Floor*share, headroom*a.demand), share)
	amount := math.Max(0, math.Min(m.Amount, share-keep-others))
	if len(n.grants) >= maxGrants {
		return nil // the grants get lost on the way; what is already lent suffices
	}
	if l.unsure(now) {
		amount = 0
	}
	if amount > 0 {
		l.record(Move{Kind: Lent, Key: m.Key, Router: m.From, Incarnation: m.Incarnation, Seq: m.Seq, Using: m.Using, Amount: amount, Share: share, Left: l.cfg.Lease})
		n.grants = append(n.grants, grant{m.Incarnation, m.Seq, amount, now + Time(l.cfg.Lease)})
		a.level = math.Min(a.level, l.maxLevel(a, now))
	}
	return []Message{{Kind: Grant, From: l.cfg.Self, To: m.From, Epoch: m.Epoch, Incarnation: m.Incarnation, Key: m.Key, Seq: m.Seq,
		Amount: amount}}
}
