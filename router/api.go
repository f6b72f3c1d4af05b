// Package router sends requests to workers as package logic decides. It handles requests, attempts,
// outcomes and members, and is independent of HTTP and of address families. A front submits the
// requests, and a Transport connects to the workers.
//
// One goroutine owns the decider and the state of every request. All other goroutines post events
// to it and execute the actions that it returns.
package router

import (
	"io"
	"time"

	"lichenshelf/logic"
)

// Request is one client request as a front submits it.
type Request struct {
	logic.Request           // input of the decider; Patience runs from Received
	Name          string    // the client's ID of the request, the same at every party
	Received      time.Time // when its last byte arrived at this machine
	Read          time.Time // when it had been read completely; zero means at Received
	Payload       any       // the front's message, used by the transport only
}

// Client receives the answer to one request. The core calls exactly one of these methods, once, and
// none after Leave. They must not block.
type Client interface {
	// Stream passes the answer, which is complete at io.EOF. Any other error means that the answer
	// broke off, which must be visible to the client.
	Stream(Answer)
	// Refuse reports that repeating the request after the given time is harmless. last is the
	// status of the last attempt, NotSent if there was none.
	Refuse(after time.Duration, last logic.Status)
	// Fail reports that the request has failed. last is as in Refuse.
	Fail(last logic.Status)
}

// Attempt is one sending of a request to one worker.
type Attempt struct {
	Request *Request
	Worker  *Worker
	Wait    time.Duration // how long the core waits for the answer to begin
	// SendWithin bounds the time until the request's last byte is sent, connecting included. An
	// attempt that exceeds it ends as one that never reached its worker. 0 means no bound.
	SendWithin time.Duration
	// RepeatBy is when the worker may have forgotten the request, so that a repeat would run again:
	// its last byte must be sent by then. An attempt that exceeds it ends like one that exceeds
	// SendWithin, with status Full, since that is no fault of the worker. Zero means no bound.
	RepeatBy time.Time
}

// Answer is a worker's answer that has begun.
type Answer interface {
	io.ReadCloser
	// Head returns what the transport passes to the front besides the bytes.
	Head() any
	// Kept returns the number of prompt tokens that the worker found cached, known after io.EOF.
	Kept() uint32
	// Load returns the worker's latest load report: the one in the answer's head until io.EOF, then
	// the one at its end, if there is one. Only the goroutine that reads may call it.
	Load() logic.Load
}

// Outcome is the result of an attempt.
type Outcome struct {
	Status logic.Status
	Kept   uint32
	Load   logic.Load // the worker's load report, if there was one
	Stale  bool       // reset of a reused connection, which does not indicate a fault of the worker
	// Unreached reports that the request's last byte was never sent.
	Unreached bool
	Cause     error // the error, for the log; nil if the status explains the outcome
}

// Written describes how the last byte of an attempt was sent.
type Written struct {
	At     time.Time
	Port   int // local port of the connection
	Reused bool
	Bytes  int
}

// Sink receives the events of an attempt: one call of Started or Ended. Its methods may be called
// from any goroutine.
type Sink interface {
	// Written reports that the last byte of the attempt was sent. It is called before Started or
	// Ended and must not block.
	Written(Written)
	// Started passes an answer whose first bytes have been received.
	Started(Answer)
	Ended(Outcome)
}

// Transport sends requests to workers. Its methods return at once.
type Transport interface {
	// Send starts an attempt. The returned function cancels it at any time. The channel that it
	// returns is closed when the worker has noticed the cancellation, after 10 ms at the latest; it
	// is nil if the request is not at a worker. Until then the attempt counts as in flight, and
	// nothing that requires its end may follow. An attempt that is not cancelled ends only when its
	// worker has noticed the end.
	Send(Attempt, Sink) (cancel func() (acknowledged <-chan struct{}))
	// Release asks the given workers to release everything held for the named request, each a
	// little after the previous one until one accepts. It calls done once, after it has returned,
	// with the worker that accepted or the reason why none did. Both are nil if the transport's
	// workers hold no state.
	Release(name string, workers []*Worker, done func(by *Worker, err error))
	// Forget drops the state that is kept for a worker that has left or restarted.
	Forget(*Worker)
}

// Allowance is the answer of a Permit.
type Allowance uint8

// The possible answers.
const (
	AttemptAllowed Allowance = iota
	WorkerDenied             // this worker must not get the attempt now; another one may
	// nothing may be repeated now: the request ends with the status of its last attempt
	RepeatDenied
)

// Permit is asked right before an attempt is sent, on the core's goroutine. It must return at once.
type Permit interface {
	// Allow decides whether an attempt may be sent to a worker. repeat reports that it follows a
	// failed attempt.
	Allow(w *Worker, repeat bool) Allowance
}

// Counters counts the core's events by name. Its methods may be called from any goroutine.
type Counters interface {
	Add(name string, n int64)
}
