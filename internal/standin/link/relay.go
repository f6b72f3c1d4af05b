// Package link provides a TCP relay between two processes that can drop or delay data in one
// direction or both, hold it back, or close all connections.
package link

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Fault describes a fault of the link. The zero value forwards everything.
type Fault struct {
	Refuse bool          // new connections are closed at once
	Drop   [2]bool       // bytes to, from the far end are dropped; connections stay open
	Delay  time.Duration // bytes are delayed, in both directions
	// Blackhole simulates a far end whose machine has disappeared from the network: its kernel does
	// not even acknowledge what is sent to it, its connections stay open and silent, and new ones
	// are not established.
	Blackhole bool
	// Heals, together with Blackhole, simulates a network cut that heals: data that the far end
	// sends during the fault is delivered late and not lost, since TCP retransmits it.
	Heals bool
	// Pieces forwards bytes in small pieces, in both directions, as small writes over a slow link
	// arrive.
	Pieces bool
}

// fromFarEnd is the direction from the far end; the other direction is 0.
const fromFarEnd = 1

// The size of a piece is 1/maxPieces of the data read at once, but at least minPieceBytes.
const (
	minPieceBytes = 64
	maxPieces     = 32
	pieceInterval = 200 * time.Microsecond
)

// Relay forwards connections to one address.
type Relay struct {
	listener net.Listener
	to       string

	mu           sync.Mutex
	fault        Fault
	faultChanged chan struct{} // closed when another fault is set
	conns        map[net.Conn]bool
	accepted     map[net.Conn]bool // the connections in conns that were accepted, not dialed
	silenced     map[net.Conn]bool // the connections in conns that forward nothing any more
}

// New starts a relay that listens on a free port of 127.0.0.1 and forwards connections to the
// address to. Close stops it.
func New(to string) (*Relay, error) {
	var config net.ListenConfig
	config.SetMultipathTCP(false) // filters can't be attached to multipath sockets, Go's default
	l, err := config.Listen(context.Background(), "tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: l, to: to, faultChanged: make(chan struct{}), conns: map[net.Conn]bool{}, accepted: map[net.Conn]bool{}, silenced: map[net.Conn]bool{}}
	go r.serve()
	return r, nil
}

// Addr returns the address on which the relay listens, as host:port.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// CanBlackhole returns nil if relays of this process support Fault.Blackhole, or else the reason
// why not. Some kernels allow only privileged processes to attach a filter to a socket.
func CanBlackhole() error {
	r, err := New("127.0.0.1:0")
	if err != nil {
		return err
	}
	defer r.Close()
	return dropIncoming(r.listener, true)
}

// Set replaces the current fault; the zero value ends it. Set panics for a fault with Blackhole
// where that is not supported (see CanBlackhole): if the relay read and dropped the bytes instead,
// the kernel would acknowledge them, which is a different fault.
func (r *Relay) Set(f Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if f.Blackhole && !f.Heals {
		f.Drop = [2]bool{true, true}
	}
	if f.Blackhole != r.fault.Blackhole {
		must(dropIncoming(r.listener, f.Blackhole))
		for c := range r.accepted {
			if err := dropIncoming(c, f.Blackhole); !errors.Is(err, net.ErrClosed) {
				must(err)
			}
		}
	}
	r.fault = f
	close(r.faultChanged)
	r.faultChanged = make(chan struct{})
}

// waitHealed blocks while the current fault holds back data in the given direction (see
// Fault.Heals).
func (r *Relay) waitHealed(direction int) {
	for {
		r.mu.Lock()
		f, changed := r.fault, r.faultChanged
		r.mu.Unlock()
		if direction != fromFarEnd || !f.Blackhole || !f.Heals {
			return
		}
		<-changed
	}
}

func must(err error) {
	if err != nil {
		panic(fmt.Errorf("link: attach or detach the socket filter: %w", err))
	}
}

// dropIncoming attaches a filter to a socket, or detaches it. With the filter, the kernel drops all
// incoming packets before TCP processes them.
func dropIncoming(socket any, drop bool) error {
	raw, err := socket.(syscall.Conn).SyscallConn()
	if err != nil {
		return err
	}
	dropAll := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 0}}
	cerr := raw.Control(func(fd uintptr) {
		if drop {
			err = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &dropAll[0]})
		} else if err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0); errors.Is(err, unix.ENOENT) {
			err = nil // no filter was attached
		}
	})
	return errors.Join(cerr, err)
}

// Cut closes all current connections.
func (r *Relay) Cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		_ = c.Close()
	}
}

// Silence stops forwarding on all current connections: they stay open, and data is dropped in both
// directions. New connections are not affected.
func (r *Relay) Silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		r.silenced[c] = true
	}
}

// drops reports whether data received from a connection is dropped.
func (r *Relay) drops(from net.Conn, direction int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fault.Drop[direction] || r.silenced[from]
}

// Reset resets all current connections; data in transit is lost.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

// Close stops the relay and closes its connections. It ends a fault that holds back data.
func (r *Relay) Close() {
	if r.currentFault().Heals {
		r.Set(Fault{})
	}
	_ = r.listener.Close()
	r.Cut()
}

func (r *Relay) currentFault() Fault {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fault
}

func (r *Relay) serve() {
	for {
		c, err := r.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || r.currentFault().Refuse {
			if c != nil {
				_ = c.Close()
			}
			continue
		}
		go r.forward(c)
	}
}

func (r *Relay) forward(from net.Conn) {
	to, err := net.DialTimeout("tcp4", r.to, time.Second)
	if err != nil {
		_ = from.Close()
		return
	}
	r.mu.Lock()
	r.conns[from], r.conns[to], r.accepted[from] = true, true, true
	if r.fault.Blackhole {
		must(dropIncoming(from, true))
	}
	r.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { r.forwardOneWay(to, from, 0) })
	both.Go(func() { r.forwardOneWay(from, to, fromFarEnd) })
	both.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, from)
	delete(r.conns, to)
	delete(r.accepted, from)
	delete(r.silenced, from)
	delete(r.silenced, to)
}

func (r *Relay) write(to net.Conn, data []byte) (n int, err error) {
	piece := max(minPieceBytes, len(data)/maxPieces)
	for r.currentFault().Pieces && len(data) > piece && err == nil {
		n, err = to.Write(data[:piece])
		data = data[n:]
		time.Sleep(pieceInterval)
	}
	if err != nil {
		return n, err
	}
	return to.Write(data)
}

// forwardOneWay forwards one direction of a connection. Delayed data waits in a queue, so that
// reading continues.
func (r *Relay) forwardOneWay(to, from net.Conn, direction int) {
	type piece struct {
		at   time.Time
		data []byte
	}
	queue := make(chan piece, 1024)
	go func() {
		defer to.Close()
		for p := range queue {
			time.Sleep(time.Until(p.at))
			r.waitHealed(direction)
			if r.drops(from, direction) {
				continue
			}
			if _, err := r.write(to, p.data); err != nil {
				_ = from.Close()
			}
		}
	}()
	defer close(queue)
	for {
		buf := make([]byte, 32<<10)
		n, err := from.Read(buf)
		if n > 0 {
			queue <- piece{time.Now().Add(r.currentFault().Delay), buf[:n]}
		}
		if err != nil {
			if err != io.EOF {
				_ = to.Close()
			}
			return
		}
	}
}
