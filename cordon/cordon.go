// Package cordon lets operators suspend workers. It sits between discovery and a core, and forwards
// a suspended worker as draining, whatever discovery reports, until an operator resumes it. The set
// of suspended workers is kept in a file, which is shared with the next process and, during an
// upgrade, with the other one.
package cordon

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"lichenshelf/internal/transient"
	"lichenshelf/router"
)

// PollInterval is the interval at which the file is checked for changes by other processes. A
// change has to take effect in another process within 1 s of the call.
const PollInterval = 100 * time.Millisecond

// ErrUnknown means that no list from discovery has ever contained the worker.
var ErrUnknown = errors.New("no list ever held this worker")

// MemberReceiver receives the workers: a core, or a filter in front of one.
type MemberReceiver interface {
	Discovered(members []router.Member, whole bool)
}

// Cordon keeps the set of suspended workers. It is safe for concurrent use.
type Cordon struct {
	gate *Gate
	path string
	log  *logrus.Logger

	mu         sync.Mutex
	version    uint64               // of the set; never decreases
	onChange   func(version uint64) // nil: no callback
	suspended  map[string]bool      // names of the suspended workers
	lastText   []byte               // the file's text as last read or written; nil: no file
	unreadable bool                 // the file could not be read, which has been logged
}

// file is the content of the file.
type file struct {
	Suspended []string `json:"suspended"`
	// Version is incremented with each change; 0 if written by a process without version support.
	Version uint64 `json:"version,omitempty"`
}

// Path returns the path of a router's file in dir. It depends on the router's name, which is the
// same across restarts and upgrades.
func Path(dir, router string) string {
	return filepath.Join(dir, "lichenshelf-suspended-"+router+".json")
}

const (
	readTimeout       = 2 * time.Second // bounds retries of the first read
	readRetryInterval = 20 * time.Millisecond
)

// New returns a cordon in front of next that starts with the set stored at path. A missing file is
// an empty set. So is a file that is invalid or that can't be read within readTimeout, which is
// logged: the router must start all the same.
func New(next MemberReceiver, path string, log *logrus.Logger) *Cordon {
	c := &Cordon{gate: NewGate(next), path: path, log: log, suspended: map[string]bool{}}
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	// The error is logged, and Follow reads the file again.
	_ = transient.Retry(ctx, readRetryInterval, nil, c.reload)
	return c
}

// OnChange registers f to receive the version of the set, now and after each change. f must not
// block.
func (c *Cordon) OnChange(f func(version uint64)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onChange = f
	f(c.version)
}

// parse decodes a set and its version from the file's text.
func parse(text []byte) (map[string]bool, uint64, error) {
	var f file
	if err := json.Unmarshal(text, &f); err != nil {
		return nil, 0, err
	}
	if f.Suspended == nil {
		return nil, 0, errors.New("no list under the key suspended")
	}
	suspended := map[string]bool{}
	for i, name := range f.Suspended {
		if name == "" {
			return nil, 0, fmt.Errorf("suspended.%d is empty", i)
		}
		suspended[name] = true
	}
	return suspended, f.Version, nil
}

// Discovered implements MemberReceiver. It forwards the members, with the suspended ones as
// draining.
func (c *Cordon) Discovered(members []router.Member, whole bool) { c.gate.Discovered(members, whole) }

// replaceSet installs a set; c.mu is held. If the version is missing or not higher than the current
// one, the set gets the next version.
func (c *Cordon) replaceSet(suspended map[string]bool, version uint64) {
	c.suspended, c.version = suspended, max(version, c.version+1)
	if c.onChange != nil {
		c.onChange(c.version)
	}
	shares := make(map[string]float64, len(suspended))
	for name := range suspended {
		shares[name] = 0
	}
	c.gate.Set(shares)
}

// Suspend suspends the worker. Once it returns without an error, this process sends nothing new to
// the worker, and the file has the change for other processes. Suspending a suspended worker has no
// effect.
func (c *Cordon) Suspend(name string) error { return c.set(name, true) }

// Resume restores the worker as discovery last reported it.
func (c *Cordon) Resume(name string) error { return c.set(name, false) }

func (c *Cordon) set(name string, suspend bool) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.gate.Known(name) && !c.suspended[name] {
		return fmt.Errorf("worker %q: %w", name, ErrUnknown)
	}
	unlock, err := c.lock()
	if err != nil {
		return err
	}
	defer unlock()
	// Another process may have changed the file since it was last read.
	if err := c.reload(); err != nil {
		return err
	}
	next := maps.Clone(c.suspended)
	if suspend {
		next[name] = true
	} else {
		delete(next, name)
	}
	if err := c.write(next, c.version+1); err != nil {
		return err
	}
	c.replaceSet(next, c.version+1)
	return nil
}

const (
	lockTimeout       = 500 * time.Millisecond // for another process to write its change
	lockRetryInterval = time.Millisecond
)

// lock locks the file against changes by other processes until unlock; c.mu is held. Without it,
// two consoles that change the file at the same time could overwrite each other's change. It waits
// for lockTimeout at most. The system releases the lock when a process ends.
func (c *Cordon) lock() (unlock func(), err error) {
	path := c.path + ".lock"
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, fmt.Errorf("workers out by hand: %w", err)
	}
	for deadline := time.Now().Add(lockTimeout); ; time.Sleep(lockRetryInterval) {
		err = syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
		if !errors.Is(err, syscall.EWOULDBLOCK) && !errors.Is(err, syscall.EINTR) || time.Now().After(deadline) {
			break
		}
	}
	// Without file locks, the later of two concurrent writes replaces the earlier one.
	if errors.Is(err, syscall.ENOSYS) || errors.Is(err, syscall.ENOTSUP) {
		c.log.WithError(err).WithField("file", path).Warn("the system has no file locks, changing the suspended workers without one")
	} else if err != nil {
		_ = f.Close()
		return nil, fmt.Errorf("workers out by hand: lock %s: %w", path, err)
	}
	return func() { _ = f.Close() }, nil
}

// write replaces the file atomically: a reader sees the old content or the new one.
func (c *Cordon) write(suspended map[string]bool, version uint64) error {
	f := file{Suspended: make([]string, 0, len(suspended)), Version: version}
	for name := range suspended {
		f.Suspended = append(f.Suspended, name)
	}
	slices.Sort(f.Suspended)
	text, err := json.Marshal(f)
	if err != nil {
		return err
	}
	tmp, err := os.CreateTemp(filepath.Dir(c.path), filepath.Base(c.path)+".*")
	if err != nil {
		return fmt.Errorf("workers out by hand: %w", err)
	}
	_, err = tmp.Write(text)
	err = errors.Join(err, tmp.Close())
	if err == nil {
		err = os.Rename(tmp.Name(), c.path)
	}
	if err != nil {
		_ = os.Remove(tmp.Name())
		return fmt.Errorf("workers out by hand: file %s: %w", c.path, err)
	}
	c.lastText = text
	return nil
}

// reload applies changes that another process made to the file; c.mu is held. If the file can't be
// read, reload logs that once, returns the error and keeps the set; the next poll reads the file
// again. An invalid file is logged once and changes nothing.
func (c *Cordon) reload() error {
	text, err := os.ReadFile(c.path)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		if !c.unreadable {
			c.log.WithError(err).Error("can't read the suspended workers, keeping the current set")
		}
		c.unreadable = true
		return fmt.Errorf("workers out by hand: %w", err)
	}
	c.unreadable = false
	// The texts are compared, since modification times and inodes may be the same after a change:
	// each write replaces the file.
	if bytes.Equal(c.lastText, text) && (c.lastText == nil) == (text == nil) {
		return nil
	}
	c.lastText = text
	suspended, version := map[string]bool{}, uint64(0)
	if text != nil {
		if suspended, version, err = parse(text); err != nil {
			c.log.WithError(fmt.Errorf("file %s: %w", c.path, err)).Error("can't read the suspended workers, keeping the current set")
			return nil
		}
	}
	c.replaceSet(suspended, version)
	return nil
}

// Follow checks the file every PollInterval until ctx ends.
func (c *Cordon) Follow(ctx context.Context) {
	tick := time.NewTicker(PollInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		c.mu.Lock()
		_ = c.reload() // read errors are logged by reload
		c.mu.Unlock()
	}
}
