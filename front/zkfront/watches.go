// Package zkfront serves the ZooKeeper protocol at a replica of the store, over the same state as
// the HTTP API.
//
// It gives clients ZooKeeper's guarantees: calls are answered in the order in which they were sent;
// a watch event arrives before the answer to a read that shows the change; and a client never sees
// an older state than it has already seen, at any replica. If the outcome of a write is unknown,
// the connection is closed, which the client's library reports as a lost connection.
package zkfront

import (
	"lichenshelf/discovery/zkwire"
	"lichenshelf/store"
)

// watchKind is the kind of a watch. Reads of data and of existence set the same kind, since both
// report when a node is created, is deleted, or changes its data.
type watchKind uint8

const (
	dataWatch watchKind = iota
	childWatch
	kindCount
)

// watches records which watchers wait for the next change of which path. W is the type of a
// watcher. It is not safe for concurrent use.
type watches[W comparable] struct {
	byPath    [kindCount]map[string]map[W]struct{}
	byWatcher map[W]map[watchKey]struct{}
}

// watchKey identifies what a watch is set on.
type watchKey struct {
	kind watchKind
	path string
}

func newWatches[W comparable]() *watches[W] {
	w := &watches[W]{byWatcher: map[W]map[watchKey]struct{}{}}
	for k := range w.byPath {
		w.byPath[k] = map[string]map[W]struct{}{}
	}
	return w
}

// set registers a watcher for one notification of the path's next change.
func (w *watches[W]) set(watcher W, k watchKind, path string) {
	if w.byPath[k][path] == nil {
		w.byPath[k][path] = map[W]struct{}{}
	}
	w.byPath[k][path][watcher] = struct{}{}
	if w.byWatcher[watcher] == nil {
		w.byWatcher[watcher] = map[watchKey]struct{}{}
	}
	w.byWatcher[watcher][watchKey{k, path}] = struct{}{}
}

// count returns the number of watches that a watcher has set.
func (w *watches[W]) count(watcher W) int { return len(w.byWatcher[watcher]) }

// drop removes all watches of a watcher.
func (w *watches[W]) drop(watcher W) {
	for s := range w.byWatcher[watcher] {
		if delete(w.byPath[s.kind][s.path], watcher); len(w.byPath[s.kind][s.path]) == 0 {
			delete(w.byPath[s.kind], s.path)
		}
	}
	delete(w.byWatcher, watcher)
}

// fire removes the watches that a change triggers and notifies each watcher, only once even if it
// has watches of both kinds on a deleted node.
func (w *watches[W]) fire(c store.Change, notify func(W, zkwire.EventType, string)) {
	var event zkwire.EventType
	var triggered []watchKind
	switch c.Kind {
	case store.NodeCreated:
		event, triggered = zkwire.EventCreated, []watchKind{dataWatch}
	case store.NodeDeleted:
		event, triggered = zkwire.EventDeleted, []watchKind{dataWatch, childWatch}
	case store.DataChanged:
		event, triggered = zkwire.EventDataChanged, []watchKind{dataWatch}
	case store.ChildrenChanged:
		event, triggered = zkwire.EventChildrenChanged, []watchKind{childWatch}
	default:
		return
	}
	notified := map[W]bool{}
	for _, k := range triggered {
		for watcher := range w.byPath[k][c.Path] {
			delete(w.byWatcher[watcher], watchKey{k, c.Path})
			if !notified[watcher] {
				notified[watcher] = true
				notify(watcher, event, c.Path)
			}
		}
		delete(w.byPath[k], c.Path)
	}
}

// missedEvent returns the event that a watch would have reported for a change after the given zxid.
// It returns false if there was none, in which case the watch must be set again.
func missedEvent(set string, exists bool, stat zkwire.Stat, since int64) (zkwire.EventType, bool) {
	switch {
	case set == "exist":
		return zkwire.EventCreated, exists
	case !exists:
		return zkwire.EventDeleted, true
	case set == "data":
		return zkwire.EventDataChanged, stat.Mzxid > since
	}
	return zkwire.EventChildrenChanged, stat.Pzxid > since
}
