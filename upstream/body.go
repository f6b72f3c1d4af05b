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
	ready   []byte    // events that have come, to be handed on
	half    []byte    // of an event, what has come
	ends    eventEnds
	tail    []byte // its latest bytes, which tell what was found kept
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
	b.events = head.StatusCode() == fasthttp.StatusOK && x.msg.Stream
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
	for came := 0; ; {
		n, err := b.read(buf)
		begun := came > 0
		came += n
		end, event := b.ends.last(buf[:n])
		b.take(buf[:n], end, err)
		switch {
		case event, came >= mostChunk, err == io.EOF && came > 0:
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
		case !begun && came > 0:
			if err := b.conn.SetReadDeadline(time.Now().Add(headWait)); err != nil {
				return fmt.Errorf("stream given up: %w", err)
			}
		}
	}
}

// take adds a part of a stream to what is to be handed on, up to the end of its last event; at the end all of it is, and
// an event past all bounds goes in parts.
func (b *body) take(part []byte, end int, err error) {
	if end > 0 {
		b.ready = append(append(b.ready, b.half...), part[:end]...)
		b.half = b.half[:0]
	}
	b.half = append(b.half, part[end:]...)
	if err == io.EOF || len(b.half) >= mostChunk {
		b.ready, b.half = append(b.ready, b.half...), b.half[:0]
	}
}

// eventEnds finds the ends of a stream's events: blank lines. Lines end with LF, CR LF or CR.
type eventEnds struct {
	data    bool // a line of data has ended since the last blank line
	matched int  // of the field's name, at the beginning of the line
	column  int
	cr      bool // the byte before was one
}

// last takes the next part of the stream. It returns how much of it there is to its last blank line, that included, and
// whether an event with data has ended.
func (e *eventEnds) last(part []byte) (end int, data bool) {
	const field = "data"
	for i, c := range part {
		half := c == '\n' && e.cr // of a line's end
		e.cr = c == '\r'
		switch {
		case half && end == i: // what ended with the other half goes with it
			end++
		case half:
		case c != '\n' && c != '\r':
			if e.column < len(field) && e.matched == e.column && c == field[e.column] {
				e.matched++
			}
			e.column++
		case e.column == 0:
			end, data, e.data = i+1, data || e.data, false
		default:
			e.data = e.data || e.matched == len(field)
			e.matched, e.column = 0, 0
		}
	}
	return end, data
}

// Read implements io.Reader: whole events, as they come. Half of one is of no use to anybody, and must not be taken for one
// that came late.
func (b *body) Read(p []byte) (int, error) {
	for len(b.ready) == 0 {
		if b.err != nil {
			return 0, b.err
		}
		// A worker that has vanished says nothing, and its connection stays open.
		if err := b.conn.SetReadDeadline(time.Now().Add(b.stall)); err != nil {
			return 0, fmt.Errorf("stream given up: %w", err)
		}
		var n int
		n, b.err = b.read(p)
		end, _ := b.ends.last(p[:n])
		if n > 0 && end == n && len(b.half) == 0 {
			return n, nil
		}
		b.take(p[:n], end, b.err)
	}
	n := copy(p, b.ready)
	if b.ready = b.ready[n:]; len(b.ready) == 0 {
		b.ready = nil
	}
	return n, nil
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
	case err == io.EOF && b.events && b.attempt.isGivenUp() && !endsWhole(b.tail):
		err = errCutShort
		b.conn.end()
	case err == io.EOF && b.events && len(b.tail) == 0: // no answer of this request's: a better one may follow
		b.conn.end()
	case err == io.EOF:
		b.load = b.attempt.client.report(b.load, commentIn(b.tail, b.attempt.client.cfg.LoadHeader))
		b.finish()
	case err != nil:
		b.conn.abandon(err)
	}
	return n, err
}

// errCutShort is the end of a stream that was given up here: a worker that learns of it may end in good order what is not whole.
var errCutShort = errors.New("the stream was broken off")

// endMark is what the last event of a whole stream holds.
const endMark = "data: [DONE]"

// endsWhole tells whether a stream with these latest bytes came to its end by itself. A report may stand behind the mark.
func endsWhole(tail []byte) bool { return bytes.Contains(tail, []byte(endMark)) }

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
