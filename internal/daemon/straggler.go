package daemon

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"lichenshelf/fleet/audit"
	"lichenshelf/fleet/straggler"
	"lichenshelf/fleet/version"
	"lichenshelf/front/modelapi"
)

const (
	pollsPerGrace   = 8 // polls for the newest versions in a grace
	actionTimeout   = 2 * time.Second
	minPollInterval = 50 * time.Millisecond
)

// fence stops this router from sending while it may act on outdated versions. A nil fence allows
// all.
type fence struct {
	mu    sync.Mutex
	fence *straggler.Fence
	start time.Time
}

// newFence returns a fence for a grace. Its window is longer than the grace by actionTimeout,
// because actions can delay the next poll by up to that time.
func newFence(grace time.Duration) *fence {
	return &fence{fence: straggler.NewFence(grace+actionTimeout, grace, 0), start: time.Now()}
}

// recordPoll records a poll that began at the given time. answered reports whether the store
// replied: messages of other routers do not count, as they may have waited in the socket buffers
// while this process was stopped.
func (f *fence) recordPoll(missing uint64, answered bool, began time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fence.Update(missing, answered, straggler.Time(began.Sub(f.start)), straggler.Time(time.Since(f.start)))
}

// sendCheck returns the function that a core calls before it sends, or nil if no check is needed.
func (f *fence) sendCheck() func() bool {
	if f == nil {
		return nil
	}
	return func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.fence.Open(straggler.Time(time.Since(f.start)))
	}
}

// stragglerMonitor brings this router up to date if it lags behind the other routers or the
// published configuration, or shuts it out.
type stragglerMonitor struct {
	d             *daemon
	machine       *straggler.Machine
	cfg           straggler.Config
	interval      time.Duration
	start         time.Time
	view          straggler.View
	slots         *shutSlots // nil without a store
	storeVersion  uint64     // the newest configuration version read from the store
	storeAnswered bool       // whether the store answered the last poll
}

// newStragglerMonitor returns the monitor, or nil if there is no front or the fleet's file sets no
// grace.
func (d *daemon) newStragglerMonitor() (*stragglerMonitor, error) {
	cfg := d.configs.fleet
	if cfg == nil || cfg.Straggler.Grace.Duration == 0 || d.configs.platform == nil && d.configs.modelAPI == nil {
		return nil, nil
	}
	c := cfg.Straggler
	s := &stragglerMonitor{d: d, start: time.Now(), interval: max(c.Grace.Duration/pollsPerGrace, minPollInterval),
		cfg: straggler.Config{Routers: len(cfg.Routers), Rank: cfg.Rank(), Versions: 1, Grace: c.Grace.Duration, MaxAge: c.MaxAge.Duration,
			MaxShut: c.MaxShut, Rate: c.Rate, Steady: c.Steady.Duration}}
	var err error
	if s.machine, err = straggler.New(s.cfg, rand.New(rand.NewPCG(uint64(s.start.UnixNano()), uint64(s.cfg.Rank)))); err != nil {
		return nil, fmt.Errorf("%s: %w", d.files.Fleet, err)
	}
	if d.storeClient != nil {
		s.slots = newShutSlots(d.storeClient, s.cfg.Slots(), s.start)
	}
	return s, nil
}

func (s *stragglerMonitor) run(ctx context.Context) {
	tick := time.NewTicker(s.interval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		s.poll(ctx)
		if s.slots.settleDue(time.Now()) {
			// This may delay the next poll by actionTimeout, and so may the machine's actions.
			s.updateSlots(ctx, "straggler slots not settled yet", s.slots.settle)
			continue
		}
		now := straggler.Time(time.Since(s.start))
		for _, a := range s.machine.Step(s.view, now) {
			s.act(ctx, a)
		}
	}
}

// poll reads the newest versions from the store and the other routers. What cannot be read keeps
// its previous value, and its age grows.
func (s *stragglerMonitor) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, s.interval)
	defer cancel()
	began, answered := time.Now(), false
	at := straggler.Time(began.Sub(s.start))
	s.view.Held = s.d.versionLog.held()
	follower := s.d.follower()
	if follower != nil {
		// Set even if this router uses no published version; the version is 0 then.
		s.view.Held[configPart] = follower.version()
	}
	newest, age, known := s.d.fleet.Newest()
	if known && age < s.cfg.Grace {
		s.view.Newest, s.view.ConfirmedAt = newest.Restrict(s.view.Held), max(s.view.ConfirmedAt, at-straggler.Time(age))
	} else if s.view.Newest == nil {
		s.view.Newest = version.Vector{}
	}
	if follower != nil && s.d.storeClient.CatchUp(ctx, modelapi.ConfigName) == nil {
		answered = true
		s.storeVersion, s.view.ConfirmedAt = s.d.storeClient.Latest(modelapi.ConfigName).Version, at
	}
	// The version read from the store remains valid while the store cannot be reached.
	if follower != nil {
		s.view.Newest[configPart] = max(s.view.Newest[configPart], s.storeVersion)
	}
	s.storeAnswered = answered
	s.d.fence.recordPoll(s.view.Held.Lag(s.view.Newest), answered, began)
}

// updateSlots calls a method of the slots within actionTimeout. Without a store there are no slots;
// routers are shut out by rank alone.
func (s *stragglerMonitor) updateSlots(ctx context.Context, failure string, update func(context.Context, time.Time) error) {
	if s.slots == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, actionTimeout)
	defer cancel()
	if err := update(ctx, time.Now()); err != nil {
		s.d.log.WithError(err).WithField("slot", s.slots.held).Warn(failure)
	}
	s.view.Slot = s.slots.held != ""
}

// catchUp requests the versions that this router lacks: it retries a refused configuration and asks
// discovery for the missing changes.
func (s *stragglerMonitor) catchUp() {
	if follower := s.d.follower(); follower != nil && s.view.Held[configPart] < s.view.Newest[configPart] {
		follower.retryRefused()
		if !s.storeAnswered { // other routers may have reached the store and have the text
			s.d.fleet.RequestText(configPart, s.view.Held[configPart], follower.offer)
		}
	}
	for part, v := range s.view.Newest {
		if s.d.watch != nil && strings.HasPrefix(part, discoveryPart) && s.view.Held[part] < v {
			s.d.watch.Refresh()
		}
	}
}

func (s *stragglerMonitor) act(ctx context.Context, a straggler.Action) {
	log := s.d.log.WithField("newest", s.view.Newest).WithField("held", s.view.Held)
	switch a.Kind {
	case straggler.CatchUp:
		s.catchUp()
	case straggler.RequestSlot:
		s.updateSlots(ctx, "straggler slot not claimed yet", s.slots.claim)
	case straggler.ReturnSlot:
		s.updateSlots(ctx, "straggler slot not released yet", s.slots.release)
	case straggler.Shut:
		log.WithField("why", a.Why).Error("shut out: this router takes nothing new until it has caught up")
		s.d.setShut(true)
		s.d.versionLog.recordShut(audit.ShutOut, a.Why)
	case straggler.Readmit:
		log.Warn("let in again")
		s.d.versionLog.recordShut(audit.Readmitted, "")
		s.d.fleet.Renew()
		s.d.setShut(false)
	}
}
