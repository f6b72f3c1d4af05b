// Package judge holds what clients, workers and discovery saw of a fleet of routers against the rules that the routers have
// to keep. It is pure: it is told what happened, and when, and says what broke a rule. Whoever plays the others' parts tells
// it, and what they saw is the truth; routers say nothing here.
package judge

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"

	"lichenshelf/logic"
)

// Rule is one of the rules.
type Rule string

// The rules.
const (
	Lost      Rule = "lost"      // no final answer, or one that came too late, or more than one
	Duplicate Rule = "duplicate" // ran more than once, or two copies were out at once, or refused though it may have run
	Drain     Rule = "drain"     // sent to a worker that was known to leave
	Pinned    Rule = "pinned"    // a read state was held too long
	Told      Rule = "told"      // a worker was told more time than the client had left
	Gone      Rule = "gone"      // an attempt began for a client that had gone
	Failback  Rule = "failback"  // a worker that had just started got more than it bears
)

// Violation is one broken rule.
type Violation struct {
	Rule    Rule
	Request string
	What    string
}

// String implements fmt.Stringer.
func (v Violation) String() string {
	return fmt.Sprintf("%s: request %s: %s", v.Rule, v.Request, v.What)
}

// Limits are what the rules allow. Slack is added to each bound: for a machine that is late itself.
type Limits struct {
	Answer time.Duration // after the client's time, for the final answer
	Grace  time.Duration // after a leaving counts as known, for what is sent
	Held   time.Duration // for a read state that no attempt carries
	Told   time.Duration // beyond what is left
	Gone   time.Duration // after a client's close, for an attempt to begin
	Copies time.Duration // for a worker to see that an attempt was given up
	Window time.Duration // for repeats of a by-key request, from the first one's arrival
	Slack  time.Duration
	Cold   Cold
}

// Final is how a request ended for its client.
type Final uint8

// The ends.
const (
	Served     Final = iota
	Broken           // the answer began and was ended without its last part
	Refused          // with the promise that a repeat does no harm
	Failed           // without it
	Unanswered       // the router ended the connection with no answer
)

var finals = [...]string{"served", "broken", "refused", "failed", "unanswered"}

// String implements fmt.Stringer.
func (f Final) String() string { return finals[f] }

// Fate is how an attempt ended at its worker.
type Fate uint8

// The fates.
const (
	Read       Fate = iota // the prompt was read, and its state waits
	Began                  // the answer has begun
	NeverRan               // turned away
	MayHaveRun             // anything else
)

type request struct {
	id       string
	effect   logic.Effect
	sent     time.Time
	deadline time.Time
	began    time.Time // for its client; zero: not
	streamed bool      // its answer has begun at a worker
	router   string
	finals   []Final
	ended    time.Time // when the first of them came
	left     time.Time
	excused  bool
	seen     bool      // an attempt has come at a worker
	held     time.Time // since when a read state waits; zero: none does
	runs     []time.Time
	out      []*Attempt
	answers  []*Attempt // all that may have answered, in the order of their arrival
}

// forwarded is the attempt whose answer the client has: the last one that had come when that began, or the last one of all where
// that is not known. A router has one attempt out at a time.
func (r *request) forwarded() *Attempt {
	for _, a := range slices.Backward(r.answers) {
		if r.began.IsZero() || !a.at.After(r.began) {
			return a
		}
	}
	return nil
}

// Attempt is one attempt as its worker sees it.
type Attempt struct {
	judge   *Judge
	request *request
	worker  string
	reader  bool
	at      time.Time
	next    time.Time // when another one arrived while this one was out; zero: none did
	carries bool      // a read state waited for it
	cutOff  bool      // its worker can't see how it ends for the router
	whole   bool      // its worker has written a stream to its end
	ended   bool
	endedAt time.Time
}

// Judge keeps what was seen. It is safe for use from any goroutine.
type Judge struct {
	limits Limits

	mu       sync.Mutex
	requests map[string]*request
	leaving  map[ban]time.Time // from when on it counts as known
	broken   []Violation
	attempts int
	arrivals map[workerRole][]arrival
	starts   []coldStart
}

// ban is a reason for a router to send nothing new to a worker.
type ban struct {
	router, worker string
	byHand         bool // an operator took it out; else discovery told that it leaves
}

// New returns a judge that has seen nothing.
func New(l Limits) *Judge {
	return &Judge{limits: l, requests: map[string]*request{}, leaving: map[ban]time.Time{}, arrivals: map[workerRole][]arrival{}}
}

func (j *Judge) violate(r *request, rule Rule, format string, args ...any) {
	if !r.excused {
		j.broken = append(j.broken, Violation{rule, r.id, fmt.Sprintf(format, args...)})
	}
}

// Sent notes a request of a client that waits so long, written whole to a router at a time; also one that is sent once more,
// since its connection had been closed before it was read: its time begins anew then.
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

// Excuse frees a request of all rules from now on: its router was killed outright.
func (j *Judge) Excuse(id string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if r := j.requests[id]; r != nil {
		r.excused = true
	}
}

// Final notes the end of a request for its client.
func (j *Judge) Final(id string, end Final, at time.Time) {
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
		j.violate(r, Lost, "%s %v after its client's time", end, at.Sub(r.deadline))
	case end == Refused && r.effect == logic.EffectOnce && len(r.runs) > 0:
		j.violate(r, Duplicate, "refused though it may have run")
	}
	if len(r.finals) > 1 {
		j.violate(r, Lost, "ended more than once: %v", r.finals)
	}
}

// Began notes that a served answer has begun: from there on no time binds its end.
func (j *Judge) Began(id string, at time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	r := j.requests[id]
	if at.Sub(r.deadline) > j.limits.Answer+j.limits.Slack {
		j.violate(r, Lost, "its answer began %v after its client's time", at.Sub(r.deadline))
	}
	r.began, r.deadline = at, at.Add(time.Hour)
}

// Left notes that a client has closed its connection.
func (j *Judge) Left(id string, at time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.requests[id].left = at
}

// Leaving notes that a worker's leaving counts as known to a router from a time on.
func (j *Judge) Leaving(router, worker string, from time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.leaving[ban{router, worker, false}] = from
}

// Suspended notes that an operator has a router's yes, given at a time, to sending a worker nothing.
func (j *Judge) Suspended(router, worker string, at time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.leaving[ban{router, worker, true}] = at
}

// Resumed notes that an operator calls the worker back.
func (j *Judge) Resumed(router, worker string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	delete(j.leaving, ban{router, worker, true})
}

// ExcuseUnread frees a request of all rules if no worker has seen it: its connection could be shut before it was read.
func (j *Judge) ExcuseUnread(id string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if r := j.requests[id]; r != nil && !r.seen {
		r.excused = true
	}
}

// Returned notes that a worker may be sent to again by a router.
func (j *Judge) Returned(router, worker string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	delete(j.leaving, ban{router, worker, false})
}

// Arrived notes an attempt whose last byte has come at a worker. It is nil for a request that no client sent.
func (j *Judge) Arrived(id, worker string, reader bool, at time.Time, told time.Duration) *Attempt {
	j.mu.Lock()
	defer j.mu.Unlock()
	r := j.requests[id]
	if r == nil {
		return nil
	}
	j.attempts++
	role := workerRole{worker, reader}
	j.arrivals[role] = append(j.arrivals[role], arrival{at, r.router})
	r.seen = true
	if from, ok := j.leaving[ban{r.router, worker, false}]; ok && at.Sub(from) > j.limits.Grace+j.limits.Slack {
		j.violate(r, Drain, "%s sent to %s %v after its leaving counted as known", r.router, worker, at.Sub(from))
	}
	if from, ok := j.leaving[ban{r.router, worker, true}]; ok && at.Sub(from) > j.limits.Grace+j.limits.Slack {
		j.violate(r, Drain, "%s sent to %s %v after it said that it is out by hand", r.router, worker, at.Sub(from))
	}
	if !r.left.IsZero() && at.Sub(r.left) > j.limits.Gone+j.limits.Slack {
		j.violate(r, Gone, "at %s %v after its client had gone", worker, at.Sub(r.left))
	}
	if !r.ended.IsZero() && at.Sub(r.ended) > j.limits.Gone+j.limits.Slack {
		j.violate(r, Gone, "at %s %v after its final answer", worker, at.Sub(r.ended))
	}
	if left := r.deadline.Sub(at); told > left+j.limits.Told+j.limits.Slack && r.left.IsZero() {
		j.violate(r, Told, "%s was told %v by %s, where %v are left, %v after it was sent", worker, told, r.router, left, at.Sub(r.sent))
	}
	for _, other := range r.out {
		if other.next.IsZero() {
			other.next = at
		}
	}
	a := &Attempt{judge: j, request: r, worker: worker, reader: reader, at: at}
	r.out = append(r.out, a)
	if !reader {
		r.answers = append(r.answers, a)
		a.carries = !r.held.IsZero()
		j.take(r, at)
		j.run(r, worker, at)
	}
	return a
}

// run notes an attempt that may have its effect; the lock is held.
func (j *Judge) run(r *request, worker string, at time.Time) {
	r.runs = append(r.runs, at)
	switch first := r.runs[0]; {
	case len(r.runs) == 1:
	case r.effect == logic.EffectOnce:
		j.violate(r, Duplicate, "at %s though it may have run before", worker)
	case r.effect == logic.EffectByKey && at.Sub(first) > j.limits.Window+j.limits.Slack:
		j.violate(r, Duplicate, "at %s %v after its first run", worker, at.Sub(first))
	}
}

// take notes that a read state is taken or let go of; the lock is held.
func (j *Judge) take(r *request, at time.Time) {
	if r.held.IsZero() {
		return
	}
	if d := at.Sub(r.held); d > j.limits.Held+j.limits.Slack {
		j.violate(r, Pinned, "held for %v", d)
	}
	r.held = time.Time{}
}

// Ended notes how the attempt ended. A nil attempt is passed over.
func (a *Attempt) Ended(fate Fate, at time.Time) {
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
	r.out = slices.DeleteFunc(r.out, func(o *Attempt) bool { return o == a })
	if a.cutOff {
		return
	}
	if !a.next.IsZero() && at.Sub(a.next) > j.limits.Copies+j.limits.Slack {
		j.violate(r, Duplicate, "out at %s for %v beside another attempt", a.worker, at.Sub(a.next))
	}
	if fate == NeverRan && !a.reader {
		r.runs = slices.DeleteFunc(r.runs, func(t time.Time) bool { return t.Equal(a.at) })
	}
	switch {
	case fate == Began: // which lets go of the rest
		r.held = time.Time{}
		r.streamed = true
	case a.reader && fate == Read, a.carries && !r.passOn():
		r.held = at
	}
}

// passOn hands a state on that an attempt waited for whose end comes late to this judge: to the attempt that has arrived at a writer
// since, or nowhere, if that one's answer has begun.
func (r *request) passOn() bool {
	for _, later := range r.out {
		if !later.reader {
			later.carries = true
			return true
		}
	}
	return r.streamed
}

// CutOff notes that the way between the worker and its router fails while the attempt is out, or while its answer is under way:
// when it ends for the router, and whether that has heard of a read state, its worker can't see. While the router waits for the
// answer the attempt is out.
func (a *Attempt) CutOff() {
	if a == nil {
		return
	}
	a.judge.mu.Lock()
	defer a.judge.mu.Unlock()
	a.cutOff = true
	if r := a.request; a.reader && !r.held.IsZero() && r.held.Equal(a.endedAt) {
		r.held = time.Time{}
	}
}

// Whole notes that a worker has written its answer to the end.
func (a *Attempt) Whole() {
	if a == nil {
		return
	}
	a.judge.mu.Lock()
	defer a.judge.mu.Unlock()
	a.whole = true
}

// Released notes that a worker was asked to let go of what is held for a request and no attempt waits for.
func (j *Judge) Released(id string, at time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	r := j.requests[id]
	if r == nil {
		return
	}
	j.take(r, at) // what an attempt that is out waits for stays
}

// Verdict is all that broke a rule, once nothing more happens.
func (j *Judge) Verdict(now time.Time) []Violation {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, r := range j.requests {
		j.take(r, now)
		switch {
		case len(r.finals) == 0 && r.left.IsZero():
			j.violate(r, Lost, "it has no answer")
		case slices.Contains(r.finals, Broken):
			if a := r.forwarded(); a != nil && a.whole {
				j.violate(r, Lost, "its answer was cut off, and %s had written all of it", a.worker)
			}
		}
	}
	j.overloads()
	out := slices.Clone(j.broken)
	slices.SortFunc(out, func(a, b Violation) int {
		return cmp.Or(cmp.Compare(a.Rule, b.Rule), cmp.Compare(a.Request, b.Request))
	})
	return out
}

// Counts tells how many requests and attempts were seen, and how requests ended.
func (j *Judge) Counts() (requests, attempts int, ends map[Final]int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	ends = map[Final]int{}
	for _, r := range j.requests {
		for _, f := range r.finals {
			ends[f]++
		}
	}
	return len(j.requests), j.attempts, ends
}

// Streaming tells whether an answer of the router's that had begun by a time has not ended.
func (j *Judge) Streaming(router string, begun time.Time) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, r := range j.requests {
		if r.router == router && !r.began.IsZero() && !r.began.After(begun) && len(r.finals) == 0 && r.left.IsZero() {
			return true
		}
	}
	return false
}

// Open names the requests of a router that have no end yet.
func (j *Judge) Open(router string) (ids []string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for id, r := range j.requests {
		if r.router == router && (len(r.finals) == 0 || !r.held.IsZero() || len(r.out) > 0) {
			ids = append(ids, id)
		}
	}
	return ids
}
