package test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lichenshelf/discovery/zkwire"
	"lichenshelf/internal/standin/zk"
)

// startZK prepares a model API whose workers are listed by a stand-in for a ZooKeeper server, and
// returns both.
func startZK(t *testing.T) (*sourcesRig, *zk.Server) {
	service, err := zk.New()
	require.NoError(t, err)
	t.Cleanup(service.Close)
	service.Create("/w", "", 0)
	s := &sourcesRig{t: t, sources: filepath.Join(t.TempDir(), "sources.toml"), codes: map[int]int{}, api: &api{file: filepath.Join(t.TempDir(), "modelapi.toml")}}
	text := fmt.Sprintf("[[source]]\nname = \"zk\"\nkind = \"zookeeper\"\nservers = [%q]\npath = \"/w\"\nsession = \"2s\"\nresync = \"1s\"\n", service.Addr())
	require.NoError(t, os.WriteFile(s.sources, []byte(text), 0o600))
	return s, service
}

func nodeData(w *worker, startedAtMs int64) string {
	return fmt.Sprintf(`{"addr":%q,"started_at_ms":%d}`, w.Listener.Addr(), startedAtMs)
}

func (s *sourcesRig) waitForWorker(in bool, name string) {
	s.t.Helper()
	eventually(s.t, func() bool { return slices.Contains(s.loggedSet(), name) == in }, name)
}

// Two hundred times a worker's session expires and its node is created again, while clients send
// requests: from the end of the window after its node was removed until the node exists again, the
// worker must receive nothing.
func TestTwoHundredFlaps(t *testing.T) {
	const flaps = 200
	s, service := startZK(t)
	var workers []*worker
	for i := range 4 {
		w := newWorker(t, fmt.Sprintf("w%d", i), "model", model)
		workers = append(workers, w)
		service.Create("/w/"+w.name, nodeData(w, 5), int64(i+1))
	}
	s.run()
	s.waitForSet("w0", "w1", "w2", "w3")
	// Some events are duplicated or delayed.
	service.Script(func(ev zkwire.WatcherEvent) zk.Delivery {
		return zk.Delivery{Duplicate: rand.IntN(4) == 0, Delay: time.Duration(rand.IntN(3)) * time.Millisecond}
	})
	type span struct {
		w        *worker
		from, to time.Time // from the end of the window until the node is created again
	}
	var closed []span
	for i := range flaps {
		k := i % 3 // the fourth worker stays, so that requests are served
		w := workers[k]
		service.Expire(int64(k + 1))
		s.waitForWorker(false, w.name)
		removedAt := time.Now()
		if i%10 == 0 {
			time.Sleep(400 * time.Millisecond) // longer than the window
		}
		closed = append(closed, span{w, removedAt.Add(250 * time.Millisecond), time.Now()})
		service.Create("/w/"+w.name, nodeData(w, 5), int64(k+1))
		s.waitForWorker(true, w.name)
	}
	long := 0
	for _, c := range closed {
		if c.to.After(c.from) {
			long++
		}
		for _, got := range c.w.received(http.MethodPost) {
			require.False(t, got.at.After(c.from) && got.at.Before(c.to), "a request to %s after the window", c.w.name)
		}
	}
	require.Equal(t, flaps/10, long)
	for _, w := range workers[:3] {
		require.NotZero(t, countPosts(w), "the worker serves between its expiries")
	}
	s.stopAndCheck()
}

// The service is unreachable for longer than the router's session: that alone removes no worker.
// Once it is reachable, the workers whose sessions have expired are removed.
func TestCoordinationServiceCutOffAndAllExpired(t *testing.T) {
	s, service := startZK(t)
	a, b := newWorker(t, "a", "model", model), newWorker(t, "b", "model", model)
	service.Create("/w/a", nodeData(a, 5), 1)
	service.Create("/w/b", nodeData(b, 5), 2)
	s.run()
	s.waitForSet("a", "b")
	service.Refuse(true)
	service.ExpireClients()
	eventually(t, func() bool { return s.logged("source failed") }, "the disconnection is logged")
	n := countPosts(a, b)
	eventually(t, func() bool { return countPosts(a, b) > n+50 }, "both workers still serve")
	s.waitForSet("a", "b")
	service.Expire(2)
	service.Refuse(false)
	s.waitForSet("a")
	service.Expire(1)
	s.waitForSet()
	eventually(t, func() bool { return s.status(http.MethodGet, "/healthz") == 503 }, "no worker is left")
	service.Create("/w/b", nodeData(b, 6), 3)
	s.waitForSet("b")
	s.waitReady()
	s.stopAndCheck()
}

// Three routers share a store that speaks ZooKeeper's protocol. Workers register over it, and one
// router takes its workers from there. A replica is killed meanwhile.
func TestWorkersRegisterOverZooKeeper(t *testing.T) {
	a, b := newWorker(t, "a", "model", model), newWorker(t, "b", "model", model)
	replicas := layOutReplicas(t, 3)
	var zkAddrs, apis []string
	for _, r := range replicas {
		zkAddrs, apis = append(zkAddrs, r.zooKeeper), append(apis, r.api)
	}
	listen, dir := ownAddr(t), t.TempDir()
	file, sources := filepath.Join(dir, "modelapi.toml"), filepath.Join(dir, "sources.toml")
	require.NoError(t, os.WriteFile(file, []byte(fmt.Sprintf("listen = %q\n", listen)), 0o600))
	require.NoError(t, os.WriteFile(sources, []byte(fmt.Sprintf("[[source]]\nname = \"zk\"\nkind = \"zookeeper\"\nservers = [%q, %q, %q]\npath = \"/service/chat\"\nsession = \"4s\"\n",
		zkAddrs[0], zkAddrs[1], zkAddrs[2])), 0o600))
	var programs []*program
	for i, r := range replicas {
		args := []string{"serve", "--store", r.file}
		if i == 0 {
			args = append(args, "--modelapi", file, "--sources", sources)
		}
		programs = append(programs, start(t, listen, nil, args...))
	}
	front := programs[0]
	register := func(w *worker) *program {
		return start(t, "", nil, "register", "--protocol", "zk", "--path", "/service/chat", "--name", w.name, "--addr", w.Listener.Addr().String(),
			"--store", zkAddrs[1], "--store", zkAddrs[2], "--timeout", "2s")
	}
	registrarA, registrarB := register(a), register(b)
	front.waitReady()
	eventually(t, func() bool { return slices.Equal(front.loggedSet(), []string{"a", "b"}) }, "both workers are in use")
	client := &api{program: front}
	require.Equal(t, 200, client.post(embedPath, "", embedBody).status)

	at := func(args ...string) (string, error) {
		return command(t, append([]string{"store", "--at", apis[0], "--at", apis[1], "--at", apis[2]}, args...)...)
	}
	eventually(t, func() bool { // a follower may list them a moment later
		out, err := at("ls", "/service/chat")
		return err == nil && out == "a\nb\n"
	}, "both are listed")
	out, err := at("get", "/service/chat/a")
	require.NoError(t, err, out)
	require.Contains(t, out, a.Listener.Addr().String())
	out, err = at("stat", "/service/chat/a")
	require.NoError(t, err, out)
	require.Contains(t, out, `"ephemeral"`)
	_, err = at("set", "/note", "one")
	require.NoError(t, err)
	watching := start(t, "", nil, "store", "--at", apis[1], "watch", "/note")
	eventually(t, func() bool { return watching.logged(`"data":"one"`) }, "the node is printed")
	_, err = at("set", "--version", "0", "/note", "two")
	require.NoError(t, err)
	eventually(t, func() bool { return watching.logged(`"data":"two"`) }, "its change is printed")
	_, err = at("set", "--version", "0", "/note", "three")
	require.Error(t, err, "the version has changed")
	_, err = at("rm", "/note")
	require.NoError(t, err)
	watching.waitExit()
	_, err = at("get", "/note")
	require.Error(t, err)
	_, err = at("ls")
	require.Error(t, err)

	// A worker that ends its registration is removed at once, one whose registration is killed once
	// its session has expired. The death of a replica removes no worker.
	registrarB.signal(syscall.SIGTERM)
	registrarB.waitExit()
	eventually(t, func() bool { return slices.Equal(front.loggedSet(), []string{"a"}) }, "b is removed")
	programs[1].signal(syscall.SIGKILL)
	registrarB = register(b)
	eventually(t, func() bool { return slices.Equal(front.loggedSet(), []string{"a", "b"}) }, "b is back")
	require.Equal(t, 200, client.post(embedPath, "", embedBody).status)
	registrarA.signal(syscall.SIGKILL)
	eventually(t, func() bool { return slices.Equal(front.loggedSet(), []string{"b"}) }, "a's session has expired")
	registrarB.signal(syscall.SIGTERM)
	registrarB.waitExit()
}
