// Package cpushare limits a running process to a share of a CPU core, as a scheduler's quota does:
// it polls the process's CPU clock and stops the process (SIGSTOP) while it has used more than its
// quota. No privileges are needed for a process of the same user.
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
	// pollInterval is how often the CPU clock is read.
	pollInterval = time.Millisecond
	// maxCredit bounds the unused CPU time that an idle process may save up and use at once.
	maxCredit = 5 * time.Millisecond
	// maxStop bounds a single stop of the process. If a delayed poll lets the process overrun its
	// quota, the stop must not exceed the 0.15 s that the documentation of the platform allows for.
	maxStop = 100 * time.Millisecond
	// schedulerClock selects the run time of a process as accounted by the scheduler
	// (CPUCLOCK_SCHED).
	schedulerClock = 2
)

// Quota limits one process to a share of a core until Lift is called.
type Quota struct {
	pid     int
	share   float64
	done    chan struct{}
	stopped sync.WaitGroup
}

// Hold starts limiting a process to a share of one core, above 0 and up to 1.
func Hold(pid int, share float64) (*Quota, error) {
	if share <= 0 || share > 1 {
		return nil, fmt.Errorf("cpushare: share %g of a core is not above 0 and up to 1", share)
	}
	if _, err := cpuTime(pid); err != nil {
		return nil, err
	}
	q := &Quota{pid: pid, share: share, done: make(chan struct{})}
	q.stopped.Go(q.enforce)
	return q, nil
}

// Lift removes the quota; the process continues without a limit.
func (q *Quota) Lift() {
	close(q.done)
	q.stopped.Wait()
}

func (q *Quota) enforce() {
	defer func() { _ = syscall.Kill(q.pid, syscall.SIGCONT) }()
	poll := time.NewTicker(pollInterval)
	defer poll.Stop()
	last, err := cpuTime(q.pid)
	at, credit, stopped := time.Now(), time.Duration(0), false
	maxDebt := time.Duration(q.share * float64(maxStop))
	for err == nil {
		select {
		case <-q.done:
			return
		case <-poll.C:
		}
		now := time.Now()
		var total time.Duration
		if total, err = cpuTime(q.pid); err != nil {
			return
		}
		credit = min(credit+time.Duration(float64(now.Sub(at))*q.share), maxCredit) - (total - last)
		credit = max(credit, -maxDebt)
		at, last = now, total
		switch {
		case credit < 0 && !stopped:
			err, stopped = syscall.Kill(q.pid, syscall.SIGSTOP), true
		case credit >= 0 && stopped:
			err, stopped = syscall.Kill(q.pid, syscall.SIGCONT), false
		}
	}
}

// errNoProcess reports that a process does not exist.
var errNoProcess = errors.New("cpushare: no such process")

// cpuTime returns the CPU time that a process has used so far.
func cpuTime(pid int) (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(int32(^pid<<3|schedulerClock), &t); err != nil {
		return 0, fmt.Errorf("%w: %d: %w", errNoProcess, pid, err)
	}
	return time.Duration(t.Nano()), nil
}
