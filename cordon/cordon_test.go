package cordon

import (
	"io"
	"os"
	"path/filepath"
	"testing"

	"github.com/sirupsen/logrus"
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
	c, err := New(next, path, quiet())
	require.NoError(t, err)
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
	old, err := New(oldNext, path, quiet())
	require.NoError(t, err)
	old.Discovered([]router.Member{member("w1", logic.Ready, 0)}, true)
	require.NoError(t, old.Suspend("w1"))

	// The next process reads the file at its start.
	next, err := New(newNext, path, quiet())
	require.NoError(t, err)
	require.True(t, next.Known("w1"))
	next.Discovered([]router.Member{member("w1", logic.Ready, 0)}, true)
	require.Equal(t, logic.Draining, newNext.last("w1"))

	// A resume at the new process reaches the old one when it looks.
	require.NoError(t, next.Resume("w1"))
	old.mu.Lock()
	require.NoError(t, old.follow())
	old.mu.Unlock()
	require.Equal(t, logic.Ready, oldNext.last("w1"))
}

func TestAFileThatCantBeReadIsAnError(t *testing.T) {
	path := filepath.Join(t.TempDir(), "set.json")
	require.NoError(t, writeFile(path, "{not json"))
	_, err := New(&taken{}, path, quiet())
	require.ErrorContains(t, err, path)
}

func writeFile(path, text string) error { return os.WriteFile(path, []byte(text), 0o600) }
