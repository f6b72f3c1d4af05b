package cordon

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"lichenshelf/logic"
	"lichenshelf/router"
)

type recorder struct{ lists [][]router.Member }

func (t *recorder) Discovered(members []router.Member, _ bool) { t.lists = append(t.lists, members) }

func (t *recorder) last(name string) logic.Health {
	for i := len(t.lists) - 1; i >= 0; i-- {
		for _, m := range t.lists[i] {
			if m.Name == name {
				return m.Health
			}
		}
	}
	return 255
}

func quiet() *logrus.Logger { l := logrus.New(); l.SetOutput(io.Discard); return l }

func member(name string, h logic.Health, since logic.Time) router.Member {
	return router.Member{Name: name, Addr: "127.0.0.1:1", Member: logic.Member{Health: h, Since: since}}
}

func TestSuspensionHoldsUntilResume(t *testing.T) {
	path := filepath.Join(t.TempDir(), "set.json")
	next := &recorder{}
	c := New(next, path, quiet())
	c.Discovered([]router.Member{member("w1", logic.Ready, 0), member("w2", logic.Ready, 0)}, true)

	require.ErrorIs(t, c.Suspend("never-listed"), ErrUnknown)
	require.NoError(t, c.Suspend("w1"))
	require.Equal(t, logic.Draining, next.last("w1"), "forwarded as draining at once")
	require.NoError(t, c.Suspend("w1"), "a repeated suspension changes nothing")

	// The worker restarts: it leaves, and comes back cold with a new start time. It stays
	// suspended.
	c.Discovered([]router.Member{member("w1", logic.Gone, 0)}, false)
	c.Discovered([]router.Member{member("w1", logic.Ready, 5)}, false)
	require.Equal(t, logic.Draining, next.last("w1"))
	require.Equal(t, logic.Ready, next.last("w2"))

	require.NoError(t, c.Resume("w1"))
	require.Equal(t, logic.Ready, next.last("w1"), "restored as last listed")
}

func TestSetIsSharedBetweenProcesses(t *testing.T) {
	path := filepath.Join(t.TempDir(), "set.json")
	oldNext, newNext := &recorder{}, &recorder{}
	old := New(oldNext, path, quiet())
	old.Discovered([]router.Member{member("w1", logic.Ready, 0)}, true)
	require.NoError(t, old.Suspend("w1"))

	// The next process reads the file when it starts.
	next := New(newNext, path, quiet())
	require.True(t, (next.gate.Known("w1") || next.suspended["w1"]))
	next.Discovered([]router.Member{member("w1", logic.Ready, 0)}, true)
	require.Equal(t, logic.Draining, newNext.last("w1"))

	// A resume in the new process takes effect in the old one at its next reload.
	require.NoError(t, next.Resume("w1"))
	old.mu.Lock()
	require.NoError(t, old.reload())
	old.mu.Unlock()
	require.Equal(t, logic.Ready, oldNext.last("w1"))
}

// An invalid file, truncated or written by another program, must neither prevent the router from
// starting nor end current suspensions. It is reported once, with its path, and the next change
// replaces it.
func TestInvalidFileIsReportedAndIgnored(t *testing.T) {
	for _, text := range []string{"", `{"suspended":["w`, "null", "[]", `{"workers":["w1"]}`, `{"suspended":[""]}`, "\x00\xff"} {
		path := filepath.Join(t.TempDir(), "set.json")
		require.NoError(t, writeFile(path, text))
		log, logged := test.NewNullLogger()
		next := &recorder{}
		c := New(next, path, log)
		require.NoError(t, c.reload())
		require.Len(t, logged.Entries, 1, text)
		require.ErrorContains(t, logged.LastEntry().Data[logrus.ErrorKey].(error), path)
		c.Discovered([]router.Member{member("w1", logic.Ready, 0), member("w2", logic.Ready, 0)}, true)
		require.Equal(t, logic.Ready, next.last("w1"))

		require.NoError(t, c.Suspend("w1"))
		require.NoError(t, writeFile(path, text))
		require.NoError(t, c.reload())
		require.NoError(t, c.Suspend("w2"))
		after := New(&recorder{}, path, quiet())
		require.True(t, after.suspended["w1"] && after.suspended["w2"], "the current set stays, and is written completely")
	}
}

// If the directory can't be read, nothing is known about the file: no suspension ends.
func TestUnreadableFileKeepsSuspensions(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "tmp")
	require.NoError(t, os.Mkdir(dir, 0o700))
	log, logged := test.NewNullLogger()
	next := &recorder{}
	c := New(next, filepath.Join(dir, "set.json"), log)
	c.Discovered([]router.Member{member("w1", logic.Ready, 0)}, true)
	require.NoError(t, c.Suspend("w1"))
	require.NoError(t, os.RemoveAll(dir))
	require.NoError(t, writeFile(dir, "")) // a file instead of the directory
	require.Error(t, c.reload())
	require.Error(t, c.reload())
	require.Error(t, c.Resume("w1"), "a change that can't be stored is an error")
	require.Len(t, logged.Entries, 1)
	require.Equal(t, logic.Draining, next.last("w1"))
}

// withoutFileDescriptors runs f while this process can't open files.
func withoutFileDescriptors(t *testing.T, f func()) {
	var was syscall.Rlimit
	require.NoError(t, syscall.Getrlimit(syscall.RLIMIT_NOFILE, &was))
	require.NoError(t, syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: 0, Max: was.Max}))
	defer func() { require.NoError(t, syscall.Setrlimit(syscall.RLIMIT_NOFILE, &was)) }()
	f()
}

// No change of the file is missed or overwritten, whatever temporary errors the system returns.
func TestNoFileChangeIsMissed(t *testing.T) {
	both := func(t *testing.T) (path string, next *recorder, c, other *Cordon) {
		path, next = filepath.Join(t.TempDir(), "set.json"), &recorder{}
		c, other = New(next, path, quiet()), New(&recorder{}, path, quiet())
		for _, each := range []*Cordon{c, other} {
			each.Discovered([]router.Member{member("w1", logic.Ready, 0), member("w2", logic.Ready, 0)}, true)
		}
		return path, next, c, other
	}
	// As when clients use up all file descriptors: a suspension by another process still takes
	// effect.
	t.Run("can't be opened, and is read by the next reload", func(t *testing.T) {
		_, next, c, other := both(t)
		require.NoError(t, other.Suspend("w1"))
		withoutFileDescriptors(t, func() { require.Error(t, c.reload()) })
		require.Equal(t, logic.Ready, next.last("w1"))
		require.NoError(t, c.reload())
		require.Equal(t, logic.Draining, next.last("w1"))
	})
	t.Run("can't be opened, and is not overwritten", func(t *testing.T) {
		path, _, c, other := both(t)
		require.NoError(t, other.Suspend("w1"))
		withoutFileDescriptors(t, func() { require.Error(t, c.reload()) })
		require.NoError(t, c.Suspend("w2"))
		after := New(&recorder{}, path, quiet())
		require.True(t, after.suspended["w1"] && after.suspended["w2"], "the suspensions of both processes are kept")
	})
	// Two changes within one tick of the file system's clock, with the same modification time and
	// inode.
	t.Run("same modification time", func(t *testing.T) {
		path, next, c, _ := both(t)
		require.NoError(t, c.Suspend("w1"))
		at, err := os.Stat(path)
		require.NoError(t, err)
		require.NoError(t, writeFile(path, `{"suspended":["w2"],"version":9}`))
		require.NoError(t, os.Chtimes(path, at.ModTime(), at.ModTime()))
		require.NoError(t, c.reload())
		require.Equal(t, logic.Draining, next.last("w2"))
	})
}

func parseFile(path string) (map[string]bool, uint64, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, 0, err
	}
	return parse(text)
}

func writeFile(path, text string) error { return os.WriteFile(path, []byte(text), 0o600) }

// A worker that a complete list no longer contains has left: a change of the set must not bring it
// back.
func TestGoneWorkerIsNotForwardedAgain(t *testing.T) {
	next := &recorder{}
	g := NewGate(next)
	g.Discovered([]router.Member{member("w1", logic.Ready, 0), member("w2", logic.Ready, 0)}, true)
	g.Set(map[string]float64{"w1": 0, "w2": 0.5})
	require.Equal(t, logic.Draining, next.last("w1"))
	require.Equal(t, logic.Ready, next.last("w2"))
	g.Discovered([]router.Member{member("w2", logic.Ready, 0)}, true)
	require.Len(t, g.Members(), 1)
	calls := len(next.lists)
	g.Set(nil)
	require.Len(t, next.lists, calls+1)
	require.Len(t, next.lists[calls], 1, "only w2")
	require.True(t, g.Known("w1"))
}

// Concurrent changes by several processes are all kept, and versions only increase.
func TestConcurrentConsolesLoseNoChange(t *testing.T) {
	path := filepath.Join(t.TempDir(), "set.json")
	const processes, each = 4, 12
	var all []router.Member
	name := func(p, i int) string { return fmt.Sprintf("w-%d-%d", p, i) }
	for p := range processes {
		for i := range each {
			all = append(all, member(name(p, i), logic.Ready, 0))
		}
	}
	var done sync.WaitGroup
	for p := range processes {
		c := New(&recorder{}, path, quiet())
		last := uint64(0)
		c.OnChange(func(v uint64) {
			if v < last {
				t.Errorf("version %d after %d", v, last)
			}
			last = v
		})
		c.Discovered(all, true)
		done.Go(func() {
			for i := range each {
				if err := c.Suspend(name(p, i)); err != nil {
					t.Error(err)
				}
			}
		})
	}
	done.Wait()
	out, version, err := parseFile(path)
	require.NoError(t, err)
	require.Len(t, out, processes*each)
	require.EqualValues(t, processes*each, version, "one version for each change")
}

// A file without a version, as a process without version support writes it, counts as the next
// version.
func TestSetsWithoutVersionContinueCounting(t *testing.T) {
	path := filepath.Join(t.TempDir(), "set.json")
	c := New(&recorder{}, path, quiet())
	var seen []uint64
	c.OnChange(func(v uint64) { seen = append(seen, v) })
	c.Discovered([]router.Member{member("w1", logic.Ready, 0)}, true)
	require.NoError(t, c.Suspend("w1"))
	require.NoError(t, os.WriteFile(path+".new", []byte(`{"suspended":[]}`), 0o600))
	require.NoError(t, os.Rename(path+".new", path))
	c.mu.Lock()
	require.NoError(t, c.reload())
	c.mu.Unlock()
	require.Equal(t, []uint64{0, 1, 2}, seen)
}
