// Package zksource follows the ephemeral nodes below one path of a ZooKeeper-style service. Package
// zkrule interprets the nodes; the client is a library.
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
	"lichenshelf/internal/transient"
)

// Config configures a Source. All fields must be set.
type Config struct {
	Servers    []string      // host:port
	Path       string        // the parent of the nodes
	Session    time.Duration // session timeout
	Resync     time.Duration // interval of full re-reads, which cover watches that never fire
	FlapWindow time.Duration // the flap window, see zkrule.New
	Format     zkrule.Format
	Parallel   int // maximum number of concurrent reads
}

// Sink receives the reports of a source, failures of the service and warnings about single nodes.
type Sink interface {
	Report(membership.Report)
	Fail(error)
	Warn(error)
}

const (
	retryMin         = 50 * time.Millisecond
	retryMax         = 5 * time.Second
	maxResponseBytes = 4 << 20 // a list of all names is a single response
)

// Source follows one path.
type Source struct {
	cfg     Config
	tracker *zkrule.Tracker
	events  eventQueue

	queue           []string                    // paths to read, in order
	queued          map[string]bool             // the paths in queue, so that each is queued once
	reading         map[string]bool             // paths with a read in flight, one each; true: to be read again
	watched         map[string]bool             // paths whose watch is set and has not fired
	inFlight        int                         // reads that have been started and not completed
	initialReported bool                        // the whole list has been reported
	initial         map[string]membership.Entry // entries collected for the first report
	failing         bool                        // a failure was reported, and nothing since
	retryBackoff    *backoff.ExponentialBackOff
}

// New returns a source. Fields that nodes omit are taken from the template.
func New(cfg Config, template membership.Entry) *Source {
	b := transient.NewBackoff(retryMin, retryMax)
	return &Source{cfg: cfg, tracker: zkrule.New(cfg.Format, template, cfg.FlapWindow), retryBackoff: b,
		queued: map[string]bool{}, reading: map[string]bool{}, watched: map[string]bool{}, initial: map[string]membership.Entry{},
		events: eventQueue{ready: make(chan struct{}, 1)}}
}

// readResult is the result of one read.
type readResult struct {
	path  string
	began zkrule.Sequence // what had been processed when it was started
	names []string
	data  []byte
	stat  zk.Stat
	watch bool // the read sets a watch
	err   error
}

// Run follows the path until ctx ends. The first report is the whole list; each later report
// contains the changes. A worker whose nodes were removed is reported as gone.
//
// Each connection uses a new session. The session owns no nodes, so losing it only means that
// everything is read again. The library could resume a session and set its watches again, but it
// then sends the last zxid that it has seen by that time, which may be later than the data it had
// read (version 1.0.4, a data race); changes in between would never be reported.
func (s *Source) Run(ctx context.Context, sink Sink) {
	for ctx.Err() == nil {
		s.runConnection(ctx, sink)
		select {
		case <-time.After(s.retryBackoff.NextBackOff()):
		case <-ctx.Done():
		}
	}
}

// singleUseDialer returns a dialer that establishes one connection and fails from then on.
func singleUseDialer() zk.Dialer {
	var used atomic.Bool
	return func(network, address string, timeout time.Duration) (net.Conn, error) {
		if used.Load() {
			return nil, errDialerUsed
		}
		c, err := net.DialTimeout(network, address, timeout)
		if err == nil {
			used.Store(true)
		}
		return c, err
	}
}

var errDialerUsed = errors.New("the session does not reconnect")

// runConnection opens a connection to the service and follows the path until the connection is lost
// or ctx ends.
func (s *Source) runConnection(ctx context.Context, sink Sink) {
	s.events.take()
	conn, _, err := zk.Connect(s.cfg.Servers, s.cfg.Session, zk.WithLogInfo(false), zk.WithLogger(discardLogger{}),
		zk.WithEventCallback(s.events.add), zk.WithMaxBufferSize(maxResponseBytes), zk.WithDialer(singleUseDialer()))
	if err != nil {
		s.fail(sink, fmt.Errorf("servers %v: %w", s.cfg.Servers, err))
		return
	}
	results := make(chan readResult, s.cfg.Parallel)
	defer func() {
		conn.Close() // ends the reads in flight
		for ; s.inFlight > 0; s.inFlight-- {
			<-results
		}
	}()
	resync := time.NewTicker(s.cfg.Resync)
	defer resync.Stop()
	var retry <-chan time.Time
	s.queue = nil
	clear(s.queued)
	clear(s.reading)
	clear(s.watched)
	s.enqueueAll()
	for {
		for len(s.queue) > 0 && s.inFlight < s.cfg.Parallel && retry == nil {
			s.startRead(conn, results)
		}
		select {
		case a := <-results:
			if !s.handleResult(a, sink) {
				retry = time.After(s.retryBackoff.NextBackOff())
			}
		case <-s.events.ready:
			for _, ev := range s.events.take() {
				if !s.handleEvent(ev, sink) {
					return
				}
			}
		case <-retry:
			retry = nil
		case <-resync.C:
			s.enqueueAll()
		case <-ctx.Done():
			return
		}
	}
}

// enqueue schedules a read of a path unless one is already queued. While a read of the path is in
// flight, the next one waits for its result: the results of two reads could be processed in the wrong
// order.
func (s *Source) enqueue(path string) {
	if _, inFlight := s.reading[path]; inFlight {
		s.reading[path] = true
		return
	}
	if !s.queued[path] {
		s.queued[path] = true
		s.queue = append(s.queue, path)
	}
}

// enqueueAll schedules reads of the parent and of all known nodes.
func (s *Source) enqueueAll() {
	s.enqueue(s.cfg.Path)
	s.enqueueNodes(s.tracker.Names())
}

// enqueueNodes schedules reads of the named nodes.
func (s *Source) enqueueNodes(names []string) {
	for _, name := range names {
		s.enqueue(path.Join(s.cfg.Path, name))
	}
}

// startRead starts the read of the first queued path.
func (s *Source) startRead(conn *zk.Conn, results chan<- readResult) {
	a := s.nextRead()
	go func() {
		a.fetch(conn, s.cfg.Path)
		results <- a
	}()
}

// nextRead takes the first queued path. The read also sets a watch unless the path has one already;
// the library would keep every additional watch until the event.
func (s *Source) nextRead() readResult {
	a := readResult{path: s.queue[0], began: s.tracker.Now(), watch: !s.watched[s.queue[0]]}
	s.queue = s.queue[1:]
	delete(s.queued, a.path)
	s.reading[a.path] = false
	s.watched[a.path] = true
	s.inFlight++
	return a
}

func (a *readResult) fetch(conn *zk.Conn, parent string) {
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
		// A missing parent may be created later; only an exists watch reports that.
		var exists bool
		var err error
		if exists, _, _, err = conn.ExistsW(parent); err != nil {
			a.err = err
		} else if exists {
			a.err = errParentCreated
		}
	}
}

// errParentCreated reports that the parent was created between the read of its children and the
// check for its existence.
var errParentCreated = errors.New("parent node was created during the read")

// handleResult processes the result of a read. It returns false if reads have to pause before a
// retry. Results of different paths may come in any order.
func (s *Source) handleResult(a readResult, sink Sink) bool {
	s.inFlight--
	readAgain := s.reading[a.path]
	delete(s.reading, a.path)
	if readAgain {
		s.enqueue(a.path)
	}
	var changes []membership.Entry
	switch {
	case a.err == nil:
		changes = s.handleFound(a, sink)
	case errors.Is(a.err, zk.ErrNoNode):
		changes = s.handleMissing(a)
	default:
		if a.watch {
			delete(s.watched, a.path)
		}
		s.enqueue(a.path)
		if errors.Is(a.err, errParentCreated) {
			return true
		}
		s.fail(sink, fmt.Errorf("read %s: %w", a.path, a.err))
		return false
	}
	s.retryBackoff.Reset()
	s.report(changes, sink)
	return true
}

// handleFound processes a list or the data of a node.
func (s *Source) handleFound(a readResult, sink Sink) (changes []membership.Entry) {
	if s.tracker.IsOvertaken(a.began) {
		s.enqueue(a.path)
		return nil
	}
	if a.path == s.cfg.Path {
		toRead, changes := s.tracker.List(time.Now(), a.names, a.stat.Pzxid)
		s.enqueueNodes(toRead)
		return changes
	}
	changes, err := s.tracker.Node(time.Now(), path.Base(a.path), a.data, zkrule.Stat{Czxid: a.stat.Czxid, Mzxid: a.stat.Mzxid, Ctime: a.stat.Ctime})
	if err != nil {
		sink.Warn(err)
	}
	return changes
}

// handleMissing processes a read that found no parent or no node.
func (s *Source) handleMissing(a readResult) []membership.Entry {
	if a.path == s.cfg.Path {
		toRead, changes := s.tracker.ParentMissing(time.Now(), a.began)
		s.enqueueNodes(toRead)
		return changes
	}
	delete(s.watched, a.path) // the service sets no watch on a node that does not exist
	changes, conclusive := s.tracker.NodeMissing(time.Now(), path.Base(a.path), a.began)
	if !conclusive {
		s.enqueue(a.path)
	}
	return changes
}

// report sends membership changes to the sink. The first report is held back until everything has
// been read. After a failure a report is sent even without changes, to show that the service
// answers again.
func (s *Source) report(entries []membership.Entry, sink Sink) {
	if s.initialReported {
		if len(entries) > 0 || s.failing {
			sink.Report(membership.Report{Entries: entries})
			s.failing = false
		}
		return
	}
	for _, e := range entries {
		key := e.Name + " " + e.Addr
		if e.Name != "" {
			key = e.Name
		}
		s.initial[key] = e
	}
	if s.inFlight > 0 || len(s.queue) > 0 {
		return
	}
	report := membership.Report{Whole: true, Confirmed: true}
	for _, e := range s.initial {
		report.Entries = append(report.Entries, e)
	}
	s.initialReported, s.initial, s.failing = true, nil, false
	sink.Report(report)
}

func (s *Source) fail(sink Sink, err error) {
	s.failing = true
	sink.Fail(err)
}

// handleEvent processes an event of the service or the library. A watch event only schedules a read
// of its path. handleEvent returns false if the connection has to be closed.
func (s *Source) handleEvent(ev zk.Event, sink Sink) bool {
	switch {
	case ev.Type != zk.EventSession && ev.Path != "":
		delete(s.watched, ev.Path)
		s.enqueue(ev.Path)
	case ev.State == zk.StateDisconnected, ev.State == zk.StateExpired:
		s.fail(sink, errDisconnected)
		return false
	}
	return true
}

var errDisconnected = errors.New("connection to the service lost")

// eventQueue is an unbounded queue of events, so that the library's goroutine never blocks on it.
type eventQueue struct {
	mu    sync.Mutex
	list  []zk.Event
	ready chan struct{}
}

func (e *eventQueue) add(ev zk.Event) {
	e.mu.Lock()
	e.list = append(e.list, ev)
	e.mu.Unlock()
	select {
	case e.ready <- struct{}{}:
	default:
	}
}

func (e *eventQueue) take() []zk.Event {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := e.list
	e.list = nil
	return list
}

// discardLogger discards the library's log messages; everything of importance also arrives as an
// event or an error.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}
