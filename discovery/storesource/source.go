// Package storesource follows the workers that have registered in the replicated store: each is one
// node below a common parent.
package storesource

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"lichenshelf/discovery/membership"
	"lichenshelf/discovery/zkrule"
	"lichenshelf/internal/transient"
	"lichenshelf/store"
)

// BackendsPath is the parent node of the registrations unless an operator's file names another.
const BackendsPath = "/backends"

// Registry is the part of the store that a Source reads. Replica and Remote implement it.
type Registry interface {
	Get(path string) ([]byte, store.Stat, error)
	Children(path string) ([]string, error)
	// Watch returns a channel that is closed at the path's next change, and a function that ends
	// the watch.
	Watch(path string) (changed <-chan struct{}, stop func(), err error)
}

// Replica is a replica of the store in this process.
type Replica struct{ *store.Replica }

// Watch implements Registry.
func (r Replica) Watch(path string) (<-chan struct{}, func(), error) {
	w, err := r.Replica.Watch(path)
	if err != nil {
		return nil, nil, err
	}
	return w.Changed(), w.Stop, nil
}

// settleTimeout is how long a read waits for a replica that has just started.
const settleTimeout = 2 * time.Second

// Get implements Registry. It waits for a replica that has just started, whose data may be older
// than what was acknowledged.
func (r Replica) Get(path string) ([]byte, store.Stat, error) {
	r.waitCurrent()
	return r.Replica.Get(path)
}

// Children implements Registry. It waits as Get does.
func (r Replica) Children(path string) ([]string, error) {
	r.waitCurrent()
	return r.Replica.Children(path)
}

func (r Replica) waitCurrent() {
	if r.Current() {
		return
	}
	select {
	case <-r.CaughtUp():
	case <-time.After(settleTimeout):
	}
}

// Remote reads from replicas over their API. Instead of watching, it polls at a fixed interval.
type Remote struct {
	Client       *store.Client
	PollInterval time.Duration
}

// Get implements Registry.
func (r Remote) Get(path string) ([]byte, store.Stat, error) {
	n, err := r.Client.Node(path)
	return []byte(n.Data), n.Stat, err
}

// Children implements Registry.
func (r Remote) Children(path string) ([]string, error) {
	n, err := r.Client.Node(path)
	return n.Children, err
}

// Watch implements Registry.
func (r Remote) Watch(string) (<-chan struct{}, func(), error) {
	changed := make(chan struct{})
	t := time.AfterFunc(r.PollInterval, func() { close(changed) })
	return changed, func() { t.Stop() }, nil
}

// Sink receives the reports of a source.
type Sink interface {
	Report(membership.Report)
	Fail(error)
	Warn(error)
}

// Source follows the nodes below a path.
type Source struct {
	reg      Registry
	parent   string
	template membership.Entry

	known     map[string]int64  // the versions read of the listed nodes, by name
	stopWatch map[string]func() // ends the open watches, by path
}

// New returns a source. The template holds the values that a registration leaves out.
func New(reg Registry, parent string, template membership.Entry) *Source {
	return &Source{reg: reg, parent: parent, template: template, known: map[string]int64{}, stopWatch: map[string]func(){}}
}

const (
	retryMin = 50 * time.Millisecond
	retryMax = 5 * time.Second
)

// Run follows the store until ctx ends. The first report is the whole list, each later one holds
// the changes. A node that no longer exists is reported as Gone: its session has ended or someone
// has removed it, and in both cases the worker is not to be used.
func (s *Source) Run(ctx context.Context, sink Sink) {
	defer func() {
		for _, stop := range s.stopWatch {
			stop()
		}
	}()
	retryBackoff := transient.NewBackoff(retryMin, retryMax)
	changed := make(chan string)
	report := map[string]membership.Entry{} // the next report, by name
	for whole, paths := true, []string{s.parent}; ctx.Err() == nil; {
		err := s.read(ctx, paths, changed, sink, report)
		wait := (<-chan time.Time)(nil)
		if err != nil { // the entries read so far are reported with the rest
			sink.Fail(err)
			wait = time.After(retryBackoff.NextBackOff())
		} else {
			if whole || len(report) > 0 {
				sink.Report(membership.Report{Whole: whole, Entries: slices.Collect(maps.Values(report))})
			}
			whole, paths = false, nil
			clear(report)
			retryBackoff.Reset()
		}
		select {
		case path := <-changed:
			paths = append(paths, path)
		case <-wait:
		case <-ctx.Done():
		}
	}
}

// read reads the changed paths, the parent or nodes below it, and adds the changes to the report.
func (s *Source) read(ctx context.Context, paths []string, changed chan<- string, sink Sink, report map[string]membership.Entry) error {
	for i := 0; i < len(paths); i++ {
		path := paths[i]
		// The watch is set before the read so that no change in between is missed.
		if err := s.watch(ctx, path, changed); err != nil {
			return fmt.Errorf("watch %s: %w", path, err)
		}
		if path != s.parent {
			e, err := s.node(path, sink)
			if err != nil {
				return err
			}
			if e != nil {
				report[e.Name] = *e
			}
			continue
		}
		names, err := s.reg.Children(s.parent)
		if err != nil && !errors.Is(err, store.ErrNoNode) {
			return fmt.Errorf("list %s: %w", s.parent, err)
		}
		listed := map[string]bool{}
		for _, name := range names {
			listed[name] = true
			if _, known := s.known[name]; !known {
				paths = append(paths, s.parent+"/"+name)
			}
		}
		for name := range s.known {
			if !listed[name] {
				report[name] = s.removed(name)
			}
		}
	}
	return nil
}

// removed forgets a node that no longer exists and returns its entry for the report.
func (s *Source) removed(name string) membership.Entry {
	delete(s.known, name)
	path := s.parent + "/" + name
	if stop := s.stopWatch[path]; stop != nil {
		stop()
		delete(s.stopWatch, path)
	}
	return membership.Entry{Name: name, Status: membership.Gone}
}

// node reads one registration. An invalid one leaves its worker unchanged.
func (s *Source) node(path string, sink Sink) (*membership.Entry, error) {
	name := path[len(s.parent)+1:]
	data, stat, err := s.reg.Get(path)
	_, known := s.known[name]
	switch {
	case errors.Is(err, store.ErrNoNode): // removed since the list was read or the watch was set
		if !known {
			return nil, nil
		}
		e := s.removed(name)
		return &e, nil
	case err != nil:
		return nil, fmt.Errorf("read %s: %w", path, err)
	}
	e, err := Parse(name, data, s.template)
	if err != nil {
		sink.Warn(fmt.Errorf("registration %s version %d: %w", path, stat.Version, err))
		return nil, nil
	}
	s.known[name] = stat.Version
	return &e, nil
}

// watch sends the path to changed at its next change.
func (s *Source) watch(ctx context.Context, path string, changed chan<- string) error {
	if stop := s.stopWatch[path]; stop != nil {
		stop()
		delete(s.stopWatch, path)
	}
	fired, stop, err := s.reg.Watch(path)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	s.stopWatch[path] = func() { cancel(); stop() }
	go func() {
		select {
		case <-fired:
			select {
			case changed <- path:
			case <-ctx.Done():
			}
		case <-ctx.Done():
		}
	}()
	return nil
}

// Parse reads a registration. A weight of 0 means that none is stated.
func Parse(name string, data []byte, template membership.Entry) (membership.Entry, error) {
	e, err := zkrule.JSON.Parse(name, data, template)
	if e.Weight == 0 {
		e.Weight = template.Weight
	}
	return e, err
}
