package downstream

import (
	"errors"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

var (
	errOverloaded     = errors.New("too much is in hand, try again later")
	errTooLarge       = errors.New("the body is too large")
	errRequestTimeout = errors.New("the request did not come in time")
)

// initialBodyCapacity is the first allocation for a body, which grows as more of it arrives.
const initialBodyCapacity = 4 << 10

// byteBudget bounds the bytes that all connections have read ahead together.
type byteBudget struct {
	limit int64 // 0 means no bound
	used  atomic.Int64
}

func (b *byteBudget) reserve(n int64) bool {
	if b.used.Add(n) > b.limit && b.limit > 0 {
		b.used.Add(-n)
		return false
	}
	return true
}

// Body reads the call's body, which then belongs to the caller, and reserves bytes of the budget
// for it until release is called. If the budget is exhausted or the body is invalid, Body answers
// the call with an error.
//
// Bytes are reserved as they arrive, not as they are announced: otherwise clients that announce
// much and send little could exhaust the budget.
func (c *Call) Body() (body []byte, release func(), ok bool) {
	release = func() { _ = c.conn.body.resize(c.conn, 0) }
	body, err := c.readBody()
	if err == nil && !c.conn.beginPhase(serving) {
		err = net.ErrClosed
	}
	if err == nil && c.conn.dropReader() {
		err = c.conn.request.resize(c.conn, openMemory+int64(headCopies*c.headSize))
	}
	if err != nil {
		release()
		c.refuseBody(err)
		return nil, nil, false
	}
	c.bodyRead = true
	c.ReadWhole = time.Now()
	c.Received = processStart.Add(time.Duration(c.conn.lastReceived.Load()))
	return body, release, true
}

func (c *Call) readBody() ([]byte, error) {
	r, err := c.bodyReader()
	if err != nil {
		return nil, err
	}
	return readBody(r, c.Request.Header.ContentLength(), c.server.cfg.MaxBody, func(bytes int) error {
		return c.conn.body.resize(c.conn, int64(bytes))
	})
}

func (c *Call) refuseBody(err error) {
	var late net.Error
	if isRefusedUnread(c.RequestCtx) {
		err = errShuttingDown
	}
	switch {
	case errors.Is(err, errShuttingDown), errors.Is(err, errOverloaded):
		c.Response.Header.Set(fasthttp.HeaderRetryAfter, "1")
		c.Problem(fasthttp.StatusServiceUnavailable, err)
	case errors.Is(err, errTooLarge):
		c.Problem(fasthttp.StatusRequestEntityTooLarge, err)
	case errors.As(err, &late) && late.Timeout():
		c.Problem(fasthttp.StatusRequestTimeout, errRequestTimeout)
	default:
		c.Problem(fasthttp.StatusBadRequest, errUnreadable)
	}
}

// readBody reads a body of the announced size, -1 if none is announced. It reserves the body's
// capacity, in bytes, before it grows.
func readBody(r io.Reader, size, maxSize int, reserve func(bytes int) error) ([]byte, error) {
	if r == nil || size == 0 {
		return nil, nil
	}
	if size > maxSize {
		return nil, errTooLarge
	}
	if size > 0 {
		maxSize = size
	}
	var body []byte
	for {
		if len(body) == cap(body) {
			if len(body) > maxSize {
				return body, errTooLarge
			}
			next := min(max(2*cap(body), initialBodyCapacity), maxSize+1)
			if err := reserve(next); err != nil {
				return body, err
			}
			body = append(make([]byte, 0, next), body...)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case err == io.EOF && len(body) > maxSize:
			return body, errTooLarge
		// the server's reader reports a connection closed early as the body's end
		case err == io.EOF && len(body) < size:
			return body, io.ErrUnexpectedEOF
		case err == io.EOF:
			return body, nil
		case err != nil:
			return body, err
		}
	}
}
