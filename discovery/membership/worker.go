package membership

import (
	"cmp"
	"slices"
)

// worker is one identity: a name, or an address that is listed without one.
type worker struct {
	key      string
	listings []*listing // by the rank of their sources
	site     *site
	in       bool
	out      Member // as the router was told last
	reason   Reason
	by       string
}

func (w *worker) anonymous() bool { return w.key[0] == '@' }
func (w *worker) label() string   { return w.key[1:] }

// held tells whether any listing holds the worker.
func (w *worker) held() bool { return slices.ContainsFunc(w.listings, (*listing).holds) }

// gone tells whether any source says that it has gone.
func (w *worker) gone() bool {
	return slices.ContainsFunc(w.listings, func(l *listing) bool { return l.entry.Word == Gone })
}

// since is its latest known start.
func (w *worker) since() (since int64) {
	for _, l := range w.listings {
		if l.holds() {
			since = max(since, l.entry.Since)
		}
	}
	return since
}

// addr is where the worker is: where its latest incarnation is listed, and of
// equals, where the first source has it. A worker that nobody lists stays where
// it was heard of last.
func (w *worker) addr() string {
	var at *listing
	for _, l := range w.listings {
		if l.entry.Addr != "" && (at == nil || l.closer(at)) {
			at = l
		}
	}
	if at == nil {
		return ""
	}
	return at.entry.Addr
}

// closer tells whether l knows the address better than a listing that comes before it.
func (l *listing) closer(than *listing) bool {
	if l.holds() != than.holds() {
		return l.holds()
	}
	if l.isLive() != than.isLive() {
		return l.isLive()
	}
	if l.isLive() {
		return l.entry.Since > than.entry.Since
	}
	return l.at.After(than.at)
}

// site is one address, or the lack of one, and the workers said to be there.
type site struct {
	key     string
	workers []*worker
	owner   *worker // who is served there
	word    Word    // the explicit word on the owner, or Serving
	by      string  // whose word that is
}

// judge finds out who is at the site and what is said of it.
func (s *site) judge() {
	s.owner, s.word, s.by = s.claimant(), Serving, ""
	if s.owner == nil {
		return
	}
	rank := noPriority
	for _, w := range s.workers {
		for _, l := range w.listings {
			word := l.entry.Word
			if word != Draining && word != Gone || word < s.word || word == s.word && l.src.rank >= rank {
				continue
			}
			if w == s.owner || w.anonymous() || l.meansToo(s.owner) {
				s.word, s.by, rank = word, l.src.Name, l.src.rank
			}
		}
	}
}

// meansToo tells whether an explicit word on one name goes for another one at
// the same address, as it does when one process is listed under two names. It
// does not if the other is known to have come later: started since, or listed
// as serving by the source that has seen the first one go.
func (l *listing) meansToo(owner *worker) bool {
	if owner.since() > l.at.UnixNano() {
		return false
	}
	return l.entry.Word == Draining || !slices.ContainsFunc(owner.listings, func(o *listing) bool {
		return o.src == l.src && o.isLive()
	})
}

// claimant chooses who is at the site. A name goes before none, what is not told
// gone before what is, the latest start before others, then the first source and
// the first name. Where only the bare address is listed, it belongs to the name
// that was there last.
func (s *site) claimant() *worker {
	var bare, best, last *worker
	for _, w := range s.workers {
		switch held := w.held(); {
		case len(w.listings) == 0:
		case w.anonymous():
			if held {
				bare = w
			}
		case held:
			if best == nil || w.before(best) {
				best = w
			}
		case last == nil || w.lastSaid().at.After(last.lastSaid().at) ||
			w.lastSaid().at.Equal(last.lastSaid().at) && w.key < last.key:
			last = w
		}
	}
	switch {
	case best != nil:
		return best
	case bare != nil && last != nil:
		return last
	}
	return bare
}

func (w *worker) before(other *worker) bool {
	if w.gone() != other.gone() {
		return !w.gone()
	}
	return cmp.Or(cmp.Compare(other.since(), w.since()), cmp.Compare(w.rank(), other.rank()),
		cmp.Compare(w.key, other.key)) < 0
}

// rank is that of the first source that holds the worker.
func (w *worker) rank() int {
	for _, l := range w.listings {
		if l.holds() {
			return l.src.rank
		}
	}
	return noPriority
}

func (w *worker) lastSaid() *listing {
	return slices.MaxFunc(w.listings, func(a, b *listing) int { return a.at.Compare(b.at) })
}

// words calls f for the listings that count for the site's owner, its own and
// those of the bare address, until f returns false.
func (s *site) words(f func(*listing) bool) {
	for _, own := range []bool{true, false} {
		for _, w := range s.workers {
			if own != (w == s.owner) || !own && !w.anonymous() {
				continue
			}
			for _, l := range w.listings {
				if l.holds() && !f(l) {
					return
				}
			}
		}
	}
}

// standing tells whether a listing's worker could serve.
func (s *site) standing(l *listing) bool {
	return s.owner != nil && s.word == Serving && l.holds() && (l.worker == s.owner || l.worker.anonymous())
}

// member is the owner as the router is to use it. Its figures are those of the
// first source that lists it. One whose start nobody knows has started when it
// was first listed, but for those that were there from the beginning.
func (s *site) member() (m Member, reason Reason, by string) {
	var first, active *listing
	listedAt := int64(0)
	since := int64(0)
	s.words(func(l *listing) bool {
		if first == nil {
			first, listedAt = l, l.listedAt
		}
		if active == nil && l.active() {
			active = l
		}
		listedAt, since = min(listedAt, l.listedAt), max(since, l.entry.Since)
		return true
	})
	if since == 0 {
		since = listedAt
	}
	e := first.entry
	m = Member{Name: s.owner.label(), Addr: s.key, Weight: e.Weight, Cell: e.Cell, Zone: e.Zone, Kind: e.Kind, Since: since}
	switch {
	case s.word == Draining:
		m.Draining = true
		return m, ToldDrain, s.by
	case active == nil:
		m.Draining = true
		return m, OnStandby, first.src.Name
	}
	return m, Listed, active.src.Name
}

// out tells why a worker that is not served is out.
func (w *worker) outside() (reason Reason, by string) {
	if w.site.owner != nil && w.site.owner != w && w.held() {
		return Shadowed, w.site.owner.label()
	}
	reason = Dropped
	for _, l := range w.listings {
		switch {
		case l.entry.Word == Gone:
			return ToldGone, l.src.Name
		case l.isLive() && l.damped:
			reason, by = Damped, l.src.Name
		case l.isLive() && l.src.expired:
			reason, by = Expired, l.src.Name
		}
	}
	if w == w.site.owner && w.site.word == Gone {
		return ToldGone, w.site.by
	}
	return reason, by
}
