// Package exposition shows the router's counters and gauges in the Prometheus text format, for who scrapes the console.
//
// Nothing is kept for it: a scrape reads the counters as they are. Labels take values that the program itself names (reasons,
// statuses, rules), never ones of clients or workers, so their number is bounded.
package exposition

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/common/expfmt"

	"lichenshelf/metrics"
)

const (
	// ContentType is that of what Write writes.
	ContentType = "text/plain; version=0.0.4; charset=utf-8"

	namespace = "lichenshelf_"
)

// family is a group of counters of one prefix: what is left of a name is the value of a label.
type family struct {
	prefix, name, label, help string
	values                    []string // that the label may have; nil: any
}

// families hold what the router counts by reason, the longer prefixes first.
var families = []family{
	{prefix: "attempts_repeated_after_", name: "attempts_repeated", label: "after", help: "Attempts that followed another one of their request, by how that had ended."},
	{prefix: "attempts_", name: "attempts", label: "outcome", help: "Attempts at workers, by how they ended.",
		values: []string{"served", "error", "turned_away", "timed_out", "connect_failed", "reset", "cancelled", "not_sent", "prompt_read", "rejected"}},
	{prefix: "answers_", name: "answers", label: "end", help: "Requests that got their answer, by what it was."},
	{prefix: "refused_", name: "refused", label: "reason", help: "Requests refused with the promise that a repeat does no harm, by reason."},
	{prefix: "failed_", name: "failed", label: "reason", help: "Requests that failed, by reason."},
	{prefix: "calls_answered_", name: "calls_answered", label: "status", help: "Calls answered with another status than 200."},
	{prefix: "rule_violations_", name: "rule_violations", label: "rule", help: "Acts that would have broken a rule, or had. Zero when well."},
}

// sums are counters whose parts are counted as well.
var sums = map[string]bool{"rule_violations": true}

// place finds the family of a counter and the label's value; nil: it has none.
func place(counter string) (*family, string) {
	for i := range families {
		f := &families[i]
		value, ok := strings.CutPrefix(counter, f.prefix)
		if !ok {
			continue
		}
		if f.values == nil || slices.Contains(f.values, value) {
			return f, value
		}
	}
	return nil, ""
}

// Gauge is a figure that is read when it is asked for.
type Gauge struct {
	Name, Help string // the name without the namespace, with its unit
	Value      func() float64
}

// Exposition is what there is to scrape. It is safe for use from any goroutine.
type Exposition struct {
	// registry is made at the first scrape: what it takes is spared where nobody scrapes.
	registry func() *prometheus.Registry
}

// New returns an exposition of the counters, the gauges, the process and the Go runtime.
func New(counters *metrics.Set, gauges ...Gauge) *Exposition {
	return &Exposition{sync.OnceValue(func() *prometheus.Registry {
		r := prometheus.NewRegistry()
		r.MustRegister(counted{counters}, collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
		for _, g := range gauges {
			r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: namespace + g.Name, Help: g.Help}, g.Value))
		}
		return r
	})}
}

// Write writes all of it as text.
func (e *Exposition) Write(w io.Writer) error {
	all, err := e.registry().Gather()
	if err != nil {
		return fmt.Errorf("gather metrics: %w", err)
	}
	for _, f := range all {
		if _, err := expfmt.MetricFamilyToText(w, f); err != nil {
			return fmt.Errorf("write metrics: %w", err)
		}
	}
	return nil
}

// counted collects the counters under their names of the moment.
type counted struct{ set *metrics.Set }

// Describe implements prometheus.Collector. It describes nothing: counters appear as they are first counted.
func (counted) Describe(chan<- *prometheus.Desc) {}

// Collect implements prometheus.Collector.
func (c counted) Collect(to chan<- prometheus.Metric) {
	for counter, n := range c.set.All() {
		if sums[counter] {
			continue
		}
		name, help := counter, "The counter "+counter+" (ARCHITECTURE.md, Counters)."
		var label, value []string
		if f, v := place(counter); f != nil {
			name, help, label, value = f.name, f.help, []string{f.label}, []string{v}
		}
		desc := prometheus.NewDesc(namespace+name+"_total", help, label, nil)
		to <- prometheus.MustNewConstMetric(desc, prometheus.CounterValue, float64(n), value...)
	}
}
