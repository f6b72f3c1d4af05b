// Package zkfront lets ZooKeeper clients use the replicated store: it speaks
// their protocol at a replica of the store, over the same state as the HTTP API.
//
// What a client may rely on is what ZooKeeper promises: its calls are answered in
// the order in which it made them; a watch is told before the read that would show
// the change; it never sees a state older than one that it has seen, at whatever
// replica. When the outcome of a write is not known, its connection is closed, and
// the client's library tells it so.
package zkfront

import (
	"lichenshelf/discovery/zkwire"
	"lichenshelf/store"
)

// kind is a kind of watch. Reads of data and of existence set one kind: both tell
// when a node comes, goes, or changes its data.
type kind uint8

const (
	dataWatch kind = iota
	childWatch
	kinds
)

// watches is who waits for which path's next change. W is the watcher. It is not
// safe for concurrent use.
type watches[W comparable] struct {
	byPath [kinds]map[string]map[W]struct{}
	of     map[W]map[spot]struct{}
}

// spot is what one watch is set on.
type spot struct {
	kind kind
	path string
}

func newWatches[W comparable]() *watches[W] {
	w := &watches[W]{of: map[W]map[spot]struct{}{}}
	for k := range w.byPath {
		w.byPath[k] = map[string]map[W]struct{}{}
	}
	return w
}

// set has a watcher told once of the path's next change.
func (w *watches[W]) set(who W, k kind, path string) {
	if w.byPath[k][path] == nil {
		w.byPath[k][path] = map[W]struct{}{}
	}
	w.byPath[k][path][who] = struct{}{}
	if w.of[who] == nil {
		w.of[who] = map[spot]struct{}{}
	}
	w.of[who][spot{k, path}] = struct{}{}
}

// count is how many watches a watcher has set.
func (w *watches[W]) count(who W) int { return len(w.of[who]) }

// drop takes away all watches of a watcher.
func (w *watches[W]) drop(who W) {
	for s := range w.of[who] {
		if delete(w.byPath[s.kind][s.path], who); len(w.byPath[s.kind][s.path]) == 0 {
			delete(w.byPath[s.kind], s.path)
		}
	}
	delete(w.of, who)
}

// fire takes the watches that a change sets off and tells each watcher, once even
// if it has watches of both kinds on a node that goes.
func (w *watches[W]) fire(c store.Change, tell func(W, zkwire.EventType, string)) {
	var event zkwire.EventType
	var hit []kind
	switch c.Kind {
	case store.NodeCreated:
		event, hit = zkwire.EventCreated, []kind{dataWatch}
	case store.NodeDeleted:
		event, hit = zkwire.EventDeleted, []kind{dataWatch, childWatch}
	case store.DataChanged:
		event, hit = zkwire.EventDataChanged, []kind{dataWatch}
	case store.ChildrenChanged:
		event, hit = zkwire.EventChildrenChanged, []kind{childWatch}
	default:
		return
	}
	told := map[W]bool{}
	for _, k := range hit {
		for who := range w.byPath[k][c.Path] {
			delete(w.of[who], spot{k, c.Path})
			if !told[who] {
				told[who] = true
				tell(who, event, c.Path)
			}
		}
		delete(w.byPath[k], c.Path)
	}
}

// missed is what a watch that is set again would have told meanwhile: there is
// nothing to tell, and the watch is to be set, if it returns false.
func missed(set string, there bool, stat zkwire.Stat, since int64) (zkwire.EventType, bool) {
	switch {
	case set == "exist":
		return zkwire.EventCreated, there
	case !there:
		return zkwire.EventDeleted, true
	case set == "data":
		return zkwire.EventDataChanged, stat.Mzxid > since
	}
	return zkwire.EventChildrenChanged, stat.Pzxid > since
}
