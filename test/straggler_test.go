package test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"lichenshelf/fleet/audit"
	"lichenshelf/fleet/eventlog"
	relay "lichenshelf/internal/standin/link"
	"lichenshelf/lab/history"
	"lichenshelf/store"
)

// followers are routers of one fleet without a replica, beside a store of three.
type followers struct {
	*published
	routers []*program
	names   []string
	trails  string
	links   []*relay.Relay   // from the routers to the replicas
	own     [][]*relay.Relay // of each router alone, before those
}

// newFollowers starts n of them before a backend; straggling is the end of their fleet's file.
func newFollowers(t *testing.T, n int, straggling string) *followers {
	backend := newWorker(t, "m-a", "model", nil)
	backend.serve = model
	api := fmt.Sprintf("[[backend]]\nname = \"m-a\"\naddr = %q\n", backend.Listener.Addr())
	f := &followers{published: newPublished(t, api), trails: t.TempDir()}
	f.front.waitReady()
	between := func(addr string) *relay.Relay {
		link, err := relay.New(addr)
		require.NoError(t, err)
		t.Cleanup(link.Close)
		return link
	}
	for _, addr := range f.apis {
		f.links = append(f.links, between(addr))
	}
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
		var own []*relay.Relay
		var follow []string
		for _, link := range f.links {
			own = append(own, between(link.Addr()))
			follow = append(follow, strconv.Quote(own[len(own)-1].Addr()))
		}
		f.own = append(f.own, own)
		f.routers = append(f.routers, start(t, listen, nil, "serve",
			"--modelapi", write("modelapi.toml", fmt.Sprintf("listen = %q\n%s", listen, api)),
			"--store", write("store.toml", fmt.Sprintf("follow = [%s]\nname = %q\n", strings.Join(follow, ", "), f.names[i])),
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
	t, err := eventlog.Read(filepath.Join(f.trails, f.names[i]))
	require.NoError(f.t, err)
	return t
}

// Routers without a replica take what is published, acknowledge it, and go on with it while two of three replicas are gone.
func TestRoutersWithoutAReplicaFollowTheStore(t *testing.T) {
	t.Parallel()
	f := newFollowers(t, 5, "")
	out, err := f.publish(1, "max_open = 64\nattempts = 2\n")
	require.NoError(t, err, out)
	published := time.Now()
	for _, name := range f.names {
		require.Contains(t, f.shown(2, name+" 1"), "max_open", "what waits for the next start is named")
	}
	t.Logf("%v from the publish to the last of %d acknowledgements, as the command shows it", time.Since(published), len(f.names))
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
	// Cut off while the store goes back to version 1, they serve on with 2, and take 3 once they hear of it.
	for _, link := range f.links {
		link.Set(relay.Fault{Refuse: true, Drop: [2]bool{true, true}})
		link.Cut()
	}
	out, err = f.command(1, "rollback", "1")
	require.NoError(t, err, out)
	for i := range f.routers {
		require.Equal(t, 200, f.ask(i))
	}
	for _, link := range f.links {
		link.Set(relay.Fault{})
	}
	for _, name := range f.names {
		f.shown(2, name+" 3")
	}
	for i := range f.routers {
		acked := uint64(0)
		for _, e := range f.end(i).Entries {
			if e.Kind == audit.Acknowledged {
				require.Greater(t, e.Version, acked)
				acked = e.Version
			}
		}
		require.EqualValues(t, 3, acked)
	}
}

// A router that can ask no replica goes over to what is published all the same: another router gives it the text, which has to be
// the one that the store gave to others. It serves all the time, and acknowledges once it can.
func TestARouterThatCanAskNoReplicaIsBroughtUpByAnother(t *testing.T) {
	t.Parallel()
	f := newFollowers(t, 4, "[straggler]\ngrace = \"8s\"\nmost_shut = 0.5\nsteady = \"200ms\"\n")
	out, err := f.publish(1, "attempts = 2\n")
	require.NoError(t, err, out)
	for _, name := range f.names {
		f.shown(1, name+" 1")
	}
	for _, link := range f.own[0] {
		link.Set(relay.Fault{Refuse: true, Drop: [2]bool{true, true}})
		link.Cut()
	}
	out, err = f.publish(1, "attempts = 3\n")
	require.NoError(t, err, out)
	for _, name := range f.names[1:] {
		f.shown(1, name+" 2")
	}
	took := func(t audit.Trail) bool {
		return slices.ContainsFunc(t.Entries, func(e audit.Entry) bool {
			return e.Kind == audit.Taken && e.Part == "config/modelapi" && e.Version == 2
		})
	}
	eventually(t, func() bool {
		require.Equal(t, 200, f.ask(0))
		live, err := eventlog.Read(filepath.Join(f.trails, f.names[0]))
		return err == nil && took(live)
	}, "it goes by version 2")
	out, err = f.command(1, "show")
	require.NoError(t, err, out)
	require.Regexp(t, `f0 +1 `, out, "it could not tell the store yet")
	for _, link := range f.own[0] {
		link.Set(relay.Fault{})
	}
	f.shown(1, "f0 2")
	for _, e := range f.end(0).Entries {
		require.NotEqual(t, audit.ShutOut, e.Kind, e.Text)
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
		// Sends are summed up for a moment, over which the process may have been stopped: the last of them counts.
		if e.Kind == audit.Sent && began.Add(e.Until).After(after) {
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
				eventually(t, func() bool { return f.ask(0) == 200 }, "it serves while nobody can tell it better")
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

// ledger is what publishers, readers and routers said of one configuration.
type ledger struct {
	t        *testing.T
	h        *history.History
	mu       sync.Mutex
	texts    map[uint64]string // by version
	versions map[string]uint64
	acks     map[string]uint64 // by router
	reads    int
	faults   []string
}

func (l *ledger) fault(format string, args ...any) {
	l.faults = append(l.faults, fmt.Sprintf(format, args...))
}

// saw notes a version and its text: each has one of the other, whoever says it and whenever.
func (l *ledger) saw(version uint64, text string) {
	if was, ok := l.texts[version]; ok && was != text {
		l.fault("version %d is %q and %q", version, was, text)
	}
	if was, ok := l.versions[text]; ok && was != version {
		l.fault("%q is version %d and %d: taken twice", text, was, version)
	}
	l.texts[version], l.versions[text] = text, version
}

const ledgerName = "config"

// publish publishes a text of its own under one request's name, over and over until its outcome is known.
func (l *ledger) publish(ctx context.Context, client int, c *store.Client, n int64) {
	text := fmt.Sprintf("max_open = %d\n", 10+n)
	called := l.h.Now()
	for {
		r, err := c.Publish("modelapi", []byte(text), fmt.Sprintf("request-%d", n), "soak", nil, 0)
		if err == nil {
			l.h.Wrote(client, ledgerName, text, called, true)
			l.mu.Lock()
			l.saw(r.Version, text)
			l.mu.Unlock()
			return
		}
		if ctx.Err() != nil {
			l.h.Wrote(client, ledgerName, text, called, false)
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (l *ledger) read(client int, c *store.Client) {
	called := l.h.Now()
	list, err := c.Published("modelapi")
	if err != nil {
		return
	}
	value := "0"
	if len(list) > 0 {
		value = list[len(list)-1].Text
	}
	l.h.Read(client, ledgerName, value, called)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads++
	for _, r := range list {
		l.saw(r.Version, r.Text)
	}
}

// ack reads what a router has acknowledged, which never goes back.
func (l *ledger) ack(c *store.Client, router string) {
	n, err := c.Node("/acks/modelapi/" + router)
	var a struct{ Version uint64 }
	if err != nil || json.Unmarshal([]byte(n.Data), &a) != nil {
		return
	}
	l.acked(router, a.Version)
}

func (l *ledger) acked(router string, version uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if version < l.acks[router] {
		l.fault("%s acknowledges %d after %d", router, version, l.acks[router])
	}
	l.acks[router] = version
}

// Publishers, readers and routers without a replica beside replicas that are killed and stopped, a majority among them, and
// links that are cut or late by up to 3 s. What is published is linearizable, nothing acknowledged is lost or taken twice, no router
// goes below what it acknowledged, and each ends at the newest. Five harms without -soak; with it, for as long as it says.
func TestPublishingUnderHarm(t *testing.T) {
	t.Parallel()
	seed, harms := uint64(1), 5
	end := time.Now().Add(4 * patience)
	if *soakFor > 0 {
		seed, harms, end = uint64(time.Now().UnixNano()), 1<<30, time.Now().Add(*soakFor)
	}
	t.Logf("seed %d", seed)
	f := newFollowers(t, 2, "[straggler]\ngrace = \"2s\"\nmost_shut = 0.5\nsteady = \"200ms\"\n")
	l := &ledger{t: t, h: history.New(), texts: map[uint64]string{}, versions: map[string]uint64{}, acks: map[string]uint64{}}
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	var all sync.WaitGroup
	var next, answers, odd atomic.Int64
	for id := range 4 {
		rng := rand.New(rand.NewPCG(seed, uint64(id)))
		c := store.NewClient(f.apis[id%3], f.apis[(id+1)%3], f.apis[(id+2)%3])
		all.Go(func() {
			for ctx.Err() == nil {
				switch {
				case id < 2:
					l.publish(ctx, id, c, next.Add(1))
				case rng.IntN(2) == 0:
					l.read(id, c)
				default:
					l.ack(c, f.names[rng.IntN(len(f.names))])
				}
				time.Sleep(time.Duration(rng.IntN(400)) * time.Millisecond)
			}
		})
	}
	for i := range f.routers {
		a := &api{program: f.routers[i]} // its address stays, whichever process has it
		all.Go(func() {
			for ctx.Err() == nil {
				switch a.post(embedPath, "", embedBody).status {
				case 200, 503:
					answers.Add(1)
				default: // killed or stopped
					odd.Add(1)
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	rng := rand.New(rand.NewPCG(seed, 99))
	programs := append(append([]*program{}, f.programs...), f.routers...)
	did := map[string]int{}
	for ; harms > 0 && time.Now().Before(end); harms-- {
		some := func(n int) (who []int) {
			for i := range n {
				if rng.IntN(2) == 0 {
					who = append(who, i)
				}
			}
			return who
		}
		wait := func(most time.Duration) { time.Sleep(time.Duration(rng.Int64N(int64(most)))) }
		switch rng.IntN(3) {
		case 0:
			who := some(len(programs))
			did[fmt.Sprint(len(who), " stopped")]++
			for _, i := range who {
				programs[i].signal(syscall.SIGSTOP)
			}
			wait(5 * time.Second)
			for _, i := range who {
				programs[i].signal(syscall.SIGCONT)
			}
		case 1:
			who := some(len(programs))
			did[fmt.Sprint(len(who), " killed")]++
			for _, i := range who {
				programs[i].signal(syscall.SIGKILL)
				<-programs[i].exit
			}
			for _, i := range who {
				programs[i] = start(t, programs[i].addr, nil, programs[i].cmd.Args[1:]...)
			}
		default:
			links := append(append([]*relay.Relay{}, f.links...), f.between...)
			who := some(len(links))
			did[fmt.Sprint(len(who), " links")]++
			for _, i := range who {
				links[i].Set([]relay.Fault{{Refuse: true, Drop: [2]bool{true, true}}, {Drop: [2]bool{false, true}}, {Delay: 3 * time.Second}}[rng.IntN(3)])
				links[i].Cut()
			}
			wait(5 * time.Second)
			for _, i := range who {
				links[i].Set(relay.Fault{})
				links[i].Cut()
			}
		}
		wait(time.Second)
	}
	copy(f.programs, programs)
	copy(f.routers, programs[len(f.programs):])
	stop()
	all.Wait()
	c := store.NewClient(f.apis...)
	eventually(t, func() bool {
		list, err := c.Published("modelapi")
		if err != nil {
			return false
		}
		for _, name := range f.names {
			l.ack(c, name)
			if l.acks[name] != list[len(list)-1].Version {
				return false
			}
		}
		return true
	}, "each router ends at the newest")
	result, n := l.h.Check(5 * time.Minute)
	t.Logf("%d operations, %d versions, %d reads; clients had %d answers, %d times none; harms %v; %s", n, len(l.texts), l.reads, answers.Load(), odd.Load(), did, result)
	require.Equal(t, porcupine.Ok, result)
	require.Empty(t, l.faults)
	var trails []audit.Trail
	for i := range f.routers {
		trails = append(trails, f.end(i))
	}
	for _, b := range audit.Check(trails) {
		require.Equal(t, audit.RuleDamaged, b.Rule, "a killed router's last record may be torn, and nothing else: %s", b)
	}
}

// The ledger finds a version that changes its text, a text that is taken twice and an acknowledgement that goes back.
func TestTheLedgerFindsFaults(t *testing.T) {
	l := &ledger{texts: map[uint64]string{}, versions: map[string]uint64{}, acks: map[string]uint64{}}
	l.acked("r", 2)
	l.acked("r", 2)
	l.saw(1, "a")
	l.saw(1, "a")
	require.Empty(t, l.faults)
	l.saw(1, "b")
	l.saw(2, "a")
	l.acked("r", 1)
	require.Len(t, l.faults, 3)
}
