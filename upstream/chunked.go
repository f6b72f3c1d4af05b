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
	br   *bufio.Reader
	data bytes.Buffer // the unread rest of a complete chunk
	err  error
	// overhead is the part of the chunk lines so far that counts towards maxOverhead, in bytes.
	overhead int64
}

// Read implements io.Reader.
func (c *chunked) Read(p []byte) (int, error) {
	if c.data.Len() == 0 && c.err == nil {
		c.err = c.next()
	}
	if c.err != nil {
		return 0, c.err
	}
	return c.data.Read(p)
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
	c.data.Reset()
	if _, err := io.CopyN(&c.data, c.br, size); err != nil {
		c.data.Reset()
		return unexpectedEOF(err)
	}
	end := make([]byte, 2)
	if _, err := io.ReadFull(c.br, end); err != nil || string(end) != "\r\n" {
		c.data.Reset()
		return errors.Join(errChunk, unexpectedEOF(err))
	}
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
