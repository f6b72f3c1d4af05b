package router

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"lichenshelf/logic"
	"lichenshelf/router/rules"
)

// mailboxSize bounds what waits for the core; who posts to a full one waits.
const mailboxSize = 1024

// settleFor covers a second release that may follow the first, settleMost what releases
// take where workers don't answer.
const (
	settleFor  = crossing
	settleStep = 5 * time.Millisecond
	settleMost = 600 * time.Millisecond
)

// Config is what a core is made of.
type Config struct {
	Decider   logic.Decider
	Transport Transport
	Permit    Permit // asked before each attempt; nil: all may go
	// Fence is asked before each attempt, and again right before its first byte: with false nothing new goes out. It
	// may be called from any goroutine and must return at once; nil: all may go.
	Fence    func() bool
	Counters Counters
	// Settings are those that the decider goes by: each act is held against their rules (package rules).
	Settings logic.Settings
	// MaxOpen bounds the requests in hand; more are refused at the door.
	MaxOpen int
	// Log takes what the decisions have to say, and at the debug level how each
	// request ended; nil drops it.
	Log logrus.FieldLogger
}

// Core is the router proper. Its chain is: Submit, admission, routing, sender,
// relay, completion; releaser beside it.
type Core struct {
	mail    chan func()
	stopped chan struct{}
	open    atomic.Int64 // requests in hand, and those whose last attempt is still out
	letting atomic.Int64 // releases that are out
	workers workerSet
	maxOpen int64 // 0: no bound
	count   Counters

	admission  admission
	routing    routing
	sender     sender
	relay      relay
	completion completion
	releaser   releaser
	guard      guard
	histories  historyLog
}

// exchange is one request in hand and all that the core keeps of it. Only the
// core's goroutine touches it.
type exchange struct {
	*Request
	rules          *rules.Request // what may be done for it; nil until it is admitted
	client         Client
	turn           *time.Timer // ends its wait behind another of its name; nil: it did not wait
	attempt        *attempt    // the one that is out
	sends          int
	last           logic.Status
	closed         bool // it has its final answer, or the client has gone
	answered       bool // an answer has begun
	ran            bool // an attempt may have run, as far as its outcome tells
	unsure         bool // a read was cut off: the worker may hold its state all the same
	releases       int  // that are out; what is sent meanwhile waits for them
	releaseRetries int  // of releases that nobody took
	overdue        bool // it was noted that it has no answer yet
	history        history
	reported       bool // its history has been looked at for the log
}

// New returns a core; Run starts it.
func New(cfg Config) *Core {
	if cfg.Log == nil {
		silent := logrus.New()
		silent.SetOutput(io.Discard)
		cfg.Log = silent
	}
	c := &Core{mail: make(chan func(), mailboxSize), stopped: make(chan struct{}), maxOpen: int64(cfg.MaxOpen), count: cfg.Counters}
	c.workers.byID, c.workers.fence = map[logic.ServerID]*Worker{}, cfg.Fence
	c.admission = admission{core: c, exchanges: map[logic.RequestID]*exchange{}, names: map[string]*exchange{}, behind: map[string][]*exchange{}}
	c.routing = routing{core: c, decider: cfg.Decider, start: time.Now(), log: cfg.Log}
	c.sender = sender{core: c, transport: cfg.Transport, permit: cfg.Permit, count: cfg.Counters}
	c.guard = guard{core: c, settings: cfg.Settings, count: cfg.Counters}
	c.relay = relay{core: c}
	c.completion = completion{core: c, count: cfg.Counters}
	c.releaser = releaser{core: c, transport: cfg.Transport, count: cfg.Counters}
	c.histories = newHistoryLog(cfg.Log)
	return c
}

// Run owns all state until ctx ends.
func (c *Core) Run(ctx context.Context) {
	defer close(c.stopped)
	look := time.NewTicker(overdueEvery)
	defer look.Stop()
	for {
		select {
		case <-look.C:
			c.admission.lookForOverdue()
		case f := <-c.mail:
			f()
			c.routing.decide()
		case <-ctx.Done():
			return
		}
	}
}

// post runs f on the core's goroutine. After the end of Run it does nothing.
func (c *Core) post(f func()) {
	select {
	case c.mail <- f:
	case <-c.stopped:
	}
}

// Open is the number of requests in hand.
func (c *Core) Open() int { return int(c.open.Load()) }

// Discovered takes a list of members, or changes to it. Leaving workers are
// marked before it returns.
func (c *Core) Discovered(members []Member, whole bool) {
	void := c.workers.apply(members, whole)
	list := c.workers.dated(members, time.Now(), c.routing.at)
	c.post(func() {
		c.routing.push(logic.Event{Kind: logic.ServersChanged, Members: list, Whole: whole})
		for _, w := range void {
			c.sender.transport.Forget(w)
		}
	})
}

// Zoner is a decider to which a map of traffic can be told.
type Zoner interface {
	SetZones(figures []float64)
}

// SetZones hands a figure for each zone to the decider, if it takes them; nil ends them.
func (c *Core) SetZones(figures []float64) {
	c.post(func() {
		if z, ok := c.routing.decider.(Zoner); ok {
			z.SetZones(figures)
		}
	})
}

// Retuner is a decider whose rules can change while it runs.
type Retuner interface {
	Retune(classes []logic.Class, maxAttempts int)
}

// Retune hands new rules to the decider, if it takes them, for requests that
// arrive from now on. The bound on attempts of open requests is not lowered.
func (c *Core) Retune(classes []logic.Class, maxAttempts int) {
	c.post(func() {
		if r, ok := c.routing.decider.(Retuner); ok {
			r.Retune(classes, maxAttempts)
		}
		c.guard.settings.Classes, c.guard.settings.MaxAttempts = classes, maxAttempts
	})
}

// Told hands on what others know of a worker's load.
func (c *Core) Told(server logic.ServerID, l logic.Load) {
	c.post(func() { c.routing.push(logic.Event{Kind: logic.LoadTold, Server: server, Load: l}) })
}

// Close tells the decisions that the process is about to end: what is in hand gets
// its final answer within the time given, or is moved; with 0 at once, and requests
// that still come are given up.
func (c *Core) Close(in time.Duration) {
	c.post(func() { c.routing.push(logic.Event{Kind: logic.Closing, Latency: in}) })
}

// CutSilent ends the answers of which nothing has come for so long: a process that ends has no time left for their workers.
func (c *Core) CutSilent(silent time.Duration) { c.post(func() { c.sender.cutSilent(silent) }) }

// Settle waits, within reason, until what was let go of last has been taken. It returns how many releases are still out.
func (c *Core) Settle(ctx context.Context) int64 {
	most := time.After(settleMost)
	for next := settleFor; ; next = settleStep {
		select {
		case <-time.After(next):
			if c.letting.Load() == 0 {
				return 0
			}
		case <-most:
			return c.letting.Load()
		case <-ctx.Done():
			return c.letting.Load()
		}
	}
}
