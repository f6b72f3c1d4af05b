package store

import (
	"sync"
	"time"
)

// progress follows calls that may never return, as those to a disk that does not answer. It is safe for use from any goroutine.
type progress struct {
	mu       sync.Mutex
	underWay int
	since    time.Time // when the latest call returned, or the first of those under way began
}

// begin notes a call, and returns what notes its end.
func (p *progress) begin(now func() time.Time) (end func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.underWay == 0 {
		p.since = now()
	}
	p.underWay++
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.underWay--
		p.since = now()
	}
}

// stalled is for how long no call has returned though some are under way; 0 where none is.
func (p *progress) stalled(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.underWay == 0 {
		return 0
	}
	return now.Sub(p.since)
}
