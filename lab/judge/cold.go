package judge

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// Cold describes the load that a worker can handle after its start, with the values of the routers'
// settings.
type Cold struct {
	Share    float64       // part of its warm capacity at the start; grows linearly to all of it
	Within   time.Duration // from the start until the worker is warm
	Multiple float64       // load at which a worker crashes, relative to its capacity
	Window   time.Duration // in which its attempts are counted
}

// coldStart is a worker's start, with the time from which each router counts as informed of it.
type coldStart struct {
	worker   string
	at       time.Time
	informed map[string]time.Time
}

// arrival is an attempt at a worker.
type arrival struct {
	at     time.Time
	router string
}

// workerRole is a worker in one of its roles: a mixed worker has both.
type workerRole struct {
	worker string
	reader bool
}

// Restarted records that a worker has started anew, and from when on each router counts as
// informed.
func (j *Judge) Restarted(worker string, at time.Time, informed map[string]time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.starts = append(j.starts, coldStart{worker, at, informed})
}

// maxColdAttempts returns the limit of attempts at a cold worker for which the settings allow n.
// The margin covers random variation: two standard deviations of a Poisson count, three for small
// n.
func maxColdAttempts(n float64) float64 {
	if n < 30 {
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}

// checkStarts finds the starts after which a worker received more attempts than it can handle,
// most of them from informed routers. The settings do not say how many a warm worker can handle; it
// is at least the highest number that any warm worker of the role received in a window. The caller
// holds the lock.
func (j *Judge) checkStarts() {
	peak := map[bool]float64{}
	for role, all := range j.arrivals {
		for i := range all {
			if j.isCold(role.worker, all[i].at) {
				continue
			}
			peak[role.reader] = max(peak[role.reader], float64(len(j.inWindow(all, i))))
		}
	}
	for _, s := range j.starts {
		for _, reader := range []bool{true, false} {
			j.checkStart(s, workerRole{s.worker, reader}, peak[reader])
		}
	}
}

// isCold reports whether a worker was not warm yet at a time. The caller holds the lock.
func (j *Judge) isCold(worker string, at time.Time) bool {
	return slices.ContainsFunc(j.starts, func(s coldStart) bool {
		return s.worker == worker && !at.Before(s.at) && at.Sub(s.at) < j.limits.Cold.Within
	})
}

// checkStart checks one start. A violation needs more than two thirds of the window's attempts to
// come from informed routers. The caller holds the lock.
func (j *Judge) checkStart(s coldStart, role workerRole, warm float64) {
	for i, a := range j.arrivals[role] {
		age := a.at.Sub(s.at)
		if age < 0 || age >= j.limits.Cold.Within {
			continue
		}
		warmth := j.limits.Cold.Share + (1-j.limits.Cold.Share)*age.Seconds()/j.limits.Cold.Within.Seconds()
		bound := maxColdAttempts(j.limits.Cold.Multiple * warmth * warm)
		got, fromInformed := 0, 0
		for _, b := range j.inWindow(j.arrivals[role], i) {
			if b.at.Before(s.at) {
				continue
			}
			got++
			if informed, ok := s.informed[b.router]; ok && !b.at.Before(informed) {
				fromInformed++
			}
		}
		if float64(got) > bound && 3*fromInformed > 2*got {
			j.violations = append(j.violations, Violation{Failback, "-", fmt.Sprintf("%s got %d attempts in %v, %v after its start; its limit is %.1f",
				s.worker, got, j.limits.Cold.Window, age, bound)})
			return
		}
	}
}

// inWindow returns the attempts in the window that ends with attempt last.
func (j *Judge) inWindow(all []arrival, last int) []arrival {
	first := last
	for first > 0 && all[last].at.Sub(all[first-1].at) < j.limits.Cold.Window {
		first--
	}
	return all[first : last+1]
}
