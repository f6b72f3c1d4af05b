// Package dispatch decides which workers are called to release what they hold for requests, for all
// releases that are open at the same time. It does no I/O, and the time is passed in.
//
// A release is done once one running worker has accepted it. Which workers run is not known
// beforehand: when workers fail together, many releases start at once, and most of the workers that
// were used last may be silent. So what one release learns about a worker serves all others: a
// worker that is not known to run gets one call at a time, a worker that has just accepted a release
// gets the waiting ones, as many at a time as its window allows.
package dispatch

import (
	"slices"
	"time"
)

const (
	// Timeout bounds a release as a whole if no worker has accepted any for as long.
	Timeout = 600 * time.Millisecond
	// maxTimeout bounds a release while workers accept others: one of them will accept it soon.
	maxTimeout = 5 * Timeout
	// waveInterval is how long the workers called so far may stay silent before further ones are
	// called, twice as many each time. Half of those are drawn at random: the workers that answered
	// latest may have failed together. With four in five of hundreds of workers unreachable, all of
	// the 63 drawn within 120 ms are unreachable once in a million times.
	waveInterval = 20 * time.Millisecond
	// retryInterval is how long a worker is not called after a call to it failed.
	retryInterval = 50 * time.Millisecond
	// maxProbes bounds the calls in flight to workers that are not known to run. At first the bound
	// is initialProbes; it doubles after each waveInterval in which no worker accepted a release.
	initialProbes = 32
	maxProbes     = 128
	// maxExtraCalls bounds the calls in flight beyond one for each open release. Where answers are late
	// because this process gets little processor time, more calls make them later.
	maxExtraCalls = 128
	// maxDraws bounds how many workers are considered for one call of a wave.
	maxDraws = 16
	// noConnectionPause is how long no call is started after one found no connection.
	noConnectionPause = 10 * time.Millisecond
	// A running worker that has accepted nothing for answerTimeFactor times the usual answer time,
	// within these bounds, may have failed. The answer time is that of accepted calls as this process
	// sees it: where it gets little processor time, workers are not silent but read late.
	minAnswerWait    = 2 * waveInterval
	maxAnswerWait    = 200 * time.Millisecond
	answerTimeFactor = 4
	// answerTimeSmoothing is the share, one in so many, that each call has in the smoothed answer time.
	answerTimeSmoothing = 8
)

// Outcome is how a call ended.
type Outcome uint8

// The possible outcomes of a call.
const (
	Accepted     Outcome = iota
	Failed               // the worker refused the release, or did not answer in time
	CalledOff            // its release ended meanwhile; that says nothing about the worker
	NoConnection         // no connection could be had; that says nothing about the worker
)

// Release is one release.
type Release[W comparable] struct {
	openedAt   time.Time
	closed     bool
	candidates []W  // the workers that may be called, in order of preference
	next       int  // index of the next candidate that is taken in order
	drawNext   bool // the next candidate is drawn at random
	inFlight   int
	due        int       // calls that may be started now
	wave       int       // how many calls become due next
	waveAt     time.Time // when calls last became due
	offeredTo  *target   // the running worker that was last called for it and has not failed; nil: none
}

// Call is a call to one worker for one release.
type Call[W comparable] struct {
	Release *Release[W]
	Worker  W

	target    *target
	probe     bool // the worker was not known to run
	startedAt time.Time
}

// Plan holds the open releases and what their calls have shown about workers. It is not safe for
// concurrent use.
type Plan[W comparable] struct {
	draw        func(n int) int // returns a random number below n
	open        []*Release[W]   // the oldest first
	targets     map[W]*target
	running     []W           // workers that accepted a release lately, in no order
	probes      int           // calls in flight to workers that are not known to run
	extraCalls  int           // calls in flight for open releases, beyond one for each
	acceptedAt  time.Time     // when a worker last accepted a release
	answerTime  time.Duration // smoothed time from the start of a call to its acceptance
	probeLimit  int           // the bound on probes
	raiseAt     time.Time     // when probeLimit doubles
	pausedUntil time.Time
}

// New returns a plan. draw returns a random number that is not negative and less than n.
func New[W comparable](draw func(n int) int) *Plan[W] {
	return &Plan[W]{draw: draw, targets: map[W]*target{}}
}

// Add opens a release. The workers are its candidates in order of preference.
func (p *Plan[W]) Add(now time.Time, workers []W) *Release[W] {
	if len(p.open) == 0 {
		// The workers that answered last may have failed together since.
		clear(p.targets)
		p.running, p.answerTime, p.acceptedAt = nil, 0, time.Time{}
		p.lowerProbeLimit(now)
	}
	r := &Release[W]{openedAt: now, candidates: workers, due: 1, wave: 2, waveAt: now}
	p.open = append(p.open, r)
	return r
}

// Open returns the number of open releases.
func (p *Plan[W]) Open() int { return len(p.open) }

// Next returns the calls to start now, at most limit of them, and closes the releases whose time is
// over. The caller reports the end of each call to Ended.
func (p *Plan[W]) Next(now time.Time, limit int) (calls []Call[W], expired []*Release[W]) {
	p.dropSilent(now)
	expired = p.expire(now)
	if now.Before(p.pausedUntil) {
		return nil, expired
	}
	p.raiseProbeLimit(now)
	for _, r := range p.open {
		p.advanceWave(now, r)
	}
	calls = p.offerFirst(now, limit)
	for _, r := range p.open {
		for r.due > 0 && len(calls) < limit {
			call, ok := p.nextCall(now, r)
			if !ok {
				break
			}
			calls = append(calls, call)
		}
	}
	return calls, expired
}

// offerFirst starts a call to a running worker for each release that had none so far: they go before
// further calls for the others.
func (p *Plan[W]) offerFirst(now time.Time, limit int) (calls []Call[W]) {
	for _, r := range p.open {
		if len(calls) == limit || !p.hasRunningRoom() {
			break
		}
		if r.due == 0 || r.offeredTo != nil {
			continue
		}
		if w, ok := p.pickRunning(r); ok {
			calls = append(calls, p.start(now, r, w))
		}
	}
	return calls
}

// nextCall starts a call for a release that has one due: to a running worker if there is one for it,
// else to one that is not known to run. It returns false if neither may be called.
func (p *Plan[W]) nextCall(now time.Time, r *Release[W]) (call Call[W], ok bool) {
	if r.inFlight > 0 && p.extraCalls >= maxExtraCalls {
		return call, false
	}
	if w, ok := p.pickRunning(r); ok {
		return p.start(now, r, w), true
	}
	if p.probes >= p.probeLimit {
		return call, false
	}
	if w, ok := p.pickProbe(now, r); ok {
		return p.start(now, r, w), true
	}
	return call, false
}

// lowerProbeLimit sets the bound on probes to its initial value.
func (p *Plan[W]) lowerProbeLimit(now time.Time) {
	p.probeLimit, p.raiseAt = initialProbes, now.Add(waveInterval)
}

// raiseProbeLimit doubles the bound on probes once no worker has accepted a release for waveInterval.
func (p *Plan[W]) raiseProbeLimit(now time.Time) {
	if !now.Before(p.raiseAt) {
		p.probeLimit, p.raiseAt = min(2*p.probeLimit, maxProbes), now.Add(waveInterval)
	}
}

// expire closes the releases whose time is over.
func (p *Plan[W]) expire(now time.Time) (expired []*Release[W]) {
	timeout := Timeout
	if now.Sub(p.acceptedAt) < Timeout {
		timeout = maxTimeout
	}
	for len(p.open) > 0 && now.Sub(p.open[0].openedAt) >= timeout {
		r := p.open[0]
		p.closeRelease(r)
		expired = append(expired, r)
	}
	return expired
}

// advanceWave makes the next calls due once the previous ones have been unanswered for too long.
func (p *Plan[W]) advanceWave(now time.Time, r *Release[W]) {
	wait := waveInterval
	if len(p.running) > 0 {
		wait = p.answerWait()
	}
	if now.Sub(r.waveAt) < wait {
		return
	}
	r.due = min(r.due+r.wave, maxProbes)
	r.wave = min(2*r.wave, maxProbes)
	r.waveAt = now
}

// hasRunningRoom reports whether a running worker may be called.
func (p *Plan[W]) hasRunningRoom() bool {
	return slices.ContainsFunc(p.running, func(w W) bool { return p.targets[w].hasRoom() })
}

// start records a call to a worker.
func (p *Plan[W]) start(now time.Time, r *Release[W], w W) Call[W] {
	t := p.targets[w]
	if t == nil {
		t = newTarget()
		p.targets[w] = t
	}
	probe := !t.running
	if probe {
		p.probes++
	}
	t.start(now)
	r.due--
	r.inFlight++
	if r.inFlight > 1 {
		p.extraCalls++
	}
	if t.running {
		r.offeredTo = t
	}
	return Call[W]{Release: r, Worker: w, target: t, probe: probe, startedAt: now}
}

// pickRunning returns a running candidate with room in its window that was not the last one to be
// offered the release: of those with the fewest calls in flight the one that accepted last.
func (p *Plan[W]) pickRunning(r *Release[W]) (w W, ok bool) {
	var best *target
	for _, candidate := range p.running {
		t := p.targets[candidate]
		if t.hasRoom() && t != r.offeredTo && (best == nil || t.isBetterThan(best)) && slices.Contains(r.candidates, candidate) {
			w, best = candidate, t
		}
	}
	return w, best != nil
}

// pickProbe returns a candidate of the release that is not known to run and may be called now, every
// second one drawn at random.
func (p *Plan[W]) pickProbe(now time.Time, r *Release[W]) (w W, ok bool) {
	for draws := 0; draws < maxDraws && len(r.candidates) > 0; draws++ {
		w = r.candidates[r.next%len(r.candidates)]
		if r.drawNext {
			w = r.candidates[p.draw(len(r.candidates))]
		} else {
			r.next++
		}
		r.drawNext = !r.drawNext
		if p.mayProbe(now, w) {
			return w, true
		}
	}
	return w, false
}

// mayProbe reports whether a worker that is not known to run may be called.
func (p *Plan[W]) mayProbe(now time.Time, w W) bool {
	t := p.targets[w]
	return t == nil || !t.running && t.hasRoom() && !now.Before(t.retryAt)
}

// dropSilent removes the workers from the running ones that have accepted nothing for too long.
func (p *Plan[W]) dropSilent(now time.Time) {
	p.running = slices.DeleteFunc(p.running, func(w W) bool {
		t := p.targets[w]
		if t.isSilent(now, p.answerWait()) {
			t.stop()
		}
		return !t.running
	})
}

// Ended reports the end of a call. It returns whether the call has closed its release, because its
// worker was the first to accept it.
func (p *Plan[W]) Ended(now time.Time, call Call[W], outcome Outcome) (closed bool) {
	r, t := call.Release, call.target
	if call.probe {
		p.probes--
	}
	if outcome == Accepted {
		p.accepted(now, call)
	}
	t.inFlight--
	if outcome == Accepted && p.closeRelease(r) {
		return true
	}
	r.inFlight--
	if r.inFlight > 0 && !r.closed {
		p.extraCalls--
	}
	switch outcome {
	case Accepted:
		return false
	case Failed:
		t.stop()
		t.retryAt = now.Add(retryInterval)
	case CalledOff:
		if call.probe && now.Sub(call.startedAt) >= waveInterval {
			t.retryAt = now.Add(retryInterval) // it was silent
		}
		return false
	case NoConnection:
		p.pausedUntil = now.Add(noConnectionPause)
	}
	r.due++
	if r.offeredTo == t {
		r.offeredTo = nil
	}
	return false
}

// accepted records that a worker accepted a release.
func (p *Plan[W]) accepted(now time.Time, call Call[W]) {
	call.target.accept(now)
	p.acceptedAt = now
	p.answerTime += (now.Sub(call.startedAt) - p.answerTime) / answerTimeSmoothing
	p.lowerProbeLimit(now)
	if p.targets[call.Worker] == call.target && !slices.Contains(p.running, call.Worker) {
		p.running = append(p.running, call.Worker)
	}
}

// answerWait returns how long a running worker may take to accept a release.
func (p *Plan[W]) answerWait() time.Duration {
	return min(max(answerTimeFactor*p.answerTime, minAnswerWait), maxAnswerWait)
}

// closeRelease removes a release from the open ones. It returns false if it was closed before.
func (p *Plan[W]) closeRelease(r *Release[W]) bool {
	i := slices.Index(p.open, r)
	if i < 0 {
		return false
	}
	p.open = slices.Delete(p.open, i, i+1)
	p.extraCalls -= max(r.inFlight-1, 0)
	r.closed = true
	return true
}

// Forget drops what is known of a worker that has left or restarted.
func (p *Plan[W]) Forget(w W) {
	delete(p.targets, w)
	p.running = slices.DeleteFunc(p.running, func(other W) bool { return other == w })
}
