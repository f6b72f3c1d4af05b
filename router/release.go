package router

import "time"

// crossing is how long a read that was cut off may still end well at its worker.
// What it left behind by then is let go of a second time.
const crossing = 60 * time.Millisecond

// releaseRetryAfter is the pause before a release that nobody took is made again.
const releaseRetryAfter = 250 * time.Millisecond

// mostReleaseRetries bounds how often that is done, to some 30 s with the time that each release takes: by then readers have dropped
// what nobody used, or are gone.
const mostReleaseRetries = 36

// releaser lets go of the read states that workers hold for requests.
type releaser struct {
	core      *Core
	transport Transport
	count     Counters
}

// release lets go of what is held for a request and no attempt waits for: it may be called while one is out. A release can
// overtake the end of a read that was cut off, so in that case a second one follows, unless the request is being read
// elsewhere by then, whose state it would take away.
func (r *releaser) release(ex *exchange) {
	r.count.Add("releases", 1)
	if ex.attempt != nil {
		r.count.Add("releases_beside_an_attempt", 1)
	}
	r.core.guard.note(ex, "release", ex.rules.Released(time.Now()))
	r.ask(ex)
	if !ex.unsure {
		return
	}
	ex.unsure = false
	sends := ex.sends
	time.AfterFunc(crossing, func() {
		r.core.post(func() {
			if ex.sends == sends && !ex.answered {
				r.ask(ex)
			}
		})
	})
}

// ask asks the workers once. It goes on a connection of its own, so an attempt
// that is sent right after it could be overtaken, and the state that a new read
// leaves be lost to it: that attempt waits.
func (r *releaser) ask(ex *exchange) {
	ex.releases++
	sends := ex.sends
	r.core.letting.Add(1)
	ex.history.add(step{kind: stepReleaseAsked})
	r.transport.Release(ex.Name, r.core.workers.running(), func(by *Worker, err error) {
		r.core.letting.Add(-1)
		r.core.post(func() { r.done(ex, sends, by, err) })
	})
}

// done takes the end of a release that was asked for after so many sends: the worker that took it, or why none did.
func (r *releaser) done(ex *exchange, sends int, by *Worker, err error) {
	ex.releases--
	switch {
	case err != nil:
		ex.history.add(step{kind: stepReleaseFailed, text: err.Error()})
		r.askLater(ex, sends)
	case by != nil:
		ex.history.add(step{kind: stepReleaseTaken, worker: by})
	}
	switch {
	case ex.releases > 0:
	case ex.attempt != nil:
		r.core.sender.start(ex.attempt)
	default:
		r.core.admission.next(ex)
	}
	r.core.admission.report(ex)
}

// askLater asks again after a moment, unless the request has been sent on since, or another one has its name: a release would
// take away what is read for that.
func (r *releaser) askLater(ex *exchange, sends int) {
	if ex.sends != sends || ex.releaseRetries == mostReleaseRetries {
		return
	}
	ex.releaseRetries++
	time.AfterFunc(releaseRetryAfter, func() {
		r.core.post(func() {
			other := r.core.admission.names[ex.Name]
			if ex.sends != sends || ex.answered || other != nil && other != ex {
				return
			}
			r.count.Add("releases_made_again", 1)
			r.ask(ex)
		})
	})
}
