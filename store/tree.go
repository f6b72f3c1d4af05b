// Package store is a small replicated store with ZooKeeper's semantics: paths with versioned data,
// sessions with time-outs, ephemeral nodes and one-time watches. Replication uses hashicorp/raft.
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

// Errors of operations.
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

// Stat describes a node.
type Stat struct {
	Version   int64  `json:"version"`  // of the data, from 0
	Children  int64  `json:"children"` // version of the list of children
	Created   uint64 `json:"created"`  // operation that created the node
	Modified  uint64 `json:"modified"` // latest operation that set its data
	Ephemeral string `json:"ephemeral,omitempty"`
	// ChildrenOp is the latest operation that created or removed a child.
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
	Sessions map[string]time.Duration `json:"sessions"` // time-outs by session
	// Claims holds the owners of the sessions that the ZooKeeper front opened.
	Claims map[string]claim `json:"claims,omitempty"`
	Index  uint64           `json:"index"` // latest operation applied
	// Published holds the retained versions of each configuration, oldest first.
	Published map[string][]Revision `json:"published,omitempty"`
	// Answers holds the answers to the latest named writes.
	Answers answers `json:"answers"`

	// Indexes derived from the nodes, so that listing children and ending a session need not scan
	// the whole tree; not part of snapshots.
	childNames map[string]*btree.BTreeG[string] // names below a node, in order
	ephemerals map[string]map[string]struct{}   // paths of a session's ephemeral nodes

	nowMs    int64 // time of the operation being applied, in Unix milliseconds
	onChange func(Change)
}

// claim is the ownership of a session: the password that a connection needs to take it over, and
// the connection that did so last.
type claim struct {
	Password []byte `json:"password"`
	Holder   string `json:"holder"`
}

// Change is a single change made by an operation.
type Change struct {
	Kind    ChangeKind
	Path    string // of the node; not with SessionEnded, SessionMoved and StateReplaced
	Session string // with SessionEnded and SessionMoved
	Holder  string // with SessionMoved: the new holder
}

// ChangeKind is the kind of a Change.
type ChangeKind uint8

// Kinds of changes.
const (
	NodeCreated ChangeKind = iota
	NodeDeleted
	DataChanged
	ChildrenChanged
	SessionEnded
	SessionMoved
	StateReplaced // by a snapshot: anything may have changed
)

// childrenDegree is the degree of the B-trees of children: small, since most nodes have few.
const childrenDegree = 8

func newTree() *tree {
	t := &tree{Nodes: map[string]*node{"/": {}}, Sessions: map[string]time.Duration{}, Claims: map[string]claim{}, Published: map[string][]Revision{}, Answers: newAnswers(), onChange: func(Change) {}}
	t.rebuildIndexes()
	return t
}

// rebuildIndexes rebuilds the indexes from the nodes.
func (t *tree) rebuildIndexes() {
	t.childNames, t.ephemerals = map[string]*btree.BTreeG[string]{}, map[string]map[string]struct{}{}
	for p, n := range t.Nodes {
		if p != "/" {
			t.link(p, n)
		}
	}
	t.Answers.rebuildIndex()
}

// link adds a node to the indexes.
func (t *tree) link(p string, n *node) {
	dir, name := path.Split(p)
	dir = path.Clean(dir)
	if t.childNames[dir] == nil {
		t.childNames[dir] = btree.NewOrderedG[string](childrenDegree)
	}
	t.childNames[dir].ReplaceOrInsert(name)
	if s := n.Stat.Ephemeral; s != "" {
		if t.ephemerals[s] == nil {
			t.ephemerals[s] = map[string]struct{}{}
		}
		t.ephemerals[s][p] = struct{}{}
	}
}

// unlink removes a node from the indexes.
func (t *tree) unlink(p string, n *node) {
	dir, name := path.Split(p)
	dir = path.Clean(dir)
	if t.childNames[dir].Delete(name); t.childNames[dir].Len() == 0 {
		delete(t.childNames, dir)
	}
	if s := n.Stat.Ephemeral; s != "" {
		if delete(t.ephemerals[s], p); len(t.ephemerals[s]) == 0 {
			delete(t.ephemerals, s)
		}
	}
}

// checkPath accepts only clean absolute paths.
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
	n := &node{Data: data, Stat: Stat{Created: op, Modified: op, Ephemeral: session, CreatedMs: t.nowMs, ModifiedMs: t.nowMs}}
	t.Nodes[p] = n
	t.link(p, n)
	t.childrenChanged(op, p, NodeCreated)
	return nil
}

func (t *tree) set(op uint64, p string, data []byte, version int64) error {
	n, err := t.findAtVersion(p, version)
	if err != nil {
		return err
	}
	n.Data = data
	n.Stat.Version++
	n.Stat.Modified, n.Stat.ModifiedMs = op, t.nowMs
	t.onChange(Change{Kind: DataChanged, Path: p})
	return nil
}

func (t *tree) remove(op uint64, p string, version int64) error {
	n, err := t.findAtVersion(p, version)
	if err != nil {
		return err
	}
	if p == "/" {
		return fmt.Errorf("%w: the root stays", ErrBadPath)
	}
	if t.childNames[p] != nil {
		return fmt.Errorf("%w: %s", ErrNotEmpty, p)
	}
	delete(t.Nodes, p)
	t.unlink(p, n)
	t.childrenChanged(op, p, NodeDeleted)
	return nil
}

// findAtVersion finds a node and checks its version.
func (t *tree) findAtVersion(p string, version int64) (*node, error) {
	n, err := t.find(p)
	if err == nil && version != AnyVersion && version != n.Stat.Version {
		return nil, fmt.Errorf("%w: %s is at %d, not %d", ErrBadVersion, p, n.Stat.Version, version)
	}
	return n, err
}

// childrenChanged records in its parent that p was created or removed.
func (t *tree) childrenChanged(op uint64, p string, kind ChangeKind) {
	dir := path.Dir(p)
	parent := t.Nodes[dir]
	parent.Stat.Children++
	parent.Stat.ChildrenOp = op
	t.onChange(Change{Kind: kind, Path: p})
	t.onChange(Change{Kind: ChildrenChanged, Path: dir})
}

// children returns the names below p, in order.
func (t *tree) children(p string) []string {
	childSet := t.childNames[p]
	if childSet == nil {
		return nil
	}
	names := make([]string, 0, childSet.Len())
	childSet.Ascend(func(name string) bool {
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
	// Sorted, so that all replicas fire their watches in the same order.
	for _, p := range slices.Sorted(maps.Keys(t.ephemerals[id])) {
		if err := t.remove(op, p, AnyVersion); err != nil {
			return fmt.Errorf("end session %s: %w", id, err)
		}
	}
	t.onChange(Change{Kind: SessionEnded, Session: id})
	return nil
}
