package engine

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lichenshelf/logic"
)

var kinds = []Kind{
	{Role: logic.RoleRead, ReadRate: 10000, ReadBase: 10 * time.Millisecond, ReadQueue: 20, CacheTokens: 50000, StateTokens: 1e6},
	{Role: logic.RoleWrite, FetchRate: 1e6, Step: 10 * time.Millisecond, StepDouble: 20, Memory: 20000, WriteQueue: 4},
	{Role: logic.RoleBoth, ReadRate: 5000, ReadBase: 10 * time.Millisecond, ReadQueue: 20, CacheTokens: 50000, Step: 20 * time.Millisecond, StepDouble: 10, Memory: 50000, WriteQueue: 4},
}

var cold = Cold{Share: 0.3, WarmWithin: 10 * time.Second, FallMultiple: 2.5, FallAfter: 1500 * time.Millisecond, Downtime: 5 * time.Second}

func site(servers ...Spec) *Site {
	for i := range servers {
		servers[i].Name = fmt.Sprint("s", i)
		if servers[i].Started == 0 {
			servers[i].Started = -time.Hour
		}
	}
	return New(Config{Kinds: kinds, Cold: cold, Servers: servers}, 1)
}

func prompt(id string, tokens float64) Job {
	return Job{ID: id, PromptTokens: tokens, AnswerTokens: 50}
}

// run advances the site from event to event until a time, and returns all events.
func run(s *Site, from, to time.Duration) (out []Event) {
	for now := from; now < to; {
		next, ok := s.Next()
		if !ok || next > to {
			next = to
		}
		now = max(next, now+1)
		out = append(out, s.Advance(now)...)
	}
	return out
}

func find(t *testing.T, events []Event, job string, k EventKind) Event {
	for _, e := range events {
		if e.Job == job && e.Kind == k {
			return e
		}
	}
	t.Fatalf("no event %d of %s in %+v", k, job, events)
	return Event{}
}

// A reader reads two prompts one after the other, the second one mostly cached; a writer fetches a
// read state and writes the answer.
func TestReadHoldWrite(t *testing.T) {
	s := site(Spec{Kind: 0}, Spec{Kind: 1})
	a, b := prompt("a", 5000), prompt("b", 5000)
	a.Prefix, a.PrefixTokens, b.Prefix, b.PrefixTokens = 7, 4000, 7, 4000
	require.Equal(t, Accepted, s.Arrive("s0", a, 0))
	require.Equal(t, Accepted, s.Arrive("s0", b, 0))
	require.Equal(t, NoState, s.Arrive("s1", a, 0), "not read yet")
	events := run(s, 0, time.Second)
	require.InDelta(t, 0.51, find(t, events, "a", Read).At.Seconds(), 1e-3)
	require.InDelta(t, 0.62, find(t, events, "b", Read).At.Seconds(), 1e-3)
	require.Equal(t, 4000.0, find(t, events, "b", Read).Kept)
	require.Equal(t, 2, s.Held())
	require.Equal(t, Accepted, s.Arrive("s1", a, time.Second))
	require.Equal(t, 1, s.Held(), "fetched")
	s.Release("b")
	require.Equal(t, 0, s.Held())
	events = run(s, time.Second, 3*time.Second)
	require.InDelta(t, 1.0155, find(t, events, "a", FirstToken).At.Seconds(), 2e-3)
	require.InDelta(t, 1.005+50*0.0105, find(t, events, "a", Done).At.Seconds(), 5e-3)
	tokens := 0
	for _, e := range events {
		tokens += e.Tokens
	}
	require.Equal(t, 50, tokens)
}

func TestRoomAndQueues(t *testing.T) {
	s := site(Spec{Kind: 2})
	accepted := 0
	for i := range 60 {
		if s.Arrive("s0", prompt(fmt.Sprint(i), 1000), 0) == Accepted {
			accepted++
		}
	}
	require.Equal(t, kinds[2].ReadQueue, accepted)
	done := 0
	for _, e := range run(s, 0, time.Minute) {
		if e.Kind == Done {
			done++
		}
	}
	require.Equal(t, accepted, done)
	require.Equal(t, Unreachable, s.Arrive("unknown", prompt("x", 1), 0))
}

// A cold reader that is overloaded crashes, loses its jobs and starts again cold; a warm reader
// only queues the same load.
func TestColdServersCrashUnderOverload(t *testing.T) {
	for _, c := range []struct {
		started time.Duration
		crashes bool
	}{{-time.Hour, false}, {-time.Millisecond, true}} {
		s := site(Spec{Kind: 0, Started: c.started})
		for i := range 18 {
			require.Equal(t, Accepted, s.Arrive("s0", prompt(fmt.Sprint(i), 8000), 0))
		}
		before := s.Changes()
		events := run(s, 0, 4*time.Second)
		lost := 0
		for _, e := range events {
			if e.Kind == Lost {
				lost++
			}
		}
		require.Equal(t, c.crashes, lost > 0)
		require.Equal(t, c.crashes, s.Changes() > before)
		if c.crashes {
			require.False(t, s.List()[0].Up)
			require.Equal(t, Unreachable, s.Arrive("s0", prompt("x", 1), 4*time.Second))
			run(s, 4*time.Second, 20*time.Second)
			require.True(t, s.List()[0].Up)
			require.Greater(t, s.List()[0].Since, 4*time.Second)
			require.Equal(t, 1, s.OverloadCrashes)
		}
	}
}

func TestFaults(t *testing.T) {
	s := site(Spec{Kind: 2}, Spec{Kind: 2}, Spec{Kind: 2}, Spec{Kind: 2})
	s.Set("s0", Fault{Errors: true})
	s.Set("s1", Fault{Silent: true})
	s.Set("s2", Fault{Slow: 4})
	s.Set("s3", Fault{BreakShare: 1})
	require.Equal(t, Failed, s.Arrive("s0", prompt("a", 1000), 0))
	for i, id := range []string{"b", "c", "d"} {
		require.Equal(t, Accepted, s.Arrive(fmt.Sprint("s", i+1), prompt(id, 1000), 0))
	}
	events := run(s, 0, 10*time.Second)
	for _, e := range events {
		require.NotEqual(t, "b", e.Job, "silent")
	}
	require.InDelta(t, 4*(0.21+0.022), find(t, events, "c", FirstToken).At.Seconds(), 0.01)
	find(t, events, "d", FirstToken)
	find(t, events, "d", Lost)
	require.True(t, s.Cancel("s1", "b"))
	require.False(t, s.Cancel("s1", "b"))
	require.Len(t, s.Kill("s1", 10*time.Second, time.Second), 0)
}

// For any sequence of jobs, cancellations and kills, each accepted job that is not cancelled ends
// exactly once, and servers hold no jobs and no memory after all have ended.
func TestEachJobEndsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := site(Spec{Kind: 0}, Spec{Kind: 1}, Spec{Kind: 2}, Spec{Kind: 2, Started: -time.Second})
		now, ends, accepted := time.Duration(0), map[string]int{}, map[string]string{}
		countEnds := func(events []Event) {
			for _, e := range events {
				if e.Kind == Done || e.Kind == Lost || e.Kind == Read {
					ends[e.Server+e.Job]++
				}
			}
		}
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			name := fmt.Sprint("s", rapid.IntRange(0, 3).Draw(t, "server"))
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				countEnds(s.Kill(name, now, time.Second))
			case 1:
				for id, at := range accepted {
					if s.Cancel(at, id) {
						delete(accepted, id)
						break
					}
				}
			default:
				j := prompt(fmt.Sprint(i), rapid.Float64Range(1, 9000).Draw(t, "tokens"))
				if s.Arrive(name, j, now) == Accepted {
					accepted[j.ID] = name
				}
			}
			now += time.Duration(rapid.IntRange(1, int(time.Second)).Draw(t, "later"))
			countEnds(s.Advance(now))
		}
		countEnds(s.Advance(now + time.Hour))
		for id, at := range accepted {
			require.Equal(t, 1, ends[at+id], "job %s at %s", id, at)
		}
		for _, v := range s.servers {
			require.Empty(t, v.reads)
			require.Empty(t, v.writes)
			require.Empty(t, v.queued)
			require.InDelta(t, 0, v.memory, 1e-6)
		}
	})
}
