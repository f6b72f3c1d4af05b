package daemon

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"path"
	"time"

	"lichenshelf/fleet/agent"
	"lichenshelf/fleet/audit"
	"lichenshelf/fleet/straggler"
	"lichenshelf/fleet/version"
	"lichenshelf/front/modelapi"
	"lichenshelf/store"
)

const (
	shutPath  = "/shut" // below it: a node for each slot, that holds the name of who has it
	looks     = 8       // at what is newest, in a grace
	actWait   = 2 * time.Second
	leastLook = 50 * time.Millisecond
)

// straggling brings this router up where it lies behind the published configuration, or shuts
// it out.
type straggling struct {
	d       *daemon
	follow  *published
	machine *straggler.Machine
	cfg     straggler.Config
	every   time.Duration
	start   time.Time
	view    straggler.View
	slot    string // the node of the slot that is held
}

// watchStraggling starts it, where the fleet's file gives a grace.
func (d *daemon) watchStraggling(ctx context.Context, cfg *agent.Config, follow *published) error {
	c := cfg.Straggle
	if c.Grace.Duration == 0 {
		return nil
	}
	s := &straggling{d: d, follow: follow, start: time.Now(), every: max(c.Grace.Duration/looks, leastLook),
		cfg: straggler.Config{Routers: len(cfg.Routers), Rank: cfg.Rank(), Versions: 1, Grace: c.Grace.Duration, MostAge: c.MostAge.Duration,
			MostShut: c.MostShut, Rate: c.Rate, Steady: c.Steady.Duration}}
	var err error
	if s.machine, err = straggler.New(s.cfg, rand.New(rand.NewPCG(uint64(s.start.UnixNano()), uint64(s.cfg.Rank)))); err != nil {
		return fmt.Errorf("%s: %w", d.files.Fleet, err)
	}
	go s.run(ctx)
	return nil
}

func (s *straggling) run(ctx context.Context) {
	s.forgetSlots(ctx) // of a process before this one, which was let in by its end
	tick := time.NewTicker(s.every)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		s.look(ctx)
		now := straggler.Time(time.Since(s.start))
		for _, a := range s.machine.Step(s.view, now) {
			s.act(ctx, a)
		}
	}
}

// look learns what is newest. What can't be learnt stays as it was, and grows old.
func (s *straggling) look(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, s.every)
	defer cancel()
	at := straggler.Time(time.Since(s.start))
	s.view.Held = version.Vector{configPart: s.follow.version()}
	if s.d.replica.CatchUp(ctx) == nil {
		s.view.Newest, s.view.Heard = version.Vector{configPart: s.d.replica.Latest(modelapi.ConfigName).Version}, at
	}
}

func (s *straggling) slotPath(i int) string { return path.Join(shutPath, fmt.Sprintf("slot-%d", i)) }

// forgetSlots gives back what a process of this name has left.
func (s *straggling) forgetSlots(ctx context.Context) {
	for i := range s.cfg.Slots() {
		text, _, err := s.d.replica.Get(s.slotPath(i))
		if err == nil && string(text) == s.d.replica.ID() {
			s.drop(ctx, s.slotPath(i))
		}
	}
}

func (s *straggling) drop(ctx context.Context, node string) bool {
	ctx, cancel := context.WithTimeout(ctx, actWait)
	defer cancel()
	if err := s.d.replica.Drop(ctx, node); err != nil {
		s.d.log.WithError(err).WithField("slot", node).Warn("slot not given back yet")
		return false
	}
	return true
}

// ask takes a slot that is free, or finds that this router has one.
func (s *straggling) ask(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, actWait)
	defer cancel()
	for i := range s.cfg.Slots() {
		node := s.slotPath(i)
		err := s.d.replica.Make(ctx, node, []byte(s.d.replica.ID()))
		if errors.Is(err, store.ErrNodeExists) {
			if text, _, e := s.d.replica.Get(node); e == nil && string(text) == s.d.replica.ID() {
				err = nil // asked for before, and the answer was lost
			}
		}
		if err == nil {
			s.slot, s.view.Slot = node, true
			return
		}
		if !errors.Is(err, store.ErrNodeExists) {
			return
		}
	}
}

func (s *straggling) act(ctx context.Context, a straggler.Action) {
	log := s.d.log.WithField("newest", s.view.Newest[configPart]).WithField("held", s.view.Held[configPart])
	switch a.Kind {
	case straggler.BringUp:
		s.follow.again()
	case straggler.AskSlot:
		s.ask(ctx)
	case straggler.GiveSlot:
		if s.drop(ctx, s.slot) {
			s.slot, s.view.Slot = "", false
		}
	case straggler.Shut:
		log.WithField("why", a.Why).Error("shut out: this router takes nothing new until it has caught up")
		s.follow.front.Shut(true)
		s.d.acts.shut(audit.ShutOut, a.Why)
	case straggler.LetIn:
		log.Warn("let in again")
		s.d.acts.shut(audit.Readmitted, "")
		s.follow.front.Shut(false)
	}
}
