package audit

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// RuleLease is the rule that CheckLoans verifies.
const RuleLease = "no two routers hold one lease, and none holds what was not lent"

// roundingTolerance is the relative error permitted in sums of amounts.
const roundingTolerance = 1e-6

// grant identifies a loan.
type grant struct {
	owner, borrower, key string
	epoch, number        uint64
}

func (g grant) String() string {
	return fmt.Sprintf("grant %d of %s, from %s to %s", g.number, g.key, g.owner, g.borrower)
}

// CheckLoans verifies the loans between routers by the event logs of both ends: each loan in use
// was lent to the router that uses it, for at least the amount and the time that it is used; no
// other router uses it; and no owner lent more than its share at any time. A loan is skipped if its
// owner's log is missing or damaged, or may have lost its last half second.
func CheckLoans(trails []Trail) []Breach {
	c := loanChecker{lent: map[grant]*Entry{}, spans: map[grant][]span{}, completeLogs: map[string]bool{}, held: map[grant]*Entry{}}
	for i := range trails {
		c.readOwner(&trails[i])
	}
	for i := range trails {
		c.readBorrower(&trails[i])
	}
	return c.breaches
}

type loanChecker struct {
	lent map[grant]*Entry
	// By grant without its number: one for each of its owner's incarnations.
	spans        map[grant][]span
	completeLogs map[string]bool // owners whose event log is complete
	held         map[grant]*Entry
	breaches     []Breach
}

// span is the range of numbers that an owner lent under in one incarnation. The owner answers asks
// in order, so a grant within the range was lent in that incarnation, or never.
type span struct{ from, to uint64 }

// readOwner processes an owner's event log.
func (c *loanChecker) readOwner(t *Trail) {
	type loan struct {
		*Entry
		amount float64
	}
	out, openSpans := map[grant]*loan{}, map[grant]*span{}
	closeSpans := func() {
		for g, s := range openSpans {
			c.spans[g] = append(c.spans[g], *s)
		}
		clear(openSpans)
	}
	defer closeSpans()
	complete, seq := len(t.Damages) == 0, uint64(0)
	for i := range t.Entries {
		e := &t.Entries[i]
		complete = complete && (e.Kind == Started || seq == 0 && i == 0 || e.Seq == seq+1)
		seq = e.Seq
		g := grant{t.Router, e.Peer, e.Part, e.Epoch, e.Number}
		switch e.Kind {
		case Started:
			clear(out)
			closeSpans()
		case Returned:
			for k, l := range out {
				if k.withoutNumber() == g.withoutNumber() && k.number < g.number {
					delete(out, k)
				} else if k == g {
					l.amount = math.Min(l.amount, e.Amount)
				}
			}
		case Lent:
			c.lent[g] = e
			if openSpans[g.withoutNumber()] == nil {
				openSpans[g.withoutNumber()] = &span{g.number, g.number}
			}
			openSpans[g.withoutNumber()].to = max(openSpans[g.withoutNumber()].to, g.number)
			for k, l := range out {
				if e.At >= l.At+l.Window || k.withoutNumber() == g.withoutNumber() && k.number < e.Version {
					delete(out, k)
				}
			}
			out[g] = &loan{e, e.Amount}
			// A borrower uses one grant of an incarnation at a time, so the largest counts.
			largest := map[grant]float64{}
			for k, l := range out {
				if k.key == g.key {
					largest[k.withoutNumber()] = math.Max(largest[k.withoutNumber()], l.amount)
				}
			}
			sum := 0.0
			for _, m := range largest {
				sum += m
			}
			if sum > e.Share*(1+roundingTolerance) {
				c.breaches = append(c.breaches, Breach{RuleLease, t.Router, fmt.Sprintf("%s makes %g a second lent of a share of %g", g, sum, e.Share),
					[]Place{e.Place}})
			}
		}
	}
	c.completeLogs[t.Router] = complete
}

// withoutNumber returns the grant without its number.
func (g grant) withoutNumber() grant { g.number = 0; return g }

// readBorrower processes a borrower's event log.
func (c *loanChecker) readBorrower(t *Trail) {
	for i := range t.Entries {
		e := &t.Entries[i]
		if e.Kind != Borrowed {
			continue
		}
		g := grant{e.Peer, t.Router, e.Part, e.Epoch, e.Number}
		breach := func(other *Entry, format string, args ...any) {
			b := Breach{RuleLease, t.Router, g.String() + " " + fmt.Sprintf(format, args...), []Place{e.Place}}
			if other != nil {
				b.Places = append(b.Places, other.Place)
			}
			c.breaches = append(c.breaches, b)
		}
		if other := c.held[g]; other != nil {
			breach(other, "has a second holder")
		}
		c.held[g] = e
		lent := c.lent[g]
		switch {
		case lent == nil && c.completeLogs[g.owner] && slices.ContainsFunc(c.spans[g.withoutNumber()], func(s span) bool { return s.from < g.number && g.number < s.to }):
			breach(nil, "was never lent")
		case lent == nil: // the owner's record of it may be lost
		case e.Amount > lent.Amount*(1+roundingTolerance):
			breach(lent, "is held for %g a second, lent for %g", e.Amount, lent.Amount)
		case e.Window > lent.Window:
			breach(lent, "is held for %v more, lent for %v in all", e.Window.Round(time.Millisecond), lent.Window.Round(time.Millisecond))
		}
	}
}
