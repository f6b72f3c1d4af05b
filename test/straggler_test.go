package test

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lichenshelf/fleet/audit"
	"lichenshelf/fleet/trail"
)

// followers are routers of one fleet without a replica, beside a store of three.
type followers struct {
	*published
	routers []*program
	names   []string
	trails  string
}

// newFollowers starts n of them before a backend; straggling is the end of their fleet's file.
func newFollowers(t *testing.T, n int, straggling string) *followers {
	backend := newWorker(t, "m-a", "model", nil)
	backend.serve = model
	api := fmt.Sprintf("[[backend]]\nname = \"m-a\"\naddr = %q\n", backend.Listener.Addr())
	f := &followers{published: newPublished(t, api), trails: t.TempDir()}
	f.front.waitReady()
	var members strings.Builder
	for i := range n {
		f.names = append(f.names, fmt.Sprintf("f%d", i))
		fmt.Fprintf(&members, "[[router]]\nname = %q\naddr = %q\n", f.names[i], ownAddr(t))
	}
	for i := range n {
		dir, listen := t.TempDir(), ownAddr(t)
		write := func(name, text string) string {
			path := filepath.Join(dir, name)
			require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
			return path
		}
		f.routers = append(f.routers, start(t, listen, nil, "serve",
			"--modelapi", write("modelapi.toml", fmt.Sprintf("listen = %q\n%s", listen, api)),
			"--store", write("store.toml", fmt.Sprintf("follow = [%q, %q, %q]\nname = %q\n", f.apis[0], f.apis[1], f.apis[2], f.names[i])),
			"--fleet", write("fleet.toml", fmt.Sprintf("fleet = \"f\"\nself = %q\nperiod = \"100ms\"\ntrail = %q\n%s%s", f.names[i], f.trails, members.String(), straggling))))
	}
	for _, p := range f.routers {
		p.waitReady()
	}
	return f
}

func (f *followers) ask(i int) int {
	return (&api{program: f.routers[i]}).post(embedPath, "", embedBody).status
}

// end stops a router and reads its trail.
func (f *followers) end(i int) audit.Trail {
	f.routers[i].signal(syscall.SIGTERM)
	f.routers[i].waitExit()
	t, err := trail.Read(filepath.Join(f.trails, f.names[i]))
	require.NoError(f.t, err)
	return t
}

// Routers without a replica take what is published, acknowledge it, and go on with it while two of three replicas are gone.
func TestRoutersWithoutAReplicaFollowTheStore(t *testing.T) {
	t.Parallel()
	f := newFollowers(t, 2, "")
	out, err := f.publish(1, "max_open = 64\nattempts = 2\n")
	require.NoError(t, err, out)
	for _, name := range f.names {
		require.Contains(t, f.shown(2, name+" 1"), "max_open", "what waits for the next start is named")
	}
	for _, p := range f.programs[:2] {
		p.signal(syscall.SIGKILL)
		<-p.exit
	}
	for i := range f.routers {
		require.Equal(t, 200, f.ask(i), "what was acknowledged serves on")
	}
	for i, p := range f.programs[:2] {
		f.programs[i] = start(t, p.addr, nil, p.cmd.Args[1:]...)
	}
	f.programs[0].waitReady()
	out, err = f.publish(2, "attempts = 3\n", "--expect", "1")
	require.NoError(t, err, out)
	f.shown(1, "f0 2")
	f.shown(1, "f1 2")
	for i := range f.routers {
		acked := uint64(0)
		for _, e := range f.end(i).Entries {
			if e.Kind == audit.Acknowledged {
				require.Greater(t, e.Version, acked)
				acked = e.Version
			}
		}
		require.EqualValues(t, 2, acked)
	}
}

// underTheOld counts what a router sent after a time of the wall under a number from before it took a version.
func underTheOld(t audit.Trail, after time.Time, version uint64) (old, all uint64) {
	began, number := time.Time{}, uint64(0)
	for _, e := range t.Entries {
		switch {
		case e.Kind == audit.Started:
			began = time.UnixMilli(e.Wall)
		case e.Kind == audit.Taken && e.Part == "config/modelapi" && e.Version >= version && number == 0:
			number = e.Number
		}
	}
	for _, e := range t.Entries {
		if e.Kind == audit.Sent && began.Add(e.At).After(after) {
			all += e.Count
			if number == 0 || e.Number < number {
				old += e.Count
			}
		}
	}
	return old, all
}

// A router is stopped for longer than its fence lasts, a version is published meanwhile, and clients' requests wait in its
// sockets when it goes on. None of them goes out under what is over. Without a fence they do, and the check finds it.
func TestRouterThatWasStoppedSendsNothingUnderWhatIsOver(t *testing.T) {
	t.Parallel()
	for _, fenced := range []bool{true, false} {
		t.Run(fmt.Sprint("fenced ", fenced), func(t *testing.T) {
			t.Parallel()
			straggling := ""
			if fenced {
				straggling = "[straggler]\ngrace = \"500ms\"\nmost_shut = 0.5\nsteady = \"200ms\"\n"
			}
			f := newFollowers(t, 2, straggling)
			require.Equal(t, 200, f.ask(0))
			require.Equal(t, 200, f.ask(1))
			f.routers[0].signal(syscall.SIGSTOP)
			stopped := time.Now()
			out, err := f.publish(1, "attempts = 2\n")
			require.NoError(t, err, out)
			f.shown(2, "f1 1")
			var wait sync.WaitGroup
			codes := make(chan int, 8)
			for range cap(codes) {
				wait.Go(func() { codes <- f.ask(0) })
			}
			// What is played is the length of the stop: past the grace and the two seconds that a turn of looks may take.
			time.Sleep(time.Until(stopped.Add(4 * time.Second)))
			if !fenced { // nor can it hear of anything in time then
				for _, p := range f.programs {
					p.signal(syscall.SIGSTOP)
				}
			}
			went := time.Now()
			f.routers[0].signal(syscall.SIGCONT)
			wait.Wait()
			close(codes)
			if !fenced {
				for _, p := range f.programs {
					p.signal(syscall.SIGCONT)
				}
			}
			for code := range codes {
				require.Contains(t, []int{200, 503}, code, "each has one answer")
			}
			f.shown(2, "f0 1")
			eventually(t, func() bool { return f.ask(0) == 200 }, "it serves again")
			require.Equal(t, http.StatusOK, f.routers[0].status(http.MethodGet, "/healthz"))
			old, all := underTheOld(f.end(0), went, 1)
			require.Positive(t, all)
			if fenced {
				require.Zero(t, old, "of %d sends", all)
			} else {
				require.Positive(t, old, "the check finds what went out under the old version")
			}
		})
	}
}
