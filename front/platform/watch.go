package platform

import (
	"bufio"
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

	"lichenshelf/router"
)

const (
	listPath    = "/v1/servers"
	watchSilent = 5 * time.Second // an empty line comes every 2 s, so more is a broken watch
	dialWait    = time.Second
	maxLine     = 4 << 20
)

// Taker is who is told of the workers: a core, or what stands before it.
type Taker interface {
	Discovered(members []router.Member, whole bool)
}

// Watch follows discovery and tells the taker.
type Watch struct {
	// Took, if set before Run, is told of the version of each list before it is taken.
	Took func(addr string, generation int64)
	// Failed, if set before Run, is told when discovery can't be followed.
	Failed func(error)

	cfg        *Config
	core       Taker
	log        *logrus.Logger
	ids        router.ServerIDs
	generation int64  // of the list in hand, as counted at the address at
	at         string // where discovery's list was last taken from
	lines      int    // taken over since the start
	again      *again
	told       atomic.Bool

	mu     sync.Mutex
	addr   string             // discovery's, as it is configured now
	inFile string             // the same as the file named it last
	leave  context.CancelFunc // ends the watch that runs
}

// Told tells whether discovery has spoken since the start.
func (w *Watch) Told() bool { return w.told.Load() }

// NewWatch returns a watch that has told the taker of the workers known already.
func NewWatch(cfg *Config, core Taker, log *logrus.Logger) *Watch {
	w := &Watch{cfg: cfg, core: core, log: log, at: cfg.Discovery, addr: cfg.Discovery, inFile: cfg.inFile,
		again: newAgain(cfg.Settings.Gateways, cfg.Seed), leave: func() {}}
	known := cfg.Known
	known.Reset = true
	if err := w.take(known); err != nil {
		log.WithError(err).Error("known workers not used")
	}
	return w
}

// Move goes over to the discovery that a configuration read again names, at
// once. The workers in hand stay until that one speaks. The variable goes before
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
		w.leave()
	}
	return nil
}

// turn begins one watch: the context that it runs in, which ends when discovery
// moves, and the address.
func (w *Watch) turn(ctx context.Context) (context.Context, string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leave()
	ctx, w.leave = context.WithCancel(ctx)
	return ctx, w.addr
}

// Run watches until ctx ends, over as many connections as it takes.
func (w *Watch) Run(ctx context.Context) {
	failing := false
	for ctx.Err() == nil {
		before := w.lines
		turn, addr := w.turn(ctx)
		if err := w.follow(turn, addr); err != nil && turn.Err() == nil {
			level := logrus.WarnLevel
			if failing && w.lines == before {
				level = logrus.DebugLevel // told already, and nothing has come since
			}
			failing = true
			if w.Failed != nil {
				w.Failed(err)
			}
			w.log.WithError(err).Log(level, "discovery watch ended, starting again")
		}
		select {
		case <-time.After(w.again.after(w.lines > before)):
		case <-turn.Done():
		}
	}
}

// follow is one watch, until its connection or ctx ends.
func (w *Watch) follow(ctx context.Context, addr string) error {
	if addr != w.at {
		// Another discovery may count otherwise: asked for what is new since the
		// old one's version, it could leave out a worker that is gone.
		if err := w.get(ctx, addr, listPath, w.list); err != nil {
			return err
		}
		w.at = addr
	}
	return w.get(ctx, addr, listPath+"?watch=1&from="+strconv.FormatInt(w.generation, 10), w.changes)
}

// get asks discovery and has the answer read, until that or ctx ends.
func (w *Watch) get(ctx context.Context, addr, uri string, read func(io.Reader) error) error {
	d := net.Dialer{Timeout: dialWait}
	c, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return fmt.Errorf("connect to discovery: %w", err)
	}
	defer c.Close()
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()

	var h fasthttp.RequestHeader
	h.SetMethod(fasthttp.MethodGet)
	h.SetRequestURI(uri)
	h.SetHost(addr)
	if _, err := c.Write(h.Header()); err != nil {
		return fmt.Errorf("ask discovery: %w", err)
	}
	w.log.WithFields(logrus.Fields{"discovery": addr, "uri": uri}).Debug("discovery asked")
	resp := fasthttp.Response{StreamBody: true}
	if err := resp.ReadLimitBody(bufio.NewReader(&silence{Conn: c}), 0); err != nil {
		return fmt.Errorf("read from discovery: %w", err)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return fmt.Errorf("discovery answered %d", resp.StatusCode())
	}
	return read(resp.BodyStream())
}

// list takes a whole list.
func (w *Watch) list(body io.Reader) error {
	text, err := io.ReadAll(io.LimitReader(body, maxLine))
	if err != nil {
		return fmt.Errorf("read list: %w", err)
	}
	return w.said(text)
}

// changes takes a watch's lines as they come.
func (w *Watch) changes(body io.Reader) error {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		if len(lines.Bytes()) == 0 {
			continue
		}
		if err := w.said(lines.Bytes()); err != nil {
			// The list in hand stays. Starting again brings what the line would have.
			return err
		}
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("watch discovery: %w", err)
	}
	return io.EOF
}

// silence gives up on a discovery that says nothing for too long.
type silence struct{ net.Conn }

func (s *silence) Read(p []byte) (int, error) {
	if err := s.SetReadDeadline(time.Now().Add(watchSilent)); err != nil {
		return 0, err
	}
	return s.Conn.Read(p)
}

// said takes a list, or changes to it.
func (w *Watch) said(text []byte) error {
	var l List
	if err := json.Unmarshal(text, &l); err != nil {
		return fmt.Errorf("what discovery says makes no sense: %w", err)
	}
	if err := w.take(l); err != nil {
		return err
	}
	w.lines++
	w.told.Store(true)
	return nil
}

func (w *Watch) take(l List) error {
	if l.Instances == nil && !l.Reset && l.Generation == 0 {
		return errors.New("what discovery says holds no list")
	}
	members, err := w.cfg.members(&w.ids, l)
	if err != nil {
		return fmt.Errorf("list %d not used: %w", l.Generation, err)
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
