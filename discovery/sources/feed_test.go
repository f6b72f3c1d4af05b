package sources

import (
	"context"
	"errors"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"lichenshelf/conffile"
	"lichenshelf/discovery/membership"
	"lichenshelf/logic"
	"lichenshelf/router"
)

// recordingCore is a core that keeps the workers reported to it.
type recordingCore struct {
	mu      sync.Mutex
	members map[string]router.Member
	ids     map[logic.ServerID]string
	calls   int
}

func (c *recordingCore) Discovered(members []router.Member, whole bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls++
	if whole {
		c.members, c.ids = map[string]router.Member{}, map[logic.ServerID]string{}
	}
	for _, m := range members {
		c.members[m.Name] = m
		c.ids[m.Server] = m.Name
		if m.Health == logic.Gone {
			delete(c.members, m.Name)
		}
	}
}

func (c *recordingCore) health(name string) logic.Health {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m, ok := c.members[name]; ok {
		return m.Health
	}
	return logic.Gone
}

type testNames struct{}

func (testNames) Number(what, name string) (int, bool) {
	n, ok := map[string]int{"zone z2": 1, "kind mixed": 2}[what+" "+name]
	return n, ok
}

func discardLogger() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

func list(name string, workers ...Worker) Source {
	return Source{Name: name, Kind: KindList, Workers: workers}
}

var own = Source{Name: Own, Kind: KindOwn}

func TestFeedMergesAndReloads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		core := &recordingCore{}
		f := NewFeed(ModelAPI, core, nil, nil, discardLogger())
		require.False(t, f.Ready())
		require.NoError(t, f.Apply(ctx, nil, []Source{own, list("l", Worker{Name: "a", Addr: "h:1"}, Worker{Addr: "h:2"})}))
		synctest.Wait()
		require.Len(t, core.members, 2)
		require.True(t, f.Ready())
		f.Own().Discovered([]router.Member{{Name: "b", Addr: "h:3"}, {Name: "a", Addr: "h:1", Member: logic.Member{Health: logic.Draining}}}, true)
		require.Equal(t, logic.Draining, core.health("a"), "the core is notified before Discovered returns")
		require.Equal(t, logic.Ready, core.health("b"))

		// A port from before a reload drops its reports; unchanged sources continue.
		before, calls := f.Own(), core.calls
		require.NoError(t, f.Apply(ctx, nil, []Source{own, list("l", Worker{Name: "a", Addr: "h:1"})}))
		synctest.Wait()
		require.Same(t, before, f.Own())
		require.Len(t, core.members, 2)
		require.Greater(t, core.calls, calls)
		moved := own
		moved.LossShare = 0.5
		require.NoError(t, f.Apply(ctx, nil, []Source{moved, list("l", Worker{Name: "a", Addr: "h:1"})}))
		before.Report(membership.Report{Whole: true})
		require.Equal(t, logic.Draining, core.health("a"))
		f.Own().Report(membership.Report{Whole: true, Entries: []membership.Entry{{Name: "a", Addr: "h:1"}, {Name: "b", Addr: "h:3"}}})
		require.Equal(t, logic.Ready, core.health("a"))

		// Sources that cannot be applied change nothing.
		bad := []Source{own, {Name: "s", Kind: KindStore}}
		require.ErrorContains(t, f.Check(nil, bad), "s: api")
		require.ErrorContains(t, f.Apply(ctx, nil, bad), "no replica")
		require.Error(t, f.Apply(ctx, nil, []Source{own, own}))
		zoned := list("l")
		zoned.Zone = "z2"
		require.ErrorContains(t, f.Apply(ctx, nil, []Source{own, zoned}), "has no names of zones")
		require.Equal(t, logic.Ready, core.health("a"))
	})
}

func TestFeedNumbersZonesAndKinds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core := &recordingCore{}
		f := NewFeed(Platform, core, nil, testNames{}, discardLogger())
		s := list("l", Worker{Name: "a", Addr: "h:1"})
		s.Zone, s.MachineType = "z2", "mixed"
		require.NoError(t, f.Apply(t.Context(), nil, []Source{own, s}))
		synctest.Wait()
		require.Equal(t, 1, core.members["a"].Zone)
		require.Equal(t, 2, core.members["a"].Kind)
		s.MachineType = "else"
		require.ErrorContains(t, f.Apply(t.Context(), nil, []Source{own, s}), "else")
	})
}

// The feed's own timer must expire a stale list without any further report.
func TestFeedKeepsTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core := &recordingCore{}
		f := NewFeed(ModelAPI, core, nil, nil, discardLogger())
		s := own
		s.Keep = conffile.Duration{Duration: time.Minute}
		require.NoError(t, f.Apply(t.Context(), nil, []Source{s}))
		_, _, changed := f.View()
		f.Own().Report(membership.Report{Whole: true, Entries: []membership.Entry{{Name: "a", Addr: "h:1"}}})
		<-changed
		f.Own().Fail(errors.New("down"))
		time.Sleep(time.Minute - 1)
		synctest.Wait()
		require.Equal(t, logic.Ready, core.health("a"))
		time.Sleep(time.Nanosecond)
		synctest.Wait()
		require.Equal(t, logic.Gone, core.health("a"))
		require.False(t, f.Ready())
	})
}
