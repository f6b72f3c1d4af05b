// Package zksource follows the ephemeral nodes below one path of a
// ZooKeeper-style service. What the nodes say is decided by package zkrule; the
// client is a library.
package zksource

import (
	"context"
	"errors"
	"fmt"
	"net"
	"path"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-zookeeper/zk"

	"lichenshelf/discovery/membership"
	"lichenshelf/discovery/zkrule"
)

// Config is how a path is followed. All fields must be set.
type Config struct {
	Servers  []string // host:port
	Path     string   // the parent of the nodes
	Session  time.Duration
	Resync   time.Duration // between full re-reads, for watches that never fire
	Within   time.Duration // see zkrule.New
	Format   zkrule.Format
	Parallel int // reads out at once
}

// Sink takes what a source has to say.
type Sink interface {
	Report(membership.Report)
	Fail(error)
	Warn(error)
}

const (
	retryMin  = 50 * time.Millisecond
	retryMax  = 5 * time.Second
	maxAnswer = 4 << 20 // of the service, in bytes: a list of names is one answer
)

// Source follows one path.
type Source struct {
	cfg     Config
	tracker *zkrule.Tracker
	events  events

	queue   []string        // paths to read, the first one first
	queued  map[string]bool // the same paths, to ask for each once
	watched map[string]bool // paths whose watch is set and has not fired
	out     int             // reads that are out
	told    bool            // the whole list has been reported
	first   map[string]membership.Entry
	ill     bool
	again   *backoff.ExponentialBackOff
}

// New returns a source. The template gives what entries do not tell.
func New(cfg Config, template membership.Entry) *Source {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = retryMin, retryMax
	return &Source{cfg: cfg, tracker: zkrule.New(cfg.Format, template, cfg.Within), again: b,
		queued: map[string]bool{}, watched: map[string]bool{}, first: map[string]membership.Entry{},
		events: events{more: make(chan struct{}, 1)}}
}

// answer is what a read has found.
type answer struct {
	path  string
	names []string
	data  []byte
	stat  zk.Stat
	watch bool // the read has set a watch
	err   error
}

// Run follows the path until ctx ends. The first report is the whole list, each
// later one what has changed. A node that has vanished is told gone.
//
// Each connection has a session of its own: ours holds nothing, so all that a lost
// one costs is reading everything again. The library could take a session up anew
// and set its watches again, but it names the last change that it has seen by then,
// which may be later than what it had read (version 1.0.4, a data race), and what
// happened in between would never be told.
func (s *Source) Run(ctx context.Context, sink Sink) {
	for ctx.Err() == nil {
		s.connection(ctx, sink)
		select {
		case <-time.After(s.again.NextBackOff()):
		case <-ctx.Done():
		}
	}
}

// once dials a single connection.
func once() zk.Dialer {
	var used atomic.Bool
	return func(network, address string, timeout time.Duration) (net.Conn, error) {
		if used.Load() {
			return nil, errOnce
		}
		c, err := net.DialTimeout(network, address, timeout)
		if err == nil {
			used.Store(true)
		}
		return c, err
	}
}

var errOnce = errors.New("this session has had its connection")

// connection is one connection to the service, until it breaks or ctx ends.
func (s *Source) connection(ctx context.Context, sink Sink) {
	s.events.take()
	conn, _, err := zk.Connect(s.cfg.Servers, s.cfg.Session, zk.WithLogInfo(false), zk.WithLogger(quiet{}),
		zk.WithEventCallback(s.events.add), zk.WithMaxBufferSize(maxAnswer), zk.WithDialer(once()))
	if err != nil {
		s.fail(sink, fmt.Errorf("servers %v: %w", s.cfg.Servers, err))
		return
	}
	answers := make(chan answer, s.cfg.Parallel)
	defer func() {
		conn.Close() // which ends the reads that are out
		for ; s.out > 0; s.out-- {
			<-answers
		}
	}()
	resync := time.NewTicker(s.cfg.Resync)
	defer resync.Stop()
	var retry <-chan time.Time
	s.queue = nil
	clear(s.queued)
	clear(s.watched)
	s.all()
	for {
		for len(s.queue) > 0 && s.out < s.cfg.Parallel && retry == nil {
			s.read(conn, answers)
		}
		select {
		case a := <-answers:
			s.out--
			if !s.take(a, sink) {
				retry = time.After(s.again.NextBackOff())
			}
		case <-s.events.more:
			for _, ev := range s.events.take() {
				if !s.event(ev, sink) {
					return
				}
			}
		case <-retry:
			retry = nil
		case <-resync.C:
			s.all()
		case <-ctx.Done():
			return
		}
	}
}

// ask has a path read, once however often it is asked for meanwhile.
func (s *Source) ask(path string) {
	if !s.queued[path] {
		s.queued[path] = true
		s.queue = append(s.queue, path)
	}
}

// all has everything read again.
func (s *Source) all() {
	s.ask(s.cfg.Path)
	for _, name := range s.tracker.Names() {
		s.ask(path.Join(s.cfg.Path, name))
	}
}

// read starts the read of the first path that waits. A watch is set with the read
// that it guards; where one stands, another would only pile up.
func (s *Source) read(conn *zk.Conn, answers chan<- answer) {
	a := answer{path: s.queue[0], watch: !s.watched[s.queue[0]]}
	s.queue = s.queue[1:]
	// An event that comes while the read is out must lead to another one.
	delete(s.queued, a.path)
	s.watched[a.path] = true
	s.out++
	go func() {
		a.fill(conn, s.cfg.Path)
		answers <- a
	}()
}

func (a *answer) fill(conn *zk.Conn, parent string) {
	var stat *zk.Stat
	switch {
	case a.path == parent && a.watch:
		a.names, stat, _, a.err = conn.ChildrenW(parent)
	case a.path == parent:
		a.names, stat, a.err = conn.Children(parent)
	case a.watch:
		a.data, stat, _, a.err = conn.GetW(a.path)
	default:
		a.data, stat, a.err = conn.Get(a.path)
	}
	if stat != nil {
		a.stat = *stat
	}
	if a.path == parent && a.watch && errors.Is(a.err, zk.ErrNoNode) {
		// The parent may come: that is watched in a way of its own.
		var there bool
		var err error
		if there, _, _, err = conn.ExistsW(parent); err != nil {
			a.err = err
		} else if there {
			a.err = errCame
		}
	}
}

// errCame is a parent that was made between two reads.
var errCame = errors.New("the parent has come meanwhile")

// take takes what a read has found; false if it has to be tried again later.
func (s *Source) take(a answer, sink Sink) bool {
	now := time.Now()
	var tell []membership.Entry
	var err error
	isParent := a.path == s.cfg.Path
	switch {
	case a.err == nil && isParent:
		var read []string
		read, tell = s.tracker.List(now, a.names, a.stat.Pzxid)
		for _, name := range read {
			s.ask(path.Join(s.cfg.Path, name))
		}
	case a.err == nil:
		tell, err = s.tracker.Node(now, path.Base(a.path), a.data, zkrule.Stat{Czxid: a.stat.Czxid, Mzxid: a.stat.Mzxid, Ctime: a.stat.Ctime})
		if err != nil {
			sink.Warn(err)
		}
	case errors.Is(a.err, zk.ErrNoNode) && isParent:
		tell = s.tracker.NoParent(now)
	case errors.Is(a.err, zk.ErrNoNode):
		delete(s.watched, a.path) // no watch was set on what is not there
		tell = s.tracker.Vanished(now, path.Base(a.path))
	default:
		if a.watch {
			delete(s.watched, a.path)
		}
		s.ask(a.path)
		if errors.Is(a.err, errCame) {
			return true
		}
		s.fail(sink, fmt.Errorf("read %s: %w", a.path, a.err))
		return false
	}
	s.again.Reset()
	s.tell(tell, sink)
	return true
}

// tell reports. The first report waits until everything has been read.
func (s *Source) tell(entries []membership.Entry, sink Sink) {
	if s.told {
		if len(entries) > 0 || s.ill {
			sink.Report(membership.Report{Entries: entries})
			s.ill = false
		}
		return
	}
	for _, e := range entries {
		key := e.Name + " " + e.Addr
		if e.Name != "" {
			key = e.Name
		}
		s.first[key] = e
	}
	if s.out > 0 || len(s.queue) > 0 {
		return
	}
	report := membership.Report{Whole: true, Final: true}
	for _, e := range s.first {
		report.Entries = append(report.Entries, e)
	}
	s.told, s.first, s.ill = true, nil, false
	sink.Report(report)
}

func (s *Source) fail(sink Sink, err error) {
	s.ill = true
	sink.Fail(err)
}

// event takes what the service or the library tells; false ends the connection. A
// watch says only that something is to be read.
func (s *Source) event(ev zk.Event, sink Sink) bool {
	switch {
	case ev.Type != zk.EventSession && ev.Path != "":
		delete(s.watched, ev.Path)
		s.ask(ev.Path)
	case ev.State == zk.StateDisconnected, ev.State == zk.StateExpired:
		s.fail(sink, errDisconnected)
		return false
	}
	return true
}

var errDisconnected = errors.New("connection to the service lost")

// events is a queue that the library's goroutine never has to wait for.
type events struct {
	mu   sync.Mutex
	list []zk.Event
	more chan struct{}
}

func (e *events) add(ev zk.Event) {
	e.mu.Lock()
	e.list = append(e.list, ev)
	e.mu.Unlock()
	select {
	case e.more <- struct{}{}:
	default:
	}
}

func (e *events) take() []zk.Event {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := e.list
	e.list = nil
	return list
}

// quiet drops the library's log; what matters comes as an event or an error.
type quiet struct{}

func (quiet) Printf(string, ...any) {}
