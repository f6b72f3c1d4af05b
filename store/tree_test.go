package store

import (
	"encoding/json"
	"fmt"
	"io"
	"path"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// scan lists children by a scan of the whole tree.
func scan(t *tree, p string) []string {
	var names []string
	for other := range t.Nodes {
		if other != "/" && path.Dir(other) == p {
			names = append(names, path.Base(other))
		}
	}
	slices.Sort(names)
	return names
}

// model is a simple model of the tree: paths with data, owner and version.
type model struct {
	nodes    map[string]plainNode
	sessions map[string]bool
}

type plainNode struct {
	data, owner string
	version     int64
}

func (m *model) below(p string) (n int) {
	for other := range m.nodes {
		if other != p && strings.HasPrefix(other, strings.TrimSuffix(p, "/")+"/") {
			n++
		}
	}
	return n
}

// The tree behaves as a simple model, its indexes agree with a scan, and a snapshot restores all of
// it.
func TestTreeMatchesModel(t *testing.T) {
	paths := []string{"/a", "/a/x", "/a/y", "/a/x/1", "/b", "/b/x", "/ab", "/a b"}
	rapid.Check(t, func(rt *rapid.T) {
		real, m := newTree(), &model{nodes: map[string]plainNode{"/": {}}, sessions: map[string]bool{}}
		for op := range uint64(rapid.IntRange(1, 60).Draw(rt, "operations")) {
			p := rapid.SampledFrom(paths).Draw(rt, "path")
			s := rapid.SampledFrom([]string{"", "", "s1", "s2"}).Draw(rt, "session")
			v := int64(rapid.IntRange(-1, 2).Draw(rt, "version"))
			n, there := m.nodes[p]
			parent, hasParent := m.nodes[path.Dir(p)]
			var err error
			want := true
			switch rapid.IntRange(0, 4).Draw(rt, "what") {
			case 0, 1:
				err = real.create(op, p, []byte{byte(op)}, s)
				if want = !there && hasParent && parent.owner == "" && (s == "" || m.sessions[s]); want {
					m.nodes[p] = plainNode{data: string([]byte{byte(op)}), owner: s}
				}
			case 2:
				err = real.set(op, p, []byte{byte(op)}, v)
				if want = there && (v == AnyVersion || v == n.version); want {
					m.nodes[p] = plainNode{string([]byte{byte(op)}), n.owner, n.version + 1}
				}
			case 3:
				err = real.remove(op, p, v)
				if want = there && (v == AnyVersion || v == n.version) && m.below(p) == 0; want {
					delete(m.nodes, p)
				}
			case 4:
				if s == "" {
					continue
				}
				if want = m.sessions[s]; want {
					err = real.endSession(op, s)
					delete(m.sessions, s)
					for q, o := range m.nodes {
						if o.owner == s {
							delete(m.nodes, q)
						}
					}
				} else {
					want, m.sessions[s], real.Sessions[s] = true, true, time.Second
				}
			}
			require.Equal(rt, want, err == nil, "%v", err)
			if rapid.IntRange(0, 9).Draw(rt, "snapshot") == 0 {
				text, err := json.Marshal(real)
				require.NoError(rt, err)
				real = newTree()
				require.NoError(rt, json.Unmarshal(text, real))
				real.rebuildIndexes()
				real.onChange = func(Change) {}
			}
			require.Len(rt, real.Nodes, len(m.nodes))
			owned := 0
			for q, o := range m.nodes {
				require.Equal(rt, o, plainNode{string(real.Nodes[q].Data), real.Nodes[q].Stat.Ephemeral, real.Nodes[q].Stat.Version})
				require.Equal(rt, scan(real, q), real.children(q))
				if o.owner != "" {
					owned++
					require.Contains(rt, real.ephemerals[o.owner], q)
				}
			}
			for _, list := range real.ephemerals {
				owned -= len(list)
			}
			require.Zero(rt, owned)
		}
	})
}

// BenchmarkTree compares the index with a scan on a tree of 100,000 nodes, 1,000 below each of 100
// parents: listing the children of one parent, and creating and removing a node.
func BenchmarkTree(b *testing.B) {
	big := func(b *testing.B) *tree {
		t := newTree()
		for i := range 100 {
			dir := fmt.Sprintf("/d%02d", i)
			if err := t.create(0, dir, nil, ""); err != nil {
				b.Fatal(err)
			}
			for k := range 1000 {
				if err := t.create(0, fmt.Sprintf("%s/n%04d", dir, k), nil, ""); err != nil {
					b.Fatal(err)
				}
			}
		}
		b.ResetTimer()
		return t
	}
	b.Run("children/index", func(b *testing.B) {
		t := big(b)
		for b.Loop() {
			t.children("/d50")
		}
	})
	b.Run("children/scan", func(b *testing.B) {
		t := big(b)
		for b.Loop() {
			scan(t, "/d50")
		}
	})
	change := func(b *testing.B, leaf func(*tree) bool) {
		t := big(b)
		for b.Loop() {
			if err := t.create(0, "/d50/new", nil, ""); err != nil || !leaf(t) {
				b.Fatal(err)
			}
			if err := t.remove(0, "/d50/new", AnyVersion); err != nil {
				b.Fatal(err)
			}
		}
	}
	b.Run("create and remove/index", func(b *testing.B) { change(b, func(*tree) bool { return true }) })
	// Without the index, a removal scans the tree to check that the node has no children.
	b.Run("create and remove/scan", func(b *testing.B) {
		change(b, func(t *tree) bool { return len(scan(t, "/d50/new")) == 0 })
	})
}

// A replica that starts from a snapshot lists children and ends sessions like the one that wrote
// it.
func TestSnapshotRestoresIndexes(t *testing.T) {
	m := newFSM()
	m.tree.Sessions["s"] = time.Second
	require.NoError(t, m.tree.create(1, "/a", nil, ""))
	require.NoError(t, m.tree.create(2, "/a/x", nil, "s"))
	shot, err := m.Snapshot()
	require.NoError(t, err)
	restored := newFSM()
	require.NoError(t, restored.Restore(io.NopCloser(strings.NewReader(string(shot.(snapshot))))))
	require.Equal(t, []string{"x"}, restored.tree.children("/a"))
	require.NoError(t, restored.tree.endSession(3, "s"))
	require.Empty(t, restored.tree.children("/a"))
}

// Steps are atomic: after a failed step, the tree and its indexes are as before the first step, and
// no change is reported.
func TestFailedStepsAreRolledBack(t *testing.T) {
	paths := []string{"/a", "/a/x", "/a/y", "/b", "/b/x", "/a/x/1", "bad"}
	rapid.Check(t, func(rt *rapid.T) {
		m := newFSM()
		m.tree.Sessions["s"], m.tree.Claims["s"] = time.Second, claim{Holder: "h"}
		step := rapid.Custom(func(rt *rapid.T) Step {
			return Step{Op: rapid.SampledFrom([]StepOp{StepCreate, StepCreate, StepSet, StepRemove, StepCheck}).Draw(rt, "op"),
				Path: rapid.SampledFrom(paths).Draw(rt, "path"), Data: []byte(rapid.String().Draw(rt, "data")),
				Version: int64(rapid.IntRange(-1, 1).Draw(rt, "version")), Ephemeral: rapid.IntRange(0, 3).Draw(rt, "ephemeral") == 0,
				Sequence: rapid.IntRange(0, 3).Draw(rt, "sequence") == 0}
		})
		for index := range uint64(rapid.IntRange(1, 12).Draw(rt, "commands")) {
			before, err := json.Marshal(m.tree)
			require.NoError(rt, err)
			reported := len(m.changes)
			c := command{Session: "s", Claim: &claim{Holder: "h"}, Steps: rapid.SliceOfN(step, 1, 5).Draw(rt, "steps")}
			r := m.steps(index+1, &c)
			if r.Err == nil {
				require.Len(rt, r.Results, len(c.Steps))
			} else {
				after, err := json.Marshal(m.tree)
				require.NoError(rt, err)
				require.JSONEq(rt, string(before), string(after))
				require.Len(rt, m.changes, reported)
			}
			for p := range m.tree.Nodes {
				require.Equal(rt, scan(m.tree, p), m.tree.children(p))
			}
			owned := 0
			for _, n := range m.tree.Nodes {
				if n.Stat.Ephemeral != "" {
					owned++
				}
			}
			require.Len(rt, m.tree.ephemerals["s"], owned)
		}
		c := command{Session: "s", Claim: &claim{Holder: "older"}, Steps: []Step{{Op: StepCreate, Path: "/z"}}}
		require.ErrorIs(rt, m.steps(99, &c).Err, ErrMoved)
		c.Session = "none"
		require.ErrorIs(rt, m.steps(99, &c).Err, ErrNoSession)
	})
}
