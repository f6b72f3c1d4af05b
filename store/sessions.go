package store

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"
)

// sessions holds when each session was last heard of. Only the leader keeps it:
// a new one gives every session its whole time-out again.
type sessions struct {
	mu   sync.Mutex
	seen map[string]time.Time
}

// lookShare of the shortest time-out is how often the leader looks for lost sessions.
const (
	lookShare = 4
	lookMost  = time.Second
	lookLeast = 10 * time.Millisecond
)

// Touch says that a session's owner is alive.
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
	if r.sessions.seen != nil {
		r.sessions.seen[id] = time.Now()
	}
	return nil
}

// watchSessions ends the sessions whose owners are silent, while this is the leader.
func (r *Replica) watchSessions(ctx context.Context) {
	defer close(r.stopped)
	next := lookLeast
	for {
		select {
		case <-time.After(next):
		case <-ctx.Done():
			return
		}
		if !r.IsLeader() {
			r.sessions.mu.Lock()
			r.sessions.seen = nil
			r.sessions.mu.Unlock()
			continue
		}
		var lost []string
		lost, next = r.lostSessions(time.Now())
		for _, id := range lost {
			if err := r.EndSession(id); err != nil && !errors.Is(err, ErrNoSession) {
				break // no longer the leader: the next one sees to it
			}
		}
	}
}

// lostSessions returns those past their time-out, and when to look again.
func (r *Replica) lostSessions(now time.Time) (lost []string, next time.Duration) {
	r.machine.mu.RLock()
	defer r.machine.mu.RUnlock()
	r.sessions.mu.Lock()
	defer r.sessions.mu.Unlock()
	if r.sessions.seen == nil {
		r.sessions.seen = map[string]time.Time{}
	}
	next = lookMost
	for id, timeout := range r.machine.tree.Sessions {
		seen, ok := r.sessions.seen[id]
		switch {
		case !ok:
			r.sessions.seen[id] = now
		case now.Sub(seen) > timeout:
			lost = append(lost, id)
		}
		next = min(next, timeout/lookShare)
	}
	for id := range r.sessions.seen {
		if _, ok := r.machine.tree.Sessions[id]; !ok {
			delete(r.sessions.seen, id)
		}
	}
	return lost, max(next, lookLeast)
}
