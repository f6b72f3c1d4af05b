package cpushare

import (
	"os/exec"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A process that never sleeps gets its share of a core and no more.
func TestHoldLimitsProcessToShare(t *testing.T) {
	cmd := exec.Command("sh", "-c", "while :; do :; done")
	require.NoError(t, cmd.Start())
	defer func() { _ = cmd.Process.Kill(); _ = cmd.Wait() }()
	const share = 0.2
	q, err := Hold(cmd.Process.Pid, share)
	require.NoError(t, err)
	from, err := cpuTime(cmd.Process.Pid)
	require.NoError(t, err)
	began := time.Now()
	var took time.Duration
	for took < 100*time.Millisecond {
		time.Sleep(pollInterval)
		now, err := cpuTime(cmd.Process.Pid)
		require.NoError(t, err)
		took = now - from
	}
	require.Greater(t, time.Since(began), time.Duration(float64(took-2*maxCredit)/share)/2, "the process exceeded its share")
	q.Lift()
}

func TestHoldRejectsInvalidArguments(t *testing.T) {
	_, err := Hold(1<<22+1, 0.5)
	require.ErrorIs(t, err, errNoProcess)
	for _, share := range []float64{0, -1, 1.5} {
		_, err = Hold(1, share)
		require.Error(t, err)
	}
}
