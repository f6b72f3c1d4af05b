// Package storesource follows the workers that have registered in the
// replicated store: one node for each, below one parent.
package storesource

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"

	"lichenshelf/discovery/membership"
	"lichenshelf/discovery/zkrule"
	"lichenshelf/store"
)

// BackendsPath is where workers register, unless an operator's file says otherwise.
const BackendsPath = "/backends"

// Registry is what is read of the store; a Replica is one, a Remote another.
type Registry interface {
	Get(path string) ([]byte, store.Stat, error)
	Children(path string) ([]string, error)
	// Watch returns a channel that is closed at the path's next change, and a
	// function that ends the watch.
	Watch(path string) (changed <-chan struct{}, stop func(), err error)
}

// Replica is a store's replica in this process.
type Replica struct{ *store.Replica }

// Watch implements Registry.
func (r Replica) Watch(path string) (<-chan struct{}, func(), error) {
	w, err := r.Replica.Watch(path)
	if err != nil {
		return nil, nil, err
	}
	return w.Changed(), w.Stop, nil
}

// settle is how long a read waits for a replica that has started just now.
const settle = 2 * time.Second

// Get implements Registry. A replica that has started just now is waited for: what it has
// may be older than what was acknowledged.
func (r Replica) Get(path string) ([]byte, store.Stat, error) {
	r.wait()
	return r.Replica.Get(path)
}

// Children implements Registry, as Get does.
func (r Replica) Children(path string) ([]string, error) {
	r.wait()
	return r.Replica.Children(path)
}

func (r Replica) wait() {
	if r.Current() {
		return
	}
	select {
	case <-r.CaughtUp():
	case <-time.After(settle):
	}
}

// Remote asks replicas over their API. Its watches are looks at a fixed pace.
type Remote struct {
	Client *store.Client
	Pace   time.Duration
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
	t := time.AfterFunc(r.Pace, func() { close(changed) })
	return changed, func() { t.Stop() }, nil
}

// Sink takes what a source has to say.
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

	known map[string]int64  // the names that are listed, and the version that was read
	stops map[string]func() // of the watches that are set
}

// New returns a source. The template gives what a registration does not tell.
func New(reg Registry, parent string, template membership.Entry) *Source {
	return &Source{reg: reg, parent: parent, template: template, known: map[string]int64{}, stops: map[string]func(){}}
}

const (
	retryMin = 50 * time.Millisecond
	retryMax = 5 * time.Second
)

// Run follows the store until ctx ends. The first report is the whole list, each
// later one what has changed. A node that has vanished is told gone: its session
// has ended or somebody has removed it, and both say something of the worker.
func (s *Source) Run(ctx context.Context, sink Sink) {
	defer func() {
		for _, stop := range s.stops {
			stop()
		}
	}()
	again := backoff.NewExponentialBackOff()
	again.InitialInterval, again.MaxInterval = retryMin, retryMax
	changed := make(chan string)
	report := map[string]membership.Entry{} // what is to be told, by name
	for whole, paths := true, []string{s.parent}; ctx.Err() == nil; {
		err := s.read(ctx, paths, changed, sink, report)
		wait := (<-chan time.Time)(nil)
		if err != nil { // what was read so far is told with the rest
			sink.Fail(err)
			wait = time.After(again.NextBackOff())
		} else {
			if whole || len(report) > 0 {
				sink.Report(membership.Report{Whole: whole, Entries: slices.Collect(maps.Values(report))})
			}
			whole, paths = false, nil
			clear(report)
			again.Reset()
		}
		select {
		case path := <-changed:
			paths = append(paths, path)
		case <-wait:
		case <-ctx.Done():
		}
	}
}

// read takes in what has changed at the paths, the parent's list or a node, and
// adds it to the report.
func (s *Source) read(ctx context.Context, paths []string, changed chan<- string, sink Sink, report map[string]membership.Entry) error {
	for i := 0; i < len(paths); i++ {
		path := paths[i]
		// The watch comes before the read that it guards, so no change is missed.
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
				report[name] = s.gone(name)
			}
		}
	}
	return nil
}

func (s *Source) gone(name string) membership.Entry {
	delete(s.known, name)
	path := s.parent + "/" + name
	if stop := s.stops[path]; stop != nil {
		stop()
		delete(s.stops, path)
	}
	return membership.Entry{Name: name, Word: membership.Gone}
}

// node reads one registration. What makes no sense leaves its worker as it was.
func (s *Source) node(path string, sink Sink) (*membership.Entry, error) {
	name := path[len(s.parent)+1:]
	data, stat, err := s.reg.Get(path)
	_, known := s.known[name]
	switch {
	case errors.Is(err, store.ErrNoNode): // gone since the list was read, or since the watch was set
		if !known {
			return nil, nil
		}
		e := s.gone(name)
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

// watch has the path sent to changed at its next change.
func (s *Source) watch(ctx context.Context, path string, changed chan<- string) error {
	if stop := s.stops[path]; stop != nil {
		stop()
		delete(s.stops, path)
	}
	fired, stop, err := s.reg.Watch(path)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	s.stops[path] = func() { cancel(); stop() }
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

// Parse reads a registration. A weight of 0 stands for none.
func Parse(name string, data []byte, template membership.Entry) (membership.Entry, error) {
	e, err := zkrule.JSON.Parse(name, data, template)
	if e.Weight == 0 {
		e.Weight = template.Weight
	}
	return e, err
}
