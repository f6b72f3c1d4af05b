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

// MaxTargets is the maximum number of targets of one name.
const MaxTargets = 4096

// Family states which addresses of a target are queried.
type Family uint8

// The address families.
const (
	IPv4 Family = 1 << iota
	IPv6
	Both = IPv4 | IPv6
)

// Endpoint is a worker as described by SRV records.
type Endpoint struct {
	Addr     netip.AddrPort
	Target   string // without the final dot
	Priority int
	Weight   int
}

// Result is the outcome of a look-up.
type Result struct {
	Endpoints []Endpoint // by priority, then by address; each address once
	// Closed means that the name has the single target ".", which states that the service is not
	// available here: an intended empty list.
	Closed bool
	// Missing means that the name does not exist or has no SRV record.
	Missing bool
	TTL     time.Duration
	// Unknown holds the targets whose addresses could not be queried, with the reason. Their
	// addresses from an earlier result remain valid.
	Unknown map[string]error
	// WithoutAddress holds the targets that have no address.
	WithoutAddress []string
}

// Lookup is one look-up of an SRV name, as a state machine without I/O. NextQuestions returns the
// questions to send; Answered or Failed reports the outcome of each. The look-up is done when
// NextQuestions returns none and no question is open.
type Lookup struct {
	family  Family
	srv     Question
	hops    int
	records []*dns.SRV
	targets map[string]*target
	pending []Question
	asked   map[Question][]string // the targets of each open question
	ttl     time.Duration
	missing bool
	err     error
}

type target struct {
	addrs []netip.Addr
	hops  map[uint16]int
	err   error
}

// ErrTooManyTargets reports a name with more than MaxTargets records.
var ErrTooManyTargets = fmt.Errorf("more than %d targets", MaxTargets)

// NewLookup returns a look-up of a name.
func NewLookup(name string, family Family) *Lookup {
	q := Question{dns.CanonicalName(name), dns.TypeSRV}
	return &Lookup{family: family, srv: q, pending: []Question{q}, asked: map[Question][]string{}, targets: map[string]*target{}, ttl: -1}
}

// NextQuestions returns the questions to send now, each once.
func (l *Lookup) NextQuestions() []Question {
	ask := l.pending
	l.pending = nil
	return ask
}

// Done reports whether the look-up has failed, or no question is pending or open.
func (l *Lookup) Done() bool {
	return l.err != nil || len(l.pending) == 0 && len(l.asked) == 0 && l.srv.Name == ""
}

// Answered applies the answer to a question.
func (l *Lookup) Answered(q Question, a Answer) {
	targets := l.asked[q]
	delete(l.asked, q)
	switch {
	case l.err != nil:
	case q == l.srv:
		l.applyService(a)
	default:
		for _, name := range targets {
			l.applyAddress(name, q, a)
		}
	}
}

// Failed records that a question got no answer.
func (l *Lookup) Failed(q Question, err error) {
	targets := l.asked[q]
	delete(l.asked, q)
	if q == l.srv {
		l.err = err
	}
	for _, name := range targets {
		if t := l.targets[name]; t.err == nil {
			t.err = err
		}
	}
}

// limitTTL lowers the lifetime of the result to ttl.
func (l *Lookup) limitTTL(ttl time.Duration) {
	if l.ttl < 0 || ttl < l.ttl {
		l.ttl = ttl
	}
}

// applyService applies the answer to the SRV question.
func (l *Lookup) applyService(a Answer) {
	l.limitTTL(a.TTL)
	l.hops += a.Hops
	switch {
	case a.Alias != "":
		if l.hops > MaxAliases {
			l.err = fmt.Errorf("%w: %s", ErrAliases, l.srv.Name)
			return
		}
		l.srv.Name = a.Alias
		l.pending = append(l.pending, l.srv)
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
		// Addresses of one family in the additional section do not show that the other family is
		// missing, but they are enough to reach the worker.
		for _, addr := range a.Extra[name] {
			if l.wants(addr) {
				l.targets[name].addrs = append(l.targets[name].addrs, addr)
			}
		}
		if len(l.targets[name].addrs) > 0 {
			continue
		}
		for _, t := range l.types() {
			l.enqueue(name, Question{name, t})
		}
	}
}

// enqueue adds a question for the address of a target.
func (l *Lookup) enqueue(name string, q Question) {
	if l.asked[q] == nil { // otherwise two targets are aliases of one name, which is queried once
		l.pending = append(l.pending, q)
	}
	l.asked[q] = append(l.asked[q], name)
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

// applyAddress applies the answer to a question for a target's address.
func (l *Lookup) applyAddress(name string, q Question, a Answer) {
	t := l.targets[name]
	if !a.Missing || len(l.types()) == 1 {
		l.limitTTL(a.TTL)
	}
	t.hops[q.Type] += a.Hops
	switch {
	case a.Alias == "":
		t.addrs = append(t.addrs, a.Addrs...)
	case t.hops[q.Type] > MaxAliases:
		t.err = fmt.Errorf("%w: %s", ErrAliases, name)
	default:
		l.enqueue(name, Question{a.Alias, q.Type})
	}
}

// Result returns the outcome of a look-up that is done.
func (l *Lookup) Result() (Result, error) {
	if l.err != nil {
		return Result{}, l.err
	}
	r := Result{Missing: l.missing, TTL: max(l.ttl, 0), Unknown: map[string]error{}}
	best := map[netip.AddrPort]Endpoint{}
	withoutAddress := map[string]bool{}
	for _, srv := range l.records {
		name := dns.CanonicalName(srv.Target)
		if name == "." {
			r.Closed = len(l.records) == 1
			continue
		}
		t, label := l.targets[name], strings.TrimSuffix(name, ".")
		switch {
		case len(t.addrs) > 0:
		case t.err != nil:
			r.Unknown[label] = t.err
		default:
			withoutAddress[label] = true
		}
		for _, addr := range t.addrs {
			e := Endpoint{netip.AddrPortFrom(addr, srv.Port), label, int(srv.Priority), int(srv.Weight)}
			if was, ok := best[e.Addr]; srv.Port != 0 && (!ok || e.compare(was) < 0) {
				best[e.Addr] = e
			}
		}
	}
	r.Endpoints = slices.SortedFunc(maps.Values(best), Endpoint.compare)
	r.WithoutAddress = slices.Sorted(maps.Keys(withoutAddress))
	return r, nil
}

// compare orders endpoints by priority, then address, then the greater weight, then target.
func (e Endpoint) compare(o Endpoint) int {
	return cmp.Or(cmp.Compare(e.Priority, o.Priority), e.Addr.Compare(o.Addr), cmp.Compare(o.Weight, e.Weight),
		cmp.Compare(e.Target, o.Target))
}

// KeepUnknown returns the result with the endpoints from an earlier result of the targets in
// Unknown.
func (r Result) KeepUnknown(earlier Result) Result {
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

// ErrNoAgreement reports that too few name servers returned the same result.
var ErrNoAgreement = errors.New("the name servers do not agree")

// Agree returns, of the results of several name servers, the one that at least required of them
// share. Lifetimes may differ, since each server returns what remains in its cache; the shortest
// one counts.
func Agree(results []Result, required int) (Result, error) {
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
	if best == nil || best.n < required {
		n := 0
		if best != nil {
			n = best.n
		}
		return Result{}, fmt.Errorf("%w: %d of %d give the same, %d needed", ErrNoAgreement, n, len(results), required)
	}
	return best.result, nil
}

// fingerprint returns a key that is equal for results that agree.
func (r Result) fingerprint() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%v %v", r.Closed, r.Missing)
	for _, e := range r.Endpoints {
		fmt.Fprintf(&b, " %v/%d/%d", e.Addr, e.Priority, e.Weight)
	}
	return b.String()
}

// Weights converts SRV weights to shares around 1, which is the weight of a worker without a stated
// one. Each weight is divided by the median of those above 0. So equal weights become 1 whatever
// their scale, and one additional worker changes few of them. A weight of 0 asks for little traffic
// (RFC 2782); shares lie between 0.05 and 20.
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
