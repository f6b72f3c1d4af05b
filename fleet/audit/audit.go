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

// Breach is a violation of a rule by a router.
type Breach struct {
	Rule   string
	Router string
	Text   string
	Places []Place
}

// The rules that Check verifies.
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

// slack is the delay allowed between the decision on an attempt and its record: the record follows
// the decision by the time that the router's goroutines wait for each other.
const slack = 50 * time.Millisecond

// checker verifies one router's event log.
type checker struct {
	trail   *Trail
	out     map[string]Entry // by worker and incarnation
	acked   map[string]Entry // by part; kept across restarts
	held    version.Vector
	vectors map[uint64]version.Vector
	taken   map[string]Entry
	shut    *Entry
	last    *Entry
	// The log includes the start of this incarnation, so no earlier records are missing.
	complete bool
	breaches []Breach
}

func (c *checker) breach(rule string, places []Place, format string, args ...any) {
	c.breaches = append(c.breaches, Breach{rule, c.trail.Router, fmt.Sprintf(format, args...), places})
}

// Check verifies the rules for each event log. An empty result means that no record contradicts the
// rules; missing and damaged records are reported as such.
func Check(trails []Trail) []Breach {
	var out []Breach
	for i := range trails {
		c := &checker{trail: &trails[i], acked: map[string]Entry{}}
		c.reset()
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

// reset clears the state that ends with a process.
func (c *checker) reset() {
	c.out, c.held, c.vectors, c.taken, c.shut = map[string]Entry{}, version.Vector{}, map[uint64]version.Vector{0: {}}, map[string]Entry{}, nil
}

func incarnation(e *Entry) string { return fmt.Sprintf("%s@%d", e.Worker, e.Since) }

func (c *checker) step(e *Entry) {
	if c.last != nil && e.Kind != Started && e.Seq != c.last.Seq+1 {
		c.breach(RuleOrder, []Place{c.last.Place, e.Place}, "record %d follows %d: what lies between is missing", e.Seq, c.last.Seq)
		c.complete = false
	}
	c.last = e
	switch e.Kind {
	case Started:
		c.reset()
		c.complete = true
	case Taken:
		if v := c.held[e.Part]; e.Version < v {
			c.breach(RuleOrder, []Place{c.taken[e.Part].Place, e.Place}, "%s goes from %d to %d", e.Part, v, e.Version)
		}
		c.held[e.Part] = e.Version
		c.taken[e.Part] = *e
		c.vectors[e.Number] = maps.Clone(c.held)
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
		c.checkSent(e)
	}
}

// checkSent checks attempts that were sent. They may have begun before the latest recorded events,
// so the time of the last of them counts.
func (c *checker) checkSent(e *Entry) {
	if out, ok := c.out[incarnation(e)]; ok && e.Until > out.At+out.Window+slack {
		c.breach(RuleWindow, []Place{out.Place, e.Place}, "%d to %s until %v, which was out from %v on, with %v of grace", e.Count, e.Worker,
			e.Until, out.At, out.Window)
	}
	if c.shut != nil && e.Until > c.shut.At+slack {
		c.breach(RuleShut, []Place{c.shut.Place, e.Place}, "%d to %s until %v, shut out at %v", e.Count, e.Worker, e.Until, c.shut.At)
	}
	vector, ok := c.vectors[e.Number]
	if !ok && !c.complete {
		return // taken in missing records, or dropped as too old
	}
	if !ok {
		c.breach(RuleOrder, []Place{e.Place}, "%d sends under number %d, which was never taken", e.Count, e.Number)
		return
	}
	for _, part := range slices.Sorted(maps.Keys(c.acked)) {
		if a := c.acked[part]; vector[part] < a.Version && e.At > a.At+slack && a.Incarnation == e.Incarnation {
			c.breach(RuleOlder, []Place{a.Place, e.Place}, "%d to %s under %s %d, %d was acknowledged", e.Count, e.Worker, part, vector[part], a.Version)
		} else if vector[part] < a.Version && a.Incarnation != e.Incarnation {
			c.breach(RuleOlder, []Place{a.Place, e.Place}, "%d to %s under %s %d, %d was acknowledged before its start", e.Count, e.Worker, part,
				vector[part], a.Version)
		}
	}
}

// Step is an entry with its position in the order of all entries.
type Step struct {
	Entry
	Order       uint64
	TrailRouter string
}

// Timeline puts the entries of all event logs into an order that contradicts none of them: the
// entries of one log keep their order, and a version comes after the previous one, whichever router
// took that first. Entries without an order between them are sorted by router name.
func Timeline(trails []Trail) []Step {
	type key struct {
		part    string
		version uint64
	}
	first := map[key]uint64{} // position of the first entry that takes each version
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
				if e.Kind == Taken && e.Version > 0 && !strings.HasPrefix(e.Part, version.LocalPrefix) {
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
				if was, ok := next[k]; e.Kind == Taken && !strings.HasPrefix(e.Part, version.LocalPrefix) && (!ok || orders[i][j] < was) {
					next[k] = orders[i][j]
				}
			}
		}
		// Positions only grow, up to the number of entries: a cycle would require a log whose
		// versions decrease.
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
		return cmp.Or(cmp.Compare(a.Order, b.Order), cmp.Compare(a.TrailRouter, b.TrailRouter), cmp.Compare(a.Seq, b.Seq))
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
	Sends                        uint64 // attempts sent under this version
}

// Holders returns the routers that took, acknowledged or refused a version of a part, and the
// number of attempts they sent while it was in effect.
func Holders(trails []Trail, part string, v uint64) []Holder {
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
				// All numbers from this one on include the part's version until another is taken.
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

// Lags returns the newest version of each part that any router took, and the number of versions by
// which each router lags at the end of its event log.
func Lags(trails []Trail) (latest version.Vector, lags map[string]version.Vector) {
	latest, lags = version.Vector{}, map[string]version.Vector{}
	held := make([]version.Vector, len(trails))
	for i, t := range trails {
		held[i] = version.Vector{}
		for _, e := range t.Entries {
			if e.Kind == Started {
				clear(held[i])
			}
			if e.Kind == Taken && !strings.HasPrefix(e.Part, version.LocalPrefix) {
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

// Point is a router's lag at one position in the order of all records.
type Point struct {
	Order  uint64
	Router string
	Lag    uint64 // versions, for the part with the largest lag
	Sends  uint64 // attempts recorded there
}

// LagPoints returns, along the timeline, each router's lag behind the newest version that any
// router had taken by then, at each of its Taken and Sent records. Records are ordered by versions,
// so a version that a router could not have known of yet may count as well.
func LagPoints(trails []Trail) []Point {
	newest, held := version.Vector{}, map[string]version.Vector{}
	var out []Point
	for _, s := range Timeline(trails) {
		if held[s.TrailRouter] == nil || s.Kind == Started {
			held[s.TrailRouter] = version.Vector{}
		}
		if s.Kind == Taken && !strings.HasPrefix(s.Part, version.LocalPrefix) {
			held[s.TrailRouter][s.Part] = s.Version
			newest[s.Part] = max(newest[s.Part], s.Version)
		}
		if s.Kind != Taken && s.Kind != Sent {
			continue
		}
		p := Point{Order: s.Order, Router: s.TrailRouter, Sends: s.Count}
		for part, v := range newest {
			// Parts that this router never takes do not concern it.
			if own, ok := held[s.TrailRouter][part]; ok && v > own {
				p.Lag = max(p.Lag, v-own)
			}
		}
		out = append(out, p)
	}
	return out
}
