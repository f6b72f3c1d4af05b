// Package memory bounds the bytes that connections take together.
package memory

import (
	"container/list"
	"sync"
	"time"
)

// Budget bounds a number of bytes that many hold together. Those that find no room may wait, and
// are served in order. The zero value has no bound. It is safe for concurrent use.
type Budget struct {
	mu    sync.Mutex
	limit int64 // 0 means no bound
	used  int64
	queue list.List // of *waiter, the longest waiting first
}

// waiter is a wait for bytes of a budget.
type waiter struct {
	bytes   int64
	granted chan struct{} // closed when the bytes are reserved
}

// Place is a place in the queue of a budget.
type Place struct {
	budget  *Budget
	element *list.Element
}

// SetLimit sets the bound in bytes; 0 means none. It is to be called before the budget is used.
func (b *Budget) SetLimit(bytes int64) { b.limit = max(bytes, 0) }

// Limit returns the bound in bytes; 0 means none.
func (b *Budget) Limit() int64 { return b.limit }

// Used returns the bytes that are reserved.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// TryReserve reserves n bytes if there is room and nobody waits, and reports whether it has.
func (b *Budget) TryReserve(n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tryReserve(n)
}

func (b *Budget) tryReserve(n int64) bool {
	if b.limit > 0 && (b.queue.Len() > 0 || b.used+n > b.limit) {
		return false
	}
	b.used += n
	return true
}

// Reserve reserves n bytes, at most the limit, if there is room and nobody waits. Otherwise it
// returns a place in the queue, which must be awaited.
func (b *Budget) Reserve(n int64) *Place {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tryReserve(n) {
		return nil
	}
	return &Place{b, b.queue.PushBack(&waiter{bytes: n, granted: make(chan struct{})})}
}

// Release returns n bytes and hands them to those that wait.
func (b *Budget) Release(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= n
	b.grant()
}

// grant reserves the bytes of the first waiters as far as there is room. mu is held.
func (b *Budget) grant() {
	for first := b.queue.Front(); first != nil; first = b.queue.Front() {
		w := first.Value.(*waiter)
		if b.used+w.bytes > b.limit {
			return
		}
		b.used += w.bytes
		b.queue.Remove(first)
		close(w.granted)
	}
}

// Await waits until the bytes are reserved. It returns false, and nothing is reserved, if stop is
// closed or the time is over before that.
func (p *Place) Await(stop <-chan struct{}, timeout time.Duration) bool {
	w := p.element.Value.(*waiter)
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-w.granted:
		return true
	case <-stop:
	case <-timer.C:
	}
	p.budget.mu.Lock()
	defer p.budget.mu.Unlock()
	select {
	case <-w.granted:
		return true
	default:
	}
	p.budget.queue.Remove(p.element)
	p.budget.grant()
	return false
}
