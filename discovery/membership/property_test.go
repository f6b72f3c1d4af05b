package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// steps are rounds of reports; the reports of one round are sent at the same time.
type steps [][]Report

func drawSteps(t *rapid.T, sources []string) steps {
	entry := rapid.Custom(func(t *rapid.T) Entry {
		e := Entry{Addr: fmt.Sprintf("h:%d", rapid.IntRange(1, 6).Draw(t, "addr")), Weight: 1,
			Cell:     rapid.IntRange(0, 1).Draw(t, "cell"),
			Priority: rapid.IntRange(0, 2).Draw(t, "priority"),
			Since:    rapid.SampledFrom([]int64{0, 0, 5, t0.Add(3 * time.Second).UnixNano()}).Draw(t, "since"),
			Status:   rapid.SampledFrom([]Status{Serving, Serving, Serving, Draining, Gone}).Draw(t, "status")}
		if rapid.Bool().Draw(t, "named") {
			e.Name = rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "name")
		}
		return e
	})
	report := rapid.Custom(func(t *rapid.T) Report {
		r := Report{Source: rapid.SampledFrom(sources).Draw(t, "source"), Whole: rapid.Bool().Draw(t, "whole")}
		r.Entries = rapid.SliceOfNDistinct(entry, 0, 5, func(e Entry) string { return e.key() }).Draw(t, "entries")
		if !r.Whole {
			for i := range r.Entries {
				if rapid.IntRange(0, 3).Draw(t, "absent") == 0 {
					r.Entries[i].Status = Absent
				}
			}
		}
		return r
	})
	return rapid.SliceOfN(rapid.SliceOfN(report, 0, 4), 1, 8).Draw(t, "steps")
}

func drawSources(t *rapid.T) []string {
	return []string{"s1", "s2", "s3", "s4", "s5"}[:rapid.IntRange(1, 5).Draw(t, "sources")]
}

// shuffle returns one round's reports in another order that keeps each source's own order.
func shuffle(t *rapid.T, round []Report) []Report {
	queues := map[string][]Report{}
	var turns []string
	for _, r := range round {
		queues[r.Source] = append(queues[r.Source], r)
		turns = append(turns, r.Source)
	}
	var out []Report
	for _, s := range rapid.Permutation(turns).Draw(t, "order") {
		out = append(out, queues[s][0])
		queues[s] = queues[s][1:]
	}
	return out
}

// The set must equal a rebuild from all reports, and the changes must lead to it.
func TestChangesEqualTheRebuild(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sources := drawSources(rt)
		var policies []Policy
		for _, s := range sources {
			policies = append(policies, Policy{Name: s})
		}
		r, p := newRig(t, policies...), newRebuild(sources...)
		for _, round := range drawSteps(rt, sources) {
			for _, rep := range round {
				r.report(rep)
				p.report(r.now, rep)
				want := p.members()
				got := r.set.Members()
				if len(want) == 0 && len(got) == 0 {
					continue
				}
				if fmt.Sprint(want) != fmt.Sprint(got) {
					rt.Fatalf("after %+v\nwant %+v\ngot  %+v", rep, want, got)
				}
			}
			r.advance(time.Second)
		}
		for _, m := range r.set.Members() {
			require.Equal(t, m, r.router[m.Name])
		}
		require.Len(t, r.router, len(r.set.Members()))
	})
}

func boundedPolicies(rt *rapid.T, sources []string) (out []Policy) {
	for _, s := range sources {
		p := Policy{Name: s, GoneFor: 0}
		if rapid.Bool().Draw(rt, "bounded") {
			p.EmptyTimes, p.EmptyOver = rapid.IntRange(0, 3).Draw(rt, "times"), time.Duration(rapid.IntRange(0, 2).Draw(rt, "over"))*time.Second
			p.LossShare, p.LossTimes, p.LossOver = rapid.SampledFrom([]float64{0, 0.3, 0.6}).Draw(rt, "share"), 2, time.Second
		}
		if rapid.Bool().Draw(rt, "ages") {
			p.Silent, p.Keep = 2*time.Second, 2*time.Second
		}
		if rapid.Bool().Draw(rt, "damped") {
			p.Damping = Damping{HalfLife: 3 * time.Second, Suppress: 2, Reuse: 1, Share: 0.5}
		}
		out = append(out, p)
	}
	return out
}

// Reports that sources send at the same time must give one outcome, in whatever order they arrive.
func TestTheOrderOfSourcesDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sources := drawSources(rt)
		policies := boundedPolicies(rt, sources)
		a, b := newRig(t, policies...), newRig(t, policies...)
		for _, round := range drawSteps(rt, sources) {
			for _, rep := range round {
				a.report(rep)
			}
			for _, rep := range shuffle(rt, round) {
				b.report(rep)
			}
			if fmt.Sprint(a.set.Members()) != fmt.Sprint(b.set.Members()) {
				rt.Fatalf("one order gives %+v\nanother     %+v", a.set.Members(), b.set.Members())
			}
			// Nor does it matter how often Advance is called.
			a.advance(1500 * time.Millisecond)
			b.now = b.now.Add(1500 * time.Millisecond)
			b.apply(b.set.Advance(b.now))
			require.Equal(t, a.set.Members(), b.set.Members())
		}
	})
}

// No bound on losses, no expiry and no other source ever overrides an explicit status.
func TestExplicitStatusIsNeverOverridden(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sources := drawSources(rt)
		r := newRig(t, boundedPolicies(rt, sources)...)
		explicit := map[[2]string]Status{}
		check := func() {
			for at, status := range explicit {
				m, in := r.router[at[1][1:]]
				if in && (status == Gone || !m.Draining) && (at[1][0] == '=' || m.Addr == at[1][1:]) {
					rt.Fatalf("%s reported %s as %v, but it is served as %+v", at[0], at[1], status, m)
				}
			}
		}
		for _, round := range drawSteps(rt, sources) {
			for _, rep := range round {
				for _, e := range rep.Entries {
					switch at := [2]string{rep.Source, e.key()}; e.Status {
					case Serving:
						delete(explicit, at)
					case Draining, Gone:
						explicit[at] = e.Status
					}
				}
				r.report(rep)
				check()
			}
			r.advance(1500 * time.Millisecond)
			check()
		}
	})
}
