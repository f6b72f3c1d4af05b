package wire

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"time"

	"lichenshelf/logic"
)

// instance is one hosted gateway. Instances share no state.
type instance struct {
	decider logic.Decider
	columns Columns
	events  []logic.Event // of the current batch
	queued  bool          // listed in Host.order for the current batch
}

// Host runs many isolated instances over one connection.
type Host struct {
	newDecider func(logic.Settings, uint64) logic.Decider
	instances  map[uint16]*instance
	order      []uint16 // instances with events in the current batch, by first event
	actions    []logic.Action
}

// NewHost returns a Host whose instances get their deciders from newDecider.
func NewHost(newDecider func(logic.Settings, uint64) logic.Decider) *Host {
	return &Host{newDecider: newDecider, instances: map[uint16]*instance{}}
}

// Serve answers batches until the input ends, and flushes each reply. It returns an error for a
// malformed batch, without a reply to it.
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

// batch appends the reply to a batch. It decodes the whole batch before any instance handles
// events.
func (h *Host) batch(f frame, reply []byte) ([]byte, error) {
	c := &cursor{b: f.body}
	h.order = h.order[:0]
	var instanceID uint16
	addressed := false
	for range f.records {
		code := c.u8()
		if code == codeEventInstance {
			instanceID, addressed = c.u16(), true
			continue
		}
		if c.err == nil && !addressed {
			return reply, fmt.Errorf("event %d before the first instance record", code)
		}
		if err := h.event(c, code, instanceID); err != nil {
			return reply, err
		}
	}
	if c.err == nil && c.off != len(c.b) {
		c.err = fmt.Errorf("%d bytes left over after the last record", len(c.b)-c.off)
	}
	if c.err != nil {
		return reply, c.err
	}
	for _, instanceID := range h.order {
		inst := h.instances[instanceID]
		if inst == nil || !inst.queued { // closed in this batch
			continue
		}
		inst.queued = false
		h.actions = h.actions[:0]
		if fault := h.handle(inst, f.now); fault != "" {
			reply = binary.BigEndian.AppendUint16(append(reply, codeActionInstance), instanceID)
			return appendText(append(reply, codeFatal), fault), nil
		}
		reply = appendActions(reply, instanceID, h.actions)
		inst.events = inst.events[:0]
	}
	return reply, nil
}

// handle runs the instance's decider. It returns the text of a panic, or an empty string.
func (h *Host) handle(inst *instance, now logic.Time) (fault string) {
	defer func() {
		if p := recover(); p != nil {
			fault = fmt.Sprintf("decision module panicked: %v", p)
		}
	}()
	h.actions = inst.decider.Handle(now, inst.events, h.actions)
	return ""
}

// event decodes one record for the instance with the given ID.
func (h *Host) event(c *cursor, code uint8, instanceID uint16) error {
	if code == codeOpenInstance {
		return h.open(c, instanceID)
	}
	inst := h.instances[instanceID]
	if c.err == nil && inst == nil {
		return fmt.Errorf("event %d for instance %d, which is not open", code, instanceID)
	}
	if c.err != nil {
		return c.err
	}
	var e logic.Event
	deliver := true
	switch code {
	case codeCloseInstance:
		inst.queued = false
		delete(h.instances, instanceID)
		return nil
	case codeMembers:
		e, deliver = c.members()
	case codeRequest:
		e = c.request()
	case codeAnswerStarted:
		e = logic.Event{Kind: logic.AnswerStarted, ID: logic.RequestID(c.u64()), Attempt: int(c.u16())}
		e.Latency = time.Duration(c.nanos())
		e.Server = logic.ServerID(c.u32())
	case codeAttemptEnded:
		e = c.attemptEnded(inst.columns)
	case codeClientLeft:
		e = logic.Event{Kind: logic.ClientLeft, ID: logic.RequestID(c.u64())}
	case codeTimerFired:
		e = logic.Event{Kind: logic.TimerFired, Token: c.u64()}
	case codeAnswerAnnounced: // not used: no place is reserved ahead, as the writer is picked late
		c.take(8 + 2 + 4 + 1 + 4)
		deliver = false
	case codeProbeResult: // not used: no probes are sent
		c.take(2 + 8 + 4)
		c.loadReport(inst.columns)
		deliver = false
	case codeMessage: // not used: instances send no messages
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
		inst.events = append(inst.events, e)
		if !inst.queued {
			inst.queued = true
			h.order = append(h.order, instanceID)
		}
	}
	return nil
}

func (h *Host) open(c *cursor, instanceID uint16) error {
	seed := c.u64()
	text := c.take(int(c.u32()))
	if c.err != nil {
		return c.err
	}
	settings, cols, err := ParseSettings(string(text))
	if err != nil {
		return fmt.Errorf("instance %d: %w", instanceID, err)
	}
	if inst := h.instances[instanceID]; inst != nil {
		inst.queued = false
	}
	h.instances[instanceID] = &instance{decider: h.newDecider(settings, seed), columns: cols}
	return nil
}
