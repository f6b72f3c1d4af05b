package membership

import (
	"math"
	"slices"
	"sort"
	"strings"
	"time"
)

// rebuild is a straightforward reference: it keeps the entries of each source and builds the whole
// set anew each time. It has no bounds on losses, no damping and no expiry. The property tests and
// the benchmarks compare the Set with it.
type rebuild struct {
	order        []string
	listings     map[string]map[string]*rebuildListing
	listedBefore map[string]bool // an earlier report has listed a worker
}

type rebuildListing struct {
	Entry
	rank        int
	statusSince time.Time
	listedAt    int64
}

func newRebuild(sources ...string) *rebuild {
	p := &rebuild{order: sources, listings: map[string]map[string]*rebuildListing{}, listedBefore: map[string]bool{}}
	for _, s := range sources {
		p.listings[s] = map[string]*rebuildListing{}
	}
	return p
}

func (p *rebuild) report(now time.Time, r Report) {
	listings, named := p.listings[r.Source], map[string]bool{}
	for _, e := range r.Entries {
		w := listings[e.key()]
		if e.Status == Absent {
			if w != nil && w.Status <= Draining {
				p.drop(w, now)
			}
			continue
		}
		named[e.key()] = true
		if w == nil {
			w = &rebuildListing{Entry: Entry{Status: Absent}, rank: slices.Index(p.order, r.Source), statusSince: now}
			listings[e.key()] = w
		}
		if w.Status != e.Status {
			w.statusSince = now
		}
		if w.Status > Draining && e.Status <= Draining {
			w.listedAt = 0
			if p.listedBefore[r.Source] {
				w.listedAt = now.UnixNano()
			}
		}
		addr := w.Addr
		w.Entry = e
		if e.Addr == "" {
			w.Addr = addr
		}
	}
	if r.Whole {
		for k, w := range listings {
			if !named[k] && w.Status <= Draining {
				p.drop(w, now)
			}
		}
	}
	for _, w := range listings {
		p.listedBefore[r.Source] = p.listedBefore[r.Source] || w.Status <= Draining
	}
}

func (p *rebuild) drop(w *rebuildListing, now time.Time) {
	w.statusSince = now
	if w.Status == Draining {
		w.Status = Gone
	} else {
		w.Status = Absent
	}
}

// rebuildWorker is one identity in a rebuild.
type rebuildWorker struct {
	key      string
	listings []*rebuildListing
	addr     string
	since    int64
	live     bool
	gone     bool
	last     time.Time
}

func (p *rebuild) members() []Member {
	all := map[string]*rebuildWorker{}
	for _, s := range p.order {
		for k, w := range p.listings[s] {
			x := all[k]
			if x == nil {
				x = &rebuildWorker{key: k}
				all[k] = x
			}
			x.listings = append(x.listings, w)
		}
	}
	at := map[string][]*rebuildWorker{}
	for _, x := range all {
		var best *rebuildListing
		for _, w := range x.listings {
			live := w.Status <= Draining
			x.live, x.gone = x.live || live, x.gone || w.Status == Gone
			if live {
				x.since = max(x.since, w.Since)
			}
			if w.statusSince.After(x.last) {
				x.last = w.statusSince
			}
			if w.Addr == "" {
				continue
			}
			switch {
			case best == nil, live && best.Status > Draining:
				best = w
			case !live && best.Status <= Draining:
			case live && w.Since > best.Since, !live && w.statusSince.After(best.statusSince):
				best = w
			}
		}
		if best != nil {
			x.addr = best.Addr
		}
		if x.addr != "" {
			at[x.addr] = append(at[x.addr], x)
		}
	}
	type found struct {
		owner    *rebuildWorker
		status   Status
		listings []*rebuildListing
	}
	var sites []found
	bestPriority := map[int]int{}
	for i := range p.order {
		bestPriority[i] = math.MaxInt
	}
	for _, list := range at {
		sort.Slice(list, func(i, j int) bool {
			a, b := list[i], list[j]
			an, bn := a.key[0] == '=', b.key[0] == '='
			switch {
			case (an && a.live) != (bn && b.live):
				return an && a.live
			case an != bn:
				return an
			case !a.live && !a.last.Equal(b.last):
				return a.last.After(b.last)
			case a.live && a.gone != b.gone:
				return !a.gone
			case a.live && a.since != b.since:
				return a.since > b.since
			case a.live && firstRank(a) != firstRank(b):
				return firstRank(a) < firstRank(b)
			}
			return a.key < b.key
		})
		owner := list[0]
		f := found{owner: owner}
		for _, w := range owner.listings {
			if w.Status <= Draining {
				f.listings = append(f.listings, w)
			}
		}
		for _, x := range list {
			bare := x.key[0] == '@'
			for _, w := range x.listings {
				if bare && x != owner && w.Status <= Draining {
					f.listings = append(f.listings, w)
				}
				if w.Status != Draining && w.Status != Gone {
					continue
				}
				known := owner.since > w.statusSince.UnixNano()
				if w.Status == Gone {
					for _, o := range owner.listings {
						known = known || o.rank == w.rank && o.Status <= Draining
					}
				}
				if x == owner || bare || !known {
					f.status = max(f.status, w.Status)
				}
			}
		}
		if len(f.listings) == 0 {
			continue
		}
		if f.status == Serving {
			for _, w := range f.listings {
				bestPriority[w.rank] = min(bestPriority[w.rank], w.Priority)
			}
		}
		sites = append(sites, f)
	}
	var out []Member
	for _, f := range sites {
		if f.status == Gone {
			continue
		}
		first := f.listings[0]
		m := Member{Name: f.owner.key[1:], Addr: f.owner.addr, Weight: first.Weight, Cell: first.Cell, Zone: first.Zone,
			Kind: first.Kind, Draining: true}
		listed := first.listedAt
		for _, w := range f.listings {
			m.Since, listed = max(m.Since, w.Since), min(listed, w.listedAt)
			if f.status == Serving && w.Priority <= bestPriority[w.rank] {
				m.Draining = false
			}
		}
		if m.Since == 0 {
			m.Since = listed
		}
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return out
}

func firstRank(x *rebuildWorker) int {
	for _, w := range x.listings {
		if w.Status <= Draining {
			return w.rank
		}
	}
	return math.MaxInt
}
