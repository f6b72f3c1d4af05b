package membership

import (
	"math"
	"slices"
	"sort"
	"strings"
	"time"
)

// plain is the obvious way: it keeps what each source has said and builds the
// whole set anew each time. It knows no bounds on losses, no damping and no
// ageing. The properties hold the Set against it, the benchmarks as well.
type plain struct {
	order []string
	said  map[string]map[string]*plainWord
	full  map[string]bool // it has listed a worker before
}

type plainWord struct {
	Entry
	rank     int
	at       time.Time
	listedAt int64
}

func newPlain(sources ...string) *plain {
	p := &plain{order: sources, said: map[string]map[string]*plainWord{}, full: map[string]bool{}}
	for _, s := range sources {
		p.said[s] = map[string]*plainWord{}
	}
	return p
}

func (p *plain) report(now time.Time, r Report) {
	words, named := p.said[r.Source], map[string]bool{}
	for _, e := range r.Entries {
		w := words[e.key()]
		if e.Word == Absent {
			if w != nil && w.Word <= Draining {
				p.drop(w, now)
			}
			continue
		}
		named[e.key()] = true
		if w == nil {
			w = &plainWord{Entry: Entry{Word: Absent}, rank: slices.Index(p.order, r.Source), at: now}
			words[e.key()] = w
		}
		if w.Word != e.Word {
			w.at = now
		}
		if w.Word > Draining && e.Word <= Draining {
			w.listedAt = 0
			if p.full[r.Source] {
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
		for k, w := range words {
			if !named[k] && w.Word <= Draining {
				p.drop(w, now)
			}
		}
	}
	for _, w := range words {
		p.full[r.Source] = p.full[r.Source] || w.Word <= Draining
	}
}

func (p *plain) drop(w *plainWord, now time.Time) {
	w.at = now
	if w.Word == Draining {
		w.Word = Gone
	} else {
		w.Word = Absent
	}
}

// who is one identity in a rebuild.
type who struct {
	key   string
	words []*plainWord
	addr  string
	since int64
	live  bool
	gone  bool
	last  time.Time
}

func (p *plain) members() []Member {
	all := map[string]*who{}
	for _, s := range p.order {
		for k, w := range p.said[s] {
			x := all[k]
			if x == nil {
				x = &who{key: k}
				all[k] = x
			}
			x.words = append(x.words, w)
		}
	}
	at := map[string][]*who{}
	for _, x := range all {
		var best *plainWord
		for _, w := range x.words {
			live := w.Word <= Draining
			x.live, x.gone = x.live || live, x.gone || w.Word == Gone
			if live {
				x.since = max(x.since, w.Since)
			}
			if w.at.After(x.last) {
				x.last = w.at
			}
			if w.Addr == "" {
				continue
			}
			switch {
			case best == nil, live && best.Word > Draining:
				best = w
			case !live && best.Word <= Draining:
			case live && w.Since > best.Since, !live && w.at.After(best.at):
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
		owner *who
		word  Word
		words []*plainWord
	}
	var sites []found
	standing := map[int]int{}
	for i := range p.order {
		standing[i] = math.MaxInt
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
		for _, w := range owner.words {
			if w.Word <= Draining {
				f.words = append(f.words, w)
			}
		}
		for _, x := range list {
			bare := x.key[0] == '@'
			for _, w := range x.words {
				if bare && x != owner && w.Word <= Draining {
					f.words = append(f.words, w)
				}
				if w.Word != Draining && w.Word != Gone {
					continue
				}
				known := owner.since > w.at.UnixNano()
				if w.Word == Gone {
					for _, o := range owner.words {
						known = known || o.rank == w.rank && o.Word <= Draining
					}
				}
				if x == owner || bare || !known {
					f.word = max(f.word, w.Word)
				}
			}
		}
		if len(f.words) == 0 {
			continue
		}
		if f.word == Serving {
			for _, w := range f.words {
				standing[w.rank] = min(standing[w.rank], w.Priority)
			}
		}
		sites = append(sites, f)
	}
	var out []Member
	for _, f := range sites {
		if f.word == Gone {
			continue
		}
		first := f.words[0]
		m := Member{Name: f.owner.key[1:], Addr: f.owner.addr, Weight: first.Weight, Cell: first.Cell, Zone: first.Zone,
			Kind: first.Kind, Draining: true}
		listed := first.listedAt
		for _, w := range f.words {
			m.Since, listed = max(m.Since, w.Since), min(listed, w.listedAt)
			if f.word == Serving && w.Priority <= standing[w.rank] {
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

func firstRank(x *who) int {
	for _, w := range x.words {
		if w.Word <= Draining {
			return w.rank
		}
	}
	return math.MaxInt
}
