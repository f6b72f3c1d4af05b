package judge

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lichenshelf/logic"
)

var limits = Limits{Answer: 500 * time.Millisecond, Grace: 300 * time.Millisecond, Held: 600 * time.Millisecond, TimeBudget: 150 * time.Millisecond,
	AfterEnd: 100 * time.Millisecond, Overlap: 50 * time.Millisecond, Window: 2 * time.Second, Slack: 10 * time.Millisecond}

const patience = time.Second

// Each sequence of observations yields exactly the violations that it contains.
func TestEachRuleCanBeBroken(t *testing.T) {
	start := time.Now()
	at := func(d time.Duration) time.Time { return start.Add(d) }
	const over = 11 * time.Millisecond
	for name, c := range map[string]struct {
		effect logic.Effect
		play   func(j *Judge)
		want   []Rule
	}{
		"served by a reader and a writer": {play: func(j *Judge) {
			j.Arrived("a", "r", true, start, patience).Ended(Read, at(100*time.Millisecond))
			j.Arrived("a", "w", false, at(200*time.Millisecond), patience-200*time.Millisecond).Ended(Began, at(time.Hour))
			j.Began("a", at(patience))
			j.Final("a", Served, at(time.Hour))
		}},
		"rejected by the worker, and refused": {effect: logic.EffectOnce, play: func(j *Judge) {
			j.Arrived("a", "w", false, start, patience).Ended(NeverRan, start)
			j.Released("a", start)
			j.Final("a", Refused, at(patience))
		}},
		"no answer":              {play: func(*Judge) {}, want: []Rule{Lost}},
		"client left, no answer": {play: func(j *Judge) { j.Left("a", start) }},
		"two answers":            {play: func(j *Judge) { j.Final("a", Failed, start); j.Final("a", Refused, start) }, want: []Rule{Lost}},
		"a closed connection":    {play: func(j *Judge) { j.Final("a", Unanswered, start) }, want: []Rule{Lost}},
		"an answer too late":     {play: func(j *Judge) { j.Final("a", Failed, at(patience+limits.Answer+over)) }, want: []Rule{Lost}},
		"a beginning too late": {play: func(j *Judge) {
			j.Began("a", at(patience+limits.Answer+over))
			j.Final("a", Served, at(time.Hour))
		}, want: []Rule{Lost}},
		"once, run twice": {effect: logic.EffectOnce, play: func(j *Judge) {
			j.Arrived("a", "w", false, start, patience).Ended(MayHaveRun, start)
			j.Arrived("a", "v", false, start, patience).Ended(Began, start)
			j.Final("a", Served, start)
		}, want: []Rule{Duplicate}},
		"once, run and refused": {effect: logic.EffectOnce, play: func(j *Judge) {
			j.Arrived("a", "w", false, start, patience).Ended(MayHaveRun, start)
			j.Released("a", start)
			j.Final("a", Refused, start)
		}, want: []Rule{Duplicate}},
		"by key, past its window": {effect: logic.EffectByKey, play: func(j *Judge) {
			j.Arrived("a", "w", false, start, patience).Ended(MayHaveRun, start)
			j.Released("a", start)
			j.Arrived("a", "v", false, at(limits.Window+over), 0).Ended(Began, at(limits.Window+over))
			j.Final("a", Broken, start)
		}, want: []Rule{Duplicate, TimeBudget}}, // it is also long past its client's deadline
		"two attempts open at once": {play: func(j *Judge) {
			first := j.Arrived("a", "w", false, start, patience)
			second := j.Arrived("a", "v", false, start, patience)
			first.Ended(MayHaveRun, at(limits.Overlap+over))
			second.Ended(Began, at(limits.Overlap+over))
			j.Released("a", at(limits.Overlap+over))
			j.Final("a", Served, start)
		}, want: []Rule{Duplicate}},
		"two attempts one after the other": {play: func(j *Judge) {
			first := j.Arrived("a", "w", false, start, patience)
			second := j.Arrived("a", "v", false, start, patience)
			first.Ended(MayHaveRun, at(limits.Overlap))
			second.Ended(Began, at(time.Hour))
			j.Released("a", at(limits.Overlap))
			j.Final("a", Served, start)
		}},
		"sent to a worker that leaves": {play: func(j *Judge) {
			j.Leaving("n", "w", start)
			j.Leaving("other", "v", start)
			j.Arrived("a", "v", false, at(limits.Grace+over), 0).Ended(Began, start)
			j.Arrived("a", "w", false, at(limits.Grace+over), 0).Ended(Began, start)
			j.Final("a", Served, start)
		}, want: []Rule{Drain}},
		"sent to a worker that returned": {play: func(j *Judge) {
			j.Leaving("n", "w", start)
			j.Returned("n", "w")
			j.Arrived("a", "w", false, at(limits.Grace+over), 0).Ended(Began, start)
			j.Final("a", Served, start)
		}},
		"held too long": {play: func(j *Judge) {
			j.Arrived("a", "r", true, start, patience).Ended(Read, start)
			j.Released("a", at(limits.Held+over))
			j.Final("a", Refused, start)
		}, want: []Rule{Pinned}},
		"nothing was held before a mixed worker failed": {play: func(j *Judge) {
			j.Arrived("a", "m", false, start, patience).Ended(MayHaveRun, start)
			j.Final("a", Refused, start)
		}},
		"worker cut off from its router": {play: func(j *Judge) {
			a := j.Arrived("a", "r", true, start, patience)
			j.Arrived("a", "w", false, start, patience).Ended(Began, start)
			j.Final("a", Served, start)
			a.CutOff()
			a.Ended(Read, at(time.Minute))
		}},
		"state released while a writer that can't be reached has the attempt": {play: func(j *Judge) {
			j.Arrived("a", "r", true, start, patience).Ended(Read, start)
			a := j.Arrived("a", "w", false, start, patience)
			a.CutOff()
			j.Released("a", start)
			j.Final("a", Failed, start)
			a.Ended(MayHaveRun, at(time.Minute))
		}},
		"state released while an open attempt uses it, and not again afterwards": {play: func(j *Judge) {
			j.Arrived("a", "r", true, start, patience).Ended(Read, start)
			a := j.Arrived("a", "w", false, start, patience)
			j.Released("a", start)
			a.Ended(MayHaveRun, at(time.Second))
			j.Final("a", Failed, start)
		}, want: []Rule{Pinned}},
		"attempt whose end is recorded after the next one's arrival": {play: func(j *Judge) {
			j.Arrived("a", "r", true, start, patience).Ended(Read, start)
			first := j.Arrived("a", "v", false, start, patience)
			second := j.Arrived("a", "w", false, start, patience)
			first.Ended(MayHaveRun, start)
			second.Ended(Began, start)
			j.Final("a", Served, start)
		}},
		"end recorded after the next one's arrival, and the next one fails as well": {play: func(j *Judge) {
			j.Arrived("a", "r", true, start, patience).Ended(Read, start)
			first := j.Arrived("a", "v", false, start, patience)
			second := j.Arrived("a", "w", false, start, patience)
			first.Ended(MayHaveRun, start)
			second.Ended(MayHaveRun, start)
			j.Final("a", Refused, at(time.Second))
		}, want: []Rule{Pinned}},
		"report of a read state lost as the link fails": {play: func(j *Judge) {
			a := j.Arrived("a", "r", true, start, patience)
			a.Ended(Read, start)
			a.CutOff()
			j.Final("a", Refused, at(time.Second))
		}},
		"report of one read state lost, and of another received": {play: func(j *Judge) {
			a := j.Arrived("a", "r", true, start, patience)
			a.Ended(Read, start)
			j.Arrived("a", "s", true, start, patience).Ended(Read, at(time.Millisecond))
			a.CutOff()
			j.Final("a", Refused, at(time.Second))
		}, want: []Rule{Pinned}},
		"never released after a writer that failed": {play: func(j *Judge) {
			j.Arrived("a", "r", true, start, patience).Ended(Read, start)
			j.Arrived("a", "w", false, start, patience).Ended(MayHaveRun, start)
			j.Final("a", Refused, start)
		}, want: []Rule{Pinned}},
		"given too much time": {play: func(j *Judge) {
			j.Arrived("a", "w", false, at(patience/2), patience/2+limits.TimeBudget+over).Ended(Began, start)
			j.Final("a", Served, start)
		}, want: []Rule{TimeBudget}},
		"attempt after the final answer": {play: func(j *Judge) {
			j.Final("a", Failed, start)
			j.Arrived("a", "w", false, at(limits.AfterEnd+over), 0).Ended(Began, start)
		}, want: []Rule{AfterEnd}},
		"attempt after the client left": {play: func(j *Judge) {
			j.Left("a", start)
			j.Arrived("a", "w", false, at(limits.AfterEnd+over), 0).Ended(Began, start)
		}, want: []Rule{AfterEnd}},
		"answer cut off by the router": {play: func(j *Judge) {
			a := j.Arrived("a", "w", false, start, patience)
			a.Ended(Began, start)
			a.Whole()
			j.Final("a", Broken, start)
		}, want: []Rule{Lost}},
		"answer cut off by the router, and sent again": {play: func(j *Judge) {
			a := j.Arrived("a", "w", false, start, patience)
			a.Ended(Began, start)
			a.Whole()
			j.Began("a", at(over))
			j.Arrived("a", "v", false, at(2*over), patience).Ended(Began, at(3*over))
			j.Final("a", Broken, at(4*over))
		}, want: []Rule{Lost}},
		"answer cut off by a worker, after another one had written an unused answer": {play: func(j *Judge) {
			a := j.Arrived("a", "w", false, start, patience)
			a.Ended(Began, start)
			a.Whole()
			j.Arrived("a", "v", false, at(over), patience).Ended(Began, at(over))
			j.Began("a", at(2*over))
			j.Final("a", Broken, at(3*over))
		}},
		"router was killed": {play: func(j *Judge) {
			j.Arrived("a", "r", true, start, patience).Ended(Read, start)
			j.Excuse("a")
		}},
	} {
		t.Run(name, func(t *testing.T) {
			j := New(limits)
			j.Sent("a", c.effect, "n", start, patience)
			c.play(j)
			var got []Rule
			for _, v := range j.Violations(at(2 * time.Hour)) {
				got = append(got, v.Rule)
			}
			require.Equal(t, c.want, got)
		})
	}
	j := New(limits)
	require.Nil(t, j.Arrived("unknown", "w", false, start, 0))
	j.Arrived("unknown", "w", false, start, 0).Ended(Began, start)
	require.Empty(t, j.Violations(start))
}

// A worker that an operator has suspended counts as leaving, whatever discovery reports.
func TestSuspendedWorkers(t *testing.T) {
	start := time.Now()
	late := start.Add(limits.Grace + 2*limits.Slack)
	for name, c := range map[string]struct {
		play func(j *Judge)
		want int
	}{
		"suspended":                   {func(j *Judge) { j.Suspended("r", "w", start) }, 1},
		"suspended, and returned":     {func(j *Judge) { j.Suspended("r", "w", start); j.Returned("r", "w") }, 1},
		"resumed":                     {func(j *Judge) { j.Suspended("r", "w", start); j.Resumed("r", "w") }, 0},
		"suspended at another router": {func(j *Judge) { j.Suspended("other", "w", start) }, 0},
		"resumed, but it leaves": {func(j *Judge) {
			j.Suspended("r", "w", start)
			j.Leaving("r", "w", start)
			j.Resumed("r", "w")
		}, 1},
	} {
		j := New(limits)
		j.Sent("a", logic.EffectRepeatable, "r", start, time.Minute)
		c.play(j)
		j.Arrived("a", "w", false, late, 0).Ended(Began, late)
		j.Final("a", Served, late)
		require.Len(t, j.Violations(late), c.want, name)
	}
}

// ExcuseUnread exempts a request only if no attempt of it has reached a worker.
func TestUnreadRequestsAreExcused(t *testing.T) {
	start := time.Now()
	for _, seen := range []bool{false, true} {
		j := New(limits)
		j.Sent("a", logic.EffectRepeatable, "r", start, time.Minute)
		if seen {
			j.Arrived("a", "w", false, start, 0).Ended(MayHaveRun, start)
		}
		j.ExcuseUnread("a")
		j.Final("a", Unanswered, start)
		require.Equal(t, seen, len(j.Violations(start)) > 0)
	}
}

// Too many attempts at a worker that has just started are a violation, unless they come from
// routers that were not informed of the start.
func TestOverloadOfAColdWorker(t *testing.T) {
	l := limits
	l.Cold = Cold{Share: 0.3, Within: 10 * time.Second, Multiple: 2.5, Window: 1500 * time.Millisecond}
	start := time.Now()
	for name, c := range map[string]struct {
		attempts int
		after    time.Duration
		informed time.Duration
		want     int
	}{
		"within the limit":             {attempts: 27, want: 0},
		"over the limit":               {attempts: 60, want: 1},
		"over the limit, not informed": {attempts: 60, informed: time.Minute, want: 0},
		"over the limit, once warm":    {attempts: 60, after: 11 * time.Second, want: 0},
	} {
		j := New(l)
		send := func(id, worker string, at time.Time) {
			j.Sent(id, logic.EffectRepeatable, "r", at, time.Hour)
			j.Arrived(id, worker, false, at, 0).Ended(Began, at)
			j.Final(id, Served, at)
		}
		for i := range 20 { // what a warm worker gets in a window
			send(fmt.Sprint("warm", i), "v", start.Add(time.Duration(i)*time.Millisecond))
		}
		j.Restarted("w", start, map[string]time.Time{"r": start.Add(c.informed)})
		for i := range c.attempts {
			send(fmt.Sprint("cold", i), "w", start.Add(c.after).Add(time.Duration(i)*10*time.Millisecond))
		}
		broken := 0
		for _, v := range j.Violations(start) {
			if v.Rule == Failback {
				broken++
			}
		}
		require.Equal(t, c.want, broken, name)
	}
}

// Streaming reports an open stream only if it began by the given time.
func TestStreamingCountsStreamsBegunByATime(t *testing.T) {
	j, start := New(Limits{}), time.Now()
	j.Sent("a", logic.EffectRepeatable, "n0", start, time.Second)
	require.False(t, j.Streaming("n0", start.Add(time.Hour)), "no answer has begun")
	j.Began("a", start.Add(time.Second))
	require.False(t, j.Streaming("n0", start))
	require.True(t, j.Streaming("n0", start.Add(time.Second)))
	require.False(t, j.Streaming("n1", start.Add(time.Second)))
	j.Final("a", Served, start.Add(2*time.Second))
	require.False(t, j.Streaming("n0", start.Add(time.Second)))
}
