package wire

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"time"

	"lichenshelf/logic"
)

// instance is one gateway hosted here; instances share nothing.
type instance struct {
	decider logic.Decider
	columns Columns
	events  []logic.Event // of the batch in hand
	queued  bool          // already in the batch's order
}

// Host runs many isolated instances over one wire.
type Host struct {
	start     func(logic.Settings, uint64) logic.Decider
	instances map[uint16]*instance
	order     []uint16 // instances with events in the batch in hand, by first event
	actions   []logic.Action
}

// NewHost returns a host whose instances are made by start.
func NewHost(start func(logic.Settings, uint64) logic.Decider) *Host {
	return &Host{start: start, instances: map[uint16]*instance{}}
}

// Serve answers batches until the input ends. Each reply is flushed. A batch
// that is malformed is an error and gets no reply.
func (h *Host) Serve(in io.Reader, out io.Writer) error {
	r, w := bufio.NewReaderSize(in, 1<<16), bufio.NewWriter(out)
	var buf, reply []byte
	for {
		f, b, err := readFrame(r, buf)
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		buf = b
		reply = append(reply[:0], 0, 0, 0, 0)
		if reply, err = h.batch(f, reply); err != nil {
			return err
		}
		binary.BigEndian.PutUint32(reply, uint32(len(reply)-4))
		if _, err := w.Write(reply); err != nil {
			return err
		}
		if err := w.Flush(); err != nil {
			return err
		}
	}
}

// batch decodes the whole batch before it lets any instance decide.
func (h *Host) batch(f frame, reply []byte) ([]byte, error) {
	c := &cursor{b: f.body}
	h.order = h.order[:0]
	var who uint16
	addressed := false
	for range f.records {
		code := c.u8()
		if code == codeAt {
			who, addressed = c.u16(), true
			continue
		}
		if c.err == nil && !addressed {
			return reply, fmt.Errorf("event %d before any instance was named", code)
		}
		if err := h.event(c, code, who); err != nil {
			return reply, err
		}
	}
	if c.err == nil && c.off != len(c.b) {
		c.err = fmt.Errorf("%d bytes left over after the last record", len(c.b)-c.off)
	}
	if c.err != nil {
		return reply, c.err
	}
	for _, who := range h.order {
		in := h.instances[who]
		if in == nil || !in.queued { // destroyed in this batch
			continue
		}
		in.queued = false
		h.actions = h.actions[:0]
		if fault := h.handle(in, f.now); fault != "" {
			reply = binary.BigEndian.AppendUint16(append(reply, codeFor), who)
			return appendText(append(reply, codeFatal), fault), nil
		}
		reply = appendActions(reply, who, h.actions)
		in.events = in.events[:0]
	}
	return reply, nil
}

// handle runs the module and turns a panic into a fault text.
func (h *Host) handle(in *instance, now logic.Time) (fault string) {
	defer func() {
		if p := recover(); p != nil {
			fault = fmt.Sprintf("decision module panicked: %v", p)
		}
	}()
	h.actions = in.decider.Handle(now, in.events, h.actions)
	return ""
}

// event decodes one record for the instance who.
func (h *Host) event(c *cursor, code uint8, who uint16) error {
	if code == codeOpen {
		return h.open(c, who)
	}
	in := h.instances[who]
	if c.err == nil && in == nil {
		return fmt.Errorf("event %d for instance %d, which is not open", code, who)
	}
	if c.err != nil {
		return c.err
	}
	var e logic.Event
	deliver := true
	switch code {
	case codeDestroy:
		in.queued = false
		delete(h.instances, who)
		return nil
	case codeMembers:
		e, deliver = c.members()
	case codeAsk:
		e = c.ask()
	case codeHead:
		e = logic.Event{Kind: logic.AnswerStarted, ID: logic.RequestID(c.u64()), Attempt: int(c.u16())}
		e.Latency = time.Duration(c.nanos())
		e.Server = logic.ServerID(c.u32())
	case codeAttemptEnd:
		e = c.attemptEnd(in.columns)
	case codeClientGone:
		e = logic.Event{Kind: logic.ClientLeft, ID: logic.RequestID(c.u64())}
	case codeWake:
		e = logic.Event{Kind: logic.TimerFired, Token: c.u64()}
	case codeAnswerAhead: // places are not asked for: the writer is picked late
		c.take(8 + 2 + 4 + 1 + 4)
		deliver = false
	case codeCheckResult: // no probes are sent
		c.take(2 + 8 + 4)
		c.gauge(in.columns)
		deliver = false
	case codeMail: // no messages are used
		c.take(2)
		c.take(int(c.u16()))
		deliver = false
	default:
		return fmt.Errorf("unknown event code %d", code)
	}
	if c.err != nil {
		return c.err
	}
	if deliver {
		in.events = append(in.events, e)
		if !in.queued {
			in.queued = true
			h.order = append(h.order, who)
		}
	}
	return nil
}

func (h *Host) open(c *cursor, who uint16) error {
	seed := c.u64()
	text := c.take(int(c.u32()))
	if c.err != nil {
		return c.err
	}
	settings, cols, err := ParseSettings(string(text))
	if err != nil {
		return fmt.Errorf("instance %d: %w", who, err)
	}
	if in := h.instances[who]; in != nil {
		in.queued = false
	}
	h.instances[who] = &instance{decider: h.start(settings, seed), columns: cols}
	return nil
}
