package zkrule

import (
	"fmt"
	"slices"
	"time"

	"lichenshelf/discovery/membership"
)

// Stat is what the service tells of a node.
type Stat struct {
	Czxid, Mzxid int64 // the changes that created it and that set its data
	Ctime        int64 // when it was created, in Unix milliseconds, by the service's clock
}

// Tracker follows the nodes below one parent. It is not safe for concurrent use.
//
// Lists and nodes are told as they were read; a read that was overtaken by a
// later one is recognised by its zxid and dropped.
type Tracker struct {
	format   Format
	template membership.Entry
	within   time.Duration

	nodes   map[string]*node
	workers map[string]*worker // by identity
	left    []*worker          // vanished, the first to go first; may hold some that are back
	listed  int64              // the parent's pzxid at the latest list
}

// node is a node that the parent lists.
type node struct {
	name   string
	read   bool
	stat   Stat
	worker *worker // nil: its data has never made sense
	entry  membership.Entry
	data   string
}

// worker is an identity, with the nodes that stand for it.
type worker struct {
	key    string
	nodes  []*node // by czxid, the latest last
	since  int64   // the start of its incarnation, in Unix nanoseconds
	data   string  // as it was last
	goneAt time.Time
	told   membership.Entry
}

// New returns a tracker. A node that is made again within the given time, with
// the same data and no start time in it, is the same incarnation.
func New(format Format, template membership.Entry, within time.Duration) *Tracker {
	return &Tracker{format: format, template: template, within: within, nodes: map[string]*node{}, workers: map[string]*worker{}}
}

// List takes the names below the parent, read when its last change of children
// was pzxid. It returns the nodes that have to be read, and what to tell of those
// that have vanished.
func (t *Tracker) List(now time.Time, names []string, pzxid int64) (read []string, tell []membership.Entry) {
	if pzxid < t.listed {
		return nil, nil // overtaken
	}
	t.listed = pzxid
	named := make(map[string]bool, len(names))
	for _, name := range names {
		named[name] = true
		n := t.nodes[name]
		if n == nil {
			n = &node{name: name}
			t.nodes[name] = n
		}
		if !n.read {
			read = append(read, name)
		}
	}
	for name, n := range t.nodes {
		// One that is known to have been created after this list can't be on it.
		if !named[name] && n.stat.Czxid <= pzxid {
			tell = append(tell, t.Vanished(now, name)...)
		}
	}
	return read, tell
}

// NoParent takes that the parent itself is not there, nor then any node.
func (t *Tracker) NoParent(now time.Time) (tell []membership.Entry) {
	t.listed = 0
	for name := range t.nodes {
		tell = append(tell, t.Vanished(now, name)...)
	}
	return tell
}

// Names are the nodes that are known.
func (t *Tracker) Names() []string {
	out := make([]string, 0, len(t.nodes))
	for name := range t.nodes {
		out = append(out, name)
	}
	return out
}

// Vanished takes that a node is not there (any more).
func (t *Tracker) Vanished(now time.Time, name string) []membership.Entry {
	n := t.nodes[name]
	if n == nil {
		return nil
	}
	delete(t.nodes, name)
	return t.leave(now, n)
}

// Node takes a node's data. An error is about the data: its worker stays as it was.
func (t *Tracker) Node(now time.Time, name string, data []byte, stat Stat) ([]membership.Entry, error) {
	n := t.nodes[name]
	if n == nil {
		n = &node{name: name}
		t.nodes[name] = n
	}
	if n.read && stat.Mzxid < n.stat.Mzxid {
		return nil, nil // overtaken
	}
	var tell []membership.Entry
	if n.read && stat.Czxid != n.stat.Czxid {
		// Made again between two reads: the old one has vanished, unseen.
		tell = t.leave(now, n)
		*n = node{name: name}
		t.nodes[name] = n
	}
	n.read, n.stat = true, stat
	e, err := t.format.Parse(name, data, t.template)
	if err != nil {
		return tell, fmt.Errorf("node %s, version of zxid %d: %w", name, stat.Mzxid, err)
	}
	key := "=" + e.Name
	if e.Name == "" {
		key = "@" + e.Addr
	}
	if n.worker != nil && n.worker.key != key {
		tell = append(tell, t.leave(now, n)...)
	}
	n.entry, n.data = e, string(data)
	w := t.workers[key]
	if w == nil {
		w = &worker{key: key}
		t.workers[key] = w
	}
	if n.worker == nil {
		n.worker = w
		at, _ := slices.BinarySearchFunc(w.nodes, stat.Czxid, func(o *node, czxid int64) int { return int(min(max(o.stat.Czxid-czxid, -1), 1)) })
		w.nodes = slices.Insert(w.nodes, at, n)
	}
	return append(tell, t.speak(now, w)...), nil
}

// leave takes a node away from its worker.
func (t *Tracker) leave(now time.Time, n *node) []membership.Entry {
	w := n.worker
	if w == nil {
		return nil
	}
	n.worker = nil
	w.nodes = slices.DeleteFunc(w.nodes, func(o *node) bool { return o == n })
	if len(w.nodes) > 0 {
		return t.speak(now, w)
	}
	w.goneAt = now
	t.left = append(t.left, w)
	t.forget(now)
	gone := membership.Entry{Name: w.told.Name, Addr: w.told.Addr, Word: membership.Gone}
	w.told = gone
	return []membership.Entry{gone}
}

// speak tells what the latest node of a worker says, if that is new.
func (t *Tracker) speak(now time.Time, w *worker) []membership.Entry {
	n := w.nodes[len(w.nodes)-1]
	e := n.entry
	if e.Since == 0 {
		e.Since = t.start(now, w, n)
	}
	w.since, w.data, w.goneAt = e.Since, n.data, time.Time{}
	if e == w.told {
		return nil
	}
	w.told = e
	return []membership.Entry{e}
}

// start is the start of a worker whose entry tells none. While a node of its
// stands, and if one with the same data comes back soon, it has not restarted.
func (t *Tracker) start(now time.Time, w *worker, n *node) int64 {
	same := w.goneAt.IsZero() || n.data == w.data && now.Sub(w.goneAt) <= t.within
	if w.since != 0 && same {
		return w.since
	}
	return max(nanos(n.stat.Ctime), membership.LongAgo)
}

// forget drops what is kept of workers that vanished too long ago to come back as
// the same.
func (t *Tracker) forget(now time.Time) {
	for len(t.left) > 0 && (t.left[0].goneAt.IsZero() || now.Sub(t.left[0].goneAt) > t.within) {
		w := t.left[0]
		t.left = t.left[1:]
		if len(w.nodes) == 0 && t.workers[w.key] == w && !w.goneAt.IsZero() {
			delete(t.workers, w.key)
		}
	}
}
