// Package cpushare holds a running process to a part of a core, as a scheduler's quota does: it reads the process's CPU clock and
// stops the process (SIGSTOP) while it is ahead of its quota. No privileges are needed for a process of the same user.
package cpushare

import (
	"errors"
	"fmt"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// lookEvery is how often the CPU clock is read.
	lookEvery = time.Millisecond
	// mostSaved bounds the CPU time that a process which was idle may use at once.
	mostSaved = 5 * time.Millisecond
	// mostStopped bounds how long the process is stopped at once: one that ran ahead since nobody looked in time is not held up for
	// longer than the platform's pages allow for (0.15 s).
	mostStopped = 100 * time.Millisecond
	// schedulerClock asks for the time for which a process has run, as the scheduler counts it (CPUCLOCK_SCHED).
	schedulerClock = 2
)

// Quota holds one process to a part of a core until Lift is called.
type Quota struct {
	pid     int
	share   float64
	done    chan struct{}
	stopped sync.WaitGroup
}

// Hold begins to hold a process to a share of one core, above 0 and up to 1.
func Hold(pid int, share float64) (*Quota, error) {
	if share <= 0 || share > 1 {
		return nil, fmt.Errorf("cpushare: share %g of a core: not above 0 and up to 1", share)
	}
	if _, err := used(pid); err != nil {
		return nil, err
	}
	q := &Quota{pid: pid, share: share, done: make(chan struct{})}
	q.stopped.Go(q.hold)
	return q, nil
}

// Lift ends the quota; the process runs on as it can.
func (q *Quota) Lift() {
	close(q.done)
	q.stopped.Wait()
}

func (q *Quota) hold() {
	defer func() { _ = syscall.Kill(q.pid, syscall.SIGCONT) }()
	look := time.NewTicker(lookEvery)
	defer look.Stop()
	last, err := used(q.pid)
	at, saved, stopped := time.Now(), time.Duration(0), false
	mostOwed := time.Duration(q.share * float64(mostStopped))
	for err == nil {
		select {
		case <-q.done:
			return
		case <-look.C:
		}
		now := time.Now()
		var total time.Duration
		if total, err = used(q.pid); err != nil {
			return
		}
		saved = min(saved+time.Duration(float64(now.Sub(at))*q.share), mostSaved) - (total - last)
		saved = max(saved, -mostOwed)
		at, last = now, total
		switch {
		case saved < 0 && !stopped:
			err, stopped = syscall.Kill(q.pid, syscall.SIGSTOP), true
		case saved >= 0 && stopped:
			err, stopped = syscall.Kill(q.pid, syscall.SIGCONT), false
		}
	}
}

// errGone says that there is no such process.
var errGone = errors.New("cpushare: the process is not there")

// used is the CPU time that a process has taken so far.
func used(pid int) (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(int32(^pid<<3|schedulerClock), &t); err != nil {
		return 0, fmt.Errorf("%w: %d: %w", errGone, pid, err)
	}
	return time.Duration(t.Nano()), nil
}
