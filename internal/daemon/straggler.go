package daemon

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"path"
	"strings"
	"sync"
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

// fence keeps what this router sends back while it may act on what is long over; nil keeps nothing back.
type fence struct {
	mu    sync.Mutex
	fence *straggler.Fence
	start time.Time
}

// newFence returns a fence for a grace. A turn of the looks takes up to actWait longer than they are apart.
func newFence(grace time.Duration) *fence {
	return &fence{fence: straggler.NewFence(grace+actWait, grace, 0), start: time.Now()}
}

// look notes a look that was begun at a time. Told is whether the store answered it: what other routers say may have waited in
// this one's sockets while it was stopped.
func (f *fence) look(lacks uint64, told bool, began time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fence.Update(lacks, told, straggler.Time(began.Sub(f.start)), straggler.Time(time.Since(f.start)))
}

// check is what a core asks before it sends; nil: it need not.
func (f *fence) check() func() bool {
	if f == nil {
		return nil
	}
	return func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.fence.Open(straggler.Time(time.Since(f.start)))
	}
}

// straggling brings this router up where it lies behind the others or the published configuration, or shuts it out.
type straggling struct {
	d       *daemon
	machine *straggler.Machine
	cfg     straggler.Config
	every   time.Duration
	start   time.Time
	view    straggler.View
	slot    string // the node of the slot that is held
	stored  uint64 // the newest configuration that the store has told of
	sure    bool   // the store could be asked at the last look
}

// watchStraggling starts it, where the fleet's file gives a grace.
func (d *daemon) watchStraggling(ctx context.Context, cfg *agent.Config) error {
	c := cfg.Straggler
	if c.Grace.Duration == 0 {
		return nil
	}
	s := &straggling{d: d, start: time.Now(), every: max(c.Grace.Duration/looks, leastLook),
		cfg: straggler.Config{Routers: len(cfg.Routers), Rank: cfg.Rank(), Versions: 1, Grace: c.Grace.Duration, MaxAge: c.MaxAge.Duration,
			MaxShut: c.MaxShut, Rate: c.Rate, Steady: c.Steady.Duration}}
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

// look learns what is newest, of the store and of the other routers. What can't be learnt stays as it was, and grows old.
func (s *straggling) look(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, s.every)
	defer cancel()
	began, sure := time.Now(), false
	at := straggler.Time(began.Sub(s.start))
	s.view.Held = s.d.acts.held()
	if s.d.follow != nil {
		s.view.Held[configPart] = s.d.follow.version() // also where it goes by none that was published
	}
	newest, ago, told := s.d.fleet.Newest()
	if told && ago < s.cfg.Grace {
		s.view.Newest, s.view.ConfirmedAt = newest.Restrict(s.view.Held), max(s.view.ConfirmedAt, at-straggler.Time(ago))
	} else if s.view.Newest == nil {
		s.view.Newest = version.Vector{}
	}
	if s.d.follow != nil && s.d.records.CatchUp(ctx, modelapi.ConfigName) == nil {
		sure = true
		s.stored, s.view.ConfirmedAt = s.d.records.Latest(modelapi.ConfigName).Version, at
	}
	if s.d.follow != nil { // what the store has told stays true while it can't be asked
		s.view.Newest[configPart] = max(s.view.Newest[configPart], s.stored)
	}
	s.sure = sure
	s.d.fence.look(s.view.Held.Lag(s.view.Newest), sure, began)
}

func (s *straggling) slotPath(i int) string { return path.Join(shutPath, fmt.Sprintf("slot-%d", i)) }

// forgetSlots gives back what a process of this name has left.
func (s *straggling) forgetSlots(ctx context.Context) {
	if s.d.records == nil {
		return
	}
	for i := range s.cfg.Slots() {
		text, _, err := s.d.records.Get(s.slotPath(i))
		if err == nil && string(text) == s.d.records.ID() {
			s.drop(ctx, s.slotPath(i))
		}
	}
}

func (s *straggling) drop(ctx context.Context, node string) bool {
	ctx, cancel := context.WithTimeout(ctx, actWait)
	defer cancel()
	if err := s.d.records.DeleteIfExists(ctx, node); err != nil {
		s.d.log.WithError(err).WithField("slot", node).Warn("slot not given back yet")
		return false
	}
	return true
}

// ask takes a slot that is free, or finds that this router has one.
func (s *straggling) ask(ctx context.Context) {
	if s.d.records == nil { // nobody has slots to give; there are the rights
		return
	}
	ctx, cancel := context.WithTimeout(ctx, actWait)
	defer cancel()
	for i := range s.cfg.Slots() {
		node := s.slotPath(i)
		err := s.d.records.CreateAll(ctx, node, []byte(s.d.records.ID()))
		if errors.Is(err, store.ErrNodeExists) {
			if text, _, e := s.d.records.Get(node); e == nil && string(text) == s.d.records.ID() {
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

// bringUp asks anew for what this router lacks: the configuration is tried again, discovery is asked for the difference.
func (s *straggling) bringUp() {
	if s.d.follow != nil && s.view.Held[configPart] < s.view.Newest[configPart] {
		s.d.follow.again()
		if !s.sure { // then others that it could tell have it
			s.d.fleet.RequestText(configPart, s.view.Held[configPart], s.d.follow.give)
		}
	}
	for part, v := range s.view.Newest {
		if s.d.watch != nil && strings.HasPrefix(part, discoveryPart) && s.view.Held[part] < v {
			s.d.watch.Refresh()
		}
	}
}

func (s *straggling) shut(shut bool) {
	for _, f := range s.d.shutters {
		f.Shut(shut)
	}
}

func (s *straggling) act(ctx context.Context, a straggler.Action) {
	log := s.d.log.WithField("newest", s.view.Newest).WithField("held", s.view.Held)
	switch a.Kind {
	case straggler.CatchUp:
		s.bringUp()
	case straggler.RequestSlot:
		s.ask(ctx)
	case straggler.ReturnSlot:
		if s.drop(ctx, s.slot) {
			s.slot, s.view.Slot = "", false
		}
	case straggler.Shut:
		log.WithField("why", a.Why).Error("shut out: this router takes nothing new until it has caught up")
		s.shut(true)
		s.d.acts.shut(audit.ShutOut, a.Why)
	case straggler.Readmit:
		log.Warn("let in again")
		s.d.acts.shut(audit.Readmitted, "")
		s.d.fleet.Renew()
		s.shut(false)
	}
}
