package rules

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lichenshelf/logic"
)

const window = 5 * time.Second

func TestRepeatsThatMayRunTwiceAreDenied(t *testing.T) {
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
		want   Result
		refuse Result
	}{
		"repeatable":                   {class: logic.Class{}, status: logic.ConnectionReset},
		"once":                         {class: logic.Class{Effect: logic.EffectOnce}, status: logic.ConnectionReset, want: MayHaveRun, refuse: MayHaveRun},
		"once, timed out":              {class: logic.Class{Effect: logic.EffectOnce}, status: logic.TimedOut, want: MayHaveRun, refuse: MayHaveRun},
		"once, never reached":          {class: logic.Class{Effect: logic.EffectOnce}, status: logic.ConnectFailed, lost: true},
		"once, no sign of arrival":     {class: logic.Class{Effect: logic.EffectOnce}, status: logic.ConnectionReset, lost: true, want: MayHaveRun, refuse: MayHaveRun},
		"once, turned away":            {class: logic.Class{Effect: logic.EffectOnce}, status: logic.Full},
		"once, at a reader":            {class: logic.Class{Effect: logic.EffectOnce}, first: Place{ReadsOnly: true}, status: logic.ConnectionReset},
		"by key":                       {class: logic.Class{Effect: logic.EffectByKey, RepeatWindow: window}, status: logic.ServerError, then: window},
		"by key, window over":          {class: logic.Class{Effect: logic.EffectByKey, RepeatWindow: window}, status: logic.ServerError, then: window + 1, want: WindowExpired},
		"by key, in its zone":          {class: logic.Class{Effect: logic.EffectByKey, Group: logic.GroupZone, RepeatWindow: window}, first: here, status: logic.ServerError, to: Place{Zone: 1}, refuse: MayHaveRun},
		"by key, in another zone":      {class: logic.Class{Effect: logic.EffectByKey, Group: logic.GroupZone, RepeatWindow: window}, first: here, status: logic.ServerError, want: OutsideGroup, refuse: MayHaveRun},
		"by key, in another cell":      {class: logic.Class{Effect: logic.EffectByKey, Group: logic.GroupCell, RepeatWindow: window}, first: here, status: logic.ServerError, to: Place{Zone: 1}, want: OutsideGroup, refuse: MayHaveRun},
		"its time is over":             {class: logic.Class{}, status: logic.Full, then: time.Minute + TimeoutSlack + 1, want: DeadlineExpired},
		"its time is over, in slack":   {class: logic.Class{}, status: logic.Full, then: time.Minute + TimeoutSlack},
		"once, rejected by its worker": {class: logic.Class{Effect: logic.EffectOnce}, status: logic.Rejected},
	} {
		r := New(Config{Class: c.class, Deadline: at(time.Minute), MaxAttempts: 3})
		require.Equal(t, Allowed, r.MaySend(start, Target{Place: c.first}), name)
		r.Sent(start, c.first)
		require.Equal(t, AttemptInFlight, r.MaySend(start, Target{Place: c.first}), name)
		r.Ended(at(time.Second), c.status, c.lost)
		require.Equal(t, c.want, r.MaySend(at(c.then), Target{Place: c.to}), name)
		require.Equal(t, c.refuse, r.MayRefuse(), name)
	}
}

func TestLimitsOnAnswersAttemptsHoldsAndLeaving(t *testing.T) {
	start := time.Now()
	deadline := start.Add(time.Second)
	late := deadline.Add(AnswerWithin + 1)
	r := New(Config{Deadline: deadline, MaxAttempts: 2, HeldFor: 300 * time.Millisecond})
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
	require.Equal(t, AttemptsExhausted, r.MaySend(start, Target{}))
	require.Equal(t, AttemptsExhausted, r.MaySend(start, Target{Fenced: true, Leaving: true}), "the bound takes precedence over what may change")
	require.Equal(t, AnsweredLate, r.Answer(late))
	require.Equal(t, Allowed, r.Overdue(late))
	require.Equal(t, AlreadyAnswered, r.MaySend(start, Target{}))

	left := New(Config{Deadline: deadline})
	require.Equal(t, Fenced, left.MaySend(start, Target{Fenced: true, Leaving: true}))
	require.Equal(t, WorkerLeaving, left.MaySend(late, Target{Leaving: true}))
	left.Sent(start.Add(ClientLeftSlack+1), Place{})
	require.Equal(t, SentAfterClientLeft, left.ClientLeft(start))

	timeout, v := WorkerTimeout(start, start.Add(2*time.Second), deadline)
	require.Equal(t, time.Second, timeout)
	require.Equal(t, TimeoutTooLong, v)
	timeout, v = WorkerTimeout(start, start.Add(time.Millisecond/2), deadline)
	require.Equal(t, time.Millisecond, timeout)
	require.Equal(t, Allowed, v)

	for v := Allowed; int(v) < len(resultNames); v++ {
		require.NotEmpty(t, v.String())
		require.Equal(t, v > AttemptsExhausted, v.Violation(), v.String())
	}
}

// A read state counts as held until a worker has answered for it or it is released, whatever is
// sent meanwhile.
func TestReadStateIsHeldUntilAnsweredOrReleased(t *testing.T) {
	start := time.Now()
	const limit = 300*time.Millisecond + HeldSlack
	ends := func(status logic.Status, unreached bool) func(*Request, time.Time) {
		return func(r *Request, now time.Time) { r.Ended(now, status, unreached) }
	}
	release := func(r *Request, now time.Time) { r.Released(now) }
	for name, c := range map[string]struct {
		// after the read, with an attempt in flight from the start
		at100, at200, at300 func(*Request, time.Time)
		// since when the state is held at the end; negative if it is not
		from time.Duration
	}{
		"in flight without an answer": {from: 0},
		"reset":                       {at100: ends(logic.ConnectionReset, false), from: 0},
		"cancelled":                   {at100: ends(logic.Cancelled, false), from: 0},
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
		"answered":                    {at100: func(r *Request, now time.Time) { r.AnswerBegan(now) }, from: -1},
		"answered after it was freed": {at100: release, at200: func(r *Request, now time.Time) { r.AnswerBegan(now) }, from: -1},
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
		require.Equal(t, Allowed, r.Held(start.Add(max(c.from, 0)+limit)), name)
		want := HeldTooLong
		if c.from < 0 {
			want = Allowed
		}
		require.Equal(t, want, r.Held(start.Add(max(c.from, 0)+limit+1)), name)
		require.Equal(t, Allowed, r.Held(start.Add(time.Hour)), name+": reported once")
	}
	r := New(Config{HeldFor: 300 * time.Millisecond})
	r.Ended(start, logic.PromptRead, false)
	require.Equal(t, HeldTooLong, r.Released(start.Add(limit+1)), "a late release")
	require.Equal(t, Allowed, r.Held(start.Add(time.Hour)))
}

// If every action is checked first, nothing runs twice, whatever happens to the attempts.
func TestCheckedAttemptsNeverRunTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		class := logic.Class{Effect: logic.Effect(rapid.IntRange(0, 2).Draw(t, "effect")), Group: logic.Group(rapid.IntRange(0, 2).Draw(t, "group")), RepeatWindow: window}
		now := time.Now()
		r := New(Config{Class: class, Deadline: now.Add(20 * time.Second), MaxAttempts: 5})
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
			now = now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "waits, ms")) * time.Millisecond)
			if r.MayStart(now, Target{Place: to}) != Allowed {
				r.Ended(now, logic.Full, true)
				continue
			}
			require.Equal(t, Allowed, r.Written(now))
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

// Guards against attempts that are sent after they have waited, though what allowed them has passed
// meanwhile.
func TestAttemptIsCheckedAgainAfterItsWait(t *testing.T) {
	start := time.Now()
	byKey := logic.Class{Effect: logic.EffectByKey, RepeatWindow: window}
	for name, c := range map[string]struct {
		class logic.Class
		waits time.Duration
		to    Target
		left  bool
		want  Result
	}{
		"at the end of its window": {class: byKey, waits: window},
		"window over":              {class: byKey, waits: window + 1, want: WindowExpired},
		"repeatable":               {waits: window + 1},
		"worker began to drain":    {class: byKey, to: Target{Leaving: true}, want: WorkerLeaving},
		"fenced":                   {class: byKey, to: Target{Fenced: true}, want: Fenced},
		"its time is over":         {waits: time.Minute + TimeoutSlack + 1, want: DeadlineExpired},
		"client left":              {class: byKey, left: true, want: AlreadyAnswered},
	} {
		r := New(Config{Class: c.class, Deadline: start.Add(time.Minute), MaxAttempts: 3})
		require.Zero(t, r.RepeatBy(), name)
		r.Sent(start, Place{})
		require.Equal(t, Allowed, r.Written(start.Add(time.Hour)), name+": a first attempt is no repeat")
		r.Ended(start, logic.ConnectionReset, false)
		r.Sent(start, Place{})
		if c.left {
			r.ClientLeft(start)
		}
		require.Equal(t, c.want, r.MayStart(start.Add(c.waits), c.to), name)
		if c.class == byKey {
			require.Equal(t, start.Add(window), r.RepeatBy(), name)
			require.Equal(t, Allowed, r.Written(start.Add(window+SendSlack)), name)
			require.Equal(t, WindowExpired, r.Written(start.Add(window+SendSlack+1)), name)
		} else {
			require.Zero(t, r.RepeatBy(), name)
		}
	}
}

// A request whose connection waited past its client's time must be answered soon after it is read.
func TestAnswerDeadlineOfARequestReadLate(t *testing.T) {
	deadline := time.Now()
	for read, last := range map[time.Duration]time.Duration{
		-time.Second:               AnswerWithin,
		AnswerWithin - time.Second: AnswerWithin,
		AnswerWithin:               AnswerWithin + LateReadAnswerWithin,
		time.Minute:                time.Minute + LateReadAnswerWithin,
	} {
		r := New(Config{Deadline: deadline, Read: deadline.Add(read)})
		require.Equal(t, Allowed, r.Overdue(deadline.Add(last)), read)
		require.Equal(t, NeverAnswered, r.Overdue(deadline.Add(last+1)), read)
		require.Equal(t, Allowed, r.Answer(deadline.Add(last)), read)
		require.Equal(t, AnsweredLate, r.Answer(deadline.Add(last+1)), read)
	}
}
