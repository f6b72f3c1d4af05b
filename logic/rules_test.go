package logic

import (
	"math/rand/v2"
	"reflect"
	"testing"
	"time"
)

func testSettings() Settings {
	return Settings{
		Gateways: 2,
		Classes: []Class{
			{Aim: time.Second, AimPer1000: 50 * time.Millisecond, TokenAim: 50 * time.Millisecond, Points: 3},
			{Aim: time.Second, AimPer1000: 50 * time.Millisecond, Points: 1, Effect: EffectOnce},
			{Aim: time.Second, AimPer1000: 50 * time.Millisecond, Points: 1, Effect: EffectByKey,
				Group: GroupZone, RepeatWindow: 2 * time.Second},
		},
		Tenants:       []Tenant{{QuotaPerSecond: 20}},
		Kinds:         []Kind{{Role: RoleRead}, {Role: RoleWrite, MemoryTokens: 1e5}, {Role: RoleBoth, MemoryTokens: 1e5}},
		CancelAllowed: true, RetryAfter: true, MaxRetryAfter: time.Second, MaxAttempts: 5,
		ConnectTimeout: 250 * time.Millisecond, OverShareWorth: 0.05, DrainGrace: 250 * time.Millisecond,
		ColdShare: 0.3, WarmWithin: 10 * time.Second, FallMultiple: 2.5, FallAfter: 2 * time.Second,
		ReleaseWithin: time.Second,
	}
}

// ruleChecker gives a gateway arbitrary legal outcomes and checks every action against the rules.
type ruleChecker struct {
	t           *testing.T
	set         Settings
	serverCount int
	g           *Gateway
	rng         *rand.Rand
	lost        float64 // part of the attempts that never arrive
	now         Time
	members     map[ServerID]Member
	leftAt      map[ServerID]Time
	reqs        map[RequestID]*checkedRequest
	ids         []RequestID
	timers      []checkedTimer
	log         []Action
}

type checkedRequest struct {
	id                       RequestID
	class                    int
	deadline                 Time
	inFlight, ended, started bool
	state                    bool // a read state is held somewhere
	// Since when no attempt that has arrived is in flight while a state is held.
	idleSince Time
	// The attempt in flight never arrives, and nothing reports that.
	lost              bool
	server            ServerID
	sentAt, timeoutAt Time
	sends             int
	mayHaveRun        bool
	ranAt             Time
	ranZone           int
	cancelled         bool
}

type checkedTimer struct {
	at    Time
	token uint64
}

func (w *ruleChecker) deliver(events ...Event) {
	w.t.Helper()
	acts := w.g.Handle(w.now, events, nil)
	w.log = append(w.log, acts...)
	for _, a := range acts {
		w.apply(a)
	}
}

func (w *ruleChecker) apply(a Action) {
	w.t.Helper()
	if a.Kind == SetTimer {
		if a.After <= 0 {
			w.t.Fatalf("timer after %v", a.After)
		}
		w.timers = append(w.timers, checkedTimer{w.now + Time(a.After), a.Token})
		return
	}
	r := w.reqs[a.ID]
	if r == nil {
		w.t.Fatalf("action %v for an unknown request", a)
	}
	c := w.set.Classes[r.class]
	switch a.Kind {
	case Send:
		m, ok := w.members[a.Server]
		switch {
		case r.ended:
			w.t.Fatalf("send after the end of %d", r.id)
		case r.inFlight:
			w.t.Fatalf("two attempts of %d in flight", r.id)
		case !ok:
			w.t.Fatalf("send to unlisted server %d", a.Server)
		case m.Health != Ready && between(w.leftAt[a.Server], w.now) > w.set.DrainGrace:
			w.t.Fatalf("send to leaving server %d", a.Server)
		case r.sends >= w.set.MaxAttempts:
			w.t.Fatalf("attempt %d of %d", r.sends, r.id)
		case a.After <= 0:
			w.t.Fatalf("time-out %v", a.After)
		case r.mayHaveRun && c.Effect == EffectOnce:
			w.t.Fatalf("once request %d sent again", r.id)
		case r.mayHaveRun && c.Effect == EffectByKey &&
			(m.Zone != r.ranZone || between(r.ranAt, w.now) > c.RepeatWindow):
			w.t.Fatalf("by-key request %d sent outside its group or window", r.id)
		}
		r.inFlight, r.server, r.sentAt, r.cancelled = true, a.Server, w.now, false
		r.timeoutAt = min(w.now+Time(a.After), r.deadline)
		r.sends++
		r.lost = w.rng.Float64() < w.lost
	case Refuse, Fail:
		if r.ended || r.inFlight {
			w.t.Fatalf("final answer for %d, ended %v, in flight %v", r.id, r.ended, r.inFlight)
		}
		if a.Kind == Refuse && r.mayHaveRun && c.Effect != EffectRepeatable {
			w.t.Fatalf("refusal of %d that may have run", r.id)
		}
		r.ended = true
	case Release:
		if !r.inFlight || r.lost {
			r.state = false
		}
	case CancelAttempt:
		if a.Attempt != r.sends-1 {
			w.t.Fatalf("cancellation of attempt %d of %d", a.Attempt, r.sends)
		}
		r.cancelled = r.inFlight
	}
}

// end delivers the outcome of an attempt.
func (w *ruleChecker) end(r *checkedRequest, st Status) {
	w.t.Helper()
	m := w.members[r.server]
	role := w.set.Kinds[m.Kind].Role
	e := Event{Kind: AttemptEnded, ID: r.id, Attempt: r.sends - 1, Server: r.server, Status: st,
		Latency: between(r.sentAt, w.now)}
	switch st {
	case PromptRead:
		r.state = true
		e.Kept = uint32(w.rng.IntN(2000))
	case Served:
		r.state, r.ended = false, true
	case Full:
		if e.Kept = uint32(w.rng.IntN(2)); w.rng.IntN(3) > 0 {
			break // an unreachable reader may still hold the state
		}
		r.state = r.state && e.Kept == 0
	case TimedOut, Cancelled:
		r.state = r.state && role != RoleRead
	}
	ran := st == ServerError || st == TimedOut || st == ConnectionReset || st == Cancelled
	if ran && role != RoleRead && !r.mayHaveRun {
		r.mayHaveRun, r.ranAt, r.ranZone = true, r.sentAt, m.Zone
	}
	if r.started {
		r.ended = true
	}
	if r.inFlight = false; !r.lost {
		r.idleSince = w.now
	}
	e.Closed = r.ended
	w.deliver(e)
}

func (w *ruleChecker) check() {
	w.t.Helper()
	for _, id := range w.ids {
		r := w.reqs[id]
		if !r.ended && !r.inFlight && w.now >= r.deadline {
			w.t.Fatalf("request %d lost at its deadline", id)
		}
		if r.state && (!r.inFlight || r.lost) && between(r.idleSince, w.now) > w.set.ReleaseWithin {
			w.t.Fatalf("read state of request %d held past ReleaseWithin", id)
		}
	}
}

func (w *ruleChecker) arrive() {
	id := RequestID(len(w.ids) + 1)
	q := Request{ID: id, Class: w.rng.IntN(3), Session: Key(w.rng.IntN(50)), Prefix: Key(w.rng.IntN(5)),
		PromptTokens: 100 + 3000*w.rng.Float64(), PrefixTokens: 2000 * w.rng.Float64(), MaxTokens: 200,
		Resumed: w.rng.IntN(20) == 0, Patience: time.Duration(200+w.rng.IntN(4000)) * time.Millisecond}
	w.reqs[id] = &checkedRequest{id: id, class: q.Class, deadline: w.now + Time(q.Patience)}
	w.ids = append(w.ids, id)
	w.deliver(Event{Kind: Arrived, Request: q})
}

func (w *ruleChecker) changeRandomServer() {
	id := ServerID(1 + w.rng.IntN(w.serverCount))
	m := Member{Server: id, Weight: 1, Kind: int(id) % 3, Cell: int(id) % 2, Zone: int(id) % 2}
	m.Health = []Health{Ready, Ready, Draining, Gone}[w.rng.IntN(4)]
	if w.rng.IntN(2) == 0 {
		m.Since = w.now
	}
	if m.Health == Ready {
		delete(w.leftAt, id)
	} else if _, ok := w.leftAt[id]; !ok {
		w.leftAt[id] = w.now
	}
	w.members[id] = m
	w.deliver(Event{Kind: ServersChanged, Members: []Member{m}})
}

func playRandomEvents(t *testing.T, seed uint64, gateways, servers, steps int) []Action {
	set := testSettings()
	set.Gateways = gateways
	w := &ruleChecker{t: t, set: set, serverCount: servers, rng: rand.New(rand.NewPCG(seed, 1)), now: Time(seed%7) * 1e12,
		members: map[ServerID]Member{}, leftAt: map[ServerID]Time{}, reqs: map[RequestID]*checkedRequest{}}
	w.g = New(w.set, seed)
	var all []Member
	for id := ServerID(1); id <= ServerID(servers); id++ {
		m := Member{Server: id, Weight: 1, Kind: int(id) % 3, Cell: int(id) % 2, Zone: int(id) % 2}
		all = append(all, m)
		w.members[id] = m
	}
	w.deliver(Event{Kind: ServersChanged, Whole: true, Members: all})
	bad := w.rng.Float64() * 0.6
	w.lost = []float64{0, 0.02, 0.3}[w.rng.IntN(3)]
	for step := 0; step < steps; step++ {
		w.now += Time(4 * time.Millisecond)
		if step < steps*5/8 && w.rng.IntN(4) == 0 {
			w.arrive()
		}
		if w.rng.IntN(200) == 0 {
			w.changeRandomServer()
		}
		due := w.timers
		w.timers = nil
		for _, tm := range due {
			if tm.at <= w.now {
				w.deliver(Event{Kind: TimerFired, Token: tm.token})
			} else {
				w.timers = append(w.timers, tm)
			}
		}
		for _, id := range w.ids {
			w.step(w.reqs[id], bad)
		}
		w.check()
	}
	if len(w.g.requests) != 0 {
		t.Fatalf("%d requests remain after all have ended", len(w.g.requests))
	}
	return w.log
}

// step advances one attempt.
func (w *ruleChecker) step(r *checkedRequest, bad float64) {
	if !r.ended && !r.started && w.rng.IntN(3000) == 0 {
		if r.ended = true; !r.lost {
			r.idleSince = w.now
		}
		w.deliver(Event{Kind: ClientLeft, ID: r.id})
	}
	if !r.inFlight {
		return
	}
	role := w.set.Kinds[w.members[r.server].Kind].Role
	switch {
	case !r.started && w.now >= r.timeoutAt:
		w.end(r, TimedOut)
	case r.cancelled:
		w.end(r, Cancelled)
	case w.rng.IntN(20) > 0:
	case r.lost && w.rng.IntN(20) == 0: // the connection finally breaks
		w.end(r, ConnectionReset)
	case r.lost:
	case w.rng.Float64() < bad && !r.started:
		w.end(r, []Status{ServerError, Full, ConnectFailed, ConnectionReset}[w.rng.IntN(4)])
	case r.started && w.rng.Float64() < bad:
		w.end(r, ConnectionReset)
	case role == RoleRead:
		w.end(r, PromptRead)
	case !r.started:
		r.started, r.state = true, false
		w.deliver(Event{Kind: AnswerStarted, ID: r.id, Attempt: r.sends - 1, Server: r.server,
			Latency: between(r.sentAt, w.now)})
	default:
		w.end(r, Served)
	}
}

// The rules hold under random failures, and the same events give the same actions.
func TestRulesUnderRandomFailures(t *testing.T) {
	for seed := uint64(1); seed <= 12; seed++ {
		if a, b := playRandomEvents(t, seed, 2, 9, 4000), playRandomEvents(t, seed, 2, 9, 4000); !reflect.DeepEqual(a, b) {
			t.Fatalf("seed %d: the same events gave different actions", seed)
		}
	}
	for seed, gateways := range []int{1, 8, 80, 300} { // one of this many, with 100 servers
		for again := range 3 {
			playRandomEvents(t, uint64(20+10*again+seed), gateways, 100, 3000)
		}
	}
}
