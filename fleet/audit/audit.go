package audit

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"lichenshelf/fleet/version"
)

// Breach is a thing that a router did against what it had said.
type Breach struct {
	Rule   string
	Router string
	Text   string
	Places []Place
}

// The rules that Check looks at.
const (
	RuleWindow  = "nothing goes to a worker past its window after it was taken out"
	RuleOlder   = "no router acts on a version older than one it acknowledged"
	RuleShut    = "a router that is shut out sends nothing new"
	RuleOrder   = "versions only go up, and records follow each other without a gap"
	RuleDamaged = "a trail is whole"
)

// String implements fmt.Stringer.
func (b Breach) String() string {
	var places []string
	for _, p := range b.Places {
		places = append(places, p.String())
	}
	return fmt.Sprintf("%s: %s: %s (%s)", b.Router, b.Rule, b.Text, strings.Join(places, ", "))
}

// slack is how much later than it was decided an attempt may be noted: the note follows the
// decision by what the router's goroutines wait for each other.
const slack = 50 * time.Millisecond

// checker walks one router's trail.
type checker struct {
	trail    *Trail
	out      map[string]Entry // by worker and incarnation
	acked    map[string]Entry // by part; kept over starts
	held     version.Vector
	number   map[uint64]version.Vector
	taken    map[string]Entry
	shut     *Entry
	last     *Entry
	whole    bool // its life's beginning is there: what came before is not missing
	breaches []Breach
}

func (c *checker) breach(rule string, places []Place, format string, args ...any) {
	c.breaches = append(c.breaches, Breach{rule, c.trail.Router, fmt.Sprintf(format, args...), places})
}

// Check proves or refutes the rules for each trail. No breach means that nothing in the
// records speaks against them; what was never recorded, or is damaged, is named as such.
func Check(trails []Trail) []Breach {
	var out []Breach
	for i := range trails {
		c := &checker{trail: &trails[i], acked: map[string]Entry{}}
		c.begin()
		for _, d := range trails[i].Damages {
			c.breach(RuleDamaged, []Place{d.Place}, "%s", d.What)
		}
		for j := range trails[i].Entries {
			c.step(&trails[i].Entries[j])
		}
		out = append(out, c.breaches...)
	}
	return append(out, CheckLoans(trails)...)
}

// begin forgets what ends with a process.
func (c *checker) begin() {
	c.out, c.held, c.number, c.taken, c.shut = map[string]Entry{}, version.Vector{}, map[uint64]version.Vector{0: {}}, map[string]Entry{}, nil
}

func incarnation(e *Entry) string { return fmt.Sprintf("%s@%d", e.Worker, e.Since) }

func (c *checker) step(e *Entry) {
	if c.last != nil && e.Kind != Started && e.Seq != c.last.Seq+1 {
		c.breach(RuleOrder, []Place{c.last.Place, e.Place}, "record %d follows %d: what lies between is missing", e.Seq, c.last.Seq)
		c.whole = false
	}
	c.last = e
	switch e.Kind {
	case Started:
		c.begin()
		c.whole = true
	case Taken:
		if v := c.held[e.Part]; e.Version < v {
			c.breach(RuleOrder, []Place{c.taken[e.Part].Place, e.Place}, "%s goes from %d to %d", e.Part, v, e.Version)
		}
		c.held[e.Part] = e.Version
		c.taken[e.Part] = *e
		c.number[e.Number] = maps.Clone(c.held)
	case Acknowledged:
		if a, ok := c.acked[e.Part]; !ok || e.Version >= a.Version {
			c.acked[e.Part] = *e
		}
	case Out:
		c.out[incarnation(e)] = *e
	case Back:
		delete(c.out, incarnation(e))
	case ShutOut:
		c.shut = e
	case Readmitted:
		c.shut = nil
	case Sent:
		c.sent(e)
	}
}

// sent looks at attempts that went out. They may have begun before what is noted by now, so
// what counts is when the last of them did.
func (c *checker) sent(e *Entry) {
	if out, ok := c.out[incarnation(e)]; ok && e.Until > out.At+out.Window+slack {
		c.breach(RuleWindow, []Place{out.Place, e.Place}, "%d to %s until %v, which was out from %v on, with %v of grace", e.Count, e.Worker,
			e.Until, out.At, out.Window)
	}
	if c.shut != nil && e.Until > c.shut.At+slack {
		c.breach(RuleShut, []Place{c.shut.Place, e.Place}, "%d to %s until %v, shut out at %v", e.Count, e.Worker, e.Until, c.shut.At)
	}
	acts, ok := c.number[e.Number]
	if !ok && !c.whole {
		return // taken in what is missing, or has been dropped as too old
	}
	if !ok {
		c.breach(RuleOrder, []Place{e.Place}, "%d sends under number %d, which was never taken", e.Count, e.Number)
		return
	}
	for _, part := range slices.Sorted(maps.Keys(c.acked)) {
		if a := c.acked[part]; acts[part] < a.Version && e.At > a.At+slack && a.Life == e.Life {
			c.breach(RuleOlder, []Place{a.Place, e.Place}, "%d to %s under %s %d, %d was acknowledged", e.Count, e.Worker, part, acts[part], a.Version)
		} else if acts[part] < a.Version && a.Life != e.Life {
			c.breach(RuleOlder, []Place{a.Place, e.Place}, "%d to %s under %s %d, %d was acknowledged before its start", e.Count, e.Worker, part,
				acts[part], a.Version)
		}
	}
}

// Step is an entry with its place in the order of all.
type Step struct {
	Entry
	Order uint64
	Who   string
}

// Timeline puts the entries of all trails in an order that contradicts none of them: those of
// one trail stay as they are, and a version comes after the one before it, whoever took that
// first. Entries that nothing orders stand by their routers' names.
func Timeline(trails []Trail) []Step {
	type key struct {
		part    string
		version uint64
	}
	first := map[key]uint64{} // the order of the first taking of each version
	orders := make([][]uint64, len(trails))
	for i, t := range trails {
		orders[i] = make([]uint64, len(t.Entries))
	}
	for changed := true; changed; {
		changed = false
		for i, t := range trails {
			at := uint64(0)
			for j, e := range t.Entries {
				at++
				if e.Kind == Taken && e.Version > 0 && !strings.HasPrefix(e.Part, version.Here) {
					at = max(at, first[key{e.Part, e.Version - 1}]+1)
				}
				if orders[i][j] != at {
					orders[i][j], changed = at, true
				}
			}
		}
		next := map[key]uint64{}
		for i, t := range trails {
			for j, e := range t.Entries {
				k := key{e.Part, e.Version}
				if was, ok := next[k]; e.Kind == Taken && !strings.HasPrefix(e.Part, version.Here) && (!ok || orders[i][j] < was) {
					next[k] = orders[i][j]
				}
			}
		}
		// Orders only grow, and no further than there are entries: a circle would need a trail that went back.
		for k, v := range next {
			if v > first[k] && v <= total(trails) {
				first[k], changed = v, true
			}
		}
	}
	var out []Step
	for i, t := range trails {
		for j, e := range t.Entries {
			out = append(out, Step{e, orders[i][j], t.Router})
		}
	}
	slices.SortStableFunc(out, func(a, b Step) int {
		return cmp.Or(cmp.Compare(a.Order, b.Order), cmp.Compare(a.Who, b.Who), cmp.Compare(a.Seq, b.Seq))
	})
	return out
}

func total(trails []Trail) (n uint64) {
	for _, t := range trails {
		n += uint64(len(t.Entries))
	}
	return n
}

// Holder is what one router did with a version.
type Holder struct {
	Router                       string
	Taken, Acknowledged, Refused *Entry
	Sends                        uint64 // attempts under it
}

// Who tells which routers took, acknowledged or refused a version of a part, and how much they
// sent while it held.
func Who(trails []Trail, part string, v uint64) []Holder {
	var out []Holder
	for i := range trails {
		h := Holder{Router: trails[i].Router}
		under := map[uint64]bool{}
		for j := range trails[i].Entries {
			e := &trails[i].Entries[j]
			switch {
			case e.Kind == Started:
				clear(under)
			case e.Kind == Taken:
				// All numbers from this one on hold the part's version until another is taken.
				if e.Part == part {
					under[e.Number] = e.Version == v
				} else {
					under[e.Number] = under[e.Number-1]
				}
				if e.Part == part && e.Version == v && h.Taken == nil {
					h.Taken = e
				}
			case e.Kind == Acknowledged && e.Part == part && e.Version == v:
				h.Acknowledged = e
			case e.Kind == Refused && e.Part == part && e.Version == v:
				h.Refused = e
			case e.Kind == Sent && under[e.Number]:
				h.Sends += e.Count
			}
		}
		if h.Taken != nil || h.Acknowledged != nil || h.Refused != nil {
			out = append(out, h)
		}
	}
	return out
}

// Latest is the newest version of each part that anybody took, and Lags by how many versions
// each router lies below it at the end of its trail.
func Lags(trails []Trail) (latest version.Vector, lags map[string]version.Vector) {
	latest, lags = version.Vector{}, map[string]version.Vector{}
	held := make([]version.Vector, len(trails))
	for i, t := range trails {
		held[i] = version.Vector{}
		for _, e := range t.Entries {
			if e.Kind == Started {
				clear(held[i])
			}
			if e.Kind == Taken && !strings.HasPrefix(e.Part, version.Here) {
				held[i][e.Part] = e.Version
				latest[e.Part] = max(latest[e.Part], e.Version)
			}
		}
	}
	for i, t := range trails {
		lags[t.Router] = version.Vector{}
		for part, v := range latest {
			lags[t.Router][part] = v - held[i][part]
		}
	}
	return latest, lags
}

// Point is how far a router lay behind at one place in the order of all records.
type Point struct {
	Order  uint64
	Router string
	Behind uint64 // versions, of the part in which it lay furthest behind
	Sends  uint64 // attempts that it noted there
}

// Behind tells, along the timeline, by how many versions each router lay behind the newest
// that anybody had taken by then, at each of its takings and sends. Versions order the
// records, so what a router could not have known of yet may count as well.
func Behind(trails []Trail) []Point {
	newest, held := version.Vector{}, map[string]version.Vector{}
	var out []Point
	for _, s := range Timeline(trails) {
		if held[s.Who] == nil || s.Kind == Started {
			held[s.Who] = version.Vector{}
		}
		if s.Kind == Taken && !strings.HasPrefix(s.Part, version.Here) {
			held[s.Who][s.Part] = s.Version
			newest[s.Part] = max(newest[s.Part], s.Version)
		}
		if s.Kind != Taken && s.Kind != Sent {
			continue
		}
		p := Point{Order: s.Order, Router: s.Who, Sends: s.Count}
		for part, v := range newest {
			// A part that this router never takes is none of its own.
			if own, ok := held[s.Who][part]; ok && v > own {
				p.Behind = max(p.Behind, v-own)
			}
		}
		out = append(out, p)
	}
	return out
}
