// Package cordon takes workers out by hand: it stands between discovery and a
// core, and hands on a worker that an operator has suspended as draining,
// whatever discovery says of it, until the operator resumes it. The set of
// names out by hand is kept in a file, so that the next process, or the other
// one in an upgrade, finds it.
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

// LookEvery is how often the file is looked at for changes that another process
// made. The rule binds the other process 1 s after the call at the latest.
const LookEvery = 100 * time.Millisecond

// ErrUnknown is the answer for a name that no list ever held.
var ErrUnknown = errors.New("no list ever held this worker")

// Taker is told of the workers: a core, or what stands before it.
type Taker interface {
	Discovered(members []router.Member, whole bool)
}

// Cordon is safe for use from any goroutine.
type Cordon struct {
	gate *Gate
	path string
	log  *logrus.Logger

	mu      sync.Mutex
	version uint64               // of the set; it only grows
	took    func(version uint64) // nil: nobody is told
	out     map[string]bool      // names out by hand
	seen    []byte               // the file's text as last read or written; nil: there was none
	blind   bool                 // the system can't read the file, which has been logged
}

// file is what the file holds.
type file struct {
	Suspended []string `json:"suspended"`
	Version   uint64   `json:"version,omitempty"` // one more with each change; 0: of a process that does not count
}

// Path is where a router's set is kept: in dir, by the router's name, which
// stays the same across restarts and upgrades.
func Path(dir, router string) string {
	return filepath.Join(dir, "lichenshelf-suspended-"+router+".json")
}

const (
	readWait  = 2 * time.Second // for the set at the start, while the system can't read it
	readAgain = 20 * time.Millisecond
)

// New returns a cordon before next that takes up the set kept at path. A file
// that is not there is an empty set; so is one that makes no sense, or that the system can't read for readWait, which is
// logged: a router that does not start helps nobody.
func New(next Taker, path string, log *logrus.Logger) *Cordon {
	c := &Cordon{gate: NewGate(next), path: path, log: log, out: map[string]bool{}}
	ctx, cancel := context.WithTimeout(context.Background(), readWait)
	defer cancel()
	_ = transient.Retry(ctx, readAgain, nil, c.follow) // it is logged, and looked at again
	return c
}

// OnChange has f told of the set's version, now and at each change. It must return at once.
func (c *Cordon) OnChange(f func(version uint64)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.took = f
	f(c.version)
}

// parse takes a set, and its version, out of a file's text. Anything else is an error.
func parse(text []byte) (map[string]bool, uint64, error) {
	var f file
	if err := json.Unmarshal(text, &f); err != nil {
		return nil, 0, err
	}
	if f.Suspended == nil {
		return nil, 0, errors.New("no list under the key suspended")
	}
	out := map[string]bool{}
	for i, name := range f.Suspended {
		if name == "" {
			return nil, 0, fmt.Errorf("suspended.%d is empty", i)
		}
		out[name] = true
	}
	return out, f.Version, nil
}

// Discovered implements Taker.
func (c *Cordon) Discovered(members []router.Member, whole bool) { c.gate.Discovered(members, whole) }

// put makes a set hold; c.mu is held. A version that is none or has been there is taken for the next one.
func (c *Cordon) put(out map[string]bool, version uint64) {
	c.out, c.version = out, max(version, c.version+1)
	if c.took != nil {
		c.took(c.version)
	}
	parts := make(map[string]float64, len(out))
	for name := range out {
		parts[name] = 0
	}
	c.gate.Set(parts)
}

// Suspend takes the worker out. Once it returns without an error, nothing new
// goes to the worker from this process, and the file says so for others.
// Suspending a worker that is out already changes nothing.
func (c *Cordon) Suspend(name string) error { return c.set(name, true) }

// Resume puts the worker back, with the line that discovery gave last.
func (c *Cordon) Resume(name string) error { return c.set(name, false) }

func (c *Cordon) set(name string, out bool) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.gate.Known(name) && !c.out[name] {
		return fmt.Errorf("worker %q: %w", name, ErrUnknown)
	}
	unlock, err := c.lock()
	if err != nil {
		return err
	}
	defer unlock()
	if err := c.follow(); err != nil { // another process may have changed the file since it was read
		return err
	}
	next := maps.Clone(c.out)
	if out {
		next[name] = true
	} else {
		delete(next, name)
	}
	if err := c.write(next, c.version+1); err != nil {
		return err
	}
	c.put(next, c.version+1)
	return nil
}

const (
	lockWait  = 500 * time.Millisecond // for another process to have written its change
	lockAgain = time.Millisecond
)

// lock keeps other processes from changing the file until it is undone; c.mu is held. Two consoles that change it in one
// instant would else each write what they read before the other wrote. It waits lockWait at most. The end of a process undoes its lock.
func (c *Cordon) lock() (unlock func(), err error) {
	path := c.path + ".lock"
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, fmt.Errorf("workers out by hand: %w", err)
	}
	for until := time.Now().Add(lockWait); ; time.Sleep(lockAgain) {
		err = syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
		if !errors.Is(err, syscall.EWOULDBLOCK) && !errors.Is(err, syscall.EINTR) || time.Now().After(until) {
			break
		}
	}
	if errors.Is(err, syscall.ENOSYS) || errors.Is(err, syscall.ENOTSUP) { // a system without locks: the later of two wins whole there
		c.log.WithError(err).WithField("file", path).Warn("workers out by hand are changed without a lock")
	} else if err != nil {
		_ = f.Close()
		return nil, fmt.Errorf("workers out by hand: lock %s: %w", path, err)
	}
	return func() { _ = f.Close() }, nil
}

// write puts the set in place whole: a reader sees the old file or the new one.
func (c *Cordon) write(out map[string]bool, version uint64) error {
	f := file{Suspended: make([]string, 0, len(out)), Version: version}
	for name := range out {
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
	c.seen = text
	return nil
}

// follow takes up changes that another process made to the file; c.mu is held. Where the system can't read it for now, which
// is logged once, it fails, changes nothing, and says nothing of the file: the next look reads it. A file that makes no
// sense is logged once and changes nothing.
func (c *Cordon) follow() error {
	text, err := os.ReadFile(c.path)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		if !c.blind {
			c.log.WithError(err).Error("workers out by hand not read, the set in hand stays")
		}
		c.blind = true
		return fmt.Errorf("workers out by hand: %w", err)
	}
	c.blind = false
	// Its text is compared, since times and inodes need not tell: a set that is written takes another file's place.
	if bytes.Equal(c.seen, text) && (c.seen == nil) == (text == nil) {
		return nil
	}
	c.seen = text
	out, version := map[string]bool{}, uint64(0)
	if text != nil {
		if out, version, err = parse(text); err != nil {
			c.log.WithError(fmt.Errorf("file %s: %w", c.path, err)).Error("workers out by hand not read, the set in hand stays")
			return nil
		}
	}
	c.put(out, version)
	return nil
}

// Follow looks at the file every LookEvery until ctx ends.
func (c *Cordon) Follow(ctx context.Context) {
	tick := time.NewTicker(LookEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		c.mu.Lock()
		_ = c.follow() // it logs what it can't read
		c.mu.Unlock()
	}
}
