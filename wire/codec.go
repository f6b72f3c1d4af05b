// Package wire translates between the simulator's binary protocol and package logic. It makes no
// decisions.
package wire

import (
	"encoding/binary"
	"fmt"
	"io"
	"math"
	"time"

	"lichenshelf/logic"
)

// Codes of event records.
const (
	codeMessage         = 10
	codeAnswerStarted   = 20
	codeAnswerAnnounced = 30
	codeEventInstance   = 40
	codeRequest         = 50
	codeClientLeft      = 60
	codeMembers         = 70
	codeTimerFired      = 80
	codeAttemptEnded    = 90
	codeOpenInstance    = 100
	codeCloseInstance   = 110
	codeProbeResult     = 120
)

// Codes of action records.
const (
	codeSend           = 10
	codeRefuse         = 20
	codeFail           = 30
	codeCancelAttempt  = 40
	codeSetTimer       = 50
	codeLog            = 90
	codeFatal          = 100
	codeMove           = 130
	codeRelease        = 150
	codeActionInstance = 160
)

const (
	frameHeaderBytes = 8 // record count and batch length
	clockBytes       = 8
	memberBytes      = 22
	readChunk        = 1 << 20 // bytes; memory grows as bytes arrive, not by the stated length
)

// cursor reads big-endian fields and keeps the first error.
type cursor struct {
	b   []byte
	off int
	err error
}

func (c *cursor) take(n int) []byte {
	if c.err != nil {
		return nil
	}
	if n < 0 || n > len(c.b)-c.off {
		c.err = fmt.Errorf("record truncated: need %d bytes at offset %d of %d", n, c.off, len(c.b))
		return nil
	}
	p := c.b[c.off : c.off+n]
	c.off += n
	return p
}

func (c *cursor) u8() uint8 {
	if p := c.take(1); p != nil {
		return p[0]
	}
	return 0
}

func (c *cursor) u16() uint16 {
	if p := c.take(2); p != nil {
		return binary.BigEndian.Uint16(p)
	}
	return 0
}

func (c *cursor) u32() uint32 {
	if p := c.take(4); p != nil {
		return binary.BigEndian.Uint32(p)
	}
	return 0
}

func (c *cursor) u64() uint64 {
	if p := c.take(8); p != nil {
		return binary.BigEndian.Uint64(p)
	}
	return 0
}

func (c *cursor) f32() float64 { return float64(math.Float32frombits(c.u32())) }

// nanos reads a time or a duration in nanoseconds. Values beyond the range of int64 are capped.
func (c *cursor) nanos() int64 {
	v := c.u64()
	if v > math.MaxInt64 {
		return math.MaxInt64
	}
	return int64(v)
}

// frame is one batch of records.
type frame struct {
	records uint32
	now     logic.Time
	body    []byte
}

// readFrame reads one batch into buf, which it may grow, and returns the batch and the buffer. It
// returns io.EOF only if the input ends between batches.
func readFrame(r io.Reader, buf []byte) (frame, []byte, error) {
	var head [frameHeaderBytes]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		if err == io.EOF {
			return frame{}, buf, io.EOF
		}
		return frame{}, buf, fmt.Errorf("batch header truncated: %w", err)
	}
	records, size := binary.BigEndian.Uint32(head[:4]), int(binary.BigEndian.Uint32(head[4:]))
	if size < clockBytes {
		return frame{}, buf, fmt.Errorf("batch length %d leaves no room for the clock", size)
	}
	if int64(records) > int64(size-clockBytes) {
		return frame{}, buf, fmt.Errorf("%d records cannot fit in %d bytes", records, size-clockBytes)
	}
	buf = buf[:0]
	for len(buf) < size {
		n := min(size-len(buf), readChunk)
		at := len(buf)
		for cap(buf) < at+n {
			buf = append(buf[:cap(buf)], 0)
		}
		buf = buf[:at+n]
		if _, err := io.ReadFull(r, buf[at:]); err != nil {
			return frame{}, buf, fmt.Errorf("batch truncated: %w", err)
		}
	}
	c := cursor{b: buf}
	now := c.u64()
	if now > math.MaxInt64 {
		return frame{}, buf, fmt.Errorf("clock %d out of range", now)
	}
	return frame{records: records, now: logic.Time(now), body: buf[clockBytes:]}, buf, nil
}

var statuses = map[uint16]logic.Status{
	0: logic.ServerError, 1: logic.Served, 2: logic.Full, 3: logic.TimedOut, 4: logic.ConnectFailed,
	5: logic.ConnectionReset, 6: logic.Cancelled, 7: logic.NotSent, 210: logic.PromptRead,
}

func (c *cursor) request() logic.Event {
	var r logic.Request
	r.ID = logic.RequestID(c.u64())
	r.PrefixTokens = c.f32()
	r.Class = int(c.u8())
	r.PromptTokens = c.f32()
	r.AnswerHint = time.Duration(c.nanos())
	r.Tenant = int(c.u32())
	r.Session = logic.Key(c.u64())
	bits := c.u8()
	r.Hinted = bits&1 != 0
	r.Resumed = bits&16 != 0
	r.Patience = time.Duration(c.nanos())
	r.MaxTokens = c.f32()
	r.Prefix = logic.Key(c.u64())
	return logic.Event{Kind: logic.Arrived, Request: r}
}

func (c *cursor) members() (logic.Event, bool) {
	kind := c.u8()
	c.u32() // list version, not needed: lists arrive in order
	n := int(c.u32())
	if c.err == nil && (kind > 3 || n > (len(c.b)-c.off)/memberBytes) {
		c.err = fmt.Errorf("member list of kind %d with %d entries does not fit into its batch", kind, n)
	}
	if c.err != nil {
		return logic.Event{}, false
	}
	e := logic.Event{Kind: logic.ServersChanged, Whole: kind == 1 || kind == 2, Members: make([]logic.Member, 0, n)}
	for range n {
		m := logic.Member{Weight: c.f32(), Server: logic.ServerID(c.u32()), Cell: int(c.u16())}
		m.Since = logic.Time(c.nanos())
		switch health := c.u8(); health {
		case 0:
			m.Health = logic.Ready
		case 1:
			m.Health = logic.Draining
		case 3:
			m.Health = logic.Gone
		default:
			c.err = fmt.Errorf("unknown health %d", health)
		}
		m.Zone = int(c.u8())
		m.Kind = int(c.u16())
		e.Members = append(e.Members, m)
	}
	return e, kind != 3
}

// loadReport reads a load report, whose values are in the order of the columns in the settings.
func (c *cursor) loadReport(cols Columns) logic.Load {
	n := int(c.u8())
	var l logic.Load
	for i := range n {
		v := c.f32()
		if math.IsNaN(v) || math.IsInf(v, 0) || i >= len(cols) {
			continue
		}
		cols.take(&l, i, v)
	}
	return l
}

func (c *cursor) attemptEnded(cols Columns) logic.Event {
	e := logic.Event{Kind: logic.AttemptEnded}
	e.ID = logic.RequestID(c.u64())
	e.Attempt = int(c.u16())
	e.Latency = time.Duration(c.nanos())
	e.Closed = c.u8() != 0
	e.Server = logic.ServerID(c.u32())
	code := c.u16()
	st, ok := statuses[code]
	if !ok && c.err == nil {
		c.err = fmt.Errorf("unknown outcome %d", code)
	}
	e.Status = st
	e.Kept = c.u32()
	e.Load = c.loadReport(cols)
	return e
}

// appendActions encodes the actions of one instance.
func appendActions(b []byte, instanceID uint16, actions []logic.Action) []byte {
	if len(actions) == 0 {
		return b
	}
	be := binary.BigEndian
	b = be.AppendUint16(append(b, codeActionInstance), instanceID)
	id := func(code byte, a *logic.Action) { b = be.AppendUint64(append(b, code), uint64(a.ID)) }
	for i := range actions {
		a := &actions[i]
		switch a.Kind {
		case logic.Send:
			id(codeSend, a)
			b = be.AppendUint32(b, uint32(a.Server))
			b = be.AppendUint64(b, uint64(a.After))
		case logic.CancelAttempt:
			id(codeCancelAttempt, a)
			b = be.AppendUint16(b, uint16(a.Attempt))
		case logic.Refuse:
			id(codeRefuse, a)
			b = be.AppendUint64(b, uint64(a.After))
		case logic.Fail:
			id(codeFail, a)
		case logic.Release:
			id(codeRelease, a)
		case logic.Move:
			id(codeMove, a)
		case logic.SetTimer:
			b = be.AppendUint64(append(b, codeSetTimer), uint64(a.After))
			b = be.AppendUint64(b, a.Token)
		case logic.Log:
			b = appendText(append(b, codeLog), a.Text)
		}
	}
	return b
}

func appendText(b []byte, s string) []byte {
	if len(s) > math.MaxUint16 {
		s = s[:math.MaxUint16]
	}
	return append(binary.BigEndian.AppendUint16(b, uint16(len(s))), s...)
}
