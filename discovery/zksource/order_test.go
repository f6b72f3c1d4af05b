package zksource

import (
	"fmt"
	"maps"
	"path"
	"slices"
	"testing"

	"github.com/go-zookeeper/zk"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lichenshelf/discovery/membership"
	"lichenshelf/discovery/zkrule"
)

// modelService is a coordination service in memory with one client. Events and results of reads
// reach the client in any order.
type modelService struct {
	zxid    int64
	parent  *zk.Stat // nil: it does not exist
	nodes   map[string]modelNode
	watches map[string]bool // paths with a watch of the client
	events  []zk.Event      // not delivered yet
}

type modelNode struct {
	port int
	stat zk.Stat
}

func (n modelNode) addr() string { return fmt.Sprintf("h:%d", n.port) }

// data states the node's czxid as the start time of its worker.
func (n modelNode) data() []byte {
	return fmt.Appendf(nil, `{"addr":%q,"started_at_ms":%d}`, n.addr(), n.stat.Czxid)
}

const modelParent = "/w"

func newModelService() *modelService {
	return &modelService{nodes: map[string]modelNode{}, watches: map[string]bool{}}
}

func (m *modelService) nodePath(name string) string { return path.Join(modelParent, name) }

func (m *modelService) fire(path string, event zk.EventType) {
	if m.watches[path] {
		delete(m.watches, path)
		m.events = append(m.events, zk.Event{Type: event, Path: path})
	}
}

func (m *modelService) createParent() {
	if m.parent == nil {
		m.zxid++
		m.parent = &zk.Stat{Czxid: m.zxid, Pzxid: m.zxid}
		m.fire(modelParent, zk.EventNodeCreated)
	}
}

func (m *modelService) deleteParent() {
	if m.parent != nil && len(m.nodes) == 0 {
		m.zxid++
		m.parent = nil
		m.fire(modelParent, zk.EventNodeDeleted)
	}
}

func (m *modelService) set(name string, port int) {
	if m.parent == nil {
		return
	}
	m.zxid++
	n, exists := m.nodes[name]
	n.port, n.stat.Mzxid = port, m.zxid
	if !exists {
		n.stat.Czxid, m.parent.Pzxid = m.zxid, m.zxid
	}
	m.nodes[name] = n
	if exists {
		m.fire(m.nodePath(name), zk.EventNodeDataChanged)
	} else {
		m.fire(modelParent, zk.EventNodeChildrenChanged)
	}
}

func (m *modelService) delete(name string) {
	if _, exists := m.nodes[name]; exists {
		m.zxid++
		m.parent.Pzxid = m.zxid
		delete(m.nodes, name)
		m.fire(m.nodePath(name), zk.EventNodeDeleted)
		m.fire(modelParent, zk.EventNodeChildrenChanged)
	}
}

// read performs a read as the service would now.
func (m *modelService) read(a readResult) readResult {
	switch n, exists := m.nodes[path.Base(a.path)]; {
	case a.path == modelParent && m.parent == nil:
		a.err = zk.ErrNoNode
		m.watches[a.path] = m.watches[a.path] || a.watch // an exists watch
	case a.path == modelParent:
		a.names, a.stat = slices.Sorted(maps.Keys(m.nodes)), *m.parent
		m.watches[a.path] = m.watches[a.path] || a.watch
	case !exists:
		a.err = zk.ErrNoNode
	default:
		a.data, a.stat = n.data(), n.stat
		m.watches[a.path] = m.watches[a.path] || a.watch
	}
	return a
}

// modelRead is a read in flight or its result.
type modelRead struct {
	readResult
	zxid int64 // the state of the service that it shows
}

// run is one run of a source against a model service.
type run struct {
	*rapid.T
	service           *modelService
	source            *Source
	sink              *recorder
	started, answered []modelRead
	gone              map[string]int64 // by node: the latest state that a list showed to be without it
}

func (r *run) pick(list *[]modelRead, label string) (a modelRead) {
	i := rapid.IntRange(0, len(*list)-1).Draw(r.T, label)
	a = (*list)[i]
	*list = slices.Delete(*list, i, i+1)
	return a
}

// step lets the service or the source make one step of a kind. It returns false if there is none.
func (r *run) step(kind int) bool {
	switch {
	case kind == 0 && len(r.source.queue) > 0 && r.source.inFlight < r.source.cfg.Parallel:
		r.started = append(r.started, modelRead{readResult: r.source.nextRead()})
	case kind == 1 && len(r.started) > 0:
		a := r.pick(&r.started, "read")
		r.answered = append(r.answered, modelRead{r.service.read(a.readResult), r.service.zxid})
	case kind == 2 && len(r.answered) > 0:
		r.handle(r.pick(&r.answered, "result"))
	case kind == 3 && len(r.service.events) > 0:
		ev := r.service.events[0]
		r.service.events = r.service.events[1:]
		require.True(r, r.source.handleEvent(ev, r.sink))
	default:
		return false
	}
	return true
}

// handle lets the source handle a result. A worker must not be added for a node that a list handled
// before has shown to be gone.
func (r *run) handle(a modelRead) {
	before := maps.Clone(r.sink.set)
	require.True(r, r.source.handleResult(a.readResult, r.sink))
	for name, e := range r.sink.set {
		if _, was := before[name]; !was {
			require.Greater(r, e.Since/1e6, r.gone[name], "node %s was added after a list without it", name)
		}
	}
	if a.path != modelParent {
		return
	}
	for _, name := range modelNames {
		if !slices.Contains(a.names, name) {
			r.gone[name] = max(r.gone[name], a.zxid)
		}
	}
}

var modelNames = []string{"a", "b", "c"}

// Reads are in flight together while nodes and their parent come and go, and results and events are
// handled in any order. Once all have been handled, the reported workers must be those that exist,
// without a resync.
func TestResultsInAnyOrderConverge(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r := &run{T: rt, service: newModelService(), sink: &recorder{}, gone: map[string]int64{},
			source: New(Config{Path: modelParent, Parallel: 4, Format: zkrule.JSON}, membership.Entry{Weight: 1})}
		r.source.enqueueAll()
		for range rapid.IntRange(1, 150).Draw(rt, "steps") {
			name := rapid.SampledFrom(modelNames).Draw(rt, "node")
			switch kind := rapid.IntRange(0, 9).Draw(rt, "step"); kind {
			case 4, 5:
				r.service.set(name, rapid.IntRange(1, 3).Draw(rt, "port"))
			case 6:
				r.service.delete(name)
			case 7:
				r.service.createParent()
			case 8:
				r.service.deleteParent()
			case 9:
				if rapid.IntRange(0, 9).Draw(rt, "resync") == 0 {
					r.source.enqueueAll()
				}
			default:
				r.step(kind)
			}
		}
		for moved := true; moved; {
			moved = false
			for kind := range 4 {
				moved = r.step(kind) || moved
			}
		}
		want, got := map[string]string{}, map[string]string{}
		for name, n := range r.service.nodes {
			want[name] = n.addr()
		}
		for name, e := range r.sink.set {
			got[name] = e.Addr
		}
		require.Equal(rt, want, got)
	})
}
