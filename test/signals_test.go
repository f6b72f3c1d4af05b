package test

import (
	"bufio"
	"fmt"
	"io"
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

// Guards against a SIGTERM that is ignored while a reload is blocked: opening the configuration
// file, a FIFO, blocks, and eight SIGHUPs are pending before the SIGTERM.
func TestSIGTERMDuringBlockedReload(t *testing.T) {
	r, w := pair(t, nil)
	p, _ := startPlatform(t, r, w)
	require.NoError(t, os.Remove(p.file))
	// Opening it blocks until a process opens it for writing.
	require.NoError(t, syscall.Mkfifo(p.file, 0o600))
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
	require.Less(t, time.Since(from), killDelay+loadTolerance)
}

// killDelay is how long after SIGTERM the platform kills a process: the longest deadline, limited
// to 3 s, plus 0.7 s.
const killDelay = 3700 * time.Millisecond

// Guards against open requests that are still unanswered when the platform kills the process: a new
// configuration with shorter deadlines makes the kill earlier. Requests must be answered by then,
// also if the SIGHUP and the SIGTERM arrive together, repeatedly, or in the reverse order.
func TestReloadShortensShutdown(t *testing.T) {
	const limit = 800 * time.Millisecond
	for name, c := range map[string]struct {
		taken   bool // the reload is complete before the signals
		signals []syscall.Signal
		away    time.Duration // how long the file can't be opened, from the signals on
	}{
		"read before":         {taken: true, signals: []syscall.Signal{syscall.SIGTERM}},
		"in one moment":       {signals: []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM}},
		"more than once":      {signals: []syscall.Signal{syscall.SIGHUP, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGTERM}},
		"the end comes first": {signals: []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP}},
		"the file is away":    {signals: []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM}, away: 300 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			k := newWorker(t, "s-00000001", "mixed", neverAnswer)
			d := newDiscovery(t)
			d.addList(true, "in_service", k)
			set := strings.ReplaceAll(fmt.Sprintf(settings, connIdle.Nanoseconds()), `"target-ns":1500000000`, `"target-ns":500000000,"hard-limit-ns":3000000000`)
			file := configOf(t, `{"generation":0,"reset":true,"instances":[]}`, set)
			text, err := os.ReadFile(file)
			require.NoError(t, err)
			text = []byte(strings.Replace(string(text), `"name":`, fmt.Sprintf(`"discovery":%q,"name":`, d.Listener.Addr()), 1))
			require.NoError(t, os.WriteFile(file, text, 0o600))
			addr := ownAddr(t)
			p, faults := startWithFaults(t, []int{syscalls.Openat}, addr, []string{"ROUTER_LISTEN=" + addr, "ROUTER_CONFIG=" + file}, "serve")
			p.file = file
			p.waitReady()
			shorter := strings.ReplaceAll(string(text), `"hard-limit-ns":3000000000`, fmt.Sprintf(`"hard-limit-ns":%d`, limit.Nanoseconds()))
			var a answer
			var asked sync.WaitGroup
			asked.Go(func() { a = p.ask("file", newID(), 3*time.Second) })
			eventually(t, func() bool { return len(k.received(http.MethodPost)) > 0 }, "the worker has the request")
			if c.taken {
				p.reconfigure(shorter)
				eventually(t, func() bool { return p.logged("settings read again") }, "the configuration is loaded")
			} else {
				require.NoError(t, replaceFile(file, shorter))
			}
			if c.away > 0 {
				faults.Set(syscalls.Always(syscall.ENFILE, syscalls.Openat))
				time.AfterFunc(c.away, func() { faults.Set(nil) })
			}
			from := time.Now()
			for _, s := range c.signals {
				p.signal(s)
			}
			asked.Wait()
			require.NoError(t, a.err)
			require.Equal(t, http.StatusBadGateway, a.status, "it may have run")
			require.Less(t, time.Since(from), limit+700*time.Millisecond, "the platform kills the process then")
			p.waitExit()
		})
	}
}

// Guards against a lost reload: if the configuration file can't be opened for a moment, as when
// clients use up all descriptors, the reload must be retried. Otherwise the router never receives
// the updates of the new discovery.
func TestReloadRetriesUnopenableFile(t *testing.T) {
	r, w := pair(t, nil)
	list := listText(1, true, "in_service", r, w)
	old, next := newDiscoveryAt(t, "127.0.0.1:0", list), newDiscoveryAt(t, "127.0.0.1:0", list)
	addr, file := ownAddr(t), config(t, `{"generation":0,"reset":true,"instances":[]}`, connIdle)
	text, err := os.ReadFile(file)
	require.NoError(t, err)
	follow := func(d *discovery) string {
		return strings.Replace(string(text), `"name":`, fmt.Sprintf(`"discovery":%q,"name":`, d.Listener.Addr()), 1)
	}
	require.NoError(t, os.WriteFile(file, []byte(follow(old)), 0o600))
	p, faults := startWithFaults(t, []int{syscalls.Openat}, addr, []string{"ROUTER_LISTEN=" + addr, "ROUTER_CONFIG=" + file}, "serve")
	p.waitReady()
	require.NoError(t, os.WriteFile(file, []byte(follow(next)), 0o600))
	faults.Set(syscalls.Always(syscall.ENFILE, syscalls.Openat))
	p.signal(syscall.SIGHUP)
	time.Sleep(time.Second)
	faults.Set(nil)
	eventually(t, func() bool {
		next.mu.Lock()
		defer next.mu.Unlock()
		return len(next.watchedFrom) > 0
	}, "the new discovery is followed")
}

// A stream whose worker sends nothing more must not keep a terminating process alive until the
// kill; a stream that continues must be forwarded until then.
func TestSilentStreamDoesNotDelayShutdown(t *testing.T) {
	const limit = 500 * time.Millisecond
	for _, goesOn := range []bool{false, true} {
		t.Run(fmt.Sprint(goesOn), func(t *testing.T) {
			t.Parallel()
			k := newWorker(t, "s-00000001", "mixed", func(w http.ResponseWriter, r *http.Request) {
				for {
					_, _ = fmt.Fprint(w, streamStart)
					w.(http.Flusher).Flush()
					if !goesOn {
						<-r.Context().Done()
						return
					}
					if !sleepUnlessDone(r, 100*time.Millisecond) {
						return
					}
				}
			})
			d := newDiscovery(t)
			d.addList(true, "in_service", k)
			set := strings.ReplaceAll(fmt.Sprintf(settings, connIdle.Nanoseconds()), `"target-ns":1500000000`,
				fmt.Sprintf(`"target-ns":400000000,"hard-limit-ns":%d`, limit.Nanoseconds()))
			p := startPlatformFromFile(t, d, configOf(t, `{"generation":0,"reset":true,"instances":[]}`, set)).waitReady()
			resp, err := http.DefaultClient.Do(p.request("query", newID(), limit))
			require.NoError(t, err)
			defer resp.Body.Close()
			require.Equal(t, http.StatusOK, resp.StatusCode)
			p.signal(syscall.SIGTERM)
			if goesOn {
				from, lines := time.Now(), bufio.NewReader(resp.Body)
				// The kill comes 0.7 s after the limit.
				for time.Since(from) < limit+650*time.Millisecond {
					_, err := lines.ReadString('\n')
					require.NoError(t, err, "after %v", time.Since(from))
				}
				return
			}
			from := time.Now()
			p.waitExit()
			require.Less(t, time.Since(from), limit+700*time.Millisecond)
			_, err = io.Copy(io.Discard, resp.Body)
			require.Error(t, err, "the client must notice that the stream was truncated")
		})
	}
}
