package dnssrv

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	mdns "github.com/miekg/dns"
	"github.com/stretchr/testify/require"

	"lichenshelf/discovery/dnsrule"
	"lichenshelf/discovery/membership"
	"lichenshelf/internal/standin/dns"
)

const service = "_chat._tcp.test."

func standin(t testing.TB) *dns.Server {
	s, err := dns.New()
	require.NoError(t, err)
	t.Cleanup(s.Close)
	return s
}

func testConfig(servers ...*dns.Server) Config {
	c := Config{Service: service, Family: dnsrule.Both, Timeout: 100 * time.Millisecond, Deadline: 20 * time.Second, Parallel: 8}
	for _, s := range servers {
		c.Servers = append(c.Servers, s.Addr())
	}
	return c
}

func lookup(t testing.TB, c Config) (addrs []string, r dnsrule.Result, err error) {
	r, err = NewResolver(c).Lookup(t.Context())
	for _, e := range r.Endpoints {
		addrs = append(addrs, e.Addr.String())
	}
	return addrs, r, err
}

func targets(n int) (lines []string) {
	for i := range n {
		lines = append(lines, fmt.Sprintf("%s 30 IN SRV 1 1 9000 w%d.test.", service, i),
			fmt.Sprintf("w%d.test. 30 IN A 10.0.%d.%d", i, i/250, i%250+1))
	}
	return lines
}

func TestLookup(t *testing.T) {
	s := standin(t)
	s.Set(targets(2)...)
	addrs, r, err := lookup(t, testConfig(s))
	require.NoError(t, err)
	require.Equal(t, []string{"10.0.0.1:9000", "10.0.0.2:9000"}, addrs)
	require.Equal(t, 30*time.Second, r.TTL)
	require.Len(t, s.Queries(), 1, "the answer includes the addresses")
	s.Set()
	_, r, err = lookup(t, testConfig(s))
	require.NoError(t, err)
	require.True(t, r.Missing)
	require.Equal(t, 5*time.Second, r.TTL)
}

func TestFiveHundredTargetsArriveOverTCP(t *testing.T) {
	s := standin(t)
	s.Set(targets(500)...)
	addrs, _, err := lookup(t, testConfig(s))
	require.NoError(t, err)
	require.Len(t, addrs, 500)
	require.True(t, s.Queries()[1].TCP)
}

func TestAddressesOfFiveHundredTargetsAreQueried(t *testing.T) {
	s := standin(t)
	s.Set(targets(500)...)
	s.Script(func(_ dns.Query, m *mdns.Msg) dns.Reply { m.Extra = nil; return dns.Honest(m) })
	c := testConfig(s)
	c.Family, c.Timeout = dnsrule.IPv4, 5*time.Second
	addrs, _, err := lookup(t, c)
	require.NoError(t, err)
	require.Len(t, addrs, 500)
}

func TestTruncatedAnswersWhoseTCPFails(t *testing.T) {
	whole := func(m *mdns.Msg) dns.Reply { return dns.Honest(m) }
	for name, reply := range map[string]func(*mdns.Msg) dns.Reply{
		"hangs":         func(*mdns.Msg) dns.Reply { return dns.Reply{} },
		"closes midway": func(m *mdns.Msg) dns.Reply { return dns.Reply{Msgs: []*mdns.Msg{m}, MaxBytes: 100} },
		"cut length":    func(m *mdns.Msg) dns.Reply { return dns.Reply{Msgs: []*mdns.Msg{m}, MaxBytes: 1} },
		"wrong id":      func(m *mdns.Msg) dns.Reply { m.Id++; return whole(m) },
		"truncated too": func(m *mdns.Msg) dns.Reply { m.Truncated = true; return whole(m) },
	} {
		t.Run(name, func(t *testing.T) {
			bad, good := standin(t), standin(t)
			bad.Set(targets(300)...)
			good.Set(targets(300)...)
			bad.Script(func(q dns.Query, m *mdns.Msg) dns.Reply {
				if q.TCP {
					return reply(m)
				}
				return whole(m)
			})
			addrs, _, err := lookup(t, testConfig(bad, good))
			require.NoError(t, err)
			require.Len(t, addrs, 300, "the next server answers")
			_, _, err = lookup(t, testConfig(bad))
			require.Error(t, err, "an incomplete answer is never used")
		})
	}
}

func TestFailingServersAreSkipped(t *testing.T) {
	closed, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	closedAddr := closed.LocalAddr().String()
	require.NoError(t, closed.Close())
	for name, script := range map[string]func(dns.Query, *mdns.Msg) dns.Reply{
		"SERVFAIL": dns.Code(mdns.RcodeServerFailure), "REFUSED": dns.Code(mdns.RcodeRefused), "silent": dns.Silent,
		"connection refused": nil,
	} {
		t.Run(name, func(t *testing.T) {
			bad, good := standin(t), standin(t)
			bad.Script(script)
			good.Set(targets(1)...)
			c := testConfig(bad, good)
			if script == nil {
				c.Servers[0] = closedAddr
			}
			r := NewResolver(c)
			for range 3 {
				got, err := r.Lookup(t.Context())
				require.NoError(t, err)
				require.Len(t, got.Endpoints, 1)
			}
			require.LessOrEqual(t, len(bad.Queries()), 1, "after a failure it is asked last")
			c.Servers = c.Servers[:1]
			_, _, err := lookup(t, c)
			require.ErrorContains(t, err, "no name server answered")
		})
	}
}

func TestMismatchedAnswersAreIgnored(t *testing.T) {
	other := func(m *mdns.Msg, alter func(*mdns.Msg)) *mdns.Msg {
		forged := m.Copy()
		forged.Answer = nil
		forged.Rcode = mdns.RcodeNameError
		alter(forged)
		return forged
	}
	for name, alter := range map[string]func(*mdns.Msg){
		"wrong id":       func(m *mdns.Msg) { m.Id++ },
		"wrong question": func(m *mdns.Msg) { m.Question[0].Name = "else.test." },
		"a query":        func(m *mdns.Msg) { m.Response = false },
	} {
		s := standin(t)
		s.Set(targets(1)...)
		s.Script(func(_ dns.Query, m *mdns.Msg) dns.Reply { return dns.Reply{Msgs: []*mdns.Msg{other(m, alter), m}} })
		addrs, _, err := lookup(t, testConfig(s))
		require.NoError(t, err, name)
		require.Len(t, addrs, 1, name)
	}
	// A second, different answer is ignored.
	s := standin(t)
	s.Set(targets(1)...)
	s.Script(func(_ dns.Query, m *mdns.Msg) dns.Reply {
		return dns.Reply{Msgs: []*mdns.Msg{m, other(m, func(*mdns.Msg) {})}}
	})
	addrs, _, err := lookup(t, testConfig(s))
	require.NoError(t, err)
	require.Len(t, addrs, 1)
}

// Answers from another port than the one queried must not be accepted.
func TestAnswersFromElsewhereAreDropped(t *testing.T) {
	front, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	otherPort, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	defer front.Close()
	defer otherPort.Close()
	go func() {
		buf := make([]byte, 4096)
		for {
			n, from, err := front.ReadFrom(buf)
			if err != nil {
				return
			}
			m := new(mdns.Msg)
			if m.Unpack(buf[:n]) != nil {
				return
			}
			forged, err := m.SetRcode(m, mdns.RcodeNameError).Pack()
			if err != nil {
				return
			}
			_, _ = otherPort.WriteTo(forged, from)
		}
	}()
	c := testConfig()
	c.Servers = []string{front.LocalAddr().String()}
	_, _, err = lookup(t, c)
	require.Error(t, err)
}

func TestOneOfThreeServersDisagrees(t *testing.T) {
	a, b, wrong := standin(t), standin(t), standin(t)
	a.Set(targets(3)...)
	b.Set(targets(3)...)
	wrong.Set(service+" 30 IN SRV 1 1 666 evil.test.", "evil.test. 30 IN A 10.6.6.6")
	c := testConfig(wrong, a, b)
	c.Agree = 2
	addrs, _, err := lookup(t, c)
	require.NoError(t, err)
	require.Len(t, addrs, 3)
	b.Script(dns.Silent)
	_, _, err = lookup(t, c)
	require.ErrorIs(t, err, dnsrule.ErrNoAgreement)
}

func TestAliasLoopOverManyAnswers(t *testing.T) {
	s := standin(t)
	s.Set(service+" 30 IN CNAME x.test.", "x.test. 30 IN CNAME "+service)
	_, _, err := lookup(t, testConfig(s))
	require.ErrorIs(t, err, dnsrule.ErrAliases)
	s.Script(func(q dns.Query, m *mdns.Msg) dns.Reply { // one alias per message
		m.Answer = m.Answer[:1]
		return dns.Honest(m)
	})
	_, _, err = lookup(t, testConfig(s))
	require.ErrorIs(t, err, dnsrule.ErrAliases)
}

func TestLookupHasADeadline(t *testing.T) {
	s := standin(t)
	s.Script(dns.Silent)
	c := testConfig(s)
	c.Timeout, c.Deadline = time.Hour, 50*time.Millisecond
	_, _, err := lookup(t, c)
	require.ErrorIs(t, err, context.DeadlineExceeded)
}

// scriptedFinder is a finder that returns one scripted result after the other.
type scriptedFinder struct {
	mu    sync.Mutex
	steps []func(context.Context) (dnsrule.Result, error)
	at    []time.Time
}

func (s *scriptedFinder) Lookup(ctx context.Context) (dnsrule.Result, error) {
	s.mu.Lock()
	s.at = append(s.at, time.Now())
	step := s.steps[min(len(s.at), len(s.steps))-1]
	s.mu.Unlock()
	return step(ctx)
}

type recordingSink struct {
	mu      sync.Mutex
	reports []membership.Report
	fails   []error
	warns   []error
}

func (h *recordingSink) Report(r membership.Report) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reports = append(h.reports, r)
}

func (h *recordingSink) Fail(err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.fails = append(h.fails, err)
}

func (h *recordingSink) Warn(err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.warns = append(h.warns, err)
}

var times = dnsrule.Lifetimes{Min: 5 * time.Second, Max: time.Minute, NegMin: 2 * time.Second, NegMax: 10 * time.Second,
	RetryMin: time.Second, RetryMax: 8 * time.Second, Spread: 0}

func returns(r dnsrule.Result, err error) func(context.Context) (dnsrule.Result, error) {
	return func(context.Context) (dnsrule.Result, error) { return r, err }
}

func TestSourceRefreshesWhenLifetimesEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &scriptedFinder{steps: []func(context.Context) (dnsrule.Result, error){
			returns(dnsrule.Result{TTL: 0}, nil),
			returns(dnsrule.Result{TTL: 1000 * time.Hour}, nil),
			returns(dnsrule.Result{Missing: true, TTL: time.Hour}, nil),
			returns(dnsrule.Result{}, errors.New("down")),
			returns(dnsrule.Result{Closed: true, TTL: time.Hour}, nil),
		}}
		var sink recordingSink
		ctx, cancel := context.WithCancel(t.Context())
		go NewSource(f, times, membership.Entry{Cell: 3}, rand.New(rand.NewPCG(1, 1))).Run(ctx, &sink)
		time.Sleep(5*time.Second + time.Minute + 10*time.Second + 2*time.Second)
		cancel()
		synctest.Wait()
		var waits []time.Duration
		for i := range f.at[1:] {
			waits = append(waits, f.at[i+1].Sub(f.at[i]))
		}
		require.Equal(t, []time.Duration{5 * time.Second, time.Minute, 10 * time.Second}, waits[:3])
		require.Less(t, waits[3], time.Second)
		require.Len(t, sink.reports, 4)
		require.Len(t, sink.fails, 1)
		require.True(t, sink.reports[3].Confirmed)
	})
}

// A look-up that is under way when its source is stopped must not be reported.
func TestNoReportAfterCancellation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &scriptedFinder{steps: []func(context.Context) (dnsrule.Result, error){func(ctx context.Context) (dnsrule.Result, error) {
			<-ctx.Done()
			return dnsrule.Result{TTL: time.Minute}, nil
		}}}
		var sink recordingSink
		ctx, cancel := context.WithCancel(t.Context())
		go NewSource(f, times, membership.Entry{}, rand.New(rand.NewPCG(1, 1))).Run(ctx, &sink)
		time.Sleep(time.Second)
		cancel()
		synctest.Wait()
		require.Empty(t, sink.reports)
		require.Empty(t, sink.fails)
	})
}
