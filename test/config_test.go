package test

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	relay "lichenshelf/internal/standin/link"
)

// published runs three programs with replicas, the first also with the model API, and calls the
// config command.
type published struct {
	t            *testing.T
	programs     []*program
	apis         []string
	front        *program
	dir          string
	replicaLinks []*relay.Relay // from each replica to each other one
}

func newPublished(t *testing.T, file string) *published {
	p := &published{t: t, dir: t.TempDir()}
	p.programs, p.apis, p.front, p.replicaLinks = replicasWithRelays(t, file, true)
	return p
}

func (p *published) command(at int, args ...string) (string, error) {
	return command(p.t, append([]string{"config", "--at", p.apis[at]}, args...)...)
}

func (p *published) publish(at int, text string, flags ...string) (string, error) {
	file := filepath.Join(p.dir, fmt.Sprintf("%d.toml", time.Now().UnixNano()))
	require.NoError(p.t, os.WriteFile(file, []byte(text), 0o600))
	return p.command(at, append(append([]string{"publish"}, flags...), file)...)
}

// waitForLine waits until "config show" prints this line, with single spaces, and returns the
// output.
func (p *published) waitForLine(at int, line string) (out string) {
	p.t.Helper()
	eventually(p.t, func() bool {
		out, _ = p.command(at, "show")
		return strings.Contains(strings.Join(strings.Fields(out), " "), line)
	}, line)
	return out
}

// Guards against routers that acknowledge a version and serve the accounts of another one: after a
// rollback they went on with those of the version before it.
func TestAccountsAreThoseOfTheAcknowledgedVersion(t *testing.T) {
	t.Parallel()
	const fileKey, publishedKey, routers = "key-of-the-file", "key-published", 2
	account := func(name, key string) string {
		return fmt.Sprintf("[[account]]\nname = %q\nkey = %q\nquota_per_s = 1000\n", name, key)
	}
	f := newFollowersWith(t, routers, "", account("first", fileKey))
	check := func(version int, known, unknown string) {
		t.Helper()
		for i, router := range f.routers {
			f.waitForLine(0, fmt.Sprint(f.names[i], " ", version))
			a := &api{program: router}
			require.Equal(t, 200, a.post(embedPath, known, embedBody).status, "%s, version %d, %s", f.names[i], version, known)
			require.Equal(t, 401, a.post(embedPath, unknown, embedBody).status, "%s, version %d, %s", f.names[i], version, unknown)
		}
	}
	for i, step := range []struct {
		text           string
		rollback       string // to this version, in place of a text
		known, unknown string
	}{
		{text: "max_open = 50\n", known: fileKey, unknown: publishedKey},
		{text: account("second", publishedKey), known: publishedKey, unknown: fileKey},
		{rollback: "1", known: fileKey, unknown: publishedKey},
		{rollback: "2", known: publishedKey, unknown: fileKey},
	} {
		var out string
		var err error
		if step.rollback != "" {
			out, err = f.command(0, "rollback", step.rollback)
		} else {
			out, err = f.publish(0, step.text)
		}
		require.NoError(t, err, out)
		check(i+1, step.known, step.unknown)
	}
}

// A running router applies a published configuration as far as its keys allow, names the keys that
// take effect at its next start, keeps its configuration when a text is refused, and follows a
// rollback. A restart of all replicas loses nothing.
func TestPublishedConfigurationIsAppliedWhileRunning(t *testing.T) {
	t.Parallel()
	slow := newWorker(t, "m-a", "model", func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(300 * time.Millisecond)
		model(w, r)
	})
	p := newPublished(t, fmt.Sprintf("[[backend]]\nname = \"m-a\"\naddr = %q\n", slow.Listener.Addr()))
	p.front.waitReady()
	a := &api{program: p.front}
	require.Equal(t, 200, a.post(embedPath, "", embedBody).status)

	out, err := p.publish(1, "[embeddings]\naim = \"50ms\"\ndeadline = \"100ms\"\n", "--request", "first", "--expect", "0")
	require.NoError(t, err, out)
	require.Contains(t, out, "version 1")
	p.waitForLine(2, "r0 1")
	require.Contains(t, []int{503, 504}, a.post(embedPath, "", embedBody).status, "the deadline of 100 ms is in force without a restart")

	out, err = p.publish(2, "[embeddings]\naim = \"50ms\"\ndeadline = \"100ms\"\n", "--request", "first")
	require.NoError(t, err, out)
	require.Contains(t, out, "version 1", "a request repeated at another replica is published once")

	for text, want := range map[string]string{
		"[embeddings]\naim = \"0s\"\n":               "a class needs an aim",
		"max_opn = 3\n":                              "unknown key max_opn",
		"attempts = 0\n":                             "attempts must be 1 or more",
		"listen = \"127.0.0.1:1\"\n":                 "each router's own",
		"[embeddings]\naim = 3\n":                    "aim",
		"[[account]]\nname = \"a\"\nquota_per_s = 1": "needs a name and a key",
	} {
		out, err := p.publish(1, text)
		require.Error(t, err)
		require.Contains(t, out, want)
	}

	out, err = p.publish(0, "max_open = 64\nattempts = 2\n", "--expect", "1")
	require.NoError(t, err, out)
	out = p.waitForLine(1, "r0 2")
	require.Contains(t, out, "max_open", "keys that take effect at the next start are named")
	eventually(t, func() bool { return a.post(embedPath, "", embedBody).status == 200 }, "the deadline of the router's own file is in force again")
	out, err = p.publish(1, "attempts = 3\n", "--expect", "1")
	require.Error(t, err)
	require.Contains(t, out, "at 2, not 1")

	out, err = p.command(2, "rollback", "1")
	require.NoError(t, err, out)
	require.Contains(t, out, "version 3, the text of version 1")
	p.waitForLine(0, "r0 3")
	require.Contains(t, []int{503, 504}, a.post(embedPath, "", embedBody).status)
	out, err = p.command(1, "diff", "2", "3")
	require.NoError(t, err, out)
	require.Contains(t, out, "-max_open = 64")
	require.Contains(t, out, "+[embeddings]")
	out, err = p.command(1, "history")
	require.NoError(t, err, out)
	require.Contains(t, out, "version 1 again")
	out, err = p.command(1, "show", "9")
	require.Error(t, err)
	require.Contains(t, out, "9 of modelapi is not kept")

	// All programs are killed. The router must start with the version that it had acknowledged.
	for _, r := range p.programs {
		r.signal(syscall.SIGKILL)
		<-r.exit
	}
	for i, r := range p.programs {
		p.programs[i] = start(t, r.addr, nil, r.cmd.Args[1:]...)
	}
	p.front = p.programs[0].waitReady()
	a = &api{program: p.front}
	require.Contains(t, []int{503, 504}, a.post(embedPath, "", embedBody).status)
	p.waitForLine(2, "r0 3")
}

// Six routers with replicas and the model API. One of them can't apply a version that all others
// apply, since it contradicts its own file. The router fails to catch up, is shut out by way of a
// slot, reports that, and is readmitted after a version that it can apply.
func TestRouterThatCantApplyIsShutOut(t *testing.T) {
	t.Parallel()
	const n, rejecting = 6, 4
	backend := newWorker(t, "m-a", "model", nil)
	backend.serve = model
	var peers, members strings.Builder
	var apis, listens []string
	for i := range n {
		apis, listens = append(apis, ownAddr(t)), append(listens, ownAddr(t))
		fmt.Fprintf(&peers, "[[peer]]\nid = \"r%d\"\nraft = %q\napi = %q\n", i, ownAddr(t), apis[i])
		fmt.Fprintf(&members, "[[router]]\nname = \"r%d\"\naddr = %q\n", i, ownAddr(t))
	}
	trails := t.TempDir()
	var programs []*program
	var dirs []string
	for i := range n {
		dir := t.TempDir()
		write := func(name, text string) string {
			path := filepath.Join(dir, name)
			require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
			return path
		}
		api := fmt.Sprintf("listen = %q\n[[backend]]\nname = \"m-a\"\naddr = %q\n", listens[i], backend.Listener.Addr())
		if i == rejecting {
			api += "[embeddings]\naim = \"10s\"\n"
		}
		dirs = append(dirs, filepath.Join(trails, fmt.Sprintf("r%d", i)))
		programs = append(programs, start(t, listens[i], nil, "serve", "--modelapi", write("modelapi.toml", api),
			"--store", write("store.toml", fmt.Sprintf("id = \"r%d\"\ndata_dir = %q\n%s", i, filepath.Join(dir, "data"), peers.String())),
			"--fleet", write("fleet.toml", fmt.Sprintf("fleet = \"f\"\nself = \"r%d\"\ntrail = %q\n%s[straggler]\ngrace = \"1s\"\nmost_shut = 0.4\nsteady = \"200ms\"\n",
				i, trails, members.String()))))
	}
	for _, p := range programs {
		p.waitReady()
	}
	ask := func(i int) int { return (&api{program: programs[i]}).post(embedPath, "", embedBody).status }
	publish := func(at int, text string) {
		file := filepath.Join(t.TempDir(), "next.toml")
		require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
		out, err := command(t, "config", "--at", apis[at], "publish", file)
		require.NoError(t, err, out)
	}
	publish(1, "[embeddings]\ndeadline = \"5s\"\n") // shorter than that router's aim of 10 s
	eventually(t, func() bool { return programs[rejecting].logged("shut out: this router takes nothing new") }, "the router that can't apply it is shut out")
	eventually(t, func() bool { return programs[rejecting].status(http.MethodGet, "/healthz") == 503 }, "the router is not ready")
	require.Equal(t, 503, ask(rejecting))
	seen := len(backend.received(http.MethodPost))
	for range 5 {
		require.Equal(t, 503, ask(rejecting))
	}
	require.Len(t, backend.received(http.MethodPost), seen, "the backend receives none of these requests")
	for i := range programs {
		if i != rejecting {
			require.Equal(t, 200, ask(i), "the others serve")
			require.False(t, programs[i].logged("shut out"), "router %d", i)
		}
	}
	out, err := command(t, "config", "--at", apis[2], "show")
	require.NoError(t, err, out)
	require.Contains(t, out, "1: ", "the reason why it refuses version 1")
	// A router that is shut out can still lead the store.
	eventually(t, func() bool {
		leader, err := command(t, "store", "--at", apis[rejecting], "leader")
		if err == nil && strings.TrimSpace(leader) == fmt.Sprintf("r%d", rejecting) {
			return true
		}
		_, _ = command(t, "store", "--at", apis[0], "--at", apis[1], "--at", apis[2], "--at", apis[3], "--at", apis[4], "--at", apis[5], "leader", "--to", fmt.Sprintf("r%d", rejecting))
		return false
	}, "the router that is shut out leads")
	out, err = command(t, "store", "--at", apis[0], "leader", "--to", "nobody")
	require.Error(t, err)
	require.Contains(t, out, "no such replica")
	require.Equal(t, 503, ask(rejecting))
	publish(3, "[embeddings]\ndeadline = \"20s\"\n")
	eventually(t, func() bool { return programs[rejecting].logged("let in again") }, "the router is readmitted")
	eventually(t, func() bool { return ask(rejecting) == 200 }, "the router serves")
	eventually(t, func() bool {
		out, _ := command(t, "store", "--at", apis[0], "ls", "/shut")
		return strings.TrimSpace(out) == ""
	}, "its slot is released")
	for _, p := range programs {
		p.signal(syscall.SIGTERM)
	}
	for _, p := range programs {
		p.waitExit()
	}
	out, err = command(t, append([]string{"audit", "check"}, dirs...)...)
	require.NoError(t, err, out)
	out, err = command(t, append([]string{"audit", "who", "config/modelapi", "1"}, dirs...)...)
	require.NoError(t, err, out)
	require.Regexp(t, `r4 +- +- +\d+\.\d+ s: `, out, "refused by r4")
	out, err = command(t, append([]string{"audit", "timeline"}, dirs...)...)
	require.NoError(t, err, out)
	require.Contains(t, out, "shut out")
	require.Contains(t, out, "readmitted")
}

// Replicas that start with another data directory than before: an old copy at one replica (it
// serves nothing before it has caught up), an empty one (the same), that of another replica
// (refused, with both named), and old copies at all replicas. Only the event logs reveal the last
// case: the check finds the router that acts on an older version than it acknowledged.
func TestStartsWithAnotherDisk(t *testing.T) {
	t.Parallel()
	backend := newWorker(t, "m-a", "model", nil)
	backend.serve = model
	p := newPublished(t, fmt.Sprintf("[[backend]]\nname = \"m-a\"\naddr = %q\n", backend.Listener.Addr()))
	p.front.waitReady()
	trails, fleet := t.TempDir(), filepath.Join(p.dir, "fleet.toml")
	require.NoError(t, os.WriteFile(fleet, []byte(fmt.Sprintf("fleet = \"f\"\nself = \"r0\"\ntrail = %q\n[[router]]\nname = \"r0\"\naddr = %q\n", trails, ownAddr(t))), 0o600))
	var dirs []string
	for _, r := range p.programs {
		text, err := os.ReadFile(r.cmd.Args[slices.Index(r.cmd.Args, "--store")+1])
		require.NoError(t, err)
		_, rest, _ := strings.Cut(string(text), "data_dir = ")
		line, _, _ := strings.Cut(rest, "\n")
		dirs = append(dirs, strings.Trim(line, "\""))
	}
	kill := func(i int) {
		p.programs[i].signal(syscall.SIGKILL)
		<-p.programs[i].exit
	}
	restartProgram := func(i int) *program {
		args := p.programs[i].cmd.Args[1:]
		if i == 0 && !slices.Contains(args, "--fleet") {
			args = append(slices.Clone(args), "--fleet", fleet)
		}
		p.programs[i] = start(t, p.programs[i].addr, nil, args...)
		return p.programs[i]
	}
	replaceDir := func(from, to string) {
		require.NoError(t, os.RemoveAll(to))
		if from != "" {
			require.NoError(t, os.CopyFS(to, os.DirFS(from)))
		}
	}
	publish := func(n int) {
		out, err := p.publish(1, fmt.Sprintf("max_open = %d\n", 100+n), "--expect", fmt.Sprint(n-1))
		require.NoError(t, err, out)
		p.waitForLine(2, fmt.Sprintf("r0 %d", n))
	}
	restart := func() {
		for i := range dirs {
			kill(i)
		}
		for i := range dirs {
			restartProgram(i)
		}
		p.front = p.programs[0].waitReady()
	}
	restart() // now with an event log
	publish(1)
	oldCopies := t.TempDir()
	for i := range dirs {
		kill(i)
		replaceDir(dirs[i], filepath.Join(oldCopies, fmt.Sprint(i)))
	}
	for i := range dirs {
		restartProgram(i)
	}
	p.front = p.programs[0].waitReady()
	publish(2)

	for _, from := range []string{filepath.Join(oldCopies, "0"), ""} {
		kill(0)
		replaceDir(from, dirs[0])
		p.front = restartProgram(0).waitReady()
		require.Equal(t, 200, (&api{program: p.front}).post(embedPath, "", embedBody).status)
		p.waitForLine(1, "r0 2")
	}
	check := func() (string, error) { return command(t, "audit", "check", filepath.Join(trails, "r0")) }
	kill(0)
	out, _ := check()
	require.NotContains(t, out, "no router acts on a version older")

	replaceDir(filepath.Join(oldCopies, "1"), dirs[0])
	refused := restartProgram(0)
	require.Error(t, <-refused.exit)
	require.True(t, refused.logged("another replica's") && refused.logged(`\"r1\"`) && refused.logged(`\"r0\"`), "both replicas are named")

	kill(1)
	kill(2)
	for i := range dirs {
		replaceDir(filepath.Join(oldCopies, fmt.Sprint(i)), dirs[i])
		restartProgram(i)
	}
	p.front = p.programs[0].waitReady()
	require.Equal(t, 200, (&api{program: p.front}).post(embedPath, "", embedBody).status)
	p.front.signal(syscall.SIGTERM)
	p.front.waitExit()
	out, err := check()
	require.Error(t, err)
	require.Contains(t, out, "under config/modelapi 1, 2 was acknowledged before its start")
}
