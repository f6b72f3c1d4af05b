package judge

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// Cold says what a worker bears that has just started, as the settings tell it.
type Cold struct {
	Share    float64       // of what it bears when warm, at its start; it grows evenly to all of it
	Within   time.Duration // until it is warm
	Multiple float64       // of what a warm one gets, at which a warm one falls
	Window   time.Duration // in which its attempts are counted
}

// coldStart is a worker's start, and from when on each router counts as told of it.
type coldStart struct {
	worker string
	at     time.Time
	told   map[string]time.Time
}

// arrival is an attempt at a worker.
type arrival struct {
	at     time.Time
	router string
}

// workerRole is a worker in one of its roles: a mixed one has both.
type workerRole struct {
	worker string
	reader bool
}

// Restarted notes that a worker has started anew, and from when on each router counts as told.
func (j *Judge) Restarted(worker string, at time.Time, told map[string]time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.starts = append(j.starts, coldStart{worker, at, told})
}

// mostCold is how many attempts a cold worker bears where the settings allow n.
func mostCold(n float64) float64 {
	if n < 30 {
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}

// overloads finds the starts after which a worker got more than it bears, most of it from routers that had been told. What a
// warm worker bears the settings do not say: it is at least the most that any warm worker of the role got in a window. The lock is held.
func (j *Judge) overloads() {
	most := map[bool]float64{}
	for role, all := range j.arrivals {
		for i := range all {
			if j.cold(role.worker, all[i].at) {
				continue
			}
			most[role.reader] = max(most[role.reader], float64(len(j.window(all, i))))
		}
	}
	for _, s := range j.starts {
		for _, reader := range []bool{true, false} {
			j.overload(s, workerRole{s.worker, reader}, most[reader])
		}
	}
}

// cold tells whether a worker had just started; the lock is held.
func (j *Judge) cold(worker string, at time.Time) bool {
	return slices.ContainsFunc(j.starts, func(s coldStart) bool {
		return s.worker == worker && !at.Before(s.at) && at.Sub(s.at) < j.limits.Cold.Within
	})
}

// overload looks at one start; the lock is held.
func (j *Judge) overload(s coldStart, role workerRole, warm float64) {
	for i, a := range j.arrivals[role] {
		age := a.at.Sub(s.at)
		if age < 0 || age >= j.limits.Cold.Within {
			continue
		}
		warmth := j.limits.Cold.Share + (1-j.limits.Cold.Share)*age.Seconds()/j.limits.Cold.Within.Seconds()
		bound := mostCold(j.limits.Cold.Multiple * warmth * warm)
		got, knew := 0, 0
		for _, b := range j.window(j.arrivals[role], i) {
			if b.at.Before(s.at) {
				continue
			}
			got++
			if told, ok := s.told[b.router]; ok && !b.at.Before(told) {
				knew++
			}
		}
		if float64(got) > bound && 3*knew > 2*got {
			j.broken = append(j.broken, Violation{Failback, "-", fmt.Sprintf("%s got %d attempts in %v, %v after its start; it bears %.1f",
				s.worker, got, j.limits.Cold.Window, age, bound)})
			return
		}
	}
}

// window is the attempts that came in the window that ends with one of them.
func (j *Judge) window(all []arrival, last int) []arrival {
	first := last
	for first > 0 && all[last].at.Sub(all[first-1].at) < j.limits.Cold.Window {
		first--
	}
	return all[first : last+1]
}
