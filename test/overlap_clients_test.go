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

// endsHalves is how soon a client that stops within its request and stays has its error or its close.
const endsHalves = 3 * time.Second

// eventWithin is how soon an event has to be passed on.
const eventWithin = 300 * time.Millisecond

// leastPatience is how long clients wait at least.
const leastPatience = 300 * time.Millisecond

// One in largeEvery requests has a body of up to mostLarge bytes; what is longer than atOnce may take its time to be written.
const (
	largeEvery = 25
	mostLarge  = 200 << 10
	atOnce     = 16 << 10
)

// overlapClient sends requests to all routers, over connections that it keeps.
type overlapClient struct {
	rig    *overlapRig
	rng    *rand.Rand
	conns  map[*overlapRouter]*clientConn
	last   int
	id     int
	steady *overlapRouter // nil: it asks all of them
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
		if c.steady != nil {
			to, pause = c.steady, 10
		}
		switch n := c.rng.IntN(40); {
		case n == 0:
			c.half(ctx, to)
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

// asked is a request that was sent.
type asked struct {
	id     string
	effect logic.Effect
	wire   string
	kills  int64
}

// connect gives a kept connection or a new one; nil where the router can't be reached, or new ones may not come any more.
func (c *overlapClient) connect(to *overlapRouter, fresh bool) *clientConn {
	if conn := c.conns[to]; conn != nil && !fresh {
		delete(c.conns, to)
		conn.reused = true
		return conn
	}
	if !to.takesNew() {
		return nil
	}
	conn, err := net.DialTimeout("tcp", to.addr, time.Second)
	if err != nil {
		return nil
	}
	return &clientConn{Conn: conn, br: bufio.NewReader(conn)}
}

// ask sends requests on one connection, one right behind the other, and reads their answers. It leaves after a time, if that
// is not 0.
func (c *overlapClient) ask(to *overlapRouter, n int, leave time.Duration) {
	kills := to.kills.Load() // before the connection: its process may be killed from then on
	conn := c.connect(to, false)
	if conn == nil {
		return
	}
	patience := leastPatience + time.Duration(c.rng.Int64N(max(to.longest.Load()-int64(leastPatience), 1)))
	var sent []asked
	var wire strings.Builder
	for range n {
		c.last++
		class := overlapClasses[c.rng.IntN(len(overlapClasses))]
		text := prompt
		if c.rng.IntN(largeEvery) == 0 {
			text = fmt.Sprintf(`{"model":"chat","stream":true,"messages":[{"role":"user","content":%q}]}`, strings.Repeat("x", c.rng.IntN(mostLarge)))
		}
		q := asked{id: fmt.Sprintf("%04x%012x", c.id, c.last), effect: class.effect, kills: kills}
		q.wire = fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: %s\r\nX-Service-Class: %s\r\nX-Account: acme\r\n"+
			"X-Session-Key: %x\r\nX-Time-Left-Ms: %d\r\nX-Facts: prompt_len=%d,prefix_len=0,max_out=100\r\nContent-Length: %d\r\n\r\n%s",
			q.id, class.name, c.rng.IntN(20)+1, patience.Milliseconds(), 100+c.rng.IntN(2000), len(text), text)
		wire.WriteString(q.wire)
		sent = append(sent, q)
		c.rig.judge.Sent(q.id, class.effect, to.name, time.Now(), patience)
	}
	if _, err := io.WriteString(conn, wire.String()); err != nil {
		_ = conn.Close()
		c.again(to, sent, conn.reused, patience)
		return
	}
	if wire.Len() > atOnce { // its time runs from its last byte
		for _, q := range sent {
			c.rig.judge.Sent(q.id, q.effect, to.name, time.Now(), patience)
		}
	}
	if leave > 0 {
		time.Sleep(leave)
		for _, q := range sent {
			c.rig.judge.Left(q.id, time.Now())
		}
		_ = conn.Close()
		return
	}
	for i, q := range sent {
		if again := c.read(to, conn, q, patience, conn.reused || i > 0); again {
			_ = conn.Close()
			c.again(to, sent[i:], true, patience)
			return
		}
		if conn.Conn == nil {
			c.again(to, sent[i+1:], true, patience)
			return
		}
	}
	c.conns[to] = conn
}

// again sends requests once more, each on a new connection, that the router closed a connection over without reading them.
func (c *overlapClient) again(to *overlapRouter, sent []asked, crossed bool, patience time.Duration) {
	for _, q := range sent {
		conn := c.connect(to, true)
		switch {
		case to.kills.Load() != q.kills:
			c.rig.judge.Excuse(q.id)
		case !crossed:
			c.end(to, q, judge.Unanswered)
		case conn == nil: // no other router is asked: a front would
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

// end notes the end of a request, unless its router was killed meanwhile. While idle clients have its descriptors, a router may
// shut a new connection that it has not read.
func (c *overlapClient) end(to *overlapRouter, q asked, end judge.Outcome) {
	if end == judge.Unanswered && to.crowds.Load() != 0 {
		c.rig.judge.ExcuseUnread(q.id)
	}
	if to.kills.Load() != q.kills {
		c.rig.judge.Excuse(q.id)
	}
	c.rig.judge.Final(q.id, end, time.Now())
}

// read reads an answer. It tells whether the connection ended over a request that may have crossed its close. A connection
// that is not to be used again has no Conn after it.
func (c *overlapClient) read(to *overlapRouter, conn *clientConn, q asked, patience time.Duration, mayCross bool) (again bool) {
	_ = conn.SetReadDeadline(time.Now().Add(patience + 5*time.Second))
	if _, err := conn.br.Peek(1); err != nil {
		if mayCross && !errors.Is(err, os.ErrDeadlineExceeded) {
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
	case resp.StatusCode == http.StatusOK && err == nil && !wholeStream(body, q.id):
		c.rig.fault("request %s: what no worker made for it: %.200q", q.id, body)
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

// stream reads a body, and counts it if one of its events was held back.
func (c *overlapClient) stream(from io.Reader) (body string, err error) {
	var all strings.Builder
	heldBack := false
	lines := bufio.NewReader(from)
	for err == nil {
		var line string
		line, err = lines.ReadString('\n')
		all.WriteString(line)
		if at, ok := writtenAt(line); ok && time.Since(at) > eventWithin+overlapSlack {
			heldBack = true
		}
	}
	c.rig.streams.Add(1)
	if heldBack {
		c.rig.heldBack.Add(1)
	}
	if errors.Is(err, io.EOF) {
		err = nil
	}
	return all.String(), err
}

func (c *overlapClient) drop(conn *clientConn) {
	_ = conn.Close()
	conn.Conn = nil
}

// half sends a part of a request and stays.
func (c *overlapClient) half(ctx context.Context, to *overlapRouter) {
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
	most := endsHalves + overlapSlack
	_ = conn.SetReadDeadline(from.Add(most))
	_, err := conn.br.ReadByte()
	if errors.Is(err, os.ErrDeadlineExceeded) && to.kills.Load() == kills && ctx.Err() == nil {
		c.rig.fault("%s: half a request has had no end for %v", to.name, most)
	}
}
