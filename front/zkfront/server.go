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
	"lichenshelf/internal/memory"
	"lichenshelf/store"
)

// Config configures a Server. Zero values select the defaults.
type Config struct {
	// Self is the name of this replica, which makes the names of connections unique over all
	// replicas.
	Self        string
	MaxConns    int           // concurrent connections
	MaxSessions int           // sessions in the store up to which this front opens new ones
	MaxWatches  int           // watches of one connection
	MaxQueue    int           // frames queued for a client that does not read them
	TimeoutMin  time.Duration // session timeouts that clients request are limited to this range
	TimeoutMax  time.Duration
	Log         logrus.FieldLogger
}

const (
	helloTimeout  = 5 * time.Second // to the first message of a connection
	callTimeout   = 10 * time.Second
	touchInterval = 200 * time.Millisecond
	// sessionGrace is added to a session's timeout at the leader. A ping is forwarded up to one
	// touchInterval after it arrived, and the one before it may have been delayed as well.
	sessionGrace = 2 * touchInterval
	maxData      = 256 << 10 // bytes of data of one node, the same as over HTTP
	passwordSize = 16        // bytes
	// maxQueuedBytes bounds the frames that wait for all clients together.
	maxQueuedBytes = 64 << 20
)

func (c *Config) setDefaults() {
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

// Server serves the ZooKeeper clients of one replica.
type Server struct {
	cfg      Config
	replica  *store.Replica
	ctx      context.Context
	stop     context.CancelFunc
	wg       sync.WaitGroup
	lastConn atomic.Uint64
	runID    string // distinguishes connections of this run from those of earlier ones

	// Lock order: the store's state first, then mu.
	mu       sync.Mutex
	conns    map[*conn]bool
	sessions map[string]*conn // the connection of each session at this replica
	// confirmedAt is the latest time at which this replica is known to have had the newest state.
	confirmedAt time.Time
	watches     *watches[*conn]
	queued      memory.Budget // bytes of the frames that clients have not read
}

// conn is a client's connection. One goroutine reads and answers calls, another one writes the
// queued frames.
type conn struct {
	net.Conn
	server    *Server
	session   string
	holder    string
	timeout   time.Duration
	queue     frameQueue
	closed    chan struct{}
	closeOnce sync.Once
	active    atomic.Bool // a frame arrived since the session was last renewed
	// renewedAt is the latest time at which the leader is known to have held the session, guarded by
	// the server's mu.
	renewedAt time.Time
}

// New returns a server for a replica and registers it as the replica's observer. It must be closed.
func New(replica *store.Replica, cfg Config) *Server {
	cfg.setDefaults()
	s := &Server{cfg: cfg, replica: replica, runID: strconv.FormatInt(time.Now().UnixNano(), 36), conns: map[*conn]bool{},
		sessions: map[string]*conn{}, watches: newWatches[*conn]()}
	s.queued.SetLimit(maxQueuedBytes)
	s.ctx, s.stop = context.WithCancel(context.Background())
	replica.Observe(s.observe)
	s.wg.Add(2)
	go s.confirmSessions()
	go s.closeUnconfirmed()
	return s
}

// Serve accepts clients on a listener until Close.
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
		s.accept(c)
	}
}

// accept starts serving a new connection, or closes it if there are too many.
func (s *Server) accept(raw net.Conn) {
	c := &conn{Conn: raw, server: s, queue: newFrameQueue(s.cfg.MaxQueue, &s.queued), closed: make(chan struct{}),
		holder: s.cfg.Self + "-" + s.runID + "-" + strconv.FormatUint(s.lastConn.Add(1), 36)}
	s.mu.Lock()
	room := len(s.conns) < s.cfg.MaxConns && s.ctx.Err() == nil
	if room {
		s.conns[c] = true
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
		s.cfg.Log.WithError(why).WithFields(logrus.Fields{"client": raw.RemoteAddr(), "session": c.session}).Debug("ZooKeeper connection closed")
		c.close()
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, c)
		s.watches.drop(c)
		if s.sessions[c.session] == c {
			delete(s.sessions, c.session)
		}
	}()
}

// Close closes all connections. Sessions stay open until they time out.
func (s *Server) Close() {
	s.stop()
	s.replica.Observe(nil)
	s.mu.Lock()
	for c := range s.conns {
		c.close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}

// observe processes the changes of one operation. The caller holds the lock on the state, so watch
// events are queued before any read can show the change.
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
			for c := range s.conns { // clients reconnect, set their watches again and get missed events
				c.close()
			}
		default:
			s.watches.fire(c, (*conn).notify)
		}
	}
}

// close closes the connection. It is safe for concurrent use.
func (c *conn) close() {
	c.closeOnce.Do(func() {
		close(c.closed)
		_ = c.Conn.Close()
	})
}

// send queues a frame. If there is no room because the client does not read, the connection is
// closed: waiting would block the state, and dropping the frame would lose an event.
func (c *conn) send(frame []byte) {
	if !c.queue.add(frame) {
		c.close()
	}
}

func (c *conn) notify(t zkwire.EventType, path string) {
	c.send(zkwire.Append(nil, &zkwire.ReplyHeader{Xid: zkwire.XidNotification, Zxid: -1},
		&zkwire.WatcherEvent{Type: t, State: zkwire.StateConnected, Path: path}))
}

func (c *conn) write() {
	defer c.queue.close()
	for {
		frame, last := c.queue.take(c.closed)
		if frame == nil {
			if last { // all frames have been written
				c.close()
			}
			return
		}
		if err := c.SetWriteDeadline(time.Now().Add(callTimeout)); err != nil {
			c.close()
			return
		}
		_, err := c.Conn.Write(frame)
		c.queue.written(frame)
		if err != nil {
			c.close()
			return
		}
	}
}

// finish closes the connection after the queued frames have been written.
func (c *conn) finish() {
	c.queue.finish()
	<-c.closed
}

// serve answers the connection's calls one after the other, and returns why the connection ended.
func (c *conn) serve() error {
	if err := c.SetReadDeadline(time.Now().Add(helloTimeout)); err != nil {
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
		c.active.Store(true)
		if err := c.checkConfirmed(); err != nil {
			return err
		}
		if err := c.call(body); err != nil {
			return err
		}
	}
}

var (
	errLagging = errors.New("replica lags behind the state that the client has seen")
	errExpired = errors.New("session has ended or its password is wrong")
	errFull    = errors.New("too many sessions")
	errClosed  = errors.New("session closed")
	errWatches = errors.New("too many watches")
)

// connect opens a new session or resumes one.
func (c *conn) connect(hello *zkwire.ConnectRequest) error {
	s := c.server
	ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
	defer cancel()
	seen, sessions := uint64(0), 0
	s.replica.View(func(v store.View) { seen, sessions = v.Index(), v.Sessions() })
	if hello.LastZxidSeen > int64(seen) {
		return errLagging // another replica may be further ahead
	}
	c.timeout = min(max(time.Duration(hello.TimeoutMs)*time.Millisecond, s.cfg.TimeoutMin), s.cfg.TimeoutMax)
	began := time.Now()
	answer := zkwire.ConnectResponse{SessionID: hello.SessionID, Password: hello.Password, HasReadOnly: hello.HasReadOnly}
	if hello.SessionID == 0 {
		if sessions >= s.cfg.MaxSessions {
			return errFull
		}
		secret := make([]byte, 8+passwordSize)
		if _, err := rand.Read(secret); err != nil {
			return fmt.Errorf("session id: %w", err)
		}
		answer.SessionID = int64(binary.BigEndian.Uint64(secret)>>1) | 1 // positive, and not 0
		answer.Password = secret[8:]
		c.session = sessionName(answer.SessionID)
		if err := s.replica.OpenSession(ctx, c.session, answer.Password, c.holder, c.timeout+sessionGrace); err != nil {
			return err
		}
	} else {
		c.session = sessionName(hello.SessionID)
		err := s.replica.AttachSession(ctx, c.session, hello.Password, c.holder)
		if errors.Is(err, store.ErrNoSession) {
			c.send(zkwire.Append(nil, &zkwire.ConnectResponse{Password: make([]byte, passwordSize), HasReadOnly: hello.HasReadOnly}))
			c.finish()
			return errExpired
		}
		if err != nil {
			return err
		}
	}
	// A session that is resumed may be about to end. One that was opened had its whole time-out when
	// the call ended, but that is known only to within the time that the call took.
	if resumed := hello.SessionID != 0; resumed || time.Since(began) > c.timeout/4 {
		var err error
		if began, err = s.awaitConfirmation(ctx, c.session); err != nil {
			return err
		}
	}
	current := false
	s.replica.View(func(v store.View) {
		holder, exists := v.Holder(c.session)
		if current = exists && holder == c.holder; !current {
			return
		}
		// A session that is resumed keeps the time-out with which it was opened.
		c.timeout = min(c.timeout, v.SessionTimeout(c.session)-sessionGrace)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.sessions[c.session] = c
		c.renewedAt = began
		if began.After(s.confirmedAt) {
			s.confirmedAt = began
		}
	})
	if !current {
		return errExpired // ended or taken over by another connection since the call above
	}
	c.active.Store(true)
	answer.TimeoutMs = int32(c.timeout.Milliseconds())
	c.send(zkwire.Append(nil, &answer))
	return nil
}

// sessionName returns a session's name in the store.
func sessionName(id int64) string { return fmt.Sprintf("%016x", uint64(id)) }

func sessionID(name string) int64 {
	id, err := strconv.ParseUint(name, 16, 64)
	if err != nil {
		return 0
	}
	return int64(id)
}
