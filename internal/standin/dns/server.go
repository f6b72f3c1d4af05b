// Package dns is a stand-in name server on loopback, over UDP and TCP. It answers from the records
// that a test sets, and a test's script may delay, replace, truncate or drop answers.
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

// Query is a received query.
type Query struct {
	Name string // canonical
	Type uint16
	TCP  bool
	Msg  *dns.Msg
}

// Reply defines the response to a query. The zero value sends nothing; over TCP it leaves the
// connection open.
type Reply struct {
	Msgs     []*dns.Msg    // sent one after the other
	Delay    time.Duration // delay before they are sent
	MaxBytes int           // over TCP, the connection is closed after so many bytes; 0: no limit
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

// SOA is the record in the authority section of negative answers; their TTL is 5 s.
const SOA = "test. 60 IN SOA ns.test. admin.test. 1 60 60 60 5"

// New starts a server on a free port of 127.0.0.1.
func New() (*Server, error) {
	s := &Server{done: make(chan struct{}), conns: map[net.Conn]bool{}}
	for range 20 { // attempts to find a port that is free for both UDP and TCP
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

// Addr returns the address on which the server listens, as host:port.
func (s *Server) Addr() string { return s.udp.LocalAddr().String() }

// Close stops the server and waits until its goroutines have ended.
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

// Set replaces the records. Each is a line in zone file format.
func (s *Server) Set(lines ...string) {
	var records []dns.RR
	for _, line := range lines {
		rr, err := dns.NewRR(line)
		if err != nil {
			panic(err) // the test passed an invalid record
		}
		records = append(records, rr)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records = records
}

// Script sets the function that decides the reply to each query, given the correct answer. With
// nil, the server sends correct answers again.
func (s *Server) Script(f func(q Query, correct *dns.Msg) Reply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.script = f
}

// Queries returns all received queries, in order.
func (s *Server) Queries() []Query {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Query(nil), s.queries...)
}

// Honest returns a reply that sends an answer unchanged.
func Honest(m *dns.Msg) Reply { return Reply{Msgs: []*dns.Msg{m}} }

// Code returns a script that answers with a response code and no records.
func Code(code int) func(Query, *dns.Msg) Reply {
	return func(_ Query, m *dns.Msg) Reply {
		return Honest(&dns.Msg{MsgHdr: dns.MsgHdr{Id: m.Id, Response: true, Rcode: code}, Question: m.Question})
	}
}

// Silent is a script that sends no answer.
func Silent(Query, *dns.Msg) Reply { return Reply{} }

// answer returns the correct answer: it follows aliases (CNAME) and adds the addresses of SRV
// targets. A size above 0 limits its length in bytes.
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

// handle records a query and returns the reply to it; false if the query is invalid.
func (s *Server) handle(wire []byte, tcp bool) (Reply, bool) {
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
	correct, script := s.answer(q, size), s.script
	s.queries = append(s.queries, q)
	s.mu.Unlock()
	if script != nil {
		return script(q, correct), true
	}
	return Honest(correct), true
}

// wait waits for d and reports whether the server is still running.
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
		r, ok := s.handle(buf[:n], false)
		if !ok {
			continue
		}
		s.wg.Add(1)
		go func() {
			defer s.wg.Done()
			if !s.wait(r.Delay) {
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
			s.serveConn(c)
			_ = c.Close()
			s.mu.Lock()
			delete(s.conns, c)
			s.mu.Unlock()
		}()
	}
}

// serveConn serves one TCP connection, on which each message is preceded by its length.
func (s *Server) serveConn(c net.Conn) {
	for {
		var size [2]byte
		if _, err := io.ReadFull(c, size[:]); err != nil {
			return
		}
		wire := make([]byte, binary.BigEndian.Uint16(size[:]))
		if _, err := io.ReadFull(c, wire); err != nil {
			return
		}
		r, ok := s.handle(wire, true)
		if !ok || !s.wait(r.Delay) {
			return
		}
		for _, m := range r.Msgs {
			wire, err := m.Pack()
			if err != nil {
				return
			}
			out := append(binary.BigEndian.AppendUint16(nil, uint16(len(wire))), wire...)
			if r.MaxBytes > 0 {
				_, _ = c.Write(out[:min(r.MaxBytes, len(out))])
				return
			}
			if _, err := c.Write(out); err != nil {
				return
			}
		}
	}
}
