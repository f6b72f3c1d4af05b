// Package judge checks what clients, workers and discovery observed of a fleet of routers against
// the rules that routers must keep. It does no I/O and reads no clock: a test reports each
// observation with its time and asks for the violations at the end. The emulated clients, workers
// and discovery are the only source of observations; routers report nothing here.
package judge

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"

	"lichenshelf/logic"
)

// Rule names a rule that routers must keep.
type Rule string

// The rules, each with what violates it.
const (
	Lost Rule = "lost" // no final answer, a late one, or more than one
	// Duplicate: the request ran more than once, had two attempts open at once, or was refused
	// though it may have run.
	Duplicate  Rule = "duplicate"
	Drain      Rule = "drain"    // sent to a worker that was known to be leaving
	Pinned     Rule = "pinned"   // a read state was held too long
	TimeBudget Rule = "told"     // a worker was given more time than the client had left
	AfterEnd   Rule = "gone"     // an attempt arrived after its client left or was answered
	Failback   Rule = "failback" // a worker received too many attempts just after its start
)

// Violation is one violation of a rule.
type Violation struct {
	Rule    Rule
	Request string
	What    string
}

// String implements fmt.Stringer.
func (v Violation) String() string {
	return fmt.Sprintf("%s: request %s: %s", v.Rule, v.Request, v.What)
}

// Limits are the tolerances of the rules.
type Limits struct {
	Answer     time.Duration // how long after the client's deadline a final answer may come
	Grace      time.Duration // how long attempts may still go to a worker known to be leaving
	Held       time.Duration // how long a read state may be held with no attempt that uses it
	TimeBudget time.Duration // by how much the time given to a worker may exceed what is left
	AfterEnd   time.Duration // how long after its client left or was answered an attempt may arrive
	Overlap    time.Duration // how long a worker may take to see that an attempt was cancelled
	Window     time.Duration // how long after its first run a by-key request may be repeated
	Slack      time.Duration // added to each bound, for scheduling delays of the test machine
	Cold       Cold
}

// Outcome is how a request ended for its client.
type Outcome uint8

// The ways in which a request ends.
const (
	Served     Outcome = iota
	Broken             // the answer began and ended without its last part
	Refused            // not run, so the client may repeat it safely
	Failed             // may have run
	Unanswered         // the router closed the connection without an answer
)

var finals = [...]string{"served", "broken", "refused", "failed", "unanswered"}

// String implements fmt.Stringer.
func (f Outcome) String() string { return finals[f] }

// AttemptOutcome is how an attempt ended at its worker.
type AttemptOutcome uint8

// The ways in which an attempt ends.
const (
	Read       AttemptOutcome = iota // the prompt was read, and its state is held
	Began                            // the answer has begun
	NeverRan                         // rejected
	MayHaveRun                       // anything else
)

type request struct {
	id            string
	effect        logic.Effect
	sent          time.Time
	deadline      time.Time
	answerBegan   time.Time // when the client received its first part; zero: not yet
	answering     bool      // a worker has begun an answer
	router        string
	finals        []Outcome
	ended         time.Time // time of the first of finals
	clientLeft    time.Time // zero: the client has not disconnected
	excused       bool
	reachedWorker bool        // an attempt has arrived at a worker
	heldSince     time.Time   // zero: no read state is held
	runs          []time.Time // arrivals of attempts that may have run
	openAttempts  []*Attempt
	candidates    []*Attempt // attempts that may have answered, in order of arrival
}

// forwardedAttempt returns the attempt whose answer the client received: the last one to arrive
// before the answer began, or the last one of all if no answer has begun. A router has at most one
// open attempt at a time.
func (r *request) forwardedAttempt() *Attempt {
	for _, a := range slices.Backward(r.candidates) {
		if r.answerBegan.IsZero() || !a.arrived.After(r.answerBegan) {
			return a
		}
	}
	return nil
}

// Attempt is an attempt of a router as its worker sees it.
type Attempt struct {
	judge        *Judge
	request      *request
	worker       string
	reader       bool
	arrived      time.Time
	nextArrived  time.Time // first arrival of another attempt while this one was open; zero: none
	holdsState   bool      // a read state was held when it arrived
	disconnected bool      // its worker can't see how it ends for the router
	complete     bool      // its worker has written its answer to the end
	ended        bool
	endedAt      time.Time
}

// Judge collects observations and the violations found in them. It is safe for concurrent use.
type Judge struct {
	limits Limits

	mu         sync.Mutex
	requests   map[string]*request
	leaving    map[exclusion]time.Time // since when each one counts as known
	violations []Violation
	attempts   int
	arrivals   map[workerRole][]arrival
	starts     []coldStart
}

// exclusion is a reason for a router to send no new attempts to a worker.
type exclusion struct {
	router, worker string
	byOperator     bool // an operator suspended the worker; else discovery lists it as leaving
}

// New returns a judge without observations.
func New(l Limits) *Judge {
	return &Judge{limits: l, requests: map[string]*request{}, leaving: map[exclusion]time.Time{}, arrivals: map[workerRole][]arrival{}}
}

func (j *Judge) violate(r *request, rule Rule, format string, args ...any) {
	if !r.excused {
		j.violations = append(j.violations, Violation{rule, r.id, fmt.Sprintf(format, args...)})
	}
}

// Sent records that a client has written a whole request to a router and waits for patience from
// then on. It is called again, and the client's time starts over, when the request is sent once
// more because its connection was closed before the router had read it.
func (j *Judge) Sent(id string, effect logic.Effect, router string, at time.Time, patience time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	r := j.requests[id]
	if r == nil {
		r = &request{id: id, effect: effect}
		j.requests[id] = r
	}
	r.router, r.sent, r.deadline = router, at, at.Add(patience)
}

// Excuse exempts a request from all rules from now on, as when its router was killed.
func (j *Judge) Excuse(id string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if r := j.requests[id]; r != nil {
		r.excused = true
	}
}

// Final records the end of a request for its client.
func (j *Judge) Final(id string, end Outcome, at time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	r := j.requests[id]
	if r.finals = append(r.finals, end); len(r.finals) == 1 {
		r.ended = at
	}
	switch {
	case end == Unanswered:
		j.violate(r, Lost, "the connection to %s ended without an answer", r.router)
	case end != Broken && at.Sub(r.deadline) > j.limits.Answer+j.limits.Slack:
		j.violate(r, Lost, "%s %v after its client's deadline", end, at.Sub(r.deadline))
	case end == Refused && r.effect == logic.EffectOnce && len(r.runs) > 0:
		j.violate(r, Duplicate, "refused though it may have run")
	}
	if len(r.finals) > 1 {
		j.violate(r, Lost, "ended more than once: %v", r.finals)
	}
}

// Began records that a client received the first part of its answer. Its end has no deadline.
func (j *Judge) Began(id string, at time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	r := j.requests[id]
	if at.Sub(r.deadline) > j.limits.Answer+j.limits.Slack {
		j.violate(r, Lost, "its answer began %v after its client's deadline", at.Sub(r.deadline))
	}
	r.answerBegan, r.deadline = at, at.Add(time.Hour)
}

// Left records that a client has closed its connection.
func (j *Judge) Left(id string, at time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.requests[id].clientLeft = at
}

// Leaving records that a router counts as knowing from a time on that a worker is leaving.
func (j *Judge) Leaving(router, worker string, from time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.leaving[exclusion{router, worker, false}] = from
}

// Suspended records that a router confirmed to an operator, at a time, that it suspended a worker.
func (j *Judge) Suspended(router, worker string, at time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.leaving[exclusion{router, worker, true}] = at
}

// Resumed records that an operator ends a worker's suspension at a router.
func (j *Judge) Resumed(router, worker string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	delete(j.leaving, exclusion{router, worker, true})
}

// ExcuseUnread exempts a request from all rules if none of its attempts reached a worker: its
// connection may have been closed before the router read it.
func (j *Judge) ExcuseUnread(id string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if r := j.requests[id]; r != nil && !r.reachedWorker {
		r.excused = true
	}
}

// Returned records that a worker is no longer leaving, so a router may send to it again.
func (j *Judge) Returned(router, worker string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	delete(j.leaving, exclusion{router, worker, false})
}

// Arrived records that a worker has received an attempt to its last byte, with sentTimeout as the
// time that the router gave it. It returns nil for a request that no client sent.
func (j *Judge) Arrived(id, worker string, reader bool, at time.Time, sentTimeout time.Duration) *Attempt {
	j.mu.Lock()
	defer j.mu.Unlock()
	r := j.requests[id]
	if r == nil {
		return nil
	}
	j.attempts++
	role := workerRole{worker, reader}
	j.arrivals[role] = append(j.arrivals[role], arrival{at, r.router})
	r.reachedWorker = true
	if from, ok := j.leaving[exclusion{r.router, worker, false}]; ok && at.Sub(from) > j.limits.Grace+j.limits.Slack {
		j.violate(r, Drain, "%s sent to %s %v after the worker's leaving was known", r.router, worker, at.Sub(from))
	}
	if from, ok := j.leaving[exclusion{r.router, worker, true}]; ok && at.Sub(from) > j.limits.Grace+j.limits.Slack {
		j.violate(r, Drain, "%s sent to %s %v after it confirmed the worker's suspension", r.router, worker, at.Sub(from))
	}
	if !r.clientLeft.IsZero() && at.Sub(r.clientLeft) > j.limits.AfterEnd+j.limits.Slack {
		j.violate(r, AfterEnd, "arrived at %s %v after its client had disconnected", worker, at.Sub(r.clientLeft))
	}
	if !r.ended.IsZero() && at.Sub(r.ended) > j.limits.AfterEnd+j.limits.Slack {
		j.violate(r, AfterEnd, "arrived at %s %v after its final answer", worker, at.Sub(r.ended))
	}
	if left := r.deadline.Sub(at); sentTimeout > left+j.limits.TimeBudget+j.limits.Slack && r.clientLeft.IsZero() {
		j.violate(r, TimeBudget, "%s was given %v by %s with %v left, %v after the request was sent", worker, sentTimeout, r.router, left, at.Sub(r.sent))
	}
	for _, other := range r.openAttempts {
		if other.nextArrived.IsZero() {
			other.nextArrived = at
		}
	}
	a := &Attempt{judge: j, request: r, worker: worker, reader: reader, arrived: at}
	r.openAttempts = append(r.openAttempts, a)
	if !reader {
		r.candidates = append(r.candidates, a)
		a.holdsState = !r.heldSince.IsZero()
		j.releaseState(r, at)
		j.recordRun(r, worker, at)
	}
	return a
}

// recordRun records an attempt that may run, and checks it against the runs before it. The caller
// holds the lock.
func (j *Judge) recordRun(r *request, worker string, at time.Time) {
	r.runs = append(r.runs, at)
	switch first := r.runs[0]; {
	case len(r.runs) == 1:
	case r.effect == logic.EffectOnce:
		j.violate(r, Duplicate, "arrived at %s though it may have run before", worker)
	case r.effect == logic.EffectByKey && at.Sub(first) > j.limits.Window+j.limits.Slack:
		j.violate(r, Duplicate, "arrived at %s %v after its first run", worker, at.Sub(first))
	}
}

// releaseState ends the time for which a read state was held without use, and checks that time. The
// caller holds the lock.
func (j *Judge) releaseState(r *request, at time.Time) {
	if r.heldSince.IsZero() {
		return
	}
	if d := at.Sub(r.heldSince); d > j.limits.Held+j.limits.Slack {
		j.violate(r, Pinned, "read state held for %v", d)
	}
	r.heldSince = time.Time{}
}

// Ended records how the attempt ended; only the first call counts. It does nothing for a nil
// attempt.
func (a *Attempt) Ended(outcome AttemptOutcome, at time.Time) {
	if a == nil {
		return
	}
	j, r := a.judge, a.request
	j.mu.Lock()
	defer j.mu.Unlock()
	if a.ended {
		return
	}
	a.ended, a.endedAt = true, at
	r.openAttempts = slices.DeleteFunc(r.openAttempts, func(o *Attempt) bool { return o == a })
	if a.disconnected {
		return
	}
	if !a.nextArrived.IsZero() && at.Sub(a.nextArrived) > j.limits.Overlap+j.limits.Slack {
		j.violate(r, Duplicate, "open at %s for %v together with another attempt", a.worker, at.Sub(a.nextArrived))
	}
	if outcome == NeverRan && !a.reader {
		r.runs = slices.DeleteFunc(r.runs, func(t time.Time) bool { return t.Equal(a.arrived) })
	}
	switch {
	case outcome == Began: // a worker that answers has released the read state
		r.heldSince = time.Time{}
		r.answering = true
	case a.reader && outcome == Read, a.holdsState && !r.passState():
		r.heldSince = at
	}
}

// passState assigns the read state of an attempt that has ended to an open attempt at a writer. The
// end of an attempt may be recorded after the arrival of the next one. It reports whether the state
// needs no holder: an open attempt took it, or an answer has begun.
func (r *request) passState() bool {
	for _, later := range r.openAttempts {
		if !later.reader {
			later.holdsState = true
			return true
		}
	}
	return r.answering
}

// CutOff records that the connection between the worker and its router failed while the attempt was
// open or its answer was on the way. The worker then can't see when the attempt ends for the
// router, nor whether the router received the report of a read state. The attempt remains open
// while the router waits for the answer.
func (a *Attempt) CutOff() {
	if a == nil {
		return
	}
	a.judge.mu.Lock()
	defer a.judge.mu.Unlock()
	a.disconnected = true
	if r := a.request; a.reader && !r.heldSince.IsZero() && r.heldSince.Equal(a.endedAt) {
		r.heldSince = time.Time{}
	}
}

// Whole records that a worker has written its answer to the end.
func (a *Attempt) Whole() {
	if a == nil {
		return
	}
	a.judge.mu.Lock()
	defer a.judge.mu.Unlock()
	a.complete = true
}

// Released records that a worker was asked to release the read state that it holds for a request.
func (j *Judge) Released(id string, at time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	r := j.requests[id]
	if r == nil {
		return
	}
	j.releaseState(r, at) // a state that an open attempt uses is not affected
}

// Violations returns all violations, sorted by rule and request. It is called after the last
// observation.
func (j *Judge) Violations(now time.Time) []Violation {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, r := range j.requests {
		j.releaseState(r, now)
		switch {
		case len(r.finals) == 0 && r.clientLeft.IsZero():
			j.violate(r, Lost, "no final answer")
		case slices.Contains(r.finals, Broken):
			if a := r.forwardedAttempt(); a != nil && a.complete {
				j.violate(r, Lost, "its answer was cut off although %s had written all of it", a.worker)
			}
		}
	}
	j.checkStarts()
	out := slices.Clone(j.violations)
	slices.SortFunc(out, func(a, b Violation) int {
		return cmp.Or(cmp.Compare(a.Rule, b.Rule), cmp.Compare(a.Request, b.Request))
	})
	return out
}

// Counts returns the number of requests and of attempts, and how many requests ended in each way.
func (j *Judge) Counts() (requests, attempts int, ends map[Outcome]int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	ends = map[Outcome]int{}
	for _, r := range j.requests {
		for _, f := range r.finals {
			ends[f]++
		}
	}
	return len(j.requests), j.attempts, ends
}

// Streaming reports whether an answer of the router's that began at or before a time is still open.
func (j *Judge) Streaming(router string, begun time.Time) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, r := range j.requests {
		if r.router == router && !r.answerBegan.IsZero() && !r.answerBegan.After(begun) && len(r.finals) == 0 && r.clientLeft.IsZero() {
			return true
		}
	}
	return false
}

// Open returns the requests of a router that have not ended, hold a read state or have an open
// attempt.
func (j *Judge) Open(router string) (ids []string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for id, r := range j.requests {
		if r.router == router && (len(r.finals) == 0 || !r.heldSince.IsZero() || len(r.openAttempts) > 0) {
			ids = append(ids, id)
		}
	}
	return ids
}
