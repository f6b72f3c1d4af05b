package upstream

import (
	"context"
	"errors"
	"time"

	"github.com/valyala/fasthttp"

	"lichenshelf/internal/memory"
	"lichenshelf/logic"
	"lichenshelf/router"
)

// errNoAnswer means that not one byte of an answer arrived.
var errNoAnswer = errors.New("no answer")

// Reasons for which this package itself ends an attempt.
var (
	errNotAcknowledged = errors.New("request not acknowledged by the worker's kernel in time")
	errDraining        = errors.New("worker began to drain while its connection was opened")
	errRepeatLate      = errors.New("the time for a repeat ended while its connection was opened")
)

var errOnlyInterim = errors.New("only interim (1xx) heads received")

// Message is a request as it is sent to a worker. It is the payload of a router.Request.
type Message struct {
	Method string
	URI    string // path and query, unchanged
	Header [][2]string
	Body   []byte
	// Stream says that the answer is passed on as it arrives. Otherwise it is read whole first, so
	// that the request can be retried if the answer breaks off.
	Stream bool
}

// Config configures a Client.
type Config struct {
	ConnectTimeout time.Duration
	ConnIdle       time.Duration // after at most this time workers close an idle connection
	MaxConns       int
	MaxAnswer      int // bytes of an answer that is read whole
	// MaxPending bounds the bytes of all answers together that wait for their clients, beside
	// freeBuffer of each buffer; it holds at least one chunk. 0 means no bound.
	MaxPending  int64
	StreamStall time.Duration // a stream that sends nothing for this long has failed
	// BodyWait bounds the time from the head to the end of a response that is no answer for the
	// client. 0 means headTimeout.
	BodyWait    time.Duration
	WaitHeader  string // header that states how long the router waits for the answer, in ms
	ReleasePath string // path that releases held state, before the request's name
	// Final reports whether a status other than 200 is an answer for the client as well. It may be
	// nil.
	Final func(status int) bool
	// LoadHeader names the header of answers that holds a worker's load report. At the end of a
	// stream the report is a comment line of the same form. If it is empty, reports are not read.
	LoadHeader string
	// Report parses a load report. A report that can't be parsed is counted and ignored.
	Report func(text string) (logic.Load, error)
	// Classify maps a response that is no answer for the client to its outcome.
	Classify func(status int, header *fasthttp.ResponseHeader, body []byte) router.Outcome
	Counters router.Counters
}

// Client sends requests to workers. It implements router.Transport.
type Client struct {
	cfg                Config
	pool               pool
	pending            memory.Budget // bytes of answers that wait for their clients
	releaseCallTimeout time.Duration
	releases           *releaser
}

// idleShare is the share of ConnIdle for which an idle connection is kept: a request that is
// written to a connection while the worker closes it ends in a reset, and the router can't tell
// whether it ran.
const idleShare = 0.7

// New returns a Client.
func New(cfg Config) *Client {
	c := &Client{cfg: cfg, releaseCallTimeout: releaseCallTimeout}
	c.releases = newReleaser(c)
	c.pool.dialTimeout, c.pool.maxOpen, c.pool.shutdownWait, c.pool.reuseDelay = cfg.ConnectTimeout, cfg.MaxConns, maxShutdownWait, minReuseDelay
	if cfg.MaxPending > 0 {
		c.pending.SetLimit(max(cfg.MaxPending, maxChunk))
	}
	c.pool.idleTimeout = time.Duration(float64(cfg.ConnIdle) * idleShare)
	c.pool.idle = map[*router.Worker][]*conn{}
	return c
}

// Forget implements router.Transport.
func (c *Client) Forget(w *router.Worker) {
	c.pool.forget(w)
	c.releases.forget(w)
}

// Send implements router.Transport.
func (c *Client) Send(a router.Attempt, sink router.Sink) func() <-chan struct{} {
	ctx, cancel := context.WithCancel(context.Background())
	x := &attempt{Attempt: a, client: c, sink: sink, cancel: cancel, answerBy: time.Now().Add(a.Wait), msg: *a.Request.Payload.(*Message)}
	go x.run(ctx)
	return x.abort
}

// headTimeout bounds the time from the first byte of an answer's head to its end: an incomplete
// head must not look like a worker that is still processing the request.
const headTimeout = time.Second

// maxInterim bounds the number of 1xx heads before an answer.
const maxInterim = 100
