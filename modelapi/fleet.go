package modelapi

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"lichenshelf/router"
	"lichenshelf/store"
)

// The front's paths in the store.
const (
	BackendsPath = "/backends"        // one node for each backend, ephemeral as a rule
	ConfigPath   = "/config/modelapi" // the text of a file like the front's, which goes before it
)

// Fleet is the list of backends: those of the file and those that have
// registered in the store.
type Fleet struct {
	core    *router.Core
	log     *logrus.Logger
	serving atomic.Int64

	mu         sync.Mutex
	file       []Backend
	registered []Backend
}

// NewFleet returns a list that tells the core of its changes.
func NewFleet(core *router.Core, log *logrus.Logger) *Fleet { return &Fleet{core: core, log: log} }

// Ready tells whether any backend takes requests.
func (f *Fleet) Ready() bool { return f.serving.Load() > 0 }

// SetFile replaces the backends of the file.
func (f *Fleet) SetFile(backends []Backend) error { return f.set(&f.file, backends) }

func (f *Fleet) set(part *[]Backend, backends []Backend) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	old := *part
	*part = backends
	members, err := Members(append(append([]Backend(nil), f.file...), f.registered...))
	if err != nil {
		*part = old
		return fmt.Errorf("list of backends not used: %w", err)
	}
	serving := int64(0)
	for _, b := range append(append([]Backend(nil), f.file...), f.registered...) {
		if !b.Draining {
			serving++
		}
	}
	f.core.Discovered(members, true)
	f.serving.Store(serving)
	return nil
}

// Registry is what the fleet reads of the store.
type Registry interface {
	Get(path string) ([]byte, store.Stat, error)
	Children(path string) ([]string, error)
	Watch(path string) (*store.Watch, error)
}

// Follow keeps to the backends that are registered, until ctx ends.
func (f *Fleet) Follow(ctx context.Context, reg Registry) {
	known := map[string]Backend{}
	for ctx.Err() == nil {
		pass, cancel := context.WithCancel(ctx)
		changed := make(chan struct{}, 1)
		next, err := f.read(pass, reg, known, changed)
		if err == nil {
			err = f.set(&f.registered, values(next))
		}
		if err != nil {
			f.log.WithError(err).Warn("registered backends not taken over, the old list stays")
		} else {
			known = next
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
		cancel()
	}
}

func values(backends map[string]Backend) []Backend {
	var out []Backend
	for _, b := range backends {
		out = append(out, b)
	}
	return out
}

// read lists the registered backends. A watch is set before each read, so that
// no change is missed. What makes no sense leaves that backend as it was.
func (f *Fleet) read(ctx context.Context, reg Registry, known map[string]Backend, changed chan<- struct{}) (map[string]Backend, error) {
	if err := alert(ctx, reg, BackendsPath, changed); err != nil {
		return nil, err
	}
	next := map[string]Backend{}
	names, err := reg.Children(BackendsPath)
	if errors.Is(err, store.ErrNoNode) {
		return next, nil
	}
	if err != nil {
		return nil, fmt.Errorf("list backends: %w", err)
	}
	for _, name := range names {
		path := BackendsPath + "/" + name
		if err := alert(ctx, reg, path, changed); err != nil {
			return nil, err
		}
		data, _, err := reg.Get(path)
		if errors.Is(err, store.ErrNoNode) { // gone since the list was read
			continue
		}
		b := Backend{}
		if err == nil {
			err = json.Unmarshal(data, &b)
		}
		b.Name = name
		if err == nil {
			_, err = Members([]Backend{b})
		}
		if err != nil {
			f.log.WithError(err).WithField("backend", name).Warn("registration makes no sense")
			old, ok := known[name]
			if !ok {
				continue
			}
			b = old
		}
		next[name] = b
	}
	return next, nil
}

// alert sends to changed when the path changes, unless ctx ends first.
func alert(ctx context.Context, reg Registry, path string, changed chan<- struct{}) error {
	w, err := reg.Watch(path)
	if err != nil {
		return fmt.Errorf("watch %s: %w", path, err)
	}
	go func() {
		select {
		case <-w.Changed():
			select {
			case changed <- struct{}{}:
			default: // another change has told already
			}
		case <-ctx.Done():
			w.Stop()
		}
	}()
	return nil
}
