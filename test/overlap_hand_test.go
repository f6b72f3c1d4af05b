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
	// consoleTimeout is the time limit for the console to answer an operator.
	consoleTimeout      = time.Second
	resumeRetryInterval = 50 * time.Millisecond
	// resumeTimeout is the time limit for a resume to succeed, with retries.
	resumeTimeout      = 15 * time.Second
	startFaultDuration = 300 * time.Millisecond
	// crowdSize is the number of idle clients in a crowd, which exceeds a router's descriptors.
	crowdSize = overlapSockets + 50
)

// failStart makes the creation of sockets fail for startFaultDuration in every second start.
func (o *overlapRouter) failStart(calls *syscalls.Faults) {
	if o.starts.Add(1)%2 == 1 {
		return
	}
	until := time.Now().Add(startFaultDuration)
	calls.Set(func(call int) syscalls.Fault {
		if time.Now().After(until) || call != syscalls.Socket && call != syscalls.Bind {
			return syscalls.Fault{}
		}
		return syscalls.Fault{Errno: syscall.ENOBUFS}
	})
}

// errNoConsole reports that no console answered: the process was just starting or ending.
var errNoConsole = errors.New("no console answers")

// callConsole makes an operator's call to the console of the router's newest process.
func (o *overlapRouter) callConsole(worker, verb string) (status int, err error) {
	o.mu.Lock()
	p, console := o.proc, o.console
	o.mu.Unlock()
	kills, from := o.kills.Load(), time.Now()
	conn, err := net.DialTimeout("tcp", console, consoleTimeout)
	if err != nil {
		return 0, errNoConsole
	}
	defer conn.Close()
	_ = conn.SetDeadline(from.Add(2 * consoleTimeout))
	if _, err := io.WriteString(conn, fmt.Sprintf("POST /v1/workers/%s/%s HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", worker, verb)); err != nil {
		return 0, errNoConsole
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if took := time.Since(from); took > consoleTimeout+overlapTolerance && o.kills.Load() == kills && o.termAt.Load() == 0 {
		o.rig.fault("%s: an operator's call took %v", o.name, took)
	}
	if now, _, _ := o.process(); err != nil && now == p && o.kills.Load() == kills && o.termAt.Load() == 0 && o.crowds.Load() == 0 {
		o.rig.fault("%s: an operator's call had no answer: %v", o.name, err)
	}
	if err != nil {
		return 0, errNoConsole
	}
	return resp.StatusCode, nil
}

// suspendAndResume suspends a worker at a router and resumes it later, whatever happens to the
// router meanwhile.
func (r *overlapRig) suspendAndResume(rng *rand.Rand) bool {
	o, k := r.routers[rng.IntN(len(r.routers))], r.workers[rng.IntN(len(r.workers))]
	if !k.suspension.TryLock() {
		return false
	}
	defer k.suspension.Unlock()
	if status, err := o.callConsole(k.name, "suspend"); err == nil && status == http.StatusOK {
		r.judge.Suspended(o.name, k.name, time.Now())
	} else if err == nil && status == http.StatusNotFound {
		r.fault("%s: suspend answered that %s was never listed", o.name, k.name)
	}
	time.Sleep(randomDuration(rng, 4*time.Second))
	r.judge.Resumed(o.name, k.name)
	for until := time.Now().Add(resumeTimeout); ; time.Sleep(resumeRetryInterval) {
		status, err := o.callConsole(k.name, "resume")
		if err == nil && status == http.StatusOK {
			return true
		}
		if time.Now().After(until) {
			r.fault("%s: %s could not be resumed: status %d, %v", o.name, k.name, status, err)
			return true
		}
	}
}

// crowd opens idle connections that use up a router's descriptors for a while.
func (r *overlapRig) crowd(rng *rand.Rand) bool {
	o := r.routers[rng.IntN(len(r.routers))]
	o.crowds.Add(1)
	defer time.AfterFunc(overlapTolerance, func() { o.crowds.Add(-1) })
	var idle []net.Conn
	for range crowdSize {
		conn, err := net.DialTimeout("tcp", o.addr, overlapTolerance)
		if err != nil {
			break
		}
		idle = append(idle, conn)
	}
	time.Sleep(randomDuration(rng, time.Second))
	for _, conn := range idle {
		_ = conn.Close()
	}
	return len(idle) > 0
}
