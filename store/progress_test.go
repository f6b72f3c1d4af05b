package store

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestProgressTellsForHowLongNoCallHasReturned(t *testing.T) {
	now := time.Unix(0, 0)
	clock := func() time.Time { return now }
	var p progress
	stalledAfter := func(pause time.Duration) time.Duration {
		now = now.Add(pause)
		return p.stalled(now)
	}
	require.Zero(t, stalledAfter(time.Hour), "nothing is under way")
	first := p.begin(clock)
	require.Equal(t, 3*time.Second, stalledAfter(3*time.Second))
	second := p.begin(clock)
	require.Equal(t, 4*time.Second, stalledAfter(time.Second), "another call that begins is no progress")
	second()
	require.Equal(t, time.Second, stalledAfter(time.Second), "one that returns is")
	first()
	require.Zero(t, stalledAfter(time.Hour))
}
