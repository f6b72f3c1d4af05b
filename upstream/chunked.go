package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
)

const (
	maxChunk      = 256 << 10 // bytes, as much as a whole body may hold
	maxTrailers   = 16
	maxSizeDigits = 8 // hexadecimal digits of a chunk's size
	// maxOverhead bounds the bytes of a body's chunk lines, less lineAllowance for each chunk and
	// dataAllowance for each byte of data.
	maxOverhead   = 16 << 10
	lineAllowance = 16
	dataAllowance = 2
	lineEnds      = 4 // bytes that end a chunk's line and its data
)

var errChunk = errors.New("malformed chunk")

// chunked reads a chunked body and returns the data of complete chunks only. Workers' streams may
// arrive malformed: a size that is no number, data that does not match the size, a size of 3 GB.
// fasthttp's reader returns data before it detects such faults, and does not bound the size.
type chunked struct {
	br *bufio.Reader
	// reserve waits for memory for a chunk of more than freeBuffer bytes, and returns what releases
	// it.
	reserve func(bytes int64) (release func(), err error)
	data    []byte  // the unread rest of a complete chunk
	buffer  []byte  // holds chunks of up to freeBuffer bytes
	large   *[]byte // holds a larger one; nil between such chunks
	release func()  // of the memory for large
	err     error
	// overhead is the part of the chunk lines so far that counts towards maxOverhead, in bytes.
	overhead int64
}

// Read implements io.Reader.
func (c *chunked) Read(p []byte) (int, error) {
	if len(c.data) == 0 && c.err == nil {
		c.err = c.next()
	}
	if len(c.data) == 0 {
		return 0, c.err
	}
	n := copy(p, c.data)
	if c.data = c.data[n:]; len(c.data) == 0 {
		c.drop()
	}
	return n, nil
}

// drop drops the chunk.
func (c *chunked) drop() {
	c.data = nil
	if c.large != nil {
		putChunkBuffer(c.large)
		c.large = nil
	}
	if c.release != nil {
		c.release()
		c.release = nil
	}
}

// next reads a whole chunk. It returns io.EOF after the last one.
func (c *chunked) next() error {
	size, err := c.size()
	if err != nil {
		return err
	}
	if size == 0 {
		return c.trailers()
	}
	if err := c.allocate(int(size)); err != nil {
		return err
	}
	if _, err := io.ReadFull(c.br, c.data); err != nil {
		c.drop()
		return unexpectedEOF(err)
	}
	var end [2]byte
	if _, err := io.ReadFull(c.br, end[:]); err != nil || string(end[:]) != "\r\n" {
		c.drop()
		return errors.Join(errChunk, unexpectedEOF(err))
	}
	return nil
}

// allocate makes data as large as a chunk.
func (c *chunked) allocate(size int) error {
	if size <= freeBuffer {
		if cap(c.buffer) < size {
			c.buffer = make([]byte, min(max(size, 2*cap(c.buffer)), freeBuffer))
		}
		c.data = c.buffer[:size]
		return nil
	}
	if c.reserve != nil {
		var err error
		if c.release, err = c.reserve(int64(chunkBufferSizes[chunkBufferClass(size)])); err != nil {
			return err
		}
	}
	c.large = getChunkBuffer(size)
	c.data = (*c.large)[:size]
	return nil
}

func (c *chunked) size() (int64, error) {
	line, err := c.line()
	if err != nil {
		return 0, err
	}
	digits, _, hasExtension := bytes.Cut(line, []byte(";"))
	if !hasExtension { // white space may end the line, and may not stand before an extension
		digits = bytes.TrimRight(digits, " \t")
	}
	size, err := strconv.ParseUint(string(digits), 16, 63)
	if err != nil || len(digits) > maxSizeDigits || size > maxChunk {
		return 0, fmt.Errorf("%w: size %.20q", errChunk, digits)
	}
	c.overhead = max(c.overhead+int64(len(line)+lineEnds)-lineAllowance-dataAllowance*int64(size), 0)
	if c.overhead > maxOverhead {
		return 0, fmt.Errorf("%w: too much besides data", errChunk)
	}
	return int64(size), nil
}

// trailers reads the trailer lines to the end of the body and returns io.EOF there.
func (c *chunked) trailers() error {
	for range maxTrailers {
		line, err := c.line()
		if err != nil {
			return err
		}
		if len(line) == 0 {
			return io.EOF
		}
	}
	return errChunk
}

func (c *chunked) line() ([]byte, error) {
	line, err := c.br.ReadSlice('\n')
	if err != nil {
		return nil, unexpectedEOF(err)
	}
	line, ok := bytes.CutSuffix(line, []byte("\r\n"))
	if !ok || bytes.IndexByte(line, '\r') >= 0 { // other readers accept a bare CR as a line end
		return nil, errChunk
	}
	return line, nil
}

// unexpectedEOF turns an io.EOF in the middle of a body into io.ErrUnexpectedEOF.
func unexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}
