package membership

import (
	"cmp"
	"container/heap"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// Set holds the workers that all sources together list. The work done for a report of changes grows
// with the number of changes, not with the size of the set.
type Set struct {
	sources         []*source
	byName          map[string]*source
	workers         map[string]*worker
	sites           map[string]*site
	timers          timers
	dirty           map[*site]struct{}
	servableChanged map[*source]struct{} // whose count of servable workers has changed
	serving         int
}

// New returns an empty set. The order of the sources is their precedence: where they disagree and
// none is explicit, the first one counts.
func New(policies ...Policy) (*Set, error) {
	s := &Set{byName: map[string]*source{}, workers: map[string]*worker{}, sites: map[string]*site{},
		dirty: map[*site]struct{}{}, servableChanged: map[*source]struct{}{}}
	_, err := s.Configure(time.Time{}, policies...)
	return s, err
}

// Configure replaces the sources. Sources that remain keep what they have reported; what a source
// that is left out has reported no longer counts. An error changes nothing.
func (s *Set) Configure(now time.Time, policies ...Policy) ([]Change, error) {
	names := map[string]bool{}
	for i := range policies {
		p := &policies[i]
		if p.Name == "" || names[p.Name] {
			return nil, fmt.Errorf("source %d: name %q is empty or taken", i+1, p.Name)
		}
		names[p.Name] = true
		if key, err := p.Check(); err != nil {
			return nil, fmt.Errorf("source %s: %s %w", p.Name, key, err)
		}
	}
	s.advance(now)
	for _, src := range s.sources {
		if !names[src.Name] {
			for _, l := range src.listings {
				s.remove(l)
			}
			delete(s.byName, src.Name)
		}
	}
	s.sources = s.sources[:0]
	for i, p := range policies {
		src := s.byName[p.Name]
		if src == nil {
			src = newSource(p, i)
			s.byName[p.Name] = src
		}
		src.Policy, src.rank = p, i
		s.sources = append(s.sources, src)
	}
	for _, w := range s.workers {
		slices.SortFunc(w.listings, func(a, b *listing) int { return a.src.rank - b.src.rank })
	}
	for _, src := range s.sources {
		p := src.Policy
		if p.Keep <= 0 {
			s.setExpired(src, false)
		}
		for _, l := range src.listings {
			if l.damped && p.Damping.HalfLife <= 0 {
				s.undamp(l)
			}
			s.markDirty(l.worker)
		}
		if !src.failedAt.IsZero() && src.Keep > 0 {
			s.schedule(latest(now, src.failedAt.Add(src.Keep)), timer{kind: timerExpire, src: src})
		}
		if src.reported && src.Silent > 0 && !src.silenceTimerSet {
			src.silenceTimerSet = true
			s.schedule(latest(now, src.lastReport.Add(src.Silent)), timer{kind: timerSilent, src: src})
		}
	}
	return s.recompute(), nil
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Report applies a report of a source. The problems are invalid entries; their workers keep their
// state. An error means that the whole report was dropped: ErrUnknownSource, ErrOldVersion or
// ErrTooMany.
func (s *Set) Report(now time.Time, r Report) (changes []Change, problems []error, err error) {
	src := s.byName[r.Source]
	if src == nil {
		return nil, nil, fmt.Errorf("report of %q: %w", r.Source, ErrUnknownSource)
	}
	s.advance(now)
	problems, err = s.report(src, now, &r)
	return s.recompute(), problems, err
}

// Fail records that a source could not be read, and why. Its list is kept and marked stale.
func (s *Set) Fail(now time.Time, name, fault string) []Change {
	s.advance(now)
	if src := s.byName[name]; src != nil {
		s.markFailed(src, now, fault)
	}
	return s.recompute()
}

// Advance runs the actions that are due by now. Call it at the time that Next returns.
func (s *Set) Advance(now time.Time) []Change {
	s.advance(now)
	return s.recompute()
}

// Next returns when Advance has to be called next, and false if nothing is scheduled.
func (s *Set) Next() (time.Time, bool) {
	if len(s.timers) == 0 {
		return time.Time{}, false
	}
	return s.timers[0].at, true
}

// Serving returns the number of workers that may get new requests.
func (s *Set) Serving() int { return s.serving }

// Members returns all served and draining workers, by name.
func (s *Set) Members() []Member {
	var out []Member
	for _, w := range s.workers {
		if w.served {
			out = append(out, w.member)
		}
	}
	slices.SortFunc(out, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// attach links a listing to its worker, which it creates if necessary.
func (s *Set) attach(l *listing) {
	w := s.workers[l.key]
	if w == nil {
		w = &worker{key: l.key}
		s.workers[l.key] = w
	}
	l.worker = w
	i, _ := slices.BinarySearchFunc(w.listings, l.src.rank, func(o *listing, rank int) int { return o.src.rank - rank })
	w.listings = slices.Insert(w.listings, i, l)
}

// remove deletes a listing together with its status.
func (s *Set) remove(l *listing) {
	s.removeLive(l)
	if l.damped {
		s.undamp(l)
	}
	delete(l.src.listings, l.key)
	w := l.worker
	w.listings = slices.DeleteFunc(w.listings, func(o *listing) bool { return o == l })
	s.markDirty(w)
}

// markDirty marks the worker's site, with all other workers there, for the next recompute. It moves
// the worker to another site if its address has changed.
func (s *Set) markDirty(w *worker) {
	key := w.addr()
	if key == "" {
		key = w.key // without an address: a site of its own
	}
	if w.site == nil || w.site.key != key {
		if w.site != nil {
			w.site.workers = slices.DeleteFunc(w.site.workers, func(o *worker) bool { return o == w })
			s.dirty[w.site] = struct{}{}
		}
		w.site = s.sites[key]
		if w.site == nil {
			w.site = &site{key: key}
			s.sites[key] = w.site
		}
		w.site.workers = append(w.site.workers, w)
	}
	s.dirty[w.site] = struct{}{}
}

// recompute brings the members up to date and returns the changes. The owners of the sites and the
// servable listings come first, since they determine which priorities are in use.
func (s *Set) recompute() []Change {
	if len(s.dirty) == 0 {
		return nil
	}
	for dirtySite := range s.dirty {
		dirtySite.resolve()
		for _, w := range dirtySite.workers {
			for _, l := range w.listings {
				s.setServable(l, dirtySite.servable(l))
			}
		}
	}
	for src := range s.servableChanged {
		s.selectPriority(src)
	}
	clear(s.servableChanged)
	var changes []Change
	for dirtySite := range s.dirty {
		for _, w := range dirtySite.workers {
			if c, changed := s.update(w); changed {
				changes = append(changes, c)
			}
		}
		dirtySite.workers = slices.DeleteFunc(dirtySite.workers, func(w *worker) bool {
			if len(w.listings) == 0 {
				delete(s.workers, w.key)
			}
			return len(w.listings) == 0
		})
		if len(dirtySite.workers) == 0 {
			delete(s.sites, dirtySite.key)
		}
	}
	clear(s.dirty)
	// Removals come first, then changes by name, so that equal reports give equal changes.
	slices.SortFunc(changes, func(a, b Change) int {
		return cmp.Or(-cmp.Compare(a.Kind, b.Kind), strings.Compare(a.Member.Name, b.Member.Name))
	})
	return changes
}

// selectPriority finds the best priority of a source that has a worker in service. Only listings
// with priorities between the old and the new one are affected.
func (s *Set) selectPriority(src *source) {
	best := noPriority
	for priority := range maps.Keys(src.servable) {
		best = min(best, priority)
	}
	previous := src.bestPriority
	src.bestPriority = best
	for priority, listings := range src.liveByPriority {
		if (priority <= previous) != (priority <= best) {
			for l := range listings {
				s.dirty[l.worker.site] = struct{}{}
			}
		}
	}
}

// update brings the member of one worker up to date.
func (s *Set) update(w *worker) (Change, bool) {
	place := w.site
	if place.owner != w || place.status == Gone {
		w.reason, w.decidedBy = w.exclusion()
		if !w.served {
			return Change{}, false
		}
		w.served = false
		s.addServing(w.member, -1)
		return Change{Kind: Removed, Member: w.member, Reason: w.reason, Source: w.decidedBy}, true
	}
	m, reason, by := place.member()
	w.reason, w.decidedBy = reason, by
	was, wasServed := w.member, w.served
	if wasServed && was == m {
		return Change{}, false
	}
	w.served, w.member = true, m
	if wasServed {
		s.addServing(was, -1)
	}
	s.addServing(m, 1)
	switch {
	case !wasServed:
		return Change{Kind: Added, Member: m, Reason: reason, Source: by}, true
	case reason != Listed || was.Draining:
	case m.Addr != was.Addr:
		reason = Moved
	case m.Since > was.Since:
		reason = Restarted
	default:
		reason = Amended
	}
	return Change{Kind: Updated, Member: m, Reason: reason, Source: by}, true
}

func (s *Set) addServing(m Member, by int) {
	if !m.Draining {
		s.serving += by
	}
}

// timer is an action that is due at a later time.
type timer struct {
	at      time.Time
	kind    timerKind
	src     *source
	listing *listing
}

type timerKind uint8

const (
	timerSilent      timerKind = iota // src has sent no report for too long
	timerExpire                       // src has been stale for too long
	timerConfirmLoss                  // a loss reported by changes has lasted long enough
	timerReuse                        // a damped listing may count again
	timerForget                       // a listing that is no longer live may be deleted
	timerGoneEnds                     // a Gone no longer overrides other sources
)

type timers []timer

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].at.Before(t[j].at) }
func (t timers) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)        { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

func (s *Set) schedule(when time.Time, t timer) {
	t.at = when
	heap.Push(&s.timers, t)
}

// advance runs all due timers, each as of the time at which it was due. The state may have changed
// since a timer was set, so each one checks whether its condition still holds.
func (s *Set) advance(now time.Time) {
	for len(s.timers) > 0 && !s.timers[0].at.After(now) {
		t := heap.Pop(&s.timers).(timer)
		if t.src != nil && s.byName[t.src.Name] != t.src || t.listing != nil && t.listing.src.listings[t.listing.key] != t.listing {
			continue
		}
		s.fire(t, t.at)
	}
}

func (s *Set) fire(t timer, now time.Time) {
	src, l := t.src, t.listing
	switch t.kind {
	case timerSilent:
		src.silenceTimerSet = false
		switch silence := now.Sub(src.lastReport); {
		case src.Silent <= 0 || !src.failedAt.IsZero():
		case silence >= src.Silent:
			s.markFailed(src, src.lastReport.Add(src.Silent), fmt.Sprintf("nothing heard for %v", src.Silent))
		default:
			src.silenceTimerSet = true
			s.schedule(src.lastReport.Add(src.Silent), timer{kind: timerSilent, src: src})
		}
	case timerExpire:
		if !src.failedAt.IsZero() && src.Keep > 0 && now.Sub(src.failedAt) >= src.Keep {
			s.setExpired(src, true)
		}
	case timerConfirmLoss:
		if src.loss != nil && src.loss.byChanges && now.Sub(src.loss.first) >= src.LossOver {
			missing := slices.DeleteFunc(src.loss.missing, func(l *listing) bool { return !l.held })
			src.loss = nil
			s.dropListings(missing, now)
		}
	case timerReuse:
		if l.damped {
			if reuseAt := l.penaltyAt.Add(l.untilReuse()); reuseAt.After(now) {
				s.schedule(reuseAt, t)
				return
			}
			s.undamp(l)
			s.markDirty(l.worker)
		}
	case timerForget:
		l.forgetTimerSet = false
		switch {
		case l.isLive():
		case l.worker.site.listed() || now.Sub(l.statusSince) < forgetAfter:
			l.forgetTimerSet = true
			s.schedule(now.Add(forgetAfter), t)
		default:
			s.remove(l)
		}
	case timerGoneEnds:
		if l.entry.Status == Gone && l.src.GoneFor > 0 && now.Sub(l.statusSince) >= l.src.GoneFor {
			l.entry.Status = Absent
			s.markDirty(l.worker)
		}
	}
}

// listed reports whether any source lists a worker at the site.
func (s *site) listed() bool {
	for _, w := range s.workers {
		if slices.ContainsFunc(w.listings, (*listing).isLive) {
			return true
		}
	}
	return false
}
