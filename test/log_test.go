package test

import (
	"context"
	"io"
	"net/http"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const logFaultDuration = 3 * time.Second

// logPipe returns the write end of a small pipe and calls do with the read end.
func logPipe(t *testing.T, do func(r *os.File)) *os.File {
	r, w := newSmallPipe(t)
	t.Cleanup(func() { _ = r.Close() })
	do(r)
	return w
}

// Guards against a router that blocks on writes to its log. Whether the log's reader pauses, reads
// nothing or has closed the pipe, or the disk is full, requests must be answered, states released,
// and the process must exit in time after SIGTERM.
func TestBlockedLogDoesNotBlockRouter(t *testing.T) {
	for name, open := range map[string]func(t *testing.T) *os.File{
		"its reader pauses": func(t *testing.T) *os.File {
			return logPipe(t, func(r *os.File) {
				go func() {
					for b := make([]byte, smallPipeBytes); ; time.Sleep(time.Second) {
						if _, err := r.Read(b); err != nil {
							return
						}
					}
				}()
			})
		},
		"nobody reads it":      func(t *testing.T) *os.File { return logPipe(t, func(*os.File) {}) },
		"its reader is closed": func(t *testing.T) *os.File { return logPipe(t, func(r *os.File) { _ = r.Close() }) },
		"its disk is full": func(t *testing.T) *os.File {
			f, err := os.OpenFile("/dev/full", os.O_WRONLY, 0)
			require.NoError(t, err)
			return f
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			askWithLogAt(t, open(t))
		})
	}
}

// askWithLogAt sends requests to a router whose log goes to a file, with a writer that truncates
// its answers, and terminates the router.
func askWithLogAt(t *testing.T, log *os.File) {
	h := newHolds()
	breaks := func(w http.ResponseWriter, r *http.Request) { beginStream(w); closeConnection(w, r) }
	workers := []*worker{h.observe(newWorker(t, "s-r1", "reader", nil)), h.observe(newWorker(t, "s-r2", "reader", nil)),
		h.observe(newWorker(t, "s-w1", "writer", nil)), h.observe(newWorker(t, "s-w2", "writer", breaks))}
	d := newDiscovery(t)
	d.addList(true, "in_service", workers...)
	addr, file := ownAddr(t), config(t, `{"generation":0,"reset":true,"instances":[]}`, connIdle)
	cmd := exec.Command(binary, "serve")
	cmd.Stderr = log
	p := startCommand(t, cmd, addr, []string{"ROUTER_LISTEN=" + addr, "ROUTER_NAME=n1",
		"ROUTER_DISCOVERY=" + d.Listener.Addr().String(), "ROUTER_CONFIG=" + file}).waitReady()
	_ = log.Close() // the program has its own copy
	asking, stop := context.WithTimeout(t.Context(), logFaultDuration)
	defer stop()
	var mu sync.Mutex
	answered, latest := 0, time.Duration(0)
	clients := askRepeatedly(asking, 6, 10*time.Millisecond, func(client *http.Client) {
		from := time.Now()
		ctx, end := context.WithTimeout(t.Context(), 3*time.Second)
		defer end()
		resp, err := client.Do(p.request("query", newID(), 2*time.Second).WithContext(ctx))
		if err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
		mu.Lock()
		defer mu.Unlock()
		latest = max(latest, time.Since(from))
		if err == nil {
			answered++
		}
	})
	time.AfterFunc(logFaultDuration/2, func() { _ = p.cmd.Process.Signal(syscall.SIGUSR1) })
	clients.Wait()
	time.Sleep(maxHoldTime)
	t.Logf("%d answered, the slowest in %v; %d states held for %v at most", answered, latest, h.reads, h.maxHeld)
	require.Empty(t, h.check(), "states held for too long")
	require.Less(t, latest, time.Second, "an answer was delayed")
	require.Greater(t, answered, 100)
	from := time.Now()
	p.signal(syscall.SIGTERM)
	p.waitExit()
	require.Less(t, time.Since(from), 3*time.Second, "the exit was delayed")
}

// A process that was stopped for a while must log and count it; otherwise its delays would look
// like those of other processes.
func TestProcessLogsThatItRanLate(t *testing.T) {
	r, w := pair(t, nil)
	p, _ := startPlatform(t, r, w)
	p.signal(syscall.SIGSTOP)
	time.Sleep(400 * time.Millisecond)
	p.signal(syscall.SIGCONT)
	eventually(t, func() bool { return p.logged("the process ran late") }, "the delay is logged")
	p.signal(syscall.SIGUSR1)
	eventually(t, func() bool { return p.logged("\nprocess_late_ms ") }, "the delay is counted")
}
