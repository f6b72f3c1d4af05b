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

const logTrouble = 3 * time.Second

// logPipe returns the writing end of a pipe that holds little, and does what the case says with its reading end.
func logPipe(t *testing.T, do func(r *os.File)) *os.File {
	r, w := newSmallPipe(t)
	t.Cleanup(func() { _ = r.Close() })
	do(r)
	return w
}

// A log is told, and nothing waits for it: whether its reader pauses, reads nothing or has gone, or its disk is full, requests are
// answered, states let go of, and the process ends in time when it is told to.
func TestALogHoldsNoRouter(t *testing.T) {
	for name, open := range map[string]func(t *testing.T) *os.File{
		"its reader pauses": func(t *testing.T) *os.File {
			return logPipe(t, func(r *os.File) {
				go func() {
					for b := make([]byte, smallPipe); ; time.Sleep(time.Second) {
						if _, err := r.Read(b); err != nil {
							return
						}
					}
				}()
			})
		},
		"nobody reads it":    func(t *testing.T) *os.File { return logPipe(t, func(*os.File) {}) },
		"its reader is gone": func(t *testing.T) *os.File { return logPipe(t, func(r *os.File) { _ = r.Close() }) },
		"its disk is full": func(t *testing.T) *os.File {
			f, err := os.OpenFile("/dev/full", os.O_WRONLY, 0)
			require.NoError(t, err)
			return f
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			askBesideALog(t, open(t))
		})
	}
}

// askBesideALog has clients ask a router whose log goes to a file, half of whose answers break off, and ends it.
func askBesideALog(t *testing.T, log *os.File) {
	h := newHolds()
	breaks := func(w http.ResponseWriter, r *http.Request) { begin(w); cut(w, r) }
	workers := []*worker{h.watched(newWorker(t, "s-r1", "reader", nil)), h.watched(newWorker(t, "s-r2", "reader", nil)),
		h.watched(newWorker(t, "s-w1", "writer", nil)), h.watched(newWorker(t, "s-w2", "writer", breaks))}
	d := newDiscovery(t)
	d.list(true, "in_service", workers...)
	addr, file := ownAddr(t), config(t, `{"generation":0,"reset":true,"instances":[]}`, connIdle)
	cmd := exec.Command(binary, "serve")
	cmd.Stderr = log
	p := startCommand(t, cmd, addr, []string{"ROUTER_LISTEN=" + addr, "ROUTER_NAME=n1",
		"ROUTER_DISCOVERY=" + d.Listener.Addr().String(), "ROUTER_CONFIG=" + file}).waitReady()
	_ = log.Close() // the program has its own
	asking, stop := context.WithTimeout(t.Context(), logTrouble)
	defer stop()
	var mu sync.Mutex
	answered, latest := 0, time.Duration(0)
	clients := askUntil(asking, 6, 10*time.Millisecond, func(client *http.Client) {
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
	time.AfterFunc(logTrouble/2, func() { _ = p.cmd.Process.Signal(syscall.SIGUSR1) })
	clients.Wait()
	time.Sleep(heldWithin)
	t.Logf("%d answered, the slowest in %v; %d states held for %v at most", answered, latest, h.read, h.most)
	require.Empty(t, h.judge(), "states held for too long")
	require.Less(t, latest, time.Second, "an answer waited")
	require.Greater(t, answered, 100)
	from := time.Now()
	p.signal(syscall.SIGTERM)
	p.waitExit()
	require.Less(t, time.Since(from), 3*time.Second, "the end waited")
}

// A process that was held up says so: what it did too late would look as if others had been slow.
func TestAProcessThatRanLateSaysSo(t *testing.T) {
	r, w := pair(t, nil)
	p, _ := platform(t, r, w)
	p.signal(syscall.SIGSTOP)
	time.Sleep(400 * time.Millisecond)
	p.signal(syscall.SIGCONT)
	eventually(t, func() bool { return p.logged("the process ran late") }, "the lateness is told")
	p.signal(syscall.SIGUSR1)
	eventually(t, func() bool { return p.logged("\nprocess_late_ms ") }, "the lateness is counted")
}
