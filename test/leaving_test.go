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

// grace is the settings' safety.stop-sending-within-ns, and what the platform adds.
const grace = 300 * time.Millisecond

// among gives a program's configuration a number of routers.
func among(t *testing.T, file string, routers int) {
	text, err := os.ReadFile(file)
	require.NoError(t, err)
	changed := strings.Replace(string(text), `"balancers":1`, fmt.Sprintf(`"balancers":%d`, routers), 1)
	require.NotEqual(t, string(text), changed)
	require.NoError(t, os.WriteFile(file, []byte(changed), 0o600))
}

// traffic asks a program for answers until stop is called.
func traffic(p *program) (stop func()) {
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

func lastPost(w *worker) (at time.Time) {
	for _, c := range w.got(http.MethodPost) {
		at = c.at
	}
	return at
}

// Nothing new goes to a worker later than the grace after its leaving counts as told,
// whatever has become of the watch meanwhile, with as many routers as a fleet has: each
// of them would otherwise ask discovery again at a time of its own, far too late.
func TestLeavingIsKeptHoweverDiscoveryFails(t *testing.T) {
	const routers = 300
	for name, leave := range map[string]func(p *program, d *discovery, w *worker) (told time.Time){
		"reset": func(_ *program, d *discovery, w *worker) time.Time {
			d.CloseClientConnections()
			d.list(false, "terminating", w)
			return time.Now()
		},
		"silent": func(_ *program, d *discovery, w *worker) time.Time {
			d.silence()
			told := time.Now().Add(6 * time.Second)
			d.list(false, "terminating", w)
			return told
		},
		"down": func(_ *program, d *discovery, w *worker) time.Time {
			start := d.stop()
			time.Sleep(7 * time.Second) // past the time at which a silent watch is given up
			d.list(false, "terminating", w)
			start()
			return time.Now()
		},
		"half a line": func(_ *program, d *discovery, w *worker) time.Time {
			text := listText(2, false, "terminating", w)
			d.say(text[:len(text)/2])
			time.Sleep(50 * time.Millisecond)
			d.mu.Lock()
			d.lines = append(slices.Clone(d.lines[:1]), text) // watches still read the old ones
			d.mu.Unlock()
			d.CloseClientConnections()
			return time.Now()
		},
		"indented": func(_ *program, d *discovery, w *worker) time.Time {
			d.say(strings.NewReplacer("{", "{\n  ", "[", "[\n  ", ",", ",\n  ").Replace(listText(2, false, "terminating", w)))
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
			d.list(true, "in_service", r, w, other)
			addr, file := ownAddr(t), config(t, `{"generation":0,"reset":true,"instances":[]}`, connIdle)
			among(t, file, routers)
			p := start(t, addr, []string{"ROUTER_LISTEN=" + addr, "ROUTER_NAME=n1",
				"ROUTER_DISCOVERY=" + d.Listener.Addr().String(), "ROUTER_CONFIG=" + file}, "serve")
			p.file = file
			p.waitReady()
			stop := traffic(p)
			defer stop()
			eventually(t, func() bool { return posts(w) > 0 && posts(other) > 0 }, "both writers are in use")
			told := leave(p, d, w)
			time.Sleep(time.Until(told.Add(grace + 2*loaded)))
			stop()
			late := lastPost(w).Sub(told)
			require.Less(t, late, grace+loaded, "the last send to the worker, after its leaving counted as told")
		})
	}
}

// A process that starts asks before it serves: what its file knew may be old.
func TestAFreshProcessServesNobodyBeforeItIsTold(t *testing.T) {
	r, w := pair(t, nil)
	other := newWorker(t, "s-00000003", "writer", nil)
	d := newDiscovery(t)
	d.list(true, "in_service", r, other)
	addr, file := ownAddr(t), config(t, listText(0, true, "in_service", r, w), connIdle)
	among(t, file, 300)
	p := start(t, addr, []string{"ROUTER_LISTEN=" + addr, "ROUTER_NAME=n1",
		"ROUTER_DISCOVERY=" + d.Listener.Addr().String(), "ROUTER_CONFIG=" + file}, "serve").waitReady()
	require.Equal(t, 200, p.ask("query", newID(), patience).status)
	require.Zero(t, posts(w))
	require.Equal(t, 1, posts(other))
}

// A discovery that refuses does not keep a router from hearing of a leaving once it is there.
func TestDiscoveryThatRefusesIsAskedAgainAtOnce(t *testing.T) {
	r, w := pair(t, nil)
	other := newWorker(t, "s-00000003", "writer", nil)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	at := l.Addr().String()
	require.NoError(t, l.Close())
	addr, file := ownAddr(t), config(t, listText(0, true, "in_service", r, w, other), connIdle)
	among(t, file, 300)
	p := start(t, addr, []string{"ROUTER_LISTEN=" + addr, "ROUTER_NAME=n1", "ROUTER_DISCOVERY=" + at,
		"ROUTER_CONFIG=" + file}, "serve").waitReady()
	require.Equal(t, 200, p.ask("query", newID(), patience).status, "it serves by what it knows")
	newDiscoveryAt(t, at, listText(1, true, "in_service", r, other))
	from := time.Now()
	eventually(t, func() bool { return p.logged("generation=1 ") }, "it has heard")
	require.Less(t, time.Since(from), grace+loaded)
	p.signal(syscall.SIGTERM)
	p.waitExit()
}
