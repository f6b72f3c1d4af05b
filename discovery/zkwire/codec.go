// Package zkwire encodes and decodes the records and frames of the ZooKeeper client protocol, as
// the public description of the protocol (zookeeper.jute of the Apache ZooKeeper documentation,
// version 3.6 and later) specifies them. It does no I/O except through the reader passed to
// ReadFrame.
//
// A message is a frame: four bytes that give a length, followed by that number of bytes. Numbers
// are big-endian; strings, buffers and lists are preceded by their length, where -1 means null.
package zkwire

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// MaxFrame is the usual limit for the length of a frame, in bytes: the default of ZooKeeper's
// jute.maxbuffer.
const MaxFrame = 1<<20 - 1

// Errors for messages that can't be decoded.
var (
	ErrFrame = errors.New("frame length out of bounds")
	ErrShort = errors.New("message is truncated")
	ErrLong  = errors.New("message has trailing bytes")
	ErrSize  = errors.New("length of a field out of bounds")
)

// ReadFrame reads one frame of at most limit bytes. The announced length is checked before the body
// is read; memory is allocated as the body arrives.
func ReadFrame(r io.Reader, limit int) ([]byte, error) {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, err
	}
	n := int32(binary.BigEndian.Uint32(head[:]))
	if n < 0 || int(n) > limit {
		return nil, fmt.Errorf("%w: %d bytes, %d allowed", ErrFrame, n, limit)
	}
	var body bytes.Buffer
	if _, err := io.CopyN(&body, r, int64(n)); err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return nil, err
	}
	return body.Bytes(), nil
}

// Record is one of the protocol's records.
type Record interface {
	// fields passes every field to the codec, in order. The same method serves for encoding and
	// decoding.
	fields(c *codec)
}

// Append appends a frame that contains the records to a buffer, and returns it.
func Append(to []byte, records ...Record) []byte {
	at := len(to)
	c := codec{buf: append(to, 0, 0, 0, 0)}
	for _, r := range records {
		r.fields(&c)
	}
	binary.BigEndian.PutUint32(c.buf[at:], uint32(len(c.buf)-at-4))
	return c.buf
}

// Decode decodes records from the start of a message's body and returns the rest of the body.
func Decode(body []byte, records ...Record) (rest []byte, err error) {
	c := codec{buf: body, reading: true}
	for _, r := range records {
		if r.fields(&c); c.err != nil {
			return nil, fmt.Errorf("%T: %w", r, c.err)
		}
	}
	return c.buf, nil
}

// DecodeAll decodes records that must fill the body; it returns ErrLong if bytes follow them.
func DecodeAll(body []byte, records ...Record) error {
	rest, err := Decode(body, records...)
	if err == nil && len(rest) > 0 {
		err = fmt.Errorf("%d bytes: %w", len(rest), ErrLong)
	}
	return err
}

// codec encodes fields at the end of buf, or decodes them from its start. After an error its
// methods do nothing.
type codec struct {
	buf     []byte
	reading bool
	err     error
}

func (c *codec) take(n int) []byte {
	if c.err == nil && len(c.buf) < n {
		c.err = ErrShort
	}
	if c.err != nil {
		return nil
	}
	out := c.buf[:n]
	c.buf = c.buf[n:]
	return out
}

func (c *codec) int32(v *int32) {
	if !c.reading {
		c.buf = binary.BigEndian.AppendUint32(c.buf, uint32(*v))
	} else if b := c.take(4); b != nil {
		*v = int32(binary.BigEndian.Uint32(b))
	}
}

func (c *codec) int64(v *int64) {
	if !c.reading {
		c.buf = binary.BigEndian.AppendUint64(c.buf, uint64(*v))
	} else if b := c.take(8); b != nil {
		*v = int64(binary.BigEndian.Uint64(b))
	}
}

func (c *codec) bool(v *bool) {
	if !c.reading {
		b := byte(0)
		if *v {
			b = 1
		}
		c.buf = append(c.buf, b)
	} else if b := c.take(1); b != nil {
		*v = b[0] != 0
	}
}

// size encodes or decodes a length. When decoding, it rejects a length that the rest of the message
// can't contain at minItemSize bytes for each item, so that nothing is allocated for it.
func (c *codec) size(n, minItemSize int) int {
	v := int32(n)
	c.int32(&v)
	if c.reading && c.err == nil && (v < -1 || int(v) > len(c.buf)/minItemSize) {
		c.err = fmt.Errorf("%w: %d", ErrSize, v)
	}
	if c.err != nil {
		return 0
	}
	return int(v)
}

// buffer distinguishes nil from empty. A decoded buffer is a copy.
func (c *codec) buffer(v *[]byte) {
	n := len(*v)
	if *v == nil {
		n = -1
	}
	n = c.size(n, 1)
	switch {
	case !c.reading:
		c.buf = append(c.buf, *v...)
	case c.err != nil:
	case n < 0:
		*v = nil
	default:
		*v = append([]byte{}, c.take(n)...)
	}
}

func (c *codec) string(v *string) {
	n := c.size(len(*v), 1)
	switch {
	case !c.reading:
		c.buf = append(c.buf, *v...)
	case c.err == nil && n > 0:
		*v = string(c.take(n))
	case c.err == nil:
		*v = ""
	}
}

// list encodes or decodes the items of a list; minItemSize is the smallest encoded size of an item.
func list[T any](c *codec, v *[]T, minItemSize int, item func(*codec, *T)) {
	n := c.size(len(*v), minItemSize)
	if c.reading {
		*v = nil
		if c.err != nil || n <= 0 {
			return
		}
		*v = make([]T, n)
	}
	for i := range *v {
		item(c, &(*v)[i])
		if c.err != nil {
			return
		}
	}
}

func (c *codec) strings(v *[]string) { list(c, v, 4, (*codec).string) }
