package store

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/hashicorp/raft"
)

// command is one entry of the replicated log.
type command struct {
	Op      string        `json:"op"`
	Path    string        `json:"path,omitempty"`
	Data    []byte        `json:"data,omitempty"`
	Version int64         `json:"version,omitempty"`
	Session string        `json:"session,omitempty"`
	Timeout time.Duration `json:"timeout,omitempty"`
	TimeMs  int64         `json:"time_ms,omitempty"` // of the proposer's clock
	Claim   *claim        `json:"claim,omitempty"`
	Steps   []Step        `json:"steps,omitempty"`
	Publish *publication  `json:"publish,omitempty"`
	// Write names it among all writes; empty: it is applied whenever it comes. Seen is the operation that its client had seen
	// when it first sent it.
	Write string `json:"write,omitempty"`
	Seen  uint64 `json:"seen,omitempty"`
}

// The operations of the log.
const (
	opCreate     = "create"
	opSet        = "set"
	opRemove     = "remove"
	opSession    = "session"
	opEndSession = "end-session"
	opAttach     = "attach"
	opSteps      = "steps"
	opPut        = "put"
	opPublish    = "publish"
	opNothing    = "nothing" // for who waits until all before it has been applied
)

// machine applies the log to the tree, and tells watches. It implements raft.FSM.
type machine struct {
	mu      sync.RWMutex
	tree    *tree
	watches map[string]map[*Watch]bool
	// observer is told of the changes of each operation, with the state locked.
	observer func(index uint64, changes []Change)
	changes  []Change      // of the operation that is being applied
	moved    chan struct{} // closed at the next operation; nil if nobody waits
}

func newMachine() *machine {
	m := &machine{watches: map[string]map[*Watch]bool{}}
	m.adopt(newTree())
	return m
}

// adopt makes t the state.
func (m *machine) adopt(t *tree) {
	t.changed = m.note
	m.tree = t
}

// note takes a change; it is told once the operation is through.
func (m *machine) note(c Change) { m.changes = append(m.changes, c) }

// settle tells of what an operation has changed.
func (m *machine) settle(index uint64) {
	m.tree.Index = index
	for _, c := range m.changes {
		m.fire(c.Path)
	}
	if m.observer != nil && len(m.changes) > 0 {
		m.observer(index, m.changes)
	}
	m.changes = nil
	if m.moved != nil {
		close(m.moved)
		m.moved = nil
	}
}

// reached waits until the operation has been applied here.
func (m *machine) reached(ctx context.Context, index uint64) error {
	for {
		m.mu.Lock()
		if m.tree.Index >= index {
			m.mu.Unlock()
			return nil
		}
		if m.moved == nil {
			m.moved = make(chan struct{})
		}
		moved := m.moved
		m.mu.Unlock()
		select {
		case <-moved:
		case <-ctx.Done():
			return fmt.Errorf("operation %d is not applied here yet: %w", index, ctx.Err())
		}
	}
}

// fire closes the watches of a path: each tells of one change only.
func (m *machine) fire(path string) {
	for w := range m.watches[path] {
		close(w.changed)
	}
	delete(m.watches, path)
}

// Watch tells of the next change of a path, once.
type Watch struct {
	machine *machine
	path    string
	changed chan struct{}
}

// Changed is closed at the change.
func (w *Watch) Changed() <-chan struct{} { return w.changed }

// Stop ends a watch that is no longer wanted.
func (w *Watch) Stop() {
	w.machine.mu.Lock()
	defer w.machine.mu.Unlock()
	delete(w.machine.watches[w.path], w)
}

// watch is called with the lock held, so that nothing is missed between a read
// and its watch.
func (m *machine) watch(path string) *Watch {
	w := &Watch{machine: m, path: path, changed: make(chan struct{})}
	if m.watches[path] == nil {
		m.watches[path] = map[*Watch]bool{}
	}
	m.watches[path][w] = true
	return w
}

// Apply implements raft.FSM. Its result is an error, a *Result, or nil.
func (m *machine) Apply(entry *raft.Log) any {
	var c command
	if err := json.Unmarshal(entry.Data, &c); err != nil {
		return fmt.Errorf("log entry %d: %w", entry.Index, err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	defer m.settle(entry.Index)
	if c.Write == "" {
		return m.execute(entry.Index, &c)
	}
	known, err := m.tree.Answers.find(c.Write, c.Seen)
	switch {
	case err != nil:
		return err
	case known != nil:
		return known
	}
	result := asWhole(entry.Index, m.execute(entry.Index, &c))
	m.tree.Answers.add(c.Write, entry.Index, result)
	return result
}

// execute applies a command to the tree. Its result is that of Apply.
func (m *machine) execute(index uint64, c *command) any {
	m.tree.now = c.TimeMs
	switch c.Op {
	case opCreate:
		return asResult(m.tree.create(index, c.Path, c.Data, c.Session))
	case opSet:
		return asResult(m.tree.set(index, c.Path, c.Data, c.Version))
	case opRemove:
		return asResult(m.tree.remove(index, c.Path, c.Version))
	case opSession:
		m.tree.Sessions[c.Session] = c.Timeout
		if c.Claim != nil {
			m.tree.Claims[c.Session] = *c.Claim
		}
		return &Result{Index: index, Failed: -1, Session: c.Session}
	case opEndSession:
		return asResult(m.tree.endSession(index, c.Session))
	case opAttach:
		return asResult(m.tree.attach(c.Session, c.Claim))
	case opSteps:
		return m.steps(index, c)
	case opPut:
		return asResult(m.tree.put(index, c.Path, c.Data))
	case opPublish:
		r, err := m.tree.publish(index, c.Path, c.Data, cmp.Or(c.Publish, &publication{}))
		return &Result{Index: index, Failed: -1, Err: err, Revision: r}
	case opNothing:
		return nil
	}
	return fmt.Errorf("log entry %d: unknown operation %q", index, c.Op)
}

// asWhole is what a command has led to as a Result.
func asWhole(index uint64, answer any) *Result {
	switch answer := answer.(type) {
	case *Result:
		return answer
	case error:
		return &Result{Index: index, Err: answer}
	}
	return &Result{Index: index, Failed: -1}
}

// asResult keeps a nil error from becoming an interface that is not nil.
func asResult(err error) any {
	if err == nil {
		return nil
	}
	return err
}

// Snapshot implements raft.FSM.
func (m *machine) Snapshot() (raft.FSMSnapshot, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	text, err := json.Marshal(m.tree)
	if err != nil {
		return nil, fmt.Errorf("snapshot of the tree: %w", err)
	}
	return snapshot(text), nil
}

// Restore implements raft.FSM. All watches fire: what they watch may differ.
func (m *machine) Restore(r io.ReadCloser) error {
	defer r.Close()
	t := newTree()
	if err := json.NewDecoder(r).Decode(t); err != nil {
		return fmt.Errorf("restore the tree: %w", err)
	}
	t.index()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.adopt(t)
	for path := range m.watches {
		m.fire(path)
	}
	m.changes = []Change{{Kind: StateReplaced}}
	m.settle(t.Index)
	return nil
}

type snapshot []byte

// Persist implements raft.FSMSnapshot.
func (s snapshot) Persist(sink raft.SnapshotSink) error {
	if _, err := sink.Write(s); err != nil {
		_ = sink.Cancel()
		return fmt.Errorf("write snapshot: %w", err)
	}
	return sink.Close()
}

// Release implements raft.FSMSnapshot.
func (snapshot) Release() {}
