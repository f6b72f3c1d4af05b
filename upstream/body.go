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
	events        eventBuffer
	scanner       eventScanner
	tail          []byte // the latest bytes, which hold the count of cached tokens
	load          logic.Load
	stallTimeout  time.Duration
	memory        answerMemory
	wholeBytes    int64 // of the memory, for an answer that is read whole
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
	b.memory.budget = &x.client.pending
	b.events.memory = &b.memory
	b.load = x.client.parseReport(b.load, head.Peek(x.client.cfg.LoadHeader))
	b.isEventStream = head.StatusCode() == fasthttp.StatusOK && x.msg.Stream
	size := head.ContentLength()
	switch {
	case head.StatusCode() == fasthttp.StatusNoContent || head.StatusCode() == fasthttp.StatusNotModified:
	case size >= 0:
		b.stream = &fixedLength{io.LimitedReader{R: c.br, N: int64(size)}}
	case size == -1:
		b.stream = &chunked{br: c.br, reserve: b.reserveChunk}
	default:
		return nil, errNoLength
	}
	return b, nil
}

// release returns the memory of an answer that does not reach a client. b may be nil.
func (b *body) release() {
	if b != nil {
		b.memory.close()
	}
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

// reserveChunk waits for memory for a chunk, until the connection is closed or the stream counts as
// broken.
func (b *body) reserveChunk(bytes int64) (release func(), err error) {
	if err := b.memory.await(bytes, b.conn.ended, b.stallTimeout); err != nil {
		return nil, err
	}
	return func() { b.memory.release(bytes) }, nil
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
		whole := b.events.add(buf[:n], end, err == io.EOF)
		switch {
		case event, err == nil && !whole, err == io.EOF && received > 0:
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
	for !b.events.hasReady() {
		if b.err != nil {
			return 0, b.err
		}
		// The connection to an unreachable worker stays open and silent.
		if err := b.conn.SetReadDeadline(time.Now().Add(b.stallTimeout)); err != nil {
			return 0, fmt.Errorf("set read deadline of stream: %w", err)
		}
		part := p[:min(len(p), readBuffer)]
		var n int
		n, b.err = b.read(part)
		end, _ := b.scanner.scan(part[:n])
		if n > 0 && end == n && b.events.isEmpty() {
			return n, nil
		}
		b.events.add(part[:n], end, b.err == io.EOF)
	}
	return b.events.read(p), nil
}

// read reads from the connection, and returns the connection to the pool at the end of the body.
func (b *body) read(p []byte) (int, error) {
	if b.stream == nil {
		b.finish()
		return 0, io.EOF
	}
	n, err := b.stream.Read(p)
	b.keepTail(p[:n])
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

// keepTail keeps the latest tailSize bytes.
func (b *body) keepTail(part []byte) {
	part = part[max(0, len(part)-tailSize):]
	drop := max(0, len(b.tail)+len(part)-tailSize)
	kept := copy(b.tail, b.tail[drop:])
	b.tail = append(b.tail[:kept], part...)
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
	b.memory.close()
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

// reserveWhole reserves memory for an answer that is read whole and takes n bytes by now.
func (b *body) reserveWhole(n int64) error {
	if n <= freeBuffer || n <= b.wholeBytes {
		return nil
	}
	if !b.memory.tryAdd(n - b.wholeBytes) {
		return errNoMemory
	}
	b.wholeBytes = n
	return nil
}

// readAll reads an answer of at most limit bytes to its end.
func (b *body) readAll(limit int) ([]byte, error) {
	var text []byte
	for part := make([]byte, readBuffer); ; {
		n, err := b.read(part)
		if text = append(text, part[:n]...); len(text) > limit {
			return nil, errTooLarge
		}
		if err == io.EOF {
			return text, nil
		}
		if err == nil {
			err = b.reserveWhole(int64(cap(text)))
		}
		if err != nil {
			return nil, fmt.Errorf("read answer: %w", err)
		}
	}
}

// buffered is an answer that was read whole before it was reported as started. It implements
// router.Answer.
type buffered struct {
	unread []byte
	memory *answerMemory
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

// Close implements io.Closer.
func (b *buffered) Close() error {
	b.memory.close()
	return nil
}

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
