// Package httphead waits for whole heads of HTTP/1.1 messages and bounds them before they are
// parsed: a parser takes many times the bytes of a head whose fields are short.
package httphead

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

var (
	// ErrTooLarge says that a head does not fit into the reader's buffer.
	ErrTooLarge = errors.New("the head is too large")
	// ErrTooManyFields says that a head has more fields than allowed.
	ErrTooManyFields = errors.New("the head has too many fields")
)

// MaxFields is how many fields the head of a message may have, as common servers allow.
const MaxFields = 100

// Await waits until the reader's buffer holds a whole head and returns its size in bytes, with the
// blank line that ends it. Empty lines before the head are dropped. It returns ErrTooLarge,
// ErrTooManyFields as soon as that shows, io.EOF if the peer has closed the connection before a
// head, io.ErrUnexpectedEOF if it has within one, or the reader's error.
func Await(br *bufio.Reader, maxFields int) (size int, err error) {
	s := scanner{}
	for {
		buffered, _ := br.Peek(br.Buffered())
		if s.lines == 0 {
			if empty := countEmptyLines(buffered); empty > 0 {
				_, _ = br.Discard(empty)
				buffered, _ = br.Peek(br.Buffered())
			}
		}
		switch {
		case s.scan(buffered):
			return s.offset, s.check(maxFields)
		case s.check(maxFields) != nil:
			return 0, ErrTooManyFields
		}
		if _, err := br.Peek(len(buffered) + 1); err != nil {
			return 0, readError(err, len(buffered))
		}
	}
}

// countEmptyLines returns the bytes of the empty lines at the start.
func countEmptyLines(text []byte) (n int) {
	for {
		switch rest := text[n:]; {
		case bytes.HasPrefix(rest, []byte("\n")):
			n++
		case bytes.HasPrefix(rest, []byte("\r\n")):
			n += len("\r\n")
		default:
			return n
		}
	}
}

func readError(err error, received int) error {
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		return ErrTooLarge
	case errors.Is(err, io.EOF) && received > 0:
		return io.ErrUnexpectedEOF
	}
	return err
}

// scanner counts the lines of a head.
type scanner struct {
	offset int // after the last whole line
	lines  int
	ended  bool
}

// scan continues with the head's bytes received so far, and reports whether the head has ended.
func (s *scanner) scan(text []byte) bool {
	for !s.ended {
		line := bytes.IndexByte(text[s.offset:], '\n')
		if line < 0 {
			return false
		}
		content := bytes.TrimSuffix(text[s.offset:s.offset+line], []byte("\r"))
		s.ended = len(content) == 0
		s.offset += line + 1
		s.lines++
	}
	return true
}

// check returns ErrTooManyFields if there are more than maxFields lines after the first one.
func (s *scanner) check(maxFields int) error {
	fields := s.lines - 1
	if s.ended {
		fields--
	}
	if fields > maxFields {
		return ErrTooManyFields
	}
	return nil
}
