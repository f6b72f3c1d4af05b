// Package link carries messages between the routers of a fleet.
//
// Each router listens, and opens at most one connection to each other router. It sends over the
// connections that it opened and receives over those that it accepted. A message is a frame of
// length, checksum and CBOR; readers ignore unknown fields, so newer versions can add some. Each
// frame is acknowledged with one byte, so that a connection whose other end no longer responds is
// detected and replaced.
//
// A link does not retransmit and buffers only briefly: a message is dropped if there is no
// connection or if it has waited longer than StaleAfter. Protocols over a link must tolerate loss,
// duplicates and reordering.
package link

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"lichenshelf/fleet/node"
	accepting "lichenshelf/internal/listener"
	"lichenshelf/internal/transient"
)

// Version is the version of the messages that this program writes.
const Version = 1

const (
	maxFrameBytes = 1 << 20 // fits the work at 4,096 workers with long names
	maxQueued     = 64      // messages that wait for one router
	headerSize    = 8       // length and checksum
	ack           = 0x06
	idleTimeout   = time.Minute // accepted connections without a frame for this long are closed
	minBackoff    = 100 * time.Millisecond
	maxBackoff    = 3 * time.Second
)

// Envelope is one message between two routers.
type Envelope = node.Envelope

// Peer is another router of the fleet.
type Peer struct{ Name, Addr string }

// Config holds the settings of a Link.
type Config struct {
	Fleet, Self string
	Peers       []Peer        // the other routers
	Timeout     time.Duration // for opening a connection, and for the acknowledgement of a frame
	StaleAfter  time.Duration // messages that have waited longer are dropped
	Seed        uint64
	Counters    interface{ Add(name string, n int64) }
	Log         logrus.FieldLogger
	// Receive is called with each message received. It must not block for long.
	Receive func(Envelope)
}

// Link is one router's end of all its links.
type Link struct {
	cfg   Config
	peers map[string]*peer

	mu       sync.Mutex
	accepted map[net.Conn]bool // open connections from other routers
}

// peer is the sending side of the link to one other router.
type peer struct {
	Peer
	queue chan queuedFrame

	mu     sync.Mutex
	status Status
}

type queuedFrame struct {
	frame    []byte
	queuedAt time.Time
}

// Status is the state of a link, for display.
type Status struct {
	Name, Addr          string
	Connected           bool
	Sent                int64         // frames that the other end has acknowledged
	Dropped             int64         // messages without a connection or room in the queue, or stale
	Received            int64         // messages received
	SinceAcked          time.Duration // since the last acknowledgement; -1: never
	SinceReceived       time.Duration // since the last message was received; -1: never
	LastFault           string
	ackedAt, receivedAt time.Time
}

// New returns a link; Run and Serve start it.
func New(cfg Config) *Link {
	l := &Link{cfg: cfg, peers: map[string]*peer{}, accepted: map[net.Conn]bool{}}
	for _, p := range cfg.Peers {
		l.peers[p.Name] = &peer{Peer: p, queue: make(chan queuedFrame, maxQueued), status: Status{Name: p.Name, Addr: p.Addr}}
	}
	return l
}

var encoder = func() cbor.EncMode {
	m, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err) // the options are fixed
	}
	return m
}()

// decoder limits the memory that a message can make this router use.
var decoder = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: 4096, MaxMapPairs: 4096, MaxNestedLevels: 8, DupMapKey: cbor.DupMapKeyEnforcedAPF}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}()

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Encode returns the frame of a message.
func Encode(e Envelope) ([]byte, error) {
	body, err := encoder.Marshal(e)
	if err != nil {
		return nil, fmt.Errorf("encode a message: %w", err)
	}
	if len(body) > maxFrameBytes {
		return nil, fmt.Errorf("%w: %d bytes", ErrFrame, len(body))
	}
	frame := make([]byte, headerSize, headerSize+len(body))
	binary.BigEndian.PutUint32(frame, uint32(len(body)))
	binary.BigEndian.PutUint32(frame[4:], crc32.Checksum(body, castagnoli))
	return append(frame, body...), nil
}

// ErrFrame is returned for an invalid frame. The start of the next frame is unknown, so the
// connection must be closed.
var ErrFrame = errors.New("fleet frame")

// ErrMessage is returned for a message that is ignored; the connection remains usable.
var ErrMessage = errors.New("fleet message")

// Decode reads the next message.
func Decode(r io.Reader) (Envelope, error) {
	var e Envelope
	var head [headerSize]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return e, fmt.Errorf("read a frame: %w", err)
	}
	size := binary.BigEndian.Uint32(head[:])
	if size == 0 || size > maxFrameBytes {
		return e, fmt.Errorf("%w: %d bytes", ErrFrame, size)
	}
	// Memory is allocated as bytes arrive, not in advance for the size that the header states.
	var got bytes.Buffer
	if _, err := io.CopyN(&got, r, int64(size)); err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return e, fmt.Errorf("read a frame: %w", err)
	}
	body := got.Bytes()
	if sum := crc32.Checksum(body, castagnoli); sum != binary.BigEndian.Uint32(head[4:]) {
		return e, fmt.Errorf("%w: checksum %08x does not fit", ErrFrame, sum)
	}
	if err := decoder.Unmarshal(body, &e); err != nil {
		return e, fmt.Errorf("%w: %w", ErrMessage, err)
	}
	if e.Need > Version {
		return e, fmt.Errorf("%w: needs version %d, this is %d", ErrMessage, e.Need, Version)
	}
	return e, nil
}

// Send queues a message. It never blocks; a message that can't be queued is dropped and counted.
func (l *Link) Send(e Envelope) {
	e.Version, e.Need, e.Fleet, e.From = Version, Version, l.cfg.Fleet, l.cfg.Self
	p := l.peers[e.To]
	if p == nil {
		return
	}
	frame, err := Encode(e)
	if err != nil {
		p.update(func(s *Status) { s.Dropped++; s.LastFault = err.Error() })
		return
	}
	select {
	case p.queue <- queuedFrame{frame, time.Now()}:
	default:
		l.countDropped(p, 1)
	}
}

func (l *Link) countDropped(p *peer, n int64) {
	p.update(func(s *Status) { s.Dropped += n })
	l.cfg.Counters.Add("fleet_messages_dropped", n)
}

func (p *peer) update(f func(*Status)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(&p.status)
}

// Run sends queued messages until ctx ends.
func (l *Link) Run(ctx context.Context) {
	var all sync.WaitGroup
	for _, p := range l.peers {
		all.Go(func() { l.sendLoop(ctx, p) })
	}
	all.Wait()
}

// sendLoop sends the messages that are queued for one router. It connects when there is a message
// to send, and after a failure no sooner than the backoff allows.
func (l *Link) sendLoop(ctx context.Context, p *peer) {
	rng := rand.New(rand.NewPCG(l.cfg.Seed, uint64(crc32.ChecksumIEEE([]byte(p.Name)))))
	retry := transient.NewBackoff(minBackoff, maxBackoff)
	retry.Multiplier, retry.RandomizationFactor = 2, 0
	retry.Reset()
	var conn net.Conn
	defer func() {
		if conn != nil {
			_ = conn.Close()
		}
	}()
	var notBefore time.Time
	for {
		var w queuedFrame
		select {
		case <-ctx.Done():
			return
		case w = <-p.queue:
		}
		if time.Since(w.queuedAt) > l.cfg.StaleAfter || conn == nil && time.Now().Before(notBefore) {
			l.countDropped(p, 1)
			continue
		}
		var err error
		if conn == nil {
			dialer := net.Dialer{Timeout: l.cfg.Timeout}
			conn, err = dialer.DialContext(ctx, "tcp4", p.Addr)
		}
		if err == nil {
			err = l.sendFrame(conn, w.frame)
		}
		if err == nil {
			retry.Reset()
			p.update(func(s *Status) { s.Connected, s.LastFault, s.ackedAt = true, "", time.Now(); s.Sent++ })
			l.cfg.Counters.Add("fleet_messages_sent", 1)
			continue
		}
		if conn != nil {
			_ = conn.Close()
			conn = nil
		}
		wait := retry.NextBackOff()
		notBefore = time.Now().Add(wait/2 + time.Duration(rng.Int64N(int64(wait/2)+1)))
		l.countDropped(p, 1)
		if ctx.Err() == nil {
			l.linkLost(p, err)
		}
	}
}

// linkLost records that a link is down, and logs the first failure only.
func (l *Link) linkLost(p *peer, err error) {
	p.mu.Lock()
	first := p.status.Connected || p.status.LastFault == ""
	p.status.Connected, p.status.LastFault = false, err.Error()
	p.mu.Unlock()
	if first {
		l.cfg.Log.WithError(err).WithField("router", p.Name).Warn("fleet link lost")
	}
}

// sendFrame writes a frame and waits for its acknowledgement.
func (l *Link) sendFrame(conn net.Conn, frame []byte) error {
	if err := conn.SetDeadline(time.Now().Add(l.cfg.Timeout)); err != nil {
		return fmt.Errorf("send a frame: %w", err)
	}
	if _, err := conn.Write(frame); err != nil {
		return fmt.Errorf("send a frame: %w", err)
	}
	var got [1]byte
	if _, err := io.ReadFull(conn, got[:]); err != nil {
		return fmt.Errorf("wait for a frame to be taken: %w", err)
	}
	if got[0] != ack {
		return fmt.Errorf("%w: acknowledged with %#x", ErrFrame, got[0])
	}
	return nil
}

// Serve accepts other routers' connections until the listener is closed.
func (l *Link) Serve(listener net.Listener) error {
	maxConns := 2*len(l.peers) + 8
	accepter := accepting.Resilient(listener, func(error) { l.cfg.Counters.Add("accepts_failed", 1) })
	for {
		c, err := accepter.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("accept a connection of a router: %w", err)
		}
		l.mu.Lock()
		full := len(l.accepted) >= maxConns
		if !full {
			l.accepted[c] = true
		}
		l.mu.Unlock()
		if full {
			l.cfg.Counters.Add("fleet_connections_turned_away", 1)
			_ = c.Close()
			continue
		}
		go l.receiveLoop(c)
	}
}

// Close closes the connections that other routers opened.
func (l *Link) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.accepted {
		_ = c.Close()
	}
}

func (l *Link) receiveLoop(c net.Conn) {
	defer func() {
		_ = c.Close()
		l.mu.Lock()
		delete(l.accepted, c)
		l.mu.Unlock()
	}()
	br := bufio.NewReader(c)
	for {
		if err := c.SetReadDeadline(time.Now().Add(idleTimeout)); err != nil {
			return
		}
		if _, err := br.Peek(1); err != nil {
			return
		}
		// The rest of a frame must follow within Timeout, so that an incomplete frame does not occupy
		// a connection.
		if err := c.SetReadDeadline(time.Now().Add(l.cfg.Timeout)); err != nil {
			return
		}
		e, err := Decode(br)
		if err != nil && !errors.Is(err, ErrMessage) {
			l.logRefused(c, err)
			return
		}
		if err == nil {
			err = l.check(&e)
		}
		if err != nil {
			l.logRefused(c, err)
		} else {
			l.peers[e.From].update(func(s *Status) { s.Received++; s.receivedAt = time.Now() })
			l.cfg.Counters.Add("fleet_messages_heard", 1)
			l.cfg.Receive(e)
		}
		if err := c.SetWriteDeadline(time.Now().Add(l.cfg.Timeout)); err != nil {
			return
		}
		if _, err := c.Write([]byte{ack}); err != nil {
			return
		}
	}
}

// check rejects messages for another fleet or router or from an unknown router, and removes parts
// whose stated origin is not the sender.
func (l *Link) check(e *Envelope) error {
	switch {
	case e.Fleet != l.cfg.Fleet:
		return fmt.Errorf("%w: for fleet %.40q", ErrMessage, e.Fleet)
	case e.To != l.cfg.Self:
		return fmt.Errorf("%w: for router %.40q", ErrMessage, e.To)
	case l.peers[e.From] == nil:
		return fmt.Errorf("%w: from unknown router %.40q", ErrMessage, e.From)
	}
	e.DropForged()
	return nil
}

func (l *Link) logRefused(c net.Conn, err error) {
	l.cfg.Counters.Add("fleet_messages_refused", 1)
	l.cfg.Log.WithError(err).WithField("from", c.RemoteAddr().String()).Debug("fleet message refused")
}

// Statuses returns the state of all links, ordered by the name of the peer.
func (l *Link) Statuses() []Status {
	out := make([]Status, 0, len(l.peers))
	for _, p := range l.peers {
		p.mu.Lock()
		s := p.status
		p.mu.Unlock()
		s.SinceAcked, s.SinceReceived = since(s.ackedAt), since(s.receivedAt)
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b Status) int { return strings.Compare(a.Name, b.Name) })
	return out
}

func since(t time.Time) time.Duration {
	if t.IsZero() {
		return -1
	}
	return time.Since(t)
}
