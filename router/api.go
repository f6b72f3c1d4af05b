// Package router carries requests to workers as package logic decides. It knows
// requests, attempts, outcomes and members; it knows no HTTP and no address
// family. What stands before it is a front, what stands behind it a Transport.
//
// One goroutine owns the decider and the state of every request. Everything
// else posts to it and does what it hands out.
package router

import (
	"io"
	"time"

	"lichenshelf/logic"
)

// Request is one client request as a front hands it in.
type Request struct {
	logic.Request           // what the decisions look at; Patience runs from Received
	Name          string    // the client's id of the request, the same at every party
	Received      time.Time // when its last byte came to this machine
	Read          time.Time // when it had been read whole; zero: as it came
	Payload       any       // the front's message, for the transport alone
}

// Client waits for the answer to one request. The core calls exactly one of
// these methods, once, and not at all after Leave. They must not block.
type Client interface {
	// Stream gives the answer: all of it up to io.EOF. Any other error means
	// that it broke off, and the client must be able to see that.
	Stream(Answer)
	// Refuse says that trying again, after the given time, is harmless; last is
	// how the last attempt ended, NotSent if there was none.
	Refuse(after time.Duration, last logic.Status)
	// Fail says that the request was given up.
	Fail(last logic.Status)
}

// Attempt is one sending of a request to one worker.
type Attempt struct {
	Request *Request
	Worker  *Worker
	Wait    time.Duration // how long the core will wait for the answer to begin
	// SendWithin is how long the request's last byte may take to go out, connecting
	// included; past it the attempt ends as one that never reached its worker. 0
	// means no bound.
	SendWithin time.Duration
}

// Answer is a worker's answer that has begun.
type Answer interface {
	io.ReadCloser
	// Head is what the transport has to tell the front beside the bytes.
	Head() any
	// Kept is the number of prompt tokens found kept, known after io.EOF.
	Kept() uint32
	// Load is the worker's latest report: that of the answer's head until io.EOF,
	// then that of its end, if it has one. Only the goroutine that reads may call it.
	Load() logic.Load
}

// Outcome is how an attempt ended.
type Outcome struct {
	Status logic.Status
	Kept   uint32
	Load   logic.Load // the worker's report, if one came along
	Stale  bool       // a reset of a connection that had been kept: it says nothing of the worker
	// Unreached says that the request's last byte never went out.
	Unreached bool
	Cause     error // what went wrong, for the log; nil: the status says all
}

// Written says how the last byte of an attempt went out.
type Written struct {
	At     time.Time
	Port   int // of the connection, at this end
	Reused bool
	Bytes  int
}

// Sink takes what becomes of an attempt: Started or Ended, once. Any goroutine
// may call it.
type Sink interface {
	// Written says that the last byte of the attempt went out, before what becomes of it. It must not block.
	Written(Written)
	// Started hands over an answer whose first bytes are there.
	Started(Answer)
	Ended(Outcome)
}

// Transport speaks with workers. Its methods return at once.
type Transport interface {
	// Send starts an attempt. The returned function gives it up, at any time. The channel is closed once the worker
	// knows, nil if nothing is out: until then the attempt is, and nothing that needs it to be over may follow. It is
	// closed within 10 ms. An attempt that ends by itself ends when its worker knows of it.
	Send(Attempt, Sink) (giveUp func() (known <-chan struct{}))
	// Release asks the given workers, each a little after the one before until one
	// took it, to let go of all that is held for the named request. It calls done, once
	// and later, when that has ended either way: with the worker that took it, or the reason why none did. With neither there is
	// nothing to let go of at such workers.
	Release(name string, workers []*Worker, done func(by *Worker, err error))
	// Forget drops what is kept of a worker that has left or restarted.
	Forget(*Worker)
}

// Allowance says whether an attempt may go out.
type Allowance uint8

// What may be said of an attempt.
const (
	MayGo    Allowance = iota
	NotThere           // this worker must not get it now, another may
	NotAgain           // nothing may be sent again now: the request ends as its last attempt left it
)

// Permit is asked right before an attempt goes out, by the core's goroutine. It must
// return at once.
type Permit interface {
	// Allow says whether an attempt may go to a worker; repeat tells that the attempt
	// before it failed.
	Allow(w *Worker, repeat bool) Allowance
}

// Counters is told what the core does. Its methods may be called from any goroutine.
type Counters interface {
	Add(name string, n int64)
}
