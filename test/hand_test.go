package test

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lichenshelf/internal/standin/syscalls"
)

// During an upgrade, a worker that an operator suspends at one process must be suspended at the
// other one too, even if that process can't open files for a moment.
func TestSuspensionReachesProcessThatCannotOpenFiles(t *testing.T) {
	r, w := pair(t, nil)
	out := newWorker(t, "s-00000003", "writer", nil)
	d := newDiscovery(t)
	d.addList(true, "in_service", r, w, out)
	addr, first, second := ownAddr(t), ownAddr(t), ownAddr(t)
	env := []string{"ROUTER_LISTEN=" + addr, "ROUTER_NAME=n1", "TMPDIR=" + t.TempDir(), "ROUTER_DISCOVERY=" + d.Listener.Addr().String(),
		"ROUTER_CONFIG=" + config(t, `{"generation":0,"reset":true,"instances":[]}`, connIdle)}
	old := start(t, addr, append(env, "ROUTER_CONSOLE="+first), "serve").waitReady()
	next, faults := startWithFaults(t, []int{syscalls.Openat}, addr, append(env, "ROUTER_CONSOLE="+second), "serve")
	operator := &program{t: t, addr: second}
	eventually(t, func() bool { return operator.status(http.MethodGet, "/v1/readyz") == 200 }, "the new process is ready")

	faults.Set(syscalls.Always(syscall.ENFILE, syscalls.Openat))
	operator.addr = first
	require.Equal(t, 200, operator.status(http.MethodPost, "/v1/workers/s-00000003/suspend"))
	eventually(t, func() bool { return faults.Failed(syscalls.Openat) > 0 }, "the new process has failed to open the file")
	faults.Set(nil)
	time.Sleep(time.Second) // the suspension must be effective everywhere by then
	old.signal(syscall.SIGTERM)
	old.waitExit()
	for range 30 {
		require.Equal(t, http.StatusOK, next.ask("query", newID(), patience).status)
	}
	require.Zero(t, countPosts(out))
}

// Socket, bind and listen calls that fail for one second must delay a start and not end it.
func TestStartRetriesFailedSockets(t *testing.T) {
	for name, c := range map[string]struct {
		call  int
		errno syscall.Errno
	}{
		"socket, no buffers":     {syscalls.Socket, syscall.ENOBUFS},
		"socket, no descriptors": {syscalls.Socket, syscall.ENFILE},
		"bind, no address yet":   {syscalls.Bind, syscall.EADDRNOTAVAIL},
		"bind, still taken":      {syscalls.Bind, syscall.EADDRINUSE},
		"listen, still taken":    {syscalls.Listen, syscall.EADDRINUSE},
	} {
		t.Run(name, func(t *testing.T) {
			r, w := pair(t, nil)
			d := newDiscovery(t)
			d.addList(true, "in_service", r, w)
			addr, console := ownAddr(t), ownAddr(t)
			cmd, faults, err := syscalls.Command([]int{c.call}, binary, "serve")
			require.NoError(t, err)
			until := time.Now().Add(time.Second)
			faults.Set(func(int) syscalls.Fault {
				if time.Now().After(until) {
					return syscalls.Fault{}
				}
				return syscalls.Fault{Errno: c.errno}
			})
			p := startCommand(t, cmd, addr, []string{"ROUTER_LISTEN=" + addr, "ROUTER_NAME=n1", "ROUTER_CONSOLE=" + console,
				"ROUTER_DISCOVERY=" + d.Listener.Addr().String(), "ROUTER_CONFIG=" + config(t, `{"generation":0,"reset":true,"instances":[]}`, connIdle)})
			for from := time.Now(); time.Since(from) < 10*time.Second && p.status(http.MethodGet, "/healthz") != 200; time.Sleep(pollInterval) {
				p.requireRunning()
			}
			require.Equal(t, http.StatusOK, p.ask("query", newID(), patience).status)
			require.Equal(t, http.StatusOK, (&program{t: t, addr: console}).status(http.MethodGet, "/v1/readyz"))
			require.Positive(t, faults.Failed(c.call))
		})
	}
}
