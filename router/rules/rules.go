// Package rules holds the safety rules of one request: what may be sent, repeated, answered and
// passed on now. The decider (package logic) chooses among the allowed actions; this package is the
// only place that defines what is allowed, and it is asked before each send and each final answer.
// It does no I/O and reads no clock.
//
// A result is one of three kinds. Allowed: proceed. A race: something happened between the decision
// and the action, for example a drain was announced; the action must not follow, which is usual. A
// violation: the action would break a rule regardless of the order of events, so its decider is at
// fault; it must not follow, and it is counted.
package rules

import (
	"time"

	"lichenshelf/logic"
)

// Result states whether an action is allowed now, and if not, why.
type Result uint8

// The results.
const (
	Allowed Result = iota
	// Races.
	Fenced        // this router may not act on its view of the fleet
	WorkerLeaving // a drain was announced, or the worker has left
	// all allowed attempts have been started, including those that reached no worker
	AttemptsExhausted
	// Violations.
	AlreadyAnswered     // the request has its final answer, or its client has left
	AttemptInFlight     // another attempt of the request is in flight
	MayHaveRun          // it must not run twice, and may have run
	OutsideGroup        // it may have run in another group, so the target would not discard the repeat
	WindowExpired       // the group may no longer remember it, and would not discard the repeat
	DeadlineExpired     // its client's time is over
	HeldTooLong         // its read state was neither used nor released in time
	SentAfterClientLeft // its client had left before the attempt began
	AnsweredLate        // its final answer was given after its client's time
	NeverAnswered       // it has no answer though its client's time is over
	TimeoutTooLong      // a worker would be given more time than the client has left
)

var resultNames = [...]string{"allowed", "fenced", "worker_leaving", "tries_spent", "answered", "still_out", "ran_already", "outside_group",
	"window_over", "time_over", "held_too_long", "gone_too_long", "answered_late", "never_answered", "told_too_much"}

// String returns the result's name in logs and counters.
func (v Result) String() string { return resultNames[v] }

// Violation reports whether the action would break a rule, so that its decider is at fault.
func (v Result) Violation() bool { return v >= AlreadyAnswered }

const (
	// AnswerWithin is how long after the end of its client's time a request may get its final answer.
	AnswerWithin = 500 * time.Millisecond
	// LateReadAnswerWithin is how long after being read a request may get its final answer if it
	// was read only after its client's time, because its connection waited to be accepted.
	LateReadAnswerWithin = 100 * time.Millisecond
	// ClientLeftSlack is how long after its client has left an attempt may begin.
	ClientLeftSlack = 100 * time.Millisecond
	// TimeoutSlack is by how much a worker's time-out may exceed the client's remaining time.
	TimeoutSlack = 150 * time.Millisecond
	// SendSlack is how long a process may be held up between the check of an attempt and its send.
	SendSlack = 150 * time.Millisecond
	// HeldSlack is added to the time for which a read state may be held, for delays in sockets.
	HeldSlack = 300 * time.Millisecond
	// startsPerAttempt times the bound on attempts is the bound on started attempts, which include
	// those that never reached a worker.
	startsPerAttempt = 3
)

// Place is where an attempt goes.
type Place struct {
	Zone, Cell int
	ReadsOnly  bool // a reader, where an attempt has no effect
}

// Target is the current state of the worker that an attempt is meant for.
type Target struct {
	Place
	Fenced  bool // this router may not act on its view of the fleet
	Leaving bool // the worker is leaving, or no longer listed
}

// Request is the state of one request that the rules depend on. It is not safe for concurrent use.
type Request struct {
	class       logic.Class
	deadline    time.Time
	answerBy    time.Time // the latest time of its final answer
	maxAttempts int       // 0 means no bound
	heldFor     time.Duration

	inFlight   bool
	to         Place
	sentAt     time.Time
	started    int
	unreached  int
	mayHaveRun bool // an attempt may have had its effect
	ranAt      time.Time
	ranIn      Place
	answered   bool
	// since when a read state has been held without an answer from a worker; zero means that none
	// is held
	heldSince    time.Time
	heldReported bool // that the state was held too long has been reported
	released     bool // the state was released while the current attempt was in flight
}

// Config configures the rules of a request.
type Config struct {
	Class    logic.Class
	Deadline time.Time // the end of its client's time
	// when it had been read completely, which may be long after it arrived; zero means on arrival
	Read        time.Time
	MaxAttempts int           // 0 means no bound
	HeldFor     time.Duration // how long a read state may be held; 0 means unknown
}

// New returns the state of a request that has not been sent.
func New(c Config) *Request {
	r := &Request{class: c.Class, deadline: c.Deadline, maxAttempts: c.MaxAttempts, heldFor: c.HeldFor}
	r.answerBy = c.Deadline.Add(AnswerWithin)
	if late := c.Read.Add(LateReadAnswerWithin); late.After(r.answerBy) {
		r.answerBy = late
	}
	return r
}

// MaySend checks whether an attempt may begin now at the given target.
func (r *Request) MaySend(now time.Time, to Target) Result {
	switch {
	case r.answered:
		return AlreadyAnswered
	case r.inFlight:
		return AttemptInFlight
	case r.maxAttempts > 0 && (r.started-r.unreached >= r.maxAttempts || r.started >= startsPerAttempt*r.maxAttempts):
		return AttemptsExhausted
	}
	return r.mayReach(now, to)
}

// MayStart checks whether the attempt in flight, which MaySend has allowed and which may have waited
// since, may still be sent to its target. What is not allowed any more is a race: time has passed.
func (r *Request) MayStart(now time.Time, to Target) Result {
	if r.answered {
		return AlreadyAnswered
	}
	return r.mayReach(now, to)
}

// mayReach checks what may change while an attempt waits.
func (r *Request) mayReach(now time.Time, to Target) Result {
	switch {
	case to.Fenced:
		return Fenced
	case to.Leaving:
		return WorkerLeaving
	case now.Sub(r.deadline) > TimeoutSlack:
		return DeadlineExpired
	case !r.mayHaveRun || r.class.Effect == logic.EffectRepeatable:
		return Allowed
	case r.class.Effect == logic.EffectOnce:
		return MayHaveRun
	case now.After(r.RepeatBy()):
		return WindowExpired
	case r.class.Group == logic.GroupZone && to.Zone != r.ranIn.Zone, r.class.Group == logic.GroupCell && to.Cell != r.ranIn.Cell:
		return OutsideGroup
	}
	return Allowed
}

// RepeatBy returns when the group of a by-key request that may have run forgets it: a repeat must
// have been sent by then. For other requests it is zero.
func (r *Request) RepeatBy() time.Time {
	if !r.mayHaveRun || r.class.Effect != logic.EffectByKey {
		return time.Time{}
	}
	return r.ranAt.Add(r.class.RepeatWindow)
}

// MayHaveRun reports whether an attempt may have had its effect.
func (r *Request) MayHaveRun() bool { return r.mayHaveRun }

// MayRefuse checks whether the answer may promise that repeating the request is harmless.
func (r *Request) MayRefuse() Result {
	if !r.mayHaveRun || r.class.Effect == logic.EffectRepeatable || r.class.Effect == logic.EffectByKey && r.class.Group == logic.GroupAll {
		return Allowed
	}
	return MayHaveRun
}

// Skipped records an attempt that was started but not sent, because its worker may get nothing now.
func (r *Request) Skipped() {
	r.started++
	r.unreached++
}

// Sent records an attempt that begins.
func (r *Request) Sent(now time.Time, to Place) {
	r.started++
	r.inFlight, r.to, r.sentAt = true, to, now
}

// Held checks whether the request's read state has been held for too long, and reports it once for
// each state. An attempt in flight does not prove that a worker uses the state: the time runs until
// a worker has answered, or the state is released.
func (r *Request) Held(now time.Time) Result {
	if r.heldSince.IsZero() || r.heldFor <= 0 || r.heldReported || now.Sub(r.heldSince) <= r.heldFor+HeldSlack {
		return Allowed
	}
	r.heldReported = true
	return HeldTooLong
}

// Released records the release of held state that no attempt waits for, and checks whether it is in
// time.
func (r *Request) Released(now time.Time) Result {
	v := r.Held(now)
	r.heldSince, r.released = time.Time{}, r.inFlight
	return v
}

// Written checks whether the last byte of the attempt in flight was sent in time.
func (r *Request) Written(at time.Time) Result {
	if by := r.RepeatBy(); !by.IsZero() && at.Sub(by) > SendSlack {
		return WindowExpired
	}
	return Allowed
}

// hold records that a state is held from now on.
func (r *Request) hold(now time.Time) { r.heldSince, r.heldReported = now, false }

// Ended records how the attempt in flight has ended.
func (r *Request) Ended(now time.Time, status logic.Status, unreached bool) {
	r.inFlight = false
	answered := status.Answered() && !unreached
	switch {
	case status == logic.PromptRead,
		answered && (r.released || !r.heldSince.IsZero()),
		r.released && !unreached: // the attempt may have waited for the state
		r.hold(now)
	}
	r.released = false
	if unreached {
		r.unreached++
	}
	switch status {
	case logic.PromptRead:
	case logic.Full, logic.ConnectFailed, logic.NotSent, logic.Rejected:
	default:
		if !r.mayHaveRun && !r.to.ReadsOnly {
			r.mayHaveRun, r.ranAt, r.ranIn = true, r.sentAt, r.to
		}
	}
}

// Answer records the final answer and checks whether it is in time. A streamed answer counts from
// its beginning.
func (r *Request) Answer(now time.Time) Result {
	r.answered = true
	if now.After(r.answerBy) {
		return AnsweredLate
	}
	return Allowed
}

// AnswerBegan records that an answer begins, which ends the hold of a read state, and checks
// whether it is in time.
func (r *Request) AnswerBegan(now time.Time) Result {
	r.heldSince, r.released = time.Time{}, false
	return r.Answer(now)
}

// ClientLeft records when the client left, and checks whether an attempt began after that.
func (r *Request) ClientLeft(at time.Time) Result {
	r.answered = true
	if r.inFlight && r.sentAt.Sub(at) > ClientLeftSlack {
		return SentAfterClientLeft
	}
	return Allowed
}

// Overdue checks whether the request has no final answer though it should.
func (r *Request) Overdue(now time.Time) Result {
	if !r.answered && now.After(r.answerBy) {
		return NeverAnswered
	}
	return Allowed
}

// WorkerTimeout returns the time-out that a worker is given for its answer, which is awaited until
// the given time. It is cut to the client's remaining time if it exceeds that by more than
// TimeoutSlack.
func WorkerTimeout(now, until, clientEnds time.Time) (time.Duration, Result) {
	left, wait := clientEnds.Sub(now), until.Sub(now)
	if wait > left+TimeoutSlack {
		return max(left, time.Millisecond), TimeoutTooLong
	}
	return max(wait, time.Millisecond), Allowed
}
