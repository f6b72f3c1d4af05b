package store

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/hashicorp/raft"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// namedWrite is a named write and its first result.
type namedWrite struct {
	command command
	first   *Result // nil: not applied yet
}

// For any order of repeats, a named write is applied at most once and always has the same answer; a
// first attempt that carries the latest operation is never refused. Snapshots don't affect this,
// and the number of retained answers stays within its limit.
func TestNamedWritesAreAppliedOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := newFSM()
		m.tree.Answers.limit = rapid.IntRange(1, 6).Draw(rt, "kept")
		maxKept := m.tree.Answers.limit
		index := uint64(0)
		apply := func(c command) *Result {
			text, err := json.Marshal(c)
			require.NoError(rt, err)
			index++
			return toResult(index, m.Apply(&raft.Log{Index: index, Data: text}))
		}
		require.NoError(rt, apply(command{Op: opCreate, Path: "/n"}).Err)
		var writes []*namedWrite
		applied := int64(0)
		for i := range rapid.IntRange(1, 60).Draw(rt, "steps") {
			switch rapid.IntRange(0, 9).Draw(rt, "step") {
			case 0:
				s, err := m.Snapshot()
				require.NoError(rt, err)
				require.NoError(rt, m.Restore(io.NopCloser(bytes.NewReader(s.(snapshot)))))
				m.tree.Answers.limit = maxKept
			case 1, 2, 3, 4: // first attempt, possibly with an older operation seen
				seen := index - uint64(rapid.IntRange(0, int(min(index, 8))).Draw(rt, "old"))
				w := &namedWrite{command: command{Op: opSet, Path: "/n", Version: AnyVersion, Write: fmt.Sprint("w", i), Seen: seen}}
				if rapid.IntRange(0, 3).Draw(rt, "fails") == 0 {
					w.command.Version = 1 << 40
				}
				writes = append(writes, w)
				if r := apply(w.command); seen == index-1 || r.Err == nil || faultName(r.Err) == "bad-version" {
					require.NotErrorIs(rt, r.Err, ErrForgotten)
					w.first = r
					if r.Err == nil {
						applied++
					}
				}
			default: // repeat
				if len(writes) == 0 {
					continue
				}
				w := rapid.SampledFrom(writes).Draw(rt, "again")
				r := apply(w.command)
				switch {
				case faultName(r.Err) == "forgotten":
				case w.first == nil:
					w.first = r
					if r.Err == nil {
						applied++
					}
				default:
					require.Equal(rt, w.first.Index, r.Index)
					require.Equal(rt, faultName(w.first.Err), faultName(r.Err))
					require.Equal(rt, fmt.Sprint(w.first.Err), fmt.Sprint(r.Err))
				}
			}
			n, err := m.tree.find("/n")
			require.NoError(rt, err)
			require.Equal(rt, applied, n.Stat.Version, "each write is applied once")
			require.LessOrEqual(rt, len(m.tree.Answers.Kept), maxKept)
			require.Len(rt, m.tree.Answers.byName, len(m.tree.Answers.Kept))
		}
	})
}

// A repeated write without a name is applied again, which shows that the property above depends on
// the retained answers.
func TestUnnamedWriteIsAppliedAgain(t *testing.T) {
	m := newFSM()
	for i, c := range []command{{Op: opCreate, Path: "/n"}, {Op: opSet, Path: "/n", Version: AnyVersion}, {Op: opSet, Path: "/n", Version: AnyVersion}} {
		text, err := json.Marshal(c)
		require.NoError(t, err)
		require.Nil(t, m.Apply(&raft.Log{Index: uint64(i + 1), Data: text}))
	}
	n, err := m.tree.find("/n")
	require.NoError(t, err)
	require.EqualValues(t, 2, n.Stat.Version)
}

// The API answers a repeated write like the first: a session has the same ID, a create does not
// fail on its own node, and a refusal stays one.
func TestAPIRepeatsAnswerOfNamedWrite(t *testing.T) {
	c := newCluster(t)
	api := "http://" + c.cfg[c.leader()].Self().API
	call := func(method, path, body, name, seen string) (int, string) {
		req, err := http.NewRequest(method, api+path, strings.NewReader(body))
		require.NoError(t, err)
		req.Header.Set(WriteHeader, name)
		req.Header.Set(WriteSeenHeader, seen)
		resp, err := http.DefaultClient.Do(req)
		require.NoError(t, err)
		defer resp.Body.Close()
		text, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		return resp.StatusCode, string(text)
	}
	for _, w := range []struct {
		method, path, body string
		status             int
	}{
		{http.MethodPost, "/v1/sessions", `{"timeout_ms":60000}`, 201},
		{http.MethodPost, "/v1/nodes/a", "x", 201},
		{http.MethodPut, "/v1/nodes/a?version=0", "y", 204},
		{http.MethodPut, "/v1/nodes/a?version=7", "z", 409},
		{http.MethodDelete, "/v1/nodes/a", "", 204},
		{http.MethodDelete, "/v1/nodes/none", "", 404},
	} {
		name := "w-" + w.method + strings.NewReplacer("/", "-", "?", "-").Replace(w.path)
		status, first := call(w.method, w.path, w.body, name, "0")
		require.Equal(t, w.status, status, "%s %s: %s", w.method, w.path, first)
		status, again := call(w.method, w.path, w.body, name, "0")
		require.Equal(t, w.status, status, "%s %s: %s", w.method, w.path, again)
		require.Equal(t, first, again)
	}
	for _, bad := range [][2]string{{"a b", "0"}, {strings.Repeat("x", maxWriteNameBytes+1), "0"}, {"w", "-1"}, {"w", "soon"}} {
		status, text := call(http.MethodPost, "/v1/nodes/b", "", bad[0], bad[1])
		require.Equal(t, 400, status, text)
	}
}

// A new client can write at once, also after answers have been dropped; a client whose write may
// have been applied long ago gets ErrUnknown.
func TestWriteOlderThanKeptAnswers(t *testing.T) {
	c := newCluster(t)
	c.do(func(l *Replica) error { return l.Create("/n", nil, "") })
	for _, r := range c.replicas {
		r.machine.mu.Lock()
		r.machine.tree.Answers.limit = 2
		r.machine.mu.Unlock()
	}
	addr := c.cfg[c.leader()].Self().API
	first := NewClient(addr)
	for range 5 {
		require.NoError(t, first.Set("/n", nil, AnyVersion))
	}
	require.NoError(t, NewClient(addr).Set("/n", nil, AnyVersion), "no answer was dropped since the refusal that gave the client its version")
	require.NoError(t, NewClient("127.0.0.1:1", addr).Set("/n", nil, AnyVersion), "nothing was sent to the unreachable replica")
	mute, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = mute.Close() })
	go func() {
		for {
			conn, err := mute.Accept()
			if err != nil {
				return
			}
			_ = conn.Close()
		}
	}()
	late := NewClient(mute.Addr().String(), addr) // the first replica may have applied the write
	require.ErrorIs(t, late.Set("/n", nil, AnyVersion), ErrUnknown)
	n, err := first.Node("/n")
	require.NoError(t, err)
	require.EqualValues(t, 7, n.Stat.Version)
}

// BenchmarkWrites measures the cost of naming a write: go test ./store -run xxx -bench Writes
func BenchmarkWrites(b *testing.B) {
	c := newCluster(b)
	require.NoError(b, c.do(func(l *Replica) error { return l.Create("/n", nil, "") }))
	l := c.replicas[c.leader()]
	var last atomic.Uint64
	for _, atOnce := range []int{1, 16, 128} {
		for _, named := range []bool{false, true} {
			b.Run(fmt.Sprintf("at-once=%d/named=%v", atOnce, named), func(b *testing.B) {
				b.SetParallelism(max(atOnce/runtime.GOMAXPROCS(0), 1))
				if atOnce == 1 {
					defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
				}
				b.RunParallel(func(pb *testing.PB) {
					for pb.Next() {
						w := command{Op: opSet, Path: "/n", Version: AnyVersion}
						if named {
							w.Write, w.Seen = fmt.Sprint("w", last.Add(1)), 1<<62
						}
						if err := l.do(w); err != nil {
							b.Error(err)
						}
					}
				})
			})
		}
	}
}
