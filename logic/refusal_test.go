package logic

import (
	"testing"
	"time"
)

// A request that cannot be sent any more ends with a reason. Of several reasons it gets the one
// that an operator would check first.
func TestRefusalReasons(t *testing.T) {
	const (
		attempts = 3
		window   = 2 * time.Second
	)
	set := Settings{MaxAttempts: attempts, Kinds: []Kind{{Role: RoleBoth}}, Classes: []Class{
		{Aim: time.Second},
		{Aim: time.Second, Effect: EffectOnce},
		{Aim: time.Second, Effect: EffectByKey, RepeatWindow: window},
	}}
	now := Time(time.Minute)
	mayRun := func(class int, since time.Duration) func(*request, *Gateway) {
		return func(r *request, _ *Gateway) {
			r.Class, r.mayHaveRun, r.ranAt = class, true, now-Time(since)
		}
	}
	for name, c := range map[string]struct {
		change func(*request, *Gateway)
		want   Why
	}{
		"nothing prevents it":                    {func(*request, *Gateway) {}, WhyNone},
		"one attempt left":                       {func(r *request, _ *Gateway) { r.sends = attempts - 1 }, WhyNone},
		"no attempt left":                        {func(r *request, _ *Gateway) { r.sends = attempts }, WhyAttemptsSpent},
		"one of them never arrived":              {func(r *request, _ *Gateway) { r.sends, r.unreached = attempts, 1 }, WhyNone},
		"no time left":                           {func(r *request, _ *Gateway) { r.deadline = now + Time(deadlineMargin) }, WhyDeadlineExceeded},
		"a little time left":                     {func(r *request, _ *Gateway) { r.deadline = now + Time(deadlineMargin) + 1 }, WhyNone},
		"may have run, without effect":           {mayRun(0, 0), WhyNone},
		"may have run, once only":                {mayRun(1, 0), WhyMayHaveRun},
		"may have run, within its window":        {mayRun(2, window-1), WhyNone},
		"may have run, past its window":          {mayRun(2, window), WhyMayHaveRun},
		"the router is closing":                  {func(_ *request, g *Gateway) { g.closing = true }, WhyClosing},
		"the router is closing, no attempt left": {func(r *request, g *Gateway) { g.closing, r.sends = true, attempts }, WhyClosing},
	} {
		t.Run(name, func(t *testing.T) {
			g := New(set, 1)
			g.now = now
			r := &request{classes: g.settings.Classes, maxAttempts: attempts, deadline: now + Time(time.Second)}
			c.change(r, g)
			if got := g.refusalReason(r); got != c.want {
				t.Errorf("%v, want %v", got, c.want)
			}
		})
	}
}
