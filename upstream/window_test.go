package upstream

import (
	"testing"

	"github.com/stretchr/testify/require"

	"lichenshelf/router"
)

// A worker of which nothing is known gets one release at a time; each that it takes lets twice as many out, a failure one again.
func TestTheWindowOfAWorkerGoesByWhatItTakes(t *testing.T) {
	targets := releaseTargets{windows: map[*router.Worker]*window{}}
	w := &router.Worker{Name: "w"}
	fill := func() (n int) {
		for targets.acquire(w) {
			n++
		}
		return n
	}
	settle := func(n int, v callVerdict) {
		for range n {
			targets.settle(w, v)
		}
	}
	_, taken := targets.latest()
	for _, size := range []int{1, 2, 4, 8, 16, mostWindow, mostWindow} {
		require.Equal(t, size, fill())
		settle(1, callTaken)
		settle(size-1, callSaysNothing)
	}
	<-taken
	last, _ := targets.latest()
	require.Equal(t, w, last)
	settle(fill(), callFailed)
	require.Empty(t, targets.windows, "nothing is kept of a worker that is as good as unknown")
	require.Equal(t, 1, fill())
	targets.forget(w)
	settle(1, callTaken) // the end of a call to a worker that has left
	require.Empty(t, targets.windows)
}
