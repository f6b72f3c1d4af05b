package wire

import (
	"bytes"
	"encoding/binary"
	"io"
	"math"
	"strings"
	"testing"
	"time"

	"lichenshelf/logic"
)

const settingsText = `balancers=2
my-zone=0
bounds.cancel=true
bounds.retry-after=true
bounds.max-retry-after-ns=1000000000
bounds.most-tries=5
bounds.connect-timeout-ns=250000000
categories.count=1
categories.0.effect=by_key
categories.0.group=zone
categories.0.points=3.0
categories.0.target-ns=1500000000
extra.aim-us-per-1000-prompt-tokens=40000.0
extra.kind-memory-tokens=250000,130000
extra.release-ns=1000000000
extra.report-x0=share_of_memory_that_is_held
extra.report-x1=thousands_of_prompt_tokens_waiting_to_be_read_or_fetched
extra.role-by-kind=read,write
load-info.columns=cpu,x1,x0
realms.count=1
realms.0.quota-per-s=10.0
safety.cold-share=0.29
safety.fall-multiple=2.5
safety.fall-ns=2000000000
safety.stop-sending-within-ns=250000000
safety.warm-within-ns=13000000000
unknown.key=skipped`

func TestParseSettings(t *testing.T) {
	s, cols, err := ParseSettings(settingsText)
	if err != nil {
		t.Fatal(err)
	}
	c := s.Classes[0]
	if s.Gateways != 2 || c.Effect != logic.EffectByKey || c.Group != logic.GroupZone || c.Points != 3 ||
		c.AimPer1000 != 40*time.Millisecond || s.Kinds[1].Role != logic.RoleWrite ||
		s.Kinds[0].MemoryTokens != 250000 || s.Tenants[0].QuotaPerSecond != 10 || s.FallMultiple != 2.5 {
		t.Errorf("settings misread: %+v", s)
	}
	if len(cols) != 3 || cols[0].Meaning != Other || cols[1].Meaning != Unread || cols[2].Meaning != Memory {
		t.Errorf("columns misread: %v", cols)
	}
	for _, tc := range []struct{ name, old, new, want string }{
		{"missing", "my-zone=0\n", "", "my-zone is missing"},
		{"not a number", "bounds.most-tries=5", "bounds.most-tries=many", "bounds.most-tries is malformed"},
		{"unknown effect", "effect=by_key", "effect=sometimes", "categories.0.effect is malformed"},
		{"unknown role", "role-by-kind=read,write", "role-by-kind=read,sing", "extra.role-by-kind is malformed"},
		{"huge count", "categories.count=1", "categories.count=1e12", "categories.count is malformed"},
		{"short list", "kind-memory-tokens=250000,130000", "kind-memory-tokens=1", "kind-memory-tokens is malformed"},
	} {
		_, _, err := ParseSettings(strings.Replace(settingsText, tc.old, tc.new, 1))
		if err == nil || !strings.Contains(err.Error(), tc.want) {
			t.Errorf("%s: error %v, want %q", tc.name, err, tc.want)
		}
	}
}

// scriptedDecider is a decider that records its events and returns fixed actions.
type scriptedDecider struct {
	seen   []logic.Event
	answer []logic.Action
	panics bool
}

func (s *scriptedDecider) Handle(_ logic.Time, events []logic.Event, actions []logic.Action) []logic.Action {
	if s.panics {
		panic("on purpose")
	}
	s.seen = append(s.seen, events...)
	return append(actions, s.answer...)
}

func batch(records ...[]byte) []byte {
	body := bytes.Join(records, nil)
	b := binary.BigEndian.AppendUint32(nil, uint32(len(records)))
	b = binary.BigEndian.AppendUint32(b, uint32(len(body)+8))
	b = binary.BigEndian.AppendUint64(b, 1000)
	return append(b, body...)
}

func eventInstance(instanceID uint16) []byte {
	return binary.BigEndian.AppendUint16([]byte{codeEventInstance}, instanceID)
}

func openInstance() []byte {
	b := binary.BigEndian.AppendUint64([]byte{codeOpenInstance}, 9)
	b = binary.BigEndian.AppendUint32(b, uint32(len(settingsText)))
	return append(b, settingsText...)
}

// Example records from the description of the wire.
var (
	requestRecord = []byte{0x32, 0, 1, 7, 0x3d, 0x5d, 0x3a, 0x91, 0xc4, 0x44, 0x96, 0, 0, 0, 0x44, 0xe1, 0, 0,
		0, 0, 0, 0, 0, 0xb7, 0x1b, 0, 0, 0, 0, 0, 0x91, 0xf0, 0x3b, 0x7c, 0x55, 0xd2, 0x0a, 0x64, 1,
		0, 0, 0, 0, 0x0e, 0x4e, 0x1c, 0, 0x43, 0x80, 0, 0, 0x2b, 0x8e, 0x64, 1, 0xd9, 0xf3, 0x7c, 0x10}
	attemptEndedRecord = append([]byte{0x5a, 0, 1, 7, 0x3d, 0x5d, 0x3a, 0x91, 0xc4, 0, 0, 0, 0, 0, 0, 1, 0x1a, 0x49, 0xa0,
		1, 3, 0x12, 0x4a, 7, 0, 210, 0, 0, 0, 5, 3}, floatBytes(0.5, 1.5, 0.25)...)
)

func floatBytes(v ...float32) (b []byte) {
	for _, f := range v {
		b = binary.BigEndian.AppendUint32(b, math.Float32bits(f))
	}
	return b
}

func TestServe(t *testing.T) {
	s := &scriptedDecider{answer: []logic.Action{
		{Kind: logic.Send, ID: 7, Server: 8, After: 9}, {Kind: logic.Refuse, ID: 7, After: 1},
		{Kind: logic.SetTimer, After: 5, Token: 77}, {Kind: logic.Release, ID: 7}, {Kind: logic.CancelAttempt, ID: 7, Attempt: 2}}}
	h := NewHost(func(logic.Settings, uint64) logic.Decider { return s })
	var out bytes.Buffer
	if err := h.Serve(bytes.NewReader(batch(eventInstance(3), openInstance(), requestRecord, attemptEndedRecord)), &out); err != nil {
		t.Fatal(err)
	}
	if len(s.seen) != 2 {
		t.Fatalf("%d events", len(s.seen))
	}
	q := s.seen[0].Request
	if q.PromptTokens != 1800 || q.PrefixTokens != 1200 || q.MaxTokens != 256 || !q.Hinted || q.Resumed ||
		q.Patience != 240*time.Millisecond || q.Session == 0 || q.Prefix == 0 {
		t.Errorf("request misread: %+v", q)
	}
	e := s.seen[1]
	if e.Status != logic.PromptRead || e.Kept != 5 || !e.Closed || e.Load.UnreadToken != 1500 || e.Load.MemoryShare != 0.25 {
		t.Errorf("outcome misread: %+v", e)
	}
	want := []byte{0, 0, 0, 71,
		0xa0, 0, 3,
		10, 0, 0, 0, 0, 0, 0, 0, 7, 0, 0, 0, 8, 0, 0, 0, 0, 0, 0, 0, 9,
		20, 0, 0, 0, 0, 0, 0, 0, 7, 0, 0, 0, 0, 0, 0, 0, 1,
		50, 0, 0, 0, 0, 0, 0, 0, 5, 0, 0, 0, 0, 0, 0, 0, 77,
		150, 0, 0, 0, 0, 0, 0, 0, 7,
		40, 0, 0, 0, 0, 0, 0, 0, 7, 0, 2}
	want[3] = byte(len(want) - 4)
	if !bytes.Equal(out.Bytes(), want) {
		t.Errorf("reply\n%v, want\n%v", out.Bytes(), want)
	}
}

func TestServeRejectsMalformedInput(t *testing.T) {
	good := batch(eventInstance(3), openInstance(), requestRecord)
	huge := batch(eventInstance(3), openInstance())
	binary.BigEndian.PutUint32(huge, math.MaxUint32)
	list := append([]byte{codeMembers, 1, 0, 0, 0, 1}, 0xff, 0xff, 0xff, 0xff)
	for name, in := range map[string][]byte{
		"cut header":         good[:5],
		"cut batch":          good[:len(good)-1],
		"record count":       huge,
		"length without end": {0, 0, 0, 0, 0xff, 0xff, 0xff, 0xff},
		"no clock":           {0, 0, 0, 0, 0, 0, 0, 4},
		"unknown event":      batch(eventInstance(3), openInstance(), []byte{99}),
		"not open":           batch(eventInstance(4), requestRecord),
		"no instance":        batch(requestRecord),
		"list count":         batch(eventInstance(3), openInstance(), list),
		"left over":          batch(eventInstance(3), append(openInstance(), 0)),
	} {
		var out bytes.Buffer
		h := NewHost(func(logic.Settings, uint64) logic.Decider { return &scriptedDecider{} })
		err := h.Serve(bytes.NewReader(in), &out)
		if err == nil || strings.Contains(err.Error(), "\n") || out.Len() != 0 {
			t.Errorf("%s: error %v, %d bytes of reply", name, err, out.Len())
		}
	}
}

func TestPanicBecomesFatal(t *testing.T) {
	h := NewHost(func(logic.Settings, uint64) logic.Decider { return &scriptedDecider{panics: true} })
	var out bytes.Buffer
	if err := h.Serve(bytes.NewReader(batch(eventInstance(3), openInstance(), requestRecord)), &out); err != nil {
		t.Fatal(err)
	}
	if b := out.Bytes(); len(b) < 8 || b[7] != codeFatal || !bytes.Contains(b, []byte("on purpose")) {
		t.Errorf("reply %q", b)
	}
}

func FuzzServe(f *testing.F) {
	f.Add(batch(eventInstance(3), openInstance(), requestRecord, attemptEndedRecord))
	f.Add(batch())
	f.Fuzz(func(t *testing.T, in []byte) {
		h := NewHost(func(s logic.Settings, seed uint64) logic.Decider { return logic.New(s, seed) })
		var out bytes.Buffer
		if err := h.Serve(bytes.NewReader(in), &out); err == io.EOF {
			t.Error("end of input is not an error")
		}
		if bytes.Contains(out.Bytes(), []byte("panicked")) {
			t.Errorf("panic: %q", out.Bytes())
		}
	})
}
