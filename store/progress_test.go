package store

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestProgressReportsStallDuration(t *testing.T) {
	now := time.Unix(0, 0)
	clock := func() time.Time { return now }
	var p progress
	stalledAfter := func(pause time.Duration) time.Duration {
		now = now.Add(pause)
		return p.stalledFor(now)
	}
	require.Zero(t, stalledAfter(time.Hour), "no call is pending")
	first := p.begin(clock)
	require.Equal(t, 3*time.Second, stalledAfter(3*time.Second))
	second := p.begin(clock)
	require.Equal(t, 4*time.Second, stalledAfter(time.Second), "the start of another call is no progress")
	second()
	require.Equal(t, time.Second, stalledAfter(time.Second), "the return of a call is progress")
	first()
	require.Zero(t, stalledAfter(time.Hour))
}
