package upstream

import (
	"testing"

	"github.com/stretchr/testify/require"

	"lichenshelf/router"
)

// A worker that is not known to run gets one release at a time. Each release that it accepts
// doubles the window, and a failure resets it to one.
func TestReleaseWindowFollowsAcceptedReleases(t *testing.T) {
	targets := releaseTargets{windows: map[*router.Worker]*window{}}
	w := &router.Worker{Name: "w"}
	fill := func() (n int) {
		for targets.acquire(w) {
			n++
		}
		return n
	}
	settle := func(n int, v callOutcome) {
		for range n {
			targets.settle(w, v)
		}
	}
	_, taken := targets.latest()
	for _, size := range []int{1, 2, 4, 8, 16, maxWindow, maxWindow} {
		require.Equal(t, size, fill())
		settle(1, callAccepted)
		settle(size-1, callInconclusive)
	}
	<-taken
	last, _ := targets.latest()
	require.Equal(t, w, last)
	settle(fill(), callFailed)
	require.Empty(t, targets.windows, "no window is kept for a worker in the initial state")
	require.Equal(t, 1, fill())
	targets.forget(w)
	settle(1, callAccepted) // the end of a call to a worker that has left
	require.Empty(t, targets.windows)
}
