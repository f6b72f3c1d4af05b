package daemon

import (
	"context"
	"errors"
	"fmt"
	"path"
	"time"

	"lichenshelf/front/modelapi"
	"lichenshelf/store"
)

const (
	// shutPath is the parent of one node for each slot, which holds the name of its owner.
	shutPath = "/shut"
	// lateWriteTime is how long a write without an answer may still be on its way to the leader.
	lateWriteTime       = 10 * time.Second
	settleRetryInterval = time.Second
)

// shutSlots are the slots in the store that allow routers to be shut out. A router holds one at
// most. A call that fails may have changed the store all the same, at once or up to lateWriteTime
// later: a claim may have taken a slot that nobody would return, and a release that is repeated
// could free a slot that another router has claimed meanwhile. So after such a call the router holds
// no slot until the slots have been read back.
type shutSlots struct {
	client storeClient
	count  int
	held   string // the node of the held slot; empty: none
	// settleAt is when the slots are read back; zero: never, all calls were answered.
	settleAt time.Time
	// lateUntil is the time until which a claim without an answer may still take a slot.
	lateUntil time.Time
}

// newShutSlots also looks for the slots that a previous process of this name has left.
func newShutSlots(client storeClient, count int, now time.Time) *shutSlots {
	return &shutSlots{client: client, count: count, settleAt: now}
}

func (s *shutSlots) path(i int) string { return path.Join(shutPath, fmt.Sprintf("slot-%d", i)) }

// claim claims a free slot, or finds the one that this router already owns. That all slots are taken
// is no error.
func (s *shutSlots) claim(ctx context.Context, now time.Time) error {
	for i := range s.count {
		node := s.path(i)
		err := s.client.CreateAll(ctx, node, []byte(s.client.ID()))
		if errors.Is(err, store.ErrNodeExists) {
			var owned bool
			if owned, err = s.owns(node); err == nil && !owned {
				continue
			}
		}
		if err != nil {
			s.lateUntil = now.Add(lateWriteTime)
			s.settleAt = s.lateUntil
			return err
		}
		s.held = node
		return nil
	}
	return nil
}

// settleDue reports whether it is time to read the slots back.
func (s *shutSlots) settleDue(now time.Time) bool {
	return s != nil && !s.settleAt.IsZero() && !now.Before(s.settleAt)
}

// settle reads the slots back. One that this router owns becomes the held slot, others are released.
// After an error it is due again.
func (s *shutSlots) settle(ctx context.Context, now time.Time) error {
	s.settleAt = now.Add(settleRetryInterval)
	if err := s.client.CatchUp(ctx, modelapi.ConfigName); err != nil {
		return err
	}
	for i := range s.count {
		if err := s.settleSlot(ctx, s.path(i)); err != nil {
			return err
		}
	}
	s.settleAt = time.Time{}
	if now.Before(s.lateUntil) {
		s.settleAt = s.lateUntil
	}
	return nil
}

func (s *shutSlots) settleSlot(ctx context.Context, node string) error {
	owned, err := s.owns(node)
	switch {
	case err != nil || !owned || s.held == node:
		return err
	case s.held == "":
		s.held = node
		return nil
	}
	return s.client.DeleteIfExists(ctx, node)
}

// release releases the held slot. An earlier release without an answer may have been applied, and
// another router may have claimed the slot since: the owner is read after everything in the log.
func (s *shutSlots) release(ctx context.Context, now time.Time) error {
	if s.held == "" {
		return nil
	}
	if err := s.client.CatchUp(ctx, modelapi.ConfigName); err != nil {
		return err
	}
	owned, err := s.owns(s.held)
	if err != nil {
		return err
	}
	node := s.held
	s.held = ""
	if !owned {
		return nil
	}
	if err = s.client.DeleteIfExists(ctx, node); err != nil {
		s.settleAt = now.Add(settleRetryInterval)
	}
	return err
}

// owns reports whether this router owns a slot.
func (s *shutSlots) owns(node string) (bool, error) {
	owner, _, err := s.client.Get(node)
	if errors.Is(err, store.ErrNoNode) {
		return false, nil
	}
	return err == nil && string(owner) == s.client.ID(), err
}
