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

// startSuccessor starts a second process as an upgrade does: with the same addresses, name and
// folder for temporary files, and with another console.
func (p *program) startSuccessor(t *testing.T, console string, env []string) *program {
	next := start(t, p.addr, append(env, "ROUTER_CONSOLE="+console), "serve")
	operator := &program{t: t, addr: console}
	eventually(t, func() bool { return operator.status(http.MethodGet, "/v1/readyz") == 200 }, "the new process is ready")
	return next
}

// Guards against lost requests during an upgrade under load. The old process must complete its open
// requests, all new clients must be served, and a suspended worker must stay suspended.
func TestUpgradeWithRequestsInFlight(t *testing.T) {
	more := make(chan struct{})
	goOn := sync.OnceFunc(func() { close(more) })
	r, w := pair(t, heldStream(more))
	t.Cleanup(goOn)
	out := newWorker(t, "s-00000003", "writer", nil)
	d := newDiscovery(t)
	d.addList(true, "in_service", r, w, out)
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
	next := old.startSuccessor(t, second, env)
	old.signal(syscall.SIGTERM)
	eventually(t, func() bool { return operator.status(http.MethodGet, "/v1/readyz") == 503 }, "the old process is terminating")
	streams := []*http.Response{resp}
	for range 8 { // no connection is refused, or closed before it is read
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
		require.Equal(t, streamStart+streamEnd, string(body), "each stream is complete")
	}
	old.waitExit()
	require.Zero(t, countPosts(out), "the suspended worker received nothing from either process")

	operator.addr = second
	require.Equal(t, 200, operator.status(http.MethodPost, "/v1/workers/s-00000003/resume"))
	eventually(t, func() bool { next.ask("query", newID(), patience); return countPosts(out) > 0 }, "it is used again")
}

// Guards against lost data when SIGTERM comes while a request body is half received and an answer's
// end is unread. The request must be answered completely once the rest of the body arrives, and the
// answer must be readable to its end after the process has exited.
func TestHandoverWithPartialBodyAndUnreadAnswer(t *testing.T) {
	more := make(chan struct{})
	goOn := sync.OnceFunc(func() { close(more) })
	r, w := pair(t, heldStream(more))
	t.Cleanup(goOn)
	d := newDiscovery(t)
	d.addList(true, "in_service", r, w)
	addr, first, second := ownAddr(t), ownAddr(t), ownAddr(t)
	env := []string{"ROUTER_LISTEN=" + addr, "ROUTER_NAME=n1", "TMPDIR=" + t.TempDir(), "ROUTER_DISCOVERY=" + d.Listener.Addr().String(),
		"ROUTER_CONFIG=" + config(t, `{"generation":0,"reset":true,"instances":[]}`, connIdle)}
	old := start(t, addr, append(env, "ROUTER_CONSOLE="+first), "serve").waitReady()
	operator := &program{t: t, addr: first}

	unread := old.sendRaw(old.requestText("query", newID(), patience))
	defer unread.Close()
	eventually(t, func() bool { return countPosts(w) == 1 }, "the answer has begun")
	text := old.requestText("query", newID(), patience)
	half := old.sendRaw(text[:len(text)-20])
	defer half.Close()
	next := old.startSuccessor(t, second, env)
	old.signal(syscall.SIGTERM)
	eventually(t, func() bool { return operator.status(http.MethodGet, "/v1/readyz") == 503 }, "the old process is terminating")
	_, err := io.WriteString(half, text[len(text)-20:])
	require.NoError(t, err)
	eventually(t, func() bool { return countPosts(w) == 2 }, "the partial request is complete")
	goOn()
	readStream := func(c io.Reader) string {
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		require.NoError(t, err)
		require.Equal(t, 200, resp.StatusCode)
		body, err := io.ReadAll(resp.Body)
		require.NoError(t, err, "the body ends before its last chunk")
		return string(body)
	}
	require.NoError(t, half.SetReadDeadline(time.Now().Add(eventualTimeout)))
	require.Equal(t, streamStart+streamEnd, readStream(half))
	old.waitExit()
	require.NoError(t, unread.SetReadDeadline(time.Now().Add(eventualTimeout)))
	require.Equal(t, streamStart+streamEnd, readStream(unread))
	a := next.ask("query", newID(), patience)
	require.Equal(t, 200, a.status)
	require.True(t, strings.HasSuffix(a.body, streamEnd))
}
