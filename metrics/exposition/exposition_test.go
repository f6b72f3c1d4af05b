package exposition

import (
	"bytes"
	"testing"

	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"github.com/stretchr/testify/require"

	"lichenshelf/metrics"
)

// Each counter is exposed under its family's name with a label, or under its own name, and a parser
// of the format reads back the counted values.
func TestCountersAreExposedByFamily(t *testing.T) {
	set := &metrics.Set{}
	for counter, n := range map[string]int64{"attempts_sent": 9, "attempts_served": 5, "attempts_reset": 2, "attempts_repeated_after_reset": 1, "attempts_unconfirmed": 3,
		"refused_queue": 4, "refused_time_over": 6, "calls_answered_503": 7, "rule_violations": 2, "rule_violations_time_over": 2, "releases": 8, "answers_served": 5} {
		set.Add(counter, n)
	}
	var text bytes.Buffer
	require.NoError(t, New(set, Gauge{"requests_open", "Requests in hand.", func() float64 { return 3 }}).Write(&text))
	parser := expfmt.NewTextParser(model.UTF8Validation)
	read, err := parser.TextToMetricFamilies(&text)
	require.NoError(t, err)
	for name, want := range map[string]map[string]float64{
		"lichenshelf_attempts_sent_total":        {"": 9},
		"lichenshelf_attempts_total":             {"served": 5, "reset": 2},
		"lichenshelf_attempts_repeated_total":    {"reset": 1},
		"lichenshelf_attempts_unconfirmed_total": {"": 3},
		"lichenshelf_refused_total":              {"queue": 4, "time_over": 6},
		"lichenshelf_calls_answered_total":       {"503": 7},
		"lichenshelf_rule_violations_total":      {"time_over": 2},
		"lichenshelf_releases_total":             {"": 8},
		"lichenshelf_answers_total":              {"served": 5},
	} {
		got := map[string]float64{}
		for _, m := range read[name].GetMetric() {
			value := ""
			for _, l := range m.GetLabel() {
				value = l.GetValue()
			}
			got[value] = m.GetCounter().GetValue()
		}
		require.Equal(t, want, got, name)
	}
	require.EqualValues(t, 3, read["lichenshelf_requests_open"].GetMetric()[0].GetGauge().GetValue())
	require.Contains(t, read, "process_open_fds")
	require.Contains(t, read, "go_goroutines")
}
