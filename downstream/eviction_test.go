package downstream

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// evictedBefore defines the eviction order by comparing two connections.
func evictedBefore(c, than *conn) bool {
	switch {
	case c.ending != than.ending:
		return c.ending
	case c.phase != than.phase:
		return c.phase < than.phase
	}
	return c.since.Before(than.since)
}

// Whatever happens to the connections, the victim is the one that a scan of all of them finds.
func TestVictimMatchesFullScan(t *testing.T) {
	reasons := []endReason{forRoom, forRoomNow, forDescriptor, forStop, forExit}
	rapid.Check(t, func(t *rapid.T) {
		l := &listener{}
		var conns []*conn
		clock := time.Unix(1000, 0)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			clock = clock.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * time.Millisecond)
			if len(conns) == 0 || rapid.IntRange(0, 2).Draw(t, "what") == 0 {
				c := &conn{owner: l, phase: waiting, since: clock}
				l.conns.place(c)
				conns = append(conns, c)
				continue
			}
			i := rapid.IntRange(0, len(conns)-1).Draw(t, "which")
			c := conns[i]
			switch rapid.IntRange(0, 3).Draw(t, "becomes") {
			case 0:
				require.True(t, l.conns.has(c))
				l.conns.remove(c)
				require.False(t, l.conns.has(c))
				conns = slices.Delete(conns, i, i+1)
				continue
			case 1:
				c.ending = true
				c.phase = rapid.SampledFrom([]phase{lingering, reading}).Draw(t, "ends as")
			case 2:
				c.phase, c.used = rapid.SampledFrom([]phase{reading, serving}).Draw(t, "goes on as"), true
			default:
				c.phase = waiting
			}
			c.since = clock
			l.conns.place(c)
		}
		why := rapid.SampledFrom(reasons).Draw(t, "why")
		var want *conn
		ending := 0
		for _, c := range conns {
			if c.ending && c.phase != serving {
				ending++
			}
			if c.endActionFor(why, clock) != keep && (want == nil || evictedBefore(c, want)) {
				want = c
			}
		}
		require.Same(t, want, l.conns.victim(why, clock))
		require.Equal(t, len(conns), l.conns.size)
		require.Equal(t, ending, l.conns.ending())
		require.ElementsMatch(t, conns, slices.Collect(l.conns.all()))
	})
}

// BenchmarkVictim measures the cost of evicting a connection for a new one.
func BenchmarkVictim(b *testing.B) {
	for _, n := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			l := &listener{}
			now := time.Now()
			for range n {
				l.conns.place(&conn{owner: l, phase: waiting, since: now})
			}
			for b.Loop() {
				c := l.conns.victim(forRoom, now)
				l.conns.remove(c)
				l.conns.place(c)
			}
		})
	}
}
