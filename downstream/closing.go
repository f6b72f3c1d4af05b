package downstream

import "time"

// phase is the state of a client's connection.
type phase int

const (
	lingering phase = iota // the last answer has been sent; further bytes are dropped
	waiting                // no byte of a request has been received
	reading                // part of a request has been received
	serving                // the request is complete, and its answer has not been sent
)

// endReason is why a connection without a complete request may have to end.
type endReason int

const (
	forRoom       endReason = iota // the number of connections is near its bound
	forRoomNow                     // the bound is reached, and a place is needed at once
	forDescriptor                  // the process or the machine has run out of descriptors
	forStop                        // the server stops, and has time
	forExit                        // the process is about to end
)

// endAction is how a connection may be ended.
type endAction int

const (
	keep      endAction = iota
	shutIdle            // between requests: shut down the sending side and drop further bytes unread
	refuseNow           // refuse the partial request without waiting for the rest; it may be repeated
	closeNow            // it is ending already, and its client has had time to close it
)

// newConnGrace is how long a new connection stays open during a stop, waiting for its first
// request. descriptorGrace is how long such a connection, or one with a partial request, is kept
// when descriptors run out.
const (
	newConnGrace    = time.Second
	descriptorGrace = 500 * time.Millisecond
)

// connState is the state of a connection that determines how it may be ended.
type connState struct {
	phase  phase
	ending bool          // it has been shut down, or its last answer has been sent
	used   bool          // bytes have been received on it
	age    time.Duration // time since its phase began
}

// decideEnd decides for all reasons how a client's connection may be ended: a complete request
// never loses its connection, and a partial one is answered. A waiting connection may be shut down
// only if it has no unread bytes, which the caller checks right before.
func decideEnd(c connState, why endReason) endAction {
	switch {
	case c.phase == serving:
		return keep
	case c.ending || c.phase == lingering:
		if why == forRoomNow || why == forDescriptor {
			return closeNow
		}
		return keep
	case c.phase == waiting:
		expected := !c.used && (why == forStop && c.age < newConnGrace || why == forDescriptor && c.age < descriptorGrace)
		if expected { // its first request may be on its way
			return keep
		}
		return shutIdle
	case why == forStop, why == forDescriptor && c.age < descriptorGrace:
		return keep
	}
	return refuseNow
}
