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

// body is a worker's answer while it is received. It implements router.Answer.
type body struct {
	attempt       *attempt
	conn          *conn
	head          *fasthttp.ResponseHeader
	stream        io.Reader // nil for a status that has no body
	isEventStream bool      // a stream of events, which must have at least one
	ready         []byte    // complete events that Read has not returned yet
	partial       []byte    // the received part of an incomplete event
	scanner       eventScanner
	tail          []byte // the latest bytes, which hold the count of cached tokens
	load          logic.Load
	stallTimeout  time.Duration
	err           error
}

// tailSize is enough, in bytes, for the event with the prompt's token usage, the end mark and a
// report.
const tailSize = 512

// errNoLength rejects a body without Content-Length and chunked encoding: a complete one can't be
// distinguished from a truncated one.
var errNoLength = errors.New("answer has neither a content length nor chunked encoding")

func newBody(x *attempt, c *conn, head *fasthttp.ResponseHeader) (*body, error) {
	b := &body{attempt: x, conn: c, head: head, stallTimeout: x.client.cfg.StreamStall}
	b.load = x.client.parseReport(b.load, head.Peek(x.client.cfg.LoadHeader))
	b.isEventStream = head.StatusCode() == fasthttp.StatusOK && x.msg.Stream
	size := head.ContentLength()
	switch {
	case head.StatusCode() == fasthttp.StatusNoContent || head.StatusCode() == fasthttp.StatusNotModified:
	case size >= 0:
		b.stream = &fixedLength{io.LimitedReader{R: c.br, N: int64(size)}}
	case size == -1:
		b.stream = &chunked{br: c.br}
	default:
		return nil, errNoLength
	}
	return b, nil
}

// fixedLength reads a body of a known length and reports a truncated one.
type fixedLength struct{ io.LimitedReader }

// Read implements io.Reader.
func (c *fixedLength) Read(p []byte) (int, error) {
	n, err := c.LimitedReader.Read(p)
	if c.N > 0 {
		err = unexpectedEOF(err)
	}
	return n, err
}

// awaitFirstEvent reads a stream to the end of its first event, which may come in many parts. Once
// a byte is passed on, the client is bound to this attempt, and an event that breaks off is of no
// use to it. The event must end within headTimeout of its first byte. A stream that ends properly
// before that is passed on as it is.
func (b *body) awaitFirstEvent() error {
	buf := make([]byte, readBuffer)
	for received := 0; ; {
		n, err := b.read(buf)
		begun := received > 0
		received += n
		end, event := b.scanner.scan(buf[:n])
		b.appendPart(buf[:n], end, err)
		switch {
		case event, received >= maxChunk, err == io.EOF && received > 0:
			b.err = err
			if err == nil {
				err = b.conn.SetReadDeadline(time.Time{})
			}
			if err != nil && err != io.EOF {
				return fmt.Errorf("read stream: %w", err)
			}
			return nil
		case err != nil:
			return fmt.Errorf("no complete event in stream: %w", err)
		case !begun && received > 0:
			if err := b.conn.SetReadDeadline(time.Now().Add(headTimeout)); err != nil {
				return fmt.Errorf("set read deadline of stream: %w", err)
			}
		}
	}
}

// appendPart adds a part of a stream to the ready bytes, up to the end of its last complete event.
// The remainder follows at the end of the stream, or when it exceeds maxChunk.
func (b *body) appendPart(part []byte, end int, err error) {
	if end > 0 {
		b.ready = append(append(b.ready, b.partial...), part[:end]...)
		b.partial = b.partial[:0]
	}
	b.partial = append(b.partial, part[end:]...)
	if err == io.EOF || len(b.partial) >= maxChunk {
		b.ready, b.partial = append(b.ready, b.partial...), b.partial[:0]
	}
}

// eventScanner finds the blank lines that end a stream's events. Lines end with LF, CR LF or CR.
type eventScanner struct {
	hasData     bool // a data line has ended since the last blank line
	nameMatched int  // matched bytes of the field's name at the beginning of the line
	column      int
	afterCR     bool // the previous byte was a CR
}

// scan processes the next part of the stream. It returns the offset after the part's last blank
// line, and whether an event with data has ended.
func (e *eventScanner) scan(part []byte) (end int, hasData bool) {
	const field = "data"
	for i, c := range part {
		completesCRLF := c == '\n' && e.afterCR
		e.afterCR = c == '\r'
		switch {
		case completesCRLF && end == i: // the LF belongs to the blank line that the CR ended
			end++
		case completesCRLF:
		case c != '\n' && c != '\r':
			if e.column < len(field) && e.nameMatched == e.column && c == field[e.column] {
				e.nameMatched++
			}
			e.column++
		case e.column == 0:
			end, hasData, e.hasData = i+1, hasData || e.hasData, false
		default:
			e.hasData = e.hasData || e.nameMatched == len(field)
			e.nameMatched, e.column = 0, 0
		}
	}
	return end, hasData
}

// Read implements io.Reader. It returns whole events as they arrive: a partial one is of no use to
// the client, and must not count as an event that arrived late.
func (b *body) Read(p []byte) (int, error) {
	for len(b.ready) == 0 {
		if b.err != nil {
			return 0, b.err
		}
		// The connection to an unreachable worker stays open and silent.
		if err := b.conn.SetReadDeadline(time.Now().Add(b.stallTimeout)); err != nil {
			return 0, fmt.Errorf("set read deadline of stream: %w", err)
		}
		var n int
		n, b.err = b.read(p)
		end, _ := b.scanner.scan(p[:n])
		if n > 0 && end == n && len(b.partial) == 0 {
			return n, nil
		}
		b.appendPart(p[:n], end, b.err)
	}
	n := copy(p, b.ready)
	if b.ready = b.ready[n:]; len(b.ready) == 0 {
		b.ready = nil
	}
	return n, nil
}

// read reads from the connection, and returns the connection to the pool at the end of the body.
func (b *body) read(p []byte) (int, error) {
	if b.stream == nil {
		b.finish()
		return 0, io.EOF
	}
	n, err := b.stream.Read(p)
	b.tail = append(b.tail, p[:n]...)
	b.tail = b.tail[max(0, len(b.tail)-tailSize):]
	switch {
	case err == io.EOF && b.isEventStream && b.attempt.isAborted() && !hasEndMark(b.tail):
		err = errAborted
		b.conn.shutdown()
	// An empty stream may answer an earlier request, and this request's answer may follow.
	case err == io.EOF && b.isEventStream && len(b.tail) == 0:
		b.conn.shutdown()
	case err == io.EOF:
		b.load = b.attempt.client.parseReport(b.load, lastComment(b.tail, b.attempt.client.cfg.LoadHeader))
		b.finish()
	case err != nil:
		b.conn.abandon(err)
	}
	return n, err
}

// errAborted ends a stream whose attempt was aborted and that lacks its end mark: a worker that
// notices the abort may end an incomplete stream properly.
var errAborted = errors.New("stream cut short after its attempt was aborted")

// endMark is the last event of a complete stream.
const endMark = "data: [DONE]"

// hasEndMark reports whether the latest bytes of a stream hold the end mark. A load report may
// follow it.
func hasEndMark(tail []byte) bool { return bytes.Contains(tail, []byte(endMark)) }

func (b *body) finish() {
	if !b.attempt.detachConn() {
		return
	}
	if b.head.ConnectionClose() {
		_ = b.conn.Close()
		return
	}
	b.attempt.client.pool.put(b.attempt.Worker, b.conn)
}

// Close implements io.Closer. It aborts the attempt, unless the body was read to its end.
func (b *body) Close() error {
	b.attempt.abort()
	return nil
}

// Head holds what a front needs to know of an answer besides its bytes.
type Head struct {
	Status      int
	ContentType string
	Size        int // in bytes; -1 for an answer that is streamed
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

// readAll reads an answer of at most limit bytes to its end.
func (b *body) readAll(limit int) ([]byte, error) {
	text, err := io.ReadAll(io.LimitReader(readerFunc(b.read), int64(limit)+1))
	if err != nil {
		return nil, fmt.Errorf("read answer: %w", err)
	}
	if len(text) > limit {
		return nil, errTooLarge
	}
	return text, nil
}

type readerFunc func([]byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// buffered is an answer that was read whole before it was reported as started. It implements
// router.Answer.
type buffered struct {
	unread []byte
	head   Head
	load   logic.Load
}

func (b *buffered) Read(p []byte) (int, error) {
	if len(b.unread) == 0 {
		return 0, io.EOF
	}
	n := copy(p, b.unread)
	b.unread = b.unread[n:]
	return n, nil
}

func (b *buffered) Close() error { return nil }

func (b *buffered) Head() any { return b.head }

func (b *buffered) Kept() uint32 { return 0 }

func (b *buffered) Load() logic.Load { return b.load }

// CachedTokens returns the last count of cached prompt tokens in the text of an answer, or 0 if
// there is none.
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
