// Package budget shares limits among routers that lend each other parts of them.
//
// Each router owns an even share of every limit. A part of it, the floor, is never
// lent; the rest is lent to routers that ask, for the time of a lease. The sum of
// what all may spend never passes the limit, whatever is lost, doubled, reordered
// or late between them:
//
//   - An owner holds back what it lends from before its answer leaves until the lease
//     has passed by its own clock. A borrower counts the same lease from when it sent
//     the ask, which was earlier, and ends it sooner by what clocks may run apart.
//   - An ask is numbered and answered at most once; a grant counts only for the ask
//     that is waiting for it, and only the latest grant of an owner is ever in use.
//   - A router that starts does not know what an earlier process under its name has
//     lent. It spends no more than its floor until a whole lease has passed.
//   - What is spent at once is bounded by the rate that is held: whoever loses a rate
//     loses what it had saved up by it, and whoever gains one starts with nothing.
//
// So in any window of w seconds all routers together spend at most limit x (w +
// Burst), and one each for rounding: a share too small for one whole request in the
// burst may still save up one. A router that hears nothing has its whole own share
// back once the leases it gave have passed, and its floor at any time.
//
// The package does no I/O and starts nothing; the clock is an argument. A Ledger is
// not safe for concurrent use.
package budget

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

// Time is a reading of the caller's monotonic clock from an arbitrary start. It must
// go on while the process is stopped.
type Time time.Duration

const (
	headroom   = 1.2   // times its demand that a router wants to hold
	demandOver = 0.2   // part of a lease that the demand is taken over
	leastNeed  = 0.02  // part of a share, under which nothing is borrowed
	mostGrants = 8     // grants of one owner to one borrower that are out at once
	mostAsks   = 8     // asks of one owner that are waited for at once
	renewAt    = 0.5   // part of a lease after which it is renewed
	retryAt    = 0.125 // part of a lease after which an ask counts as lost
	shortFor   = 0.25  // part of a lease in which an owner that lent less is asked for no more
	shrinkAt   = 0.7   // what is wanted less than this part of what is held goes back early
)

// Config says who shares the limits and under which terms. All but Self and
// Incarnation must be the same at every router.
type Config struct {
	Self        string
	Routers     []string      // all that share, Self among them
	Incarnation uint64        // grows with each start of this router
	Epoch       uint64        // version of these terms; nothing is lent across versions, nor across limits
	Lease       time.Duration // an owner holds back what it has lent for so long
	Drift       float64       // part by which the speeds of two clocks may differ, 0 to 0.2
	Floor       float64       // part of each share that is never lent, over 0 to 1
	Burst       time.Duration // as much as comes in at the held rate in this time may be spent at once
	Tell        bool          // what is lent and borrowed is told by Moves; it is to be asked for after each call then
}

// ErrConfig is what a faulty Config wraps.
var ErrConfig = errors.New("budget")

func (c *Config) check() error {
	bad := func(key string, value any, why string) error {
		return fmt.Errorf("%w: %s is %v, %s", ErrConfig, key, value, why)
	}
	seen := map[string]bool{}
	for _, r := range c.Routers {
		if r == "" || seen[r] {
			return bad("routers", fmt.Sprintf("%q", r), "empty or named twice")
		}
		seen[r] = true
	}
	switch {
	case !seen[c.Self]:
		return bad("self", fmt.Sprintf("%q", c.Self), "none of the routers")
	case c.Lease <= 0:
		return bad("lease", c.Lease, "not over 0")
	case c.Burst < 0:
		return bad("burst", c.Burst, "negative")
	case !(c.Drift >= 0 && c.Drift <= 0.2):
		return bad("drift", c.Drift, "not from 0 to 0.2")
	case !(c.Floor > 0 && c.Floor <= 1):
		return bad("floor", c.Floor, "not over 0 and up to 1")
	}
	return nil
}

// Kind says what a message is.
type Kind uint8

// The kinds of message.
const (
	Ask    Kind = iota + 1 // the sender wants to hold Amount of the receiver's share
	Grant                  // the sender lends Amount, in answer to the ask of this number
	Return                 // the sender uses at most Amount of the grant of this number by now, and no older one
)

// Message goes between two routers. It may be lost, doubled, late or out of order.
type Message struct {
	Kind   Kind    `cbor:"1,keyasint"`
	From   string  `cbor:"2,keyasint"`
	To     string  `cbor:"3,keyasint"`
	Epoch  uint64  `cbor:"4,keyasint"`
	Life   uint64  `cbor:"5,keyasint"` // incarnation of the router that asks
	Key    string  `cbor:"6,keyasint"` // whose budget
	Seq    uint64  `cbor:"7,keyasint"` // number of the ask
	Amount float64 `cbor:"8,keyasint"` // a second
	Using  uint64  `cbor:"9,keyasint"` // in an ask: number of the grant in use; older ones never will be again
}

// MoveKind says what a Move is.
type MoveKind uint8

// The kinds of Move. Lent and Returned are the owner's, Borrowed is the borrower's.
const (
	Lent MoveKind = iota + 1
	Returned
	Borrowed
)

// Move is a change of what is lent, as one end of it knows it. A grant is known by its key, both routers, the borrower's
// life and the number of the ask.
type Move struct {
	Kind      MoveKind
	Key       string
	Router    string // the other end
	Life, Seq uint64
	Using     uint64        // of Lent: older grants of this life will never be used again
	Amount    float64       // a second; of Returned: what is used at most by now
	Share     float64       // of Lent: what the owner has to lend and to spend, in all
	Left      time.Duration // until it ends by the clock of the end that tells of it
}

// Ledger is one router's part in all budgets.
type Ledger struct {
	moves   []Move
	cfg     Config
	began   Time
	fenced  bool
	seq     uint64
	budgets map[string]*account
}

// account is what a router knows of one budget.
type account struct {
	limit  float64
	level  float64 // what may be spent now
	at     Time    // when level was right
	demand float64 // a second, at the time above
	off    bool    // without a limit, but what was lent may still be in use
	lent   map[string]*lent
	held   map[string]*held
	next   int // who is asked first, so that not all ask the same
}

// lent is what is lent to one router.
type lent struct {
	life, seq uint64 // its latest ask that was answered
	grants    []grant
}

type grant struct {
	life, seq uint64
	amount    float64
	until     Time
}

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

// New returns a router's ledger without budgets.
func New(cfg Config, now Time) (*Ledger, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	cfg.Routers = slices.Sorted(slices.Values(cfg.Routers))
	return &Ledger{cfg: cfg, began: now, budgets: map[string]*account{}}, nil
}

// SetLimit sets a budget's limit, in cost a second over all routers; 0 removes it.
// While routers go over to another limit one by one, the larger of the two holds.
func (l *Ledger) SetLimit(key string, perSecond float64, now Time) {
	a := l.budgets[key]
	if !(perSecond > 0) || math.IsInf(perSecond, 0) {
		if a != nil {
			l.settle(a, now)
			a.off, a.limit, a.demand = true, 0, 0
		}
		return
	}
	if a == nil {
		a = &account{at: now, lent: map[string]*lent{}, held: map[string]*held{}}
		a.next = slices.Index(l.cfg.Routers, l.cfg.Self) + 1
		l.budgets[key] = a
	}
	l.settle(a, now)
	a.off, a.limit = false, perSecond
	l.settle(a, now)
}

// epoch is what both ends of a loan must agree in: the terms, and this budget's limit.
// Another budget's change interrupts nothing here.
func (l *Ledger) epoch(a *account) uint64 {
	return (l.cfg.Epoch ^ math.Float64bits(a.limit)) * 0x9e3779b97f4a7c15
}

// SetIncarnation tells that this process goes by a newer life. What it has borrowed
// under the one before is given up here and runs out where it came from.
func (l *Ledger) SetIncarnation(life uint64) {
	if life <= l.cfg.Incarnation {
		return
	}
	l.cfg.Incarnation = life
	for _, a := range l.budgets {
		clear(a.held)
	}
}

// Fence ends all spending: another process goes on under this router's name.
func (l *Ledger) Fence() { l.fenced = true }

// Spend takes cost out of a budget, if it is there. A key without a limit is free.
// The cost may be up to what Burst lets a router save up, and 1 at any rate.
func (l *Ledger) Spend(key string, cost float64, now Time) bool {
	a := l.budgets[key]
	if a == nil || a.off {
		return !l.fenced
	}
	if !(cost >= 0) || l.fenced {
		return false
	}
	l.settle(a, now)
	a.demand += cost / (demandOver * l.cfg.Lease.Seconds())
	if a.level < cost {
		return false
	}
	a.level -= cost
	return true
}

func (l *Ledger) share(a *account) float64 { return a.limit / float64(len(l.cfg.Routers)) }

// unsure tells whether an earlier process under this name may still have lent.
func (l *Ledger) unsure(now Time) bool { return now-l.began < Time(l.cfg.Lease) }

// out is what is lent to one router: the largest grant to each of its processes, since a process uses one at a time.
func (n *lent) out(now Time) float64 {
	sum := 0.0
	for i, g := range n.grants {
		if !slices.ContainsFunc(n.grants[:i], func(earlier grant) bool { return earlier.life == g.life }) {
			sum += n.outTo(g.life, now)
		}
	}
	return sum
}

// outTo is what is lent to one process: its largest grant.
func (n *lent) outTo(life uint64, now Time) float64 {
	largest := 0.0
	for _, g := range n.grants {
		if g.life == life && now < g.until {
			largest = math.Max(largest, g.amount)
		}
	}
	return largest
}

// own is what is left of the own share.
func (l *Ledger) own(a *account, now Time) float64 {
	rate := l.share(a)
	if l.unsure(now) {
		rate *= l.cfg.Floor
	}
	for _, n := range a.lent {
		rate -= n.out(now)
	}
	return math.Max(rate, 0)
}

func (l *Ledger) borrowed(a *account, now Time) float64 {
	rate := 0.0
	for _, h := range a.held {
		if now < h.until {
			rate += h.amount
		}
	}
	return rate
}

// most is what may be saved up.
func (l *Ledger) most(a *account, now Time) float64 {
	return math.Max(1, l.cfg.Burst.Seconds()*(l.own(a, now)+l.borrowed(a, now)))
}

// settle brings an account up to now. What came in since is counted by the rates at
// the beginning, those of leases that ended meanwhile up to their ends.
func (l *Ledger) settle(a *account, now Time) {
	if now > a.at {
		gained := l.own(a, a.at) * (time.Duration(now - a.at)).Seconds()
		for _, h := range a.held {
			if end := min(h.until, now); end > a.at {
				gained += h.amount * (time.Duration(end - a.at)).Seconds()
			}
		}
		a.level += gained
		a.demand *= math.Exp(-float64(now-a.at) / (demandOver * float64(l.cfg.Lease)))
		a.at = now
	}
	for _, n := range a.lent {
		n.grants = slices.DeleteFunc(n.grants, func(g grant) bool { return now >= g.until })
	}
	a.level = math.Min(a.level, l.most(a, now))
}

// Tick returns the asks that are due. It is to be called several times a lease.
func (l *Ledger) Tick(now Time) []Message {
	var out []Message
	if l.fenced {
		return nil
	}
	for _, key := range slices.Sorted(maps.Keys(l.budgets)) {
		a := l.budgets[key]
		l.settle(a, now)
		switch {
		case !a.off:
			out = l.asks(key, a, now, out)
		case !a.out(now):
			delete(l.budgets, key)
		}
	}
	return out
}

// out tells whether something is lent.
func (a *account) out(now Time) bool {
	for _, n := range a.lent {
		if n.out(now) > 0 {
			return true
		}
	}
	return false
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

// Receive takes a message and returns the answer to it, if there is one. What is
// malformed, of another epoch, for somebody else or of a stranger is dropped.
func (l *Ledger) Receive(m Message, now Time) []Message {
	a := l.budgets[m.Key]
	if a == nil || a.off || l.fenced || m.To != l.cfg.Self || m.From == l.cfg.Self || m.Epoch != l.epoch(a) || m.Seq == 0 ||
		!(m.Amount >= 0) || math.IsInf(m.Amount, 0) || !slices.Contains(l.cfg.Routers, m.From) {
		return nil
	}
	l.settle(a, now)
	switch m.Kind {
	case Ask:
		return l.lend(a, m, now)
	case Grant:
		l.take(a, m, now)
	case Return:
		a.lent[m.From].back(m)
		l.tell(Move{Kind: Returned, Key: m.Key, Router: m.From, Life: m.Life, Seq: m.Seq, Amount: m.Amount})
	}
	l.settle(a, now)
	return nil
}

// drop forgets the grants of a life before one that it uses, to which it never goes back, and tells whether there were any.
func (n *lent) drop(life, before uint64) bool {
	count := len(n.grants)
	n.grants = slices.DeleteFunc(n.grants, func(g grant) bool { return g.life == life && g.seq < before })
	return len(n.grants) < count
}

// amount is that of a grant; 0 once its lease is over.
func (n *lent) amount(life, seq uint64) float64 {
	for _, g := range n.grants {
		if g.life == life && g.seq == seq {
			return g.amount
		}
	}
	return 0
}

// back takes a borrower's word that it uses less, which stays true however late it comes.
func (n *lent) back(m Message) {
	if n == nil {
		return
	}
	n.drop(m.Life, m.Seq)
	for i := range n.grants {
		if g := &n.grants[i]; g.life == m.Life && g.seq == m.Seq {
			g.amount = math.Min(g.amount, m.Amount)
		}
	}
}

// lend answers an ask. What the owner needs itself stays, and so does its floor.
func (l *Ledger) lend(a *account, m Message, now Time) []Message {
	n := a.lent[m.From]
	if n == nil {
		n = &lent{}
		a.lent[m.From] = n
	}
	if m.Life < n.life || m.Life == n.life && m.Seq <= n.seq {
		return nil // late or doubled
	}
	n.life, n.seq = m.Life, m.Seq
	if n.drop(m.Life, m.Using) {
		l.tell(Move{Kind: Returned, Key: m.Key, Router: m.From, Life: m.Life, Seq: m.Using, Amount: n.amount(m.Life, m.Using)})
	}
	share := l.share(a)
	others := n.out(now) - n.outTo(m.Life, now) // with processes before the one that asks, which may only be stopped
	for name, other := range a.lent {
		if name != m.From {
			others += other.out(now)
		}
	}
	keep := math.Min(math.Max(l.cfg.Floor*share, headroom*a.demand), share)
	amount := math.Max(0, math.Min(m.Amount, share-keep-others))
	if len(n.grants) >= mostGrants {
		return nil // its answers are lost; what is out already is enough
	}
	if l.unsure(now) {
		amount = 0
	}
	if amount > 0 {
		l.tell(Move{Kind: Lent, Key: m.Key, Router: m.From, Life: m.Life, Seq: m.Seq, Using: m.Using, Amount: amount, Share: share, Left: l.cfg.Lease})
		n.grants = append(n.grants, grant{m.Life, m.Seq, amount, now + Time(l.cfg.Lease)})
		a.level = math.Min(a.level, l.most(a, now))
	}
	return []Message{{Kind: Grant, From: l.cfg.Self, To: m.From, Epoch: m.Epoch, Life: m.Life, Key: m.Key, Seq: m.Seq,
		Amount: amount}}
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

func (l *Ledger) tell(m Move) {
	if l.cfg.Tell {
		l.moves = append(l.moves, m)
	}
}

// Moves returns what was lent, returned and borrowed since it was asked for last, in order.
func (l *Ledger) Moves() []Move {
	out := l.moves
	l.moves = nil
	return out
}

// Loan is what one router holds of another's share.
type Loan struct {
	Router string
	Amount float64       // a second
	Left   time.Duration // until the lease ends
}

// View is a budget as this router knows it. Rates are a second.
type View struct {
	Key                 string
	Limit, Share, Floor float64
	Rate                float64 // what may be spent now
	IfCut               float64 // what may be spent once all leases have passed with no word from anybody
	Demand              float64
	Lent, Borrowed      []Loan
	Unsure              bool // just started: an earlier process may still have lent
	Fenced              bool
}

// Views tells of all budgets, by key.
func (l *Ledger) Views(now Time) []View {
	var out []View
	for _, key := range slices.Sorted(maps.Keys(l.budgets)) {
		a := l.budgets[key]
		if a.off {
			continue
		}
		l.settle(a, now)
		share := l.share(a)
		v := View{Key: key, Limit: a.limit, Share: share, Floor: share * l.cfg.Floor, Rate: l.own(a, now) + l.borrowed(a, now),
			IfCut: share, Demand: a.demand, Unsure: l.unsure(now), Fenced: l.fenced}
		if l.fenced {
			v.Rate, v.IfCut = 0, 0
		}
		for _, name := range slices.Sorted(maps.Keys(a.lent)) {
			if amount := a.lent[name].out(now); amount > 0 {
				end := Time(0)
				for _, g := range a.lent[name].grants {
					end = max(end, g.until)
				}
				v.Lent = append(v.Lent, Loan{name, amount, time.Duration(end - now)})
			}
		}
		for _, name := range slices.Sorted(maps.Keys(a.held)) {
			if amount := a.use(name, now); amount > 0 {
				v.Borrowed = append(v.Borrowed, Loan{name, amount, time.Duration(a.held[name].until - now)})
			}
		}
		out = append(out, v)
	}
	return out
}
