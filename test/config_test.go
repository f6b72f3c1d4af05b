package test

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// published are three programs with replicas, the first with the model API, and the command at another of them.
type published struct {
	t        *testing.T
	programs []*program
	apis     []string
	front    *program
	dir      string
}

func newPublished(t *testing.T, file string) *published {
	p := &published{t: t, dir: t.TempDir()}
	p.programs, p.apis, p.front = replicas(t, file)
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

// shown waits until the command shows that a router goes by a version.
func (p *published) shown(at int, line string) (out string) {
	p.t.Helper()
	eventually(p.t, func() bool {
		out, _ = p.command(at, "show")
		return strings.Contains(strings.Join(strings.Fields(out), " "), line)
	}, line)
	return out
}

// A running router takes what is published where its keys allow it, says which keys wait for its next start, keeps what it
// has where a text is refused, and goes back by a rollback. Nothing is lost by a restart of all.
func TestPublishedConfigurationIsTakenWhileRunning(t *testing.T) {
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
	p.shown(2, "r0 1")
	require.Contains(t, []int{503, 504}, a.post(embedPath, "", embedBody).status, "100 ms are too short, without a restart")

	out, err = p.publish(2, "[embeddings]\naim = \"50ms\"\ndeadline = \"100ms\"\n", "--request", "first")
	require.NoError(t, err, out)
	require.Contains(t, out, "version 1", "repeated at another replica it counts once")

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
	out = p.shown(1, "r0 2")
	require.Contains(t, out, "max_open", "what waits for the next start is named")
	eventually(t, func() bool { return a.post(embedPath, "", embedBody).status == 200 }, "the deadline is the file's again")
	out, err = p.publish(1, "attempts = 3\n", "--expect", "1")
	require.Error(t, err)
	require.Contains(t, out, "at 2, not 1")

	out, err = p.command(2, "rollback", "1")
	require.NoError(t, err, out)
	require.Contains(t, out, "version 3, the text of version 1")
	p.shown(0, "r0 3")
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

	// All are killed; the router starts with the version that it had acknowledged, or not at all.
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
	p.shown(2, "r0 3")
}
