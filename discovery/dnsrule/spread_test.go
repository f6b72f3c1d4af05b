package dnsrule

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// refresh is one router's next refresh of one name.
type refresh struct {
	at       time.Duration
	schedule *Schedule
}

type refreshes []refresh

func (w refreshes) Len() int           { return len(w) }
func (w refreshes) Less(i, j int) bool { return w[i].at < w[j].at }
func (w refreshes) Swap(i, j int)      { w[i], w[j] = w[j], w[i] }
func (w *refreshes) Push(x any)        { *w = append(*w, x.(refresh)) }
func (w *refreshes) Pop() any          { x := (*w)[len(*w)-1]; *w = (*w)[:len(*w)-1]; return x }

// simulateRefreshes has 80 routers that start together refresh names with a lifetime of 30 s for an
// hour. The very first query of each name, which cannot be spread, is left out.
func simulateRefreshes(spread float64, names int) (peakOverMean, perSecond float64) {
	rng := rand.New(rand.NewPCG(3, 4))
	rules := times
	rules.Spread = spread
	var queue refreshes
	for range 80 * names {
		s := NewSchedule(rules, rng)
		queue = append(queue, refresh{s.AfterAnswer(30*time.Second, false, true), s})
	}
	heap.Init(&queue)
	count := make([]int, 3600)
	for queue[0].at < time.Hour {
		w := &queue[0]
		count[w.at/time.Second]++
		w.at += w.schedule.AfterAnswer(30*time.Second, false, true)
		heap.Fix(&queue, 0)
	}
	peak, sum := 0, 0
	for _, n := range count {
		peak, sum = max(peak, n), sum+n
	}
	mean := float64(sum) / float64(len(count))
	return float64(peak) / mean, mean
}

func TestRoutersStartedTogetherSpreadTheirQueries(t *testing.T) {
	with, _ := simulateRefreshes(times.Spread, 20)
	without, _ := simulateRefreshes(0, 20)
	require.Less(t, with, 2.0)
	require.Greater(t, without, 20.0, "otherwise the comparison shows nothing")
}

// BenchmarkSpread reports the peak and the mean of queries per second for 200 names.
func BenchmarkSpread(b *testing.B) {
	for name, spread := range map[string]float64{"spread": times.Spread, "together": 0} {
		b.Run(name, func(b *testing.B) {
			var ratio, mean float64
			for b.Loop() {
				ratio, mean = simulateRefreshes(spread, 200)
			}
			b.ReportMetric(ratio, "peak/mean")
			b.ReportMetric(mean, "queries/s")
		})
	}
}
