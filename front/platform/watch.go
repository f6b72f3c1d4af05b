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
	// clocksDiffer is how far a worker's start may lie ahead of this machine's clock
	// before that is worth a word.
	clocksDiffer = time.Minute
	dialNear     = 200 * time.Millisecond // to an agent of this machine, which is asked again at once
	dialFar      = time.Second
	// mostText bounds one list: some 16,000 workers.
	mostText = 4 << 20
)

// errNonsense says that discovery said what can't be taken for a list.
var errNonsense = errors.New("what discovery says makes no sense")

// Taker is who is told of the workers: a core, or what stands before it.
type Taker interface {
	Discovered(members []router.Member, whole bool)
}

// Watch follows discovery and tells the taker. When it asks, and on how many calls
// it waits, agentrule decides.
type Watch struct {
	// Took, if set before Run, is told of the version of each list before it is taken.
	Took func(addr string, generation int64)
	// Failed, if set before Run, is told when discovery can't be followed.
	Failed func(error)

	cfg        *Config
	core       Taker
	log        *logrus.Logger
	ids        router.ServerIDs
	rule       *agentrule.Rule
	calls      map[agentrule.Call]*call
	generation int64  // of the list in hand, as counted at the address at
	at         string // where discovery's list was last taken from
	failing    bool   // told in the log, and nothing has come since
	told       atomic.Bool
	news       chan news

	mu     sync.Mutex
	addr   string        // discovery's, as it is configured now
	inFile string        // the same as the file named it last
	moved  chan struct{} // takes one word of a new address
}

// call is one call to discovery that is out.
type call struct {
	addr string
	from int64 // the version asked from; below 0: the whole list first
	stop context.CancelFunc
	said bool // it has said anything at all
}

// news is what a call has to say: a list, an error that ended it, or neither, which
// means that bytes came.
type news struct {
	id   agentrule.Call
	text []byte
	// begun says that the bytes belong to a list that has not come to its end.
	begun bool
	err   error
}

// Told tells whether discovery has spoken since the start.
func (w *Watch) Told() bool { return w.told.Load() }

// NewWatch returns a watch that has told the taker of the workers known already.
func NewWatch(cfg *Config, core Taker, log *logrus.Logger) *Watch {
	w := &Watch{cfg: cfg, core: core, log: log, at: cfg.Discovery, addr: cfg.Discovery, inFile: cfg.inFile,
		rule: agentrule.New(agentrule.Config{Routers: cfg.Settings.Gateways, Pushed: !cfg.ListsAsked, MustAsk: cfg.MustAsk,
			Seed: cfg.Seed}),
		calls: map[agentrule.Call]*call{}, news: make(chan news), moved: make(chan struct{}, 1)}
	known := cfg.Known
	known.Reset = true
	if err := w.take(known); err != nil {
		log.WithError(err).Error("known workers not used")
	}
	return w
}

// Move goes over to the discovery that a configuration read again names, at
// once. What the old one says counts until that one speaks. The variable goes before
// the file at the start only, since it can't change in a process that runs: a
// file that names what it named before changes nothing.
func (w *Watch) Move(c *Config) error {
	if _, _, err := net.SplitHostPort(c.Discovery); err != nil {
		return fmt.Errorf("address of discovery: %w", err)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if c.Discovery == w.inFile {
		return nil
	}
	w.inFile = c.Discovery
	if c.Discovery != w.addr {
		w.addr = c.Discovery
		select {
		case w.moved <- struct{}{}:
		default: // one word is enough
		}
	}
	return nil
}

// Again asks discovery anew for what is newer than the list in hand. The call that is out stays until that has been told.
func (w *Watch) Again() {
	select {
	case w.moved <- struct{}{}:
	default:
	}
}

func (w *Watch) address() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.addr
}

// Run watches until ctx ends, over as many connections as it takes.
func (w *Watch) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for {
		drop, open, wake := w.rule.Next(time.Now())
		for _, id := range drop {
			c := w.calls[id]
			w.drop(id)
			if c.said || len(w.calls) == 0 { // else it was a second one, beside another
				w.failed(fmt.Errorf("discovery at %s says nothing", c.addr))
			}
		}
		if open != 0 {
			w.open(ctx, open)
		}
		select {
		case n := <-w.news:
			w.hear(n)
		case <-w.moved:
			w.rule.Moved(time.Now())
		case <-time.After(time.Until(wake)):
		case <-ctx.Done():
			return
		}
	}
}

func (w *Watch) open(ctx context.Context, id agentrule.Call) {
	c := &call{addr: w.address(), from: w.generation}
	if c.addr != w.at {
		// Another discovery may count otherwise: asked for what is new since the
		// old one's version, it could leave out a worker that is gone.
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

// hear takes what a call has to say, unless it has been dropped meanwhile.
func (w *Watch) hear(n news) {
	c := w.calls[n.id]
	if c == nil {
		return
	}
	now := time.Now()
	c.said = c.said || n.err == nil
	err := n.err
	if n.text != nil {
		if err = w.said(c, n.text); err == nil {
			w.failing = false
			w.told.Store(true)
			for _, id := range w.rule.Told(now, n.id) {
				w.drop(id)
			}
			return
		}
	}
	if err == nil {
		if n.begun {
			w.rule.Begun(now, n.id)
		} else {
			w.rule.Heard(now, n.id)
		}
		return
	}
	// The list in hand stays. Asking again brings what a spoilt line would have.
	w.failed(err)
	w.rule.Ended(now, n.id, errors.Is(err, errNonsense))
	w.drop(n.id)
}

func (w *Watch) failed(err error) {
	level := logrus.WarnLevel
	if w.failing {
		level = logrus.DebugLevel
	}
	w.failing = true
	if w.Failed != nil {
		w.Failed(err)
	}
	w.log.WithError(err).Log(level, "discovery watch ended, asking again")
}

// follow is one call, until its connection or ctx ends.
func (w *Watch) follow(ctx context.Context, id agentrule.Call, c call) {
	tell := func(n news) {
		n.id = id
		select {
		case w.news <- n:
		case <-ctx.Done():
		}
	}
	from := c.from
	if from < 0 {
		err := w.get(ctx, c.addr, listPath, tell, func(text []byte) {
			var l List
			if json.Unmarshal(text, &l) == nil {
				from = l.Generation
			}
		})
		if err == io.EOF && from < 0 {
			err = fmt.Errorf("%w: no list", errNonsense)
		}
		if err != io.EOF {
			tell(news{err: err})
			return
		}
	}
	tell(news{err: w.get(ctx, c.addr, listPath+"?watch=1&from="+strconv.FormatInt(from, 10), tell, nil)})
}

// get asks discovery and tells what it says, until its answer or ctx ends: io.EOF
// means that all of the answer came.
func (w *Watch) get(ctx context.Context, addr, uri string, tell func(news), seen func([]byte)) error {
	d := net.Dialer{Timeout: dialNear}
	if w.cfg.ListsAsked {
		d.Timeout = dialFar
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
	w.log.WithFields(logrus.Fields{"discovery": addr, "uri": uri}).Debug("discovery asked")
	heard := &hearing{Conn: conn, tell: func() { tell(news{}) }}
	resp := fasthttp.Response{StreamBody: true}
	if err := resp.ReadLimitBody(bufio.NewReader(heard), 0); err != nil {
		return fmt.Errorf("read from discovery: %w", err)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return fmt.Errorf("discovery answered %d", resp.StatusCode())
	}
	// One object after the other, however they are broken into lines.
	body := &bounded{Reader: resp.BodyStream(), begun: func() { tell(news{begun: true}) }}
	lists := json.NewDecoder(body)
	for {
		var text json.RawMessage
		body.left = mostText
		if err := lists.Decode(&text); err != nil {
			var syntax *json.SyntaxError
			if errors.As(err, &syntax) {
				err = fmt.Errorf("%w: %w", errNonsense, err)
			}
			if err != io.EOF {
				err = fmt.Errorf("watch discovery: %w", err)
			}
			return err
		}
		if seen != nil {
			seen(text)
		}
		tell(news{text: text})
	}
}

// hearing tells of all that comes on a connection.
type hearing struct {
	net.Conn
	tell func()
}

func (h *hearing) Read(p []byte) (int, error) {
	n, err := h.Conn.Read(p)
	if n > 0 {
		h.tell()
	}
	return n, err
}

// bounded ends what goes on for too long without making a whole, and tells of lists that have begun.
type bounded struct {
	io.Reader
	left  int
	begun func()
}

func (b *bounded) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, fmt.Errorf("%w: over %d bytes in one list", errNonsense, mostText)
	}
	n, err := b.Reader.Read(p)
	b.left -= n
	if len(bytes.TrimSpace(p[:n])) > 0 {
		b.begun()
	}
	return n, err
}

// said takes a list, or changes to it, that a call brought.
func (w *Watch) said(c *call, text []byte) error {
	var l List
	if err := json.Unmarshal(text, &l); err != nil {
		return fmt.Errorf("%w: %w", errNonsense, err)
	}
	if c.addr == w.at && !l.Reset && l.Generation <= w.generation {
		return nil // another call was faster, or nothing has changed
	}
	before := w.at
	w.at = c.addr
	if err := w.take(l); err != nil {
		w.at = before
		return fmt.Errorf("%w: %w", errNonsense, err)
	}
	return nil
}

func (w *Watch) take(l List) error {
	if l.Instances == nil && !l.Reset && l.Generation == 0 {
		return errors.New("what discovery says holds no list")
	}
	members, err := w.cfg.members(&w.ids, l, w.told.Load())
	if err != nil {
		if len(members) > 0 {
			w.core.Discovered(members, false)
		}
		return fmt.Errorf("list %d not used, but for %d that leave: %w", l.Generation, len(members), err)
	}
	for _, in := range l.Instances {
		// The clock of the one or the other is wrong; such a worker counts as started now.
		if ahead := time.Until(time.UnixMilli(in.StartedAtMs)); ahead > clocksDiffer && in.Lifecycle != "terminated" {
			w.log.WithFields(logrus.Fields{"worker": in.ID, "started_ms": in.StartedAtMs, "ahead": ahead.Round(time.Second)}).
				Warn("a worker's start lies in the future, it counts as just started")
		}
	}
	if w.Took != nil {
		w.Took(w.at, l.Generation)
	}
	w.core.Discovered(members, l.Reset)
	w.generation = l.Generation
	w.log.WithFields(logrus.Fields{"generation": l.Generation, "instances": len(members)}).Debug("list taken over")
	if w.log.IsLevelEnabled(logrus.DebugLevel) {
		for _, in := range l.Instances {
			w.log.WithFields(logrus.Fields{"worker": in.ID, "kind": in.Kind, "cell": in.Cell, "zone": in.Zone,
				"lifecycle": in.Lifecycle, "started_ms": in.StartedAtMs}).Debug("worker listed")
		}
	}
	return nil
}
