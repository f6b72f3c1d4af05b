package rules

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lichenshelf/logic"
)

const window = 5 * time.Second

func TestNothingIsSentThatMayRunTwice(t *testing.T) {
	start := time.Now()
	at := func(d time.Duration) time.Time { return start.Add(d) }
	here := Place{Zone: 1, Cell: 1}
	for name, c := range map[string]struct {
		class  logic.Class
		first  Place
		status logic.Status
		lost   bool // it never reached its worker
		then   time.Duration
		to     Place
		want   Verdict
		refuse Verdict
	}{
		"repeatable":                      {class: logic.Class{}, status: logic.ConnectionReset},
		"once":                            {class: logic.Class{Effect: logic.EffectOnce}, status: logic.ConnectionReset, want: RanAlready, refuse: RanAlready},
		"once, timed out":                 {class: logic.Class{Effect: logic.EffectOnce}, status: logic.TimedOut, want: RanAlready, refuse: RanAlready},
		"once, never reached":             {class: logic.Class{Effect: logic.EffectOnce}, status: logic.ConnectFailed, lost: true},
		"once, no sign of arrival":        {class: logic.Class{Effect: logic.EffectOnce}, status: logic.ConnectionReset, lost: true, want: RanAlready, refuse: RanAlready},
		"once, turned away":               {class: logic.Class{Effect: logic.EffectOnce}, status: logic.Full},
		"once, at a reader":               {class: logic.Class{Effect: logic.EffectOnce}, first: Place{ReadsOnly: true}, status: logic.ConnectionReset},
		"by key":                          {class: logic.Class{Effect: logic.EffectByKey, RepeatWindow: window}, status: logic.ServerError, then: window},
		"by key, window over":             {class: logic.Class{Effect: logic.EffectByKey, RepeatWindow: window}, status: logic.ServerError, then: window + 1, want: WindowOver},
		"by key, in its zone":             {class: logic.Class{Effect: logic.EffectByKey, Group: logic.GroupZone, RepeatWindow: window}, first: here, status: logic.ServerError, to: Place{Zone: 1}, refuse: RanAlready},
		"by key, in another zone":         {class: logic.Class{Effect: logic.EffectByKey, Group: logic.GroupZone, RepeatWindow: window}, first: here, status: logic.ServerError, want: OutsideGroup, refuse: RanAlready},
		"by key, in another cell":         {class: logic.Class{Effect: logic.EffectByKey, Group: logic.GroupCell, RepeatWindow: window}, first: here, status: logic.ServerError, to: Place{Zone: 1}, want: OutsideGroup, refuse: RanAlready},
		"its time is over":                {class: logic.Class{}, status: logic.Full, then: time.Minute + ToldSlack + 1, want: TimeOver},
		"its time is over, in slack":      {class: logic.Class{}, status: logic.Full, then: time.Minute + ToldSlack},
		"what a worker rejects is no run": {class: logic.Class{Effect: logic.EffectOnce}, status: logic.Rejected},
	} {
		r := New(Config{Class: c.class, Deadline: at(time.Minute), MostTries: 3})
		require.Equal(t, Allowed, r.MaySend(start, Target{Place: c.first}), name)
		r.Sent(start, c.first)
		require.Equal(t, StillOut, r.MaySend(start, Target{Place: c.first}), name)
		r.Ended(at(time.Second), c.status, c.lost)
		require.Equal(t, c.want, r.MaySend(at(c.then), Target{Place: c.to}), name)
		require.Equal(t, c.refuse, r.MayRefuse(), name)
	}
}

func TestAnswersTriesHoldsAndLeavings(t *testing.T) {
	start := time.Now()
	deadline := start.Add(time.Second)
	late := deadline.Add(AnswerWithin + 1)
	r := New(Config{Deadline: deadline, MostTries: 2, HeldFor: 300 * time.Millisecond})
	require.Equal(t, Allowed, r.Overdue(deadline.Add(AnswerWithin)))
	require.Equal(t, NeverAnswered, r.Overdue(late))
	r.Skipped()
	r.Sent(start, Place{ReadsOnly: true})
	r.Ended(start, logic.PromptRead, false)
	require.Equal(t, HeldTooLong, r.Held(start.Add(600*time.Millisecond+1)))
	r.Sent(start, Place{})
	r.Ended(start, logic.ConnectFailed, true)
	require.Equal(t, Allowed, r.MaySend(start, Target{}))
	r.Sent(start, Place{})
	r.Ended(start, logic.Full, false)
	require.Equal(t, TriesSpent, r.MaySend(start, Target{}))
	require.Equal(t, TriesSpent, r.MaySend(start, Target{Fenced: true, Leaving: true}), "the bound goes before what may pass")
	require.Equal(t, AnsweredLate, r.Answer(late))
	require.Equal(t, Allowed, r.Overdue(late))
	require.Equal(t, Answered, r.MaySend(start, Target{}))

	gone := New(Config{Deadline: deadline})
	require.Equal(t, Fenced, gone.MaySend(start, Target{Fenced: true, Leaving: true}))
	require.Equal(t, WorkerLeaving, gone.MaySend(late, Target{Leaving: true}))
	gone.Sent(start.Add(GoneWithin+1), Place{})
	require.Equal(t, GoneTooLong, gone.Left(start))

	told, v := TimeToTell(start, start.Add(2*time.Second), deadline)
	require.Equal(t, time.Second, told)
	require.Equal(t, ToldTooMuch, v)
	told, v = TimeToTell(start, start.Add(time.Millisecond/2), deadline)
	require.Equal(t, time.Millisecond, told)
	require.Equal(t, Allowed, v)

	for v := Allowed; int(v) < len(names); v++ {
		require.NotEmpty(t, v.String())
		require.Equal(t, v > TriesSpent, v.Violation(), v.String())
	}
}

// The time of a read state runs until a worker has answered for it or it is let go of, whatever is sent meanwhile.
func TestAStateIsHeldUntilAWorkerAnswersOrItIsReleased(t *testing.T) {
	start := time.Now()
	const most = 300*time.Millisecond + HeldSlack
	ends := func(status logic.Status, unreached bool) func(*Request, time.Time) {
		return func(r *Request, now time.Time) { r.Ended(now, status, unreached) }
	}
	release := func(r *Request, now time.Time) { r.Released(now) }
	for name, c := range map[string]struct {
		at100, at200, at300 func(*Request, time.Time) // after the read, with an attempt out from the start
		from                time.Duration             // since when the state is held at last; negative: not at all
	}{
		"out, and no word":            {from: 0},
		"reset":                       {at100: ends(logic.ConnectionReset, false), from: 0},
		"called off":                  {at100: ends(logic.Cancelled, false), from: 0},
		"never reached":               {at100: ends(logic.ConnectFailed, true), from: 0},
		"turned away here":            {at100: ends(logic.Full, true), from: 0},
		"turned away":                 {at100: ends(logic.Full, false), from: 100 * time.Millisecond},
		"an error":                    {at100: ends(logic.ServerError, false), from: 100 * time.Millisecond},
		"released":                    {at100: release, from: -1},
		"released, then reset":        {at100: release, at200: ends(logic.ConnectionReset, false), from: 200 * time.Millisecond},
		"released, never reached":     {at100: release, at200: ends(logic.ConnectFailed, true), from: -1},
		"released, then turned away":  {at100: release, at200: ends(logic.Full, false), from: 200 * time.Millisecond},
		"reset, then released":        {at100: ends(logic.ConnectionReset, false), at200: release, from: -1},
		"released, reset, released":   {at100: release, at200: ends(logic.TimedOut, false), at300: release, from: -1},
		"answered":                    {at100: func(r *Request, now time.Time) { r.Began(now) }, from: -1},
		"answered after it was freed": {at100: release, at200: func(r *Request, now time.Time) { r.Began(now) }, from: -1},
		"read anew":                   {at100: ends(logic.PromptRead, false), from: 100 * time.Millisecond},
	} {
		r := New(Config{Deadline: start.Add(time.Minute), HeldFor: 300 * time.Millisecond})
		r.Sent(start, Place{ReadsOnly: true})
		r.Ended(start, logic.PromptRead, false)
		r.Sent(start, Place{})
		for i, act := range []func(*Request, time.Time){c.at100, c.at200, c.at300} {
			if act != nil {
				act(r, start.Add(time.Duration(i+1)*100*time.Millisecond))
			}
		}
		require.Equal(t, Allowed, r.Held(start.Add(max(c.from, 0)+most)), name)
		want := HeldTooLong
		if c.from < 0 {
			want = Allowed
		}
		require.Equal(t, want, r.Held(start.Add(max(c.from, 0)+most+1)), name)
		require.Equal(t, Allowed, r.Held(start.Add(time.Hour)), name+": told once")
	}
	r := New(Config{HeldFor: 300 * time.Millisecond})
	r.Ended(start, logic.PromptRead, false)
	require.Equal(t, HeldTooLong, r.Released(start.Add(most+1)), "a release that comes too late")
	require.Equal(t, Allowed, r.Held(start.Add(time.Hour)))
}

// Whoever asks before each act runs nothing twice, whatever becomes of the attempts.
func TestWhoAsksFirstBreaksNoRule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		class := logic.Class{Effect: logic.Effect(rapid.IntRange(0, 2).Draw(t, "effect")), Group: logic.Group(rapid.IntRange(0, 2).Draw(t, "group")), RepeatWindow: window}
		now := time.Now()
		r := New(Config{Class: class, Deadline: now.Add(20 * time.Second), MostTries: 5})
		type run struct {
			at   time.Time
			zone int
		}
		var runs []run
		for range 12 {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			to := Place{Zone: rapid.IntRange(0, 1).Draw(t, "zone"), ReadsOnly: rapid.Bool().Draw(t, "reader")}
			if r.MaySend(now, Target{Place: to}) != Allowed {
				continue
			}
			r.Sent(now, to)
			status := logic.Status(rapid.IntRange(int(logic.Served), int(logic.Rejected)).Draw(t, "status"))
			r.Ended(now, status, false)
			switch status {
			case logic.Full, logic.ConnectFailed, logic.NotSent, logic.Rejected, logic.PromptRead:
			default:
				if !to.ReadsOnly {
					runs = append(runs, run{now, to.Zone})
				}
			}
		}
		for _, again := range runs[min(1, len(runs)):] {
			require.NotEqual(t, logic.EffectOnce, class.Effect)
			if class.Effect == logic.EffectByKey {
				require.LessOrEqual(t, again.at.Sub(runs[0].at), window)
				require.True(t, class.Group != logic.GroupZone || again.zone == runs[0].zone)
			}
		}
	})
}

// Nobody answers what could not be read: a request whose connection waited past its time is to be answered as it is read.
func TestARequestThatIsReadLateIsAnsweredAtOnce(t *testing.T) {
	deadline := time.Now()
	for read, last := range map[time.Duration]time.Duration{
		-time.Second:               AnswerWithin,
		AnswerWithin - time.Second: AnswerWithin,
		AnswerWithin:               AnswerWithin + AnswerUnread,
		time.Minute:                time.Minute + AnswerUnread,
	} {
		r := New(Config{Deadline: deadline, Read: deadline.Add(read)})
		require.Equal(t, Allowed, r.Overdue(deadline.Add(last)), read)
		require.Equal(t, NeverAnswered, r.Overdue(deadline.Add(last+1)), read)
		require.Equal(t, Allowed, r.Answer(deadline.Add(last)), read)
		require.Equal(t, AnsweredLate, r.Answer(deadline.Add(last+1)), read)
	}
}
