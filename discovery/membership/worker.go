package membership

import (
	"cmp"
	"slices"
)

// worker is one identity: a name, or an address that is listed without a name.
type worker struct {
	key       string
	listings  []*listing // by the rank of their sources
	site      *site
	served    bool
	member    Member // as last returned in a change
	reason    Reason
	decidedBy string
}

func (w *worker) anonymous() bool { return w.key[0] == '@' }
func (w *worker) label() string   { return w.key[1:] }

// hasEffectiveListing reports whether any listing of the worker is effective.
func (w *worker) hasEffectiveListing() bool {
	return slices.ContainsFunc(w.listings, (*listing).isEffective)
}

// reportedGone reports whether any source lists the worker as Gone.
func (w *worker) reportedGone() bool {
	return slices.ContainsFunc(w.listings, func(l *listing) bool { return l.entry.Status == Gone })
}

// since returns the worker's latest known start.
func (w *worker) since() (since int64) {
	for _, l := range w.listings {
		if l.isEffective() {
			since = max(since, l.entry.Since)
		}
	}
	return since
}

// addr returns the address at which the worker's latest incarnation is listed and, among equals,
// that of the first source. A worker that no source lists keeps its last reported address.
func (w *worker) addr() string {
	var at *listing
	for _, l := range w.listings {
		if l.entry.Addr != "" && (at == nil || l.hasBetterAddr(at)) {
			at = l
		}
	}
	if at == nil {
		return ""
	}
	return at.entry.Addr
}

// hasBetterAddr reports whether l's address is used rather than that of a listing of higher rank.
func (l *listing) hasBetterAddr(than *listing) bool {
	if l.isEffective() != than.isEffective() {
		return l.isEffective()
	}
	if l.isLive() != than.isLive() {
		return l.isLive()
	}
	if l.isLive() {
		return l.entry.Since > than.entry.Since
	}
	return l.statusSince.After(than.statusSince)
}

// site is one address, or the place of a worker without one, and the workers listed there.
type site struct {
	key        string
	workers    []*worker
	owner      *worker // the worker that is served there
	status     Status  // the explicit status of the owner, or Serving
	statusFrom string  // the source that reported it
}

// resolve determines the owner of the site and its explicit status.
func (s *site) resolve() {
	s.owner, s.status, s.statusFrom = s.selectOwner(), Serving, ""
	if s.owner == nil {
		return
	}
	rank := noPriority
	for _, w := range s.workers {
		for _, l := range w.listings {
			status := l.entry.Status
			if status != Draining && status != Gone || status < s.status || status == s.status && l.src.rank >= rank {
				continue
			}
			if w == s.owner || w.anonymous() || l.appliesTo(s.owner) {
				s.status, s.statusFrom, rank = status, l.src.Name, l.src.rank
			}
		}
	}
}

// appliesTo reports whether an explicit status of one name also applies to another name at the same
// address, as it does if one process is listed under two names. It does not if the other worker is
// known to be a later process: it has started since, or the source that reported the first one as
// Gone lists it.
func (l *listing) appliesTo(owner *worker) bool {
	if owner.since() > l.statusSince.UnixNano() {
		return false
	}
	return l.entry.Status == Draining || !slices.ContainsFunc(owner.listings, func(o *listing) bool {
		return o.src == l.src && o.isLive()
	})
}

// selectOwner chooses the worker that is served at the site. A name is preferred to a bare address,
// a worker that is not reported Gone to one that is, then the latest start, the first source and
// the first name. If only the bare address is listed, it belongs to the last name that was listed
// there.
func (s *site) selectOwner() *worker {
	var bare, best, last *worker
	for _, w := range s.workers {
		switch effective := w.hasEffectiveListing(); {
		case len(w.listings) == 0:
		case w.anonymous():
			if effective {
				bare = w
			}
		case effective:
			if best == nil || w.before(best) {
				best = w
			}
		case last == nil || w.lastChanged().statusSince.After(last.lastChanged().statusSince) ||
			w.lastChanged().statusSince.Equal(last.lastChanged().statusSince) && w.key < last.key:
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

// before reports whether w is preferred to other as the owner of their site.
func (w *worker) before(other *worker) bool {
	if w.reportedGone() != other.reportedGone() {
		return !w.reportedGone()
	}
	return cmp.Or(cmp.Compare(other.since(), w.since()), cmp.Compare(w.rank(), other.rank()),
		cmp.Compare(w.key, other.key)) < 0
}

// rank returns the rank of the first source with an effective listing of the worker.
func (w *worker) rank() int {
	for _, l := range w.listings {
		if l.isEffective() {
			return l.src.rank
		}
	}
	return noPriority
}

// lastChanged returns the listing whose status changed last.
func (w *worker) lastChanged() *listing {
	return slices.MaxFunc(w.listings, func(a, b *listing) int { return a.statusSince.Compare(b.statusSince) })
}

// eachListing calls f for the effective listings of the site's owner, and then for those of the
// bare address, until f returns false.
func (s *site) eachListing(f func(*listing) bool) {
	for _, own := range []bool{true, false} {
		for _, w := range s.workers {
			if own != (w == s.owner) || !own && !w.anonymous() {
				continue
			}
			for _, l := range w.listings {
				if l.isEffective() && !f(l) {
					return
				}
			}
		}
	}
}

// servable reports whether a listing's worker can be served.
func (s *site) servable(l *listing) bool {
	return s.owner != nil && s.status == Serving && l.isEffective() && (l.worker == s.owner || l.worker.anonymous())
}

// member returns the owner as the router uses it, with the values of the first source that lists
// it. A worker whose start is unknown counts as started when it was first listed; one that was in
// its source's first list counts as started long ago.
func (s *site) member() (m Member, reason Reason, by string) {
	var first, active *listing
	listedAt := int64(0)
	since := int64(0)
	s.eachListing(func(l *listing) bool {
		if first == nil {
			first, listedAt = l, l.listedAt
		}
		if active == nil && l.priorityInUse() {
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
	case s.status == Draining:
		m.Draining = true
		return m, ReportedDraining, s.statusFrom
	case active == nil:
		m.Draining = true
		return m, OnStandby, first.src.Name
	}
	return m, Listed, active.src.Name
}

// exclusion returns why a worker is not served.
func (w *worker) exclusion() (reason Reason, by string) {
	if w.site.owner != nil && w.site.owner != w && w.hasEffectiveListing() {
		return Shadowed, w.site.owner.label()
	}
	reason = Dropped
	for _, l := range w.listings {
		switch {
		case l.entry.Status == Gone:
			return ReportedGone, l.src.Name
		case l.isLive() && l.damped:
			reason, by = Damped, l.src.Name
		case l.isLive() && l.src.expired:
			reason, by = Expired, l.src.Name
		}
	}
	if w == w.site.owner && w.site.status == Gone {
		return ReportedGone, w.site.statusFrom
	}
	return reason, by
}
