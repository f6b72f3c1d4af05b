// Package store is a small replicated store with ZooKeeper's semantics: paths
// with versioned data, sessions with time-outs, ephemeral nodes and one-time
// watches, agreed on by hashicorp/raft.
package store

import (
	"errors"
	"fmt"
	"maps"
	"path"
	"slices"
	"strings"
	"time"

	"github.com/google/btree"
)

// The faults of operations.
var (
	ErrNoNode     = errors.New("no such node")
	ErrNodeExists = errors.New("node exists")
	ErrBadVersion = errors.New("version does not match")
	ErrNotEmpty   = errors.New("node has children")
	ErrNoSession  = errors.New("no such session")
	ErrEphemeral  = errors.New("an ephemeral node has no children")
	ErrBadPath    = errors.New("malformed path")
	ErrMoved      = errors.New("the session has moved to another connection")
)

// AnyVersion matches every version.
const AnyVersion = -1

// Stat tells about a node.
type Stat struct {
	Version   int64  `json:"version"`  // of its data, from 0
	Children  int64  `json:"children"` // version of its list of children
	Created   uint64 `json:"created"`  // number of the operation that made it
	Modified  uint64 `json:"modified"` // and of the latest that set its data
	Ephemeral string `json:"ephemeral,omitempty"`
	// ChildrenOp is the latest operation that made or removed a child.
	ChildrenOp uint64 `json:"children_op,omitempty"`
	CreatedMs  int64  `json:"created_ms,omitempty"` // Unix milliseconds, by the proposer's clock
	ModifiedMs int64  `json:"modified_ms,omitempty"`
}

// node is one node of the tree. Its fields are exported for snapshots.
type node struct {
	Data []byte `json:"data"`
	Stat Stat   `json:"stat"`
}

// tree is the replicated state. It is not safe for concurrent use.
type tree struct {
	Nodes    map[string]*node         `json:"nodes"`
	Sessions map[string]time.Duration `json:"sessions"` // their time-outs
	// Claims are what sessions of the ZooKeeper front have beside a time-out.
	Claims map[string]claim `json:"claims,omitempty"`
	Index  uint64           `json:"index"` // the latest operation that was applied
	// Published are the versions of each configuration that are kept, the oldest first.
	Published map[string][]Revision `json:"published,omitempty"`
	// Answers are those to the latest named writes.
	Answers answers `json:"answers"`

	// What follows from the nodes, so that neither a list of children nor the end
	// of a session has to look at the whole tree; not in snapshots.
	kids  map[string]*btree.BTreeG[string] // names below a node, in order
	owned map[string]map[string]struct{}   // paths of a session's ephemeral nodes

	now     int64 // of the operation that is being applied, in Unix milliseconds
	changed func(Change)
}

// claim says who may speak for a session: who knows the password, and of these
// the connection that came last.
type claim struct {
	Password []byte `json:"password"`
	Holder   string `json:"holder"`
}

// Change is one thing that an operation has changed.
type Change struct {
	Kind    ChangeKind
	Path    string // of the node, but for the last three kinds
	Session string // with SessionEnded and SessionMoved
	Holder  string // with SessionMoved: who speaks for it now
}

// ChangeKind tells what has changed.
type ChangeKind uint8

// The kinds of change.
const (
	NodeCreated ChangeKind = iota
	NodeDeleted
	DataChanged
	ChildrenChanged
	SessionEnded
	SessionMoved
	StateReplaced // by a snapshot: anything may have changed
)

// degree is that of the B-trees of children: small, since most nodes have few.
const degree = 8

func newTree() *tree {
	t := &tree{Nodes: map[string]*node{"/": {}}, Sessions: map[string]time.Duration{}, Claims: map[string]claim{}, Published: map[string][]Revision{}, Answers: newAnswers(), changed: func(Change) {}}
	t.index()
	return t
}

// index builds anew what follows from the nodes.
func (t *tree) index() {
	t.kids, t.owned = map[string]*btree.BTreeG[string]{}, map[string]map[string]struct{}{}
	for p, n := range t.Nodes {
		if p != "/" {
			t.link(p, n)
		}
	}
	t.Answers.index()
}

// link enters a node in the indexes.
func (t *tree) link(p string, n *node) {
	dir, name := path.Split(p)
	dir = path.Clean(dir)
	if t.kids[dir] == nil {
		t.kids[dir] = btree.NewOrderedG[string](degree)
	}
	t.kids[dir].ReplaceOrInsert(name)
	if s := n.Stat.Ephemeral; s != "" {
		if t.owned[s] == nil {
			t.owned[s] = map[string]struct{}{}
		}
		t.owned[s][p] = struct{}{}
	}
}

// unlink takes a node out of the indexes.
func (t *tree) unlink(p string, n *node) {
	dir, name := path.Split(p)
	dir = path.Clean(dir)
	if t.kids[dir].Delete(name); t.kids[dir].Len() == 0 {
		delete(t.kids, dir)
	}
	if s := n.Stat.Ephemeral; s != "" {
		if delete(t.owned[s], p); len(t.owned[s]) == 0 {
			delete(t.owned, s)
		}
	}
}

// checkPath takes absolute paths in their shortest form only.
func checkPath(p string) error {
	if !strings.HasPrefix(p, "/") || path.Clean(p) != p || strings.ContainsRune(p, 0) {
		return fmt.Errorf("%w: %q", ErrBadPath, p)
	}
	return nil
}

func (t *tree) find(p string) (*node, error) {
	if err := checkPath(p); err != nil {
		return nil, err
	}
	n := t.Nodes[p]
	if n == nil {
		return nil, fmt.Errorf("%w: %s", ErrNoNode, p)
	}
	return n, nil
}

func (t *tree) create(op uint64, p string, data []byte, session string) error {
	if err := checkPath(p); err != nil {
		return err
	}
	if t.Nodes[p] != nil {
		return fmt.Errorf("%w: %s", ErrNodeExists, p)
	}
	if _, ok := t.Sessions[session]; session != "" && !ok {
		return fmt.Errorf("%w: %s", ErrNoSession, session)
	}
	parent, err := t.find(path.Dir(p))
	if err != nil {
		return fmt.Errorf("parent: %w", err)
	}
	if parent.Stat.Ephemeral != "" {
		return fmt.Errorf("%w: %s", ErrEphemeral, path.Dir(p))
	}
	n := &node{Data: data, Stat: Stat{Created: op, Modified: op, Ephemeral: session, CreatedMs: t.now, ModifiedMs: t.now}}
	t.Nodes[p] = n
	t.link(p, n)
	t.childrenChanged(op, p, NodeCreated)
	return nil
}

func (t *tree) set(op uint64, p string, data []byte, version int64) error {
	n, err := t.at(p, version)
	if err != nil {
		return err
	}
	n.Data = data
	n.Stat.Version++
	n.Stat.Modified, n.Stat.ModifiedMs = op, t.now
	t.changed(Change{Kind: DataChanged, Path: p})
	return nil
}

func (t *tree) remove(op uint64, p string, version int64) error {
	n, err := t.at(p, version)
	if err != nil {
		return err
	}
	if p == "/" {
		return fmt.Errorf("%w: the root stays", ErrBadPath)
	}
	if t.kids[p] != nil {
		return fmt.Errorf("%w: %s", ErrNotEmpty, p)
	}
	delete(t.Nodes, p)
	t.unlink(p, n)
	t.childrenChanged(op, p, NodeDeleted)
	return nil
}

// at finds a node that must have the version.
func (t *tree) at(p string, version int64) (*node, error) {
	n, err := t.find(p)
	if err == nil && version != AnyVersion && version != n.Stat.Version {
		return nil, fmt.Errorf("%w: %s is at %d, not %d", ErrBadVersion, p, n.Stat.Version, version)
	}
	return n, err
}

// childrenChanged notes that p came or went.
func (t *tree) childrenChanged(op uint64, p string, kind ChangeKind) {
	dir := path.Dir(p)
	parent := t.Nodes[dir]
	parent.Stat.Children++
	parent.Stat.ChildrenOp = op
	t.changed(Change{Kind: kind, Path: p})
	t.changed(Change{Kind: ChildrenChanged, Path: dir})
}

// children returns the names below p, in order.
func (t *tree) children(p string) []string {
	kids := t.kids[p]
	if kids == nil {
		return nil
	}
	names := make([]string, 0, kids.Len())
	kids.Ascend(func(name string) bool {
		names = append(names, name)
		return true
	})
	return names
}

// endSession removes a session and its ephemeral nodes.
func (t *tree) endSession(op uint64, id string) error {
	if _, ok := t.Sessions[id]; !ok {
		return fmt.Errorf("%w: %s", ErrNoSession, id)
	}
	delete(t.Sessions, id)
	delete(t.Claims, id)
	// In order, so that replicas tell their watches in one.
	for _, p := range slices.Sorted(maps.Keys(t.owned[id])) {
		if err := t.remove(op, p, AnyVersion); err != nil {
			return fmt.Errorf("end session %s: %w", id, err)
		}
	}
	t.changed(Change{Kind: SessionEnded, Session: id})
	return nil
}
