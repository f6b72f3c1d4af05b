// Package exposition writes the router's counters and gauges in the Prometheus text format, for
// scraping at the console.
//
// It keeps no state of its own: each scrape reads the current counters. Label values are defined by
// the program (reasons, statuses, rules) and never come from clients or workers, so their number is
// bounded.
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
	// ContentType is the content type of the text that Write writes.
	ContentType = "text/plain; version=0.0.4; charset=utf-8"

	namespace = "lichenshelf_"
)

// family is a group of counters with a common name prefix. The rest of a counter's name becomes the
// value of a label.
type family struct {
	prefix, name, label, help string
	values                    []string // allowed label values; nil: any
}

// families lists the counters that have a label, with longer prefixes before shorter ones.
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

// totals lists counters that are sums over a family and therefore left out of the exposition.
var totals = map[string]bool{"rule_violations": true}

// findFamily returns the family of a counter and its label value, or nil if it belongs to none.
func findFamily(counter string) (*family, string) {
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

// Gauge is a metric whose value is read at each scrape.
type Gauge struct {
	Name, Help string // Name is without the namespace prefix and includes the unit
	Value      func() float64
}

// Exposition is the set of metrics to scrape. It is safe for concurrent use.
type Exposition struct {
	// registry is created at the first scrape, so that a process without scrapes doesn't pay for
	// it.
	registry func() *prometheus.Registry
}

// New returns an exposition of the counters, the gauges, and the metrics of the process and the Go
// runtime.
func New(counters *metrics.Set, gauges ...Gauge) *Exposition {
	return &Exposition{sync.OnceValue(func() *prometheus.Registry {
		r := prometheus.NewRegistry()
		r.MustRegister(counterCollector{counters}, collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
		for _, g := range gauges {
			r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: namespace + g.Name, Help: g.Help}, g.Value))
		}
		return r
	})}
}

// Write writes all metrics as text.
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

// counterCollector collects the counters that exist at the time of a scrape.
type counterCollector struct{ set *metrics.Set }

// Describe implements prometheus.Collector. It sends no descriptions, since a counter exists only
// once it has been incremented.
func (counterCollector) Describe(chan<- *prometheus.Desc) {}

// Collect implements prometheus.Collector.
func (c counterCollector) Collect(to chan<- prometheus.Metric) {
	for counter, n := range c.set.All() {
		if totals[counter] {
			continue
		}
		name, help := counter, "The counter "+counter+" (ARCHITECTURE.md, Counters)."
		var label, value []string
		if f, v := findFamily(counter); f != nil {
			name, help, label, value = f.name, f.help, []string{f.label}, []string{v}
		}
		desc := prometheus.NewDesc(namespace+name+"_total", help, label, nil)
		to <- prometheus.MustNewConstMetric(desc, prometheus.CounterValue, float64(n), value...)
	}
}
