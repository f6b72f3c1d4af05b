package downstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"lichenshelf/internal/httphead"
	"lichenshelf/logic"
	"lichenshelf/router"
)

const (
	headBuffer = 16 << 10
	// until a request is complete; on a new connection it counts from the accept
	requestReadTimeout  = 2500 * time.Millisecond
	defaultWriteTimeout = 10 * time.Second
	idleTimeout         = 10 * time.Minute // until a client's next request
	minAcceptAfterStop  = 500 * time.Millisecond
	acceptQuietPeriod   = 300 * time.Millisecond
	stopPollInterval    = 20 * time.Millisecond
	// the read-ahead budget is this part of the body budget, in addition to it
	readAheadDivisor   = 4
	shutdownRetryAfter = time.Second // retry advice for requests refused at shutdown
)

// Config configures a Server.
type Config struct {
	Core     *router.Core
	Handler  func(*Call) // answers each call, once
	Problem  func(ctx *fasthttp.RequestCtx, status int, fault error)
	MaxBody  int   // of one request, in bytes
	MaxBytes int64 // of all open bodies together; 0 means no bound
	// MaxRequestBytes bounds what all requests that are read or open take together beside their
	// bodies, counted as RequestMemory and openMemory; 0 means no bound
	MaxRequestBytes int64
	MaxConns        int
	Counters        router.Counters

	// how long a client may take to accept an answer, or the next event of a stream; 0 means the
	// default
	writeTimeout time.Duration
}

// Server is the client side of a front.
type Server struct {
	cfg      Config
	listener *listener
	stopping atomic.Bool
	refusing atomic.Bool // new requests are refused
}

// NewServer returns a server for the listener.
func NewServer(l net.Listener, cfg Config) *Server {
	if cfg.writeTimeout == 0 {
		cfg.writeTimeout = defaultWriteTimeout
	}
	s := &Server{cfg: cfg, listener: &listener{Listener: l, maxConns: cfg.MaxConns, count: cfg.Counters, lingerTimeout: discardTimeout, routedSlots: newWorkSlots(), unroutedSlots: newWorkSlots()}}
	s.listener.bodies.SetLimit(cfg.MaxBytes)
	s.listener.requests.SetLimit(cfg.MaxRequestBytes)
	s.listener.readAheadBudget.limit = cfg.MaxBytes / readAheadDivisor
	return s
}

// discardLogger drops the server's own log, which mostly reports clients that disconnect.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// Serve serves until Stop has closed the listener.
func (s *Server) Serve() error {
	for {
		c, err := s.listener.accept()
		if err != nil {
			if s.stopping.Load() {
				return nil
			}
			return fmt.Errorf("serve clients: %w", err)
		}
		go s.serveConn(c)
	}
}

// Stop stops the server gracefully. From now on the kernel passes new connections to another
// process at the same address, if there is one. Otherwise, since connections are still on their way
// and other routers may be stopping as well, Stop goes on accepting for minAcceptAfterStop and then
// until none has come for acceptQuietPeriod, at most until acceptTimeout, which is called
// repeatedly. Then it closes the listener while its queue is empty, and returns once no connection
// is left. Requests that arrive after acceptTimeout on open connections are refused, because their
// answers might not end before the process has to.
func (s *Server) Stop(ctx context.Context, acceptTimeout func() time.Duration) error {
	began := time.Now()
	s.stopping.Store(true)
	_ = handOver(s.listener.Listener) // if it fails, the kernel distributes to both until the close
	select {
	case <-time.After(minAcceptAfterStop):
	case <-ctx.Done():
	}
	tick := time.NewTicker(stopPollInterval)
	defer tick.Stop()
	for closed := false; ; {
		s.listener.closeUnused()
		acceptOver := time.Since(began) >= acceptTimeout()
		if acceptOver {
			s.refusing.Store(true)
		}
		if !closed && (acceptOver || s.listener.idleSince(began) >= acceptQuietPeriod) {
			if err := closeEmpty(s.listener.Listener); err != nil {
				return fmt.Errorf("close listener: %w", err)
			}
			closed = true
		}
		if closed && s.listener.open() == 0 {
			return nil
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return fmt.Errorf("stop with %d connections open: %w", s.listener.open(), ctx.Err())
		}
	}
}

// OpenConnections returns the number of client connections.
func (s *Server) OpenConnections() int { return s.listener.open() }

// Connections returns the number of client connections in each phase, as text for the log.
func (s *Server) Connections() string {
	s.listener.mu.Lock()
	defer s.listener.mu.Unlock()
	var n [serving + 1]int
	for c := range s.listener.conns.all() {
		n[c.phase]++
	}
	return fmt.Sprintf("%d lingering, %d waiting, %d reading, %d serving", n[lingering], n[waiting], n[reading], n[serving])
}

// DropUnread ends all connections except those with a complete request, for a process that must
// exit: a partial request would keep Stop waiting until its deadline. Partial requests are refused,
// and so are connections that Stop accepts afterwards.
func (s *Server) DropUnread() {
	s.listener.mu.Lock()
	s.listener.exiting = true
	s.listener.limitLinger(exitDiscardTimeout)
	s.listener.mu.Unlock()
	s.listener.closeUnused()
}

// handle has a request handled whose head was read, so that its answer can be written.
func (s *Server) handle(call *Call) {
	ctx := call.RequestCtx
	call.conn.acquireSlot()
	call.conn.releaseSlot() // how long the handler waits is unknown here
	head := &ctx.Request.Header
	size := head.ContentLength()
	if err := checkHead(head); err != nil {
		call.Problem(fasthttp.StatusBadRequest, err)
		call.closeAfterAnswer()
	} else {
		s.cfg.Handler(call)
		if !call.bodyRead && (size == -1 || size > 0) {
			call.closeAfterAnswer()
		}
	}
	if size == -1 { // chunked
		call.conn.handled(-1)
	} else {
		call.conn.handled(max(size, 0) + len(head.Method()) + len(head.RequestURI()) + len(head.Protocol()) + len(head.RawHeaders()))
	}
	if s.stopping.Load() && call.conn.isLastAnswer() {
		ctx.Response.SetConnectionClose()
	}
	call.conn.beginPhase(serving)
	s.allowWrite(call.conn)
}

// allowWrite gives the client time to accept the answer. Each answer needs its own deadline: one
// left over from an earlier stream would cut the next answer off.
func (s *Server) allowWrite(c *conn) { _ = c.SetWriteDeadline(time.Now().Add(s.cfg.writeTimeout)) }

// badRequest answers a request that cannot be parsed or read.
func (s *Server) badRequest(ctx *fasthttp.RequestCtx, err error) {
	status, fault := fasthttp.StatusBadRequest, errUnreadable
	var late net.Error
	switch {
	case isRefusedUnread(ctx):
		status = fasthttp.StatusServiceUnavailable
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, "1")
		fault = errShuttingDown
	case errors.As(err, &late) && late.Timeout():
		status = fasthttp.StatusRequestTimeout
	case errors.Is(err, errOverloaded):
		status, fault = fasthttp.StatusServiceUnavailable, errOverloaded
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, "1")
	case errors.Is(err, httphead.ErrTooLarge), errors.Is(err, httphead.ErrTooManyFields):
		status = fasthttp.StatusRequestHeaderFieldsTooLarge
	}
	s.cfg.Counters.Add("calls_answered_"+strconv.Itoa(status), 1)
	s.cfg.Problem(ctx, status, fault)
	if c, ok := ctx.Conn().(*conn); ok {
		s.allowWrite(c)
	}
	ctx.Response.SetConnectionClose()
}

// isRefusedUnread reports whether the rest of the call's request is not awaited.
func isRefusedUnread(ctx *fasthttp.RequestCtx) bool {
	c, ok := ctx.Conn().(*conn)
	return ok && c.isRestRefused()
}

var (
	errUnreadable   = errors.New("the request can't be read, or is too large")
	errShuttingDown = errors.New("the rest of the request is not waited for, try again")
)

// Call is one HTTP call of a client.
type Call struct {
	*fasthttp.RequestCtx
	// Received is when its last byte was received, and ReadWhole is when that was read. Both are
	// set once the body is read.
	Received, ReadWhole time.Time
	server              *Server
	conn                *conn
	headSize            int  // in bytes
	bodyRead            bool // the body has been read completely
}

// closeAfterAnswer closes the connection after the answer. Further requests on it are not served.
func (c *Call) closeAfterAnswer() { c.Response.SetConnectionClose() }

// TextProblem answers a call that is not routed with a status and the fault as plain text. It is a
// Config.Problem for fronts without an error format of their own.
func TextProblem(ctx *fasthttp.RequestCtx, status int, fault error) {
	ctx.Response.ResetBody()
	ctx.SetStatusCode(status)
	ctx.SetContentType("text/plain; charset=utf-8")
	ctx.SetBodyString(fault.Error() + "\n")
}

// Problem answers with a status and the fault.
func (c *Call) Problem(status int, fault error) {
	c.server.cfg.Counters.Add("calls_answered_"+strconv.Itoa(status), 1)
	c.server.cfg.Problem(c.RequestCtx, status, fault)
}

// Allow reports whether the call uses the method; if not, it answers with an error.
func (c *Call) Allow(method string) bool {
	if string(c.Method()) == method {
		return true
	}
	c.Response.Header.Set(fasthttp.HeaderAllow, method)
	c.Problem(fasthttp.StatusMethodNotAllowed, errors.New(method+" only"))
	return false
}

var errNotReady = errors.New("not ready")

// Ready answers a readiness check as plain text.
func (c *Call) Ready(ready func() bool) {
	switch {
	case !c.Allow(fasthttp.MethodGet):
	case !ready():
		c.Problem(fasthttp.StatusServiceUnavailable, errNotReady)
	default:
		c.SetBodyString("ready\n")
	}
}

// Answer is the result of a routed request. Body is set if the request is being answered.
type Answer struct {
	Body       router.Answer
	Refused    bool
	RetryAfter time.Duration
	Last       logic.Status // status of the last attempt, if the request was not answered
	Left       bool         // the client has left
}

// Route submits the call's request to the core and waits for its answer.
func (c *Call) Route(r *router.Request) Answer {
	if c.server.refusing.Load() {
		c.server.cfg.Counters.Add("requests_refused_at_the_end", 1)
		return Answer{Refused: true, RetryAfter: shutdownRetryAfter, Last: logic.NotSent}
	}
	if c.conn.hasLeft() { // requests pipelined by a client that has left are not routed
		return Answer{Left: true}
	}
	c.conn.releaseSlot()
	c.conn.routed = true
	w := &waiter{answers: make(chan Answer, 2)}
	ticket := c.server.cfg.Core.Submit(r, w)
	c.conn.watch(func() {
		ticket.Leave()
		w.leave()
	})
	return <-w.answers
}

// waiter implements router.Client. Its channel has room for the answer and for the client's
// leaving.
type waiter struct {
	answers chan Answer
	mu      sync.Mutex
	left    bool
}

// Stream implements router.Client. Nobody waits for an answer that begins after the client has
// left.
func (w *waiter) Stream(body router.Answer) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.left {
		_ = body.Close()
		return
	}
	w.answers <- Answer{Body: body}
}

func (w *waiter) leave() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.left = true
	w.answers <- Answer{Left: true}
}

func (w *waiter) Refuse(after time.Duration, last logic.Status) {
	w.answers <- Answer{Refused: true, RetryAfter: after, Last: last}
}
func (w *waiter) Fail(last logic.Status) { w.answers <- Answer{Last: last} }

// Stream sends the body as it arrives. If it ends in any way but io.EOF, the connection is closed
// without the last chunk.
func (c *Call) Stream(contentType string, body io.ReadCloser) {
	c.SetContentType(contentType)
	c.Response.SetBodyStream(&timedBody{ReadCloser: body, conn: c.conn, server: c.server}, -1)
}

// Whole sends a body of known length.
func (c *Call) Whole(contentType string, body io.ReadCloser, size int) {
	c.SetContentType(contentType)
	c.Response.SetBodyStream(body, size)
}

// timedBody applies the write time-out to every event instead of the whole answer.
type timedBody struct {
	io.ReadCloser
	conn   *conn
	server *Server
}

func (t *timedBody) Read(p []byte) (int, error) {
	// A stream that its worker sends faster than the client's connection takes it never blocks. A
	// hundred of those would keep timers and other requests from running for a second.
	runtime.Gosched()
	n, err := t.ReadCloser.Read(p)
	t.server.allowWrite(t.conn)
	return n, err
}
