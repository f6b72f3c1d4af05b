// Package rules holds the safety rules of one request: what may be sent, sent again, answered and told now. The decisions
// (package logic) choose among what is allowed; here is the one place that says what is, and it is asked for each send and
// each final answer. It does no I/O and keeps no clock.
//
// A verdict is one of three. Allowed: go on. A crossing: something happened between the decision and the act (a drain was
// told), and the act must not follow; that is usual. A violation: the act would break a rule however the events fell, so
// whoever decided it is at fault; it must not follow, and it is counted.
package rules

import (
	"time"

	"lichenshelf/logic"
)

// Verdict says whether something may be done now, and if not, why.
type Verdict uint8

// The verdicts.
const (
	Allowed Verdict = iota
	// Crossings.
	Fenced        // this router may not act on what it knows
	WorkerLeaving // a drain was told, or the worker is gone
	TriesSpent    // all attempts that are allowed have been begun, those that reached nobody included
	// Violations.
	Answered      // the request has its final answer, or its client has gone
	StillOut      // another attempt of the request is out
	RanAlready    // it must not run twice, and may have run
	OutsideGroup  // it may have run at workers that do not know of each other's requests
	WindowOver    // those that know of it may have forgotten it
	TimeOver      // its client's time is over
	HeldTooLong   // its read state was neither taken nor let go of in time
	GoneTooLong   // its client had gone before the attempt began
	AnsweredLate  // its final answer came after its client's time
	NeverAnswered // it has none though its client's time is over
	ToldTooMuch   // a worker would be told more time than the client has left
)

var names = [...]string{"allowed", "fenced", "worker_leaving", "tries_spent", "answered", "still_out", "ran_already", "outside_group",
	"window_over", "time_over", "held_too_long", "gone_too_long", "answered_late", "never_answered", "told_too_much"}

// String is the verdict's name in logs and counters.
func (v Verdict) String() string { return names[v] }

// Violation tells whether whoever decided the act is at fault.
func (v Verdict) Violation() bool { return v >= Answered }

const (
	// AnswerWithin is how long after its client's time a request may have its final answer.
	AnswerWithin = 500 * time.Millisecond
	// AnswerUnread is how long a request may take to be answered whose time was over before it could be read: its connection
	// waited to be accepted.
	AnswerUnread = 100 * time.Millisecond
	// GoneWithin is how long after its client has gone an attempt may begin.
	GoneWithin = 100 * time.Millisecond
	// ToldSlack is how much more time than is left a worker may be told.
	ToldSlack = 150 * time.Millisecond
	// HeldSlack is what sockets add to the time for which a read state may be held.
	HeldSlack = 300 * time.Millisecond
	// startsPerTry times the bound on attempts is that on all that are begun, those that never reach a worker included.
	startsPerTry = 3
)

// Place is where an attempt goes.
type Place struct {
	Zone, Cell int
	ReadsOnly  bool // a reader: an attempt there has no effect
}

// Target is the worker that an attempt is meant for, as it is now.
type Target struct {
	Place
	Fenced  bool // this router may not act on what it knows
	Leaving bool // the worker is leaving, or no longer listed
}

// Request is the history of one request as far as the rules look at it. It is not safe for concurrent use.
type Request struct {
	class     logic.Class
	deadline  time.Time
	answerBy  time.Time // when it has to have its final answer at the latest
	mostTries int       // 0: no bound
	heldFor   time.Duration

	out       bool
	to        Place
	sentAt    time.Time
	begun     int
	unreached int
	ran       bool // an attempt may have had its effect
	ranAt     time.Time
	ranIn     Place
	answered  bool
	heldSince time.Time // since when a read state waits for which no worker has answered; zero: nothing is held
	heldNoted bool      // that it was held too long has been told
	released  bool      // the state was let go of beside the attempt that is out
}

// Config is what a request comes with.
type Config struct {
	Class     logic.Class
	Deadline  time.Time     // the end of its client's time
	Read      time.Time     // when it had been read whole, which may be long after it has come; zero: as it came
	MostTries int           // 0: no bound
	HeldFor   time.Duration // for which a read state may be held; 0: not stated
}

// New returns the history of a request of which nothing was sent.
func New(c Config) *Request {
	r := &Request{class: c.Class, deadline: c.Deadline, mostTries: c.MostTries, heldFor: c.HeldFor}
	r.answerBy = c.Deadline.Add(AnswerWithin)
	if late := c.Read.Add(AnswerUnread); late.After(r.answerBy) {
		r.answerBy = late
	}
	return r
}

// MaySend tells whether an attempt may begin there now.
func (r *Request) MaySend(now time.Time, to Target) Verdict {
	switch {
	case r.answered:
		return Answered
	case r.out:
		return StillOut
	case r.mostTries > 0 && (r.begun-r.unreached >= r.mostTries || r.begun >= startsPerTry*r.mostTries):
		return TriesSpent
	case to.Fenced:
		return Fenced
	case to.Leaving:
		return WorkerLeaving
	case now.Sub(r.deadline) > ToldSlack:
		return TimeOver
	case !r.ran || r.class.Effect == logic.EffectRepeatable:
		return Allowed
	case r.class.Effect == logic.EffectOnce:
		return RanAlready
	case now.Sub(r.ranAt) > r.class.RepeatWindow:
		return WindowOver
	case r.class.Group == logic.GroupZone && to.Zone != r.ranIn.Zone, r.class.Group == logic.GroupCell && to.Cell != r.ranIn.Cell:
		return OutsideGroup
	}
	return Allowed
}

// MayRefuse tells whether the request may be answered with the promise that making it again does no harm.
func (r *Request) MayRefuse() Verdict {
	if !r.ran || r.class.Effect == logic.EffectRepeatable || r.class.Effect == logic.EffectByKey && r.class.Group == logic.GroupAll {
		return Allowed
	}
	return RanAlready
}

// Skipped notes an attempt that was begun for nothing: its worker may get nothing now.
func (r *Request) Skipped() {
	r.begun++
	r.unreached++
}

// Sent notes an attempt that begins.
func (r *Request) Sent(now time.Time, to Place) {
	r.begun++
	r.out, r.to, r.sentAt = true, to, now
}

// Held tells whether the request's read state is held for too long by now, once for each state. An attempt that is out is no
// proof that a worker has taken it: the time runs until one has answered, or the state is let go of.
func (r *Request) Held(now time.Time) Verdict {
	if r.heldSince.IsZero() || r.heldFor <= 0 || r.heldNoted || now.Sub(r.heldSince) <= r.heldFor+HeldSlack {
		return Allowed
	}
	r.heldNoted = true
	return HeldTooLong
}

// Released notes that what is held and no attempt waits for is let go of, and tells whether that comes in time.
func (r *Request) Released(now time.Time) Verdict {
	v := r.Held(now)
	r.heldSince, r.released = time.Time{}, r.out
	return v
}

// hold notes that a state waits from now on.
func (r *Request) hold(now time.Time) { r.heldSince, r.heldNoted = now, false }

// Ended notes how the attempt that was out has ended.
func (r *Request) Ended(now time.Time, status logic.Status, unreached bool) {
	r.out = false
	answered := status.Answered() && !unreached
	switch {
	case status == logic.PromptRead,
		answered && (r.released || !r.heldSince.IsZero()),
		r.released && !unreached: // it may have waited for the state
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
		if !r.ran && !r.to.ReadsOnly {
			r.ran, r.ranAt, r.ranIn = true, r.sentAt, r.to
		}
	}
}

// Answer notes the final answer and tells whether it comes in time. That of a stream is its beginning.
func (r *Request) Answer(now time.Time) Verdict {
	r.answered = true
	if now.After(r.answerBy) {
		return AnsweredLate
	}
	return Allowed
}

// Began notes that an answer begins, which lets go of what is held, and tells whether it comes in time.
func (r *Request) Began(now time.Time) Verdict {
	r.heldSince, r.released = time.Time{}, false
	return r.Answer(now)
}

// Left notes that the client has gone at a time, and tells whether an attempt began for it after that.
func (r *Request) Left(at time.Time) Verdict {
	r.answered = true
	if r.out && r.sentAt.Sub(at) > GoneWithin {
		return GoneTooLong
	}
	return Allowed
}

// Overdue tells whether the request still has no final answer though it should.
func (r *Request) Overdue(now time.Time) Verdict {
	if !r.answered && now.After(r.answerBy) {
		return NeverAnswered
	}
	return Allowed
}

// TimeToTell is what a worker is told that is left for its answer, which is waited for until a time, and whether that had to
// be cut to what the client has left.
func TimeToTell(now, until, clientEnds time.Time) (time.Duration, Verdict) {
	left, wait := clientEnds.Sub(now), until.Sub(now)
	if wait > left+ToldSlack {
		return max(left, time.Millisecond), ToldTooMuch
	}
	return max(wait, time.Millisecond), Allowed
}
