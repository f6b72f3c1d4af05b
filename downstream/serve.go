package downstream

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http/httputil"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"lichenshelf/internal/httphead"
	"lichenshelf/internal/socket"
)

const (
	writeBuffer = 4 << 10
	// maxKeptHead is the largest head after which the parsed request is used again: it keeps the
	// memory of the largest head that it has held.
	maxKeptHead = 2 << 10
)

var (
	readers  = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, headBuffer) }}
	writers  = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, writeBuffer) }}
	contexts = sync.Pool{New: func() any { return new(fasthttp.RequestCtx) }}
)

var continueResponse = []byte("HTTP/1.1 100 Continue\r\n\r\n")

// serveConn serves the requests on a connection, one after the other, and closes it. Between
// requests the connection holds no buffer. What a request takes is reserved before it is read.
func (s *Server) serveConn(c *conn) {
	defer c.Close()
	defer c.dropRequest()
	_ = c.SetReadDeadline(time.Now().Add(requestReadTimeout))
	for first := true; ; first = false {
		err := c.awaitRequest(first)
		if err != nil {
			if first || errors.Is(err, errOverloaded) {
				s.answerError(c, err)
			}
			return
		}
		if !s.serveRequest(c) {
			return
		}
	}
}

// awaitRequest waits for the first byte of a request and takes memory and a reader for it.
func (c *conn) awaitRequest(first bool) error {
	if c.reader == nil {
		if !first {
			_ = c.SetReadDeadline(time.Now().Add(idleTimeout))
		}
		if err := c.awaitReadable(); err != nil {
			return err
		}
		if err := c.request.resize(c, RequestMemory); err != nil {
			return err
		}
		c.reader = readers.Get().(*bufio.Reader)
		c.reader.Reset(c)
	}
	if !first {
		_ = c.SetReadDeadline(time.Now().Add(requestReadTimeout))
	}
	return nil
}

// awaitReadable waits, without reading, until the server can read from the connection.
func (c *conn) awaitReadable() error {
	c.releaseSlot()
	c.endWatch()
	if c.err != nil {
		return c.err
	}
	if !c.awaitNextRequest() {
		return net.ErrClosed
	}
	if len(c.readAhead) > 0 {
		return nil
	}
	raw, err := socket.Raw(c.Conn)
	if err != nil {
		return nil // the first read waits
	}
	_, err = c.arrived(0, socket.WaitReadable(raw), 0)
	return err
}

// dropReader returns the reader, unless it holds bytes of further requests, and reports whether the
// connection is without one now.
func (c *conn) dropReader() bool {
	if c.reader != nil && c.reader.Buffered() == 0 {
		c.putReader()
	}
	return c.reader == nil
}

func (c *conn) putReader() {
	c.reader.Reset(nil)
	readers.Put(c.reader)
	c.reader = nil
}

// dropRequest returns all that the connection holds for a request.
func (c *conn) dropRequest() {
	if c.reader != nil {
		c.putReader()
	}
	_ = c.request.resize(c, 0) // never fails when it shrinks
}

// serveRequest reads a request, has it handled and writes the answer. It reports whether the
// connection may carry another request.
func (s *Server) serveRequest(c *conn) bool {
	ctx := contexts.Get().(*fasthttp.RequestCtx)
	ctx.Init2(c, discardLogger{}, true)
	headSize, err := readHead(c.reader, ctx)
	if headSize <= maxKeptHead {
		defer recycle(ctx)
	}
	if err != nil {
		s.writeError(ctx, c, err)
		return false
	}
	closing := ctx.Request.Header.ConnectionClose()
	http11 := ctx.Request.Header.IsHTTP11()
	s.handle(&Call{RequestCtx: ctx, server: s, conn: c, headSize: headSize})
	closing = closing || ctx.Response.Header.ConnectionClose()
	switch {
	case closing:
		ctx.Response.Header.SetConnectionClose()
	case !http11:
		ctx.Response.Header.Set(fasthttp.HeaderConnection, "keep-alive")
	}
	if err := write(ctx, c); err != nil || closing {
		return false
	}
	if c.dropReader() {
		c.dropRequest()
	}
	return true
}

// readHead reads and parses a request's head, which must be within headBuffer and
// httphead.MaxFields. It returns its size.
func readHead(br *bufio.Reader, ctx *fasthttp.RequestCtx) (int, error) {
	size, err := httphead.Await(br, httphead.MaxFields)
	if err != nil {
		return 0, err
	}
	head := &ctx.Request.Header
	if err := head.Read(br); err != nil {
		return size, err
	}
	return size, ctx.Request.URI().Parse(head.Host(), head.RequestURI())
}

// write writes the answer. If the answer's body ends with an error, the last chunk is not written.
func write(ctx *fasthttp.RequestCtx, c *conn) error {
	bw := writers.Get().(*bufio.Writer)
	bw.Reset(c)
	defer func() {
		bw.Reset(nil)
		writers.Put(bw)
	}()
	ctx.Response.SkipBody = ctx.IsHead()
	if err := ctx.Response.Write(bw); err != nil {
		return err
	}
	return bw.Flush()
}

// recycle lets another request use the parsed request and its answer.
func recycle(ctx *fasthttp.RequestCtx) {
	ctx.Request.Reset()
	ctx.Response.Reset()
	ctx.ResetUserValues()
	ctx.Init2(nil, discardLogger{}, true)
	contexts.Put(ctx)
}

// answerError answers a request that could not be read, or was not for want of memory.
func (s *Server) answerError(c *conn, err error) {
	ctx := contexts.Get().(*fasthttp.RequestCtx)
	defer recycle(ctx)
	ctx.Init2(c, discardLogger{}, true)
	s.writeError(ctx, c, err)
}

// writeError answers a request that could not be read, unless its client, or the listener, has
// closed the connection.
func (s *Server) writeError(ctx *fasthttp.RequestCtx, c *conn, err error) {
	if errors.Is(err, io.EOF) || errors.Is(err, net.ErrClosed) {
		return
	}
	s.badRequest(ctx, err)
	_ = write(ctx, c)
}

// bodyReader returns a reader of the request's body, nil if it has none. It asks a client that
// waits for that to send the body.
func (c *Call) bodyReader() (io.Reader, error) {
	head := &c.Request.Header
	size := head.ContentLength()
	if size != chunkedLength && size <= 0 {
		return nil, nil
	}
	if c.Request.MayContinue() {
		c.server.allowWrite(c.conn)
		if _, err := c.conn.Write(continueResponse); err != nil {
			return nil, err
		}
	}
	if size == chunkedLength {
		return &chunkedBody{chunks: httputil.NewChunkedReader(c.conn.reader), br: c.conn.reader}, nil
	}
	return io.LimitReader(c.conn.reader, int64(size)), nil
}

// chunkedLength is fasthttp's length of a body that comes in chunks.
const chunkedLength = -1

// maxTrailers is how many lines may follow the last chunk of a body. They are dropped.
const maxTrailers = 16

var errTrailers = errors.New("too many lines after the last chunk")

// chunkedBody reads a body in chunks to the end of what follows the last chunk.
type chunkedBody struct {
	chunks io.Reader
	br     *bufio.Reader
	err    error // from the end of the last chunk on
}

// Read implements io.Reader.
func (b *chunkedBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.chunks.Read(p)
	if err == io.EOF {
		err = b.readTrailers()
	}
	b.err = err
	return n, err
}

// readTrailers reads to the blank line that ends the body and returns io.EOF there.
func (b *chunkedBody) readTrailers() error {
	for range maxTrailers {
		line, err := b.br.ReadSlice('\n')
		switch {
		case err == io.EOF:
			return io.ErrUnexpectedEOF
		case err != nil:
			return err
		case string(line) == "\r\n":
			return io.EOF
		}
	}
	return errTrailers
}
