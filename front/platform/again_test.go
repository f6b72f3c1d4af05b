package platform

import (
	"fmt"
	"io"
	"slices"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"lichenshelf/logic"
	"lichenshelf/router"
)

type noTaker struct{}

func (noTaker) Discovered([]router.Member, bool) {}

func TestWatchGoesByTheNumberOfRouters(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	for routers, unit := range map[int]time.Duration{
		0: 200 * time.Millisecond, 1: 200 * time.Millisecond, 4: 200 * time.Millisecond, 80: 4 * time.Second,
	} {
		w := NewWatch(&Config{Settings: logic.Settings{Gateways: routers}}, noTaker{}, log)
		require.Equal(t, unit, w.again.spans.InitialInterval, "%d routers", routers)
	}
}

// A discovery that bears ten calls a second has lost all its watches at once. It serves
// calls in turn and fails those that have waited for two seconds; the failed ones have
// cost it as much. All routers must get back in, and never ask in step.
func TestRoutersComeBackToADiscoveryOfFixedCapacity(t *testing.T) {
	const (
		step     = 10 * time.Millisecond
		each     = 100 * time.Millisecond // of the discovery's time, for one call
		patience = 2 * time.Second
	)
	for _, routers := range []int{1, 8, 80, 200} {
		t.Run(fmt.Sprint(routers), func(t *testing.T) {
			type call struct {
				router int
				at     time.Duration
			}
			var waits []*again
			var due []time.Duration // when each router asks; -1: it waits or is in
			for i := range routers {
				waits = append(waits, newAgain(routers, uint64(1000+i)))
				due = append(due, waits[i].after(true))
			}
			var queue []call
			asked := map[int]int{} // by second
			in, free := 0, time.Duration(0)
			now := time.Duration(0)
			for ; in < routers && now < 2*time.Minute; now += step {
				for i := range due {
					if due[i] >= 0 && due[i] <= now {
						due[i] = -1
						asked[int(now/time.Second)]++
						queue = append(queue, call{i, now})
					}
				}
				for len(queue) > 0 && free <= now {
					c := queue[0]
					queue = queue[1:]
					free = now + each
					if now-c.at < patience {
						in++
					} else {
						due[c.router] = now + waits[c.router].after(false)
					}
				}
			}
			require.Equal(t, routers, in, "routers that are back")
			require.Less(t, now, time.Duration(routers)*4*each+10*time.Second, "when the last one is")
			most := 0
			for _, n := range asked {
				most = max(most, n)
			}
			require.LessOrEqual(t, most, 2*askedTogether, "calls in the worst second")
		})
	}
}

func TestAskingAgainIsSpreadAndGrows(t *testing.T) {
	var first []time.Duration
	for seed := range uint64(80) {
		a := newAgain(80, seed)
		first = append(first, a.after(true))
		for range 10 {
			require.Less(t, a.after(false), mostSpans*4*time.Second+watchAgain)
		}
		require.Less(t, a.after(true), 4*time.Second+watchAgain, "discovery has told something: from the start")
	}
	slices.Sort(first)
	require.Less(t, first[10], time.Second)
	require.Greater(t, first[70], 3*time.Second)
}
