package upstream

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"lichenshelf/internal/httphead"
	"lichenshelf/logic"
	"lichenshelf/router"
	"lichenshelf/router/rules"
)

// attempt is one attempt in progress.
type attempt struct {
	router.Attempt
	client   *Client
	sink     router.Sink
	cancel   context.CancelFunc
	answerBy time.Time // when waiting for the answer ends
	sendBy   time.Time // when the whole request must have been sent, by SendWithin; zero: no limit
	// msg is a copy of the request's message from the beginning of the attempt: the request drops
	// its message when an answer begins, and that may be the answer of another attempt while this
	// one, already aborted, has not ended yet.
	msg Message

	mu             sync.Mutex
	conn           *conn
	aborted        bool // abort was called
	headDone       bool // waiting for the head of the answer has ended
	unacknowledged bool // ended because the worker's kernel did not acknowledge the request
}

// abort cancels the attempt and shuts down its connection. The returned channel is closed when the
// connection is closed; it is nil if nothing has been sent.
func (x *attempt) abort() (closed <-chan struct{}) {
	x.mu.Lock()
	x.aborted = true
	c := x.conn
	x.mu.Unlock()
	x.cancel()
	if c == nil {
		return nil
	}
	return c.shutdown()
}

// isAborted reports whether abort was called.
func (x *attempt) isAborted() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.aborted
}

// attachConn records the connection in use. It returns false if the attempt was aborted.
func (x *attempt) attachConn(c *conn) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.conn = c
	return !x.aborted
}

// detachConn removes the connection from the attempt, so that abort no longer closes it. It returns
// false if the attempt was aborted.
func (x *attempt) detachConn() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.conn = nil
	return !x.aborted
}

func (x *attempt) run(ctx context.Context) {
	c, failure, err := x.write(ctx)
	if c == nil {
		x.sink.Ended(router.Outcome{Status: failure, Unreached: true, Cause: err})
		return
	}
	stop := x.watchAcknowledgement(c)
	head, err := readHead(c)
	stop()
	if err != nil {
		if x.unacknowledged {
			x.client.cfg.Counters.Add("attempts_unconfirmed", 1)
			x.sink.Ended(router.Outcome{Status: logic.ConnectionReset, Unreached: true, Cause: errNotAcknowledged})
			return
		}
		if errors.Is(err, errNoAnswer) && c.isStale() {
			x.reportStale(c, err)
		} else {
			x.reportReset(c, err)
		}
		return
	}
	body, err := newBody(x, c, head)
	status := head.StatusCode()
	switch answer := status == fasthttp.StatusOK || x.client.cfg.Final != nil && x.client.cfg.Final(status); {
	case !answer:
		o := x.classify(c, head, body, err)
		body.release()
		x.sink.Ended(o)
	case err != nil:
		x.reportReset(c, err)
	case status == fasthttp.StatusOK && x.msg.Stream:
		if err := body.awaitFirstEvent(); err != nil {
			body.release()
			x.reportReset(c, err)
			return
		}
		x.sink.Started(body)
	default:
		whole, err := body.readAll(x.client.cfg.MaxAnswer)
		if err != nil {
			body.release()
		}
		switch {
		case errors.Is(err, errTooLarge), errors.Is(err, errNoMemory):
			abandonAndWait(c, err)
			x.sink.Ended(router.Outcome{Status: logic.ServerError, Cause: err})
		case err != nil:
			x.reportReset(c, err)
		default:
			x.sink.Started(&buffered{whole, &body.memory, headOf(head, len(whole)), body.load})
		}
	}
}

// classify returns the outcome of a response that is no answer for the client. The body may break
// off or never end, so it is read within BodyWait: an incomplete response does not prove that the
// request never ran. A prompt that was read is held as soon as the head has arrived.
func (x *attempt) classify(c *conn, head *fasthttp.ResponseHeader, body *body, err error) router.Outcome {
	var text []byte
	if err == nil {
		if err = c.SetReadDeadline(time.Now().Add(cmp.Or(x.client.cfg.BodyWait, headTimeout))); err == nil {
			text, err = body.readAll(x.client.cfg.MaxAnswer)
		}
	}
	o := x.client.cfg.Classify(head.StatusCode(), head, text)
	if err != nil {
		abandonAndWait(c, err)
		if o.Status != logic.PromptRead { // the response is broken, so the request may have run
			o = router.Outcome{Status: logic.ConnectionReset}
		}
		o.Cause = err
	}
	if body != nil {
		o.Load = body.load
	}
	return o
}

// readHead reads the head of an answer and skips interim (1xx) heads.
func readHead(c *conn) (*fasthttp.ResponseHeader, error) {
	var h fasthttp.ResponseHeader
	for range maxInterim {
		if _, err := c.br.Peek(1); err != nil {
			return nil, fmt.Errorf("%w: %w", errNoAnswer, err)
		}
		if err := c.SetReadDeadline(time.Now().Add(headTimeout)); err != nil {
			return nil, fmt.Errorf("read head: %w", err)
		}
		if _, err := httphead.Await(c.br, httphead.MaxFields); err != nil {
			return nil, fmt.Errorf("read head: %w", err)
		}
		if err := h.Read(c.br); err != nil {
			return nil, fmt.Errorf("read head: %w", err)
		}
		if err := c.SetReadDeadline(time.Time{}); err != nil {
			return nil, fmt.Errorf("read head: %w", err)
		}
		if status := h.StatusCode(); status >= fasthttp.StatusOK {
			return &h, nil
		}
	}
	return nil, errOnlyInterim
}

// abandonAndWait shuts down a connection on which reading the answer failed, and waits until it is
// closed. Unless the worker has closed it already, that gives the worker time to notice.
func abandonAndWait(c *conn, err error) {
	c.abandon(err)
	<-c.ended
}

// reportReset reports a connection that broke after the request's last byte was written.
func (x *attempt) reportReset(c *conn, err error) {
	abandonAndWait(c, err)
	x.sink.Ended(router.Outcome{Status: logic.ConnectionReset, Cause: err})
}

// reportStale reports a request that was written to a connection that the worker had dropped.
func (x *attempt) reportStale(c *conn, err error) {
	_ = c.Close()
	x.client.pool.noteStale(c)
	x.client.cfg.Counters.Add("connections_stale", 1)
	x.sink.Ended(router.Outcome{Status: logic.ConnectionReset, Stale: true, Cause: err})
}

// write sends the whole request to the worker. A nil connection means that it was not sent whole,
// so the worker has not run it.
func (x *attempt) write(ctx context.Context) (*conn, logic.Status, error) {
	if x.SendWithin > 0 {
		x.sendBy = time.Now().Add(x.SendWithin)
	}
	sendBy := earliest(x.sendBy, x.RepeatBy)
	if !sendBy.IsZero() {
		var done context.CancelFunc
		ctx, done = context.WithDeadline(ctx, sendBy)
		defer done()
	}
	body := x.msg.Body
	for fresh := false; ; fresh = true {
		c, err := x.client.pool.get(ctx, x.Worker, connRequirements{fresh: fresh, reuseDelay: x.client.pool.reuseDelay})
		if errors.Is(err, errFull) {
			x.client.cfg.Counters.Add("attempts_without_a_connection", 1)
			return nil, logic.Full, err
		}
		if err != nil {
			return nil, x.sendFailure(), err
		}
		if !x.attachConn(c) {
			_ = c.Close()
			return nil, logic.Cancelled, nil
		}
		if err := x.maySend(); err != nil {
			_ = c.Close()
			return nil, logic.Full, err
		}
		if !c.reused {
			x.client.cfg.Counters.Add("connections_opened", 1)
		}
		// The head is built here because it states the time left, and connecting may have taken
		// long.
		head := x.head()
		bufs := net.Buffers{head, body}
		_ = c.SetWriteDeadline(sendBy) // a stopped worker may accept only a part of the request
		n, err := bufs.WriteTo(c.TCPConn)
		c.writtenAt = time.Now()
		if n == int64(len(head)+len(body)) {
			x.msg.Body, x.msg.Header = nil, nil // not needed any more, and a stream may last long
			x.sink.Written(router.Written{At: c.writtenAt, Port: c.port(), Reused: c.reused, Bytes: int(n)})
			return c, 0, nil
		}
		_ = c.Close()
		// The worker had closed an idle connection. It does not run an incomplete request, so the
		// same attempt may be sent on a new connection.
		if err != nil && c.reused && !fresh {
			continue
		}
		return nil, x.sendFailure(), err
	}
}

// maySend checks right before the first byte what may have changed since the attempt was decided:
// connecting takes time, in which its worker may begin to drain or the time for a repeat may end.
func (x *attempt) maySend() error {
	if !x.Worker.MaySend() {
		return errDraining
	}
	if x.repeatIsLate() {
		return errRepeatLate
	}
	return nil
}

// sendFailure returns the status of an attempt that could not be sent whole.
func (x *attempt) sendFailure() logic.Status {
	if x.repeatIsLate() {
		return logic.Full // there was too little time, which says nothing about the worker
	}
	return logic.ConnectFailed
}

// earliest returns the earlier of two times. A zero time is no bound.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// repeatIsLate reports whether the request must not be sent again any more.
func (x *attempt) repeatIsLate() bool { return !x.RepeatBy.IsZero() && !time.Now().Before(x.RepeatBy) }

// head returns the request's head. Method, path, query and the client's headers are passed on
// unchanged.
func (x *attempt) head() []byte {
	var h fasthttp.RequestHeader
	h.SetMethod(x.msg.Method)
	h.SetRequestURI(x.msg.URI)
	h.SetHost(x.Worker.Addr)
	h.SetNoDefaultContentType(true)
	for _, kv := range x.msg.Header {
		h.Set(kv[0], kv[1])
	}
	timeLeft, v := rules.WorkerTimeout(time.Now(), x.answerBy, x.Request.Received.Add(x.Request.Patience))
	if v != rules.Allowed {
		router.CountViolation(x.client.cfg.Counters, v)
	}
	h.Set(x.client.cfg.WaitHeader, strconv.FormatInt(timeLeft.Milliseconds(), 10))
	h.SetContentLength(len(x.msg.Body))
	return slices.Clone(h.Header())
}
