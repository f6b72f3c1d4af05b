package test

import (
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A SIGTERM is heard also while a reload waits for a file that can't be read now, and however many signals came before.
func TestTermIsHeardWhileAReloadHangs(t *testing.T) {
	r, w := pair(t, nil)
	p, _ := platform(t, r, w)
	require.NoError(t, os.Remove(p.file))
	require.NoError(t, syscall.Mkfifo(p.file, 0o600)) // opening it waits for who writes
	for range 8 {
		p.signal(syscall.SIGHUP)
		time.Sleep(10 * time.Millisecond)
	}
	require.Equal(t, http.StatusOK, p.ask("query", newID(), 3*time.Second).status)
	p.signal(syscall.SIGUSR1)
	eventually(t, func() bool { return p.logged("requests_taken 1") }, "the counters are printed")
	from := time.Now()
	p.signal(syscall.SIGTERM)
	p.waitExit()
	require.Less(t, time.Since(from), leaveWithin+loaded)
}

// leaveWithin is how long after SIGTERM the platform kills a process: the longest deadline, 3 s at most, and 0.7 s.
const leaveWithin = 3700 * time.Millisecond
