package link

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"lichenshelf/fleet/budget"
	"lichenshelf/fleet/counts"
	"lichenshelf/fleet/members"
	relay "lichenshelf/internal/standin/link"
	"lichenshelf/metrics"
)

func example() Envelope {
	return Envelope{Version: Version, Need: Version, Fleet: "f", From: "a", To: "b",
		Members: &members.Message{From: "a", To: "b", Heartbeats: []members.Heartbeat{{Name: "a", Incarnation: 7, Count: 9}, {Name: "c", Suspect: true}}},
		Budget:  []budget.Message{{Kind: budget.Ask, From: "a", To: "b", Epoch: 1, Incarnation: 2, Key: "k", Seq: 3, Amount: 4.5, Using: 2}}}
}

func TestFrameRoundTrip(t *testing.T) {
	frame, err := Encode(example())
	require.NoError(t, err)
	got, err := Decode(bytes.NewReader(frame))
	require.NoError(t, err)
	require.Equal(t, example(), got)
	t.Logf("%d bytes", len(frame))
}

// The work at 4,096 workers with long names fits into one message, and a message that is cut off is
// reported as such.
func TestWorkOfLargeFleetFitsAMessage(t *testing.T) {
	e := example()
	e.Counts = &counts.State{Router: "a", Incarnation: 1, Version: 2, Work: map[string]counts.Work{}}
	for i := range 4096 {
		e.Counts.Work[fmt.Sprintf("worker-%s-%08x", strings.Repeat("n", 48), i)] = counts.Work{Unread: 1e6 / 3, Held: 1e5 / 7}
	}
	frame, err := Encode(e)
	require.NoError(t, err)
	got, err := Decode(bytes.NewReader(frame))
	require.NoError(t, err)
	require.Equal(t, e, got)
	_, err = Decode(bytes.NewReader(frame[:len(frame)/2]))
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	t.Logf("%d bytes", len(frame))
}

// framed returns a frame with a matching header for any body.
func framed(t *testing.T, body []byte) []byte {
	head := make([]byte, headerSize)
	binary.BigEndian.PutUint32(head, uint32(len(body)))
	binary.BigEndian.PutUint32(head[4:], crc32.Checksum(body, castagnoli))
	return append(head, body...)
}

// A truncated or corrupt frame gives an error that ends the connection; an invalid message in a
// valid frame gives ErrMessage. A message of a newer version is read if its Need allows it.
func TestInvalidFramesAndOtherVersions(t *testing.T) {
	good, err := Encode(example())
	require.NoError(t, err)
	as := func(v any) []byte {
		body, err := cbor.Marshal(v)
		require.NoError(t, err)
		return framed(t, body)
	}
	flip := bytes.Clone(good)
	flip[len(flip)-1] ^= 1
	for name, tc := range map[string]struct {
		frame []byte
		want  error
	}{
		"empty":             {nil, io.EOF},
		"head cut":          {good[:5], io.ErrUnexpectedEOF},
		"body cut":          {good[:len(good)-3], io.ErrUnexpectedEOF},
		"one bit flipped":   {flip, ErrFrame},
		"no size":           {make([]byte, headerSize), ErrFrame},
		"3 GB announced":    {[]byte{0xc0, 0, 0, 0, 1, 2, 3, 4}, ErrFrame},
		"no CBOR":           {framed(t, []byte("GET / HTTP/1.1")), ErrMessage},
		"another shape":     {as([]int{1, 2}), ErrMessage},
		"a wrong type":      {as(map[int]any{3: 17}), ErrMessage},
		"duplicate key":     {framed(t, []byte{0xa2, 0x03, 0x61, 'f', 0x03, 0x61, 'g'}), ErrMessage},
		"too many budgets":  {as(map[int]any{11: make([]int, 5000)}), ErrMessage},
		"needs a newer one": {as(map[int]any{1: 9, 2: 9, 3: "f"}), ErrMessage},
		"newer, with more":  {as(map[int]any{1: 9, 2: 1, 3: "f", 4: "a", 5: "b", 40: "what is new"}), nil},
	} {
		_, err := Decode(bytes.NewReader(tc.frame))
		if tc.want == nil {
			require.NoError(t, err, name)
		} else {
			require.ErrorIs(t, err, tc.want, name)
		}
	}
	_, err = Encode(Envelope{Fleet: strings.Repeat("x", maxFrameBytes)})
	require.ErrorIs(t, err, ErrFrame)
}

// ends are two routers that are linked through a relay.
type ends struct {
	a, b     *Link
	relay    *relay.Relay // from a to b
	received chan Envelope
	count    *metrics.Set
	addr     string
}

func newEnds(t *testing.T) *ends {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	r, err := relay.New(l.Addr().String())
	require.NoError(t, err)
	e := &ends{relay: r, received: make(chan Envelope, 64), count: &metrics.Set{}, addr: l.Addr().String()}
	log := logrus.New()
	log.SetOutput(io.Discard)
	make1 := func(self, peer, addr string) *Link {
		return New(Config{Fleet: "f", Self: self, Peers: []Peer{{peer, addr}}, Timeout: 100 * time.Millisecond, StaleAfter: time.Minute,
			Seed: 1, Counters: e.count, Log: log, Receive: func(m Envelope) { e.received <- m }})
	}
	e.a, e.b = make1("a", "b", r.Addr()), make1("b", "a", "127.0.0.1:1")
	go func() { _ = e.b.Serve(l) }()
	go e.a.Run(t.Context())
	t.Cleanup(func() { _ = l.Close(); r.Close(); e.b.Close() })
	return e
}

// sendUntilReceived sends messages until one is received.
func (e *ends) sendUntilReceived(t *testing.T) Envelope {
	t.Helper()
	var got Envelope
	require.Eventually(t, func() bool {
		e.a.Send(Envelope{To: "b"})
		select {
		case got = <-e.received:
			return true
		default:
			return false
		}
	}, 20*time.Second, 5*time.Millisecond)
	return got
}

// A connection that loses all bytes in one direction, or in both while new ones are refused, is
// detected by missing acknowledgements and replaced once the link works again. Lost messages are
// not sent again.
func TestLostConnectionsAreReplaced(t *testing.T) {
	e := newEnds(t)
	require.Equal(t, "a", e.sendUntilReceived(t).From)
	// A message is received before its sender gets the acknowledgement.
	require.Eventually(t, func() bool { return e.a.Statuses()[0].Connected }, 20*time.Second, time.Millisecond)
	for _, f := range []relay.Fault{{Drop: [2]bool{true, false}}, {Drop: [2]bool{false, true}}, {Refuse: true, Drop: [2]bool{true, true}}} {
		e.relay.Set(f)
		dropped := e.a.Statuses()[0].Dropped
		require.Eventually(t, func() bool {
			e.a.Send(Envelope{To: "b"})
			return e.a.Statuses()[0].Dropped > dropped && e.a.Statuses()[0].LastFault != ""
		}, 20*time.Second, 5*time.Millisecond, "%+v is detected", f)
		e.relay.Set(relay.Fault{})
		e.relay.Cut()
		for len(e.received) > 0 {
			<-e.received
		}
		e.sendUntilReceived(t)
	}
	require.Positive(t, e.count.Get("fleet_messages_dropped"))
}

// Messages for another fleet or router, from an unknown router or from the receiver itself are
// refused, parts of another origin than the sender are removed, and the connection stays open.
func TestMisaddressedMessages(t *testing.T) {
	e := newEnds(t)
	c, err := net.Dial("tcp4", e.addr)
	require.NoError(t, err)
	defer c.Close()
	sendAcked := func(m Envelope) {
		frame, err := Encode(m)
		require.NoError(t, err)
		_, err = c.Write(frame)
		require.NoError(t, err)
		var got [1]byte
		_, err = io.ReadFull(c, got[:])
		require.NoError(t, err)
		require.EqualValues(t, ack, got[0])
	}
	for _, spoil := range []func(*Envelope){func(m *Envelope) { m.Fleet = "g" }, func(m *Envelope) { m.To = "c" },
		func(m *Envelope) { m.From = "c" }, func(m *Envelope) { m.From = "b" }} {
		m := example()
		spoil(&m)
		sendAcked(m)
	}
	require.Empty(t, e.received)
	require.EqualValues(t, 4, e.count.Get("fleet_messages_refused"))
	m := example()
	m.Members.From, m.Budget = "c", append(m.Budget, budget.Message{Kind: budget.Grant, From: "c", To: "b"})
	sendAcked(m)
	got := <-e.received
	require.Nil(t, got.Members)
	require.Len(t, got.Budget, 1)
	// An incomplete frame occupies the connection only until the timeout.
	_, err = c.Write([]byte{0, 0, 0, 9, 1})
	require.NoError(t, err)
	_, err = c.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
}
