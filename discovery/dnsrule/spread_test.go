package dnsrule

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// wake is one router's next refresh of one name.
type wake struct {
	at       time.Duration
	schedule *Schedule
}

type wakes []wake

func (w wakes) Len() int           { return len(w) }
func (w wakes) Less(i, j int) bool { return w[i].at < w[j].at }
func (w wakes) Swap(i, j int)      { w[i], w[j] = w[j], w[i] }
func (w *wakes) Push(x any)        { *w = append(*w, x.(wake)) }
func (w *wakes) Pop() any          { x := (*w)[len(*w)-1]; *w = (*w)[:len(*w)-1]; return x }

// herd has 80 routers, started at once, refresh the names with a lifetime of 30 s
// over an hour. The first refresh of all, which no spread can help, is left out.
func herd(spread float64, names int) (peakOverMean, perSecond float64) {
	rng := rand.New(rand.NewPCG(3, 4))
	rules := times
	rules.Spread = spread
	var queue wakes
	for range 80 * names {
		s := NewSchedule(rules, rng)
		queue = append(queue, wake{s.Found(30*time.Second, false, true), s})
	}
	heap.Init(&queue)
	count := make([]int, 3600)
	for queue[0].at < time.Hour {
		w := &queue[0]
		count[w.at/time.Second]++
		w.at += w.schedule.Found(30*time.Second, false, true)
		heap.Fix(&queue, 0)
	}
	peak, sum := 0, 0
	for _, n := range count {
		peak, sum = max(peak, n), sum+n
	}
	mean := float64(sum) / float64(len(count))
	return float64(peak) / mean, mean
}

func TestRoutersStartedTogetherDoNotAskTogether(t *testing.T) {
	with, _ := herd(times.Spread, 20)
	without, _ := herd(0, 20)
	require.Less(t, with, 2.0)
	require.Greater(t, without, 20.0, "else the comparison shows nothing")
}

// BenchmarkSpread reports the peak over the mean of queries a second, of 200 names.
func BenchmarkSpread(b *testing.B) {
	for name, spread := range map[string]float64{"spread": times.Spread, "together": 0} {
		b.Run(name, func(b *testing.B) {
			var ratio, mean float64
			for b.Loop() {
				ratio, mean = herd(spread, 200)
			}
			b.ReportMetric(ratio, "peak/mean")
			b.ReportMetric(mean, "queries/s")
		})
	}
}
