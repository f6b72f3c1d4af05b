package upstream

import (
	"errors"
	"sync"
	"time"

	"lichenshelf/internal/memory"
)

// freeBuffer is the size in bytes up to which a buffer of an answer is part of what its request
// takes anyway.
const freeBuffer = 4 << 10

var errNoMemory = errors.New("no memory for the answer: too many wait for their clients")

// answerMemory is what an answer holds of the budget for bytes that wait for their clients. It is
// safe for concurrent use.
type answerMemory struct {
	budget *memory.Budget

	mu     sync.Mutex
	bytes  int64
	closed bool // nothing is reserved any more
}

// tryAdd reserves n more bytes, or returns some if n is negative, and reports whether there was
// room.
func (m *answerMemory) tryAdd(n int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed || n > 0 && !m.budget.TryReserve(n) {
		return false
	}
	if n < 0 {
		m.budget.Release(-n)
	}
	m.bytes += n
	return true
}

// await reserves n more bytes and waits for them, until stop is closed or the time is over.
func (m *answerMemory) await(n int64, stop <-chan struct{}, timeout time.Duration) error {
	if limit := m.budget.Limit(); limit > 0 && n > limit {
		return errNoMemory
	}
	if place := m.budget.Reserve(n); place != nil && !place.Await(stop, timeout) {
		return errNoMemory
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		m.budget.Release(n)
		return errNoMemory
	}
	m.bytes += n
	return nil
}

// release returns n bytes.
func (m *answerMemory) release(n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	n = min(n, m.bytes)
	m.bytes -= n
	m.budget.Release(n)
}

// close returns all bytes, once the answer has ended.
func (m *answerMemory) close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.budget.Release(m.bytes)
	m.bytes, m.closed = 0, true
}
