// Package link stands between two processes as a TCP relay that can be told to lose,
// delay or hold what passes, one way or both, or to cut all connections.
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

// Fault is what happens to what passes. The zero value passes all on.
type Fault struct {
	Refuse bool          // new connections are closed at once
	Drop   [2]bool       // bytes vanish on their way there, back; connections stay open
	Delay  time.Duration // bytes are late by so much, either way
	// Vanish makes the far end a machine that is gone: what is sent to it is not even acknowledged by its system, its
	// connections stay open and silent, and new ones don't come up.
	Vanish bool
	// Heals, beside Vanish, makes the far end come back as it was: what it sends meanwhile is late and not lost, as TCP sends it
	// again.
	Heals bool
	// Pieces passes bytes on a few at a time, either way, as small writes over a slow link come.
	Pieces bool
}

// fromFarEnd is the way back.
const fromFarEnd = 1

const (
	mostPiece  = 64 // bytes, or
	mostPieces = 32 // such a part of what came together
	pieceEvery = 200 * time.Microsecond
)

// Relay passes connections on to one address.
type Relay struct {
	listener net.Listener
	to       string

	mu    sync.Mutex
	fault Fault
	next  chan struct{} // closed when another fault is set
	conns map[net.Conn]bool
	near  map[net.Conn]bool // of them, those that were accepted
	mute  map[net.Conn]bool // of conns, those that pass nothing any more
}

// New starts a relay at an address of its own; Close ends it.
func New(to string) (*Relay, error) {
	var plain net.ListenConfig
	plain.SetMultipathTCP(false) // Go's default, whose sockets take no filter
	l, err := plain.Listen(context.Background(), "tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: l, to: to, next: make(chan struct{}), conns: map[net.Conn]bool{}, near: map[net.Conn]bool{}, mute: map[net.Conn]bool{}}
	go r.serve()
	return r, nil
}

// Addr is where the relay listens.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// CanVanish tells why this system lets no relay of this user's play a machine that has vanished; nil if it does. Some kernels
// let only a privileged process attach a filter to a socket.
func CanVanish() error {
	r, err := New("127.0.0.1:0")
	if err != nil {
		return err
	}
	defer r.Close()
	return deafen(r.listener, true)
}

// Set makes a fault begin, or with its zero value end. It panics where the far end can't vanish (CanVanish): bytes that were
// taken and dropped instead would be acknowledged, which is another fault.
func (r *Relay) Set(f Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if f.Vanish && !f.Heals {
		f.Drop = [2]bool{true, true}
	}
	if f.Vanish != r.fault.Vanish {
		must(deafen(r.listener, f.Vanish))
		for c := range r.near {
			if err := deafen(c, f.Vanish); !errors.Is(err, net.ErrClosed) {
				must(err)
			}
		}
	}
	r.fault = f
	close(r.next)
	r.next = make(chan struct{})
}

// waitHealed waits while what the far end sends is late.
func (r *Relay) waitHealed(way int) {
	for {
		r.mu.Lock()
		f, next := r.fault, r.next
		r.mu.Unlock()
		if way != fromFarEnd || !f.Vanish || !f.Heals {
			return
		}
		<-next
	}
}

func must(err error) {
	if err != nil {
		panic(fmt.Errorf("link: a far end that vanishes: %w", err))
	}
}

// deafen makes the system drop all that comes for a socket before it is looked at, or no more.
func deafen(socket any, deaf bool) error {
	raw, err := socket.(syscall.Conn).SyscallConn()
	if err != nil {
		return err
	}
	nothing := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 0}}
	cerr := raw.Control(func(fd uintptr) {
		if deaf {
			err = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &nothing[0]})
		} else if err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0); errors.Is(err, unix.ENOENT) {
			err = nil // there was none
		}
	})
	return errors.Join(cerr, err)
}

// Cut closes all connections that pass now.
func (r *Relay) Cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		_ = c.Close()
	}
}

// Silence makes all connections that pass now fall silent: they stay open, and nothing passes on them any more, either way. New ones
// pass all on.
func (r *Relay) Silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		r.mute[c] = true
	}
}

// drops tells whether what comes from a connection is dropped.
func (r *Relay) drops(from net.Conn, way int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fault.Drop[way] || r.mute[from]
}

// Reset resets all connections that pass now; what is under way in them is lost.
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

// Close ends the relay, and what waits in it.
func (r *Relay) Close() {
	if r.now().Heals {
		r.Set(Fault{})
	}
	_ = r.listener.Close()
	r.Cut()
}

func (r *Relay) now() Fault {
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
		if err != nil || r.now().Refuse {
			if c != nil {
				_ = c.Close()
			}
			continue
		}
		go r.pass(c)
	}
}

func (r *Relay) pass(from net.Conn) {
	to, err := net.DialTimeout("tcp4", r.to, time.Second)
	if err != nil {
		_ = from.Close()
		return
	}
	r.mu.Lock()
	r.conns[from], r.conns[to], r.near[from] = true, true, true
	if r.fault.Vanish {
		must(deafen(from, true))
	}
	r.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { r.copy(to, from, 0) })
	both.Go(func() { r.copy(from, to, fromFarEnd) })
	both.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, from)
	delete(r.conns, to)
	delete(r.near, from)
	delete(r.mute, from)
	delete(r.mute, to)
}

func (r *Relay) write(to net.Conn, data []byte) (n int, err error) {
	piece := max(mostPiece, len(data)/mostPieces)
	for r.now().Pieces && len(data) > piece && err == nil {
		n, err = to.Write(data[:piece])
		data = data[n:]
		time.Sleep(pieceEvery)
	}
	if err != nil {
		return n, err
	}
	return to.Write(data)
}

// copy passes one direction on. What is late waits in a queue of its own, so that
// the reading goes on.
func (r *Relay) copy(to, from net.Conn, way int) {
	type piece struct {
		at   time.Time
		data []byte
	}
	queue := make(chan piece, 1024)
	go func() {
		defer to.Close()
		for p := range queue {
			time.Sleep(time.Until(p.at))
			r.waitHealed(way)
			if r.drops(from, way) {
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
			queue <- piece{time.Now().Add(r.now().Delay), buf[:n]}
		}
		if err != nil {
			if err != io.EOF {
				_ = to.Close()
			}
			return
		}
	}
}
