package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	testStep    = time.Millisecond
	callTimeout = Timeout // calls to silent workers last as long as the release
)

// fleet is a simulated set of workers and connections, in virtual time.
type fleet struct {
	t           *testing.T
	plan        *Plan[int]
	now         time.Time
	silent      func(worker int) bool
	silentFrom  time.Time // since when; before, these workers accepted releases
	answerAfter time.Duration
	loses       func() bool // whether the answer of a call is lost; nil: never
	connections int
	inFlight    map[int]int // by worker
	calls       []simulatedCall
	started     int // all calls
	closed      map[*Release[int]]time.Time
	expired     map[*Release[int]]time.Time
}

type simulatedCall struct {
	Call[int]
	endsAt  time.Time
	outcome Outcome
}

func newFleet(t *testing.T, seed uint64, connections int, silent func(int) bool) *fleet {
	random := rand.New(rand.NewPCG(seed, 0))
	return &fleet{t: t, plan: New[int](random.IntN), now: time.Unix(0, 0), silent: silent, answerAfter: testStep, connections: connections,
		inFlight: map[int]int{}, closed: map[*Release[int]]time.Time{}, expired: map[*Release[int]]time.Time{}}
}

// add opens so many releases at the workers from 0 to n-1, in random order each.
func (f *fleet) add(count, n int, seed uint64) (added []*Release[int]) {
	random := rand.New(rand.NewPCG(seed, 1))
	for range count {
		added = append(added, f.plan.Add(f.now, random.Perm(n)))
	}
	return added
}

// step ends the calls that are over by now, starts those that are due, and moves the clock on.
func (f *fleet) step() {
	var rest []simulatedCall
	for _, c := range f.calls {
		if _, over := f.closed[c.Release]; over {
			c.endsAt, c.outcome = f.now, CalledOff
		}
		if c.endsAt.After(f.now) {
			rest = append(rest, c)
			continue
		}
		f.inFlight[c.Worker]--
		if f.plan.Ended(f.now, c.Call, c.outcome) {
			f.closed[c.Release] = f.now
		}
	}
	f.calls = rest
	calls, expired := f.plan.Next(f.now, f.connections-len(f.calls))
	for _, r := range expired {
		f.expired[r] = f.now
	}
	for _, c := range calls {
		f.started++
		f.inFlight[c.Worker]++
		require.LessOrEqual(f.t, f.inFlight[c.Worker], maxWindow)
		call := simulatedCall{c, f.now.Add(f.answerAfter), Accepted}
		if f.silent(c.Worker) {
			require.True(f.t, f.inFlight[c.Worker] == 1 || !f.silentFrom.IsZero(), "calls at a time to a worker that never accepted one")
			call.endsAt, call.outcome = f.now.Add(callTimeout), Failed
		}
		if f.loses != nil && f.loses() {
			call.endsAt, call.outcome = f.now.Add(callTimeout), Failed
		}
		f.calls = append(f.calls, call)
	}
	require.LessOrEqual(f.t, f.plan.probes, maxProbes)
	require.LessOrEqual(f.t, len(f.calls), f.connections)
	f.now = f.now.Add(testStep)
}

// maxCalls bounds the calls for releases that open together: one and a repetition for each, and twice
// as many as may be in flight to workers that are not known to run.
func maxCalls(releases int) int { return 2*releases + 2*maxProbes }

func fourInFive(worker int) bool { return worker%5 != 0 }

// When workers fail together, all releases that start at once must be accepted in time, and the
// work for that must not grow with releases times workers.
func TestManyReleasesAreAccepted(t *testing.T) {
	for _, size := range []struct{ workers, connections, releases int }{
		{16, 48, 40}, {100, 80, 200}, {400, 80, 200}, {400, 316, 200}, {3200, 80, 200}, {3200, 2000, 500}, {400, 24, 200},
		{16, 48, 1}, {400, 80, 1}, {3200, 80, 1},
	} {
		for seed := range uint64(20) {
			t.Run(fmt.Sprint(size, seed), func(t *testing.T) {
				f := newFleet(t, seed, size.connections, fourInFive)
				f.add(size.releases, size.workers, seed)
				for f.plan.Open() > 0 {
					f.step()
				}
				require.Len(t, f.closed, size.releases)
				require.Less(t, f.now.Sub(time.Unix(0, 0)), Timeout)
				require.LessOrEqual(t, f.started, maxCalls(size.releases))
			})
		}
	}
}

// Releases follow each other all the time when four in five of the workers that accept them fall
// silent, so that many calls are in flight to silent workers at once.
func TestWorkersFailBetweenReleases(t *testing.T) {
	for seed := range uint64(20) {
		f := newFleet(t, seed, 80, func(int) bool { return false })
		f.answerAfter = 5 * testStep
		for range 200 {
			f.add(2, 100, seed)
			f.step()
		}
		require.Greater(t, len(f.closed), 300)
		f.silent, f.silentFrom = fourInFive, f.now
		f.add(200, 100, seed)
		for f.plan.Open() > 0 {
			f.step()
		}
		require.Empty(t, f.expired)
		require.Less(t, f.now.Sub(f.silentFrom), Timeout)
	}
}

// A router that gets little processor time reads answers late. It must not take its workers for
// silent ones and call others in their place.
func TestLateAnswersCauseFewMoreCalls(t *testing.T) {
	const releases = 1000
	for _, late := range []time.Duration{30 * testStep, 60 * testStep, 100 * testStep} {
		for seed := range uint64(20) {
			f := newFleet(t, seed, 1000, func(int) bool { return false })
			f.answerAfter = late
			f.add(releases, 400, seed)
			for f.plan.Open() > 0 {
				f.step()
			}
			require.Empty(t, f.expired)
			require.LessOrEqual(t, f.started, maxCalls(releases), "with answers after %v", late)
		}
	}
}

// Workers run, but three in ten connections to them never come up. Releases must not wait for one
// call: what is held has 300 ms.
func TestLostCallsAreReplacedInTime(t *testing.T) {
	const heldFor = 300 * time.Millisecond
	for _, releases := range []int{1, 200} {
		for seed := range uint64(200) {
			random := rand.New(rand.NewPCG(seed, 2))
			f := newFleet(t, seed, 316, func(int) bool { return false })
			f.loses = func() bool { return random.IntN(10) < 3 }
			f.add(releases, 100, seed)
			for f.plan.Open() > 0 {
				f.step()
			}
			require.Less(t, f.now.Sub(time.Unix(0, 0)), heldFor, "%d releases, seed %d", releases, seed)
		}
	}
}

// A release that no worker accepts ends at its timeout. While workers accept others it stays open,
// because one of them is about to accept it, but not for ever. Answers that are late, as in a process
// that gets little processor time, are no reason to give up before.
func TestTimeoutDependsOnRunningWorkers(t *testing.T) {
	const lastAccepted = 300 * time.Millisecond
	for name, tc := range map[string]struct {
		runningFor, want time.Duration
	}{"no worker runs": {0, Timeout}, "a worker accepts others": {time.Hour, maxTimeout},
		"a worker accepted others": {lastAccepted, lastAccepted + Timeout}} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 1, 80, func(worker int) bool { return worker != 0 })
			r := f.plan.Add(f.now, []int{1, 2, 3}) // none of them accepts
			for f.expired[r].IsZero() {
				if f.now.Sub(time.Unix(0, 0)) < tc.runningFor {
					f.plan.Add(f.now, []int{0})
				}
				f.step()
			}
			require.Equal(t, tc.want, f.expired[r].Sub(time.Unix(0, 0)))
		})
	}
}

// A worker that refuses a release is called again, but not at once, whether or not it has accepted
// others before.
func TestRefusingWorkerIsCalledAgainLater(t *testing.T) {
	for _, acceptedBefore := range []bool{false, true} {
		t.Run(fmt.Sprint(acceptedBefore), func(t *testing.T) {
			f := newFleet(t, 1, 80, func(worker int) bool { return worker == 1 })
			f.plan.Add(f.now, []int{1}) // keeps what is known of worker 0
			if acceptedBefore {
				f.plan.Add(f.now, []int{0})
				f.step()
				f.step()
				require.Len(t, f.closed, 1)
			}
			r := f.plan.Add(f.now, []int{0})
			var startedAt []time.Duration
			for f.closed[r].IsZero() {
				f.step()
				for i := range f.calls {
					if c := &f.calls[i]; c.Release == r && len(startedAt) < 3 {
						c.outcome = Failed
						startedAt = append(startedAt, c.startedAt.Sub(time.Unix(0, 0)))
					}
				}
			}
			for i := 1; i < len(startedAt); i++ {
				require.GreaterOrEqual(t, startedAt[i]-startedAt[i-1], retryInterval)
			}
			require.Less(t, f.closed[r].Sub(r.openedAt), Timeout)
		})
	}
}

// Where no connection can be had although there seemed to be room, calls pause.
func TestCallsPauseWithoutAConnection(t *testing.T) {
	now := time.Unix(0, 0)
	p := New[int](rand.IntN)
	p.Add(now, []int{0, 1, 2})
	started := 0
	for ; p.Open() > 0; now = now.Add(testStep) {
		calls, _ := p.Next(now, 80)
		started += len(calls)
		for _, c := range calls {
			p.Ended(now, c, NoConnection)
		}
	}
	require.Positive(t, started)
	require.LessOrEqual(t, started, int(Timeout/noConnectionPause)*maxProbes/2)
	calls, _ := p.Next(now, 80)
	require.Empty(t, calls)
}

// A worker that is not known to run gets one release at a time. Each release that it accepts doubles
// the window, and a failure resets it to one. Nothing is kept of a worker that has left.
func TestWindowFollowsAcceptedReleases(t *testing.T) {
	now := time.Unix(0, 0)
	p := New[int](rand.IntN)
	fill := func() (calls []Call[int]) {
		for range 2 * maxWindow {
			p.Add(now, []int{7})
		}
		for ; p.Open() > 4*maxWindow; p.open = p.open[1:] {
		}
		calls, _ = p.Next(now, 4*maxWindow)
		return calls
	}
	for _, size := range []int{1, 2, 4, 8, 16, maxWindow, maxWindow} {
		calls := fill()
		require.Len(t, calls, size)
		p.Ended(now, calls[0], Accepted)
		for _, c := range calls[1:] {
			p.Ended(now, c, CalledOff)
		}
	}
	calls := fill()
	require.Len(t, calls, maxWindow)
	for _, c := range calls {
		p.Ended(now, c, Failed)
	}
	now = now.Add(retryInterval)
	calls = fill()
	require.Len(t, calls, 1)
	p.Forget(7)
	p.Ended(now, calls[0], Accepted) // the end of a call to a worker that has left
	require.Empty(t, p.targets)
	require.Empty(t, p.running)
	require.Zero(t, p.probes)
}
