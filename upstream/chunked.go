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
	mostChunk    = 256 << 10 // as much as a whole body may hold
	mostTrailers = 16
	mostSize     = 8 // digits of a chunk's size
)

var errChunk = errors.New("the chunk can't be read")

// chunked reads a chunked body and hands on whole chunks only. Workers' streams
// arrive spoilt: a size that is none, data that does not fit it, 3 GB announced.
// fasthttp's reader hands on what it has before it can tell, and has no bound.
type chunked struct {
	br   *bufio.Reader
	data bytes.Buffer // what is left of a chunk that was read whole
	err  error
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

// next reads a chunk whole; io.EOF stands for the last one.
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
		return short(err)
	}
	end := make([]byte, 2)
	if _, err := io.ReadFull(c.br, end); err != nil || string(end) != "\r\n" {
		c.data.Reset()
		return errors.Join(errChunk, short(err))
	}
	return nil
}

func (c *chunked) size() (int64, error) {
	line, err := c.line()
	if err != nil {
		return 0, err
	}
	digits, _, _ := bytes.Cut(line, []byte(";"))
	digits = bytes.TrimRight(digits, " \t")
	size, err := strconv.ParseUint(string(digits), 16, 63)
	if err != nil || len(digits) > mostSize || size > mostChunk {
		return 0, fmt.Errorf("%w: size %.20q", errChunk, digits)
	}
	return int64(size), nil
}

// trailers reads to the end of the body.
func (c *chunked) trailers() error {
	for range mostTrailers {
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
		return nil, short(err)
	}
	line, ok := bytes.CutSuffix(line, []byte("\r\n"))
	if !ok || bytes.IndexByte(line, '\r') >= 0 { // other readers end the line there
		return nil, errChunk
	}
	return line, nil
}

// short makes an end in the middle of something an error.
func short(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}
