package upstream

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"lichenshelf/logic"
)

var errTooLarge = errors.New("answer too large")

// body is a worker's answer as it comes. It implements router.Answer.
type body struct {
	attempt *attempt
	conn    *conn
	head    *fasthttp.ResponseHeader
	stream  io.Reader // nil for a status that has no body
	events  bool      // it is one of events, and has one at least
	first   []byte    // read ahead, to see that the answer has begun
	tail    []byte    // its latest bytes, which tell what was found kept
	load    logic.Load
	stall   time.Duration
	err     error
}

// tailSize holds the event that tells the use of the prompt, the end mark and a report.
const tailSize = 512

// errNoEnd is for a body neither counted nor chunked: whole can't be told from broken.
var errNoEnd = errors.New("an answer without an end")

func newBody(x *attempt, c *conn, head *fasthttp.ResponseHeader) (*body, error) {
	b := &body{attempt: x, conn: c, head: head, stall: x.client.cfg.StreamStall}
	b.load = x.client.report(b.load, head.Peek(x.client.cfg.LoadHeader))
	b.events = head.StatusCode() == fasthttp.StatusOK && x.Request.Payload.(*Message).Stream
	size := head.ContentLength()
	switch {
	case head.StatusCode() == fasthttp.StatusNoContent || head.StatusCode() == fasthttp.StatusNotModified:
	case size >= 0:
		b.stream = &counted{io.LimitedReader{R: c.br, N: int64(size)}}
	case size == -1:
		b.stream = &chunked{br: c.br}
	default:
		return nil, errNoEnd
	}
	return b, nil
}

// counted is a body of a known length.
type counted struct{ io.LimitedReader }

// Read implements io.Reader.
func (c *counted) Read(p []byte) (int, error) {
	n, err := c.LimitedReader.Read(p)
	if c.N > 0 {
		err = short(err)
	}
	return n, err
}

// await reads a stream to the end of its first event, which may come in many parts: with the first byte
// passed on the attempt belongs to the client, who has nothing of an event that breaks off. Once begun,
// the event must end within headWait. A stream that ends before, in good order, is handed on as it is.
func (b *body) await() error {
	buf := make([]byte, readBuffer)
	var event firstEvent
	for {
		n, err := b.read(buf)
		begun := len(b.first) > 0
		b.first = append(b.first, buf[:n]...)
		switch {
		case event.ends(buf[:n]), len(b.first) >= mostChunk, err == io.EOF && len(b.first) > 0:
			b.err = err
			if err == nil {
				err = b.conn.SetReadDeadline(time.Time{})
			}
			if err != nil && err != io.EOF {
				return fmt.Errorf("stream given up: %w", err)
			}
			return nil
		case err != nil:
			return fmt.Errorf("stream without an event: %w", err)
		case !begun && len(b.first) > 0:
			if err := b.conn.SetReadDeadline(time.Now().Add(headWait)); err != nil {
				return fmt.Errorf("stream given up: %w", err)
			}
		}
	}
}

// firstEvent finds the end of a stream's first event: a line of data, and the blank line that ends it. Lines end
// with LF, CR LF or CR.
type firstEvent struct {
	data    bool // a line of data has ended
	matched int  // of the field's name, at the beginning of the line
	column  int
	cr      bool // the byte before was one
}

// ends takes the next part of the stream. It tells whether the event is whole.
func (e *firstEvent) ends(part []byte) bool {
	const field = "data"
	for _, c := range part {
		half := c == '\n' && e.cr // of a line's end
		e.cr = c == '\r'
		switch {
		case half:
		case c != '\n' && c != '\r':
			if e.column < len(field) && e.matched == e.column && c == field[e.column] {
				e.matched++
			}
			e.column++
		case e.data && e.column == 0:
			return true
		default:
			e.data = e.data || e.matched == len(field)
			e.matched, e.column = 0, 0
		}
	}
	return false
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	if len(b.first) > 0 {
		n := copy(p, b.first)
		b.first = b.first[n:]
		return n, nil
	}
	if b.err != nil {
		return 0, b.err
	}
	// A worker that has vanished says nothing, and its connection stays open.
	if err := b.conn.SetReadDeadline(time.Now().Add(b.stall)); err != nil {
		return 0, fmt.Errorf("stream given up: %w", err)
	}
	return b.read(p)
}

// read passes on what the connection has, and at the end gives it back.
func (b *body) read(p []byte) (int, error) {
	if b.stream == nil {
		b.finish()
		return 0, io.EOF
	}
	n, err := b.stream.Read(p)
	b.tail = append(b.tail, p[:n]...)
	b.tail = b.tail[max(0, len(b.tail)-tailSize):]
	switch {
	case err == io.EOF && b.events && len(b.tail) == 0: // no answer of this request's: a better one may follow
		_ = b.conn.Close()
	case err == io.EOF:
		b.load = b.attempt.client.report(b.load, commentIn(b.tail, b.attempt.client.cfg.LoadHeader))
		b.finish()
	case err != nil:
		_ = b.conn.Close()
	}
	return n, err
}

func (b *body) finish() {
	if !b.attempt.disown() {
		return
	}
	if b.head.ConnectionClose() {
		_ = b.conn.Close()
		return
	}
	b.attempt.client.pool.put(b.attempt.Worker, b.conn)
}

// Close implements io.Closer: what has not been read is given up.
func (b *body) Close() error {
	b.attempt.giveUp()
	return nil
}

// Head is what a front needs to know of an answer beside its bytes.
type Head struct {
	Status      int
	ContentType string
	Size        int // -1 where the answer comes bit by bit
}

func headOf(h *fasthttp.ResponseHeader, size int) Head {
	return Head{h.StatusCode(), string(h.ContentType()), size}
}

// Head implements router.Answer.
func (b *body) Head() any { return headOf(b.head, -1) }

// Kept implements router.Answer.
func (b *body) Kept() uint32 { return CachedTokens(b.tail) }

// Load implements router.Answer.
func (b *body) Load() logic.Load { return b.load }

// whole reads an answer to its end.
func (b *body) whole(most int) ([]byte, error) {
	text, err := io.ReadAll(io.LimitReader(readerFunc(b.read), int64(most)+1))
	if err != nil {
		return nil, fmt.Errorf("read answer: %w", err)
	}
	if len(text) > most {
		return nil, errTooLarge
	}
	return text, nil
}

type readerFunc func([]byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// buffered is an answer that was read whole before it counted as begun.
type buffered struct {
	rest []byte
	head Head
	load logic.Load
}

func (b *buffered) Read(p []byte) (int, error) {
	if len(b.rest) == 0 {
		return 0, io.EOF
	}
	n := copy(p, b.rest)
	b.rest = b.rest[n:]
	return n, nil
}

func (b *buffered) Close() error { return nil }

func (b *buffered) Head() any { return b.head }

func (b *buffered) Kept() uint32 { return 0 }

func (b *buffered) Load() logic.Load { return b.load }

// CachedTokens finds the last count of prompt tokens found kept in an answer; 0
// if there is none.
func CachedTokens(text []byte) uint32 {
	const name = `"cached_tokens":`
	i := bytes.LastIndex(text, []byte(name))
	if i < 0 {
		return 0
	}
	rest := bytes.TrimLeft(text[i+len(name):], " ")
	end := 0
	for end < len(rest) && rest[end] >= '0' && rest[end] <= '9' {
		end++
	}
	n, err := strconv.ParseUint(string(rest[:end]), 10, 32)
	if err != nil {
		return 0
	}
	return uint32(n)
}
