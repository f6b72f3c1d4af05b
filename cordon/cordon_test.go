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

type taken struct{ lists [][]router.Member }

func (t *taken) Discovered(members []router.Member, _ bool) { t.lists = append(t.lists, members) }

func (t *taken) last(name string) logic.Health {
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

func TestSuspendBindsWhateverDiscoverySaysUntilResume(t *testing.T) {
	path := filepath.Join(t.TempDir(), "set.json")
	next := &taken{}
	c := New(next, path, quiet())
	c.Discovered([]router.Member{member("w1", logic.Ready, 0), member("w2", logic.Ready, 0)}, true)

	require.ErrorIs(t, c.Suspend("never-listed"), ErrUnknown)
	require.NoError(t, c.Suspend("w1"))
	require.Equal(t, logic.Draining, next.last("w1"), "handed on as draining at once")
	require.NoError(t, c.Suspend("w1"), "a repeat changes nothing")

	// The worker restarts: gone, then back cold under a new start. It stays out.
	c.Discovered([]router.Member{member("w1", logic.Gone, 0)}, false)
	c.Discovered([]router.Member{member("w1", logic.Ready, 5)}, false)
	require.Equal(t, logic.Draining, next.last("w1"))
	require.Equal(t, logic.Ready, next.last("w2"))

	require.NoError(t, c.Resume("w1"))
	require.Equal(t, logic.Ready, next.last("w1"), "put back with its last line")
}

func TestTheSetOutlivesTheProcessAndReachesTheOther(t *testing.T) {
	path := filepath.Join(t.TempDir(), "set.json")
	oldNext, newNext := &taken{}, &taken{}
	old := New(oldNext, path, quiet())
	old.Discovered([]router.Member{member("w1", logic.Ready, 0)}, true)
	require.NoError(t, old.Suspend("w1"))

	// The next process reads the file at its start.
	next := New(newNext, path, quiet())
	require.True(t, (next.gate.Known("w1") || next.out["w1"]))
	next.Discovered([]router.Member{member("w1", logic.Ready, 0)}, true)
	require.Equal(t, logic.Draining, newNext.last("w1"))

	// A resume at the new process reaches the old one when it looks.
	require.NoError(t, next.Resume("w1"))
	old.mu.Lock()
	require.NoError(t, old.follow())
	old.mu.Unlock()
	require.Equal(t, logic.Ready, oldNext.last("w1"))
}

// A torn or foreign file must not keep the router from starting, nor end the bans
// in hand; it is reported with its path, once, and the next call replaces it.
func TestATornOrForeignFileIsReportedAndIgnored(t *testing.T) {
	for _, text := range []string{"", `{"suspended":["w`, "null", "[]", `{"workers":["w1"]}`, `{"suspended":[""]}`, "\x00\xff"} {
		path := filepath.Join(t.TempDir(), "set.json")
		require.NoError(t, writeFile(path, text))
		log, logged := test.NewNullLogger()
		next := &taken{}
		c := New(next, path, log)
		require.NoError(t, c.follow())
		require.Len(t, logged.Entries, 1, text)
		require.ErrorContains(t, logged.LastEntry().Data[logrus.ErrorKey].(error), path)
		c.Discovered([]router.Member{member("w1", logic.Ready, 0), member("w2", logic.Ready, 0)}, true)
		require.Equal(t, logic.Ready, next.last("w1"))

		require.NoError(t, c.Suspend("w1"))
		require.NoError(t, writeFile(path, text))
		require.NoError(t, c.follow())
		require.NoError(t, c.Suspend("w2"))
		after := New(&taken{}, path, quiet())
		require.True(t, after.out["w1"] && after.out["w2"], "the set in hand stays, and is written whole")
	}
}

// A folder that can't be looked into says nothing of the file: no ban ends by it.
func TestAFileThatCantBeLookedAtEndsNoBan(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "tmp")
	require.NoError(t, os.Mkdir(dir, 0o700))
	log, logged := test.NewNullLogger()
	next := &taken{}
	c := New(next, filepath.Join(dir, "set.json"), log)
	c.Discovered([]router.Member{member("w1", logic.Ready, 0)}, true)
	require.NoError(t, c.Suspend("w1"))
	require.NoError(t, os.RemoveAll(dir))
	require.NoError(t, writeFile(dir, "")) // no folder any more
	require.Error(t, c.follow())
	require.Error(t, c.follow())
	require.Error(t, c.Resume("w1"), "a change that can't be kept is answered no")
	require.Len(t, logged.Entries, 1)
	require.Equal(t, logic.Draining, next.last("w1"))
}

// withoutDescriptors runs f while this process can open no file.
func withoutDescriptors(t *testing.T, f func()) {
	var was syscall.Rlimit
	require.NoError(t, syscall.Getrlimit(syscall.RLIMIT_NOFILE, &was))
	require.NoError(t, syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: 0, Max: was.Max}))
	defer func() { require.NoError(t, syscall.Setrlimit(syscall.RLIMIT_NOFILE, &was)) }()
	f()
}

// No change of the file is missed, and none is written over, whatever the system says of the file for a moment.
func TestNoChangeOfTheFileIsMissed(t *testing.T) {
	both := func(t *testing.T) (path string, next *taken, c, other *Cordon) {
		path, next = filepath.Join(t.TempDir(), "set.json"), &taken{}
		c, other = New(next, path, quiet()), New(&taken{}, path, quiet())
		for _, each := range []*Cordon{c, other} {
			each.Discovered([]router.Member{member("w1", logic.Ready, 0), member("w2", logic.Ready, 0)}, true)
		}
		return path, next, c, other
	}
	// As where clients have all descriptors: what another process took out is out here too.
	t.Run("it can't be opened, and is read at the next look", func(t *testing.T) {
		_, next, c, other := both(t)
		require.NoError(t, other.Suspend("w1"))
		withoutDescriptors(t, func() { require.Error(t, c.follow()) })
		require.Equal(t, logic.Ready, next.last("w1"))
		require.NoError(t, c.follow())
		require.Equal(t, logic.Draining, next.last("w1"))
	})
	t.Run("it can't be opened, and is not written over", func(t *testing.T) {
		path, _, c, other := both(t)
		require.NoError(t, other.Suspend("w1"))
		withoutDescriptors(t, func() { require.Error(t, c.follow()) })
		require.NoError(t, c.Suspend("w2"))
		after := New(&taken{}, path, quiet())
		require.True(t, after.out["w1"] && after.out["w2"], "both processes' yes is kept")
	})
	// Two changes within one tick of the file system's clock, the second in the first one's inode.
	t.Run("it looks as before", func(t *testing.T) {
		path, next, c, _ := both(t)
		require.NoError(t, c.Suspend("w1"))
		at, err := os.Stat(path)
		require.NoError(t, err)
		require.NoError(t, writeFile(path, `{"suspended":["w2"],"version":9}`))
		require.NoError(t, os.Chtimes(path, at.ModTime(), at.ModTime()))
		require.NoError(t, c.follow())
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

// A worker that a whole list no longer names has gone: a change of who is out must not bring it back.
func TestGoneWorkerIsNotHandedOnAgain(t *testing.T) {
	next := &taken{}
	g := NewGate(next)
	g.Discovered([]router.Member{member("w1", logic.Ready, 0), member("w2", logic.Ready, 0)}, true)
	g.Set(map[string]float64{"w1": 0, "w2": 0.5})
	require.Equal(t, logic.Draining, next.last("w1"))
	require.Equal(t, logic.Ready, next.last("w2"))
	g.Discovered([]router.Member{member("w2", logic.Ready, 0)}, true)
	require.Len(t, g.Lines(), 1)
	calls := len(next.lists)
	g.Set(nil)
	require.Len(t, next.lists, calls+1)
	require.Len(t, next.lists[calls], 1, "w2 alone")
	require.True(t, g.Known("w1"))
}

// Consoles of several processes that change the file in one instant lose none of the changes, and versions only grow.
func TestConsolesInOneInstantLoseNothing(t *testing.T) {
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
		c := New(&taken{}, path, quiet())
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

// A file of a process that does not count is a version of its own.
func TestSetsWithoutAVersionCountOn(t *testing.T) {
	path := filepath.Join(t.TempDir(), "set.json")
	c := New(&taken{}, path, quiet())
	var seen []uint64
	c.OnChange(func(v uint64) { seen = append(seen, v) })
	c.Discovered([]router.Member{member("w1", logic.Ready, 0)}, true)
	require.NoError(t, c.Suspend("w1"))
	require.NoError(t, os.WriteFile(path+".new", []byte(`{"suspended":[]}`), 0o600))
	require.NoError(t, os.Rename(path+".new", path))
	c.mu.Lock()
	require.NoError(t, c.follow())
	c.mu.Unlock()
	require.Equal(t, []uint64{0, 1, 2}, seen)
}
