package store

import (
	"sync"
	"time"
)

// progress detects calls that don't return, such as writes to a disk that does not respond. It is
// safe for concurrent use.
type progress struct {
	mu      sync.Mutex
	pending int
	since   time.Time // when the latest call returned, or when the first pending one began
}

// begin records the start of a call, and returns the function that records its end.
func (p *progress) begin(now func() time.Time) (end func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.pending == 0 {
		p.since = now()
	}
	p.pending++
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.pending--
		p.since = now()
	}
}

// stalledFor returns for how long no call has returned while some are pending; 0 if none is.
func (p *progress) stalledFor(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.pending == 0 {
		return 0
	}
	return now.Sub(p.since)
}
