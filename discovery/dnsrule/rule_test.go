package dnsrule

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/miekg/dns"
	"github.com/stretchr/testify/require"
)

var service = Question{"_chat._tcp.test.", dns.TypeSRV}

// message returns a response to a question with the given records. Records after "extra" or "ns" go
// into that section.
func message(t testing.TB, q Question, code int, lines ...string) *dns.Msg {
	m := q.Message(7)
	m.Response, m.Rcode, m.Extra = true, code, nil
	to := &m.Answer
	for _, line := range lines {
		switch line {
		case "extra":
			to = &m.Extra
			continue
		case "ns":
			to = &m.Ns
			continue
		}
		rr, err := dns.NewRR(line)
		require.NoError(t, err)
		*to = append(*to, rr)
	}
	return m
}

func wire(t testing.TB, m *dns.Msg) []byte {
	out, err := m.Pack()
	require.NoError(t, err)
	return out
}

func TestParseTakesOnlyTheAnswerToTheQuestion(t *testing.T) {
	good := message(t, service, 0)
	_, err := Parse(wire(t, good), service, 7)
	require.NoError(t, err)
	upperCase := message(t, service, 0)
	upperCase.Question[0].Name = "_CHAT._tcp.Test." // servers may or may not keep the case of letters
	_, err = Parse(wire(t, upperCase), service, 7)
	require.NoError(t, err)
	for name, spoil := range map[string]func(*dns.Msg){
		"id":          func(m *dns.Msg) { m.Id = 8 },
		"query":       func(m *dns.Msg) { m.Response = false },
		"opcode":      func(m *dns.Msg) { m.Opcode = dns.OpcodeUpdate },
		"name":        func(m *dns.Msg) { m.Question[0].Name = "else." },
		"type":        func(m *dns.Msg) { m.Question[0].Qtype = dns.TypeA },
		"class":       func(m *dns.Msg) { m.Question[0].Qclass = dns.ClassCHAOS },
		"no question": func(m *dns.Msg) { m.Question = nil },
	} {
		m := message(t, service, 0)
		spoil(m)
		_, err := Parse(wire(t, m), service, 7)
		require.ErrorIs(t, err, ErrMismatch, name)
	}
	_, err = Parse([]byte("nonsense"), service, 7)
	require.ErrorIs(t, err, ErrMismatch)
	refused := message(t, service, dns.RcodeFormatError)
	refused.Question = nil
	m, err := Parse(wire(t, refused), service, 7)
	require.NoError(t, err)
	_, err = Read(m, service)
	require.ErrorIs(t, err, ErrServer)
}

const (
	srvA  = "_chat._tcp.test. 60 IN SRV 10 5 9001 a.test."
	srvB  = "_chat._tcp.test. 30 IN SRV 20 5 9002 b.test."
	addrA = "a.test. 20 IN A 10.0.0.1"
	soaT  = "test. 60 IN SOA ns.test. admin.test. 1 60 60 60 5"
)

func TestReadDistinguishesAnswers(t *testing.T) {
	for _, code := range []int{dns.RcodeServerFailure, dns.RcodeRefused, dns.RcodeNotImplemented, 4095} {
		_, err := Read(&dns.Msg{MsgHdr: dns.MsgHdr{Rcode: code}}, service)
		require.ErrorIs(t, err, ErrServer, code)
	}
	cut := message(t, service, 0, srvA)
	cut.Truncated = true
	_, err := Read(cut, service)
	require.ErrorIs(t, err, ErrTruncated, "the records of a truncated answer are not used")

	a, err := Read(message(t, service, 0, srvA, srvB, "_chat._tcp.test. 1 CH SRV 1 1 1 c.test.",
		"extra", addrA, "a.test. 20 IN AAAA 2001:db8::1", "evil.test. 1 IN A 10.6.6.6", "b.test. 20 IN A 0.0.0.0", "b.test. 20 IN A 224.0.0.1"), service)
	require.NoError(t, err)
	require.Len(t, a.SRV, 2)
	require.Equal(t, 20*time.Second, a.TTL)
	require.Equal(t, map[string][]netip.Addr{"a.test.": {netip.MustParseAddr("10.0.0.1"), netip.MustParseAddr("2001:db8::1")}}, a.Extra)

	a, err = Read(message(t, service, dns.RcodeNameError, "ns", soaT), service)
	require.NoError(t, err)
	require.True(t, a.Missing)
	require.Equal(t, 5*time.Second, a.TTL, "the SOA's minimum, if it is shorter than the SOA's lifetime")
	a, err = Read(message(t, service, 0), service)
	require.NoError(t, err)
	require.True(t, a.Missing)
	require.Zero(t, a.TTL)
	a, err = Read(message(t, service, 0, "_chat._tcp.test. 4294967295 IN SRV 1 1 1 c.test."), service)
	require.NoError(t, err)
	require.Zero(t, a.TTL)
}

func TestAliases(t *testing.T) {
	a, err := Read(message(t, service, 0, "_chat._tcp.test. 50 IN CNAME x.test.", "X.test. 40 IN SRV 1 1 9001 a.test."), service)
	require.NoError(t, err)
	require.Len(t, a.SRV, 1)
	require.Equal(t, 40*time.Second, a.TTL)
	a, err = Read(message(t, service, 0, "_chat._tcp.test. 50 IN CNAME x.test."), service)
	require.NoError(t, err)
	require.Equal(t, "x.test.", a.Alias, "the next name to query")
	a, err = Read(message(t, service, 0, "_chat._tcp.test. 50 IN CNAME x.test.", "ns", soaT), service)
	require.NoError(t, err)
	require.True(t, a.Missing)
	_, err = Read(message(t, service, 0, "_chat._tcp.test. 50 IN CNAME x.test.", "x.test. 50 IN CNAME _chat._tcp.test."), service)
	require.ErrorIs(t, err, ErrAliases)

	// A loop over several messages is ended at MaxAliases.
	l := NewLookup(service.Name, IPv4)
	asked := 0
	for !l.Done() {
		for _, q := range l.NextQuestions() {
			asked++
			l.Answered(q, Answer{Alias: fmt.Sprintf("x%d.test.", asked%2), Hops: 1})
		}
	}
	_, err = l.Result()
	require.ErrorIs(t, err, ErrAliases)
	require.LessOrEqual(t, asked, MaxAliases+1)
}

// drive answers a look-up from the given messages. Questions without a message fail.
func drive(t testing.TB, l *Lookup, answers map[Question]*dns.Msg) (asked []Question) {
	for !l.Done() {
		for _, q := range l.NextQuestions() {
			asked = append(asked, q)
			m := answers[q]
			if m == nil {
				l.Failed(q, errors.New("no answer"))
				continue
			}
			a, err := Read(m, q)
			require.NoError(t, err)
			l.Answered(q, a)
		}
	}
	return asked
}

func TestLookupQueriesMissingAddresses(t *testing.T) {
	b4, b6 := Question{"b.test.", dns.TypeA}, Question{"b.test.", dns.TypeAAAA}
	real4 := Question{"real.test.", dns.TypeA}
	answers := map[Question]*dns.Msg{
		service: message(t, service, 0, srvA, srvB, "_chat._tcp.test. 30 IN SRV 20 5 9003 b.test.", "extra", addrA),
		b4:      message(t, b4, 0, "b.test. 25 IN CNAME real.test."),
		real4:   message(t, real4, 0, "real.test. 15 IN A 10.0.0.2"),
		b6:      message(t, b6, 0, "ns", soaT),
	}
	l := NewLookup("_Chat._tcp.test", Both)
	require.Equal(t, []Question{service, b4, b6, real4}, drive(t, l, answers))
	r, err := l.Result()
	require.NoError(t, err)
	require.Equal(t, []Endpoint{{netip.MustParseAddrPort("10.0.0.1:9001"), "a.test", 10, 5},
		{netip.MustParseAddrPort("10.0.0.2:9002"), "b.test", 20, 5}, {netip.MustParseAddrPort("10.0.0.2:9003"), "b.test", 20, 5}}, r.Endpoints)
	require.Equal(t, 15*time.Second, r.TTL, "a missing family does not limit the lifetime")

	// A target whose address cannot be queried keeps its endpoints from the earlier result.
	delete(answers, real4)
	answers[service] = message(t, service, 0, srvA, srvB, "extra", addrA)
	l = NewLookup(service.Name, IPv4)
	drive(t, l, answers)
	again, err := l.Result()
	require.NoError(t, err)
	require.Contains(t, again.Unknown, "b.test")
	require.Len(t, again.Endpoints, 1)
	require.Len(t, again.KeepUnknown(r).Endpoints, 3)

	// A target without an address loses its endpoints.
	answers[b4] = message(t, b4, dns.RcodeNameError, "ns", soaT)
	l = NewLookup(service.Name, IPv4)
	drive(t, l, answers)
	again, err = l.Result()
	require.NoError(t, err)
	require.Equal(t, []string{"b.test"}, again.WithoutAddress)
	require.Len(t, again.KeepUnknown(r).Endpoints, 1)
}

func TestTwoTargetsWithOneAlias(t *testing.T) {
	a4, b4, both := Question{"a.test.", dns.TypeA}, Question{"b.test.", dns.TypeA}, Question{"both.test.", dns.TypeA}
	l := NewLookup(service.Name, IPv4)
	drive(t, l, map[Question]*dns.Msg{
		service: message(t, service, 0, srvA, srvB),
		a4:      message(t, a4, 0, "a.test. 9 IN CNAME both.test."), b4: message(t, b4, 0, "b.test. 9 IN CNAME both.test."),
		both: message(t, both, 0, "both.test. 9 IN A 10.0.0.3"),
	})
	r, err := l.Result()
	require.NoError(t, err)
	require.Len(t, r.Endpoints, 2)
}

func TestClosedService(t *testing.T) {
	for lines, closed := range map[string]bool{"_chat._tcp.test. 60 IN SRV 0 0 0 .": true, srvA: false} {
		l := NewLookup(service.Name, IPv4)
		drive(t, l, map[Question]*dns.Msg{service: message(t, service, 0, lines, "extra", addrA)})
		r, err := l.Result()
		require.NoError(t, err)
		require.Equal(t, closed, r.Closed)
		require.Equal(t, closed, len(r.Endpoints) == 0)
	}
}

func TestOneAddressUnderTwoPriorities(t *testing.T) {
	l := NewLookup(service.Name, IPv4)
	drive(t, l, map[Question]*dns.Msg{service: message(t, service, 0, "_chat._tcp.test. 60 IN SRV 20 5 9001 a.test.", srvA, "extra", addrA)})
	r, err := l.Result()
	require.NoError(t, err)
	require.Len(t, r.Endpoints, 1)
	require.Equal(t, 10, r.Endpoints[0].Priority)
}

func TestAgreement(t *testing.T) {
	at := func(ttl time.Duration, addrs ...string) (r Result) {
		r.TTL = ttl
		for _, a := range addrs {
			r.Endpoints = append(r.Endpoints, Endpoint{Addr: netip.MustParseAddrPort(a)})
		}
		return r
	}
	honest, lie := at(9, "10.0.0.1:1", "10.0.0.2:1"), at(5, "10.6.6.6:1")
	r, err := Agree([]Result{lie, honest, at(7, "10.0.0.1:1", "10.0.0.2:1")}, 2)
	require.NoError(t, err)
	require.Equal(t, honest.Endpoints, r.Endpoints)
	require.EqualValues(t, 7, r.TTL)
	_, err = Agree([]Result{lie, honest}, 2)
	require.ErrorIs(t, err, ErrNoAgreement)
	_, err = Agree(nil, 1)
	require.ErrorIs(t, err, ErrNoAgreement)
}

func TestWeights(t *testing.T) {
	w := func(in ...int) []float64 {
		var e []Endpoint
		for _, x := range in {
			e = append(e, Endpoint{Weight: x})
		}
		return Weights(e)
	}
	require.Equal(t, []float64{1, 1}, w(0, 0))
	require.Equal(t, []float64{1, 1, 1}, w(500, 500, 500))
	require.Equal(t, []float64{0.05, 0.5, 1, 20}, w(0, 5, 10, 9000))
}

var times = Lifetimes{Min: 5 * time.Second, Max: 5 * time.Minute, NegMin: 2 * time.Second, NegMax: 30 * time.Second,
	RetryMin: time.Second, RetryMax: time.Minute, Spread: 0.25}

func TestLifetimesHaveBounds(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for _, c := range []struct {
		ttl      time.Duration
		missing  bool
		from, to time.Duration
	}{
		{0, false, 2500 * time.Millisecond, 5 * time.Second},
		{365 * 24 * time.Hour, false, 225 * time.Second, 300 * time.Second},
		{time.Minute, false, 45 * time.Second, time.Minute},
		{0, true, time.Second, 2 * time.Second},
		{time.Hour, true, 22500 * time.Millisecond, 30 * time.Second},
	} {
		for range 200 {
			s := NewSchedule(times, rng)
			s.first = false
			d := s.AfterAnswer(c.ttl, c.missing, true)
			require.GreaterOrEqual(t, d, c.from)
			require.LessOrEqual(t, d, c.to)
		}
	}
	for range 200 { // the first refresh is spread over the whole lifetime above the lower bound
		require.GreaterOrEqual(t, NewSchedule(times, rng).AfterAnswer(0, false, true), times.Min/2)
	}
}

func TestRetriesBackOff(t *testing.T) {
	s := NewSchedule(times, rand.New(rand.NewPCG(1, 2)))
	for i := range 20 {
		full := min(times.RetryMin<<min(i, 10), times.RetryMax)
		d := s.AfterFailure()
		require.GreaterOrEqual(t, d, full/2, i)
		require.LessOrEqual(t, d, full, i)
	}
	require.LessOrEqual(t, s.AfterAnswer(time.Hour, false, false), times.RetryMax, "an incomplete result is refreshed soon")
	s.AfterAnswer(time.Hour, false, true)
	require.LessOrEqual(t, s.AfterFailure(), times.RetryMin)
}

func TestFailedServersAreOrderedLast(t *testing.T) {
	now := time.Unix(1000, 0)
	s := NewServers(3, time.Second, 4*time.Second)
	require.Equal(t, []int{0, 1, 2}, s.Order(now))
	s.Failed(0, now)
	require.Equal(t, []int{1, 2, 0}, s.Order(now))
	s.Failed(1, now)
	s.Failed(1, now)
	s.Failed(2, now)
	require.Equal(t, []int{0, 2, 1}, s.Order(now))
	require.Equal(t, []int{0, 2, 1}, s.Order(now.Add(time.Second)))
	require.Equal(t, []int{0, 1, 2}, s.Order(now.Add(2*time.Second)))
	for range 40 {
		s.Failed(0, now)
	}
	require.Equal(t, []int{0, 1, 2}, s.Order(now.Add(4*time.Second)), "however often it failed")
	s.Failed(1, now.Add(5*time.Second))
	s.Succeeded(1)
	require.Equal(t, []int{0, 1, 2}, s.Order(now.Add(5*time.Second)))
}

// FuzzAnswer checks the guarantees of this package for arbitrary messages.
func FuzzAnswer(f *testing.F) {
	f.Add(wire(f, message(f, service, 0, srvA, srvB, "extra", addrA)))
	f.Add(wire(f, message(f, service, dns.RcodeNameError, "ns", soaT)))
	f.Add(wire(f, message(f, service, 0, "_chat._tcp.test. 50 IN CNAME x.test.", "x.test. 50 IN CNAME _chat._tcp.test.")))
	f.Add([]byte{0, 7, 0x84})
	f.Fuzz(func(t *testing.T, in []byte) {
		m, err := Parse(in, service, 7)
		if err != nil {
			require.ErrorIs(t, err, ErrMismatch)
			return
		}
		a, err := Read(m, service)
		if err != nil {
			return
		}
		require.True(t, a.TTL >= 0 && a.TTL < 1<<31*time.Second)
		if a.Missing || a.Alias != "" {
			require.Empty(t, a.SRV)
		}
		l := NewLookup(service.Name, Both)
		for _, q := range l.NextQuestions() {
			l.Answered(q, a)
		}
		for i := 0; !l.Done(); i++ {
			require.Less(t, i, 10*MaxAliases, "it ends")
			for _, q := range l.NextQuestions() {
				l.Answered(q, Answer{Missing: true})
			}
			if a.Alias != "" {
				return
			}
		}
		r, err := l.Result()
		require.NoError(t, err)
		seen := map[netip.AddrPort]bool{}
		for i, e := range r.Endpoints {
			require.True(t, e.Addr.IsValid() && e.Addr.Port() != 0 && !seen[e.Addr])
			seen[e.Addr] = true
			require.True(t, i == 0 || r.Endpoints[i-1].Priority <= e.Priority)
		}
	})
}
