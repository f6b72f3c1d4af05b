package test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	relay "lichenshelf/internal/standin/link"
)

// replicas starts three routers that share a store; the first has the model API.
func replicas(t *testing.T, modelSettings string) (programs []*program, apis []string, front *program) {
	programs, apis, front, _ = replicasWithRelays(t, modelSettings, false)
	return programs, apis, front
}

// replicasWithRelays is replicas with, if relayed is set, a relay on the link from each replica to
// each other one. Each replica then has its own addresses of the others; the Raft log identifies
// replicas by their ids.
func replicasWithRelays(t *testing.T, modelSettings string, relayed bool) (programs []*program, apis []string, front *program, links []*relay.Relay) {
	return replicasStarted(t, modelSettings, relayed, func(addr string, args ...string) *program { return start(t, addr, nil, args...) })
}

// replicasStarted is replicasWithRelays with the given function to start a program.
func replicasStarted(t *testing.T, modelSettings string, relayed bool, start func(addr string, args ...string) *program) (programs []*program, apis []string, front *program, links []*relay.Relay) {
	var rafts []string
	for range 3 {
		apis, rafts = append(apis, ownAddr(t)), append(rafts, ownAddr(t))
	}
	peersOf := func(i int) string {
		var peers strings.Builder
		for j := range 3 {
			raft := rafts[j]
			if relayed && j != i {
				link, err := relay.New(raft)
				require.NoError(t, err)
				t.Cleanup(link.Close)
				links, raft = append(links, link), link.Addr()
			}
			fmt.Fprintf(&peers, "[[peer]]\nid = \"r%d\"\nraft = %q\napi = %q\n", j, raft, apis[j])
		}
		return peers.String()
	}
	listen := ownAddr(t)
	file := filepath.Join(t.TempDir(), "modelapi.toml")
	require.NoError(t, os.WriteFile(file, []byte(fmt.Sprintf("listen = %q\n%s", listen, modelSettings)), 0o600))
	for i := range 3 {
		dir := t.TempDir()
		own := filepath.Join(dir, "store.toml")
		text := fmt.Sprintf("id = \"r%d\"\ndata_dir = %q\n%s", i, filepath.Join(dir, "data"), peersOf(i))
		require.NoError(t, os.WriteFile(own, []byte(text), 0o600))
		args := []string{"serve", "--store", own}
		if i == 0 {
			args = append(args, "--modelapi", file)
		}
		programs = append(programs, start(listen, args...))
	}
	return programs, apis, programs[0], links
}

// storeCall calls the store's API, repeatedly until a leader answers.
func storeCall(t *testing.T, method, url, body string) (status int, out map[string]any) {
	t.Helper()
	eventually(t, func() bool {
		req, err := http.NewRequest(method, url, strings.NewReader(body))
		require.NoError(t, err)
		a := do(req)
		status, out = a.status, nil
		_ = json.Unmarshal([]byte(a.body), &out)
		return a.err == nil && status < 500
	}, "the store answers")
	return status, out
}

func TestBackendsRegisterAndExpiredSessionsRemoveThem(t *testing.T) {
	b := newWorker(t, "m-a", "model", model)
	programs, apis, front := replicas(t, "")
	at := "http://" + apis[1]
	status, _ := storeCall(t, http.MethodPost, at+"/v1/nodes/backends", "")
	require.Contains(t, []int{201, 409}, status)
	eventually(t, func() bool { return front.status(http.MethodGet, "/healthz") == 503 }, "no backend yet")

	// A separate process keeps the backend registered.
	registrar := start(t, "", nil, "register", "--store", apis[2], "--store", apis[1], "--name", "m-a",
		"--addr", b.Listener.Addr().String(), "--timeout", "1s")
	front.waitReady()
	a := &api{program: front}
	require.Equal(t, 200, a.post(embedPath, "", embedBody).status)
	// Any replica returns the node, a follower possibly a moment later.
	node := func() map[string]any {
		_, n := storeCall(t, http.MethodGet, at+"/v1/nodes/backends/m-a", "")
		stat, _ := n["stat"].(map[string]any)
		return stat
	}
	eventually(t, func() bool { return node() != nil }, "the node exists")
	require.NotEmpty(t, node()["ephemeral"])
	session := node()["ephemeral"].(string)
	registrar.signal(syscall.SIGKILL) // its session expires, which removes the backend
	eventually(t, func() bool { return front.status(http.MethodGet, "/healthz") == 503 }, "the backend is removed")
	status, _ = storeCall(t, http.MethodPut, at+"/v1/sessions/"+session, "")
	require.Equal(t, 404, status)
	for _, p := range programs {
		p.signal(syscall.SIGTERM)
	}
	for _, p := range programs {
		p.waitExit()
	}
}

// shortTimeoutClient times out after 2 s, as a stopped process leaves accepted connections without
// an answer.
var shortTimeoutClient = &http.Client{Timeout: 2 * time.Second}

// readNode reads a node from one replica, in one attempt. The status is 0 without a usable answer.
func readNode(api, path string) (status int, version float64) {
	resp, err := shortTimeoutClient.Get("http://" + api + path)
	if err != nil {
		return 0, 0
	}
	defer resp.Body.Close()
	var n struct{ Stat struct{ Version float64 } }
	if resp.StatusCode == http.StatusOK && json.NewDecoder(resp.Body).Decode(&n) != nil {
		return 0, 0
	}
	return resp.StatusCode, n.Stat.Version
}

// A replica that was stopped while others acknowledged writes, and replicas that were killed and
// restarted, answer a read with the acknowledged value or with 503, never with an older value or
// with 404.
func TestReplicasAnswerNothingOlderThanAcknowledged(t *testing.T) {
	programs, apis, _ := replicas(t, "")
	storeCall(t, http.MethodPost, "http://"+apis[1]+"/v1/nodes/n", "")
	written := 0.0
	write := func(at, times int) {
		for range times {
			// The leader may be stopped: a write that was redirected there is repeated.
			eventually(t, func() bool {
				req, err := http.NewRequest(http.MethodPut, "http://"+apis[at]+"/v1/nodes/n", strings.NewReader("x"))
				require.NoError(t, err)
				resp, err := shortTimeoutClient.Do(req)
				if err != nil {
					return false
				}
				resp.Body.Close()
				return resp.StatusCode == http.StatusNoContent
			}, "the write is acknowledged")
			written++
		}
	}
	read := func(i int, what string) {
		var statuses []int
		eventually(t, func() bool {
			status, version := readNode(apis[i], "/v1/nodes/n")
			statuses = append(statuses, status)
			if status == http.StatusOK {
				require.GreaterOrEqual(t, version, written, what)
				return true
			}
			require.Contains(t, []int{0, http.StatusServiceUnavailable}, status, what)
			return false
		}, what)
		t.Logf("%s: %v", what, statuses)
	}
	write(0, 20)
	for i, p := range programs { // the leader is among them
		p.signal(syscall.SIGSTOP)
		write((i+1)%3, 20)
		p.signal(syscall.SIGCONT)
		read(i, "stopped and continued")
	}
	for _, i := range []int{1, 2} {
		programs[i].signal(syscall.SIGKILL)
		<-programs[i].exit
	}
	for _, i := range []int{1, 2} {
		programs[i] = start(t, programs[i].addr, nil, programs[i].cmd.Args[1:]...)
	}
	for _, i := range []int{1, 2, 0} {
		read(i, "killed and restarted")
	}
	write(0, 1)
	read(2, "after another write")
}

// A router that waits for the store's leader at its start must still exit on SIGTERM.
func TestTermEndsAStartThatWaitsForTheStore(t *testing.T) {
	programs, _, front := replicas(t, "")
	programs[1].signal(syscall.SIGKILL)
	programs[2].signal(syscall.SIGKILL)
	eventually(t, func() bool { return front.logged("store open") }, "the start has reached the store")
	front.signal(syscall.SIGTERM)
	front.waitExit()
}

func TestRegisteredDrainStopsSends(t *testing.T) {
	x, y := newWorker(t, "m-a", "model", model), newWorker(t, "m-b", "model", model)
	_, apis, front := replicas(t, "")
	at := "http://" + apis[2] + "/v1/nodes/backends"
	storeCall(t, http.MethodPost, at, "")
	for _, b := range []*worker{x, y} {
		storeCall(t, http.MethodPost, at+"/"+b.name, fmt.Sprintf(`{"addr":%q}`, b.Listener.Addr()))
	}
	front.waitReady()
	a := &api{program: front}
	eventually(t, func() bool { a.post(embedPath, "", embedBody); return countPosts(x) > 0 && countPosts(y) > 0 }, "both backends serve")
	status, _ := storeCall(t, http.MethodPut, at+"/m-b?version=0", fmt.Sprintf(`{"addr":%q,"draining":true}`, y.Listener.Addr()))
	require.Equal(t, 204, status)
	drainedAt := time.Now()
	time.Sleep(250 * time.Millisecond) // after which sends must have stopped
	for range 20 {
		require.Equal(t, 200, a.post(embedPath, "", embedBody).status)
	}
	for _, c := range y.received(http.MethodPost) {
		require.Less(t, c.at.Sub(drainedAt), 250*time.Millisecond)
	}
	status, _ = storeCall(t, http.MethodPut, at+"/m-b?version=0", "{}")
	require.Equal(t, 409, status, "the version has changed")
}
