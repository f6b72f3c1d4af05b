// Package link stands between two processes as a TCP relay that can be told to lose,
// delay or hold what passes, one way or both, or to cut all connections.
package link

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// Fault is what happens to what passes. The zero value passes all on.
type Fault struct {
	Refuse bool          // new connections are closed at once
	Drop   [2]bool       // bytes vanish on their way there, back; connections stay open
	Delay  time.Duration // bytes are late by so much, either way
}

// Relay passes connections on to one address.
type Relay struct {
	listener net.Listener
	to       string

	mu    sync.Mutex
	fault Fault
	conns map[net.Conn]bool
}

// New starts a relay at an address of its own; Close ends it.
func New(to string) (*Relay, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: l, to: to, conns: map[net.Conn]bool{}}
	go r.serve()
	return r, nil
}

// Addr is where the relay listens.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// Set makes a fault begin, or with its zero value end.
func (r *Relay) Set(f Fault) {
	r.mu.Lock()
	r.fault = f
	r.mu.Unlock()
}

// Cut closes all connections that pass now.
func (r *Relay) Cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		_ = c.Close()
	}
}

// Close ends the relay.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.Cut()
}

func (r *Relay) now() Fault {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fault
}

func (r *Relay) keep(c net.Conn, on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if on {
		r.conns[c] = true
	} else {
		delete(r.conns, c)
	}
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
	r.keep(from, true)
	r.keep(to, true)
	var both sync.WaitGroup
	both.Go(func() { r.copy(to, from, 0) })
	both.Go(func() { r.copy(from, to, 1) })
	both.Wait()
	r.keep(from, false)
	r.keep(to, false)
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
			if r.now().Drop[way] {
				continue
			}
			if _, err := to.Write(p.data); err != nil {
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
