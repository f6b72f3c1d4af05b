package zkrule

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lichenshelf/discovery/membership"
)

var (
	t0       = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	template = membership.Entry{Weight: 1, Cell: 5}
)

func TestFormats(t *testing.T) {
	for _, c := range []struct {
		format Format
		data   string
		want   membership.Entry
	}{
		{JSON, `{"addr":"h:1"}`, membership.Entry{Name: "n", Addr: "h:1", Weight: 1, Cell: 5}},
		{JSON, `{"addr":"h:1","cell":0,"weight":2,"draining":true,"started_at_ms":7,"else":1}`,
			membership.Entry{Name: "n", Addr: "h:1", Weight: 2, Since: 7e6, Status: membership.Draining}},
		{Serverset, `{"serviceEndpoint":{"host":"h","port":1},"additionalEndpoints":{},"status":"ALIVE","shard":3}`,
			membership.Entry{Addr: "h:1", Weight: 1, Cell: 5}},
		{Serverset, `{"serviceEndpoint":{"host":"::1","port":1},"status":"STOPPING"}`,
			membership.Entry{Addr: "[::1]:1", Weight: 1, Cell: 5, Status: membership.Draining}},
		{Curator, `{"name":"s","id":"n","address":"h","port":1,"sslPort":null,"payload":null,"registrationTimeUTC":9,"serviceType":"DYNAMIC","uriSpec":null}`,
			membership.Entry{Name: "n", Addr: "h:1", Weight: 1, Cell: 5, Since: 9e6}},
		{Curator, `{"id":"n","address":"h","port":1,"enabled":false}`,
			membership.Entry{Name: "n", Addr: "h:1", Weight: 1, Cell: 5, Status: membership.Draining}},
	} {
		got, err := c.format.Parse("n", []byte(c.data), template)
		require.NoError(t, err, c.data)
		require.Equal(t, c.want, got)
	}
	for _, c := range []struct {
		format     Format
		data, want string
	}{
		{JSON, "", "empty"}, {JSON, `{"addr":"h:`, "not the JSON"}, {JSON, `{"addr":"h"}`, `address "h"`}, {JSON, `{"addr":"h:1","weight":-1}`, "weight -1"},
		{JSON, `{"addr":"h:1","started_at_ms":-5}`, "before 1970"},
		{Serverset, `{"status":"ALIVE"}`, "serviceEndpoint"}, {Serverset, `{"serviceEndpoint":{"host":"h","port":1},"status":"FINE"}`, `"FINE"`},
		{Serverset, `{"serviceEndpoint":{"host":"","port":1},"status":"ALIVE"}`, "no address"}, {Serverset, `{"serviceEndpoint":{"host":"h","port":70000},"status":"ALIVE"}`, "70000"},
		{Curator, `{"id":"other","address":"h","port":1}`, `"other"`}, {Curator, `{"id":"n","address":"h","port":null}`, "port"},
		{"else", "{}", "unknown format"},
	} {
		_, err := c.format.Parse("n", []byte(c.data), template)
		require.ErrorContains(t, err, c.want, c.data)
	}
	require.True(t, Curator.Known())
	require.False(t, Format("else").Known())
}

// harness drives a tracker as a service would.
type harness struct {
	*testing.T
	tracker *Tracker
	now     time.Time
	zxid    int64
}

func newHarness(t *testing.T, format Format) *harness {
	return &harness{T: t, tracker: New(format, template, 10*time.Second), now: t0}
}

func (p *harness) create(name, data string) membership.Entry {
	p.Helper()
	p.zxid++
	changes, err := p.tracker.Node(p.now, name, []byte(data), Stat{p.zxid, p.zxid, p.now.UnixMilli()})
	require.NoError(p, err)
	require.Len(p, changes, 1)
	return changes[0]
}

func (p *harness) remove(name string) {
	p.Helper()
	p.zxid++
	changes := p.tracker.NodeRemoved(p.now, name)
	require.Len(p, changes, 1)
	require.Equal(p, membership.Gone, changes[0].Status)
}

func TestNodeRecreatedSoonKeepsIncarnation(t *testing.T) {
	p := newHarness(t, JSON)
	first := p.create("n", `{"addr":"h:1"}`)
	require.Equal(t, t0.UnixNano(), first.Since, "without a start time, the worker started when its node was created")
	p.now = p.now.Add(time.Hour)
	p.remove("n")
	p.now = p.now.Add(900 * time.Millisecond)
	require.Equal(t, first, p.create("n", `{"addr":"h:1"}`), "the session flapped")
	p.remove("n")
	p.now = p.now.Add(900 * time.Millisecond)
	require.Equal(t, p.now.UnixNano(), p.create("n", `{"addr":"h:2"}`).Since, "another address means another process")
	p.remove("n")
	p.now = p.now.Add(11 * time.Second)
	require.Equal(t, p.now.UnixNano(), p.create("n", `{"addr":"h:2"}`).Since, "the flap window has passed")
}

func TestStartTimeDeterminesIncarnation(t *testing.T) {
	p := newHarness(t, JSON)
	first := p.create("n", `{"addr":"h:1","started_at_ms":5}`)
	p.remove("n")
	p.now = p.now.Add(time.Hour)
	require.Equal(t, first, p.create("n", `{"addr":"h:1","started_at_ms":5}`), "the same start time means the same incarnation, however long the node was missing")
	p.remove("n")
	require.EqualValues(t, 6e6, p.create("n", `{"addr":"h:1","started_at_ms":6}`).Since, "another start time means a restart")
}

func TestNodeRecreatedBetweenReadsIsReportedRemoved(t *testing.T) {
	p := newHarness(t, JSON)
	p.create("n", `{"addr":"h:1"}`)
	p.now = p.now.Add(time.Minute)
	changes, err := p.tracker.Node(p.now, "n", []byte(`{"addr":"h:1"}`), Stat{50, 50, p.now.UnixMilli()})
	require.NoError(t, err)
	require.Len(t, changes, 2)
	require.Equal(t, membership.Gone, changes[0].Status)
	require.Equal(t, t0.UnixNano(), changes[1].Since)
}

func TestMalformedDataKeepsWorker(t *testing.T) {
	p := newHarness(t, JSON)
	p.create("n", `{"addr":"h:1"}`)
	changes, err := p.tracker.Node(p.now, "n", []byte(`{"addr":"h:`), Stat{1, 2, 0})
	require.ErrorContains(t, err, "node n")
	require.Empty(t, changes)
	changes, err = p.tracker.Node(p.now, "n", []byte(`{"addr":"h:1","draining":true}`), Stat{1, 3, 0})
	require.NoError(t, err)
	require.Equal(t, membership.Draining, changes[0].Status)
	require.Equal(t, t0.UnixNano(), changes[0].Since)
	changes, err = p.tracker.Node(p.now, "n", []byte(`{"addr":"h:1"}`), Stat{1, 2, 0})
	require.NoError(t, err)
	require.Empty(t, changes, "the result of an older read arrived late")
	p.remove("n")
}

func TestWorkerIsRemovedWithItsLastNode(t *testing.T) {
	const data = `{"serviceEndpoint":{"host":"h","port":1},"status":"ALIVE"}`
	p := newHarness(t, Serverset)
	first := p.create("member_1", data)
	p.now = p.now.Add(time.Second)
	p.zxid++
	changes, err := p.tracker.Node(p.now, "member_2", []byte(data), Stat{p.zxid, p.zxid, p.now.UnixMilli()})
	require.NoError(t, err)
	require.Empty(t, changes, "the worker registered again before its old session expired")
	require.Empty(t, p.tracker.NodeRemoved(p.now, "member_1"))
	p.remove("member_2")
	require.Equal(t, first, p.create("member_3", data))
}

func TestListReturnsNodesToReadAndRemovals(t *testing.T) {
	p := newHarness(t, JSON)
	read, changes := p.tracker.List(p.now, []string{"a", "b"}, 1)
	require.ElementsMatch(t, []string{"a", "b"}, read)
	require.Empty(t, changes)
	p.zxid = 10
	p.create("a", `{"addr":"h:1"}`)
	read, _ = p.tracker.List(p.now, []string{"a", "b"}, 11)
	require.Equal(t, []string{"b"}, read)
	require.Empty(t, p.tracker.NodeRemoved(p.now, "b"), "removed before it was read")
	p.zxid = 20
	p.create("c", `{"addr":"h:3"}`)
	_, changes = p.tracker.List(p.now, []string{"a"}, 15)
	require.Empty(t, changes, "the list is older than c")
	_, changes = p.tracker.List(p.now, nil, 14)
	require.Empty(t, changes, "the list is older than the previous one")
	_, changes = p.tracker.List(p.now, []string{"c"}, 30)
	require.Equal(t, []membership.Entry{{Name: "a", Addr: "h:1", Status: membership.Gone}}, changes)
	require.Len(t, p.tracker.ParentRemoved(p.now), 1)
	read, _ = p.tracker.List(p.now, []string{"x"}, 2)
	require.Equal(t, []string{"x"}, read, "a recreated parent may have a lower pzxid")
}

func TestRemovedWorkersAreForgotten(t *testing.T) {
	p := newHarness(t, JSON)
	for i := range 1000 {
		name := fmt.Sprint("n", i)
		p.create(name, `{"addr":"h:1"}`)
		p.remove(name)
		p.now = p.now.Add(time.Second)
	}
	require.LessOrEqual(t, len(p.tracker.workers), 12)
	require.Empty(t, p.tracker.nodes)
	require.LessOrEqual(t, len(p.tracker.recentlyRemoved), 12)
}

// Random operations of a service, whose reads are processed late: after a full re-read, the
// accumulated changes must match the existing nodes.
func TestChangesConvergeToNodes(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		type nodeState struct {
			data string
			stat Stat
		}
		service, zxid, now := map[string]nodeState{}, int64(0), t0
		tracker := New(Serverset, template, 3*time.Second)
		reported := map[string]membership.Entry{}
		apply := func(changes []membership.Entry) {
			for _, e := range changes {
				if e.Status == membership.Gone {
					delete(reported, e.Addr)
				} else {
					reported[e.Addr] = e
				}
			}
		}
		var pending []func() // reads whose results have not been processed yet
		list := func() {
			var names []string
			for name := range service {
				names = append(names, name)
			}
			slices.Sort(names)
			at := zxid
			pending = append(pending, func() { _, changes := tracker.List(now, names, at); apply(changes) })
		}
		get := func(name string) {
			n, ok := service[name]
			pending = append(pending, func() {
				if !ok {
					return // the next list reports that the node does not exist
				}
				changes, _ := tracker.Node(now, name, []byte(n.data), n.stat)
				apply(changes)
			})
		}
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			name := rapid.SampledFrom([]string{"m1", "m2", "m3"}).Draw(rt, "node")
			data := fmt.Sprintf(`{"serviceEndpoint":{"host":"h","port":%d},"status":"ALIVE"}`, rapid.IntRange(1, 2).Draw(rt, "port"))
			zxid++
			switch n, ok := service[name]; rapid.IntRange(0, 4).Draw(rt, "what") {
			case 0:
				if !ok {
					service[name] = nodeState{data, Stat{zxid, zxid, now.UnixMilli()}}
				}
			case 1:
				delete(service, name)
			case 2:
				if ok {
					n.data, n.stat.Mzxid = data, zxid
					service[name] = n
				}
			case 3:
				list()
			case 4:
				get(name)
			}
			for len(pending) > 0 && rapid.Bool().Draw(rt, "processed") {
				pending[0]()
				pending = pending[1:]
			}
			now = now.Add(time.Second)
		}
		for _, f := range pending {
			f()
		}
		// A full re-read, as after a resync.
		pending = nil
		list()
		for name := range service {
			get(name)
		}
		for _, f := range pending {
			f()
		}
		want := map[string]bool{}
		for _, n := range service {
			e, err := Serverset.Parse("", []byte(n.data), template)
			require.NoError(rt, err)
			want[e.Addr] = true
		}
		got := map[string]bool{}
		for addr := range reported {
			got[addr] = true
		}
		require.Equal(rt, want, got)
	})
}

// Answers to reads that are in flight together are handled in any order. One with a node's data, read
// before the node was removed but handled after a list without it, must not add the worker again: no
// later event would remove it before the next resync.
func TestOvertakenReadOfRemovedNodeIsDropped(t *testing.T) {
	p := newHarness(t, JSON)
	p.create("n", `{"addr":"h:1"}`)
	stat := p.tracker.nodes["n"].stat
	_, changes := p.tracker.List(p.now, nil, p.zxid+1)
	require.Len(t, changes, 1)
	changes, err := p.tracker.Node(p.now, "n", []byte(`{"addr":"h:1"}`), stat)
	require.NoError(t, err)
	require.Empty(t, changes)
}

// A read that found no node carries no zxid. If the node was seen since that read began, either result
// may be the newer one: the worker must stay, and the node has to be read again.
func TestOvertakenReadThatFoundNoNodeIsRepeated(t *testing.T) {
	for name, see := range map[string]func(*harness){
		"by its data": func(p *harness) { p.create("n", `{"addr":"h:1"}`) },
		"by a list":   func(p *harness) { p.tracker.List(p.now, []string{"n"}, p.zxid+1) },
	} {
		t.Run(name, func(t *testing.T) {
			p := newHarness(t, JSON)
			began := p.tracker.Now()
			see(p)
			changes, conclusive := p.tracker.NodeMissing(p.now, "n", began)
			require.False(t, conclusive)
			require.Empty(t, changes)
			require.Equal(t, []string{"n"}, p.tracker.Names())
			_, conclusive = p.tracker.NodeMissing(p.now, "n", p.tracker.Now())
			require.True(t, conclusive)
			require.Empty(t, p.tracker.Names())
		})
	}
}

// The same for a read that found no parent: nodes that were seen since it began stay and have to be
// read, the others are removed. What was read before it ended may be older.
func TestOvertakenReadThatFoundNoParentKeepsNewerNodes(t *testing.T) {
	p := newHarness(t, JSON)
	p.create("old", `{"addr":"h:1"}`)
	began := p.tracker.Now()
	p.create("new", `{"addr":"h:2"}`)
	during := p.tracker.Now()
	toRead, changes := p.tracker.ParentMissing(p.now, began)
	require.Equal(t, []string{"new"}, toRead)
	require.Equal(t, []membership.Entry{{Name: "old", Addr: "h:1", Status: membership.Gone}}, changes)
	require.True(t, p.tracker.IsOvertaken(during))
	require.False(t, p.tracker.IsOvertaken(p.tracker.Now()))
}

// A node is removed and created again while a read of it is in flight. The lists show that its data is
// that of the removed one.
func TestDataOfRecreatedNodesPredecessorIsDropped(t *testing.T) {
	p := newHarness(t, JSON)
	old := Stat{Czxid: 2, Mzxid: 2}
	p.tracker.List(p.now, []string{"n"}, 2)
	p.tracker.List(p.now, nil, 7)
	toRead, _ := p.tracker.List(p.now, []string{"n"}, 8)
	require.Equal(t, []string{"n"}, toRead)
	changes, err := p.tracker.Node(p.now, "n", []byte(`{"addr":"h:1"}`), old)
	require.NoError(t, err)
	require.Empty(t, changes)
	changes, err = p.tracker.Node(p.now, "n", []byte(`{"addr":"h:1"}`), Stat{Czxid: 8, Mzxid: 8})
	require.NoError(t, err)
	require.Len(t, changes, 1)
}
