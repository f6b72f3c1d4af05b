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

// followers are routers of one fleet without a replica, which follow a store of three replicas.
type followers struct {
	*published
	routers     []*program
	names       []string
	trails      string
	links       []*relay.Relay   // one per replica, shared by all routers
	routerLinks [][]*relay.Relay // by router, its own relays to links
}

// newFollowers starts n routers with one backend; fleetSettings is appended to their fleet files.
func newFollowers(t *testing.T, n int, fleetSettings string) *followers {
	return newFollowersWith(t, n, fleetSettings, "")
}

// newFollowersWith is newFollowers with modelSettings at the end of the routers' model API files.
func newFollowersWith(t *testing.T, n int, fleetSettings, modelSettings string) *followers {
	backend := newWorker(t, "m-a", "model", nil)
	backend.serve = model
	api := fmt.Sprintf("[[backend]]\nname = \"m-a\"\naddr = %q\n", backend.Listener.Addr())
	f := &followers{published: newPublished(t, api), trails: t.TempDir()}
	f.front.waitReady()
	newRelay := func(addr string) *relay.Relay {
		link, err := relay.New(addr)
		require.NoError(t, err)
		t.Cleanup(link.Close)
		return link
	}
	for _, addr := range f.apis {
		f.links = append(f.links, newRelay(addr))
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
		var relays []*relay.Relay
		var follow []string
		for _, link := range f.links {
			relays = append(relays, newRelay(link.Addr()))
			follow = append(follow, strconv.Quote(relays[len(relays)-1].Addr()))
		}
		f.routerLinks = append(f.routerLinks, relays)
		f.routers = append(f.routers, start(t, listen, nil, "serve",
			"--modelapi", write("modelapi.toml", fmt.Sprintf("listen = %q\n%s%s", listen, api, modelSettings)),
			"--store", write("store.toml", fmt.Sprintf("follow = [%s]\nname = %q\n", strings.Join(follow, ", "), f.names[i])),
			"--fleet", write("fleet.toml", fmt.Sprintf("fleet = \"f\"\nself = %q\nperiod = \"100ms\"\ntrail = %q\n%s%s", f.names[i], f.trails, members.String(), fleetSettings))))
	}
	for _, p := range f.routers {
		p.waitReady()
	}
	return f
}

func (f *followers) ask(i int) int {
	return (&api{program: f.routers[i]}).post(embedPath, "", embedBody).status
}

// stopAndReadTrail stops a router and reads its event log.
func (f *followers) stopAndReadTrail(i int) audit.Trail {
	f.routers[i].signal(syscall.SIGTERM)
	f.routers[i].waitExit()
	t, err := eventlog.Read(filepath.Join(f.trails, f.names[i]))
	require.NoError(f.t, err)
	return t
}

// Routers without a replica apply what is published, acknowledge it, and keep serving by it while
// two of three replicas are down.
func TestRoutersWithoutAReplicaFollowTheStore(t *testing.T) {
	t.Parallel()
	f := newFollowers(t, 5, "")
	out, err := f.publish(1, "max_open = 64\nattempts = 2\n")
	require.NoError(t, err, out)
	published := time.Now()
	for _, name := range f.names {
		require.Contains(t, f.waitForLine(2, name+" 1"), "max_open", "keys that take effect at the next start are named")
	}
	t.Logf("%v from publishing until the command showed the last of %d acknowledgements", time.Since(published), len(f.names))
	for _, p := range f.programs[:2] {
		p.signal(syscall.SIGKILL)
		<-p.exit
	}
	for i := range f.routers {
		require.Equal(t, 200, f.ask(i), "the acknowledged version stays in use")
	}
	for i, p := range f.programs[:2] {
		f.programs[i] = start(t, p.addr, nil, p.cmd.Args[1:]...)
	}
	f.programs[0].waitReady()
	out, err = f.publish(2, "attempts = 3\n", "--expect", "1")
	require.NoError(t, err, out)
	f.waitForLine(1, "f0 2")
	f.waitForLine(1, "f1 2")
	// Disconnected while the store rolls back to the text of version 1, they keep serving with
	// version 2, and apply version 3 once they are connected again.
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
		f.waitForLine(2, name+" 3")
	}
	for i := range f.routers {
		acked := uint64(0)
		for _, e := range f.stopAndReadTrail(i).Entries {
			if e.Kind == audit.Acknowledged {
				require.Greater(t, e.Version, acked)
				acked = e.Version
			}
		}
		require.EqualValues(t, 3, acked)
	}
}

// A router that reaches no replica still applies what is published: a peer sends it the text, which
// must be the one that the store gave to other routers. It serves all the time, and acknowledges
// once it reaches the store.
func TestRouterThatReachesNoReplicaIsUpdatedByAPeer(t *testing.T) {
	t.Parallel()
	f := newFollowers(t, 4, "[straggler]\ngrace = \"8s\"\nmost_shut = 0.5\nsteady = \"200ms\"\n")
	out, err := f.publish(1, "attempts = 2\n")
	require.NoError(t, err, out)
	for _, name := range f.names {
		f.waitForLine(1, name+" 1")
	}
	for _, link := range f.routerLinks[0] {
		link.Set(relay.Fault{Refuse: true, Drop: [2]bool{true, true}})
		link.Cut()
	}
	out, err = f.publish(1, "attempts = 3\n")
	require.NoError(t, err, out)
	for _, name := range f.names[1:] {
		f.waitForLine(1, name+" 2")
	}
	applied := func(t audit.Trail) bool {
		return slices.ContainsFunc(t.Entries, func(e audit.Entry) bool {
			return e.Kind == audit.Taken && e.Part == "config/modelapi" && e.Version == 2
		})
	}
	eventually(t, func() bool {
		require.Equal(t, 200, f.ask(0))
		live, err := eventlog.Read(filepath.Join(f.trails, f.names[0]))
		return err == nil && applied(live)
	}, "f0 applies version 2")
	out, err = f.command(1, "show")
	require.NoError(t, err, out)
	require.Regexp(t, `f0 +1 `, out, "f0 could not acknowledge to the store yet")
	for _, link := range f.routerLinks[0] {
		link.Set(relay.Fault{})
	}
	f.waitForLine(1, "f0 2")
	for _, e := range f.stopAndReadTrail(0).Entries {
		require.NotEqual(t, audit.ShutOut, e.Kind, e.Text)
	}
}

// sendsUnderOldVersion counts the attempts that a router sent after a wall-clock time: all of them,
// and those under a configuration number from before it applied the version.
func sendsUnderOldVersion(t audit.Trail, after time.Time, version uint64) (old, all uint64) {
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
		// A record sums up the sends of a short span, in which the process may have been stopped:
		// the time of the last send decides.
		if e.Kind == audit.Sent && began.Add(e.Until).After(after) {
			all += e.Count
			if number == 0 || e.Number < number {
				old += e.Count
			}
		}
	}
	return old, all
}

// A router is stopped for longer than its fence lasts, a version is published meanwhile, and
// clients' requests wait in its sockets when it continues. With a fence none of them is sent under
// the old version. Without a fence some are, and sendsUnderOldVersion has to find them.
func TestStoppedRouterSendsNothingUnderAnOldVersion(t *testing.T) {
	t.Parallel()
	for _, fenced := range []bool{true, false} {
		t.Run(fmt.Sprint("fenced ", fenced), func(t *testing.T) {
			t.Parallel()
			fleetSettings := ""
			if fenced {
				fleetSettings = "[straggler]\ngrace = \"500ms\"\nmost_shut = 0.5\nsteady = \"200ms\"\n"
			}
			f := newFollowers(t, 2, fleetSettings)
			require.Equal(t, 200, f.ask(0))
			require.Equal(t, 200, f.ask(1))
			f.routers[0].signal(syscall.SIGSTOP)
			stopped := time.Now()
			out, err := f.publish(1, "attempts = 2\n")
			require.NoError(t, err, out)
			f.waitForLine(2, "f1 1")
			var wait sync.WaitGroup
			codes := make(chan int, 8)
			for range cap(codes) {
				wait.Go(func() { codes <- f.ask(0) })
			}
			// The stop has to outlast the grace period and the 2 s that a round of checks may take.
			time.Sleep(time.Until(stopped.Add(4 * time.Second)))
			if !fenced { // without the replicas it can't learn of the new version in time
				for _, p := range f.programs {
					p.signal(syscall.SIGSTOP)
				}
			}
			resumedAt := time.Now()
			f.routers[0].signal(syscall.SIGCONT)
			wait.Wait()
			close(codes)
			if !fenced {
				eventually(t, func() bool { return f.ask(0) == 200 }, "f0 serves by the old version while no replica answers")
				for _, p := range f.programs {
					p.signal(syscall.SIGCONT)
				}
			}
			for code := range codes {
				require.Contains(t, []int{200, 503}, code, "each request has one answer")
			}
			f.waitForLine(2, "f0 1")
			eventually(t, func() bool { return f.ask(0) == 200 }, "f0 serves again")
			require.Equal(t, http.StatusOK, f.routers[0].status(http.MethodGet, "/healthz"))
			old, all := sendsUnderOldVersion(f.stopAndReadTrail(0), resumedAt, 1)
			require.Positive(t, all)
			if fenced {
				require.Zero(t, old, "of %d sends", all)
			} else {
				require.Positive(t, old, "sends under the old version are found")
			}
		})
	}
}

// ledger collects what publishers, readers and routers reported of one configuration.
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

func (l *ledger) addFault(format string, args ...any) {
	l.faults = append(l.faults, fmt.Sprintf(format, args...))
}

// recordVersion records a version and its text. Each version must have one text and each text one
// version, whoever reports them and whenever.
func (l *ledger) recordVersion(version uint64, text string) {
	if was, ok := l.texts[version]; ok && was != text {
		l.addFault("version %d is %q and %q", version, was, text)
	}
	if was, ok := l.versions[text]; ok && was != version {
		l.addFault("%q is version %d and %d: taken twice", text, was, version)
	}
	l.texts[version], l.versions[text] = text, version
}

const ledgerName = "config"

// publish publishes a unique text under one request id, and repeats the call until its outcome is
// known.
func (l *ledger) publish(ctx context.Context, client int, c *store.Client, n int64) {
	text := fmt.Sprintf("max_open = %d\n", 10+n)
	called := l.h.Now()
	for {
		r, err := c.Publish("modelapi", []byte(text), fmt.Sprintf("request-%d", n), "soak", nil, 0)
		if err == nil {
			l.h.Wrote(client, ledgerName, text, called, true)
			l.mu.Lock()
			l.recordVersion(r.Version, text)
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
		l.recordVersion(r.Version, r.Text)
	}
}

// readAck reads the version that a router has acknowledged, which must never decrease.
func (l *ledger) readAck(c *store.Client, router string) {
	n, err := c.Node("/acks/modelapi/" + router)
	var a struct{ Version uint64 }
	if err != nil || json.Unmarshal([]byte(n.Data), &a) != nil {
		return
	}
	l.recordAck(router, a.Version)
}

func (l *ledger) recordAck(router string, version uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if version < l.acks[router] {
		l.addFault("%s acknowledges %d after %d", router, version, l.acks[router])
	}
	l.acks[router] = version
}

// Publishers, readers and routers without a replica run while replicas and routers are killed and
// stopped, a majority of the replicas among them, and links are cut or delayed by 3 s. What is
// published must be linearizable, nothing acknowledged may be lost or applied twice, no router may
// go below the version it acknowledged, and each must end at the newest. The test injects five
// faults without -soak; with -soak it goes on for the given time.
func TestPublishingUnderFaults(t *testing.T) {
	t.Parallel()
	seed, faultsLeft := uint64(1), 5
	end := time.Now().Add(4 * patience)
	if *soakFor > 0 {
		seed, faultsLeft, end = uint64(time.Now().UnixNano()), 1<<30, time.Now().Add(*soakFor)
	}
	t.Logf("seed %d", seed)
	f := newFollowers(t, 2, "[straggler]\ngrace = \"2s\"\nmost_shut = 0.5\nsteady = \"200ms\"\n")
	l := &ledger{t: t, h: history.New(), texts: map[uint64]string{}, versions: map[string]uint64{}, acks: map[string]uint64{}}
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	var all sync.WaitGroup
	var next, answers, unanswered atomic.Int64
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
					l.readAck(c, f.names[rng.IntN(len(f.names))])
				}
				time.Sleep(time.Duration(rng.IntN(400)) * time.Millisecond)
			}
		})
	}
	for i := range f.routers {
		// The address is the same for each process that is started there.
		a := &api{program: f.routers[i]}
		all.Go(func() {
			for ctx.Err() == nil {
				switch a.post(embedPath, "", embedBody).status {
				case 200, 503:
					answers.Add(1)
				default: // killed or stopped
					unanswered.Add(1)
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	rng := rand.New(rand.NewPCG(seed, 99))
	programs := append(append([]*program{}, f.programs...), f.routers...)
	injected := map[string]int{}
	for ; faultsLeft > 0 && time.Now().Before(end); faultsLeft-- {
		pickSome := func(n int) (picked []int) {
			for i := range n {
				if rng.IntN(2) == 0 {
					picked = append(picked, i)
				}
			}
			return picked
		}
		wait := func(maxWait time.Duration) { time.Sleep(time.Duration(rng.Int64N(int64(maxWait)))) }
		switch rng.IntN(3) {
		case 0:
			picked := pickSome(len(programs))
			injected[fmt.Sprint(len(picked), " stopped")]++
			for _, i := range picked {
				programs[i].signal(syscall.SIGSTOP)
			}
			wait(5 * time.Second)
			for _, i := range picked {
				programs[i].signal(syscall.SIGCONT)
			}
		case 1:
			picked := pickSome(len(programs))
			injected[fmt.Sprint(len(picked), " killed")]++
			for _, i := range picked {
				programs[i].signal(syscall.SIGKILL)
				<-programs[i].exit
			}
			for _, i := range picked {
				programs[i] = start(t, programs[i].addr, nil, programs[i].cmd.Args[1:]...)
			}
		default:
			links := append(append([]*relay.Relay{}, f.links...), f.replicaLinks...)
			picked := pickSome(len(links))
			injected[fmt.Sprint(len(picked), " links")]++
			for _, i := range picked {
				links[i].Set([]relay.Fault{{Refuse: true, Drop: [2]bool{true, true}}, {Drop: [2]bool{false, true}}, {Delay: 3 * time.Second}}[rng.IntN(3)])
				links[i].Cut()
			}
			wait(5 * time.Second)
			for _, i := range picked {
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
			l.readAck(c, name)
			if l.acks[name] != list[len(list)-1].Version {
				return false
			}
		}
		return true
	}, "each router ends at the newest version")
	result, n := l.h.Check(5 * time.Minute)
	t.Logf("%d operations, %d versions, %d reads; clients got %d answers, and %d times none; faults %v; %s", n, len(l.texts), l.reads, answers.Load(), unanswered.Load(), injected, result)
	require.Equal(t, porcupine.Ok, result)
	require.Empty(t, l.faults)
	var trails []audit.Trail
	for i := range f.routers {
		trails = append(trails, f.stopAndReadTrail(i))
	}
	for _, b := range audit.Check(trails) {
		require.Equal(t, audit.RuleDamaged, b.Rule, "a killed router's last record may be torn, and nothing else: %s", b)
	}
}

// The ledger must detect a version whose text changes, a text with two versions, and an
// acknowledgement that decreases.
func TestLedgerFindsFaults(t *testing.T) {
	l := &ledger{texts: map[uint64]string{}, versions: map[string]uint64{}, acks: map[string]uint64{}}
	l.recordAck("r", 2)
	l.recordAck("r", 2)
	l.recordVersion(1, "a")
	l.recordVersion(1, "a")
	require.Empty(t, l.faults)
	l.recordVersion(1, "b")
	l.recordVersion(2, "a")
	l.recordAck("r", 1)
	require.Len(t, l.faults, 3)
}
