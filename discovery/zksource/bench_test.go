package zksource

import (
	"context"
	"fmt"
	"testing"
	"time"

	"lichenshelf/discovery/membership"
	"lichenshelf/discovery/zkrule"
	"lichenshelf/internal/standin/zk"
)

// expirySink signals the first report and the time of each reported removal.
type expirySink struct {
	ready    chan struct{}
	removals chan time.Time
}

func (d expirySink) Report(r membership.Report) {
	if r.Whole {
		d.ready <- struct{}{}
	}
	for _, e := range r.Entries {
		if e.Status == membership.Gone {
			d.removals <- time.Now()
		}
	}
}
func (d expirySink) Fail(error) {}
func (d expirySink) Warn(error) {}

// BenchmarkExpiry reports the longest time from the end of a worker's session until the last of 20
// sources, each following 200 nodes, has reported the removal.
func BenchmarkExpiry(b *testing.B) {
	s, err := zk.New()
	if err != nil {
		b.Fatal(err)
	}
	defer s.Close()
	s.Create("/w", "", 0)
	for i := range 200 {
		s.Create(fmt.Sprint("/w/n", i), workerData(i+1), int64(i+1))
	}
	const routers = 20
	sink := expirySink{make(chan struct{}, routers), make(chan time.Time, routers)}
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	for range routers {
		c := Config{Servers: []string{s.Addr()}, Path: "/w", Session: 10 * time.Second, Resync: time.Hour, FlapWindow: time.Second, Format: zkrule.JSON, Parallel: 8}
		go New(c, membership.Entry{Weight: 1}).Run(ctx, sink)
	}
	for range routers {
		<-sink.ready
	}
	var worst time.Duration
	for i := 0; b.Loop(); i++ {
		from := time.Now()
		s.Expire(int64(i%200 + 1))
		var last time.Time
		for range routers {
			last = <-sink.removals
		}
		worst = max(worst, last.Sub(from))
		b.StopTimer()
		s.Create(fmt.Sprint("/w/n", i%200), workerData(i%200+1), int64(i%200+1))
		time.Sleep(5 * time.Millisecond) // until the sources have read it
		b.StartTimer()
	}
	b.ReportMetric(float64(worst.Microseconds())/1000, "worst-ms")
}
