package daemon

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lichenshelf/store"
)

// slotLog stands in for the log of a store whose answers get lost: a write without an answer was
// applied, was not, or is in the log and is applied before the next entry.
type slotLog struct {
	rt      *rapid.T
	faulty  bool
	owners  map[string]string // of the slots, by node
	pending []func() error
}

func (l *slotLog) applyPending() {
	for _, apply := range l.pending {
		_ = apply()
	}
	l.pending = nil
}

// outcome of a write
const (
	answered = iota
	answerLost
	neverApplied
	appliedLater
	outcomes
)

func (l *slotLog) write(apply func() error) error {
	l.applyPending()
	outcome := answered
	if l.faulty {
		outcome = rapid.IntRange(0, outcomes-1).Draw(l.rt, "outcome")
	}
	switch outcome {
	case answered:
		return apply()
	case answerLost:
		_ = apply()
	case appliedLater:
		l.pending = append(l.pending, apply)
	}
	return store.ErrUnknown
}

// slotClient is one router's access to the log. It implements the part of storeClient that slots
// use.
type slotClient struct {
	storeClient
	id  string
	log *slotLog
}

func (c *slotClient) ID() string { return c.id }

func (c *slotClient) CatchUp(context.Context, string) error {
	if c.log.faulty && rapid.Bool().Draw(c.log.rt, "behind") {
		return store.ErrLagging
	}
	c.log.applyPending()
	return nil
}

func (c *slotClient) Get(node string) ([]byte, store.Stat, error) {
	owner, ok := c.log.owners[node]
	if !ok {
		return nil, store.Stat{}, store.ErrNoNode
	}
	return []byte(owner), store.Stat{}, nil
}

func (c *slotClient) CreateAll(_ context.Context, node string, owner []byte) error {
	return c.log.write(func() error {
		if _, ok := c.log.owners[node]; ok {
			return store.ErrNodeExists
		}
		c.log.owners[node] = string(owner)
		return nil
	})
}

func (c *slotClient) DeleteIfExists(_ context.Context, node string) error {
	return c.log.write(func() error {
		delete(c.log.owners, node)
		return nil
	})
}

// slotUser is a router that needs a slot at times.
type slotUser struct {
	slots *shutSlots
	needs bool
}

func (u *slotUser) step(ctx context.Context, now time.Time) {
	switch {
	case u.slots.settleDue(now):
		_ = u.slots.settle(ctx, now)
	case u.needs && u.slots.held == "":
		_ = u.slots.claim(ctx, now)
	case !u.needs && u.slots.held != "":
		_ = u.slots.release(ctx, now)
	}
}

// Guards against slots that are lost or held twice after a write without an answer: a claim that was
// applied late was never returned, and a release that was repeated freed the slot of the router that
// had claimed it meanwhile.
func TestSlotsSurviveLostAnswers(t *testing.T) {
	const routers, slots = 4, 2
	rapid.Check(t, func(rt *rapid.T) {
		log := &slotLog{rt: rt, faulty: true, owners: map[string]string{}}
		now := time.Unix(0, 0)
		var users []*slotUser
		for i := range routers {
			users = append(users, &slotUser{slots: newShutSlots(&slotClient{id: fmt.Sprint("r", i), log: log}, slots, now)})
		}
		for range rapid.IntRange(1, 80).Draw(rt, "steps") {
			now = now.Add(lateWriteTime / 4)
			u := rapid.SampledFrom(users).Draw(rt, "router")
			u.needs = rapid.Bool().Draw(rt, "needs")
			u.step(t.Context(), now)
			for _, u := range users {
				if held := u.slots.held; held != "" {
					require.Equal(rt, u.slots.client.ID(), log.owners[held], "the slot is its holder's")
				}
			}
		}
		log.faulty = false
		for range 8 {
			now = now.Add(lateWriteTime / 2)
			for _, u := range users {
				u.needs = false
				u.step(t.Context(), now)
			}
		}
		require.Empty(rt, log.owners, "all slots have been returned")
	})
}
