package budget

// This file: the end of a loan that asks.

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// held is what is borrowed from one router.
type held struct {
	seq    uint64 // the grant in use; 0: none yet
	amount float64
	until  Time
	asks   []ask
	short  Time // it lent less than it was asked for; no more is asked until then
}

type ask struct {
	seq    uint64
	at     Time
	amount float64
}

// asks divides what is wanted over the owners: those that lend already first.
func (l *Ledger) asks(key string, a *account, now Time, out []Message) []Message {
	share := l.share(a)
	most := share * (1 - l.cfg.Floor)
	left := headroom*a.demand - l.own(a, now)
	if left < leastNeed*share {
		left = 0
	}
	n := len(l.cfg.Routers)
	owners := make([]string, 0, n)
	for i := range n {
		if name := l.cfg.Routers[(a.next+i)%n]; name != l.cfg.Self {
			owners = append(owners, name)
		}
	}
	slices.SortStableFunc(owners, func(x, y string) int { return cmp.Compare(a.use(y, now), a.use(x, now)) })
	for _, name := range owners {
		h := a.held[name]
		if h == nil {
			if left <= 0 || most <= 0 {
				continue
			}
			h = &held{}
			a.held[name] = h
		}
		want := math.Min(left, most)
		using := a.use(name, now)
		if now < h.short {
			want = math.Min(want, using)
		}
		left -= want
		if using > 0 && want < shrinkAt*using { // to use less is always allowed
			h.amount = want
			l.settle(a, now)
			out = append(out, l.message(Return, name, key, h.seq, want))
			continue
		}
		if !l.due(h, want, using, now) {
			if want == 0 && using == 0 && len(h.asks) == 0 && now >= h.short {
				delete(a.held, name)
			}
			continue
		}
		l.seq++
		h.asks = append(h.asks, ask{l.seq, now, want})
		h.asks = h.asks[max(0, len(h.asks)-mostAsks):]
		m := l.message(Ask, name, key, l.seq, want)
		m.Using = h.seq
		out = append(out, m)
	}
	return out
}

func (l *Ledger) message(kind Kind, to, key string, seq uint64, amount float64) Message {
	return Message{Kind: kind, From: l.cfg.Self, To: to, Epoch: l.epoch(l.budgets[key]), Life: l.cfg.Incarnation, Key: key, Seq: seq,
		Amount: amount}
}

func (a *account) use(owner string, now Time) float64 {
	if h := a.held[owner]; h != nil && now < h.until {
		return h.amount
	}
	return 0
}

// due tells whether an owner is asked now: for more, or for the next lease.
func (l *Ledger) due(h *held, want, using float64, now Time) bool {
	lease := float64(l.cfg.Lease)
	h.asks = slices.DeleteFunc(h.asks, func(k ask) bool { return float64(now-k.at) >= lease })
	if n := len(h.asks); n > 0 && float64(now-h.asks[n-1].at) < retryAt*lease {
		return false
	}
	switch {
	case want > 0 && using == 0:
		return true
	case want > using*1.1:
		return true
	}
	return want > 0 && float64(h.until-now) < renewAt*lease
}

// take counts a grant from when it was asked for.
func (l *Ledger) take(a *account, m Message, now Time) {
	h := a.held[m.From]
	if h == nil || m.Life != l.cfg.Incarnation || m.Seq <= h.seq {
		return
	}
	i := slices.IndexFunc(h.asks, func(k ask) bool { return k.seq == m.Seq })
	if i < 0 || m.Amount > h.asks[i].amount {
		return
	}
	k := h.asks[i]
	h.asks = h.asks[i+1:] // an earlier one is of no use any more
	h.seq, h.amount = m.Seq, m.Amount
	h.until = k.at + Time(float64(l.cfg.Lease)*(1-l.cfg.Drift)/(1+l.cfg.Drift))
	if m.Amount > 0 && h.until > now {
		l.tell(Move{Kind: Borrowed, Key: m.Key, Router: m.From, Life: m.Life, Seq: m.Seq, Amount: m.Amount, Left: time.Duration(h.until - now)})
	}
	if m.Amount < 0.95*k.amount {
		h.short = k.at + Time(shortFor*float64(l.cfg.Lease))
	}
}
