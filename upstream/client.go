package upstream

import (
	"context"
	"errors"
	"time"

	"github.com/valyala/fasthttp"

	"lichenshelf/logic"
	"lichenshelf/router"
)

// errNoAnswer says that not a byte of one came.
var errNoAnswer = errors.New("no answer")

// The reasons of this package's own for an attempt's end.
var (
	errUnconfirmed = errors.New("not acknowledged by the worker's system in time")
	errLeaving     = errors.New("told to leave as the connection came up")
)

var errInterim = errors.New("nothing but heads that announce an answer")

// Message is a request as it goes to a worker; the payload of a router.Request.
type Message struct {
	Method string
	URI    string // path and query, as they came
	Header [][2]string
	Body   []byte
	// Stream says that the answer is passed on as it comes. Otherwise it is read
	// whole first, so that one that breaks off can be tried again.
	Stream bool
}

// Config is what a Client is made of.
type Config struct {
	ConnectTimeout time.Duration
	ConnIdle       time.Duration // workers close idle connections at the latest then
	MaxConns       int
	MaxAnswer      int           // bound of an answer that is read whole
	StreamStall    time.Duration // a stream without a byte for so long is broken
	// BodyWait is how long the body of what is no answer for the client may take, once its head
	// is there. 0 means headWait.
	BodyWait    time.Duration
	WaitHeader  string // tells a worker how long its answer is waited for
	ReleasePath string // where held state is let go of, before the request's name
	// Final tells which other statuses are answers for the client, as a 200 is.
	// It may be nil.
	Final func(status int) bool
	// LoadHeader names the header of answers that holds a worker's load report. At the
	// end of a stream the report is a comment line of the same form. Empty: none is read.
	LoadHeader string
	// Report reads one; a report that can't be read is counted and counts for nothing.
	Report func(text string) (logic.Load, error)
	// Judge maps all that is no answer to its outcome.
	Judge    func(status int, header *fasthttp.ResponseHeader, body []byte) router.Outcome
	Counters router.Counters
}

// Client is the transport to workers.
type Client struct {
	cfg         Config
	pool        pool
	releaseWait time.Duration
	targets     releaseTargets
}

// idleShare of the time after which a worker closes an idle connection is how
// long one is kept here: a request written to a connection that is just being
// closed is lost as a reset, and may have run as far as anybody can tell.
const idleShare = 0.7

// New returns a transport.
func New(cfg Config) *Client {
	c := &Client{cfg: cfg, releaseWait: releaseWait}
	c.targets.windows = map[*router.Worker]*window{}
	c.pool.dialTimeout, c.pool.most, c.pool.learning, c.pool.rest = cfg.ConnectTimeout, cfg.MaxConns, mostLearning, restFor
	c.pool.idleFor = time.Duration(float64(cfg.ConnIdle) * idleShare)
	c.pool.idle = map[*router.Worker][]*conn{}
	return c
}

// Forget implements router.Transport.
func (c *Client) Forget(w *router.Worker) {
	c.pool.forget(w)
	c.targets.forget(w)
}

// Send implements router.Transport.
func (c *Client) Send(a router.Attempt, sink router.Sink) func() <-chan struct{} {
	ctx, cancel := context.WithCancel(context.Background())
	x := &attempt{Attempt: a, client: c, sink: sink, cancel: cancel, until: time.Now().Add(a.Wait), msg: *a.Request.Payload.(*Message)}
	go x.run(ctx)
	return x.giveUp
}

// headWait is for an answer's head once it has begun: one that does not end must
// not look like a worker that is still at work.
const headWait = time.Second

// mostInterim bounds the 1xx heads before an answer.
const mostInterim = 100
