package zkrule

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"lichenshelf/discovery/membership"
)

// Stat is the part of a node's metadata that the rules need.
type Stat struct {
	Czxid, Mzxid int64 // the transactions that created the node and that last set its data
	Ctime        int64 // creation time in Unix milliseconds, by the clock of the service
}

// Tracker tracks the nodes below one parent. It is not safe for concurrent use.
//
// Reads of different nodes may be in flight together and their results may be passed to it in any
// order; the reads of one node must not overlap. A result that is older than one already processed is
// recognized by its zxid and ignored. A read that found nothing has no zxid: it is recognized by what
// was processed since it began.
type Tracker struct {
	format     Format
	template   membership.Entry
	flapWindow time.Duration

	nodes           map[string]*node
	workers         map[string]*worker // by identity
	recentlyRemoved []*worker          // by time of removal; may contain workers that have returned
	listPzxid       int64              // pzxid of the parent in the latest list
	processed       Sequence           // how many results have been processed
	parentMissing   Sequence           // when the parent was last found missing
}

// Sequence is a position in the order in which results are processed.
type Sequence int64

// node is a child of the parent.
type node struct {
	name   string
	gone   int64    // pzxid of a list without it; data of a node created until then is out of date
	seen   Sequence // when a result last showed that it exists
	read   bool
	stat   Stat
	worker *worker // nil: no valid data has been read yet
	entry  membership.Entry
	data   string
}

// worker is one worker identity and the nodes that register it.
type worker struct {
	key       string
	nodes     []*node // by czxid, the latest last
	since     int64   // the start of its incarnation, in Unix nanoseconds
	data      string  // the latest data of its current node
	removedAt time.Time
	reported  membership.Entry
}

// New returns a tracker. A worker whose node is recreated within flapWindow, with the same data and
// no start time in it, keeps its incarnation.
func New(format Format, template membership.Entry, flapWindow time.Duration) *Tracker {
	return &Tracker{format: format, template: template, flapWindow: flapWindow, nodes: map[string]*node{}, workers: map[string]*worker{}}
}

// Now returns the position that a read which begins now has to state with its result.
func (t *Tracker) Now() Sequence { return t.processed }

// IsOvertaken reports whether a read that began at the given position and found a node or a list may
// be older than the latest read that found no parent. Its result must not be processed then; the read
// has to be repeated.
func (t *Tracker) IsOvertaken(began Sequence) bool { return began < t.parentMissing }

// List processes a list of the parent's children; pzxid is the transaction that last changed the
// children when the list was read. List returns the nodes that have to be read, and the membership
// changes that result from removed nodes.
func (t *Tracker) List(now time.Time, names []string, pzxid int64) (toRead []string, changes []membership.Entry) {
	if pzxid < t.listPzxid {
		return nil, nil // older than a list already processed
	}
	previous := t.listPzxid
	t.listPzxid = pzxid
	t.processed++
	listed := make(map[string]bool, len(names))
	for _, name := range names {
		listed[name] = true
		n := t.nodes[name]
		if n == nil {
			n = &node{name: name, gone: previous}
			t.nodes[name] = n
		}
		n.seen = t.processed
		if !n.read {
			toRead = append(toRead, name)
		}
	}
	for name, n := range t.nodes {
		// A node that was created after this list was read can't be on it.
		if !listed[name] && n.stat.Czxid <= pzxid {
			changes = append(changes, t.NodeRemoved(now, name)...)
		}
	}
	return toRead, changes
}

// ParentMissing processes a read that found no parent, in which case no node below it existed either.
// It returns the resulting membership changes, and the nodes that were seen since the read began:
// they may be newer, and have to be read.
func (t *Tracker) ParentMissing(now time.Time, began Sequence) (toRead []string, changes []membership.Entry) {
	t.listPzxid = 0
	t.processed++
	t.parentMissing = t.processed
	for name, n := range t.nodes {
		if n.seen > began {
			toRead = append(toRead, name)
			continue
		}
		changes = append(changes, t.NodeRemoved(now, name)...)
	}
	slices.Sort(toRead)
	return toRead, changes
}

// ParentRemoved processes a read that found no parent and was not overtaken by any other.
func (t *Tracker) ParentRemoved(now time.Time) (changes []membership.Entry) {
	_, changes = t.ParentMissing(now, t.Now())
	return changes
}

// Names returns the names of all known nodes in order.
func (t *Tracker) Names() []string { return slices.Sorted(maps.Keys(t.nodes)) }

// NodeMissing processes a read that found no such node, and returns the resulting membership changes.
// It returns false if the node was seen since the read began. Either result may be the newer one, so
// the read has to be repeated.
func (t *Tracker) NodeMissing(now time.Time, name string, began Sequence) (changes []membership.Entry, conclusive bool) {
	if n := t.nodes[name]; n != nil && n.seen > began {
		return nil, false
	}
	return t.NodeRemoved(now, name), true
}

// NodeRemoved processes a read that found no such node and was not overtaken by any other. It returns
// the resulting membership changes.
func (t *Tracker) NodeRemoved(now time.Time, name string) []membership.Entry {
	n := t.nodes[name]
	if n == nil {
		return nil
	}
	delete(t.nodes, name)
	return t.detach(now, n)
}

// Node processes the data of a node and returns the resulting membership changes. It returns an
// error if the data is invalid; the worker of the node then remains unchanged.
func (t *Tracker) Node(now time.Time, name string, data []byte, stat Stat) ([]membership.Entry, error) {
	n := t.nodes[name]
	if n == nil {
		n = &node{name: name, gone: t.listPzxid}
	}
	if stat.Czxid <= n.gone {
		return nil, nil // removed since: a list that is not older lacks it
	}
	t.nodes[name] = n
	if n.read && stat.Mzxid < n.stat.Mzxid {
		return nil, nil // older than data already processed
	}
	var changes []membership.Entry
	if n.read && stat.Czxid != n.stat.Czxid {
		// Recreated between two reads: the removal of the old node was not observed.
		changes = t.detach(now, n)
		*n = node{name: name}
	}
	t.processed++
	n.read, n.stat, n.seen = true, stat, t.processed
	e, err := t.format.Parse(name, data, t.template)
	if err != nil {
		return changes, fmt.Errorf("node %s, data of zxid %d: %w", name, stat.Mzxid, err)
	}
	key := "=" + e.Name
	if e.Name == "" {
		key = "@" + e.Addr
	}
	if n.worker != nil && n.worker.key != key {
		changes = append(changes, t.detach(now, n)...)
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
	return append(changes, t.report(now, w)...), nil
}

// detach removes a node from its worker and returns the resulting membership changes.
func (t *Tracker) detach(now time.Time, n *node) []membership.Entry {
	w := n.worker
	if w == nil {
		return nil
	}
	n.worker = nil
	w.nodes = slices.DeleteFunc(w.nodes, func(o *node) bool { return o == n })
	if len(w.nodes) > 0 {
		return t.report(now, w)
	}
	w.removedAt = now
	t.recentlyRemoved = append(t.recentlyRemoved, w)
	t.forgetExpired(now)
	removal := membership.Entry{Name: w.reported.Name, Addr: w.reported.Addr, Status: membership.Gone}
	w.reported = removal
	return []membership.Entry{removal}
}

// report returns the entry of the latest node of a worker if it differs from the one last reported.
func (t *Tracker) report(now time.Time, w *worker) []membership.Entry {
	n := w.nodes[len(w.nodes)-1]
	e := n.entry
	if e.Since == 0 {
		e.Since = t.startTime(now, w, n)
	}
	w.since, w.data, w.removedAt = e.Since, n.data, time.Time{}
	if e == w.reported {
		return nil
	}
	w.reported = e
	return []membership.Entry{e}
}

// startTime determines the start time of a worker whose entry has none. The worker counts as not
// restarted while one of its nodes exists, or if a node with the same data is created within the
// flap window.
func (t *Tracker) startTime(now time.Time, w *worker, n *node) int64 {
	sameIncarnation := w.removedAt.IsZero() || n.data == w.data && now.Sub(w.removedAt) <= t.flapWindow
	if w.since != 0 && sameIncarnation {
		return w.since
	}
	return max(nanos(n.stat.Ctime), membership.LongAgo)
}

// forgetExpired drops the state of workers that were removed so long ago that they can no longer
// return as the same incarnation.
func (t *Tracker) forgetExpired(now time.Time) {
	for len(t.recentlyRemoved) > 0 && (t.recentlyRemoved[0].removedAt.IsZero() || now.Sub(t.recentlyRemoved[0].removedAt) > t.flapWindow) {
		w := t.recentlyRemoved[0]
		t.recentlyRemoved = t.recentlyRemoved[1:]
		if len(w.nodes) == 0 && t.workers[w.key] == w && !w.removedAt.IsZero() {
			delete(t.workers, w.key)
		}
	}
}
