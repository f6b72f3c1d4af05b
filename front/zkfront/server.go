package zkfront

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"lichenshelf/discovery/zkwire"
	"lichenshelf/internal/listener"
	"lichenshelf/store"
)

// Config is a front's. Zero values take the defaults.
type Config struct {
	// Self names this replica; with it connections are told apart over all of them.
	Self        string
	MaxConns    int           // connections at once
	MaxSessions int           // sessions in the store that this front opens new ones beside
	MaxWatches  int           // of one connection
	MaxQueue    int           // frames that wait for a client to read them
	TimeoutMin  time.Duration // of a session; clients ask, and get what lies between
	TimeoutMax  time.Duration
	Log         logrus.FieldLogger
}

const (
	helloWait = 5 * time.Second // for the first message of a connection
	callWait  = 10 * time.Second
	touchPace = 200 * time.Millisecond
	// grace is added to a session's time-out at the leader: a ping is handed on up
	// to one touchPace after it came, and so may the one before it not have been.
	grace    = 2 * touchPace
	maxData  = 256 << 10 // of one node, as over HTTP
	password = 16
)

func (c *Config) defaults() {
	set := func(v *int, d int) {
		if *v == 0 {
			*v = d
		}
	}
	set(&c.MaxConns, 4096)
	set(&c.MaxSessions, 10_000)
	set(&c.MaxWatches, 20_000)
	set(&c.MaxQueue, 4096)
	if c.TimeoutMin == 0 {
		c.TimeoutMin = 2 * time.Second
	}
	if c.TimeoutMax == 0 {
		c.TimeoutMax = 40 * time.Second
	}
}

// Server serves one replica's ZooKeeper clients.
type Server struct {
	cfg     Config
	replica *store.Replica
	ctx     context.Context
	stop    context.CancelFunc
	wg      sync.WaitGroup
	last    atomic.Uint64
	boot    string // tells this run's connections from an earlier one's

	// The state is locked before mu, never the other way round.
	mu       sync.Mutex
	open     map[*conn]bool
	sessions map[string]*conn // by session, who speaks for it here
	watches  *watches[*conn]
}

// conn is a client's connection. Its own goroutine reads and answers; another
// one writes what out holds.
type conn struct {
	net.Conn
	server  *Server
	session string
	holder  string
	timeout time.Duration
	out     chan []byte
	ended   chan struct{}
	end     sync.Once
	heard   atomic.Bool // since the session was touched last
}

// New returns a server for a replica, whose observer it becomes. It must be closed.
func New(replica *store.Replica, cfg Config) *Server {
	cfg.defaults()
	s := &Server{cfg: cfg, replica: replica, boot: strconv.FormatInt(time.Now().UnixNano(), 36), open: map[*conn]bool{},
		sessions: map[string]*conn{}, watches: newWatches[*conn]()}
	s.ctx, s.stop = context.WithCancel(context.Background())
	replica.Observe(s.observe)
	s.wg.Add(1)
	go s.touch()
	return s
}

// Serve serves a listener until Close.
func (s *Server) Serve(l net.Listener) error {
	defer context.AfterFunc(s.ctx, func() { _ = l.Close() })()
	open := listener.Resilient(l, nil)
	for {
		c, err := open.Accept()
		if s.ctx.Err() != nil {
			if err == nil {
				_ = c.Close()
			}
			return nil
		}
		if err != nil {
			return fmt.Errorf("accept ZooKeeper clients: %w", err)
		}
		s.take(c)
	}
}

// take serves a new connection, if there is room for it.
func (s *Server) take(raw net.Conn) {
	c := &conn{Conn: raw, server: s, out: make(chan []byte, s.cfg.MaxQueue), ended: make(chan struct{}),
		holder: s.cfg.Self + "-" + s.boot + "-" + strconv.FormatUint(s.last.Add(1), 36)}
	s.mu.Lock()
	room := len(s.open) < s.cfg.MaxConns && s.ctx.Err() == nil
	if room {
		s.open[c] = true
		s.wg.Add(2)
	}
	s.mu.Unlock()
	if !room {
		_ = raw.Close()
		return
	}
	go func() { defer s.wg.Done(); c.write() }()
	go func() {
		defer s.wg.Done()
		why := c.serve()
		s.cfg.Log.WithError(why).WithFields(logrus.Fields{"client": raw.RemoteAddr(), "session": c.session}).Debug("ZooKeeper connection ends")
		c.close()
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.open, c)
		s.watches.drop(c)
		if s.sessions[c.session] == c {
			delete(s.sessions, c.session)
		}
	}()
}

// Close ends all connections; sessions live on until they time out.
func (s *Server) Close() {
	s.stop()
	s.replica.Observe(nil)
	s.mu.Lock()
	for c := range s.open {
		c.close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}

// observe takes the changes of one operation, with the state locked: what the
// watches tell is in the queues before any read can show the change.
func (s *Server) observe(_ uint64, changes []store.Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range changes {
		switch c.Kind {
		case store.SessionEnded:
			if c := s.sessions[c.Session]; c != nil {
				c.close()
			}
		case store.SessionMoved:
			if old := s.sessions[c.Session]; old != nil && old.holder != c.Holder {
				old.close()
			}
		case store.StateReplaced:
			for c := range s.open { // they come back, and are told what they missed
				c.close()
			}
		default:
			s.watches.fire(c, (*conn).notify)
		}
	}
}

// touch hands on which sessions have been heard of.
func (s *Server) touch() {
	defer s.wg.Done()
	tick := time.NewTicker(touchPace)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-s.ctx.Done():
			return
		}
		var ids []string
		s.mu.Lock()
		for id, c := range s.sessions {
			if c.heard.Load() {
				ids = append(ids, id)
			}
		}
		s.mu.Unlock()
		if len(ids) == 0 {
			continue
		}
		ctx, cancel := context.WithTimeout(s.ctx, callWait)
		err := s.replica.TouchAll(ctx, ids)
		cancel()
		if err != nil {
			s.cfg.Log.WithError(err).Debug("sessions not touched, trying again")
			continue
		}
		s.mu.Lock()
		for _, id := range ids {
			if c := s.sessions[id]; c != nil {
				c.heard.Store(false)
			}
		}
		s.mu.Unlock()
	}
}

// close ends a connection; any goroutine may call it.
func (c *conn) close() {
	c.end.Do(func() {
		close(c.ended)
		_ = c.Conn.Close()
	})
}

// send queues a frame. A client that does not read is cut off: it may not hold
// up the state, and must not miss an event.
func (c *conn) send(frame []byte) {
	select {
	case c.out <- frame:
	default:
		c.close()
	}
}

func (c *conn) notify(t zkwire.EventType, path string) {
	c.send(zkwire.Append(nil, &zkwire.ReplyHeader{Xid: zkwire.XidNotification, Zxid: -1},
		&zkwire.WatcherEvent{Type: t, State: zkwire.StateConnected, Path: path}))
}

func (c *conn) write() {
	for {
		select {
		case frame := <-c.out:
			if frame == nil { // the last one has gone out
				c.close()
				return
			}
			if err := c.SetWriteDeadline(time.Now().Add(callWait)); err != nil {
				c.close()
				return
			}
			if _, err := c.Conn.Write(frame); err != nil {
				c.close()
				return
			}
		case <-c.ended:
			return
		}
	}
}

// finish closes the connection once what is queued has gone out.
func (c *conn) finish() {
	select {
	case c.out <- nil:
		<-c.ended
	case <-c.ended:
	}
}

// serve answers a connection's calls, one after the other, and returns why it ended.
func (c *conn) serve() error {
	if err := c.SetReadDeadline(time.Now().Add(helloWait)); err != nil {
		return err
	}
	body, err := zkwire.ReadFrame(c, zkwire.MaxFrame)
	if err != nil {
		return err
	}
	var hello zkwire.ConnectRequest
	if err := zkwire.DecodeAll(body, &hello); err != nil {
		return err
	}
	if err := c.connect(&hello); err != nil {
		return err
	}
	for {
		if err := c.SetReadDeadline(time.Now().Add(c.timeout)); err != nil {
			return err
		}
		body, err := zkwire.ReadFrame(c, zkwire.MaxFrame)
		if err != nil {
			return err
		}
		c.heard.Store(true)
		if err := c.call(body); err != nil {
			return err
		}
	}
}

var (
	errBehind  = errors.New("this replica has seen less than the client")
	errExpired = errors.New("the session has ended, or its password is another")
	errFull    = errors.New("too many sessions")
	errClosed  = errors.New("session closed")
	errWatches = errors.New("too many watches")
)

// connect opens a session or takes one up.
func (c *conn) connect(hello *zkwire.ConnectRequest) error {
	s := c.server
	ctx, cancel := context.WithTimeout(s.ctx, callWait)
	defer cancel()
	seen, sessions := uint64(0), 0
	s.replica.View(func(v store.View) { seen, sessions = v.Index(), v.Sessions() })
	if hello.LastZxidSeen > int64(seen) {
		return errBehind // another replica may know more
	}
	c.timeout = min(max(time.Duration(hello.TimeoutMs)*time.Millisecond, s.cfg.TimeoutMin), s.cfg.TimeoutMax)
	answer := zkwire.ConnectResponse{TimeoutMs: int32(c.timeout.Milliseconds()), SessionID: hello.SessionID,
		Password: hello.Password, HasReadOnly: hello.HasReadOnly}
	if hello.SessionID == 0 {
		if sessions >= s.cfg.MaxSessions {
			return errFull
		}
		secret := make([]byte, 8+password)
		if _, err := rand.Read(secret); err != nil {
			return fmt.Errorf("session id: %w", err)
		}
		answer.SessionID = int64(binary.BigEndian.Uint64(secret)>>1) | 1 // positive, and not 0
		answer.Password = secret[8:]
		c.session = sessionName(answer.SessionID)
		if err := s.replica.OpenSession(ctx, c.session, answer.Password, c.holder, c.timeout+grace); err != nil {
			return err
		}
	} else {
		c.session = sessionName(hello.SessionID)
		err := s.replica.AttachSession(ctx, c.session, hello.Password, c.holder)
		if errors.Is(err, store.ErrNoSession) {
			c.send(zkwire.Append(nil, &zkwire.ConnectResponse{Password: make([]byte, password), HasReadOnly: hello.HasReadOnly}))
			c.finish()
			return errExpired
		}
		if err != nil {
			return err
		}
	}
	current := false
	s.replica.View(func(v store.View) {
		holder, lives := v.Holder(c.session)
		if current = lives && holder == c.holder; !current {
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.sessions[c.session] = c
	})
	if !current {
		return errExpired // ended or moved on in this very moment
	}
	c.heard.Store(true)
	c.send(zkwire.Append(nil, &answer))
	return nil
}

// sessionName is a session's name in the store.
func sessionName(id int64) string { return fmt.Sprintf("%016x", uint64(id)) }

func sessionID(name string) int64 {
	id, err := strconv.ParseUint(name, 16, 64)
	if err != nil {
		return 0
	}
	return int64(id)
}
