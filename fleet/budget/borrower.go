package budget

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// borrowing is the state of what this router borrows from one owner.
type borrowing struct {
	seq    uint64 // sequence number of the grant in use; 0: none yet
	amount float64
	until  Time
	asks   []ask
	// The owner granted less than requested; no increase is requested until then.
	shortUntil Time
}

type ask struct {
	seq    uint64
	sentAt Time
	amount float64
}

// requestLoans divides the required rate over the owners, beginning with those that already lend,
// and appends the messages to out.
func (l *Ledger) requestLoans(key string, a *account, now Time, out []Message) []Message {
	share := l.share(a)
	lendable := share * (1 - l.cfg.Floor)
	left := headroom*a.demand - l.ownRate(a, now)
	if left < minNeed*share {
		left = 0
	}
	n := len(l.cfg.Routers)
	owners := make([]string, 0, n)
	for i := range n {
		if name := l.cfg.Routers[(a.firstOwner+i)%n]; name != l.cfg.Self {
			owners = append(owners, name)
		}
	}
	slices.SortStableFunc(owners, func(x, y string) int { return cmp.Compare(a.inUse(y, now), a.inUse(x, now)) })
	for _, name := range owners {
		h := a.held[name]
		if h == nil {
			if left <= 0 || lendable <= 0 {
				continue
			}
			h = &borrowing{}
			a.held[name] = h
		}
		want := math.Min(left, lendable)
		using := a.inUse(name, now)
		if now < h.shortUntil {
			want = math.Min(want, using)
		}
		left -= want
		if using > 0 && want < shrinkBelow*using { // using less is always allowed
			h.amount = want
			l.settle(a, now)
			out = append(out, l.message(Return, name, key, h.seq, want))
			continue
		}
		if !l.askDue(h, want, using, now) {
			if want == 0 && using == 0 && len(h.asks) == 0 && now >= h.shortUntil {
				delete(a.held, name)
			}
			continue
		}
		l.seq++
		h.asks = append(h.asks, ask{l.seq, now, want})
		h.asks = h.asks[max(0, len(h.asks)-maxAsks):]
		m := l.message(Ask, name, key, l.seq, want)
		m.Using = h.seq
		out = append(out, m)
	}
	return out
}

func (l *Ledger) message(kind Kind, to, key string, seq uint64, amount float64) Message {
	return Message{Kind: kind, From: l.cfg.Self, To: to, Epoch: l.epoch(l.budgets[key]), Incarnation: l.cfg.Incarnation, Key: key, Seq: seq,
		Amount: amount}
}

func (a *account) inUse(owner string, now Time) float64 {
	if h := a.held[owner]; h != nil && now < h.until {
		return h.amount
	}
	return 0
}

// askDue reports whether to send an ask to an owner now, for a larger amount or to renew the lease.
func (l *Ledger) askDue(h *borrowing, want, using float64, now Time) bool {
	lease := float64(l.cfg.Lease)
	h.asks = slices.DeleteFunc(h.asks, func(k ask) bool { return float64(now-k.sentAt) >= lease })
	if n := len(h.asks); n > 0 && float64(now-h.asks[n-1].sentAt) < retryAfter*lease {
		return false
	}
	switch {
	case want > 0 && using == 0:
		return true
	case want > using*1.1:
		return true
	}
	return want > 0 && float64(h.until-now) < renewAfter*lease
}

// acceptGrant puts a grant into use. Its lease is counted from the time of the ask.
func (l *Ledger) acceptGrant(a *account, m Message, now Time) {
	h := a.held[m.From]
	if h == nil || m.Incarnation != l.cfg.Incarnation || m.Seq <= h.seq {
		return
	}
	i := slices.IndexFunc(h.asks, func(k ask) bool { return k.seq == m.Seq })
	if i < 0 || m.Amount > h.asks[i].amount {
		return
	}
	k := h.asks[i]
	h.asks = h.asks[i+1:] // earlier asks are superseded
	h.seq, h.amount = m.Seq, m.Amount
	h.until = k.sentAt + Time(float64(l.cfg.Lease)*(1-l.cfg.Drift)/(1+l.cfg.Drift))
	if m.Amount > 0 && h.until > now {
		l.record(Move{Kind: Borrowed, Key: m.Key, Router: m.From, Incarnation: m.Incarnation, Seq: m.Seq, Amount: m.Amount, Left: time.Duration(h.until - now)})
	}
	if m.Amount < 0.95*k.amount {
		h.shortUntil = k.sentAt + Time(shortBackoff*float64(l.cfg.Lease))
	}
}
