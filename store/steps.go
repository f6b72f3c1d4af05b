package store

import (
	"bytes"
	"fmt"
	"path"
	"time"
)

// StepOp is the operation of a Step.
type StepOp string

// Operations of a Step.
const (
	StepCreate StepOp = "create"
	StepSet    StepOp = "set"
	StepRemove StepOp = "remove"
	StepCheck  StepOp = "check" // checks that the node has the version
)

// Step is one of several operations that are applied atomically.
type Step struct {
	Op        StepOp `json:"op"`
	Path      string `json:"path"`
	Data      []byte `json:"data,omitempty"`
	Version   int64  `json:"version,omitempty"` // AnyVersion matches every version
	Ephemeral bool   `json:"ephemeral,omitempty"`
	// Sequence appends to the name the parent's count of changes to its children, in ten digits.
	Sequence bool `json:"sequence,omitempty"`
}

// StepResult is the result of a Step.
type StepResult struct {
	Path     string `json:"path"` // of the node, with its sequence number
	Stat     Stat   `json:"stat"`
	Children int    `json:"children,omitempty"` // number of children of the node
}

// Result is the result of a command. Either all steps were applied and have results, or Failed is
// the index of the step that could not be applied and Err is its error.
type Result struct {
	Index   uint64       `json:"index"` // of the operation in the log
	Results []StepResult `json:"results,omitempty"`
	Failed  int          `json:"failed"` // -1: none
	Err     error        `json:"-"`
	// Session is the session that was created.
	Session string `json:"session,omitempty"`
	// Revision is the version under which a text was published.
	Revision *Revision `json:"revision,omitempty"`
}

// attach makes a connection the holder of a session.
func (t *tree) attach(session string, c *claim) error {
	stored, ok := t.Claims[session]
	if _, exists := t.Sessions[session]; !ok || !exists || c == nil || !bytes.Equal(stored.Password, c.Password) {
		return fmt.Errorf("%w: %s", ErrNoSession, session)
	}
	t.Claims[session] = *c
	t.onChange(Change{Kind: SessionMoved, Session: session, Holder: c.Holder})
	return nil
}

// steps applies the steps of a session.
func (m *fsm) steps(index uint64, c *command) *Result {
	t := m.tree
	r := &Result{Index: index, Failed: -1}
	if _, ok := t.Sessions[c.Session]; !ok {
		r.Failed, r.Err = 0, fmt.Errorf("%w: %s", ErrNoSession, c.Session)
		return r
	}
	if c.Claim == nil || t.Claims[c.Session].Holder != c.Claim.Holder {
		r.Failed, r.Err = 0, fmt.Errorf("%w: %s", ErrMoved, c.Session)
		return r
	}
	undo := undoLog{tree: t, changes: len(m.changes)}
	for i := range c.Steps {
		s := &c.Steps[i]
		p, err := undo.apply(index, s, c.Session)
		if err != nil {
			undo.rollBack()
			m.changes = m.changes[:undo.changes]
			r.Results, r.Failed, r.Err = nil, i, err
			return r
		}
		result := StepResult{Path: p}
		if n := t.Nodes[p]; n != nil {
			result.Stat = n.Stat
			if childSet := t.childNames[p]; childSet != nil {
				result.Children = childSet.Len()
			}
		}
		r.Results = append(r.Results, result)
	}
	return r
}

// undoLog records the nodes that steps change, to roll them back.
type undoLog struct {
	tree    *tree
	saved   []savedNode
	changes int
}

// savedNode is a copy of a node before a step; its node is nil if the path did not exist.
type savedNode struct {
	path string
	node *node
}

func (u *undoLog) save(p string) {
	f := savedNode{path: p}
	if n := u.tree.Nodes[p]; n != nil {
		copied := *n // a shallow copy is enough: data are replaced, never modified
		f.node = &copied
	}
	u.saved = append(u.saved, f)
}

func (u *undoLog) apply(index uint64, s *Step, session string) (string, error) {
	t, p := u.tree, s.Path
	if s.Op == StepCreate && s.Sequence {
		if n := t.Nodes[path.Dir(p+"x")]; n != nil {
			p = fmt.Sprintf("%s%010d", p, n.Stat.Children)
		}
	}
	if s.Op != StepCheck && checkPath(p) == nil {
		u.save(p)
		u.save(path.Dir(p))
	}
	switch s.Op {
	case StepCreate:
		owner := ""
		if s.Ephemeral {
			owner = session
		}
		return p, t.create(index, p, s.Data, owner)
	case StepSet:
		return p, t.set(index, p, s.Data, s.Version)
	case StepRemove:
		return p, t.remove(index, p, s.Version)
	case StepCheck:
		_, err := t.findAtVersion(p, s.Version)
		return p, err
	}
	return p, fmt.Errorf("%w: step %q", errInput, s.Op)
}

// rollBack undoes the steps in reverse order.
func (u *undoLog) rollBack() {
	t := u.tree
	for i := len(u.saved) - 1; i >= 0; i-- {
		f := u.saved[i]
		switch n := t.Nodes[f.path]; {
		case n == nil && f.node != nil:
			t.Nodes[f.path] = f.node
			t.link(f.path, f.node)
		case n != nil && f.node == nil:
			delete(t.Nodes, f.path)
			t.unlink(f.path, n)
		case n != nil:
			*n = *f.node
		}
	}
}

// View is a read-only view of the state between two operations of the log.
type View struct{ tree *tree }

// Index returns the latest operation applied.
func (v View) Index() uint64 { return v.tree.Index }

// Node returns the data of a node and its number of children.
func (v View) Node(p string) (data []byte, stat Stat, children int, err error) {
	n, err := v.tree.find(p)
	if err != nil {
		return nil, Stat{}, 0, err
	}
	if childSet := v.tree.childNames[p]; childSet != nil {
		children = childSet.Len()
	}
	return n.Data, n.Stat, children, nil
}

// Children returns the names below a node, in order.
func (v View) Children(p string) []string { return v.tree.children(p) }

// Holder returns the holder of a session, and false if there is no such session.
func (v View) Holder(session string) (string, bool) {
	_, ok := v.tree.Sessions[session]
	return v.tree.Claims[session].Holder, ok
}

// SessionTimeout returns the time-out of a session, 0 if there is no such session.
func (v View) SessionTimeout(session string) time.Duration { return v.tree.Sessions[session] }

// Sessions returns the number of sessions.
func (v View) Sessions() int { return len(v.tree.Sessions) }

// View runs f on the state of this replica, which does not change meanwhile. f must not block and
// must not call the replica.
func (r *Replica) View(f func(View)) {
	r.machine.mu.RLock()
	defer r.machine.mu.RUnlock()
	f(View{r.machine.tree})
}

// Observe registers f to receive every change from now on, in order and with the state locked: f
// must not block and must not call the replica. A new observer replaces the previous one; nil
// removes it.
func (r *Replica) Observe(f func(index uint64, changes []Change)) {
	r.machine.mu.Lock()
	defer r.machine.mu.Unlock()
	r.machine.observer = f
}
