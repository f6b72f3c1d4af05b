package router

import "time"

// cutOffReadGrace is how long a read that was cut off may still complete at its worker. State that
// it stores within this time is removed by a second release.
const cutOffReadGrace = 60 * time.Millisecond

// releaseRetryDelay is the pause before a release that no worker accepted is retried.
const releaseRetryDelay = 250 * time.Millisecond

// maxReleaseRetries bounds these retries to some 30 s, including the time that each release takes:
// by then readers have dropped unused state, or have left.
const maxReleaseRetries = 36

// releaser releases the read states that workers hold for requests.
type releaser struct {
	core      *Core
	transport Transport
	count     Counters
}

// release releases the state that is held for a request and that no attempt waits for; it may be
// called while an attempt is in flight. A release can overtake the end of a read that was cut off.
// In that case a second one follows, unless the request is being read elsewhere by then, because
// the release would remove that state.
func (r *releaser) release(ex *exchange) {
	r.count.Add("releases", 1)
	if ex.attempt != nil {
		r.count.Add("releases_beside_an_attempt", 1)
	}
	r.core.guard.record(ex, "release", ex.rules.Released(time.Now()))
	r.request(ex)
	if !ex.readCutOff {
		return
	}
	ex.readCutOff = false
	sends := ex.sends
	time.AfterFunc(cutOffReadGrace, func() {
		r.core.post(func() {
			if ex.sends == sends && !ex.answered {
				r.request(ex)
			}
		})
	})
}

// request asks the workers once. A release uses a connection of its own, so an attempt that is sent
// right after it could reach its worker first, and the release would then remove the state of the
// new read. Therefore such an attempt waits for the release.
func (r *releaser) request(ex *exchange) {
	ex.openReleases++
	sends := ex.sends
	r.core.releasesInFlight.Add(1)
	ex.history.add(step{kind: stepReleaseAsked})
	r.transport.Release(ex.Name, r.core.workers.running(), func(by *Worker, err error) {
		r.core.releasesInFlight.Add(-1)
		r.core.post(func() { r.done(ex, sends, by, err) })
	})
}

// done handles the end of a release that was requested after the given number of sends: by is the
// worker that accepted it, and err is the reason why none did.
func (r *releaser) done(ex *exchange, sends int, by *Worker, err error) {
	ex.openReleases--
	switch {
	case err != nil:
		ex.history.add(step{kind: stepReleaseFailed, text: err.Error()})
		r.retryLater(ex, sends)
	case by != nil:
		ex.history.add(step{kind: stepReleaseTaken, worker: by})
	}
	switch {
	case ex.openReleases > 0:
	case ex.attempt != nil:
		r.core.sender.start(ex.attempt)
	default:
		r.core.admission.advanceQueue(ex)
	}
	r.core.admission.report(ex)
}

// retryLater repeats the release after releaseRetryDelay, unless the request has been sent again
// since, or another request has its name: the release would remove the state that is read for that.
func (r *releaser) retryLater(ex *exchange, sends int) {
	if ex.sends != sends || ex.releaseRetries == maxReleaseRetries {
		return
	}
	ex.releaseRetries++
	time.AfterFunc(releaseRetryDelay, func() {
		r.core.post(func() {
			other := r.core.admission.byName[ex.Name]
			if ex.sends != sends || ex.answered || other != nil && other != ex {
				return
			}
			r.count.Add("releases_made_again", 1)
			r.request(ex)
		})
	})
}
