// Package zkwire is the ZooKeeper client protocol's records and frames, as the
// public description of the protocol (zookeeper.jute of the Apache ZooKeeper
// documentation, version 3.6 and later) gives them. It is a codec and nothing
// else: it does no I/O but through the reader that ReadFrame is handed.
//
// A message is a frame, four bytes of length and then so many bytes. Numbers are
// big-endian; strings, buffers and lists have their length before them, -1 for none.
package zkwire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// MaxFrame is the length of a frame that is read unless another bound is given,
// in bytes: what ZooKeeper's jute.maxbuffer allows by default.
const MaxFrame = 1<<20 - 1

// The ways in which a message can't be read.
var (
	ErrFrame = errors.New("frame length out of bounds")
	ErrShort = errors.New("message ends too early")
	ErrLong  = errors.New("message goes on after its end")
	ErrSize  = errors.New("length of a field out of bounds")
)

// ReadFrame reads one frame of at most limit bytes. The announced length is
// checked before anything is read or made room for.
func ReadFrame(r io.Reader, limit int) ([]byte, error) {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, err
	}
	n := int32(binary.BigEndian.Uint32(head[:]))
	if n < 0 || int(n) > limit {
		return nil, fmt.Errorf("%w: %d bytes, %d allowed", ErrFrame, n, limit)
	}
	body := make([]byte, n)
	if _, err := io.ReadFull(r, body); err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return nil, err
	}
	return body, nil
}

// Record is one of the protocol's records.
type Record interface {
	// fields has the codec write or read every field, in order: one description
	// serves both ways.
	fields(c *codec)
}

// Append writes a frame that holds the records.
func Append(to []byte, records ...Record) []byte {
	at := len(to)
	c := codec{buf: append(to, 0, 0, 0, 0)}
	for _, r := range records {
		r.fields(&c)
	}
	binary.BigEndian.PutUint32(c.buf[at:], uint32(len(c.buf)-at-4))
	return c.buf
}

// Decode reads records from the start of a message's body and returns what is
// left of it.
func Decode(body []byte, records ...Record) (rest []byte, err error) {
	c := codec{buf: body, read: true}
	for _, r := range records {
		if r.fields(&c); c.err != nil {
			return nil, fmt.Errorf("%T: %w", r, c.err)
		}
	}
	return c.buf, nil
}

// DecodeAll reads records that must fill the body.
func DecodeAll(body []byte, records ...Record) error {
	rest, err := Decode(body, records...)
	if err == nil && len(rest) > 0 {
		err = fmt.Errorf("%d bytes: %w", len(rest), ErrLong)
	}
	return err
}

// codec writes to the end of buf, or reads from its start. After an error it does
// nothing more.
type codec struct {
	buf  []byte
	read bool
	err  error
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
	if !c.read {
		c.buf = binary.BigEndian.AppendUint32(c.buf, uint32(*v))
	} else if b := c.take(4); b != nil {
		*v = int32(binary.BigEndian.Uint32(b))
	}
}

func (c *codec) int64(v *int64) {
	if !c.read {
		c.buf = binary.BigEndian.AppendUint64(c.buf, uint64(*v))
	} else if b := c.take(8); b != nil {
		*v = int64(binary.BigEndian.Uint64(b))
	}
}

func (c *codec) bool(v *bool) {
	if !c.read {
		b := byte(0)
		if *v {
			b = 1
		}
		c.buf = append(c.buf, b)
	} else if b := c.take(1); b != nil {
		*v = b[0] != 0
	}
}

// size reads or writes a length; least is the size of one item, to refuse lengths
// that the message can't hold before room is made for them.
func (c *codec) size(n, least int) int {
	v := int32(n)
	c.int32(&v)
	if c.read && c.err == nil && (v < -1 || int(v) > len(c.buf)/least) {
		c.err = fmt.Errorf("%w: %d", ErrSize, v)
	}
	if c.err != nil {
		return 0
	}
	return int(v)
}

// buffer keeps nil and empty apart. What is read is a copy.
func (c *codec) buffer(v *[]byte) {
	n := len(*v)
	if *v == nil {
		n = -1
	}
	n = c.size(n, 1)
	switch {
	case !c.read:
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
	case !c.read:
		c.buf = append(c.buf, *v...)
	case c.err == nil && n > 0:
		*v = string(c.take(n))
	case c.err == nil:
		*v = ""
	}
}

// list reads or writes the items of a list; least is the smallest size of one.
func list[T any](c *codec, v *[]T, least int, item func(*codec, *T)) {
	n := c.size(len(*v), least)
	if c.read {
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
