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
	TimeMs  int64         `json:"time_ms,omitempty"` // Unix milliseconds, by the proposer's clock
	Claim   *claim        `json:"claim,omitempty"`
	Steps   []Step        `json:"steps,omitempty"`
	Publish *publication  `json:"publish,omitempty"`
	// Write is the unique name of a write; an unnamed command is applied each time that it is
	// received. Seen is the last operation that the client had seen when it first sent the write.
	Write string `json:"write,omitempty"`
	Seen  uint64 `json:"seen,omitempty"`
}

// Operations of the log.
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
	opNothing    = "nothing" // applied only to wait for all operations before it
)

// fsm applies the log to the tree and fires watches. It implements raft.FSM.
type fsm struct {
	mu      sync.RWMutex
	tree    *tree
	watches map[string]map[*Watch]bool
	// observer receives the changes of each operation, with the state locked.
	observer func(index uint64, changes []Change)
	changes  []Change      // of the operation being applied
	advanced chan struct{} // closed at the next operation; nil if nothing waits for it
}

func newFSM() *fsm {
	m := &fsm{watches: map[string]map[*Watch]bool{}}
	m.replaceTree(newTree())
	return m
}

// replaceTree makes t the state.
func (m *fsm) replaceTree(t *tree) {
	t.onChange = m.recordChange
	m.tree = t
}

// recordChange collects a change of the current operation; finishOperation reports it.
func (m *fsm) recordChange(c Change) { m.changes = append(m.changes, c) }

// finishOperation advances the index and reports the changes of the operation to watches, to the
// observer and to callers of waitApplied.
func (m *fsm) finishOperation(index uint64) {
	m.tree.Index = index
	for _, c := range m.changes {
		m.fireWatches(c.Path)
	}
	if m.observer != nil && len(m.changes) > 0 {
		m.observer(index, m.changes)
	}
	m.changes = nil
	if m.advanced != nil {
		close(m.advanced)
		m.advanced = nil
	}
}

// waitApplied waits until this replica has applied the operation.
func (m *fsm) waitApplied(ctx context.Context, index uint64) error {
	for {
		m.mu.Lock()
		if m.tree.Index >= index {
			m.mu.Unlock()
			return nil
		}
		if m.advanced == nil {
			m.advanced = make(chan struct{})
		}
		advanced := m.advanced
		m.mu.Unlock()
		select {
		case <-advanced:
		case <-ctx.Done():
			return fmt.Errorf("operation %d is not applied here yet: %w", index, ctx.Err())
		}
	}
}

// fireWatches closes and removes the watches of a path: each reports a single change.
func (m *fsm) fireWatches(path string) {
	for w := range m.watches[path] {
		close(w.changed)
	}
	delete(m.watches, path)
}

// Watch reports the next change of a path, once.
type Watch struct {
	machine *fsm
	path    string
	changed chan struct{}
}

// Changed returns a channel that is closed at the change.
func (w *Watch) Changed() <-chan struct{} { return w.changed }

// Stop removes a watch that is no longer needed.
func (w *Watch) Stop() {
	w.machine.mu.Lock()
	defer w.machine.mu.Unlock()
	delete(w.machine.watches[w.path], w)
}

// watch registers a watch. The caller holds the lock, so that no change is missed between a read
// and its watch.
func (m *fsm) watch(path string) *Watch {
	w := &Watch{machine: m, path: path, changed: make(chan struct{})}
	if m.watches[path] == nil {
		m.watches[path] = map[*Watch]bool{}
	}
	m.watches[path][w] = true
	return w
}

// Apply implements raft.FSM. It returns an error, a *Result, or nil.
func (m *fsm) Apply(entry *raft.Log) any {
	var c command
	if err := json.Unmarshal(entry.Data, &c); err != nil {
		return fmt.Errorf("log entry %d: %w", entry.Index, err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	defer m.finishOperation(entry.Index)
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
	result := toResult(entry.Index, m.execute(entry.Index, &c))
	m.tree.Answers.add(c.Write, entry.Index, result)
	return result
}

// execute applies a command to the tree and returns the same as Apply.
func (m *fsm) execute(index uint64, c *command) any {
	m.tree.nowMs = c.TimeMs
	switch c.Op {
	case opCreate:
		return errorOrNil(m.tree.create(index, c.Path, c.Data, c.Session))
	case opSet:
		return errorOrNil(m.tree.set(index, c.Path, c.Data, c.Version))
	case opRemove:
		return errorOrNil(m.tree.remove(index, c.Path, c.Version))
	case opSession:
		m.tree.Sessions[c.Session] = c.Timeout
		if c.Claim != nil {
			m.tree.Claims[c.Session] = *c.Claim
		}
		return &Result{Index: index, Failed: -1, Session: c.Session}
	case opEndSession:
		return errorOrNil(m.tree.endSession(index, c.Session))
	case opAttach:
		return errorOrNil(m.tree.attach(c.Session, c.Claim))
	case opSteps:
		return m.steps(index, c)
	case opPut:
		return errorOrNil(m.tree.put(index, c.Path, c.Data))
	case opPublish:
		r, err := m.tree.publish(index, c.Path, c.Data, cmp.Or(c.Publish, &publication{}))
		return &Result{Index: index, Failed: -1, Err: err, Revision: r}
	case opNothing:
		return nil
	}
	return fmt.Errorf("log entry %d: unknown operation %q", index, c.Op)
}

// toResult converts the return value of Apply to a Result.
func toResult(index uint64, answer any) *Result {
	switch answer := answer.(type) {
	case *Result:
		return answer
	case error:
		return &Result{Index: index, Err: answer}
	}
	return &Result{Index: index, Failed: -1}
}

// errorOrNil returns an untyped nil for a nil error.
func errorOrNil(err error) any {
	if err == nil {
		return nil
	}
	return err
}

// Snapshot implements raft.FSM.
func (m *fsm) Snapshot() (raft.FSMSnapshot, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	text, err := json.Marshal(m.tree)
	if err != nil {
		return nil, fmt.Errorf("snapshot of the tree: %w", err)
	}
	return snapshot(text), nil
}

// Restore implements raft.FSM. All watches fire, since any path may have changed.
func (m *fsm) Restore(r io.ReadCloser) error {
	defer r.Close()
	t := newTree()
	if err := json.NewDecoder(r).Decode(t); err != nil {
		return fmt.Errorf("restore the tree: %w", err)
	}
	t.rebuildIndexes()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.replaceTree(t)
	for path := range m.watches {
		m.fireWatches(path)
	}
	m.changes = []Change{{Kind: StateReplaced}}
	m.finishOperation(t.Index)
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
