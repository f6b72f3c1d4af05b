package audit

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// RuleLease is what CheckLoans looks at.
const RuleLease = "no two routers hold one lease, and none holds what was not lent"

// roundOff is the part by which sums of amounts may differ from what they are of.
const roundOff = 1e-6

// grant names a loan: nobody else's has the same names.
type grant struct {
	owner, borrower, key string
	epoch, number        uint64
}

func (g grant) String() string {
	return fmt.Sprintf("grant %d of %s, from %s to %s", g.number, g.key, g.owner, g.borrower)
}

// CheckLoans proves or refutes what routers lent each other, by the trails of both ends: each loan that is held was lent,
// to its holder, for no less and no shorter; it has one holder; and no owner lent more than its share at a time. A loan
// whose owner's trail is not there, is damaged, or may have lost its last half second, is passed over.
func CheckLoans(trails []Trail) []Breach {
	c := loans{lent: map[grant]*Entry{}, spans: map[grant][]span{}, known: map[string]bool{}, held: map[grant]*Entry{}}
	for i := range trails {
		c.lends(&trails[i])
	}
	for i := range trails {
		c.holds(&trails[i])
	}
	return c.breaches
}

type loans struct {
	lent     map[grant]*Entry
	spans    map[grant][]span // by all of a grant's names but the number: one for each of its owner's lives
	known    map[string]bool  // owners whose trail is whole
	held     map[grant]*Entry
	breaches []Breach
}

// span is from the first number to the last that an owner lent under in one life. It answers asks in their order, so a
// grant between the two was lent in that life, or never.
type span struct{ from, to uint64 }

// lends walks an owner's trail.
func (c *loans) lends(t *Trail) {
	type loan struct {
		*Entry
		amount float64
	}
	out, life := map[grant]*loan{}, map[grant]*span{}
	keep := func() {
		for g, s := range life {
			c.spans[g] = append(c.spans[g], *s)
		}
		clear(life)
	}
	defer keep()
	whole, seq := len(t.Damages) == 0, uint64(0)
	for i := range t.Entries {
		e := &t.Entries[i]
		whole = whole && (e.Kind == Started || seq == 0 && i == 0 || e.Seq == seq+1)
		seq = e.Seq
		g := grant{t.Router, e.Peer, e.Part, e.Epoch, e.Number}
		switch e.Kind {
		case Started:
			clear(out)
			keep()
		case Returned:
			for k, l := range out {
				if k.of() == g.of() && k.number < g.number {
					delete(out, k)
				} else if k == g {
					l.amount = math.Min(l.amount, e.Amount)
				}
			}
		case Lent:
			c.lent[g] = e
			if life[g.of()] == nil {
				life[g.of()] = &span{g.number, g.number}
			}
			life[g.of()].to = max(life[g.of()].to, g.number)
			for k, l := range out {
				if e.At >= l.At+l.Window || k.of() == g.of() && k.number < e.Version {
					delete(out, k)
				}
			}
			out[g] = &loan{e, e.Amount}
			// A borrower uses one grant of a life at a time: its largest counts.
			most := map[grant]float64{}
			for k, l := range out {
				if k.key == g.key {
					most[k.of()] = math.Max(most[k.of()], l.amount)
				}
			}
			sum := 0.0
			for _, m := range most {
				sum += m
			}
			if sum > e.Share*(1+roundOff) {
				c.breaches = append(c.breaches, Breach{RuleLease, t.Router, fmt.Sprintf("%s makes %g a second lent of a share of %g", g, sum, e.Share),
					[]Place{e.Place}})
			}
		}
	}
	c.known[t.Router] = whole
}

// of is the grant without its number.
func (g grant) of() grant { g.number = 0; return g }

// holds walks a borrower's trail.
func (c *loans) holds(t *Trail) {
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
		case lent == nil && c.known[g.owner] && slices.ContainsFunc(c.spans[g.of()], func(s span) bool { return s.from < g.number && g.number < s.to }):
			breach(nil, "was never lent")
		case lent == nil: // what its owner noted of it may be lost
		case e.Amount > lent.Amount*(1+roundOff):
			breach(lent, "is held for %g a second, lent for %g", e.Amount, lent.Amount)
		case e.Window > lent.Window:
			breach(lent, "is held for %v more, lent for %v in all", e.Window.Round(time.Millisecond), lent.Window.Round(time.Millisecond))
		}
	}
}
