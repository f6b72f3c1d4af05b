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

// inboxSize is the capacity of the core's inbox; posting to a full inbox blocks.
const inboxSize = 1024

// settleDelay covers a second release that may follow the first. settleTimeout is how long releases
// take where workers do not answer.
const (
	settleDelay        = cutOffReadGrace
	settlePollInterval = 5 * time.Millisecond
	settleTimeout      = 600 * time.Millisecond
)

// Config configures a Core.
type Config struct {
	Decider   logic.Decider
	Transport Transport
	Permit    Permit // asked before each attempt; nil permits all
	// Fence is asked before each attempt, and again right before its first byte; while it returns
	// false, nothing new is sent. It may be called from any goroutine and must return at once; nil
	// never fences.
	Fence    func() bool
	Counters Counters
	// Settings are the decider's settings. Each action is checked against their rules (package
	// rules).
	Settings logic.Settings
	// MaxOpen bounds the open requests; more are refused on arrival.
	MaxOpen int
	// Log receives the decider's messages and, at the debug level, how each request ended; nil
	// discards them.
	Log logrus.FieldLogger
}

// Core connects the parts of the router. A request passes through Submit, admission, routing,
// sender, relay and completion; the releaser releases held read states.
type Core struct {
	inbox   chan func()
	stopped chan struct{}
	// open requests, and closed ones whose last attempt is still in flight
	open             atomic.Int64
	releasesInFlight atomic.Int64
	workers          workerSet
	maxOpen          int64 // 0 means no bound
	count            Counters

	admission  admission
	routing    routing
	sender     sender
	relay      relay
	completion completion
	releaser   releaser
	guard      guard
	histories  historyLog
}

// exchange is one open request with the state that the core keeps for it. Only the core's goroutine
// accesses it.
type exchange struct {
	*Request
	rules          *rules.Request // what is allowed for it; nil until it is admitted
	client         Client
	queueTimer     *time.Timer // ends its wait in the queue of its name; nil if it did not wait
	attempt        *attempt    // the one in flight
	sends          int
	lastStatus     logic.Status
	closed         bool // it has its final answer, or the client has left
	answered       bool // an answer has begun
	mayHaveRun     bool // an attempt may have run, judging by its outcome
	readCutOff     bool // a read was cut off, and the worker may hold its state all the same
	openReleases   int  // in flight; new attempts wait for them
	releaseRetries int  // retries of releases that no worker accepted
	overdue        bool // its missing answer has been recorded
	history        history
	logged         bool // its history has been passed to the log
}

// New returns a core, which Run starts.
func New(cfg Config) *Core {
	if cfg.Log == nil {
		silent := logrus.New()
		silent.SetOutput(io.Discard)
		cfg.Log = silent
	}
	c := &Core{inbox: make(chan func(), inboxSize), stopped: make(chan struct{}), maxOpen: int64(cfg.MaxOpen), count: cfg.Counters}
	c.workers.byID, c.workers.fence = map[logic.ServerID]*Worker{}, cfg.Fence
	c.admission = admission{core: c, exchanges: map[logic.RequestID]*exchange{}, byName: map[string]*exchange{}, queued: map[string][]*exchange{}, executed: newExecutedNames()}
	c.routing = routing{core: c, decider: cfg.Decider, start: time.Now(), log: cfg.Log}
	c.sender = sender{core: c, transport: cfg.Transport, permit: cfg.Permit, count: cfg.Counters}
	c.guard = guard{core: c, settings: cfg.Settings, count: cfg.Counters}
	c.relay = relay{core: c}
	c.completion = completion{core: c, count: cfg.Counters}
	c.releaser = releaser{core: c, transport: cfg.Transport, count: cfg.Counters}
	c.histories = newHistoryLog(cfg.Log)
	return c
}

// Run processes the inbox and owns all state until ctx ends.
func (c *Core) Run(ctx context.Context) {
	defer close(c.stopped)
	overdueTicker := time.NewTicker(overdueCheckInterval)
	defer overdueTicker.Stop()
	for {
		select {
		case <-overdueTicker.C:
			c.admission.checkOverdue()
		case f := <-c.inbox:
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
	case c.inbox <- f:
	case <-c.stopped:
	}
}

// Open returns the number of open requests.
func (c *Core) Open() int { return int(c.open.Load()) }

// Discovered applies a list of members, or changes to it. Leaving workers are marked before it
// returns.
func (c *Core) Discovered(members []Member, whole bool) {
	removed := c.workers.apply(members, whole)
	list := c.workers.withStartTimes(members, time.Now(), c.routing.at)
	c.post(func() {
		c.routing.push(logic.Event{Kind: logic.ServersChanged, Members: list, Whole: whole})
		for _, w := range removed {
			c.sender.transport.Forget(w)
		}
	})
}

// Zoner is a decider that accepts cost factors of zones.
type Zoner interface {
	SetZones(costs []float64)
}

// SetZones passes the cost factor of each zone to the decider, if it accepts them; nil removes
// them.
func (c *Core) SetZones(costs []float64) {
	c.post(func() {
		if z, ok := c.routing.decider.(Zoner); ok {
			z.SetZones(costs)
		}
	})
}

// Retuner is a decider whose rules can change while it runs.
type Retuner interface {
	Retune(classes []logic.Class, maxAttempts int)
}

// Retune passes new classes and a new bound on attempts to the decider, if it accepts them, for
// requests that arrive from now on. Open requests keep their bound.
func (c *Core) Retune(classes []logic.Class, maxAttempts int) {
	c.post(func() {
		if r, ok := c.routing.decider.(Retuner); ok {
			r.Retune(classes, maxAttempts)
		}
		c.guard.settings.Classes, c.guard.settings.MaxAttempts = classes, maxAttempts
	})
}

// ReportLoad passes a load report on a worker, received from another router, to the decider.
func (c *Core) ReportLoad(server logic.ServerID, l logic.Load) {
	c.post(func() { c.routing.push(logic.Event{Kind: logic.LoadReported, Server: server, Load: l}) })
}

// Close informs the decider that the process is about to end: open requests get their final answer
// within the given time, or are moved. With 0 they end at once, and requests that still arrive are
// refused.
func (c *Core) Close(in time.Duration) {
	c.post(func() { c.routing.push(logic.Event{Kind: logic.Closing, Latency: in}) })
}

// CancelSilent ends the answers from which nothing has been received for the given time, because a
// process that ends cannot wait for their workers.
func (c *Core) CancelSilent(silent time.Duration) { c.post(func() { c.sender.cancelSilent(silent) }) }

// WaitForReleases waits until the latest releases have ended, for settleTimeout at most. It returns
// the number of releases still in flight.
func (c *Core) WaitForReleases(ctx context.Context) int64 {
	timeout := time.After(settleTimeout)
	for next := settleDelay; ; next = settlePollInterval {
		select {
		case <-time.After(next):
			if c.releasesInFlight.Load() == 0 {
				return 0
			}
		case <-timeout:
			return c.releasesInFlight.Load()
		case <-ctx.Done():
			return c.releasesInFlight.Load()
		}
	}
}
