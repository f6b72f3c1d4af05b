package router

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lichenshelf/logic"
)

func TestStartsUseWallClockOnlyForInitialList(t *testing.T) {
	now := time.Now()
	at := func(ago time.Duration) logic.Time { return logic.Time(now.Add(-ago).UnixNano()) }
	for name, c := range map[string]struct {
		ago         time.Duration // the age that the list states
		listCurrent bool
		want        time.Duration // the resulting age
	}{
		"listed at first, a minute old":            {time.Minute, false, time.Minute},
		"listed at first, in the future":           {-time.Hour, false, 0},
		"listed later":                             {time.Second, true, 0},
		"listed later, by a clock that is behind":  {time.Hour, true, 0},
		"listed later, by a clock that is ahead":   {-time.Hour, true, 0},
		"listed at first, since the epoch's start": {now.Sub(time.Unix(0, 1)), false, now.Sub(time.Unix(0, 1))},
	} {
		var s Starts
		began := s.Began("w", at(c.ago), c.listCurrent, now)
		require.InDelta(t, c.want, now.Sub(began), float64(time.Microsecond), name)
		require.Equal(t, began, s.Began("w", at(c.ago), !c.listCurrent, now.Add(time.Hour)), "%s: unchanged in later lists", name)
		require.Equal(t, now.Add(2*time.Hour), s.Began("w", at(c.ago)+logic.Time(startJitter)+1, true, now.Add(2*time.Hour)), "%s: another incarnation", name)
	}
	var jitters Starts // by less than startJitter from list to list
	began := jitters.Began("w", at(time.Minute), false, now)
	for i := range 10 {
		require.Equal(t, began, jitters.Began("w", at(time.Minute)+logic.Time(i)*logic.Time(startJitter), true, now.Add(time.Duration(i)*time.Minute)))
	}
	var s Starts
	require.Zero(t, s.Began("w", 0, true, now))
	for i := range 2 * maxStarts {
		s.Began(fmt.Sprint(i), 1, true, now)
	}
	require.LessOrEqual(t, len(s.known), maxStarts)
}
