package membership

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// source is one source and what it has said.
type source struct {
	Policy
	rank     int
	spoken   bool
	full     bool // it has listed a worker before
	version  uint64
	lastWord time.Time
	failed   time.Time // since when it is stale; zero: it is not
	fault    string
	expired  bool
	listings map[string]*listing
	live     int // listings that hold a worker: serving or draining
	damped   int
	pass     uint64 // numbers the whole reports, to tell what one left out
	loss     *loss  // held, not believed yet
	// standing counts, for each priority, the listings whose worker could serve.
	standing map[int]int
	levels   map[int]map[*listing]struct{} // all live listings by priority
	best     int                           // the priority in use
	// silentSet tells that a timer for its silence is set.
	silentSet bool
}

// loss is an absence of many that waits for its confirmation.
type loss struct {
	first  time.Time
	times  int
	empty  bool
	before int  // listed before it
	byOne  bool // told by changes, so not repeated
	gone   []*listing
}

// noPriority is worse than any that is listed.
const noPriority = math.MaxInt

// listing is one source's word on one worker.
type listing struct {
	src   *source
	key   string
	entry Entry
	at    time.Time // when the word was first said
	// listedAt is when the source began to list it, in Unix nanoseconds; 0 if
	// that was with its first report that listed any.
	listedAt  int64
	pass      uint64
	held      bool // the source's last report leaves it out, which is not believed yet
	left      bool // it has been absent or gone before
	penalty   float64
	penaltyAt time.Time
	damped    bool
	forgets   bool // a timer to forget it is set
	standing  bool
	worker    *worker
}

// isLive tells whether the source lists the worker, whatever it says of it.
func (l *listing) isLive() bool { return live(l.entry.Word) }

func live(w Word) bool { return w <= Draining }

// holds tells whether the listing holds its worker in the set.
func (l *listing) holds() bool { return l.isLive() && !l.damped && !l.src.expired }

// active tells whether the listing's priority is in use.
func (l *listing) active() bool { return l.entry.Priority <= l.src.best }

func newSource(p Policy, rank int) *source {
	return &source{Policy: p, rank: rank, listings: map[string]*listing{}, standing: map[int]int{},
		levels: map[int]map[*listing]struct{}{}, best: noPriority}
}

// report takes a report and returns what in it made no sense; such entries leave
// their workers as they were.
func (s *Set) report(src *source, now time.Time, r *Report) (problems []error, err error) {
	if len(r.Entries) > MaxEntries {
		return nil, fmt.Errorf("source %s: %w", src.Name, ErrTooMany)
	}
	if r.Version != 0 && r.Version < src.version && !r.Anew {
		return nil, fmt.Errorf("source %s: version %d after %d: %w", src.Name, r.Version, src.version, ErrOldVersion)
	}
	src.version = r.Version
	src.pass++
	before := src.live
	var gone []*listing
	for i := range r.Entries {
		e := &r.Entries[i]
		old := src.listings[e.key()]
		if err := e.Check(); err != nil {
			problems = append(problems, err)
			if old != nil {
				old.pass = src.pass // spoilt is not left out
			}
			continue
		}
		if old != nil && old.pass == src.pass && r.Whole {
			problems = append(problems, fmt.Errorf("worker %q is listed twice, at %s and at %s", e.label(), old.entry.Addr, e.Addr))
			if !better(e, &old.entry) {
				continue
			}
		}
		if e.Word == Absent {
			if old != nil && old.isLive() {
				old.pass = src.pass
				gone = append(gone, old)
			}
			continue
		}
		s.say(src, now, e)
	}
	if r.Whole {
		for _, l := range src.listings {
			if l.pass != src.pass && l.isLive() {
				gone = append(gone, l)
			}
		}
	}
	s.miss(src, now, r, gone, before)
	src.heard(now)
	s.later(src, now)
	return problems, nil
}

// better chooses between two entries of one report for the same worker.
func better(a, b *Entry) bool {
	if a.Word != b.Word {
		return a.Word > b.Word // the explicit one
	}
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	return a.Addr < b.Addr
}

// heard notes that the source has spoken.
func (src *source) heard(now time.Time) {
	src.full = src.full || src.live > 0
	src.spoken, src.lastWord, src.failed, src.fault = true, now, time.Time{}, ""
}

// say takes one entry: it is no absence.
func (s *Set) say(src *source, now time.Time, e *Entry) {
	l := src.listings[e.key()]
	if l == nil {
		if !live(e.Word) && len(src.listings) >= 2*MaxEntries {
			return // the end of a worker that it never listed
		}
		l = &listing{src: src, key: e.key(), at: now, entry: Entry{Word: Absent}}
		src.listings[l.key] = l
		s.attach(l)
	}
	l.pass = src.pass
	wasHeld := l.held
	l.held = false
	next := *e
	if next.Addr == "" {
		next.Addr = l.entry.Addr
	}
	if next == l.entry {
		if wasHeld {
			s.touch(l.worker)
		}
		return
	}
	wasLive, was := l.isLive(), l.entry.Word
	if was != next.Word {
		l.at = now
	}
	s.unrank(l)
	l.entry = next
	s.rank(l)
	if !wasLive && l.isLive() {
		l.listedAt = 0
		if src.full {
			l.listedAt = now.UnixNano()
		}
		if l.left {
			s.flapped(l, now)
		}
	}
	if !l.isLive() {
		s.leave(l, now)
	}
	s.touch(l.worker)
}

// leave notes that a listing holds nothing any more.
func (s *Set) leave(l *listing, now time.Time) {
	l.left = true
	if l.damped {
		s.undamp(l)
	}
	if !l.forgets {
		l.forgets = true
		s.at(now.Add(remember), timer{kind: forget, listing: l})
	}
	if l.entry.Word == Gone && l.src.GoneFor > 0 {
		s.at(now.Add(l.src.GoneFor), timer{kind: pardon, listing: l})
	}
}

// miss takes what a report leaves out, or drops without a word. The share that
// it drops is that of the workers listed before it, or before the loss began.
func (s *Set) miss(src *source, now time.Time, r *Report, gone []*listing, before int) {
	if len(gone) == 0 {
		if r.Whole || src.loss != nil && src.loss.allBack() {
			src.loss = nil
		}
		return
	}
	empty := len(gone) == src.live && r.Whole && (src.EmptyTimes > 1 || src.EmptyOver > 0)
	times, over := src.LossTimes, src.LossOver
	if src.loss != nil {
		before = src.loss.before
	}
	bound := src.LossShare > 0 && float64(len(gone)) > src.LossShare*float64(before)
	if empty {
		times, over, bound = src.EmptyTimes, src.EmptyOver, true
	}
	if !bound || r.Final {
		if r.Whole {
			src.loss = nil
		}
		s.drop(gone, now)
		return
	}
	if src.loss == nil || src.loss.empty != empty {
		src.loss = &loss{first: now, empty: empty, before: before}
	}
	src.loss.times++
	src.loss.byOne = !r.Whole
	if r.Whole {
		src.loss.gone = nil
	}
	src.loss.gone = append(src.loss.gone, gone...)
	if (src.loss.byOne || src.loss.times >= times) && now.Sub(src.loss.first) >= over {
		gone, src.loss = src.loss.gone, nil
		s.drop(gone, now)
		return
	}
	for _, l := range gone {
		if !l.held {
			l.held = true
			s.touch(l.worker)
		}
	}
	if src.loss.byOne {
		s.at(src.loss.first.Add(over), timer{kind: confirm, src: src})
	}
}

func (l *loss) allBack() bool {
	return !slices.ContainsFunc(l.gone, func(g *listing) bool { return g.held })
}

// drop makes the listings absent. An explicit draining stays as a gone: a worker
// that was drained and then left out has gone.
func (s *Set) drop(gone []*listing, now time.Time) {
	for _, l := range gone {
		if !l.isLive() {
			continue
		}
		s.unrank(l)
		l.held, l.at = false, now
		if l.entry.Word == Draining {
			l.entry.Word = Gone
		} else {
			l.entry.Word = Absent
		}
		s.leave(l, now)
		s.touch(l.worker)
	}
}

// flapped counts one return of a worker and keeps it out if there were too many.
func (s *Set) flapped(l *listing, now time.Time) {
	d := l.src.Damping
	if d.HalfLife <= 0 {
		return
	}
	l.penalty = l.worn(now) + 1
	l.penaltyAt = now
	if l.damped || l.penalty < d.Suppress {
		return
	}
	if float64(l.src.damped+1) > math.Max(1, d.Share*float64(l.src.live)) {
		return // too many at once: that is not the workers' doing
	}
	l.damped = true
	l.src.damped++
	s.at(now.Add(l.reuseIn()), timer{kind: reuse, listing: l})
}

// worn is the penalty as it has faded by now.
func (l *listing) worn(now time.Time) float64 {
	if l.penalty == 0 {
		return 0
	}
	return l.penalty * math.Exp2(-float64(now.Sub(l.penaltyAt))/float64(l.src.Damping.HalfLife))
}

// reuseIn is how long it takes from penaltyAt until the penalty has faded enough.
func (l *listing) reuseIn() time.Duration {
	d := l.src.Damping
	return time.Duration(math.Ceil(float64(d.HalfLife)*math.Log2(l.penalty/d.Reuse))) + 1
}

func (s *Set) undamp(l *listing) {
	l.damped = false
	l.src.damped--
}

// rank books a live listing under its priority.
func (s *Set) rank(l *listing) {
	if !l.isLive() {
		return
	}
	l.src.live++
	level := l.src.levels[l.entry.Priority]
	if level == nil {
		level = map[*listing]struct{}{}
		l.src.levels[l.entry.Priority] = level
	}
	level[l] = struct{}{}
}

func (s *Set) unrank(l *listing) {
	s.stand(l, false)
	if !l.isLive() {
		return
	}
	l.src.live--
	level := l.src.levels[l.entry.Priority]
	delete(level, l)
	if len(level) == 0 {
		delete(l.src.levels, l.entry.Priority)
	}
}

// stand books whether the listing's worker could serve.
func (s *Set) stand(l *listing, standing bool) {
	if l.standing == standing {
		return
	}
	l.standing = standing
	p := l.entry.Priority
	if standing {
		l.src.standing[p]++
	} else if l.src.standing[p]--; l.src.standing[p] == 0 {
		delete(l.src.standing, p)
	}
	s.shifted[l.src] = struct{}{}
}

// fail marks a source as failed.
func (s *Set) fail(src *source, now time.Time, fault string) {
	src.fault = fault
	if src.failed.IsZero() {
		src.failed = now
		if src.Keep > 0 {
			s.at(now.Add(src.Keep), timer{kind: expire, src: src})
		}
	}
}

// expire lets go of a stale list, or takes it up again.
func (s *Set) expire(src *source, expired bool) {
	if src.expired == expired {
		return
	}
	src.expired = expired
	for _, l := range src.listings {
		s.touch(l.worker)
	}
}

// later sets the timer of a source that has spoken.
func (s *Set) later(src *source, now time.Time) {
	s.expire(src, false)
	if src.Silent > 0 && !src.silentSet {
		src.silentSet = true
		s.at(now.Add(src.Silent), timer{kind: silent, src: src})
	}
}
