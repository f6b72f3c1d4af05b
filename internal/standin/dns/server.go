// Package dns is a stand-in name server on loopback, over UDP and TCP, that
// answers from records it is given and misbehaves as a test tells it to.
package dns

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/miekg/dns"
)

// Query is one question that has come in.
type Query struct {
	Name string // canonical
	Type uint16
	TCP  bool
	Msg  *dns.Msg
}

// Reply is what becomes of a query. The zero value is silence, which over TCP
// leaves the connection open.
type Reply struct {
	Msgs  []*dns.Msg    // sent one after the other
	After time.Duration // before they are sent
	Cut   int           // over TCP, only so many bytes are sent, then the connection closes; 0: all
}

// Server is a running stand-in.
type Server struct {
	udp  net.PacketConn
	tcp  net.Listener
	done chan struct{}
	wg   sync.WaitGroup

	mu      sync.Mutex
	records []dns.RR
	script  func(Query, *dns.Msg) Reply
	queries []Query
	conns   map[net.Conn]bool
}

// SOA is what stands beside a negative answer; its lifetime is 5 s.
const SOA = "test. 60 IN SOA ns.test. admin.test. 1 60 60 60 5"

// New starts a server at a free port of 127.0.0.1.
func New() (*Server, error) {
	s := &Server{done: make(chan struct{}), conns: map[net.Conn]bool{}}
	for range 20 { // the port must be free for both
		var err error
		if s.udp, err = net.ListenPacket("udp", "127.0.0.1:0"); err != nil {
			return nil, fmt.Errorf("stand-in: %w", err)
		}
		if s.tcp, err = net.Listen("tcp", s.udp.LocalAddr().String()); err == nil {
			s.wg.Add(2)
			go s.serveUDP()
			go s.serveTCP()
			return s, nil
		}
		_ = s.udp.Close()
	}
	return nil, errors.New("stand-in: no port is free for both UDP and TCP")
}

// Addr is where it listens.
func (s *Server) Addr() string { return s.udp.LocalAddr().String() }

// Close ends it and waits until it has ended.
func (s *Server) Close() {
	close(s.done)
	_ = s.udp.Close()
	_ = s.tcp.Close()
	s.mu.Lock()
	for c := range s.conns {
		_ = c.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}

// Set replaces the records, each in the form of a zone file's line.
func (s *Server) Set(lines ...string) {
	var records []dns.RR
	for _, line := range lines {
		rr, err := dns.NewRR(line)
		if err != nil {
			panic(err) // the test's own mistake
		}
		records = append(records, rr)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records = records
}

// Script has f say what becomes of each query, given the honest answer; nil
// makes the server honest again.
func (s *Server) Script(f func(q Query, honest *dns.Msg) Reply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.script = f
}

// Queries are those that have come in, in order.
func (s *Server) Queries() []Query {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Query(nil), s.queries...)
}

// Honest sends an answer as it is.
func Honest(m *dns.Msg) Reply { return Reply{Msgs: []*dns.Msg{m}} }

// Code answers with a code and nothing else.
func Code(code int) func(Query, *dns.Msg) Reply {
	return func(_ Query, m *dns.Msg) Reply {
		return Honest(&dns.Msg{MsgHdr: dns.MsgHdr{Id: m.Id, Response: true, Rcode: code}, Question: m.Question})
	}
}

// Silent says nothing at all.
func Silent(Query, *dns.Msg) Reply { return Reply{} }

// answer is the honest answer: aliases are followed, addresses of targets come along.
func (s *Server) answer(q Query, size int) *dns.Msg {
	m := new(dns.Msg)
	m.SetReply(q.Msg)
	name, exists := q.Name, false
	for range 20 {
		alias := ""
		for _, rr := range s.records {
			if !strings.EqualFold(rr.Header().Name, name) {
				continue
			}
			exists = true
			if c, ok := rr.(*dns.CNAME); ok {
				m.Answer = append(m.Answer, rr)
				alias = dns.CanonicalName(c.Target)
			} else if rr.Header().Rrtype == q.Type {
				m.Answer = append(m.Answer, rr)
			}
		}
		if alias == "" {
			break
		}
		name = alias
	}
	for _, a := range m.Answer {
		srv, ok := a.(*dns.SRV)
		for _, rr := range s.records {
			t := rr.Header().Rrtype
			if ok && (t == dns.TypeA || t == dns.TypeAAAA) && strings.EqualFold(rr.Header().Name, srv.Target) {
				m.Extra = append(m.Extra, rr)
			}
		}
	}
	if len(m.Answer) == 0 {
		soa, err := dns.NewRR(SOA)
		if err != nil {
			panic(err)
		}
		m.Ns = []dns.RR{soa}
		if !exists {
			m.Rcode = dns.RcodeNameError
		}
	}
	if size > 0 {
		m.Truncate(size)
	}
	return m
}

// take books a query and finds out what becomes of it.
func (s *Server) take(wire []byte, tcp bool) (Reply, bool) {
	m := new(dns.Msg)
	if err := m.Unpack(wire); err != nil || len(m.Question) != 1 {
		return Reply{}, false
	}
	q := Query{Name: dns.CanonicalName(m.Question[0].Name), Type: m.Question[0].Qtype, TCP: tcp, Msg: m}
	size := 0
	if !tcp {
		size = dns.MinMsgSize
		if opt := m.IsEdns0(); opt != nil {
			size = int(opt.UDPSize())
		}
	}
	s.mu.Lock()
	honest, script := s.answer(q, size), s.script
	s.queries = append(s.queries, q)
	s.mu.Unlock()
	if script != nil {
		return script(q, honest), true
	}
	return Honest(honest), true
}

// wait tells whether the server still runs after d.
func (s *Server) wait(d time.Duration) bool {
	if d == 0 {
		return true
	}
	select {
	case <-time.After(d):
		return true
	case <-s.done:
		return false
	}
}

func (s *Server) serveUDP() {
	defer s.wg.Done()
	buf := make([]byte, 64<<10)
	for {
		n, from, err := s.udp.ReadFrom(buf)
		if err != nil {
			return
		}
		r, ok := s.take(buf[:n], false)
		if !ok {
			continue
		}
		s.wg.Add(1)
		go func() {
			defer s.wg.Done()
			if !s.wait(r.After) {
				return
			}
			for _, m := range r.Msgs {
				if wire, err := m.Pack(); err == nil {
					_, _ = s.udp.WriteTo(wire, from)
				}
			}
		}()
	}
}

func (s *Server) serveTCP() {
	defer s.wg.Done()
	for {
		c, err := s.tcp.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		s.wg.Add(1)
		go func() {
			defer s.wg.Done()
			s.converse(c)
			_ = c.Close()
			s.mu.Lock()
			delete(s.conns, c)
			s.mu.Unlock()
		}()
	}
}

// converse serves one connection: each message has its length before it.
func (s *Server) converse(c net.Conn) {
	for {
		var size [2]byte
		if _, err := io.ReadFull(c, size[:]); err != nil {
			return
		}
		wire := make([]byte, binary.BigEndian.Uint16(size[:]))
		if _, err := io.ReadFull(c, wire); err != nil {
			return
		}
		r, ok := s.take(wire, true)
		if !ok || !s.wait(r.After) {
			return
		}
		for _, m := range r.Msgs {
			wire, err := m.Pack()
			if err != nil {
				return
			}
			out := append(binary.BigEndian.AppendUint16(nil, uint16(len(wire))), wire...)
			if r.Cut > 0 {
				_, _ = c.Write(out[:min(r.Cut, len(out))])
				return
			}
			if _, err := c.Write(out); err != nil {
				return
			}
		}
	}
}
