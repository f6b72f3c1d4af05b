package test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// storeWaitTimeout is how long a start waits for the store before it reports that, and a margin.
const storeWaitTimeout = 45 * time.Second

// bothFronts is a router with the platform's front, the model API and a replica of a store whose
// other replicas have not been started.
type bothFronts struct {
	*program
	api      *api
	replicas []storeReplica
}

// writeTemp writes a file for a program.
func writeTemp(t *testing.T, name, text string) string {
	path := filepath.Join(t.TempDir(), name)
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func startBothFronts(t *testing.T, serve func(http.ResponseWriter, *http.Request)) *bothFronts {
	k, backend := newWorker(t, "m1", "mixed", serve), newWorker(t, "m-a", "model", model)
	d := newDiscovery(t)
	d.addList(true, "in_service", k)
	addr, modelAddr := ownAddr(t), ownAddr(t)
	b := &bothFronts{replicas: layOutReplicas(t, 3)}
	modelFile := writeTemp(t, "modelapi.toml", fmt.Sprintf("listen = %q\n[[backend]]\nname = \"m-a\"\naddr = %q\n", modelAddr, backend.Listener.Addr()))
	file := config(t, `{"generation":0,"reset":true,"instances":[]}`, connIdle)
	b.program = start(t, addr, []string{"ROUTER_LISTEN=" + addr, "ROUTER_NAME=n1", "ROUTER_DISCOVERY=" + d.Listener.Addr().String(),
		"ROUTER_CONFIG=" + file}, "serve", "--modelapi", modelFile, "--store", b.replicas[0].file)
	b.api = &api{program: &program{t: t, addr: modelAddr}}
	b.waitReady()
	return b
}

// startStoreMajority starts the other replicas.
func (b *bothFronts) startStoreMajority() {
	for _, r := range b.replicas[1:] {
		start(b.t, "", nil, "serve", "--store", r.file)
	}
}

// Guards against routers that end 30 s after a start without a majority of the store, and with them
// the platform's front and its requests, which need nothing of the store.
func TestPlatformServesWhileModelAPIWaitsForStore(t *testing.T) {
	t.Parallel()
	b := startBothFronts(t, serveStream)
	for deadline := time.Now().Add(storeWaitTimeout); !b.logged("model API not started yet"); {
		require.Less(t, time.Now(), deadline, "the wait is reported")
		require.Equal(t, 200, b.ask("query", newID(), 2*time.Second).status, "the platform's front serves")
		require.Zero(t, b.api.status(http.MethodGet, "/healthz"), "the model API does not serve an older configuration")
		time.Sleep(pollInterval)
	}
	require.Equal(t, 200, b.ask("query", newID(), 2*time.Second).status, "the platform's front serves")
	b.startStoreMajority()
	b.api.waitReady()
	require.Equal(t, 200, b.api.post(embedPath, "", embedBody).status)
	b.signal(syscall.SIGTERM)
	b.waitExit()
}

// Guards against routers that, told to stop while the model API waited for the store, ended at once
// and cut off the requests of the platform's front.
func TestTermFinishesRequestsWhileModelAPIWaitsForStore(t *testing.T) {
	t.Parallel()
	finished := make(chan struct{})
	finish := sync.OnceFunc(func() { close(finished) })
	b := startBothFronts(t, func(w http.ResponseWriter, r *http.Request) {
		beginStream(w)
		<-finished
		_, _ = io.WriteString(w, "data: [DONE]\n\n")
	})
	t.Cleanup(finish) // a worker that waits can't be closed
	resp, err := http.DefaultClient.Do(b.request("query", newID(), 5*time.Second))
	require.NoError(t, err)
	defer resp.Body.Close()
	require.Equal(t, 200, resp.StatusCode)
	b.signal(syscall.SIGTERM)
	eventually(t, func() bool { return b.logged("stopping: finishing open requests") }, "the router is stopping")
	finish()
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.True(t, strings.HasSuffix(string(body), "data: [DONE]\n\n"), "%q", body)
	b.waitExit()
}

// Guards against routers that refuse a published version while they run and end at each start after
// that: the version is refused at a start as well, and the one before it serves.
func TestRefusedVersionIsRefusedAtStartToo(t *testing.T) {
	t.Parallel()
	backend := newWorker(t, "m-a", "model", model)
	// With this deadline the file does not go with an aim of more than 2 s.
	p := newPublished(t, fmt.Sprintf("embeddings = {deadline = \"2s\"}\n[[backend]]\nname = \"m-a\"\naddr = %q\n", backend.Listener.Addr()))
	a := &api{program: p.front.waitReady()}
	restart := func() {
		p.front.signal(syscall.SIGKILL)
		<-p.front.exit
		p.front = start(t, p.front.addr, nil, p.front.cmd.Args[1:]...)
		a.program = p.front.waitReady()
		require.Equal(t, 200, a.post(embedPath, "", embedBody).status)
	}
	out, err := p.publish(1, "[embeddings]\naim = \"9s\"\n")
	require.NoError(t, err, out)
	p.waitForLine(1, "r0 0")
	restart()
	require.True(t, p.front.logged("published configuration not applied"), "the refusal is told")

	out, err = p.publish(1, "max_open = 99\n")
	require.NoError(t, err, out)
	p.waitForLine(1, "r0 2")
	out, err = p.publish(1, "[embeddings]\naim = \"9s\"\n")
	require.NoError(t, err, out)
	restart()
	p.waitForLine(1, "r0 2")
	require.True(t, p.front.logged("published configuration not applied"), "the refusal is told")
	out, err = p.publish(1, "max_open = 98\n")
	require.NoError(t, err, out)
	p.waitForLine(1, "r0 4")
}

// A file that is invalid, or an address that stays in use, ends the start with the file or address
// in the message, before any front serves.
func TestFailedStartServesNobody(t *testing.T) {
	t.Parallel()
	taken, err := net.Listen("tcp", ownAddr(t))
	require.NoError(t, err)
	t.Cleanup(func() { _ = taken.Close() })
	inUse := taken.Addr().String()
	for _, test := range []struct {
		name  string
		flags func(t *testing.T) []string
		env   string
		want  string
	}{
		{"model API", func(t *testing.T) []string { return []string{"--modelapi", writeTemp(t, "bad.toml", "listen = 7\n")} }, "", "bad.toml"},
		{"store", func(t *testing.T) []string { return []string{"--store", writeTemp(t, "bad.toml", "id = 7\n")} }, "", "bad.toml"},
		{"sources", func(t *testing.T) []string { return []string{"--sources", writeTemp(t, "bad.toml", "odd = 7\n")} }, "", "bad.toml"},
		{"fleet", func(t *testing.T) []string { return []string{"--fleet", writeTemp(t, "bad.toml", "fleet = 7\n")} }, "", "bad.toml"},
		{"address of the model API", func(t *testing.T) []string {
			return []string{"--modelapi", writeTemp(t, "modelapi.toml", fmt.Sprintf("listen = %q\n", inUse))}
		}, "", inUse},
		{"address of the console", func(*testing.T) []string { return nil }, "ROUTER_CONSOLE=" + inUse, inUse},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			d := newDiscovery(t)
			addr := ownAddr(t)
			p := start(t, addr, []string{"ROUTER_LISTEN=" + addr, "ROUTER_NAME=n1", "ROUTER_DISCOVERY=" + d.Listener.Addr().String(),
				"ROUTER_CONFIG=" + config(t, `{"generation":0,"reset":true,"instances":[]}`, connIdle), test.env},
				append([]string{"serve"}, test.flags(t)...)...)
			select {
			case err := <-p.exit:
				require.Error(t, err, "the start fails")
			case <-time.After(eventualTimeout):
				t.Fatal("the program did not end")
			}
			require.True(t, p.logged(test.want), "the message names %s", test.want)
			require.False(t, p.logged("msg=serving"), "a front served before the start failed")
		})
	}
}
