package store

import (
	"bytes"
	"fmt"
	"path"
)

// StepOp is what a Step does.
type StepOp string

// The operations of a Step.
const (
	StepCreate StepOp = "create"
	StepSet    StepOp = "set"
	StepRemove StepOp = "remove"
	StepCheck  StepOp = "check" // that the node has the version
)

// Step is one operation of several that are applied together or not at all.
type Step struct {
	Op        StepOp `json:"op"`
	Path      string `json:"path"`
	Data      []byte `json:"data,omitempty"`
	Version   int64  `json:"version,omitempty"` // AnyVersion matches all
	Ephemeral bool   `json:"ephemeral,omitempty"`
	// Sequence adds to the name the parent's count of changes to its children, in
	// ten digits.
	Sequence bool `json:"sequence,omitempty"`
}

// StepResult is what a Step has led to.
type StepResult struct {
	Path     string `json:"path"` // that was made, with its number
	Stat     Stat   `json:"stat"`
	Children int    `json:"children,omitempty"` // of the node
}

// Result is what several steps have led to. Either all have been applied and have
// a result, or Failed is the one that could not be and Err says why.
type Result struct {
	Index   uint64       `json:"index"` // of the operation in the log
	Results []StepResult `json:"results,omitempty"`
	Failed  int          `json:"failed"` // -1: none
	Err     error        `json:"-"`
	// Session is the one that was made.
	Session string `json:"session,omitempty"`
	// Revision is the version that a text was published as.
	Revision *Revision `json:"revision,omitempty"`
}

// attach has a connection speak for a session from now on.
func (t *tree) attach(session string, c *claim) error {
	was, ok := t.Claims[session]
	if _, lives := t.Sessions[session]; !ok || !lives || c == nil || !bytes.Equal(was.Password, c.Password) {
		return fmt.Errorf("%w: %s", ErrNoSession, session)
	}
	t.Claims[session] = *c
	t.changed(Change{Kind: SessionMoved, Session: session, Holder: c.Holder})
	return nil
}

// steps applies several steps for a session.
func (m *machine) steps(index uint64, c *command) *Result {
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
	undo := undoing{tree: t, changes: len(m.changes)}
	for i := range c.Steps {
		s := &c.Steps[i]
		p, err := undo.apply(index, s, c.Session)
		if err != nil {
			undo.back()
			m.changes = m.changes[:undo.changes]
			r.Results, r.Failed, r.Err = nil, i, err
			return r
		}
		result := StepResult{Path: p}
		if n := t.Nodes[p]; n != nil {
			result.Stat = n.Stat
			if kids := t.kids[p]; kids != nil {
				result.Children = kids.Len()
			}
		}
		r.Results = append(r.Results, result)
	}
	return r
}

// undoing remembers what steps found, to go back there.
type undoing struct {
	tree    *tree
	found   []found
	changes int
}

// found is a node as it was; nil if there was none.
type found struct {
	path string
	node *node
}

func (u *undoing) keep(p string) {
	f := found{path: p}
	if n := u.tree.Nodes[p]; n != nil {
		copied := *n // data are replaced, never written to
		f.node = &copied
	}
	u.found = append(u.found, f)
}

func (u *undoing) apply(index uint64, s *Step, session string) (string, error) {
	t, p := u.tree, s.Path
	if s.Op == StepCreate && s.Sequence {
		if n := t.Nodes[path.Dir(p+"x")]; n != nil {
			p = fmt.Sprintf("%s%010d", p, n.Stat.Children)
		}
	}
	if s.Op != StepCheck && checkPath(p) == nil {
		u.keep(p)
		u.keep(path.Dir(p))
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
		_, err := t.at(p, s.Version)
		return p, err
	}
	return p, fmt.Errorf("%w: step %q", errInput, s.Op)
}

// back undoes the steps, the last one first.
func (u *undoing) back() {
	t := u.tree
	for i := len(u.found) - 1; i >= 0; i-- {
		f := u.found[i]
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

// View is the state between two operations of the log.
type View struct{ tree *tree }

// Index is the latest operation that has been applied.
func (v View) Index() uint64 { return v.tree.Index }

// Node is a node's data and the number of its children.
func (v View) Node(p string) (data []byte, stat Stat, children int, err error) {
	n, err := v.tree.find(p)
	if err != nil {
		return nil, Stat{}, 0, err
	}
	if kids := v.tree.kids[p]; kids != nil {
		children = kids.Len()
	}
	return n.Data, n.Stat, children, nil
}

// Children are the names below a node, in order.
func (v View) Children(p string) []string { return v.tree.children(p) }

// Holder is who speaks for a session; false if there is no such session.
func (v View) Holder(session string) (string, bool) {
	_, ok := v.tree.Sessions[session]
	return v.tree.Claims[session].Holder, ok
}

// Sessions is how many sessions there are.
func (v View) Sessions() int { return len(v.tree.Sessions) }

// View runs f on the state of this replica, which does not change meanwhile. What
// f calls must not wait, and must not call the replica.
func (r *Replica) View(f func(View)) {
	r.machine.mu.RLock()
	defer r.machine.mu.RUnlock()
	f(View{r.machine.tree})
}

// Observe has f told of every change from now on, in order and with the state
// locked: what f calls must not wait, and must not call the replica. There is one
// observer at most; nil ends it.
func (r *Replica) Observe(f func(index uint64, changes []Change)) {
	r.machine.mu.Lock()
	defer r.machine.mu.Unlock()
	r.machine.observer = f
}
