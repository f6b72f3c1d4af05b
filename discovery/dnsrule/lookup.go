package dnsrule

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/miekg/dns"
)

// MaxTargets bounds the targets of one name.
const MaxTargets = 4096

// Family says which addresses of a target are asked for.
type Family uint8

// The families of addresses.
const (
	IPv4 Family = 1 << iota
	IPv6
	Both = IPv4 | IPv6
)

// Endpoint is a worker as SRV records describe it.
type Endpoint struct {
	Addr     netip.AddrPort
	Target   string // without the final dot
	Priority int
	Weight   int
}

// Result is what a look-up has found.
type Result struct {
	Endpoints []Endpoint // by priority, then by address; each address once
	// Closed means that the name says of itself, with the target ".", that the
	// service is not to be had here: empty, and meant.
	Closed bool
	// Missing means that the name does not exist or has no SRV record.
	Missing bool
	TTL     time.Duration
	// Unknown are targets whose addresses could not be asked for, with the reason;
	// what is known of them from before still holds.
	Unknown map[string]error
	// Nowhere are targets that have no address.
	Nowhere []string
}

// Lookup is one look-up of an SRV name, a machine without I/O: Ask gives the
// questions to put, Answered and Failed take what became of each. It is done when
// Ask gives nothing and no question is out.
type Lookup struct {
	family  Family
	srv     Question
	hops    int
	records []*dns.SRV
	targets map[string]*target
	ask     []Question
	out     map[Question][]string // the targets for which a question is out
	ttl     time.Duration
	missing bool
	err     error
}

type target struct {
	addrs []netip.Addr
	hops  map[uint16]int
	fault error
}

// ErrTooManyTargets is a name with more than MaxTargets records.
var ErrTooManyTargets = fmt.Errorf("more than %d targets", MaxTargets)

// NewLookup starts a look-up.
func NewLookup(name string, family Family) *Lookup {
	q := Question{dns.CanonicalName(name), dns.TypeSRV}
	return &Lookup{family: family, srv: q, ask: []Question{q}, out: map[Question][]string{}, targets: map[string]*target{}, ttl: -1}
}

// Ask takes the questions to put now.
func (l *Lookup) Ask() []Question {
	ask := l.ask
	l.ask = nil
	return ask
}

// Done tells whether nothing is left to ask.
func (l *Lookup) Done() bool {
	return l.err != nil || len(l.ask) == 0 && len(l.out) == 0 && l.srv.Name == ""
}

// Answered takes the answer to a question of Ask.
func (l *Lookup) Answered(q Question, a Answer) {
	targets := l.out[q]
	delete(l.out, q)
	switch {
	case l.err != nil:
	case q == l.srv:
		l.service(a)
	default:
		for _, name := range targets {
			l.address(name, q, a)
		}
	}
}

// Failed takes that a question of Ask had no answer.
func (l *Lookup) Failed(q Question, err error) {
	targets := l.out[q]
	delete(l.out, q)
	if q == l.srv {
		l.err = err
	}
	for _, name := range targets {
		if t := l.targets[name]; t.fault == nil {
			t.fault = err
		}
	}
}

func (l *Lookup) lasts(ttl time.Duration) {
	if l.ttl < 0 || ttl < l.ttl {
		l.ttl = ttl
	}
}

// service takes the answer to the SRV question.
func (l *Lookup) service(a Answer) {
	l.lasts(a.TTL)
	l.hops += a.Hops
	switch {
	case a.Alias != "":
		if l.hops > MaxAliases {
			l.err = fmt.Errorf("%w: %s", ErrAliases, l.srv.Name)
			return
		}
		l.srv.Name = a.Alias
		l.ask = append(l.ask, l.srv)
		return
	case len(a.SRV) > MaxTargets:
		l.err = ErrTooManyTargets
		return
	}
	l.srv.Name = "" // answered
	l.missing = a.Missing
	l.records = a.SRV
	for _, srv := range a.SRV {
		name := dns.CanonicalName(srv.Target)
		if name == "." || l.targets[name] != nil {
			continue
		}
		l.targets[name] = &target{hops: map[uint16]int{}}
		// One family alone in the additional section does not show that the
		// other is missing, but it is enough to reach the worker.
		for _, addr := range a.Extra[name] {
			if l.wants(addr) {
				l.targets[name].addrs = append(l.targets[name].addrs, addr)
			}
		}
		if len(l.targets[name].addrs) > 0 {
			continue
		}
		for _, t := range l.types() {
			l.put(name, Question{name, t})
		}
	}
}

func (l *Lookup) put(name string, q Question) {
	if l.out[q] == nil { // else two names lead to one: asking once is enough
		l.ask = append(l.ask, q)
	}
	l.out[q] = append(l.out[q], name)
}

func (l *Lookup) types() (out []uint16) {
	if l.family&IPv4 != 0 {
		out = append(out, dns.TypeA)
	}
	if l.family&IPv6 != 0 {
		out = append(out, dns.TypeAAAA)
	}
	return out
}

func (l *Lookup) wants(addr netip.Addr) bool {
	return addr.Is4() && l.family&IPv4 != 0 || addr.Is6() && l.family&IPv6 != 0
}

// address takes the answer to a question for a target's address.
func (l *Lookup) address(name string, q Question, a Answer) {
	t := l.targets[name]
	if !a.Missing || len(l.types()) == 1 {
		l.lasts(a.TTL)
	}
	t.hops[q.Type] += a.Hops
	switch {
	case a.Alias == "":
		t.addrs = append(t.addrs, a.Addrs...)
	case t.hops[q.Type] > MaxAliases:
		t.fault = fmt.Errorf("%w: %s", ErrAliases, name)
	default:
		l.put(name, Question{a.Alias, q.Type})
	}
}

// Result is what was found, once Done.
func (l *Lookup) Result() (Result, error) {
	if l.err != nil {
		return Result{}, l.err
	}
	r := Result{Missing: l.missing, TTL: max(l.ttl, 0), Unknown: map[string]error{}}
	best := map[netip.AddrPort]Endpoint{}
	nowhere := map[string]bool{}
	for _, srv := range l.records {
		name := dns.CanonicalName(srv.Target)
		if name == "." {
			r.Closed = len(l.records) == 1
			continue
		}
		t, label := l.targets[name], strings.TrimSuffix(name, ".")
		switch {
		case len(t.addrs) > 0:
		case t.fault != nil:
			r.Unknown[label] = t.fault
		default:
			nowhere[label] = true
		}
		for _, addr := range t.addrs {
			e := Endpoint{netip.AddrPortFrom(addr, srv.Port), label, int(srv.Priority), int(srv.Weight)}
			if was, ok := best[e.Addr]; srv.Port != 0 && (!ok || e.compare(was) < 0) {
				best[e.Addr] = e
			}
		}
	}
	r.Endpoints = slices.SortedFunc(maps.Values(best), Endpoint.compare)
	r.Nowhere = slices.Sorted(maps.Keys(nowhere))
	return r, nil
}

// compare orders endpoints: the better priority, the greater weight, the address.
func (e Endpoint) compare(o Endpoint) int {
	return cmp.Or(cmp.Compare(e.Priority, o.Priority), e.Addr.Compare(o.Addr), cmp.Compare(o.Weight, e.Weight),
		cmp.Compare(e.Target, o.Target))
}

// Keep adds to a result what an earlier one knew of the targets that could not
// be asked for this time.
func (r Result) Keep(earlier Result) Result {
	if len(r.Unknown) == 0 {
		return r
	}
	known := map[netip.AddrPort]bool{}
	for _, e := range r.Endpoints {
		known[e.Addr] = true
	}
	out := slices.Clone(r.Endpoints)
	for _, e := range earlier.Endpoints {
		if _, unknown := r.Unknown[e.Target]; unknown && !known[e.Addr] {
			out = append(out, e)
		}
	}
	slices.SortFunc(out, Endpoint.compare)
	r.Endpoints = out
	return r
}

// ErrNoAgreement is said where too few name servers gave the same.
var ErrNoAgreement = errors.New("the name servers do not agree")

// Agree chooses, of the results that several name servers gave, the one that at
// least need of them share. Lifetimes may differ, being what is left of them in
// each server's cache: the least one counts.
func Agree(results []Result, need int) (Result, error) {
	type group struct {
		result Result
		n      int
	}
	groups := map[string]*group{}
	var order []string
	for _, r := range results {
		key := r.fingerprint()
		g := groups[key]
		if g == nil {
			g = &group{result: r}
			groups[key] = g
			order = append(order, key)
		}
		g.n++
		g.result.TTL = min(g.result.TTL, r.TTL)
	}
	var best *group
	for _, key := range order {
		if g := groups[key]; best == nil || g.n > best.n {
			best = g
		}
	}
	if best == nil || best.n < need {
		n := 0
		if best != nil {
			n = best.n
		}
		return Result{}, fmt.Errorf("%w: %d of %d give the same, %d needed", ErrNoAgreement, n, len(results), need)
	}
	return best.result, nil
}

func (r Result) fingerprint() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%v %v", r.Closed, r.Missing)
	for _, e := range r.Endpoints {
		fmt.Fprintf(&b, " %v/%d/%d", e.Addr, e.Priority, e.Weight)
	}
	return b.String()
}

// Weights turns SRV weights into shares around 1, the weight of a worker that
// nobody weighs: each is divided by the median of those above 0, so that equal
// weights are 1 whatever their scale, and one worker more changes few of them.
// A weight of 0 asks for little (RFC 2782); shares lie between 0.05 and 20.
func Weights(endpoints []Endpoint) []float64 {
	var given []int
	for _, e := range endpoints {
		if e.Weight > 0 {
			given = append(given, e.Weight)
		}
	}
	out := make([]float64, len(endpoints))
	if len(given) == 0 {
		for i := range out {
			out[i] = 1
		}
		return out
	}
	slices.Sort(given)
	median := float64(given[(len(given)-1)/2])
	for i, e := range endpoints {
		out[i] = min(max(float64(e.Weight)/median, 0.05), 20)
	}
	return out
}
