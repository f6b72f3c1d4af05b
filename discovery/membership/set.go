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

// Set is the workers that all sources together list. Work done for a report of
// changes grows with the changes, not with the set.
type Set struct {
	sources []*source
	byName  map[string]*source
	workers map[string]*worker
	sites   map[string]*site
	timers  timers
	dirty   map[*site]struct{}
	shifted map[*source]struct{} // whose standing has changed
	serving int
}

// New returns an empty set. The order of the sources is their precedence: where
// they disagree on what nobody is explicit about, the first one is believed.
func New(policies ...Policy) (*Set, error) {
	s := &Set{byName: map[string]*source{}, workers: map[string]*worker{}, sites: map[string]*site{},
		dirty: map[*site]struct{}{}, shifted: map[*source]struct{}{}}
	_, err := s.Configure(time.Time{}, policies...)
	return s, err
}

// Configure takes other sources. Those that stay keep what they have said, the
// words of those that are left out are void. An error changes nothing.
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
			s.expire(src, false)
		}
		for _, l := range src.listings {
			if l.damped && p.Damping.HalfLife <= 0 {
				s.undamp(l)
			}
			s.touch(l.worker)
		}
		if !src.failed.IsZero() && src.Keep > 0 {
			s.at(latest(now, src.failed.Add(src.Keep)), timer{kind: expire, src: src})
		}
		if src.spoken && src.Silent > 0 && !src.silentSet {
			src.silentSet = true
			s.at(latest(now, src.lastWord.Add(src.Silent)), timer{kind: silent, src: src})
		}
	}
	return s.settle(), nil
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Report takes what a source says. The problems are entries that make no sense:
// their workers stay as they were. An error means that the report was dropped
// whole: ErrUnknownSource, ErrOldVersion, ErrTooMany.
func (s *Set) Report(now time.Time, r Report) (changes []Change, problems []error, err error) {
	src := s.byName[r.Source]
	if src == nil {
		return nil, nil, fmt.Errorf("report of %q: %w", r.Source, ErrUnknownSource)
	}
	s.advance(now)
	problems, err = s.report(src, now, &r)
	return s.settle(), problems, err
}

// Fail notes that a source could not be read, with what went wrong. Its list
// stays, marked stale.
func (s *Set) Fail(now time.Time, name, fault string) []Change {
	s.advance(now)
	if src := s.byName[name]; src != nil {
		s.fail(src, now, fault)
	}
	return s.settle()
}

// Advance does what has come due. Call it at the time that Next tells.
func (s *Set) Advance(now time.Time) []Change {
	s.advance(now)
	return s.settle()
}

// Next is when something comes due next.
func (s *Set) Next() (time.Time, bool) {
	if len(s.timers) == 0 {
		return time.Time{}, false
	}
	return s.timers[0].at, true
}

// Serving is the number of workers that may be sent something new.
func (s *Set) Serving() int { return s.serving }

// Members is the whole set, by name.
func (s *Set) Members() []Member {
	var out []Member
	for _, w := range s.workers {
		if w.in {
			out = append(out, w.out)
		}
	}
	slices.SortFunc(out, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// attach finds the worker that a listing is of.
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

// remove forgets a listing whole, with its word.
func (s *Set) remove(l *listing) {
	s.unrank(l)
	if l.damped {
		s.undamp(l)
	}
	delete(l.src.listings, l.key)
	w := l.worker
	w.listings = slices.DeleteFunc(w.listings, func(o *listing) bool { return o == l })
	s.touch(w)
}

// touch has a worker judged anew, with all others at its address.
func (s *Set) touch(w *worker) {
	key := w.addr()
	if key == "" {
		key = w.key // nowhere: a place of its own
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

// settle brings the outcome up to date and returns how it has changed. Who is in
// and who could serve comes first, since that tells which priorities are in use.
func (s *Set) settle() []Change {
	if len(s.dirty) == 0 {
		return nil
	}
	for at := range s.dirty {
		at.judge()
		for _, w := range at.workers {
			for _, l := range w.listings {
				s.stand(l, at.standing(l))
			}
		}
	}
	for src := range s.shifted {
		s.choose(src)
	}
	clear(s.shifted)
	var changes []Change
	for at := range s.dirty {
		for _, w := range at.workers {
			if c, changed := s.update(w); changed {
				changes = append(changes, c)
			}
		}
		at.workers = slices.DeleteFunc(at.workers, func(w *worker) bool {
			if len(w.listings) == 0 {
				delete(s.workers, w.key)
			}
			return len(w.listings) == 0
		})
		if len(at.workers) == 0 {
			delete(s.sites, at.key)
		}
	}
	clear(s.dirty)
	// Who leaves comes first, then by name, so that equal reports give equal changes.
	slices.SortFunc(changes, func(a, b Change) int {
		return cmp.Or(-cmp.Compare(a.Kind, b.Kind), strings.Compare(a.Member.Name, b.Member.Name))
	})
	return changes
}

// choose finds the best priority of a source that has a worker in service. Only
// the listings of the priorities between the old one and the new change.
func (s *Set) choose(src *source) {
	best := noPriority
	for p := range maps.Keys(src.standing) {
		best = min(best, p)
	}
	was := src.best
	src.best = best
	for p, level := range src.levels {
		if (p <= was) != (p <= best) {
			for l := range level {
				s.dirty[l.worker.site] = struct{}{}
			}
		}
	}
}

// update brings one worker up to date.
func (s *Set) update(w *worker) (Change, bool) {
	at := w.site
	if at.owner != w || at.word == Gone {
		w.reason, w.by = w.outside()
		if !w.in {
			return Change{}, false
		}
		w.in = false
		s.count(w.out, -1)
		return Change{Kind: Removed, Member: w.out, Reason: w.reason, Source: w.by}, true
	}
	m, reason, by := at.member()
	w.reason, w.by = reason, by
	was, wasIn := w.out, w.in
	if wasIn && was == m {
		return Change{}, false
	}
	w.in, w.out = true, m
	if wasIn {
		s.count(was, -1)
	}
	s.count(m, 1)
	switch {
	case !wasIn:
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

func (s *Set) count(m Member, by int) {
	if !m.Draining {
		s.serving += by
	}
}

// timer is something that comes due.
type timer struct {
	at      time.Time
	kind    timerKind
	src     *source
	listing *listing
}

type timerKind uint8

const (
	silent  timerKind = iota // src has said nothing for too long
	expire                   // src has been stale for too long
	confirm                  // a loss told by changes has stood long enough
	reuse                    // a damped listing may count again
	forget                   // a listing that holds nothing may be forgotten
	pardon                   // a gone no longer holds against others
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

func (s *Set) at(when time.Time, t timer) {
	t.at = when
	heap.Push(&s.timers, t)
}

// advance does what is due, as of the time at which it was due. A timer may have
// been overtaken: each looks whether what it was set for still holds.
func (s *Set) advance(now time.Time) {
	for len(s.timers) > 0 && !s.timers[0].at.After(now) {
		t := heap.Pop(&s.timers).(timer)
		if t.src != nil && s.byName[t.src.Name] != t.src || t.listing != nil && t.listing.src.listings[t.listing.key] != t.listing {
			continue
		}
		s.due(t, t.at)
	}
}

func (s *Set) due(t timer, now time.Time) {
	src, l := t.src, t.listing
	switch t.kind {
	case silent:
		src.silentSet = false
		switch quiet := now.Sub(src.lastWord); {
		case src.Silent <= 0 || !src.failed.IsZero():
		case quiet >= src.Silent:
			s.fail(src, src.lastWord.Add(src.Silent), fmt.Sprintf("nothing heard for %v", src.Silent))
		default:
			src.silentSet = true
			s.at(src.lastWord.Add(src.Silent), timer{kind: silent, src: src})
		}
	case expire:
		if !src.failed.IsZero() && src.Keep > 0 && now.Sub(src.failed) >= src.Keep {
			s.expire(src, true)
		}
	case confirm:
		if src.loss != nil && src.loss.byOne && now.Sub(src.loss.first) >= src.LossOver {
			gone := slices.DeleteFunc(src.loss.gone, func(l *listing) bool { return !l.held })
			src.loss = nil
			s.drop(gone, now)
		}
	case reuse:
		if l.damped {
			if left := l.penaltyAt.Add(l.reuseIn()); left.After(now) {
				s.at(left, t)
				return
			}
			s.undamp(l)
			s.touch(l.worker)
		}
	case forget:
		l.forgets = false
		switch {
		case l.isLive():
		case l.worker.site.listed() || now.Sub(l.at) < remember:
			l.forgets = true
			s.at(now.Add(remember), t)
		default:
			s.remove(l)
		}
	case pardon:
		if l.entry.Word == Gone && l.src.GoneFor > 0 && now.Sub(l.at) >= l.src.GoneFor {
			l.entry.Word = Absent
			s.touch(l.worker)
		}
	}
}

// listed tells whether any source lists a worker at the site.
func (s *site) listed() bool {
	for _, w := range s.workers {
		if slices.ContainsFunc(w.listings, (*listing).isLive) {
			return true
		}
	}
	return false
}
