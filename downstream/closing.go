package downstream

import "time"

// phase is what a client's connection is at.
type phase int

const (
	lingering phase = iota // answered for good; what still comes is dropped
	waiting                // no request has begun to come
	reading                // a request has begun to come
	serving                // it is whole, and its answer not yet out
)

// reason is why a connection that has no whole request in hand may have to end.
type reason int

const (
	forRoom       reason = iota // the bound on connections is near
	forRoomNow                  // it is met: a place is needed at once
	forDescriptor               // the process, or the machine, has no descriptor left
	forStop                     // the server stops, and has time
	forExit                     // the process is about to end
)

// ending is how a connection may be ended.
type ending int

const (
	keep      ending = iota
	shutIdle         // between requests: its sending is shut, and what still comes is dropped unread
	answerNow        // the rest of its request is not waited for: it is refused, and may be made again
	closeNow         // it is ending already, and its client has had its time
)

// freshFor is how long a new connection is left open at the end, for its request to come; slowAfter how long that, or a
// request that has begun, may take before it gives way for want of a descriptor.
const (
	freshFor  = time.Second
	slowAfter = 500 * time.Millisecond
)

// connState is what of a connection counts for its ending.
type connState struct {
	phase  phase
	ending bool          // it has been shut, or its last answer is out
	used   bool          // something has come on it
	age    time.Duration // since its phase began
}

// endingOf is the one rule for all that ends clients' connections: a request that is whole never loses its connection, and one
// of which a part has come has its answer. A connection that waits may be shut only if no bytes have come that nobody has
// read: who shuts it looks right before.
func endingOf(c connState, why reason) ending {
	switch {
	case c.phase == serving:
		return keep
	case c.ending || c.phase == lingering:
		if why == forRoomNow || why == forDescriptor {
			return closeNow
		}
		return keep
	case c.phase == waiting:
		expected := !c.used && (why == forStop && c.age < freshFor || why == forDescriptor && c.age < slowAfter)
		if expected { // its first request may be on its way
			return keep
		}
		return shutIdle
	case why == forStop, why == forDescriptor && c.age < slowAfter:
		return keep
	}
	return answerNow
}
