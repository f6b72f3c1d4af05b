package downstream

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A listener pauses for as long as its servers are late, within a bound, and not at all where they begin promptly.
func TestThePauseFollowsHowLateServersBegin(t *testing.T) {
	for late, want := range map[time.Duration]time.Duration{
		0: 0, promptly: 0, promptly + 1: promptly + 1, 20 * time.Millisecond: 20 * time.Millisecond, mostPause: mostPause, time.Minute: mostPause,
	} {
		require.Equal(t, want, pauseAfter(late), "late by %v", late)
	}
}

// No more connections are accepted ahead of their servers than stated.
func TestConnectionsWaitForTheirServers(t *testing.T) {
	p := newAcceptPace()
	for range mostBeginning {
		p.wait()
	}
	more := make(chan struct{})
	go func() {
		p.wait()
		close(more)
	}()
	select {
	case <-more:
		t.Fatal("a connection was accepted before those ahead of it had begun")
	default:
	}
	p.begun(time.Now())
	<-more
}
