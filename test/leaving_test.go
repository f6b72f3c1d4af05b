package test

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// stopSendingLimit is safety.stop-sending-within-ns in settings plus the platform's tolerance.
const stopSendingLimit = 300 * time.Millisecond

// setRouterCount sets the number of routers in a program's configuration file.
func setRouterCount(t *testing.T, file string, routers int) {
	text, err := os.ReadFile(file)
	require.NoError(t, err)
	changed := strings.Replace(string(text), `"balancers":1`, fmt.Sprintf(`"balancers":%d`, routers), 1)
	require.NotEqual(t, string(text), changed)
	require.NoError(t, os.WriteFile(file, []byte(changed), 0o600))
}

// sendTraffic sends requests to a program until stop is called.
func sendTraffic(p *program) (stop func()) {
	over := make(chan struct{})
	var all sync.WaitGroup
	for range 4 {
		all.Go(func() {
			for {
				select {
				case <-over:
					return
				default:
					p.ask("query", newID(), patience)
				}
			}
		})
	}
	return sync.OnceFunc(func() { close(over); all.Wait() })
}

// lastPost returns when the worker received its last POST call.
func lastPost(w *worker) (at time.Time) {
	for _, c := range w.received(http.MethodPost) {
		at = c.at
	}
	return at
}

// Guards against requests to a worker later than the grace period after its termination counts as
// announced, whatever happens to the watch meanwhile. With 300 routers, retries that are spread
// over the routers of the fleet would be far too late.
func TestNoRequestsToLeavingWorkerWhenDiscoveryFails(t *testing.T) {
	const routers = 300
	for name, leave := range map[string]func(p *program, d *discovery, w *worker) (announced time.Time){
		"reset": func(_ *program, d *discovery, w *worker) time.Time {
			d.CloseClientConnections()
			d.addList(false, "terminating", w)
			return time.Now()
		},
		"silent": func(_ *program, d *discovery, w *worker) time.Time {
			d.silence()
			announced := time.Now().Add(6 * time.Second)
			d.addList(false, "terminating", w)
			return announced
		},
		"down": func(_ *program, d *discovery, w *worker) time.Time {
			start := d.stop()
			time.Sleep(7 * time.Second) // longer than the timeout of a silent watch
			d.addList(false, "terminating", w)
			start()
			return time.Now()
		},
		"half a line": func(_ *program, d *discovery, w *worker) time.Time {
			text := listText(2, false, "terminating", w)
			d.addLine(text[:len(text)/2])
			time.Sleep(50 * time.Millisecond)
			d.mu.Lock()
			// Open watches still read the old slice.
			d.lines = append(slices.Clone(d.lines[:1]), text)
			d.mu.Unlock()
			d.CloseClientConnections()
			return time.Now()
		},
		"indented": func(_ *program, d *discovery, w *worker) time.Time {
			d.addLine(strings.NewReplacer("{", "{\n  ", "[", "[\n  ", ",", ",\n  ").Replace(listText(2, false, "terminating", w)))
			return time.Now()
		},
		"moves while silent": func(p *program, d *discovery, w *worker) time.Time {
			d.silence()
			other := newDiscoveryAt(p.t, "127.0.0.1:0", listText(1, true, "terminating", w))
			text, err := os.ReadFile(p.file)
			require.NoError(p.t, err)
			p.reconfigure(strings.Replace(string(text), `"name":"n1"`,
				`"name":"n1","discovery":"`+other.Listener.Addr().String()+`"`, 1))
			return time.Now().Add(4 * time.Second)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r, w := pair(t, nil)
			other := newWorker(t, "s-00000003", "writer", nil)
			d := newDiscovery(t)
			d.addList(true, "in_service", r, w, other)
			addr, file := ownAddr(t), config(t, `{"generation":0,"reset":true,"instances":[]}`, connIdle)
			setRouterCount(t, file, routers)
			p := start(t, addr, []string{"ROUTER_LISTEN=" + addr, "ROUTER_NAME=n1",
				"ROUTER_DISCOVERY=" + d.Listener.Addr().String(), "ROUTER_CONFIG=" + file}, "serve")
			p.file = file
			p.waitReady()
			stop := sendTraffic(p)
			defer stop()
			eventually(t, func() bool { return countPosts(w) > 0 && countPosts(other) > 0 }, "both writers are in use")
			announced := leave(p, d, w)
			time.Sleep(time.Until(announced.Add(stopSendingLimit + 2*loadTolerance)))
			stop()
			late := lastPost(w).Sub(announced)
			require.Less(t, late, stopSendingLimit+loadTolerance, "the last send to the worker, after its termination counted as announced")
		})
	}
}

// A new process must fetch the list from discovery before it serves: the list in its configuration
// file may be outdated.
func TestNewProcessFetchesListBeforeServing(t *testing.T) {
	r, w := pair(t, nil)
	other := newWorker(t, "s-00000003", "writer", nil)
	d := newDiscovery(t)
	d.addList(true, "in_service", r, other)
	addr, file := ownAddr(t), config(t, listText(0, true, "in_service", r, w), connIdle)
	setRouterCount(t, file, 300)
	p := start(t, addr, []string{"ROUTER_LISTEN=" + addr, "ROUTER_NAME=n1",
		"ROUTER_DISCOVERY=" + d.Listener.Addr().String(), "ROUTER_CONFIG=" + file}, "serve").waitReady()
	require.Equal(t, 200, p.ask("query", newID(), patience).status)
	require.Zero(t, countPosts(w))
	require.Equal(t, 1, countPosts(other))
}

// A router must fetch the list promptly once a discovery that refused connections is reachable.
func TestRefusedDiscoveryIsRetriedPromptly(t *testing.T) {
	r, w := pair(t, nil)
	other := newWorker(t, "s-00000003", "writer", nil)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	at := l.Addr().String()
	require.NoError(t, l.Close())
	addr, file := ownAddr(t), config(t, listText(0, true, "in_service", r, w, other), connIdle)
	setRouterCount(t, file, 300)
	p := start(t, addr, []string{"ROUTER_LISTEN=" + addr, "ROUTER_NAME=n1", "ROUTER_DISCOVERY=" + at,
		"ROUTER_CONFIG=" + file}, "serve").waitReady()
	require.Equal(t, 200, p.ask("query", newID(), patience).status, "it serves from the list in its file")
	newDiscoveryAt(t, at, listText(1, true, "in_service", r, other))
	from := time.Now()
	eventually(t, func() bool { return p.logged("generation=1 ") }, "the list is received")
	require.Less(t, time.Since(from), stopSendingLimit+loadTolerance)
	p.signal(syscall.SIGTERM)
	p.waitExit()
}
