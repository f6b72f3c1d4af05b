package platform

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"lichenshelf/discovery/agentrule"
	"lichenshelf/router"
)

const (
	listPath = "/v1/servers"
	// maxClockSkew is how far a worker's start may lie ahead of this machine's clock without a
	// warning.
	maxClockSkew = time.Minute
	// localDialTimeout is the dial timeout for an agent on this machine, which is retried at once.
	localDialTimeout = 200 * time.Millisecond
	// remoteDialTimeout is the dial timeout for a central discovery service.
	remoteDialTimeout = time.Second
	// maxListBytes bounds one list in bytes: room for about 16,000 workers.
	maxListBytes = 4 << 20
)

// errMalformed reports that data from discovery is not a valid list.
var errMalformed = errors.New("what discovery says makes no sense")

// MemberSink receives the workers: a core, or a filter in front of it.
type MemberSink interface {
	Discovered(members []router.Member, whole bool)
}

// Watch follows discovery and passes worker lists to a MemberSink. Package agentrule decides when
// it sends requests and how many are open at once.
type Watch struct {
	// OnList, if set before Run, is called with the address and version of each list before the
	// list is applied.
	OnList func(addr string, generation int64)
	// OnError, if set before Run, is called when following discovery fails.
	OnError func(error)

	cfg        *Config
	sink       MemberSink
	log        *logrus.Logger
	ids        router.ServerIDs
	rule       *agentrule.Rule
	calls      map[agentrule.Call]*call
	generation int64  // version of the applied list, as counted by the discovery at listAddr
	listAddr   string // address that the applied list came from
	failing    bool   // a failure was logged, and no list has arrived since
	synced     atomic.Bool
	updates    chan update

	mu              sync.Mutex
	addr            string        // discovery address as currently configured
	discoveryInFile string        // discovery address in the file when it was last read
	refresh         chan struct{} // requests a new call to discovery; holds one request
}

// call is an open call to discovery.
type call struct {
	addr     string
	from     int64 // version after which changes are requested; below 0: request the whole list first
	stop     context.CancelFunc
	received bool // any bytes have arrived
}

// update is an event of a call: a list, an error that ended the call, or neither, which means that
// bytes arrived.
type update struct {
	id   agentrule.Call
	text []byte
	// begun says that the bytes belong to a list that is not complete yet.
	begun bool
	err   error
}

// HasSynced reports whether a list has arrived from discovery since the start.
func (w *Watch) HasSynced() bool { return w.synced.Load() }

// NewWatch returns a watch after passing the workers that the configuration lists as known to sink.
func NewWatch(cfg *Config, sink MemberSink, log *logrus.Logger) *Watch {
	w := &Watch{cfg: cfg, sink: sink, log: log, listAddr: cfg.Discovery, addr: cfg.Discovery, discoveryInFile: cfg.discoveryInFile,
		rule: agentrule.New(agentrule.Config{Routers: cfg.Settings.Gateways, Pushed: !cfg.ListsPulled, MustAsk: cfg.MustAsk,
			Seed: cfg.Seed}),
		calls: map[agentrule.Call]*call{}, updates: make(chan update), refresh: make(chan struct{}, 1)}
	known := cfg.Known
	known.Reset = true
	if err := w.apply(known); err != nil {
		log.WithError(err).Error("known workers of the configuration are not used")
	}
	return w
}

// SwitchDiscovery switches at once to the discovery address of a reloaded configuration. Lists from
// the old address are applied until the new one answers. ROUTER_DISCOVERY overrides the file only
// at the start, since it can't change in a running process. Nothing changes if the address in the
// file is the same as before.
func (w *Watch) SwitchDiscovery(c *Config) error {
	if _, _, err := net.SplitHostPort(c.Discovery); err != nil {
		return fmt.Errorf("discovery address: %w", err)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if c.Discovery == w.discoveryInFile {
		return nil
	}
	w.discoveryInFile = c.Discovery
	if c.Discovery != w.addr {
		w.addr = c.Discovery
		select {
		case w.refresh <- struct{}{}:
		default: // a request is already pending
		}
	}
	return nil
}

// Refresh sends discovery a new request for changes since the applied list. Open calls are kept
// until it has been answered.
func (w *Watch) Refresh() {
	select {
	case w.refresh <- struct{}{}:
	default:
	}
}

func (w *Watch) address() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.addr
}

// Run follows discovery until ctx ends, opening new connections as needed.
func (w *Watch) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for {
		drop, open, wake := w.rule.Next(time.Now())
		for _, id := range drop {
			c := w.calls[id]
			w.drop(id)
			if c.received || len(w.calls) == 0 { // otherwise another call is still open
				w.reportFailure(fmt.Errorf("discovery at %s says nothing", c.addr))
			}
		}
		if open != 0 {
			w.open(ctx, open)
		}
		select {
		case n := <-w.updates:
			w.handle(n)
		case <-w.refresh:
			w.rule.AddressChanged(time.Now())
		case <-time.After(time.Until(wake)):
		case <-ctx.Done():
			return
		}
	}
}

func (w *Watch) open(ctx context.Context, id agentrule.Call) {
	c := &call{addr: w.address(), from: w.generation}
	if c.addr != w.listAddr {
		// Another discovery may number its versions differently. Asked for changes since a version
		// of the old one, it could leave out the removal of a worker.
		c.from = -1
	}
	ctx, c.stop = context.WithCancel(ctx)
	w.calls[id] = c
	go w.follow(ctx, id, *c)
}

func (w *Watch) drop(id agentrule.Call) {
	w.calls[id].stop()
	delete(w.calls, id)
}

// handle processes an update, unless its call has been dropped meanwhile.
func (w *Watch) handle(n update) {
	c := w.calls[n.id]
	if c == nil {
		return
	}
	now := time.Now()
	c.received = c.received || n.err == nil
	err := n.err
	if n.text != nil {
		if err = w.receive(c, n.text); err == nil {
			w.failing = false
			w.synced.Store(true)
			for _, id := range w.rule.ListReceived(now, n.id) {
				w.drop(id)
			}
			return
		}
	}
	if err == nil {
		if n.begun {
			w.rule.ListBegun(now, n.id)
		} else {
			w.rule.BytesReceived(now, n.id)
		}
		return
	}
	// The applied list stays. The next request also returns what a malformed list contained.
	w.reportFailure(err)
	w.rule.CallEnded(now, n.id, errors.Is(err, errMalformed))
	w.drop(n.id)
}

func (w *Watch) reportFailure(err error) {
	level := logrus.WarnLevel
	if w.failing {
		level = logrus.DebugLevel
	}
	w.failing = true
	if w.OnError != nil {
		w.OnError(err)
	}
	w.log.WithError(err).Log(level, "discovery watch ended, retrying")
}

// follow runs one call until its connection or ctx ends.
func (w *Watch) follow(ctx context.Context, id agentrule.Call, c call) {
	send := func(n update) {
		n.id = id
		select {
		case w.updates <- n:
		case <-ctx.Done():
		}
	}
	from := c.from
	if from < 0 {
		err := w.get(ctx, c.addr, listPath, send, func(text []byte) {
			var l List
			if json.Unmarshal(text, &l) == nil {
				from = l.Generation
			}
		})
		if err == io.EOF && from < 0 {
			err = fmt.Errorf("%w: no list", errMalformed)
		}
		if err != io.EOF {
			send(update{err: err})
			return
		}
	}
	send(update{err: w.get(ctx, c.addr, listPath+"?watch=1&from="+strconv.FormatInt(from, 10), send, nil)})
}

// get sends one request to discovery and sends updates about the answer until the answer or ctx
// ends. It returns io.EOF if the answer arrived completely.
func (w *Watch) get(ctx context.Context, addr, uri string, send func(update), onList func([]byte)) error {
	d := net.Dialer{Timeout: localDialTimeout}
	if w.cfg.ListsPulled {
		d.Timeout = remoteDialTimeout
	}
	conn, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return fmt.Errorf("connect to discovery: %w", err)
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()

	var h fasthttp.RequestHeader
	h.SetMethod(fasthttp.MethodGet)
	h.SetRequestURI(uri)
	h.SetHost(addr)
	if _, err := conn.Write(h.Header()); err != nil {
		return fmt.Errorf("ask discovery: %w", err)
	}
	w.log.WithFields(logrus.Fields{"discovery": addr, "uri": uri}).Debug("discovery request sent")
	notifying := &notifyingConn{Conn: conn, onRead: func() { send(update{}) }}
	resp := fasthttp.Response{StreamBody: true}
	if err := resp.ReadLimitBody(bufio.NewReader(notifying), 0); err != nil {
		return fmt.Errorf("read from discovery: %w", err)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return fmt.Errorf("discovery answered %d", resp.StatusCode())
	}
	// The answer is a sequence of JSON objects, regardless of line breaks.
	body := &boundedReader{Reader: resp.BodyStream(), begun: func() { send(update{begun: true}) }}
	lists := json.NewDecoder(body)
	for {
		var text json.RawMessage
		body.left = maxListBytes
		if err := lists.Decode(&text); err != nil {
			var syntax *json.SyntaxError
			if errors.As(err, &syntax) {
				err = fmt.Errorf("%w: %w", errMalformed, err)
			}
			if err != io.EOF {
				err = fmt.Errorf("watch discovery: %w", err)
			}
			return err
		}
		if onList != nil {
			onList(text)
		}
		send(update{text: text})
	}
}

// notifyingConn calls onRead whenever bytes arrive on the connection.
type notifyingConn struct {
	net.Conn
	onRead func()
}

func (h *notifyingConn) Read(p []byte) (int, error) {
	n, err := h.Conn.Read(p)
	if n > 0 {
		h.onRead()
	}
	return n, err
}

// boundedReader fails when a list exceeds its size limit, and calls begun when bytes of a list
// arrive.
type boundedReader struct {
	io.Reader
	left  int
	begun func()
}

func (b *boundedReader) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, fmt.Errorf("%w: over %d bytes in one list", errMalformed, maxListBytes)
	}
	n, err := b.Reader.Read(p)
	b.left -= n
	if len(bytes.TrimSpace(p[:n])) > 0 {
		b.begun()
	}
	return n, err
}

// receive parses and applies a list, or changes to it, from a call.
func (w *Watch) receive(c *call, text []byte) error {
	var l List
	if err := json.Unmarshal(text, &l); err != nil {
		return fmt.Errorf("%w: %w", errMalformed, err)
	}
	if c.addr == w.listAddr && !l.Reset && l.Generation <= w.generation {
		return nil // already applied from another call, or unchanged
	}
	before := w.listAddr
	w.listAddr = c.addr
	if err := w.apply(l); err != nil {
		w.listAddr = before
		return fmt.Errorf("%w: %w", errMalformed, err)
	}
	return nil
}

func (w *Watch) apply(l List) error {
	if l.Instances == nil && !l.Reset && l.Generation == 0 {
		return errors.New("what discovery says holds no list")
	}
	members, err := w.cfg.members(&w.ids, l, w.synced.Load())
	if err != nil {
		if len(members) > 0 {
			w.sink.Discovered(members, false)
		}
		return fmt.Errorf("list %d not used, but for %d that leave: %w", l.Generation, len(members), err)
	}
	for _, in := range l.Instances {
		// One of the two clocks is wrong. The worker is treated as started now.
		if ahead := time.Until(time.UnixMilli(in.StartedAtMs)); ahead > maxClockSkew && in.Lifecycle != "terminated" {
			w.log.WithFields(logrus.Fields{"worker": in.ID, "started_ms": in.StartedAtMs, "ahead": ahead.Round(time.Second)}).
				Warn("start time of a worker lies in the future; treating it as just started")
		}
	}
	if w.OnList != nil {
		w.OnList(w.listAddr, l.Generation)
	}
	w.sink.Discovered(members, l.Reset)
	w.generation = l.Generation
	w.log.WithFields(logrus.Fields{"generation": l.Generation, "instances": len(members)}).Debug("worker list applied")
	if w.log.IsLevelEnabled(logrus.DebugLevel) {
		for _, in := range l.Instances {
			w.log.WithFields(logrus.Fields{"worker": in.ID, "kind": in.Kind, "cell": in.Cell, "zone": in.Zone,
				"lifecycle": in.Lifecycle, "started_ms": in.StartedAtMs}).Debug("worker listed")
		}
	}
	return nil
}
