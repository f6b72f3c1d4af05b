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
	errNoRoom   = errors.New("too much is in hand, try again later")
	errTooLarge = errors.New("the body is too large")
	errSlow     = errors.New("the request did not come in time")
)

// firstPart is what a body gets before more of it has come.
const firstPart = 4 << 10

// room bounds the bodies in hand together.
type room struct {
	most int64 // 0 means no bound
	used atomic.Int64
}

func (r *room) take(n int64) bool {
	if r.used.Add(n) > r.most && r.most > 0 {
		r.used.Add(-n)
		return false
	}
	return true
}

// Body reads the call's body, which is the caller's from then on, and takes room
// for it until its answer begins or it is answered otherwise. Without room, or
// where the body is none, it answers so.
//
// Room is taken for what has come, not for what is announced: clients that announce
// much and send little would take it all.
func (c *Call) Body() (body []byte, release func(), ok bool) {
	in := &c.server.bodies
	body, err := readBody(c.RequestBodyStream(), c.Request.Header.ContentLength(), c.server.cfg.MaxBody, in)
	if err == nil && !c.conn.enter(serving) {
		err = net.ErrClosed
	}
	if err != nil {
		in.used.Add(-int64(cap(body)))
		c.refuseBody(err)
		return nil, nil, false
	}
	c.read = true
	c.ReadWhole = time.Now()
	c.Received = started.Add(time.Duration(c.conn.lastRead.Load()))
	return body, func() { in.used.Add(-int64(cap(body))) }, true
}

func (c *Call) refuseBody(err error) {
	var late net.Error
	if hurried(c.RequestCtx) {
		err = errEnding
	}
	switch {
	case errors.Is(err, errEnding), errors.Is(err, errNoRoom):
		c.Response.Header.Set(fasthttp.HeaderRetryAfter, "1")
		c.Problem(fasthttp.StatusServiceUnavailable, err)
	case errors.Is(err, errTooLarge):
		c.Problem(fasthttp.StatusRequestEntityTooLarge, err)
	case errors.As(err, &late) && late.Timeout():
		c.Problem(fasthttp.StatusRequestTimeout, errSlow)
	default:
		c.Problem(fasthttp.StatusBadRequest, errUnreadable)
	}
}

// readBody reads a body of the announced size, -1 if none is. Room is taken for
// its capacity, also where it fails.
func readBody(r io.Reader, size, most int, in *room) ([]byte, error) {
	if r == nil || size == 0 {
		return nil, nil
	}
	if size > most {
		return nil, errTooLarge
	}
	if size > 0 {
		most = size
	}
	var body []byte
	for {
		if len(body) == cap(body) {
			if len(body) > most {
				return body, errTooLarge
			}
			next := min(max(2*cap(body), firstPart), most+1)
			if !in.take(int64(next - cap(body))) {
				return body, errNoRoom
			}
			body = append(make([]byte, 0, next), body...)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case err == io.EOF && len(body) > most:
			return body, errTooLarge
		case err == io.EOF && len(body) < size: // the server's reader takes an early end for the body's
			return body, io.ErrUnexpectedEOF
		case err == io.EOF:
			return body, nil
		case err != nil:
			return body, err
		}
	}
}
