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

// Core is who is told of the workers; router.Core is one.
type Core interface {
	Discovered(members []router.Member, whole bool)
}

// Names turns the platform's names into its numbers.
type Names interface {
	// Number returns false for a name that the platform does not have.
	Number(what, name string) (int, bool)
}

// mostLines bounds what is logged of one report's changes.
const mostLines = 20

// remotePace is how often a store without a replica here is looked at.
const remotePace = time.Second

// Feed keeps one front's core up to date with what its sources say.
type Feed struct {
	front    string
	core     Core
	log      logrus.FieldLogger
	names    Names                // nil: the front knows neither zones nor kinds
	registry storesource.Registry // nil: this router holds no replica

	// Took is told of each report that was taken, by its source: its version, which is the source's own count or, with own
	// false, one more than the last. It is to be set before Apply, and must return at once.
	Took func(source string, version uint64, own bool)

	serving atomic.Int64

	mu      sync.Mutex
	set     *membership.Set
	ids     router.ServerIDs
	ports   map[string]*Port
	timer   *time.Timer
	due     time.Time
	changed chan struct{} // closed at the next change; nil if nobody waits
}

// NewFeed returns a feed without sources. Registry and names may be nil.
func NewFeed(front string, core Core, registry storesource.Registry, names Names, log logrus.FieldLogger) *Feed {
	set, err := membership.New()
	if err != nil {
		panic(err) // no source can't be wrong
	}
	f := &Feed{front: front, core: core, registry: registry, names: names, log: log.WithField("front", front), set: set, ports: map[string]*Port{}}
	core.Discovered(nil, true)
	return f
}

// Port is where one source reports. A port that was closed drops what comes.
type Port struct {
	feed   *Feed
	name   string
	config Source
	stop   context.CancelFunc // of the source that runs behind it
	failed bool
	warned map[string]bool
	taken  uint64 // reports
}

// plan is a source that is ready to run; run is nil where somebody else speaks.
type plan struct {
	source Source
	run    func(context.Context, *Port)
}

// Apply goes over to the sources of a configuration, all of them or, with an
// error, none. What runs already and has not changed goes on; the workers of one
// that has stay until the new one speaks. Sources run until ctx ends.
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
	f.tell(changes, false)
	old := f.ports
	f.ports = map[string]*Port{}
	for _, p := range plans {
		name := p.source.Name
		if port := old[name]; port != nil && reflect.DeepEqual(port.config, p.source) {
			f.ports[name] = port
			delete(old, name)
			continue
		}
		port := &Port{feed: f, name: name, config: p.source, stop: func() {}, warned: map[string]bool{}}
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

// Check tells whether Apply would take the sources.
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

// prepare makes a source ready, so that nothing can go wrong once the first one runs.
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
			return nil, c.Bad(s.Name, n.key, n.name, "the front "+f.front+" knows none")
		}
		var ok bool
		if *n.to, ok = f.names.Number(n.what, n.name); !ok {
			return nil, c.Bad(s.Name, n.key, n.name, "is not among the platform's settings")
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
			registry = storesource.Remote{Client: store.NewClient(s.API...), Pace: remotePace}
		}
		if registry == nil {
			return nil, c.Bad(s.Name, "api", s.API, "this router holds no replica of the store, and no other one is named")
		}
		source := storesource.New(registry, s.Path, template)
		return func(ctx context.Context, p *Port) { source.Run(ctx, p) }, nil
	case KindZK:
		source := zksource.New(s.zookeeper(), template)
		return func(ctx context.Context, p *Port) { source.Run(ctx, p) }, nil
	case KindList:
		report := membership.Report{Whole: true, Final: true}
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

// Own is the port of the front's own list, nil where the feed has none.
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

// Ready tells whether any worker may be sent something new.
func (f *Feed) Ready() bool { return f.serving.Load() > 0 }

// View is all that is known, and a channel that is closed at the next change.
func (f *Feed) View() ([]membership.SourceView, []membership.WorkerView, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.changed == nil {
		f.changed = make(chan struct{})
	}
	return f.set.Sources(), f.set.Workers(), f.changed
}

// Report takes what the source says. The core knows of it when it returns.
func (p *Port) Report(r membership.Report) { p.report(r, nil) }

// report is Report; news tells that the source's list was up to date before, where that is known.
func (p *Port) report(r membership.Report, news *bool) {
	f := p.feed
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ports[p.name] != p {
		return
	}
	r.Source = p.name
	changes, problems, err := f.set.Report(time.Now(), r)
	if news == nil {
		before := p.taken > 0
		news = &before
	}
	f.tell(changes, *news)
	for _, problem := range problems {
		p.warn(problem)
	}
	if err != nil {
		f.log.WithField("source", p.name).WithError(err).Warn("report not taken")
	} else if p.taken++; f.Took != nil && r.Version > 0 {
		f.Took(p.name, r.Version, true)
	} else if f.Took != nil {
		f.Took(p.name, p.taken, false)
	}
	if p.failed {
		p.failed = false
		f.log.WithField("source", p.name).Info("source works again")
	}
}

// Fail notes that the source can't be read.
func (p *Port) Fail(fault error) {
	f := p.feed
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ports[p.name] != p {
		return
	}
	level := logrus.WarnLevel
	if p.failed {
		level = logrus.DebugLevel // told already
	}
	p.failed = true
	f.log.WithField("source", p.name).WithError(fault).Log(level, "source failed, its workers stay")
	f.tell(f.set.Fail(time.Now(), p.name, fault.Error()), false)
}

// Warn notes what is odd in what the source says.
func (p *Port) Warn(odd error) {
	p.feed.mu.Lock()
	defer p.feed.mu.Unlock()
	p.warn(odd)
}

// mostWarnings bounds how many different ones are remembered, each told once.
const mostWarnings = 256

func (p *Port) warn(odd error) {
	level := logrus.WarnLevel
	if p.warned[odd.Error()] {
		level = logrus.DebugLevel
	}
	if len(p.warned) >= mostWarnings {
		clear(p.warned)
	}
	p.warned[odd.Error()] = true
	p.feed.log.WithField("source", p.name).WithError(odd).Log(level, "source says what makes no sense")
}

// Discovered takes a list in the form that a core does, where no start means long ago.
func (p *Port) Discovered(members []router.Member, whole bool) {
	r, news := membership.Report{Whole: whole}, false
	for _, m := range members {
		news = news || m.PreviousListCurrent
		e := membership.Entry{Name: m.Name, Addr: m.Addr, Weight: m.Weight, Cell: m.Cell, Zone: m.Zone, Kind: m.Kind, Since: max(int64(m.Since), membership.LongAgo)}
		switch m.Health {
		case logic.Draining:
			e.Word = membership.Draining
		case logic.Gone:
			e.Word = membership.Gone
		}
		r.Entries = append(r.Entries, e)
	}
	p.report(r, &news)
}

// tell hands changes to the core, and sets the timer for what comes due next. News tells that who told of the changes had
// told a list before.
func (f *Feed) tell(changes []membership.Change, news bool) {
	if len(changes) > 0 {
		members := make([]router.Member, 0, len(changes))
		for _, c := range changes {
			members = append(members, f.member(c, news))
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
	if !ok || next.Equal(f.due) {
		return
	}
	f.due = next
	if f.timer != nil {
		f.timer.Stop()
	}
	f.timer = time.AfterFunc(time.Until(next), f.advance)
}

func (f *Feed) advance() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.due = time.Time{}
	f.tell(f.set.Advance(time.Now()), false)
}

func (f *Feed) member(c membership.Change, news bool) router.Member {
	m := c.Member
	out := router.Member{Name: m.Name, Addr: m.Addr, PreviousListCurrent: news, Member: logic.Member{Server: f.ids.ID(m.Name), Weight: m.Weight,
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
	if i > mostLines {
		return
	}
	if i == mostLines {
		f.log.WithField("more", of-i).Info("workers changed")
		return
	}
	f.log.WithFields(logrus.Fields{"worker": c.Member.Name, "addr": c.Member.Addr, "change": c.Kind.String(),
		"draining": c.Member.Draining, "reason": c.Reason.String(), "source": c.Source}).Info("worker changed")
}
