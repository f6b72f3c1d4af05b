// Package zk is a stand-in coordination server on loopback. It implements the part of the ZooKeeper
// client protocol that readers of ephemeral nodes use and keeps its nodes in memory. A test can
// expire sessions, and delay, duplicate and drop watch events.
package zk

import (
	"fmt"
	"net"
	"path"
	"slices"
	"strings"
	"sync"
	"time"

	"lichenshelf/discovery/zkwire"
)

// Delivery defines the delivery of a watch event. The zero value sends the event once and without
// delay.
type Delivery struct {
	Drop      bool
	Duplicate bool          // one more event is sent without delay
	Delay     time.Duration // delay before the event is sent
}

// Server is a running stand-in.
type Server struct {
	listener net.Listener
	wg       sync.WaitGroup

	mu       sync.Mutex
	closed   bool
	zxid     int64
	sessions int64
	nodes    map[string]*node
	clients  map[int64]*client // by session
	script   func(zkwire.WatcherEvent) Delivery
	refusing bool
	requests int
	conns    map[net.Conn]bool
}

type node struct {
	data []byte
	stat zkwire.Stat
}

// client is the session of a client.
type client struct {
	id       int64
	password []byte
	timeout  int32
	conn     *conn // nil while the client is disconnected
}

type conn struct {
	net.Conn
	out     chan []byte
	watches map[kind]map[string]bool
}

// kind is the type of a watch.
type kind int

const (
	onData kind = iota // also for nodes that do not exist yet
	onChildren
)

// New starts a server on a free port of 127.0.0.1.
func New() (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("stand-in: %w", err)
	}
	s := &Server{listener: l, nodes: map[string]*node{"/": {}}, clients: map[int64]*client{}, conns: map[net.Conn]bool{}}
	s.wg.Add(1)
	go s.accept()
	return s, nil
}

// Addr returns the address on which the server listens, as host:port.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Close stops the server and waits until its goroutines have ended.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	_ = s.listener.Close()
	s.Cut()
	s.wg.Wait()
}

// Cut closes all connections; sessions remain.
func (s *Server) Cut() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
}

// Refuse sets whether new connections are closed at once.
func (s *Server) Refuse(refuse bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusing = refuse
}

// Script sets the function that decides the delivery of each watch event. With nil, every event is
// sent once and without delay again.
func (s *Server) Script(f func(zkwire.WatcherEvent) Delivery) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.script = f
}

// Requests returns the number of requests received so far, except pings.
func (s *Server) Requests() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests
}

// ExpireClients expires the sessions of all clients, connected or not, and closes all connections.
func (s *Server) ExpireClients() {
	s.mu.Lock()
	clear(s.clients)
	s.mu.Unlock()
	s.Cut()
}

// Create creates a node. A node with an owner other than 0 is removed when Expire is called with
// that owner.
func (s *Server) Create(p, data string, owner int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.zxid++
	now := time.Now().UnixMilli()
	s.nodes[p] = &node{data: []byte(data), stat: zkwire.Stat{Czxid: s.zxid, Mzxid: s.zxid, Pzxid: s.zxid, Ctime: now, Mtime: now,
		EphemeralOwner: owner, DataLength: int32(len(data))}}
	s.parentChanged(p)
	s.triggerWatches(onData, zkwire.EventCreated, p)
	s.triggerWatches(onChildren, zkwire.EventChildrenChanged, path.Dir(p))
}

// Set replaces a node's data.
func (s *Server) Set(p, data string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.zxid++
	n := s.nodes[p]
	n.data = []byte(data)
	n.stat.Mzxid, n.stat.Mtime, n.stat.DataLength = s.zxid, time.Now().UnixMilli(), int32(len(data))
	n.stat.Version++
	s.triggerWatches(onData, zkwire.EventDataChanged, p)
}

// Delete removes a node.
func (s *Server) Delete(p string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(p)
}

// Expire ends the sessions of owners, which removes their nodes.
func (s *Server) Expire(owners ...int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for p, n := range s.nodes {
		if n.stat.EphemeralOwner != 0 && slices.Contains(owners, n.stat.EphemeralOwner) {
			s.remove(p)
		}
	}
}

func (s *Server) remove(p string) {
	s.zxid++
	delete(s.nodes, p)
	s.parentChanged(p)
	s.triggerWatches(onData, zkwire.EventDeleted, p)
	s.triggerWatches(onChildren, zkwire.EventDeleted, p)
	s.triggerWatches(onChildren, zkwire.EventChildrenChanged, path.Dir(p))
}

func (s *Server) parentChanged(p string) {
	if n := s.nodes[path.Dir(p)]; n != nil {
		n.stat.Pzxid = s.zxid
		n.stat.Cversion++
	}
}

// triggerWatches sends an event to all watches of a kind on a path and removes the watches, since
// each one fires once.
func (s *Server) triggerWatches(k kind, t zkwire.EventType, p string) {
	for _, c := range s.clients {
		if c.conn != nil && c.conn.watches[k][p] {
			delete(c.conn.watches[k], p)
			s.notify(c.conn, t, p)
		}
	}
}

func (s *Server) notify(c *conn, t zkwire.EventType, p string) {
	ev := zkwire.WatcherEvent{Type: t, State: zkwire.StateConnected, Path: p}
	var d Delivery
	if s.script != nil {
		d = s.script(ev)
	}
	frame := zkwire.Append(nil, &zkwire.ReplyHeader{Xid: zkwire.XidNotification, Zxid: -1}, &ev)
	switch {
	case d.Drop:
		return
	case d.Delay > 0:
		time.AfterFunc(d.Delay, func() { c.send(frame) })
	default:
		c.send(frame)
	}
	if d.Duplicate {
		c.send(frame)
	}
}

// send queues a frame. If the queue is full because the client does not read, it closes the
// connection.
func (c *conn) send(frame []byte) {
	select {
	case c.out <- frame:
	default:
		_ = c.Close()
	}
}

func (s *Server) accept() {
	defer s.wg.Done()
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		if s.refusing || s.closed {
			s.mu.Unlock()
			_ = c.Close()
			continue
		}
		s.conns[c] = true
		s.wg.Add(1)
		s.mu.Unlock()
		go func() {
			defer s.wg.Done()
			s.serveConn(&conn{Conn: c, out: make(chan []byte, 1<<14), watches: map[kind]map[string]bool{onData: {}, onChildren: {}}})
			_ = c.Close()
			s.mu.Lock()
			delete(s.conns, c)
			s.mu.Unlock()
		}()
	}
}

// serveConn serves one connection.
func (s *Server) serveConn(c *conn) {
	body, err := zkwire.ReadFrame(c, zkwire.MaxFrame)
	if err != nil {
		return
	}
	var request zkwire.ConnectRequest
	if zkwire.DecodeAll(body, &request) != nil {
		return
	}
	session, ok := s.connect(c, &request)
	if !ok {
		return
	}
	done := make(chan struct{})
	defer func() {
		close(done)
		s.mu.Lock()
		defer s.mu.Unlock()
		if session.conn == c {
			session.conn = nil
		}
	}()
	go func() {
		for {
			select {
			case frame := <-c.out:
				if _, err := c.Write(frame); err != nil {
					return
				}
			case <-done:
				return
			}
		}
	}()
	for {
		body, err := zkwire.ReadFrame(c, zkwire.MaxFrame)
		if err != nil || !s.serve(c, session, body) {
			return
		}
	}
}

// connect opens a session or resumes one. It returns false, after a response that says so, if the
// session has expired.
func (s *Server) connect(c *conn, request *zkwire.ConnectRequest) (*client, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	session := s.clients[request.SessionID]
	if request.SessionID != 0 && session == nil {
		_, _ = c.Write(zkwire.Append(nil, &zkwire.ConnectResponse{Password: make([]byte, 16)}))
		return nil, false
	}
	if session == nil {
		s.sessions++
		session = &client{id: s.sessions, password: make([]byte, 16), timeout: request.TimeoutMs}
		s.clients[session.id] = session
	}
	session.conn = c
	c.send(zkwire.Append(nil, &zkwire.ConnectResponse{TimeoutMs: session.timeout, SessionID: session.id, Password: session.password}))
	return session, true
}

// serve answers one request. It returns false if the connection has to be closed.
func (s *Server) serve(c *conn, session *client, body []byte) bool {
	var h zkwire.RequestHeader
	body, err := zkwire.Decode(body, &h)
	if err != nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if h.Op != zkwire.OpPing {
		s.requests++
	}
	reply := zkwire.ReplyHeader{Xid: h.Xid, Zxid: s.zxid}
	var answer zkwire.Record
	switch h.Op {
	case zkwire.OpPing:
	case zkwire.OpSetWatches:
		var q zkwire.SetWatches
		if zkwire.DecodeAll(body, &q) != nil {
			return false
		}
		s.setWatches(c, &q)
	case zkwire.OpExists, zkwire.OpGetData, zkwire.OpGetChildren2:
		var q zkwire.PathWatch
		if zkwire.DecodeAll(body, &q) != nil {
			return false
		}
		answer, reply.Err = s.read(c, h.Op, &q)
	case zkwire.OpCloseSession:
		delete(s.clients, session.id)
		c.send(zkwire.Append(nil, &reply))
		return false
	default:
		reply.Err = zkwire.ErrUnimplemented
	}
	if answer == nil {
		c.send(zkwire.Append(nil, &reply))
	} else {
		c.send(zkwire.Append(nil, &reply, answer))
	}
	return true
}

func (s *Server) read(c *conn, op zkwire.Op, q *zkwire.PathWatch) (zkwire.Record, zkwire.Code) {
	n := s.nodes[q.Path]
	if n == nil {
		if q.Watch && op == zkwire.OpExists {
			c.watches[onData][q.Path] = true
		}
		return nil, zkwire.ErrNoNode
	}
	k := onData
	if op == zkwire.OpGetChildren2 {
		k = onChildren
	}
	if q.Watch {
		c.watches[k][q.Path] = true
	}
	switch op {
	case zkwire.OpExists:
		stat := n.stat
		return &stat, zkwire.OK
	case zkwire.OpGetData:
		return &zkwire.DataStat{Data: n.data, Stat: n.stat}, zkwire.OK
	}
	names := []string{}
	for p := range s.nodes {
		if p != "/" && path.Dir(p) == strings.TrimSuffix(q.Path, "/") || q.Path == "/" && path.Dir(p) == "/" && p != "/" {
			names = append(names, path.Base(p))
		}
	}
	return &zkwire.ChildrenStat{Names: names, Stat: n.stat}, zkwire.OK
}

// setWatches sets watches again after a reconnection, and sends events at once for changes that the
// client has missed.
func (s *Server) setWatches(c *conn, q *zkwire.SetWatches) {
	for _, p := range q.Data {
		switch n := s.nodes[p]; {
		case n == nil:
			s.notify(c, zkwire.EventDeleted, p)
		case n.stat.Mzxid > q.RelativeZxid:
			s.notify(c, zkwire.EventDataChanged, p)
		default:
			c.watches[onData][p] = true
		}
	}
	for _, p := range q.Exist {
		if s.nodes[p] != nil {
			s.notify(c, zkwire.EventCreated, p)
		} else {
			c.watches[onData][p] = true
		}
	}
	for _, p := range q.ChildrenPaths {
		switch n := s.nodes[p]; {
		case n == nil:
			s.notify(c, zkwire.EventDeleted, p)
		case n.stat.Pzxid > q.RelativeZxid:
			s.notify(c, zkwire.EventChildrenChanged, p)
		default:
			c.watches[onChildren][p] = true
		}
	}
}
