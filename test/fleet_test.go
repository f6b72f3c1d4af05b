package test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	relay "lichenshelf/internal/standin/link"
)

const (
	fleetLimit = 50.0 // requests per second of the account, over all routers
	fleetLease = time.Second
	// lateness is the longest time from the moment a router spends quota on a request to the
	// request's arrival at its worker.
	lateness = time.Second
)

// arrivalTimes records when requests arrived at a stand-in worker, in order. The limit is checked
// against these times.
type arrivalTimes struct {
	mu    sync.Mutex
	times []time.Time
}

func (s *arrivalTimes) record() {
	s.mu.Lock()
	s.times = append(s.times, time.Now())
	s.mu.Unlock()
}

func (s *arrivalTimes) all() []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.times)
}

func (s *arrivalTimes) countSince(t time.Time) int {
	n := 0
	for _, at := range s.all() {
		if at.After(t) {
			n++
		}
	}
	return n
}

// limitExcess returns by how many requests the worst time window exceeds what the limit, its burst,
// the lateness and the rounding at each router allow; 0 or less means that no window exceeds it.
func limitExcess(times []time.Time, limit, burst float64, routers int, late time.Duration) float64 {
	// A token bucket of that size: the excess is how far its level ever falls below zero.
	size := limit*(burst+late.Seconds()) + float64(routers)
	left, worst := size, size
	for i, at := range times {
		if i > 0 {
			left = min(size, left+limit*at.Sub(times[i-1]).Seconds())
		}
		left--
		worst = min(worst, left)
	}
	return -worst
}

// limitExcess must detect both a short burst and a small excess that lasts.
func TestLimitExcess(t *testing.T) {
	series := func(rate float64, n int) (out []time.Time) {
		for i := range n {
			out = append(out, time.Unix(0, 0).Add(time.Duration(float64(i)/rate*float64(time.Second))))
		}
		return out
	}
	require.LessOrEqual(t, limitExcess(series(fleetLimit, 1000), fleetLimit, 1, 5, 0), 0.0)
	require.Greater(t, limitExcess(series(1.1*fleetLimit, 2000), fleetLimit, 1, 5, 0), 0.0, "10 % over the limit for 36 s")
	require.Greater(t, limitExcess(series(1e6, 60), fleetLimit, 1, 5, 0), 0.0, "60 at once where 55 are allowed")
	require.LessOrEqual(t, limitExcess(series(1e6, 55), fleetLimit, 1, 5, 0), 0.0)
}

// fleetRig is a fleet of programs with a relay between every ordered pair, and clients that request
// more than the quota.
type fleetRig struct {
	t             *testing.T
	routers       []*program
	args          [][]string
	operator      []string
	relays        map[[2]int]*relay.Relay
	demand        []atomic.Bool
	arrivals      arrivalTimes
	answerDelay   atomic.Int64 // nanoseconds before the first worker answers
	body          string
	answers       atomic.Int64 // 200s that clients got
	otherStatuses sync.Map     // count of answers by status other than 200, *atomic.Int64
}

var testAddrs atomic.Int32

// ownAddr returns an address that nothing else in this test process is given. A program's listen
// address is chosen long before the program starts, and relays and connections take free ports of
// 127.0.0.1 meanwhile.
func ownAddr(t *testing.T) string {
	n := testAddrs.Add(1)
	l, err := net.Listen("tcp4", fmt.Sprintf("127.77.%d.%d:0", n/250, 1+n%250))
	require.NoError(t, err)
	defer l.Close()
	return l.Addr().String()
}

func newFleetRig(t *testing.T, n int, more ...*worker) *fleetRig {
	f := &fleetRig{t: t, relays: map[[2]int]*relay.Relay{}, demand: make([]atomic.Bool, n), body: embedBody}
	backend := newWorker(t, "m-a", "model", func(w http.ResponseWriter, r *http.Request) {
		f.arrivals.record()
		time.Sleep(time.Duration(f.answerDelay.Load()))
		model(w, r)
	})
	listen := make([]string, n)
	for i := range n {
		listen[i] = ownAddr(t)
	}
	for i := range n {
		for j := range n {
			if i != j {
				r, err := relay.New(listen[j])
				require.NoError(t, err)
				t.Cleanup(r.Close)
				f.relays[[2]int{i, j}] = r
			}
		}
	}
	for i := range n {
		dir := t.TempDir()
		addr, operator := ownAddr(t), ownAddr(t)
		var fleet strings.Builder
		fmt.Fprintf(&fleet, "fleet = \"f\"\nself = \"r-%d\"\nlisten = %q\noperator = %q\nlease = %q\nperiod = \"200ms\"\ntimeout = \"500ms\"\nreturn = \"2s\"\nhold = \"1s\"\n",
			i, listen[i], operator, fleetLease)
		for j := range n {
			to := listen[i]
			if i != j {
				to = f.relays[[2]int{i, j}].Addr()
			}
			fmt.Fprintf(&fleet, "[[router]]\nname = \"r-%d\"\naddr = %q\n", j, to)
		}
		require.NoError(t, os.WriteFile(filepath.Join(dir, "fleet.toml"), []byte(fleet.String()), 0o600))
		api := fmt.Sprintf("listen = %q\n[[account]]\nname = \"a\"\nkey = \"k\"\nquota_per_s = %g\n[[backend]]\nname = \"m-a\"\naddr = %q\n",
			addr, fleetLimit, backend.Listener.Addr())
		for _, b := range more {
			api += fmt.Sprintf("[[backend]]\nname = %q\naddr = %q\n", b.name, b.Listener.Addr())
		}
		require.NoError(t, os.WriteFile(filepath.Join(dir, "modelapi.toml"), []byte(api), 0o600))
		f.args = append(f.args, []string{"serve", "--modelapi", filepath.Join(dir, "modelapi.toml"), "--fleet", filepath.Join(dir, "fleet.toml")})
		f.operator = append(f.operator, operator)
		f.routers = append(f.routers, start(t, addr, nil, f.args[i]...))
	}
	for i, r := range f.routers {
		r.waitReady()
		go f.runClient(i)
	}
	return f
}

// runClient sends one router more requests than its share of the quota while its demand is set.
func (f *fleetRig) runClient(i int) {
	c := &http.Client{Timeout: 3 * time.Second}
	for f.t.Context().Err() == nil {
		if !f.demand[i].Load() {
			time.Sleep(pollInterval)
			continue
		}
		ctx, cancel := context.WithTimeout(f.t.Context(), 3*time.Second)
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.routers[i].addr+embedPath, strings.NewReader(f.body))
		if err == nil {
			req.Header.Set("Authorization", "Bearer k")
			if resp, err := c.Do(req); err == nil {
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					f.answers.Add(1)
				} else {
					n, _ := f.otherStatuses.LoadOrStore(resp.StatusCode, new(atomic.Int64))
					n.(*atomic.Int64).Add(1)
				}
			}
		}
		cancel()
		time.Sleep(5 * time.Millisecond)
	}
}

// setDemand has clients send requests to these routers and to no others.
func (f *fleetRig) setDemand(routers ...int) {
	for i := range f.demand {
		f.demand[i].Store(slices.Contains(routers, i))
	}
}

// setFault sets a fault on the links from and to that pick selects, and clears the faults of all
// others.
func (f *fleetRig) setFault(pick func(from, to int) bool, fault relay.Fault) {
	for pair, r := range f.relays {
		if pick(pair[0], pair[1]) {
			r.Set(fault)
		} else {
			r.Set(relay.Fault{})
		}
	}
}

func (f *fleetRig) fetchPage(i int, name string, into any) bool {
	resp, err := http.Get("http://" + f.operator[i] + "/v1/fleet/" + name)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return json.NewDecoder(resp.Body).Decode(into) == nil
}

// peerStates returns the state of each peer according to a router.
func (f *fleetRig) peerStates(i int) map[string]string {
	var p struct {
		Routers []struct{ Name, State string }
	}
	out := map[string]string{}
	if f.fetchPage(i, "members", &p) {
		for _, r := range p.Routers {
			out[r.Name] = r.State
		}
	}
	return out
}

// waitForUsage waits until the worker has received this part of the limit over 1.5 s, counted from
// now on.
func (f *fleetRig) waitForUsage(part float64, what string) {
	f.t.Helper()
	const span = 1500 * time.Millisecond
	begin := time.Now()
	eventually(f.t, func() bool {
		return time.Since(begin) >= span && float64(f.arrivals.countSince(time.Now().Add(-span))) >= part*fleetLimit*span.Seconds()
	}, what)
}

func (f *fleetRig) checkLimit(what string) {
	f.t.Helper()
	times := f.arrivals.all()
	require.LessOrEqual(f.t, limitExcess(times, fleetLimit, 1, len(f.routers), lateness), 0.0, "%s: limit exceeded, %d served", what, len(times))
	require.LessOrEqual(f.t, int(f.answers.Load()), len(times), "%s: more answers than the worker gave", what)
}

// Five programs share one account's quota, with faults on the links between them. Whatever messages
// are lost, the worker must never receive more than the limit. Connected routers can use most of
// the limit at one of them; an isolated router still has its own share.
func TestFleetSharesAQuotaWithinItsLimit(t *testing.T) {
	f := newFleetRig(t, 5)
	all := []int{0, 1, 2, 3, 4}
	f.setDemand(0)
	f.waitForUsage(0.8, "one router uses the quota that the others don't need")
	f.checkLimit("connected")

	// The fleet is partitioned in two: each router still has its own share.
	f.setFault(func(from, to int) bool { return (from < 2) != (to < 2) }, relay.Fault{Drop: [2]bool{true, true}})
	f.setDemand(all...)
	f.waitForUsage(0.8, "all shares are used on both sides of the partition")
	f.checkLimit("partitioned in two")

	// A router is stopped for longer than its leases while the others run, and is then continued.
	f.setFault(func(int, int) bool { return false }, relay.Fault{})
	f.setDemand(0)
	f.waitForUsage(0.8, "quota is lent again once the partition is healed")
	f.routers[0].signal(syscall.SIGSTOP)
	f.setDemand(all...)
	f.waitForUsage(0.7, "the others use the quota that the stopped router had borrowed")
	f.routers[0].signal(syscall.SIGCONT)
	f.waitForUsage(0.8, "the continued router uses its share again")
	f.checkLimit("stopped and continued")

	// A router is killed right after it lent quota, and started again at once under its name,
	// without its state.
	f.setDemand(0)
	f.waitForUsage(0.8, "quota is lent again")
	f.routers[1].signal(syscall.SIGKILL)
	<-f.routers[1].exit
	f.routers[1] = start(t, f.routers[1].addr, nil, f.args[1]...)
	f.routers[1].waitReady()
	f.setDemand(all...)
	f.waitForUsage(0.8, "all shares are used after the restart")
	f.checkLimit("killed and restarted")

	// Links that work in one direction only, and links with a delay of 2 s.
	f.setFault(func(from, to int) bool { return from < to }, relay.Fault{Drop: [2]bool{true, false}})
	f.setDemand(all...)
	f.waitForUsage(0.8, "all shares are used with one-way links")
	f.setFault(func(int, int) bool { return true }, relay.Fault{Delay: 2 * time.Second})
	f.setDemand(4)
	// The limit is checked over a time span; there is no event to wait for.
	time.Sleep(3 * fleetLease)
	f.setDemand(all...)
	f.waitForUsage(0.8, "all shares are used with delayed links")
	f.checkLimit("one-way and delayed links")

	// Repeated partitions while the demand moves from router to router.
	for i := range 4 {
		f.setFault(func(from, to int) bool { return i%2 == 0 && (from%2 != to%2) }, relay.Fault{Refuse: true, Drop: [2]bool{true, true}})
		for _, r := range f.relays {
			r.Cut()
		}
		f.setDemand(i)
		time.Sleep(fleetLease)
	}
	f.setFault(func(int, int) bool { return false }, relay.Fault{})
	f.setDemand(2)
	f.waitForUsage(0.8, "in the end one router uses the quota that the others don't need")
	f.checkLimit("partitioned and healed")
	f.otherStatuses.Range(func(status, n any) bool {
		t.Logf("%v: %d", status, n.(*atomic.Int64).Load())
		return true
	})
	_, ok := f.otherStatuses.Load(http.StatusTooManyRequests)
	require.True(t, ok, "requests over the quota are refused")
	t.Logf("%d served, %d answers", len(f.arrivals.all()), f.answers.Load())

	out, err := command(t, "fleet", "budgets", "--operator", f.operator[2])
	require.NoError(t, err, out)
	require.Contains(t, out, "account/a")
	require.Contains(t, out, "r-0")
	out, err = command(t, "fleet", "links", "--operator", f.operator[2])
	require.NoError(t, err, out)
	require.Contains(t, out, "r-4")
}

// All peers find a killed router silent; a lost link alone makes no router silent, since heartbeats
// also arrive through other routers; and a second process under a name fences the first one.
func TestFleetMembership(t *testing.T) {
	f := newFleetRig(t, 5)
	alive := func(i, n int) func() bool {
		return func() bool {
			count := 0
			for _, s := range f.peerStates(i) {
				if s == "alive" {
					count++
				}
			}
			return count == n
		}
	}
	for i := range 5 {
		eventually(t, alive(i, 4), "each router has heartbeats of all others")
	}
	f.setFault(func(from, to int) bool { return from == 0 && to == 1 }, relay.Fault{Drop: [2]bool{true, true}, Refuse: true})
	f.relays[[2]int{0, 1}].Cut()
	f.routers[4].signal(syscall.SIGKILL)
	for i := range 4 {
		eventually(t, func() bool { return f.peerStates(i)["r-4"] == "silent" }, "the killed router is silent")
	}
	require.True(t, alive(1, 3)(), "heartbeats of r-0 arrive through other routers")

	// A second process with the same files, but for the listen addresses, which are in use.
	text, err := os.ReadFile(f.args[2][4])
	require.NoError(t, err)
	var p struct{ Life uint64 }
	require.True(t, f.fetchPage(2, "members", &p))
	twin := filepath.Join(t.TempDir(), "fleet.toml")
	changed := strings.Replace(string(text), "operator = \""+f.operator[2], "operator = \""+ownAddr(t), 1)
	lines := strings.Split(changed, "\n")
	for i := range lines {
		if strings.HasPrefix(lines[i], "listen") {
			lines[i] = fmt.Sprintf("listen = %q", ownAddr(t))
		}
	}
	require.NoError(t, os.WriteFile(twin, []byte(strings.Join(lines, "\n")), 0o600))
	api := filepath.Join(t.TempDir(), "modelapi.toml")
	require.NoError(t, os.WriteFile(api, []byte(fmt.Sprintf("listen = %q\n", ownAddr(t))), 0o600))
	start(t, "", nil, "serve", "--modelapi", api, "--fleet", twin)
	eventually(t, func() bool { return f.routers[2].logged("this one spends nothing any more") }, "the earlier process is fenced")
	f.setDemand(2)
	eventually(t, func() bool {
		n, ok := f.otherStatuses.Load(http.StatusTooManyRequests)
		return ok && n.(*atomic.Int64).Load() > 20
	}, "it refuses requests that are counted against a quota")
	out, err := command(t, "fleet", "members", "--operator", f.operator[2])
	require.NoError(t, err, out)
	require.Contains(t, out, "fenced: a later process has this name")
}

// A worker that answers 500 at once must be taken out at all routers, also at those that sent it
// few requests, and be used again once it answers correctly. The requests that the worker itself
// received decide.
func TestFleetTakesABadWorkerOutAndBack(t *testing.T) {
	var failing atomic.Bool
	failing.Store(true)
	var requests arrivalTimes
	bad := newWorker(t, "m-bad", "model", func(w http.ResponseWriter, r *http.Request) {
		requests.record()
		if failing.Load() {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		model(w, r)
	})
	// The others work on long inputs, so that the worker that fails at once looks idle and is sent
	// requests.
	const answerDelay = 300 * time.Millisecond
	var good []*worker
	for i := range 3 {
		good = append(good, newWorker(t, fmt.Sprintf("m-%d", i), "model", func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(answerDelay)
			model(w, r)
		}))
	}
	f := newFleetRig(t, 3, append(good, bad)...)
	f.answerDelay.Store(int64(answerDelay))
	f.body = fmt.Sprintf(`{"model":"m","input":[%q]}`, strings.Repeat("a notice to mariners ", 400))
	for i := range 3 {
		for range 8 {
			go f.runClient(i)
		}
	}
	f.setDemand(0, 1, 2)
	trafficPart := func(i int) float64 {
		var p struct{ Part float64 }
		if !f.fetchPage(i, "worker/m-bad", &p) {
			return -1
		}
		return p.Part
	}
	for i := range 3 {
		eventually(t, func() bool { return trafficPart(i) == 0 }, "out at each router")
	}
	since := time.Now()
	eventually(t, func() bool {
		return time.Since(since) > time.Second && requests.countSince(time.Now().Add(-500*time.Millisecond)) == 0
	},
		"no router sends it requests")
	// While it fails, routers still try it from time to time.
	eventually(t, func() bool {
		out, err := command(t, "fleet", "worker", "--operator", f.operator[1], "m-bad")
		return err == nil && strings.Contains(out, "out for all by agreement")
	}, "the command shows it")
	failing.Store(false)
	eventually(t, func() bool {
		return trafficPart(0) == 1 && requests.countSince(time.Now().Add(-500*time.Millisecond)) > 0
	}, "the worker is used again")
}
