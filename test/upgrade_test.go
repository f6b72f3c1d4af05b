package test

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// beside starts a second program as an upgrade does: the same addresses, name and
// folder for temporary files, another console.
func (p *program) beside(t *testing.T, console string, env []string) *program {
	next := start(t, p.addr, append(env, "ROUTER_CONSOLE="+console), "serve")
	operator := &program{t: t, addr: console}
	eventually(t, func() bool { return operator.status(http.MethodGet, "/v1/readyz") == 200 }, "the new process is ready")
	return next
}

// An upgrade under load: what the old process has in hand it finishes, clients that
// come meanwhile are all served, and what an operator took out stays out.
func TestUpgradeHandsOverWithRequestsInFlight(t *testing.T) {
	more := make(chan struct{})
	goOn := sync.OnceFunc(func() { close(more) })
	r, w := pair(t, heldStream(more))
	t.Cleanup(goOn)
	out := newWorker(t, "s-00000003", "writer", nil)
	d := newDiscovery(t)
	d.list(true, "in_service", r, w, out)
	addr, first, second := ownAddr(t), ownAddr(t), ownAddr(t)
	tmp, file := t.TempDir(), config(t, `{"generation":0,"reset":true,"instances":[]}`, connIdle)
	env := []string{"ROUTER_LISTEN=" + addr, "ROUTER_NAME=n1", "TMPDIR=" + tmp,
		"ROUTER_DISCOVERY=" + d.Listener.Addr().String(), "ROUTER_CONFIG=" + file}
	old := start(t, addr, append(env, "ROUTER_CONSOLE="+first), "serve").waitReady()
	operator := &program{t: t, addr: first}
	require.Equal(t, 200, operator.status(http.MethodPost, "/v1/workers/s-00000003/suspend"))
	require.Equal(t, 404, operator.status(http.MethodPost, "/v1/workers/s-0000000f/suspend"))

	resp, err := http.DefaultClient.Do(old.request("query", newID(), patience))
	require.NoError(t, err, "a stream is in flight at the old process")
	defer resp.Body.Close()
	next := old.beside(t, second, env)
	old.signal(syscall.SIGTERM)
	eventually(t, func() bool { return operator.status(http.MethodGet, "/v1/readyz") == 503 }, "the old one is told")
	streams := []*http.Response{resp}
	for range 8 { // not one connection is refused or closed unread
		req := next.request("query", newID(), patience)
		req.Close = true
		more, err := http.DefaultClient.Do(req)
		require.NoError(t, err)
		defer more.Body.Close()
		require.Equal(t, 200, more.StatusCode)
		streams = append(streams, more)
	}
	goOn()
	for _, s := range streams {
		body, err := io.ReadAll(s.Body)
		require.NoError(t, err)
		require.Equal(t, events+rest, string(body), "each stream is whole")
	}
	old.waitExit()
	require.Zero(t, posts(out), "the worker out by hand got nothing, at either process")

	operator.addr = second
	require.Equal(t, 200, operator.status(http.MethodPost, "/v1/workers/s-00000003/resume"))
	eventually(t, func() bool { next.ask("query", newID(), patience); return posts(out) > 0 }, "it is used again")
}

// SIGTERM with a body half in and an answer's last chunk unread while the listener is handed over: the request is answered whole
// once its rest comes, and the answer can be read to its end after the process has gone.
func TestAHandoverOverHalfABodyAndAnUnreadAnswer(t *testing.T) {
	more := make(chan struct{})
	goOn := sync.OnceFunc(func() { close(more) })
	r, w := pair(t, heldStream(more))
	t.Cleanup(goOn)
	d := newDiscovery(t)
	d.list(true, "in_service", r, w)
	addr, first, second := ownAddr(t), ownAddr(t), ownAddr(t)
	env := []string{"ROUTER_LISTEN=" + addr, "ROUTER_NAME=n1", "TMPDIR=" + t.TempDir(), "ROUTER_DISCOVERY=" + d.Listener.Addr().String(),
		"ROUTER_CONFIG=" + config(t, `{"generation":0,"reset":true,"instances":[]}`, connIdle)}
	old := start(t, addr, append(env, "ROUTER_CONSOLE="+first), "serve").waitReady()
	operator := &program{t: t, addr: first}

	unread := old.raw(old.text("query", newID(), patience))
	defer unread.Close()
	eventually(t, func() bool { return posts(w) == 1 }, "its answer has begun")
	text := old.text("query", newID(), patience)
	half := old.raw(text[:len(text)-20])
	defer half.Close()
	next := old.beside(t, second, env)
	old.signal(syscall.SIGTERM)
	eventually(t, func() bool { return operator.status(http.MethodGet, "/v1/readyz") == 503 }, "the old one is told")
	_, err := io.WriteString(half, text[len(text)-20:])
	require.NoError(t, err)
	eventually(t, func() bool { return posts(w) == 2 }, "the half one has become whole")
	goOn()
	whole := func(c io.Reader) string {
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		require.NoError(t, err)
		require.Equal(t, 200, resp.StatusCode)
		body, err := io.ReadAll(resp.Body)
		require.NoError(t, err, "not to its last chunk")
		return string(body)
	}
	require.NoError(t, half.SetReadDeadline(time.Now().Add(patient)))
	require.Equal(t, events+rest, whole(half))
	old.waitExit()
	require.NoError(t, unread.SetReadDeadline(time.Now().Add(patient)))
	require.Equal(t, events+rest, whole(unread))
	a := next.ask("query", newID(), patience)
	require.Equal(t, 200, a.status)
	require.True(t, strings.HasSuffix(a.body, rest))
}
