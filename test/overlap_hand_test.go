package test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"syscall"
	"time"

	"lichenshelf/internal/standin/syscalls"
)

const (
	consoleWithin = time.Second // an operator's answer is owed
	handAgain     = 50 * time.Millisecond
	handBack      = 15 * time.Second // for a call back to be answered yes at last
	failsAtStart  = 300 * time.Millisecond
	crowdOf       = overlapSockets + 50 // idle clients
)

// failStart makes each second start meet sockets that can't be had for a moment.
func (o *overlapRouter) failStart(calls *syscalls.Faults) {
	if o.starts.Add(1)%2 == 1 {
		return
	}
	until := time.Now().Add(failsAtStart)
	calls.Set(func(call int) syscalls.Fault {
		if time.Now().After(until) || call != syscalls.Socket && call != syscalls.Bind {
			return syscalls.Fault{}
		}
		return syscalls.Fault{Errno: syscall.ENOBUFS}
	})
}

// errNoConsole is a call that found nobody: the process was just starting or ending.
var errNoConsole = errors.New("no console answers")

// operate makes an operator's call at the router's newest process.
func (o *overlapRouter) operate(worker, verb string) (status int, err error) {
	o.mu.Lock()
	p, hand := o.proc, o.hand
	o.mu.Unlock()
	kills, from := o.kills.Load(), time.Now()
	conn, err := net.DialTimeout("tcp", hand, consoleWithin)
	if err != nil {
		return 0, errNoConsole
	}
	defer conn.Close()
	_ = conn.SetDeadline(from.Add(2 * consoleWithin))
	if _, err := io.WriteString(conn, fmt.Sprintf("POST /v1/workers/%s/%s HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", worker, verb)); err != nil {
		return 0, errNoConsole
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if took := time.Since(from); took > consoleWithin+overlapSlack && o.kills.Load() == kills && o.termAt.Load() == 0 {
		o.rig.fault("%s: an operator waited %v", o.name, took)
	}
	if now, _, _ := o.process(); err != nil && now == p && o.kills.Load() == kills && o.termAt.Load() == 0 && o.crowds.Load() == 0 {
		o.rig.fault("%s: an operator's call had no answer: %v", o.name, err)
	}
	if err != nil {
		return 0, errNoConsole
	}
	return resp.StatusCode, nil
}

// byHand has an operator take a worker out at a router and call it back, whatever happens to the router meanwhile.
func (r *overlapRig) byHand(rng *rand.Rand) bool {
	o, k := r.routers[rng.IntN(len(r.routers))], r.workers[rng.IntN(len(r.workers))]
	if !k.hand.TryLock() {
		return false
	}
	defer k.hand.Unlock()
	if status, err := o.operate(k.name, "suspend"); err == nil && status == http.StatusOK {
		r.judge.Suspended(o.name, k.name, time.Now())
	} else if err == nil && status == http.StatusNotFound {
		r.fault("%s: an operator was told that %s was never listed", o.name, k.name)
	}
	time.Sleep(some(rng, 4*time.Second))
	r.judge.Resumed(o.name, k.name)
	for until := time.Now().Add(handBack); ; time.Sleep(handAgain) {
		status, err := o.operate(k.name, "resume")
		if err == nil && status == http.StatusOK {
			return true
		}
		if time.Now().After(until) {
			r.fault("%s: %s could not be called back: %d, %v", o.name, k.name, status, err)
			return true
		}
	}
}

// crowd has idle clients take all of a router's descriptors for a while.
func (r *overlapRig) crowd(rng *rand.Rand) bool {
	o := r.routers[rng.IntN(len(r.routers))]
	o.crowds.Add(1)
	defer time.AfterFunc(overlapSlack, func() { o.crowds.Add(-1) })
	var idle []net.Conn
	for range crowdOf {
		conn, err := net.DialTimeout("tcp", o.addr, overlapSlack)
		if err != nil {
			break
		}
		idle = append(idle, conn)
	}
	time.Sleep(some(rng, time.Second))
	for _, conn := range idle {
		_ = conn.Close()
	}
	return len(idle) > 0
}
