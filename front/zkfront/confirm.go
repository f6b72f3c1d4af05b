package zkfront

import (
	"context"
	"errors"
	"time"

	"lichenshelf/internal/transient"
)

// A replica that is cut off from the others keeps its state, in which sessions go on that the
// majority has ended and whose ephemeral nodes it has given to others. So a replica answers a
// client only while it is confirmed: periodically it renews the sessions of its clients at the
// leader, and then catches up with everything that was acknowledged before, which a leader without
// a majority does not allow. Times are read from the monotonic clock, before the question.
//
// Two limits close a connection, whatever its client sends:
//
//   - The replica has not been confirmed for about two thirds of the session's time-out. The client
//     has the rest of it to resume the session at another replica.
//   - The session has not been renewed for its time-out and sessionGrace. The leader ends it no
//     earlier, so no other client holds its nodes while this one is answered.

const (
	// confirmTimeout bounds one confirmation. It is below the shortest session time-out.
	confirmTimeout = 1500 * time.Millisecond
	// checkInterval is how long the connection of a client that sends nothing may stay open too long.
	checkInterval = 50 * time.Millisecond
	// The pauses between confirmations of a client that connects.
	minConfirmPause = 20 * time.Millisecond
	maxConfirmPause = 200 * time.Millisecond
	// unconfirmedShare is the share of a session's time-out for which its connection stays open
	// while the replica is not confirmed, beyond the interval of the confirmations.
	unconfirmedShare = 2.0 / 3
)

var errUnconfirmed = errors.New("replica has no contact with the majority, which may have ended the session")

// confirmSessions periodically renews the sessions with received frames and confirms the replica.
func (s *Server) confirmSessions() {
	defer s.wg.Done()
	s.every(touchInterval, func() {
		ids, present := s.takeActive()
		if !present {
			return
		}
		began := time.Now()
		err := s.confirm(s.ctx, ids)
		if err != nil {
			s.cfg.Log.WithError(err).Debug("sessions not renewed in the store, retrying")
		}
		s.recordConfirmation(ids, began, err)
	})
}

// closeUnconfirmed periodically closes the connections that may not be answered any more. It does
// not wait for a confirmation that is under way.
func (s *Server) closeUnconfirmed() {
	defer s.wg.Done()
	s.every(checkInterval, func() {
		now, closed := time.Now(), 0
		s.mu.Lock()
		for _, c := range s.sessions {
			if s.unconfirmed(c, now) {
				c.close()
				closed++
			}
		}
		s.mu.Unlock()
		if closed > 0 {
			s.cfg.Log.WithError(errUnconfirmed).WithField("connections", closed).Warn("ZooKeeper connections closed")
		}
	})
}

// every calls f at an interval until the server is closed.
func (s *Server) every(interval time.Duration, f func()) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			f()
		case <-s.ctx.Done():
			return
		}
	}
}

// takeActive returns the sessions at this replica with frames since the last call, and whether there
// are any sessions at all.
func (s *Server) takeActive() (ids []string, present bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, c := range s.sessions {
		if c.active.Swap(false) {
			ids = append(ids, id)
		}
	}
	return ids, len(s.sessions) > 0
}

// awaitConfirmation confirms the replica and a session, with retries until ctx ends. It returns when
// the confirmation that succeeded began.
func (s *Server) awaitConfirmation(ctx context.Context, session string) (began time.Time, err error) {
	err = transient.RetryWithBackoff(ctx, minConfirmPause, maxConfirmPause, nil, func() error {
		began = time.Now()
		return s.confirm(ctx, []string{session})
	})
	return began, err
}

// confirm renews sessions at the leader and catches up with it.
func (s *Server) confirm(ctx context.Context, ids []string) error {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	if len(ids) > 0 {
		if err := s.replica.TouchAll(ctx, ids); err != nil {
			return err
		}
	}
	return s.replica.CatchUp(ctx)
}

// recordConfirmation records the end of a confirmation that began at the given time. The sessions of
// one that failed are renewed by the next.
func (s *Server) recordConfirmation(ids []string, began time.Time, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil {
		s.confirmedAt = began
	}
	for _, id := range ids {
		switch c := s.sessions[id]; {
		case c == nil:
		case err != nil:
			c.active.Store(true)
		case began.After(c.renewedAt):
			c.renewedAt = began
		}
	}
}

// unconfirmed reports whether a connection may not be answered any more. The caller holds mu.
func (s *Server) unconfirmed(c *conn, now time.Time) bool {
	limit := time.Duration(unconfirmedShare*float64(c.timeout)) + touchInterval
	return now.Sub(s.confirmedAt) > limit || now.Sub(c.renewedAt) > c.timeout+sessionGrace
}

// checkConfirmed returns errUnconfirmed if the connection may not be answered any more.
func (c *conn) checkConfirmed() error {
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unconfirmed(c, time.Now()) {
		return errUnconfirmed
	}
	return nil
}
