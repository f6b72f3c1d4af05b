// Package dnsrule contains the rules for DNS answers: which answer belongs to which question, what
// it means, which question comes next, how long the result is valid, and in which order name
// servers are asked. It does no I/O.
//
// References: RFC 1035 (messages), RFC 2181 (section 5.4.1, which data to trust), RFC 2308
// (negative answers), RFC 2782 (SRV), RFC 5452 (forged answers), RFC 6891 (EDNS0), RFC 8767
// (serving stale data).
package dnsrule

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/miekg/dns"
)

// UDPSize is the announced maximum size of answers over UDP, in bytes. Answers of that size are not
// fragmented on common networks.
const UDPSize = 1232

// Question is one DNS question. Name is in canonical form: lower case, with the final dot.
type Question struct {
	Name string
	Type uint16 // dns.TypeSRV, dns.TypeA or dns.TypeAAAA
}

func (q Question) String() string { return q.Name + " " + dns.TypeToString[q.Type] }

// Message returns the query for the question with the given id.
func (q Question) Message(id uint16) *dns.Msg {
	m := new(dns.Msg)
	m.SetQuestion(q.Name, q.Type)
	m.Id = id
	return m.SetEdns0(UDPSize, false)
}

// ErrMismatch reports a message that is not an answer to the question. Over UDP it is ignored, as
// the right answer may still arrive.
var ErrMismatch = errors.New("not an answer to the question")

// Parse unpacks a message and checks that it answers a question that was sent with the given id.
func Parse(wire []byte, q Question, id uint16) (*dns.Msg, error) {
	m := new(dns.Msg)
	if err := m.Unpack(wire); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMismatch, err)
	}
	switch {
	case m.Id != id:
		return nil, fmt.Errorf("%w: id %d instead of %d", ErrMismatch, m.Id, id)
	case !m.Response || m.Opcode != dns.OpcodeQuery:
		return nil, fmt.Errorf("%w: no response to a query", ErrMismatch)
	case len(m.Question) == 0 && m.Rcode != dns.RcodeSuccess && m.Rcode != dns.RcodeNameError:
		// A server that could not parse the question need not repeat it.
	case len(m.Question) != 1 || dns.CanonicalName(m.Question[0].Name) != q.Name ||
		m.Question[0].Qtype != q.Type || m.Question[0].Qclass != dns.ClassINET:
		return nil, fmt.Errorf("%w: another question", ErrMismatch)
	}
	return m, nil
}

// Answer is the content of a message that answers a question.
type Answer struct {
	// Alias is the next name to query if the message has a CNAME chain but not the records at its
	// end. All other fields but Hops and TTL are empty then.
	Alias   string
	Hops    int // number of aliases followed within the message
	SRV     []*dns.SRV
	Addrs   []netip.Addr
	Extra   map[string][]netip.Addr // from the additional section, by name
	Missing bool                    // the name does not exist, or has no such record
	// TTL is the shortest lifetime of all records used. For a missing name it is the one that the
	// SOA states, or 0 without an SOA.
	TTL time.Duration
}

// The errors of a name server. Another one may be able to answer.
var (
	ErrServer    = errors.New("the name server failed")
	ErrTruncated = errors.New("the answer is truncated")
	ErrAliases   = errors.New("too many aliases, or a loop of them")
)

// MaxAliases is the maximum number of CNAME records in a chain.
const MaxAliases = 8

// Read returns the content of a message that answers a question. An error is a failure of the name
// server; with ErrTruncated the question has to be sent again over TCP.
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
				a.limitTTL(h.Ttl)
				continue
			}
			if h.Rrtype == q.Type && a.addRecord(rr) {
				a.limitTTL(h.Ttl)
			}
		}
		if len(a.SRV)+len(a.Addrs) > 0 {
			a.addExtra(m)
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
	a.TTL = negativeTTL(m)
	return a, nil
}

func rcode(code int) string {
	if s, ok := dns.RcodeToString[code]; ok {
		return s
	}
	return fmt.Sprintf("code %d", code)
}

// limitTTL lowers the lifetime to ttl seconds. A value with the top bit set counts as 0 (RFC 2181).
func (a *Answer) limitTTL(ttl uint32) {
	if ttl > 1<<31-1 {
		ttl = 0
	}
	if d := time.Duration(ttl) * time.Second; a.TTL < 0 || d < a.TTL {
		a.TTL = d
	}
}

// addRecord adds an SRV or address record and reports whether it was valid.
func (a *Answer) addRecord(rr dns.RR) bool {
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

// address returns the address of an A or AAAA record. It rejects addresses that no worker can have:
// the unspecified one and multicast ones.
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

// addExtra adds the addresses of SRV targets from the additional section.
func (a *Answer) addExtra(m *dns.Msg) {
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
			a.limitTTL(rr.Header().Ttl)
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

// negativeTTL returns how long a missing name counts as missing (RFC 2308, section 5).
func negativeTTL(m *dns.Msg) time.Duration {
	s := soa(m)
	if s == nil {
		return 0
	}
	var a Answer
	a.TTL = -1
	a.limitTTL(s.Hdr.Ttl)
	a.limitTTL(s.Minttl)
	return a.TTL
}
