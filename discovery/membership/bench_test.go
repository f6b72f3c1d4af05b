package membership

import (
	"fmt"
	"testing"
	"time"
)

const (
	benchWorkers = 10_000
	benchShare   = 100 // one in benchShare workers changes
)

var benchSources = []string{"list", "dns", "store", "zk"}

// benchReports returns the first lists of four sources. Each one lists three quarters of the
// workers, and the source "dns" lists them by address only.
func benchReports() (out []Report) {
	for k, s := range benchSources {
		r := Report{Source: s, Whole: true}
		for i := range benchWorkers {
			if i%4 != k {
				r.Entries = append(r.Entries, benchEntry(k, i))
			}
		}
		out = append(out, r)
	}
	return out
}

func benchEntry(source, i int) Entry {
	e := Entry{Addr: fmt.Sprintf("10.0.%d.%d:3000", i/250, i%250), Weight: 1, Cell: i % 40}
	if source != 1 {
		e.Name = fmt.Sprintf("w-%05d", i)
	}
	return e
}

// benchChanges returns one source's report of changes to a hundredth of all workers: half of them
// begin to drain and half end draining, or the other way round.
func benchChanges(round int) Report {
	source := round % len(benchSources)
	r := Report{Source: benchSources[source]}
	for n := range benchWorkers / benchShare {
		i := n * benchShare
		if i%4 == source {
			i++
		}
		e := benchEntry(source, i)
		if (n+round/len(benchSources))%2 == 0 {
			e.Status = Draining
		}
		r.Entries = append(r.Entries, e)
	}
	return r
}

// BenchmarkChanges applies changes of 1% to 10,000 workers from four sources. The ratio of its two
// parts is the gain of the incremental set over a full rebuild.
func BenchmarkChanges(b *testing.B) {
	var rounds []Report
	for i := range 8 {
		rounds = append(rounds, benchChanges(i))
	}
	b.Run("set", func(b *testing.B) {
		var policies []Policy
		for _, s := range benchSources {
			policies = append(policies, Policy{Name: s, LossShare: 0.5, LossTimes: 2, LossOver: time.Second})
		}
		r := newRig(b, policies...)
		for _, rep := range benchReports() {
			r.report(rep)
		}
		b.ReportAllocs()
		n := 0
		for i := 0; b.Loop(); i++ {
			changes, _, err := r.set.Report(r.now, rounds[i%len(rounds)])
			if err != nil {
				b.Fatal(err)
			}
			n += len(changes)
		}
		if n == 0 {
			b.Fatal("nothing changed")
		}
	})
	b.Run("rebuild", func(b *testing.B) {
		p := newRebuild(benchSources...)
		for _, rep := range benchReports() {
			p.report(t0, rep)
		}
		was := map[string]Member{}
		b.ReportAllocs()
		n := 0
		for i := 0; b.Loop(); i++ {
			p.report(t0, rounds[i%len(rounds)])
			now := map[string]Member{}
			for _, m := range p.members() {
				if was[m.Name] != m {
					n++
				}
				now[m.Name] = m
			}
			was = now
		}
		if n == 0 {
			b.Fatal("nothing changed")
		}
	})
}

// BenchmarkWhole applies whole reports in which 1% changes, as DNS gives them.
func BenchmarkWhole(b *testing.B) {
	r := newRig(b, Policy{Name: "dns"})
	one, two := Report{Source: "dns", Whole: true}, Report{Source: "dns", Whole: true}
	for i := range benchWorkers {
		e := benchEntry(1, i)
		one.Entries = append(one.Entries, e)
		if i%benchShare == 0 {
			e.Cell++
		}
		two.Entries = append(two.Entries, e)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if _, _, err := r.set.Report(r.now, []Report{one, two}[i%2]); err != nil {
			b.Fatal(err)
		}
	}
}
