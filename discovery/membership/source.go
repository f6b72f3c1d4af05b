package membership

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// source is one source with all that it has reported.
type source struct {
	Policy
	rank         int
	reported     bool
	listedBefore bool // an earlier report has listed a worker
	version      uint64
	lastReport   time.Time
	failedAt     time.Time // when it became stale; zero: it is not
	fault        string
	expired      bool
	listings     map[string]*listing
	live         int // listings with status Serving or Draining
	damped       int
	reportNumber uint64 // counts the reports, to find the listings that one left out
	loss         *loss  // a loss that is not confirmed yet
	// servable counts, by priority, the listings whose worker can be served.
	servable       map[int]int
	liveByPriority map[int]map[*listing]struct{} // all live listings by priority
	bestPriority   int                           // the priority in use
	// silenceTimerSet reports whether a timerSilent is scheduled.
	silenceTimerSet bool
}

// loss is the absence of many workers that awaits confirmation.
type loss struct {
	first      time.Time
	times      int
	empty      bool
	liveBefore int  // live listings before it
	byChanges  bool // reported by changes, so not repeated
	missing    []*listing
}

// noPriority is worse than any listed priority.
const noPriority = math.MaxInt

// listing is one source's entry for one worker.
type listing struct {
	src         *source
	key         string
	entry       Entry
	statusSince time.Time // when the status was first reported
	// listedAt is when the source began to list the worker, in Unix nanoseconds; 0 if that was in
	// its first report with any worker.
	listedAt       int64
	reportNumber   uint64
	held           bool // the last report leaves it out, which is not confirmed yet
	leftBefore     bool // it has been Absent or Gone before
	penalty        float64
	penaltyAt      time.Time
	damped         bool
	forgetTimerSet bool // a timerForget is scheduled
	servable       bool
	worker         *worker
}

// isLive reports whether the source lists the worker, as Serving or Draining.
func (l *listing) isLive() bool { return isLiveStatus(l.entry.Status) }

func isLiveStatus(s Status) bool { return s <= Draining }

// isEffective reports whether the listing counts: it is live, not damped, and its source not
// expired.
func (l *listing) isEffective() bool { return l.isLive() && !l.damped && !l.src.expired }

// priorityInUse reports whether the listing's priority is in use.
func (l *listing) priorityInUse() bool { return l.entry.Priority <= l.src.bestPriority }

func newSource(p Policy, rank int) *source {
	return &source{Policy: p, rank: rank, listings: map[string]*listing{}, servable: map[int]int{},
		liveByPriority: map[int]map[*listing]struct{}{}, bestPriority: noPriority}
}

// report applies a report and returns its invalid entries as problems; their workers keep their
// state.
func (s *Set) report(src *source, now time.Time, r *Report) (problems []error, err error) {
	if len(r.Entries) > MaxEntries {
		return nil, fmt.Errorf("source %s: %w", src.Name, ErrTooMany)
	}
	if r.Version != 0 && r.Version < src.version && !r.VersionReset {
		return nil, fmt.Errorf("source %s: version %d after %d: %w", src.Name, r.Version, src.version, ErrOldVersion)
	}
	src.version = r.Version
	src.reportNumber++
	liveBefore := src.live
	var missing []*listing
	for i := range r.Entries {
		e := &r.Entries[i]
		old := src.listings[e.key()]
		if err := e.Check(); err != nil {
			problems = append(problems, err)
			if old != nil {
				old.reportNumber = src.reportNumber // an invalid entry does not count as left out
			}
			continue
		}
		if old != nil && old.reportNumber == src.reportNumber && r.Whole {
			problems = append(problems, fmt.Errorf("worker %q is listed twice, at %s and at %s", e.label(), old.entry.Addr, e.Addr))
			if !preferred(e, &old.entry) {
				continue
			}
		}
		if e.Status == Absent {
			if old != nil && old.isLive() {
				old.reportNumber = src.reportNumber
				missing = append(missing, old)
			}
			continue
		}
		s.applyEntry(src, now, e)
	}
	if r.Whole {
		for _, l := range src.listings {
			if l.reportNumber != src.reportNumber && l.isLive() {
				missing = append(missing, l)
			}
		}
	}
	s.applyMissing(src, now, r, missing, liveBefore)
	src.markReported(now)
	s.armSilenceTimer(src, now)
	return problems, nil
}

// preferred reports whether a is used rather than b, of two entries in one report for the same
// worker.
func preferred(a, b *Entry) bool {
	if a.Status != b.Status {
		return a.Status > b.Status // the explicit status
	}
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	return a.Addr < b.Addr
}

// markReported records that the source has sent a valid report.
func (src *source) markReported(now time.Time) {
	src.listedBefore = src.listedBefore || src.live > 0
	src.reported, src.lastReport, src.failedAt, src.fault = true, now, time.Time{}, ""
}

// applyEntry applies one entry that is not Absent.
func (s *Set) applyEntry(src *source, now time.Time, e *Entry) {
	l := src.listings[e.key()]
	if l == nil {
		if !isLiveStatus(e.Status) && len(src.listings) >= 2*MaxEntries {
			return // the source reports the end of a worker that it never listed
		}
		l = &listing{src: src, key: e.key(), statusSince: now, entry: Entry{Status: Absent}}
		src.listings[l.key] = l
		s.attach(l)
	}
	l.reportNumber = src.reportNumber
	wasHeld := l.held
	l.held = false
	next := *e
	if next.Addr == "" {
		next.Addr = l.entry.Addr
	}
	if next == l.entry {
		if wasHeld {
			s.markDirty(l.worker)
		}
		return
	}
	wasLive, previousStatus := l.isLive(), l.entry.Status
	if previousStatus != next.Status {
		l.statusSince = now
	}
	s.removeLive(l)
	l.entry = next
	s.addLive(l)
	if !wasLive && l.isLive() {
		l.listedAt = 0
		if src.listedBefore {
			l.listedAt = now.UnixNano()
		}
		if l.leftBefore {
			s.recordReturn(l, now)
		}
	}
	if !l.isLive() {
		s.markLeft(l, now)
	}
	s.markDirty(l.worker)
}

// markLeft records that a listing is no longer live and schedules its removal.
func (s *Set) markLeft(l *listing, now time.Time) {
	l.leftBefore = true
	if l.damped {
		s.undamp(l)
	}
	if !l.forgetTimerSet {
		l.forgetTimerSet = true
		s.schedule(now.Add(forgetAfter), timer{kind: timerForget, listing: l})
	}
	if l.entry.Status == Gone && l.src.GoneFor > 0 {
		s.schedule(now.Add(l.src.GoneFor), timer{kind: timerGoneEnds, listing: l})
	}
}

// applyMissing handles the listings that a report leaves out or marks as Absent: it drops them, or
// holds them until the loss is confirmed. The share lost is measured against the workers listed
// before the report or, during a loss, before the loss began.
func (s *Set) applyMissing(src *source, now time.Time, r *Report, missing []*listing, liveBefore int) {
	if len(missing) == 0 {
		if r.Whole || src.loss != nil && src.loss.allReturned() {
			src.loss = nil
		}
		return
	}
	empty := len(missing) == src.live && r.Whole && (src.EmptyTimes > 1 || src.EmptyOver > 0)
	times, over := src.LossTimes, src.LossOver
	if src.loss != nil {
		liveBefore = src.loss.liveBefore
	}
	exceeded := src.LossShare > 0 && float64(len(missing)) > src.LossShare*float64(liveBefore)
	if empty {
		times, over, exceeded = src.EmptyTimes, src.EmptyOver, true
	}
	if !exceeded || r.Confirmed {
		if r.Whole {
			src.loss = nil
		}
		s.dropListings(missing, now)
		return
	}
	if src.loss == nil || src.loss.empty != empty {
		src.loss = &loss{first: now, empty: empty, liveBefore: liveBefore}
	}
	src.loss.times++
	src.loss.byChanges = !r.Whole
	if r.Whole {
		src.loss.missing = nil
	}
	src.loss.missing = append(src.loss.missing, missing...)
	if (src.loss.byChanges || src.loss.times >= times) && now.Sub(src.loss.first) >= over {
		missing, src.loss = src.loss.missing, nil
		s.dropListings(missing, now)
		return
	}
	for _, l := range missing {
		if !l.held {
			l.held = true
			s.markDirty(l.worker)
		}
	}
	if src.loss.byChanges {
		s.schedule(src.loss.first.Add(over), timer{kind: timerConfirmLoss, src: src})
	}
}

// allReturned reports whether all missing listings have been reported again.
func (l *loss) allReturned() bool {
	return !slices.ContainsFunc(l.missing, func(g *listing) bool { return g.held })
}

// dropListings makes the listings Absent. A listing that was Draining becomes Gone: a worker that
// was drained and then left out has ended.
func (s *Set) dropListings(missing []*listing, now time.Time) {
	for _, l := range missing {
		if !l.isLive() {
			continue
		}
		s.removeLive(l)
		l.held, l.statusSince = false, now
		if l.entry.Status == Draining {
			l.entry.Status = Gone
		} else {
			l.entry.Status = Absent
		}
		s.markLeft(l, now)
		s.markDirty(l.worker)
	}
}

// recordReturn adds one return of a worker to its penalty and damps it if the penalty is too high.
func (s *Set) recordReturn(l *listing, now time.Time) {
	d := l.src.Damping
	if d.HalfLife <= 0 {
		return
	}
	l.penalty = l.decayedPenalty(now) + 1
	l.penaltyAt = now
	if l.damped || l.penalty < d.Suppress {
		return
	}
	if float64(l.src.damped+1) > math.Max(1, d.Share*float64(l.src.live)) {
		return // too many at once: the source is at fault, not the workers
	}
	l.damped = true
	l.src.damped++
	s.schedule(now.Add(l.untilReuse()), timer{kind: timerReuse, listing: l})
}

// decayedPenalty returns the penalty as decayed until now.
func (l *listing) decayedPenalty(now time.Time) float64 {
	if l.penalty == 0 {
		return 0
	}
	return l.penalty * math.Exp2(-float64(now.Sub(l.penaltyAt))/float64(l.src.Damping.HalfLife))
}

// untilReuse returns how long the penalty takes from penaltyAt until it has decayed to the reuse
// limit.
func (l *listing) untilReuse() time.Duration {
	d := l.src.Damping
	return time.Duration(math.Ceil(float64(d.HalfLife)*math.Log2(l.penalty/d.Reuse))) + 1
}

func (s *Set) undamp(l *listing) {
	l.damped = false
	l.src.damped--
}

// addLive adds a live listing to its source's counts and to the index by priority.
func (s *Set) addLive(l *listing) {
	if !l.isLive() {
		return
	}
	l.src.live++
	listings := l.src.liveByPriority[l.entry.Priority]
	if listings == nil {
		listings = map[*listing]struct{}{}
		l.src.liveByPriority[l.entry.Priority] = listings
	}
	listings[l] = struct{}{}
}

// removeLive undoes addLive, before the listing's entry changes.
func (s *Set) removeLive(l *listing) {
	s.setServable(l, false)
	if !l.isLive() {
		return
	}
	l.src.live--
	listings := l.src.liveByPriority[l.entry.Priority]
	delete(listings, l)
	if len(listings) == 0 {
		delete(l.src.liveByPriority, l.entry.Priority)
	}
}

// setServable records whether the listing's worker can be served.
func (s *Set) setServable(l *listing, servable bool) {
	if l.servable == servable {
		return
	}
	l.servable = servable
	priority := l.entry.Priority
	if servable {
		l.src.servable[priority]++
	} else if l.src.servable[priority]--; l.src.servable[priority] == 0 {
		delete(l.src.servable, priority)
	}
	s.servableChanged[l.src] = struct{}{}
}

// markFailed marks a source as failed.
func (s *Set) markFailed(src *source, now time.Time, fault string) {
	src.fault = fault
	if src.failedAt.IsZero() {
		src.failedAt = now
		if src.Keep > 0 {
			s.schedule(now.Add(src.Keep), timer{kind: timerExpire, src: src})
		}
	}
}

// setExpired records whether a source's list has expired; an expired list does not count.
func (s *Set) setExpired(src *source, expired bool) {
	if src.expired == expired {
		return
	}
	src.expired = expired
	for _, l := range src.listings {
		s.markDirty(l.worker)
	}
}

// armSilenceTimer reinstates the list of a source that has just sent a report, and schedules the
// check for its silence.
func (s *Set) armSilenceTimer(src *source, now time.Time) {
	s.setExpired(src, false)
	if src.Silent > 0 && !src.silenceTimerSet {
		src.silenceTimerSet = true
		s.schedule(now.Add(src.Silent), timer{kind: timerSilent, src: src})
	}
}
