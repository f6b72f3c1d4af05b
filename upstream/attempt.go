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

	"lichenshelf/logic"
	"lichenshelf/router"
	"lichenshelf/router/rules"
)

// attempt is one attempt on its way.
type attempt struct {
	router.Attempt
	client *Client
	sink   router.Sink
	cancel context.CancelFunc
	until  time.Time // its answer is waited for
	sendBy time.Time // by which its worker must have it whole; zero: not stated
	// msg is the message as it was when the attempt began: the request lets go of it when an answer begins, which may be
	// another attempt's than one that was given up and has not come to its end yet.
	msg Message

	mu       sync.Mutex
	conn     *conn
	given    bool // given up
	heard    bool // its worker has begun to answer
	vanished bool // it was given up since its worker's system had not confirmed it
}

// giveUp ends the attempt's connection. The channel is closed when its worker knows; nil: nothing has been sent.
func (x *attempt) giveUp() (known <-chan struct{}) {
	x.mu.Lock()
	x.given = true
	c := x.conn
	x.mu.Unlock()
	x.cancel()
	if c == nil {
		return nil
	}
	return c.end()
}

// isGivenUp tells whether the attempt was given up.
func (x *attempt) isGivenUp() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.given
}

// own notes the connection in use, unless the attempt has been given up.
func (x *attempt) own(c *conn) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.conn = c
	return !x.given
}

// disown takes the connection back from giveUp; false if it was given up.
func (x *attempt) disown() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.conn = nil
	return !x.given
}

func (x *attempt) run(ctx context.Context) {
	c, never, err := x.write(ctx)
	if c == nil {
		x.sink.Ended(router.Outcome{Status: never, Unreached: true, Cause: err})
		return
	}
	stop := x.watchArrival(c)
	head, err := readHead(c)
	stop()
	if err != nil {
		if x.vanished {
			x.client.cfg.Counters.Add("attempts_unconfirmed", 1)
			x.sink.Ended(router.Outcome{Status: logic.ConnectionReset, Unreached: true, Cause: errUnconfirmed})
			return
		}
		if errors.Is(err, errNoAnswer) && c.stale() {
			x.stale(c, err)
		} else {
			x.broken(c, err)
		}
		return
	}
	body, err := newBody(x, c, head)
	status := head.StatusCode()
	switch answer := status == fasthttp.StatusOK || x.client.cfg.Final != nil && x.client.cfg.Final(status); {
	case !answer:
		x.sink.Ended(x.judge(c, head, body, err))
	case err != nil:
		x.broken(c, err)
	case status == fasthttp.StatusOK && x.msg.Stream:
		if err := body.await(); err != nil {
			x.broken(c, err)
			return
		}
		x.sink.Started(body)
	default:
		whole, err := body.whole(x.client.cfg.MaxAnswer)
		switch {
		case errors.Is(err, errTooLarge):
			hangUp(c, err)
			x.sink.Ended(router.Outcome{Status: logic.ServerError, Cause: err})
		case err != nil:
			x.broken(c, err)
		default:
			x.sink.Started(&buffered{whole, headOf(head, len(whole)), body.load})
		}
	}
}

// judge tells the outcome of what is no answer for the client. Its body, which may break off or never end, is
// waited for within BodyWait: without its end nothing says that the request never ran. A prompt that was
// read is held from the head on.
func (x *attempt) judge(c *conn, head *fasthttp.ResponseHeader, body *body, err error) router.Outcome {
	var text []byte
	if err == nil {
		if err = c.SetReadDeadline(time.Now().Add(cmp.Or(x.client.cfg.BodyWait, headWait))); err == nil {
			text, err = body.whole(x.client.cfg.MaxAnswer)
		}
	}
	o := x.client.cfg.Judge(head.StatusCode(), head, text)
	if err != nil {
		hangUp(c, err)
		if o.Status != logic.PromptRead { // the head is of an answer that is spoilt: it may be of one that ran
			o = router.Outcome{Status: logic.ConnectionReset}
		}
		o.Cause = err
	}
	if body != nil {
		o.Load = body.load
	}
	return o
}

// readHead reads the head of an answer, past those that announce it.
func readHead(c *conn) (*fasthttp.ResponseHeader, error) {
	var h fasthttp.ResponseHeader
	for range mostInterim {
		if _, err := c.br.Peek(1); err != nil {
			return nil, fmt.Errorf("%w: %w", errNoAnswer, err)
		}
		if err := c.SetReadDeadline(time.Now().Add(headWait)); err != nil {
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
	return nil, errInterim
}

// hangUp ends a connection whose answer ended in an error, and waits, where the worker has not ended it itself, until
// that one has learnt of it.
func hangUp(c *conn, err error) {
	c.abandon(err)
	<-c.ended
}

// broken reports a connection that ended after the request's last byte.
func (x *attempt) broken(c *conn, err error) {
	hangUp(c, err)
	x.sink.Ended(router.Outcome{Status: logic.ConnectionReset, Cause: err})
}

// stale reports a request that met a connection which its worker had dropped.
func (x *attempt) stale(c *conn, err error) {
	_ = c.Close()
	x.client.pool.doubt(c)
	x.client.cfg.Counters.Add("connections_stale", 1)
	x.sink.Ended(router.Outcome{Status: logic.ConnectionReset, Stale: true, Cause: err})
}

// write gets the request to the worker, whole. A nil connection means that it
// never was: the worker has not run it.
func (x *attempt) write(ctx context.Context) (*conn, logic.Status, error) {
	if x.SendWithin > 0 {
		var done context.CancelFunc
		x.sendBy = time.Now().Add(x.SendWithin)
		ctx, done = context.WithDeadline(ctx, x.sendBy)
		defer done()
	}
	body := x.msg.Body
	for fresh := false; ; fresh = true {
		c, err := x.client.pool.get(ctx, x.Worker, need{fresh: fresh, rest: x.client.pool.rest})
		if errors.Is(err, errFull) {
			x.client.cfg.Counters.Add("attempts_without_a_connection", 1)
			return nil, logic.Full, err
		}
		if err != nil {
			return nil, logic.ConnectFailed, err
		}
		if !x.own(c) {
			_ = c.Close()
			return nil, logic.Cancelled, nil
		}
		// The drain window is short and connecting takes its time: what was decided
		// before a drain must not go out after it.
		if !x.Worker.MaySend() {
			_ = c.Close()
			return nil, logic.Full, errLeaving
		}
		if !c.reused {
			x.client.cfg.Counters.Add("connections_opened", 1)
		}
		// The time told is what is left now: a connection may have taken its time to come up.
		head := x.head()
		bufs := net.Buffers{head, body}
		_ = c.SetWriteDeadline(x.sendBy) // a worker that has stopped may take a part and no more
		n, err := bufs.WriteTo(c.TCPConn)
		c.wrote = time.Now()
		if n == int64(len(head)+len(body)) {
			x.msg.Body, x.msg.Header = nil, nil // a stream may last
			x.sink.Written(router.Written{At: c.wrote, Port: c.port(), Reused: c.reused, Bytes: int(n)})
			return c, 0, nil
		}
		_ = c.Close()
		// The worker had closed a kept connection. Nothing of the request counts
		// there, so it may go out on a new one as the same attempt.
		if err != nil && c.reused && !fresh {
			continue
		}
		return nil, logic.ConnectFailed, err
	}
}

// head is the request's head. Method, path, query and the client's headers go as
// they came.
func (x *attempt) head() []byte {
	var h fasthttp.RequestHeader
	h.SetMethod(x.msg.Method)
	h.SetRequestURI(x.msg.URI)
	h.SetHost(x.Worker.Addr)
	h.SetNoDefaultContentType(true)
	for _, kv := range x.msg.Header {
		h.Set(kv[0], kv[1])
	}
	told, v := rules.WorkerTimeout(time.Now(), x.until, x.Request.Received.Add(x.Request.Patience))
	if v != rules.Allowed {
		router.CountViolation(x.client.cfg.Counters, v)
	}
	h.Set(x.client.cfg.WaitHeader, strconv.FormatInt(told.Milliseconds(), 10))
	h.SetContentLength(len(x.msg.Body))
	return slices.Clone(h.Header())
}
