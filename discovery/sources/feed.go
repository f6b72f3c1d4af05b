package sources

import (
	"context"
	"fmt"
	"math/rand/v2"
	"reflect"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"lichenshelf/discovery/dnssrv"
	"lichenshelf/discovery/membership"
	"lichenshelf/discovery/storesource"
	"lichenshelf/discovery/zksource"
	"lichenshelf/logic"
	"lichenshelf/router"
	"lichenshelf/store"
)

// Core is notified of the workers; router.Core is one.
type Core interface {
	Discovered(members []router.Member, whole bool)
}

// Names translates the platform's names into its numbers.
type Names interface {
	// Number returns false for a name that the platform does not have.
	Number(what, name string) (int, bool)
}

// maxLoggedChanges bounds how many changes of one report are logged.
const maxLoggedChanges = 20

// remotePollInterval is how often a remote store is polled.
const remotePollInterval = time.Second

// Feed keeps one front's core up to date with the reports of its sources.
type Feed struct {
	front    string
	core     Core
	log      logrus.FieldLogger
	names    Names                // nil: the front knows neither zones nor kinds
	registry storesource.Registry // nil: this router holds no replica

	// OnReport is called for each report that was applied, with its source and version. The version
	// is the source's own or, with own false, the number of the report. OnReport must be set before
	// Apply and must return at once.
	OnReport func(source string, version uint64, own bool)

	serving atomic.Int64

	mu      sync.Mutex
	set     *membership.Set
	ids     router.ServerIDs
	ports   map[string]*Port
	timer   *time.Timer
	timerAt time.Time
	changed chan struct{} // closed at the next change; nil if no caller waits
}

// NewFeed returns a feed without sources. Registry and names may be nil.
func NewFeed(front string, core Core, registry storesource.Registry, names Names, log logrus.FieldLogger) *Feed {
	set, err := membership.New()
	if err != nil {
		panic(err) // an empty list of sources is always valid
	}
	f := &Feed{front: front, core: core, registry: registry, names: names, log: log.WithField("front", front), set: set, ports: map[string]*Port{}}
	core.Discovered(nil, true)
	return f
}

// Port receives the reports of one source. A closed port drops them.
type Port struct {
	feed        *Feed
	name        string
	config      Source
	stop        context.CancelFunc // stops the source
	failed      bool
	logged      map[string]bool
	reportCount uint64
}

// plan is a source that is ready to run; run is nil if its reports come from outside the feed.
type plan struct {
	source Source
	run    func(context.Context, *Port)
}

// Apply replaces the sources by those of a configuration; on an error it changes nothing. A source
// that runs already and has not changed continues; the workers of one that has changed stay until
// its first new report. Sources run until ctx ends.
func (f *Feed) Apply(ctx context.Context, c *Config, sources []Source) error {
	plans, policies, err := f.plan(c, sources)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	changes, err := f.set.Configure(time.Now(), policies...)
	if err != nil {
		return fmt.Errorf("sources of %s: %w", f.front, err)
	}
	f.applyChanges(changes, false)
	old := f.ports
	f.ports = map[string]*Port{}
	for _, p := range plans {
		name := p.source.Name
		if port := old[name]; port != nil && reflect.DeepEqual(port.config, p.source) {
			f.ports[name] = port
			delete(old, name)
			continue
		}
		port := &Port{feed: f, name: name, config: p.source, stop: func() {}, logged: map[string]bool{}}
		f.ports[name] = port
		if p.run != nil {
			var run context.Context
			run, port.stop = context.WithCancel(ctx)
			go p.run(run, port)
		}
	}
	for _, port := range old {
		port.stop()
	}
	return nil
}

// Check reports whether Apply would accept the sources.
func (f *Feed) Check(c *Config, sources []Source) error {
	_, policies, err := f.plan(c, sources)
	if err == nil {
		_, err = membership.New(policies...)
	}
	return err
}

func (f *Feed) plan(c *Config, sources []Source) (plans []plan, policies []membership.Policy, err error) {
	for _, s := range sources {
		run, err := f.prepare(c, s)
		if err != nil {
			return nil, nil, err
		}
		plans, policies = append(plans, plan{s, run}), append(policies, s.Policy())
	}
	return plans, policies, nil
}

// prepare makes a source ready to run, so that all errors are found before the first source is
// started.
func (f *Feed) prepare(c *Config, s Source) (func(context.Context, *Port), error) {
	template := membership.Entry{Weight: 1, Cell: s.Cell}
	for _, n := range []struct {
		key, what, name string
		to              *int
	}{{"zone", "zone", s.Zone, &template.Zone}, {"machine_type", "kind", s.MachineType, &template.Kind}} {
		if n.name == "" {
			continue
		}
		if f.names == nil {
			return nil, c.SourceError(s.Name, n.key, n.name, "the front "+f.front+" has no names of zones and machine types")
		}
		var ok bool
		if *n.to, ok = f.names.Number(n.what, n.name); !ok {
			return nil, c.SourceError(s.Name, n.key, n.name, "is not among the platform's settings")
		}
	}
	switch s.Kind {
	case KindDNS:
		resolver := dnssrv.NewResolver(s.resolver())
		source := dnssrv.NewSource(resolver, s.lifetimes(), template, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
		return func(ctx context.Context, p *Port) { source.Run(ctx, p) }, nil
	case KindStore:
		registry := f.registry
		if len(s.API) > 0 {
			registry = storesource.Remote{Client: store.NewClient(s.API...), PollInterval: remotePollInterval}
		}
		if registry == nil {
			return nil, c.SourceError(s.Name, "api", s.API, "this router holds no replica of the store, and no other one is named")
		}
		source := storesource.New(registry, s.Path, template)
		return func(ctx context.Context, p *Port) { source.Run(ctx, p) }, nil
	case KindZK:
		source := zksource.New(s.zookeeper(), template)
		return func(ctx context.Context, p *Port) { source.Run(ctx, p) }, nil
	case KindList:
		report := membership.Report{Whole: true, Confirmed: true}
		for _, w := range s.Workers {
			e := s.entry(w)
			e.Zone, e.Kind = template.Zone, template.Kind
			report.Entries = append(report.Entries, e)
		}
		return func(ctx context.Context, p *Port) {
			if ctx.Err() == nil {
				p.Report(report)
			}
		}, nil
	}
	return nil, nil
}

// Own returns the port of the front's own list, nil if the feed has none.
func (f *Feed) Own() *Port {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.ports {
		if p.config.Kind == KindOwn {
			return p
		}
	}
	return nil
}

// Ready reports whether any worker may get new requests.
func (f *Feed) Ready() bool { return f.serving.Load() > 0 }

// View returns the state of all sources and workers, and a channel that is closed at the next
// change.
func (f *Feed) View() ([]membership.SourceView, []membership.WorkerView, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.changed == nil {
		f.changed = make(chan struct{})
	}
	return f.set.Sources(), f.set.Workers(), f.changed
}

// Report applies a report of the source. The core has been notified when it returns.
func (p *Port) Report(r membership.Report) { p.report(r, nil) }

// report is Report. isUpdate states whether the source's list was up to date before; if it is nil,
// that is so if the source has sent a report before.
func (p *Port) report(r membership.Report, isUpdate *bool) {
	f := p.feed
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ports[p.name] != p {
		return
	}
	r.Source = p.name
	changes, problems, err := f.set.Report(time.Now(), r)
	if isUpdate == nil {
		before := p.reportCount > 0
		isUpdate = &before
	}
	f.applyChanges(changes, *isUpdate)
	for _, problem := range problems {
		p.warn(problem)
	}
	if err != nil {
		f.log.WithField("source", p.name).WithError(err).Warn("report rejected")
	} else if p.reportCount++; f.OnReport != nil && r.Version > 0 {
		f.OnReport(p.name, r.Version, true)
	} else if f.OnReport != nil {
		f.OnReport(p.name, p.reportCount, false)
	}
	if p.failed {
		p.failed = false
		f.log.WithField("source", p.name).Info("source works again")
	}
}

// Fail records that the source cannot be read.
func (p *Port) Fail(fault error) {
	f := p.feed
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ports[p.name] != p {
		return
	}
	level := logrus.WarnLevel
	if p.failed {
		level = logrus.DebugLevel // logged already
	}
	p.failed = true
	f.log.WithField("source", p.name).WithError(fault).Log(level, "source failed, its workers stay")
	f.applyChanges(f.set.Fail(time.Now(), p.name, fault.Error()), false)
}

// Warn logs a problem in the source's data.
func (p *Port) Warn(problem error) {
	p.feed.mu.Lock()
	defer p.feed.mu.Unlock()
	p.warn(problem)
}

// maxWarnings bounds how many different warnings are remembered so that each is logged once.
const maxWarnings = 256

func (p *Port) warn(problem error) {
	level := logrus.WarnLevel
	if p.logged[problem.Error()] {
		level = logrus.DebugLevel
	}
	if len(p.logged) >= maxWarnings {
		clear(p.logged)
	}
	p.logged[problem.Error()] = true
	p.feed.log.WithField("source", p.name).WithError(problem).Log(level, "source has invalid data")
}

// Discovered applies a list in the form for a core, in which a start time of 0 means long ago.
func (p *Port) Discovered(members []router.Member, whole bool) {
	r, isUpdate := membership.Report{Whole: whole}, false
	for _, m := range members {
		isUpdate = isUpdate || m.PreviousListCurrent
		e := membership.Entry{Name: m.Name, Addr: m.Addr, Weight: m.Weight, Cell: m.Cell, Zone: m.Zone, Kind: m.Kind, Since: max(int64(m.Since), membership.LongAgo)}
		switch m.Health {
		case logic.Draining:
			e.Status = membership.Draining
		case logic.Gone:
			e.Status = membership.Gone
		}
		r.Entries = append(r.Entries, e)
	}
	p.report(r, &isUpdate)
}

// applyChanges passes changes to the core and sets the timer for the next due action. isUpdate
// states whether the source that caused the changes had sent a list before.
func (f *Feed) applyChanges(changes []membership.Change, isUpdate bool) {
	if len(changes) > 0 {
		members := make([]router.Member, 0, len(changes))
		for _, c := range changes {
			members = append(members, f.member(c, isUpdate))
		}
		f.core.Discovered(members, false)
		f.serving.Store(int64(f.set.Serving()))
		for i, c := range changes {
			if c.Kind == membership.Removed {
				f.ids.Release(c.Member.Name)
			}
			f.logChange(i, len(changes), c)
		}
	}
	if f.changed != nil {
		close(f.changed)
		f.changed = nil
	}
	next, ok := f.set.Next()
	if !ok || next.Equal(f.timerAt) {
		return
	}
	f.timerAt = next
	if f.timer != nil {
		f.timer.Stop()
	}
	f.timer = time.AfterFunc(time.Until(next), f.advance)
}

func (f *Feed) advance() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.timerAt = time.Time{}
	f.applyChanges(f.set.Advance(time.Now()), false)
}

func (f *Feed) member(c membership.Change, isUpdate bool) router.Member {
	m := c.Member
	out := router.Member{Name: m.Name, Addr: m.Addr, PreviousListCurrent: isUpdate, Member: logic.Member{Server: f.ids.ID(m.Name), Weight: m.Weight,
		Cell: m.Cell, Zone: m.Zone, Kind: m.Kind, Since: logic.Time(m.Since)}}
	if m.Since == membership.LongAgo {
		out.Since = 0
	}
	switch {
	case c.Kind == membership.Removed:
		out.Health = logic.Gone
	case m.Draining:
		out.Health = logic.Draining
	}
	return out
}

func (f *Feed) logChange(i, of int, c membership.Change) {
	if i > maxLoggedChanges {
		return
	}
	if i == maxLoggedChanges {
		f.log.WithField("more", of-i).Info("workers changed")
		return
	}
	f.log.WithFields(logrus.Fields{"worker": c.Member.Name, "addr": c.Member.Addr, "change": c.Kind.String(),
		"draining": c.Member.Draining, "reason": c.Reason.String(), "source": c.Source}).Info("worker changed")
}
