package test

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lichenshelf/internal/standin/syscalls"
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

// A new configuration with shorter deadlines brings the platform's kill forward: what is in hand has its answer by then.
func TestAReloadMovesTheEndOfAProcess(t *testing.T) {
	k := newWorker(t, "s-00000001", "mixed", silent)
	d := newDiscovery(t)
	d.list(true, "in_service", k)
	limited := func(limit time.Duration) string {
		set := fmt.Sprintf(settings, connIdle.Nanoseconds())
		return strings.ReplaceAll(set, `"target-ns":1500000000`, fmt.Sprintf(`"target-ns":500000000,"hard-limit-ns":%d`, limit.Nanoseconds()))
	}
	file := configOf(t, `{"generation":0,"reset":true,"instances":[]}`, limited(3*time.Second))
	text, err := os.ReadFile(file)
	require.NoError(t, err)
	text = []byte(strings.Replace(string(text), `"name":`, fmt.Sprintf(`"discovery":%q,"name":`, d.Listener.Addr()), 1))
	require.NoError(t, os.WriteFile(file, text, 0o600))
	p := platformOf(t, d, file).waitReady()
	p.reconfigure(strings.ReplaceAll(string(text), `"hard-limit-ns":3000000000`, `"hard-limit-ns":800000000`))
	eventually(t, func() bool { return p.logged("settings read again") }, "the configuration is taken")
	var a answer
	var asked sync.WaitGroup
	asked.Go(func() { a = p.ask("file", newID(), 3*time.Second) })
	eventually(t, func() bool { return len(k.got(http.MethodPost)) > 0 }, "it is in hand")
	from := time.Now()
	p.signal(syscall.SIGTERM)
	asked.Wait()
	require.NoError(t, a.err)
	require.Equal(t, http.StatusBadGateway, a.status, "it may have run")
	require.Less(t, time.Since(from), 800*time.Millisecond+700*time.Millisecond, "the platform kills the process then")
	p.waitExit()
}

// A new configuration is taken also where its file can't be opened for a moment, as where clients have all descriptors: with it
// would go all that only the new discovery tells.
func TestAReloadOutlivesAFileThatCantBeOpenedForAMoment(t *testing.T) {
	r, w := pair(t, nil)
	whole := listText(1, true, "in_service", r, w)
	old, next := newDiscoveryAt(t, "127.0.0.1:0", whole), newDiscoveryAt(t, "127.0.0.1:0", whole)
	addr, file := ownAddr(t), config(t, `{"generation":0,"reset":true,"instances":[]}`, connIdle)
	text, err := os.ReadFile(file)
	require.NoError(t, err)
	follow := func(d *discovery) string {
		return strings.Replace(string(text), `"name":`, fmt.Sprintf(`"discovery":%q,"name":`, d.Listener.Addr()), 1)
	}
	require.NoError(t, os.WriteFile(file, []byte(follow(old)), 0o600))
	p, faults := startTrapped(t, []int{syscalls.Openat}, addr, []string{"ROUTER_LISTEN=" + addr, "ROUTER_CONFIG=" + file}, "serve")
	p.waitReady()
	require.NoError(t, os.WriteFile(file, []byte(follow(next)), 0o600))
	faults.Set(syscalls.Always(syscall.ENFILE, syscalls.Openat))
	p.signal(syscall.SIGHUP)
	time.Sleep(time.Second)
	faults.Set(nil)
	eventually(t, func() bool {
		next.mu.Lock()
		defer next.mu.Unlock()
		return len(next.from) > 0
	}, "the new discovery is followed")
}
