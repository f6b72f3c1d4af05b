// Package dnsrule decides what the DNS has said: which answer belongs to which
// question, what it means, which question comes next, how long the outcome
// lasts, and which name server is asked first. It does no I/O.
//
// Sources: RFC 1035 (messages), RFC 2181 (section 5.4.1, what may be trusted),
// RFC 2308 (negative answers), RFC 2782 (SRV), RFC 5452 (answers that are not
// ours), RFC 6891 (EDNS0), RFC 8767 (serving stale).
package dnsrule

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/miekg/dns"
)

// UDPSize is the size of answers over UDP that is announced, in bytes: what
// passes without fragments on common networks.
const UDPSize = 1232

// Question is one thing to ask. Name is in canonical form: lower case, with the
// final dot.
type Question struct {
	Name string
	Type uint16 // dns.TypeSRV, dns.TypeA or dns.TypeAAAA
}

func (q Question) String() string { return q.Name + " " + dns.TypeToString[q.Type] }

// Message is the question as it goes out, under the given id.
func (q Question) Message(id uint16) *dns.Msg {
	m := new(dns.Msg)
	m.SetQuestion(q.Name, q.Type)
	m.Id = id
	return m.SetEdns0(UDPSize, false)
}

// ErrNotOurs is an answer to another question, or none at all. Over UDP it says
// nothing: the right one may still come.
var ErrNotOurs = errors.New("not an answer to the question")

// Parse reads what has come back for a question sent under an id.
func Parse(wire []byte, q Question, id uint16) (*dns.Msg, error) {
	m := new(dns.Msg)
	if err := m.Unpack(wire); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotOurs, err)
	}
	switch {
	case m.Id != id:
		return nil, fmt.Errorf("%w: id %d instead of %d", ErrNotOurs, m.Id, id)
	case !m.Response || m.Opcode != dns.OpcodeQuery:
		return nil, fmt.Errorf("%w: no response to a query", ErrNotOurs)
	case len(m.Question) == 0 && m.Rcode != dns.RcodeSuccess && m.Rcode != dns.RcodeNameError:
		// A server that could not read the question need not repeat it.
	case len(m.Question) != 1 || dns.CanonicalName(m.Question[0].Name) != q.Name ||
		m.Question[0].Qtype != q.Type || m.Question[0].Qclass != dns.ClassINET:
		return nil, fmt.Errorf("%w: another question", ErrNotOurs)
	}
	return m, nil
}

// Answer is what a message says to its question.
type Answer struct {
	// Alias is where the question leads, if the message does not hold the records
	// there: the next name to ask for. All else is then empty but TTL.
	Alias   string
	Hops    int // aliases that were followed within the message
	SRV     []*dns.SRV
	Addrs   []netip.Addr
	Extra   map[string][]netip.Addr // from the additional section, by name
	Missing bool                    // the name does not exist, or has no such record
	// TTL is the least lifetime of all that was used; of a missing name, the one
	// that its SOA states, or 0 if there is none.
	TTL time.Duration
}

// The failures of a name server: another one may know.
var (
	ErrServer    = errors.New("the name server failed")
	ErrTruncated = errors.New("the answer is truncated")
	ErrAliases   = errors.New("too many aliases, or a loop of them")
)

// MaxAliases bounds a chain of CNAME records.
const MaxAliases = 8

// Read tells what a message says to its question. An error is the name server's
// failure; ErrTruncated asks for the same question over TCP.
func Read(m *dns.Msg, q Question) (Answer, error) {
	if m.Truncated {
		return Answer{}, ErrTruncated
	}
	if m.Rcode != dns.RcodeSuccess && m.Rcode != dns.RcodeNameError {
		return Answer{}, fmt.Errorf("%w: %s", ErrServer, rcode(m.Rcode))
	}
	a := Answer{TTL: -1}
	name := q.Name
	for seen := map[string]bool{}; ; {
		if seen[name] || a.Hops > MaxAliases {
			return Answer{}, fmt.Errorf("%w: %s", ErrAliases, q.Name)
		}
		seen[name] = true
		alias := ""
		for _, rr := range m.Answer {
			h := rr.Header()
			if h.Class != dns.ClassINET || dns.CanonicalName(h.Name) != name {
				continue
			}
			if c, ok := rr.(*dns.CNAME); ok {
				alias = dns.CanonicalName(c.Target)
				a.lasts(h.Ttl)
				continue
			}
			if h.Rrtype == q.Type && a.take(rr) {
				a.lasts(h.Ttl)
			}
		}
		if len(a.SRV)+len(a.Addrs) > 0 {
			a.extras(m)
			return a, nil
		}
		if alias == "" {
			break
		}
		name = alias
		a.Hops++
	}
	if name != q.Name && m.Rcode == dns.RcodeSuccess && !hasSOA(m) {
		a.Alias = name
		return a, nil
	}
	a.Missing = true
	a.TTL = negative(m)
	return a, nil
}

func rcode(code int) string {
	if s, ok := dns.RcodeToString[code]; ok {
		return s
	}
	return fmt.Sprintf("code %d", code)
}

// lasts notes a lifetime. One with the top bit set counts as 0 (RFC 2181).
func (a *Answer) lasts(ttl uint32) {
	if ttl > 1<<31-1 {
		ttl = 0
	}
	if d := time.Duration(ttl) * time.Second; a.TTL < 0 || d < a.TTL {
		a.TTL = d
	}
}

func (a *Answer) take(rr dns.RR) bool {
	if srv, ok := rr.(*dns.SRV); ok {
		a.SRV = append(a.SRV, srv)
		return true
	}
	addr, ok := address(rr)
	if ok {
		a.Addrs = append(a.Addrs, addr)
	}
	return ok
}

// address reads an A or AAAA record. An address that no worker can have, the
// unspecified one or a multicast one, is none.
func address(rr dns.RR) (netip.Addr, bool) {
	var addr netip.Addr
	switch r := rr.(type) {
	case *dns.A:
		addr, _ = netip.AddrFromSlice(r.A)
	case *dns.AAAA:
		addr, _ = netip.AddrFromSlice(r.AAAA)
	}
	addr = addr.Unmap()
	return addr, addr.IsValid() && !addr.IsUnspecified() && !addr.IsMulticast()
}

// extras takes the addresses that come along for the targets that were named.
func (a *Answer) extras(m *dns.Msg) {
	if len(a.SRV) == 0 {
		return
	}
	targets := map[string]bool{}
	for _, srv := range a.SRV {
		targets[dns.CanonicalName(srv.Target)] = true
	}
	a.Extra = map[string][]netip.Addr{}
	for _, rr := range m.Extra {
		name := dns.CanonicalName(rr.Header().Name)
		if addr, ok := address(rr); ok && targets[name] && rr.Header().Class == dns.ClassINET {
			a.Extra[name] = append(a.Extra[name], addr)
			a.lasts(rr.Header().Ttl)
		}
	}
}

func hasSOA(m *dns.Msg) bool { return soa(m) != nil }

func soa(m *dns.Msg) *dns.SOA {
	for _, rr := range m.Ns {
		if s, ok := rr.(*dns.SOA); ok {
			return s
		}
	}
	return nil
}

// negative is how long a missing name may count as missing (RFC 2308, section 5).
func negative(m *dns.Msg) time.Duration {
	s := soa(m)
	if s == nil {
		return 0
	}
	var a Answer
	a.TTL = -1
	a.lasts(s.Hdr.Ttl)
	a.lasts(s.Minttl)
	return a.TTL
}
