package downstream

import (
	"sync/atomic"
	"time"

	"lichenshelf/internal/memory"
)

// RequestMemory is what one request may take beside its body, at most, until it is read whole, in
// bytes: the buffers of both its connections, its parsed head, the stacks of its goroutines.
const RequestMemory = 48 << 10

const (
	// openMemory is what is left of it once the request is read whole, beside headCopies of its head.
	openMemory = 24 << 10
	headCopies = 3 // parsed, copied for workers, formatted
)

// stalledWrite is how long a client may take nothing of an answer while others lack memory.
const stalledWrite = time.Second

// memoryWait is how long a request waits for memory before it is refused.
const memoryWait = 250 * time.Millisecond

// holding is what a connection holds of a budget.
type holding struct {
	budget *memory.Budget
	bytes  atomic.Int64
}

// resize changes what the connection holds to n bytes. More is reserved like conn.reserve does.
func (h *holding) resize(c *conn, n int64) error {
	more := n - h.bytes.Load()
	switch {
	case more > 0:
		if err := c.reserve(h.budget, more); err != nil {
			return err
		}
	case more < 0:
		h.budget.Release(-more)
	}
	h.bytes.Store(n)
	return nil
}

// reserve reserves n bytes of the budget for the connection. If there is no room, others give way: a
// client that stalls must not hold what others need.
func (c *conn) reserve(b *memory.Budget, n int64) error {
	if b.Limit() > 0 && n > b.Limit() {
		return errOverloaded
	}
	place := b.Reserve(n)
	if place == nil {
		return nil
	}
	c.releaseSlot()
	c.owner.freeMemory(c, b, n)
	if !place.Await(c.refused, memoryWait) {
		c.owner.count.Add("requests_without_memory", 1)
		return errOverloaded
	}
	return nil
}

// freeMemory makes connections give way until n bytes of the budget will be released, but not the
// given one. Those that have been reading a request for longest are refused the rest of it first.
// Then those are closed whose clients have not taken what was written to them for stalledWrite. A
// request that was read whole, and whose client reads, is never ended for it.
func (l *listener) freeMemory(except *conn, b *memory.Budget, n int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n = l.giveWay(readingRequest, except, b, n, func(c *conn) bool {
		l.refuseRest(c)
		l.count.Add("connections_refused_for_memory", 1)
		return true
	})
	l.giveWay(inUse, except, b, n, func(c *conn) bool {
		if !c.isWriteStalled() {
			return false
		}
		_ = c.Conn.SetWriteDeadline(pastDeadline)
		l.count.Add("connections_cut_for_memory", 1)
		return true
	})
}

// giveWay calls end for connections of a class that hold bytes of the budget, the longest in the
// class first, until those for which it returned true hold n. It returns what is still missing. mu
// is held.
func (l *listener) giveWay(class evictionClass, except *conn, b *memory.Budget, n int64, end func(*conn) bool) int64 {
	next := l.conns.classes[class].Front()
	for n > 0 && next != nil {
		c := next.Value.(*conn)
		next = next.Next()
		if held := c.holds(b); c != except && held > 0 && end(c) {
			n -= held
		}
	}
	return n
}

// isWriteStalled reports whether the client has taken nothing of a write for stalledWrite.
func (c *conn) isWriteStalled() bool {
	began := time.Duration(c.writeBegan.Load())
	return began > 0 && sinceStart()-began > stalledWrite
}

// holds returns the bytes of the budget that the connection holds.
func (c *conn) holds(b *memory.Budget) int64 {
	if c.body.budget == b {
		return c.body.bytes.Load()
	}
	return c.request.bytes.Load()
}
