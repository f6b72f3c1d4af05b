package test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"lichenshelf/lab/judge"
	"lichenshelf/logic"
)

// partialRequestTimeout is the time limit for the error or the close that a client receives after
// it has stopped within a request and stays connected.
const partialRequestTimeout = 3 * time.Second

// maxEventDelay is how long a router may take to forward an event.
const maxEventDelay = 300 * time.Millisecond

// minClientTimeout is the shortest time that clients allow for a request.
const minClientTimeout = 300 * time.Millisecond

// One in largeBodyInterval requests has a body of up to maxLargeBody bytes. Writing more than
// promptWriteSize bytes may take a while.
const (
	largeBodyInterval = 25
	maxLargeBody      = 200 << 10
	promptWriteSize   = 16 << 10
)

// overlapClient sends requests to the routers over connections that it keeps open.
type overlapClient struct {
	rig        *overlapRig
	rng        *rand.Rand
	conns      map[*overlapRouter]*clientConn
	lastID     int
	id         int
	onlyRouter *overlapRouter // receives all its requests; nil: they go to all routers
}

// clientConn is a client's connection to a router.
type clientConn struct {
	net.Conn
	br     *bufio.Reader
	reused bool
}

var overlapClasses = []struct {
	name   string
	effect logic.Effect
}{{"query", logic.EffectRepeatable}, {"file", logic.EffectOnce}, {"order", logic.EffectByKey}}

// run sends requests until ctx ends.
func (c *overlapClient) run(ctx context.Context) {
	defer func() {
		for _, conn := range c.conns {
			_ = conn.Close()
		}
	}()
	for ctx.Err() == nil {
		to, pause := c.rig.routers[c.rng.IntN(len(c.rig.routers))], 60
		if c.onlyRouter != nil {
			to, pause = c.onlyRouter, 10
		}
		switch n := c.rng.IntN(40); {
		case n == 0:
			c.sendPartial(ctx, to)
		case n < 3:
			c.ask(to, 2, 0)
		case n < 7:
			c.ask(to, 1, time.Duration(c.rng.IntN(150))*time.Millisecond)
		default:
			c.ask(to, 1, 0)
		}
		time.Sleep(time.Duration(c.rng.IntN(pause)) * time.Millisecond)
	}
}

// sentRequest is a request as it was sent.
type sentRequest struct {
	id     string
	effect logic.Effect
	wire   string // the request as written to the connection
	kills  int64  // how often the router had been killed when the request was sent
}

// connect returns a kept connection or a new one, or nil if the router can't be reached or no
// longer accepts new connections.
func (c *overlapClient) connect(to *overlapRouter, fresh bool) *clientConn {
	if conn := c.conns[to]; conn != nil && !fresh {
		delete(c.conns, to)
		conn.reused = true
		return conn
	}
	if !to.acceptsConnections() {
		return nil
	}
	conn, err := net.DialTimeout("tcp", to.addr, time.Second)
	if err != nil {
		return nil
	}
	return &clientConn{Conn: conn, br: bufio.NewReader(conn)}
}

// ask sends n pipelined requests on one connection and reads their answers. If leaveAfter is not 0,
// it closes the connection after that time instead.
func (c *overlapClient) ask(to *overlapRouter, n int, leaveAfter time.Duration) {
	kills := to.kills.Load() // before connecting: the process may be killed from then on
	conn := c.connect(to, false)
	if conn == nil {
		return
	}
	patience := minClientTimeout + time.Duration(c.rng.Int64N(max(to.maxDeadline.Load()-int64(minClientTimeout), 1)))
	var sent []sentRequest
	var wire strings.Builder
	for range n {
		c.lastID++
		class := overlapClasses[c.rng.IntN(len(overlapClasses))]
		text := prompt
		if c.rng.IntN(largeBodyInterval) == 0 {
			text = fmt.Sprintf(`{"model":"chat","stream":true,"messages":[{"role":"user","content":%q}]}`, strings.Repeat("x", c.rng.IntN(maxLargeBody)))
		}
		q := sentRequest{id: fmt.Sprintf("%04x%012x", c.id, c.lastID), effect: class.effect, kills: kills}
		q.wire = fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: %s\r\nX-Service-Class: %s\r\nX-Account: acme\r\n"+
			"X-Session-Key: %x\r\nX-Time-Left-Ms: %d\r\nX-Facts: prompt_len=%d,prefix_len=0,max_out=100\r\nContent-Length: %d\r\n\r\n%s",
			q.id, class.name, c.rng.IntN(20)+1, patience.Milliseconds(), 100+c.rng.IntN(2000), len(text), text)
		wire.WriteString(q.wire)
		sent = append(sent, q)
		c.rig.judge.Sent(q.id, class.effect, to.name, time.Now(), patience)
	}
	if _, err := io.WriteString(conn, wire.String()); err != nil {
		_ = conn.Close()
		c.resend(to, sent, conn.reused, patience)
		return
	}
	if wire.Len() > promptWriteSize { // the deadline runs from the last byte of the request
		for _, q := range sent {
			c.rig.judge.Sent(q.id, q.effect, to.name, time.Now(), patience)
		}
	}
	if leaveAfter > 0 {
		time.Sleep(leaveAfter)
		for _, q := range sent {
			c.rig.judge.Left(q.id, time.Now())
		}
		_ = conn.Close()
		return
	}
	for i, q := range sent {
		if resend := c.read(to, conn, q, patience, conn.reused || i > 0); resend {
			_ = conn.Close()
			c.resend(to, sent[i:], true, patience)
			return
		}
		if conn.Conn == nil {
			c.resend(to, sent[i+1:], true, patience)
			return
		}
	}
	c.conns[to] = conn
}

// resend sends requests once more, each on a new connection, if the router may have closed their
// connection without reading them.
func (c *overlapClient) resend(to *overlapRouter, sent []sentRequest, mayBeUnread bool, patience time.Duration) {
	for _, q := range sent {
		conn := c.connect(to, true)
		switch {
		case to.kills.Load() != q.kills:
			c.rig.judge.Excuse(q.id)
		case !mayBeUnread:
			c.end(to, q, judge.Unanswered)
		case conn == nil: // a front would send it to another router; this client does not
			c.rig.judge.Excuse(q.id)
		default:
			c.rig.judge.Sent(q.id, q.effect, to.name, time.Now(), patience)
			if _, err := io.WriteString(conn, q.wire); err != nil || c.read(to, conn, q, patience, false) {
				c.end(to, q, judge.Unanswered)
			}
		}
		if conn != nil && conn.Conn != nil {
			_ = conn.Close()
		}
	}
}

// end records how a request ended, unless its router was killed meanwhile. While idle clients use
// up its descriptors, a router may close a new connection before it has read from it.
func (c *overlapClient) end(to *overlapRouter, q sentRequest, end judge.Outcome) {
	if end == judge.Unanswered && to.crowds.Load() != 0 {
		c.rig.judge.ExcuseUnread(q.id)
	}
	if to.kills.Load() != q.kills {
		c.rig.judge.Excuse(q.id)
	}
	c.rig.judge.Final(q.id, end, time.Now())
}

// read reads an answer. It returns true if the connection ended before the answer and mayBeUnread
// says that the router may have closed it before it read the request. It sets conn.Conn to nil if
// the connection can't be used again.
func (c *overlapClient) read(to *overlapRouter, conn *clientConn, q sentRequest, patience time.Duration, mayBeUnread bool) (resend bool) {
	_ = conn.SetReadDeadline(time.Now().Add(patience + 5*time.Second))
	if _, err := conn.br.Peek(1); err != nil {
		if mayBeUnread && !errors.Is(err, os.ErrDeadlineExceeded) {
			return true
		}
		c.end(to, q, judge.Unanswered)
		c.drop(conn)
		return false
	}
	resp, err := http.ReadResponse(conn.br, nil)
	if err != nil {
		c.end(to, q, judge.Unanswered)
		c.drop(conn)
		return false
	}
	if resp.StatusCode == http.StatusOK {
		c.rig.judge.Began(q.id, time.Now())
	}
	body, err := c.stream(resp.Body)
	switch {
	case resp.StatusCode == http.StatusOK && err == nil && !isCompleteStream(body, q.id):
		c.rig.fault("request %s: not the stream that a worker wrote for it: %.200q", q.id, body)
	case resp.StatusCode == http.StatusOK && err == nil:
		c.end(to, q, judge.Served)
	case resp.StatusCode == http.StatusOK:
		c.end(to, q, judge.Broken)
	case resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests:
		c.end(to, q, judge.Refused)
	default:
		c.end(to, q, judge.Failed)
	}
	if err != nil || resp.Close {
		c.drop(conn)
	}
	return false
}

// stream reads a body and counts it as late if one of its events took longer than maxEventDelay.
func (c *overlapClient) stream(from io.Reader) (body string, err error) {
	var all strings.Builder
	heldBack := false
	lines := bufio.NewReader(from)
	for err == nil {
		var line string
		line, err = lines.ReadString('\n')
		all.WriteString(line)
		if at, ok := eventTime(line); ok && time.Since(at) > maxEventDelay+overlapTolerance {
			heldBack = true
		}
	}
	c.rig.streams.Add(1)
	if heldBack {
		c.rig.lateStreams.Add(1)
	}
	if errors.Is(err, io.EOF) {
		err = nil
	}
	return all.String(), err
}

// drop closes a connection and marks it as unusable.
func (c *overlapClient) drop(conn *clientConn) {
	_ = conn.Close()
	conn.Conn = nil
}

// sendPartial sends a part of a request and keeps the connection open.
func (c *overlapClient) sendPartial(ctx context.Context, to *overlapRouter) {
	kills := to.kills.Load()
	conn := c.connect(to, true)
	if conn == nil {
		return
	}
	defer conn.Close()
	text := "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\nhalf"
	if c.rng.IntN(2) == 0 {
		text = "POST /v1/chat"
	}
	from := time.Now()
	if _, err := io.WriteString(conn, text); err != nil {
		return
	}
	timeout := partialRequestTimeout + overlapTolerance
	_ = conn.SetReadDeadline(from.Add(timeout))
	_, err := conn.br.ReadByte()
	if errors.Is(err, os.ErrDeadlineExceeded) && to.kills.Load() == kills && ctx.Err() == nil {
		c.rig.fault("%s: a partial request was neither answered nor closed within %v", to.name, timeout)
	}
}
