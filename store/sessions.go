package store

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"
)

// sessions holds the time of the last touch of each session. Only the leader keeps it: a new leader
// grants every session its full time-out again.
type sessions struct {
	mu        sync.Mutex
	lastTouch map[string]time.Time
}

// The leader checks for expired sessions checksPerTimeout times within the shortest time-out, at an
// interval between minCheckInterval and maxCheckInterval.
const (
	checksPerTimeout = 4
	maxCheckInterval = time.Second
	minCheckInterval = 10 * time.Millisecond
)

// Touch renews a session whose owner is alive.
func (r *Replica) Touch(id string) error {
	if !r.IsLeader() {
		return ErrNotLeader
	}
	r.machine.mu.RLock()
	_, ok := r.machine.tree.Sessions[id]
	r.machine.mu.RUnlock()
	if !ok {
		return fmt.Errorf("%w: %s", ErrNoSession, id)
	}
	r.sessions.mu.Lock()
	defer r.sessions.mu.Unlock()
	if r.sessions.lastTouch != nil {
		r.sessions.lastTouch[id] = time.Now()
	}
	return nil
}

// expireSessions ends expired sessions while this replica is the leader.
func (r *Replica) expireSessions(ctx context.Context) {
	defer close(r.stopped)
	next := minCheckInterval
	for {
		select {
		case <-time.After(next):
		case <-ctx.Done():
			return
		}
		if !r.IsLeader() {
			r.sessions.mu.Lock()
			r.sessions.lastTouch = nil
			r.sessions.mu.Unlock()
			continue
		}
		var expired []string
		expired, next = r.expiredSessions(time.Now())
		for _, id := range expired {
			if err := r.EndSession(id); err != nil && !errors.Is(err, ErrNoSession) {
				break // no longer the leader: the next leader expires the others
			}
		}
	}
}

// expiredSessions returns the sessions past their time-out, and the delay until the next check.
func (r *Replica) expiredSessions(now time.Time) (expired []string, next time.Duration) {
	r.machine.mu.RLock()
	defer r.machine.mu.RUnlock()
	r.sessions.mu.Lock()
	defer r.sessions.mu.Unlock()
	if r.sessions.lastTouch == nil {
		r.sessions.lastTouch = map[string]time.Time{}
	}
	next = maxCheckInterval
	for id, timeout := range r.machine.tree.Sessions {
		touched, ok := r.sessions.lastTouch[id]
		switch {
		case !ok:
			r.sessions.lastTouch[id] = now
		case now.Sub(touched) > timeout:
			expired = append(expired, id)
		}
		next = min(next, timeout/checksPerTimeout)
	}
	for id := range r.sessions.lastTouch {
		if _, ok := r.machine.tree.Sessions[id]; !ok {
			delete(r.sessions.lastTouch, id)
		}
	}
	return expired, max(next, minCheckInterval)
}
