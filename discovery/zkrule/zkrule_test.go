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
			membership.Entry{Name: "n", Addr: "h:1", Weight: 2, Since: 7e6, Word: membership.Draining}},
		{Serverset, `{"serviceEndpoint":{"host":"h","port":1},"additionalEndpoints":{},"status":"ALIVE","shard":3}`,
			membership.Entry{Addr: "h:1", Weight: 1, Cell: 5}},
		{Serverset, `{"serviceEndpoint":{"host":"::1","port":1},"status":"STOPPING"}`,
			membership.Entry{Addr: "[::1]:1", Weight: 1, Cell: 5, Word: membership.Draining}},
		{Curator, `{"name":"s","id":"n","address":"h","port":1,"sslPort":null,"payload":null,"registrationTimeUTC":9,"serviceType":"DYNAMIC","uriSpec":null}`,
			membership.Entry{Name: "n", Addr: "h:1", Weight: 1, Cell: 5, Since: 9e6}},
		{Curator, `{"id":"n","address":"h","port":1,"enabled":false}`,
			membership.Entry{Name: "n", Addr: "h:1", Weight: 1, Cell: 5, Word: membership.Draining}},
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
		{"else", "{}", "unknown form"},
	} {
		_, err := c.format.Parse("n", []byte(c.data), template)
		require.ErrorContains(t, err, c.want, c.data)
	}
	require.True(t, Curator.Known())
	require.False(t, Format("else").Known())
}

// play drives a tracker by what a service would tell.
type play struct {
	*testing.T
	tracker *Tracker
	now     time.Time
	zxid    int64
}

func newPlay(t *testing.T, format Format) *play {
	return &play{T: t, tracker: New(format, template, 10*time.Second), now: t0}
}

func (p *play) made(name, data string) membership.Entry {
	p.Helper()
	p.zxid++
	tell, err := p.tracker.Node(p.now, name, []byte(data), Stat{p.zxid, p.zxid, p.now.UnixMilli()})
	require.NoError(p, err)
	require.Len(p, tell, 1)
	return tell[0]
}

func (p *play) gone(name string) {
	p.Helper()
	p.zxid++
	tell := p.tracker.Vanished(p.now, name)
	require.Len(p, tell, 1)
	require.Equal(p, membership.Gone, tell[0].Word)
}

func TestANodeMadeAgainSoonIsTheSameIncarnation(t *testing.T) {
	p := newPlay(t, JSON)
	first := p.made("n", `{"addr":"h:1"}`)
	require.Equal(t, t0.UnixNano(), first.Since, "it started when it was created")
	p.now = p.now.Add(time.Hour)
	p.gone("n")
	p.now = p.now.Add(900 * time.Millisecond)
	require.Equal(t, first, p.made("n", `{"addr":"h:1"}`), "a flap of its session")
	p.gone("n")
	p.now = p.now.Add(900 * time.Millisecond)
	require.Equal(t, p.now.UnixNano(), p.made("n", `{"addr":"h:2"}`).Since, "another address is another process")
	p.gone("n")
	p.now = p.now.Add(11 * time.Second)
	require.Equal(t, p.now.UnixNano(), p.made("n", `{"addr":"h:2"}`).Since, "too late for a flap")
}

func TestAStartTimeDecides(t *testing.T) {
	p := newPlay(t, JSON)
	first := p.made("n", `{"addr":"h:1","started_at_ms":5}`)
	p.gone("n")
	p.now = p.now.Add(time.Hour)
	require.Equal(t, first, p.made("n", `{"addr":"h:1","started_at_ms":5}`), "however long it took")
	p.gone("n")
	require.EqualValues(t, 6e6, p.made("n", `{"addr":"h:1","started_at_ms":6}`).Since, "a restart within the second")
}

func TestANodeMadeAgainBetweenTwoReadsHasVanished(t *testing.T) {
	p := newPlay(t, JSON)
	p.made("n", `{"addr":"h:1"}`)
	p.now = p.now.Add(time.Minute)
	tell, err := p.tracker.Node(p.now, "n", []byte(`{"addr":"h:1"}`), Stat{50, 50, p.now.UnixMilli()})
	require.NoError(t, err)
	require.Len(t, tell, 2)
	require.Equal(t, membership.Gone, tell[0].Word)
	require.Equal(t, t0.UnixNano(), tell[1].Since)
}

func TestHalfAnEntryLeavesTheWorkerAsItWas(t *testing.T) {
	p := newPlay(t, JSON)
	p.made("n", `{"addr":"h:1"}`)
	tell, err := p.tracker.Node(p.now, "n", []byte(`{"addr":"h:`), Stat{1, 2, 0})
	require.ErrorContains(t, err, "node n")
	require.Empty(t, tell)
	tell, err = p.tracker.Node(p.now, "n", []byte(`{"addr":"h:1","draining":true}`), Stat{1, 3, 0})
	require.NoError(t, err)
	require.Equal(t, membership.Draining, tell[0].Word)
	require.Equal(t, t0.UnixNano(), tell[0].Since)
	tell, err = p.tracker.Node(p.now, "n", []byte(`{"addr":"h:1"}`), Stat{1, 2, 0})
	require.NoError(t, err)
	require.Empty(t, tell, "an older read came late")
	p.gone("n")
}

func TestAnAddressGoesWithTheLastOfItsMembers(t *testing.T) {
	const data = `{"serviceEndpoint":{"host":"h","port":1},"status":"ALIVE"}`
	p := newPlay(t, Serverset)
	first := p.made("member_1", data)
	p.now = p.now.Add(time.Second)
	p.zxid++
	tell, err := p.tracker.Node(p.now, "member_2", []byte(data), Stat{p.zxid, p.zxid, p.now.UnixMilli()})
	require.NoError(t, err)
	require.Empty(t, tell, "registered again before the old session has expired")
	require.Empty(t, p.tracker.Vanished(p.now, "member_1"))
	p.gone("member_2")
	require.Equal(t, first, p.made("member_3", data))
}

func TestListsTellWhatToReadAndWhatVanished(t *testing.T) {
	p := newPlay(t, JSON)
	read, tell := p.tracker.List(p.now, []string{"a", "b"}, 1)
	require.ElementsMatch(t, []string{"a", "b"}, read)
	require.Empty(t, tell)
	p.zxid = 10
	p.made("a", `{"addr":"h:1"}`)
	read, _ = p.tracker.List(p.now, []string{"a", "b"}, 11)
	require.Equal(t, []string{"b"}, read)
	require.Empty(t, p.tracker.Vanished(p.now, "b"), "gone before it was read")
	p.zxid = 20
	p.made("c", `{"addr":"h:3"}`)
	_, tell = p.tracker.List(p.now, []string{"a"}, 15)
	require.Empty(t, tell, "the list is older than c")
	_, tell = p.tracker.List(p.now, nil, 14)
	require.Empty(t, tell, "the list is older than the one before")
	_, tell = p.tracker.List(p.now, []string{"c"}, 30)
	require.Equal(t, []membership.Entry{{Name: "a", Addr: "h:1", Word: membership.Gone}}, tell)
	require.Len(t, p.tracker.NoParent(p.now), 1)
	read, _ = p.tracker.List(p.now, []string{"x"}, 2)
	require.Equal(t, []string{"x"}, read, "a parent that was made again counts anew")
}

func TestWhatVanishedLongAgoIsForgotten(t *testing.T) {
	p := newPlay(t, JSON)
	for i := range 1000 {
		name := fmt.Sprint("n", i)
		p.made(name, `{"addr":"h:1"}`)
		p.gone(name)
		p.now = p.now.Add(time.Second)
	}
	require.LessOrEqual(t, len(p.tracker.workers), 12)
	require.Empty(t, p.tracker.nodes)
	require.LessOrEqual(t, len(p.tracker.left), 12)
}

// Whatever a service does, and in whatever order its reads come, in the end the
// words add up to the nodes that are there.
func TestWordsAddUpToTheNodes(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		type real struct {
			data string
			stat Stat
		}
		service, zxid, now := map[string]real{}, int64(0), t0
		tracker := New(Serverset, template, 3*time.Second)
		said := map[string]membership.Entry{}
		hear := func(tell []membership.Entry) {
			for _, e := range tell {
				if e.Word == membership.Gone {
					delete(said, e.Addr)
				} else {
					said[e.Addr] = e
				}
			}
		}
		var late []func() // reads that were made but not told yet
		list := func() {
			var names []string
			for name := range service {
				names = append(names, name)
			}
			slices.Sort(names)
			at := zxid
			late = append(late, func() { _, tell := tracker.List(now, names, at); hear(tell) })
		}
		get := func(name string) {
			n, ok := service[name]
			late = append(late, func() {
				if !ok {
					return // an absence is told by the next list
				}
				tell, _ := tracker.Node(now, name, []byte(n.data), n.stat)
				hear(tell)
			})
		}
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			name := rapid.SampledFrom([]string{"m1", "m2", "m3"}).Draw(rt, "node")
			data := fmt.Sprintf(`{"serviceEndpoint":{"host":"h","port":%d},"status":"ALIVE"}`, rapid.IntRange(1, 2).Draw(rt, "port"))
			zxid++
			switch n, ok := service[name]; rapid.IntRange(0, 4).Draw(rt, "what") {
			case 0:
				if !ok {
					service[name] = real{data, Stat{zxid, zxid, now.UnixMilli()}}
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
			for len(late) > 0 && rapid.Bool().Draw(rt, "told") {
				late[0]()
				late = late[1:]
			}
			now = now.Add(time.Second)
		}
		for _, f := range late {
			f()
		}
		// A full re-read, as after an event or a resync.
		late = nil
		list()
		for name := range service {
			get(name)
		}
		for _, f := range late {
			f()
		}
		want := map[string]bool{}
		for _, n := range service {
			e, err := Serverset.Parse("", []byte(n.data), template)
			require.NoError(rt, err)
			want[e.Addr] = true
		}
		got := map[string]bool{}
		for addr := range said {
			got[addr] = true
		}
		require.Equal(rt, want, got)
	})
}
