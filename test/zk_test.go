package test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lichenshelf/discovery/zkwire"
	"lichenshelf/internal/standin/zk"
)

// startZK starts the program on a coordination server that lists its workers.
func startZK(t *testing.T) (*sourced, *zk.Server) {
	service, err := zk.New()
	require.NoError(t, err)
	t.Cleanup(service.Close)
	service.Create("/w", "", 0)
	s := &sourced{t: t, sources: filepath.Join(t.TempDir(), "sources.toml"), codes: map[int]int{}, api: &api{file: filepath.Join(t.TempDir(), "modelapi.toml")}}
	text := fmt.Sprintf("[[source]]\nname = \"zk\"\nkind = \"zookeeper\"\nservers = [%q]\npath = \"/w\"\nsession = \"2s\"\nresync = \"1s\"\n", service.Addr())
	require.NoError(t, os.WriteFile(s.sources, []byte(text), 0o600))
	return s, service
}

func node(w *worker, startedAtMs int64) string {
	return fmt.Sprintf(`{"addr":%q,"started_at_ms":%d}`, w.Listener.Addr(), startedAtMs)
}

func (s *sourced) waitSet(in bool, name string) {
	s.t.Helper()
	eventually(s.t, func() bool { return slices.Contains(s.set(), name) == in }, name)
}

// Two hundred sessions flap while clients go on asking: once a node has vanished,
// and the window is over, its worker gets nothing until the node is back.
func TestTwoHundredFlaps(t *testing.T) {
	const flaps = 200
	s, service := startZK(t)
	var workers []*worker
	for i := range 4 {
		w := newWorker(t, fmt.Sprintf("w%d", i), "model", model)
		workers = append(workers, w)
		service.Create("/w/"+w.name, node(w, 5), int64(i+1))
	}
	s.run()
	s.becomes("w0", "w1", "w2", "w3")
	service.Script(func(ev zkwire.WatcherEvent) zk.Delivery { // events come twice or late now and then
		return zk.Delivery{Duplicate: rand.IntN(4) == 0, Delay: time.Duration(rand.IntN(3)) * time.Millisecond}
	})
	type span struct {
		w        *worker
		from, to time.Time // the window is over; the node is made again
	}
	var closed []span
	for i := range flaps {
		k := i % 3 // the fourth one stays, so that somebody serves
		w := workers[k]
		service.Expire(int64(k + 1))
		s.waitSet(false, w.name)
		told := time.Now()
		if i%10 == 0 {
			time.Sleep(400 * time.Millisecond) // longer than the window
		}
		closed = append(closed, span{w, told.Add(250 * time.Millisecond), time.Now()})
		service.Create("/w/"+w.name, node(w, 5), int64(k+1))
		s.waitSet(true, w.name)
	}
	long := 0
	for _, c := range closed {
		if c.to.After(c.from) {
			long++
		}
		for _, got := range c.w.got(http.MethodPost) {
			require.False(t, got.at.After(c.from) && got.at.Before(c.to), "a send to %s after the window", c.w.name)
		}
	}
	require.Equal(t, flaps/10, long)
	for _, w := range workers[:3] {
		require.NotZero(t, posts(w), "it serves between its flaps")
	}
	s.finish()
}

// The service is cut off for longer than our session, and all workers' sessions
// expire at once: the cut says nothing, the expiry says all.
func TestCoordinationServiceCutOffAndAllExpired(t *testing.T) {
	s, service := startZK(t)
	a, b := newWorker(t, "a", "model", model), newWorker(t, "b", "model", model)
	service.Create("/w/a", node(a, 5), 1)
	service.Create("/w/b", node(b, 5), 2)
	s.run()
	s.becomes("a", "b")
	service.Refuse(true)
	service.ExpireClients()
	eventually(t, func() bool { return s.logged("source failed") }, "the cut is seen")
	n := posts(a, b)
	eventually(t, func() bool { return posts(a, b) > n+50 }, "both go on serving")
	s.becomes("a", "b")
	service.Expire(2)
	service.Refuse(false)
	s.becomes("a")
	service.Expire(1)
	s.becomes()
	eventually(t, func() bool { return s.status(http.MethodGet, "/healthz") == 503 }, "nobody is left")
	service.Create("/w/b", node(b, 6), 3)
	s.becomes("b")
	s.waitReady()
	s.finish()
}

// Three routers share a store that speaks ZooKeeper's protocol; one takes its
// workers from there, and they register over it. The leader is killed meanwhile.
func TestWorkersRegisterOverZooKeeper(t *testing.T) {
	a, b := newWorker(t, "a", "model", model), newWorker(t, "b", "model", model)
	var peers, zkAddrs, apis []string
	for i := range 3 {
		apis, zkAddrs = append(apis, ownAddr(t)), append(zkAddrs, ownAddr(t))
		peers = append(peers, fmt.Sprintf("[[peer]]\nid = \"r%d\"\nraft = %q\napi = %q\n", i, ownAddr(t), apis[i]))
	}
	listen, dir := ownAddr(t), t.TempDir()
	file, sources := filepath.Join(dir, "modelapi.toml"), filepath.Join(dir, "sources.toml")
	require.NoError(t, os.WriteFile(file, []byte(fmt.Sprintf("listen = %q\n", listen)), 0o600))
	require.NoError(t, os.WriteFile(sources, []byte(fmt.Sprintf("[[source]]\nname = \"zk\"\nkind = \"zookeeper\"\nservers = [%q, %q, %q]\npath = \"/service/chat\"\nsession = \"4s\"\n",
		zkAddrs[0], zkAddrs[1], zkAddrs[2])), 0o600))
	var programs []*program
	for i := range 3 {
		own := filepath.Join(dir, fmt.Sprint("store", i, ".toml"))
		text := fmt.Sprintf("id = \"r%d\"\ndata_dir = %q\nzookeeper = %q\n%s", i, filepath.Join(dir, fmt.Sprint("data", i)), zkAddrs[i], strings.Join(peers, ""))
		require.NoError(t, os.WriteFile(own, []byte(text), 0o600))
		args := []string{"serve", "--store", own}
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
	besideA, besideB := register(a), register(b)
	front.waitReady()
	eventually(t, func() bool { return slices.Equal(front.set(), []string{"a", "b"}) }, "both are in")
	client := &api{program: front}
	require.Equal(t, 200, client.post(embedPath, "", embedBody).status)

	at := func(args ...string) (string, error) {
		return command(t, append([]string{"store", "--at", apis[0], "--at", apis[1], "--at", apis[2]}, args...)...)
	}
	eventually(t, func() bool { // a replica that does not lead may tell a moment later
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
	eventually(t, func() bool { return watching.logged(`"data":"one"`) }, "the node")
	_, err = at("set", "--version", "0", "/note", "two")
	require.NoError(t, err)
	eventually(t, func() bool { return watching.logged(`"data":"two"`) }, "its change")
	_, err = at("set", "--version", "0", "/note", "three")
	require.Error(t, err, "the version has moved on")
	_, err = at("rm", "/note")
	require.NoError(t, err)
	watching.waitExit()
	_, err = at("get", "/note")
	require.Error(t, err)
	_, err = at("ls")
	require.Error(t, err)

	// A worker whose registration ends is gone at once; one that is killed, when its
	// session has timed out; a replica that dies takes nobody along.
	besideB.signal(syscall.SIGTERM)
	besideB.waitExit()
	eventually(t, func() bool { return slices.Equal(front.set(), []string{"a"}) }, "b has gone")
	programs[1].signal(syscall.SIGKILL)
	besideB = register(b)
	eventually(t, func() bool { return slices.Equal(front.set(), []string{"a", "b"}) }, "b is back")
	require.Equal(t, 200, client.post(embedPath, "", embedBody).status)
	besideA.signal(syscall.SIGKILL)
	eventually(t, func() bool { return slices.Equal(front.set(), []string{"b"}) }, "a's session has timed out")
	besideB.signal(syscall.SIGTERM)
	besideB.waitExit()
}
