package agent

import (
	"strconv"
	"sync"
	"time"

	"lichenshelf/cordon"
	"lichenshelf/fleet/attempts"
	"lichenshelf/fleet/budget"
	"lichenshelf/fleet/counts"
	"lichenshelf/fleet/verdict"
	"lichenshelf/logic"
	"lichenshelf/router"
)

// answerPart is the guess of an answer's length as part of its limit.
const answerPart = 0.3

// Core is what is told of the workers and of others' load there.
type Core interface {
	Discovered(members []router.Member, whole bool)
	Told(server logic.ServerID, l logic.Load)
}

// FrontConfig says whose workers are shared.
type FrontConfig struct {
	Name     string
	Settings logic.Settings
	Reports  bool // workers report their load themselves, others' part in it: it is not told twice
}

// Front is one front's part in the fleet: a permit for its core's attempts, what stands
// before its core, and what looks at its attempts on their way.
type Front struct {
	agent *Agent
	cfg   FrontConfig
	gate  *cordon.Gate
	core  Core

	// Behind the agent's lock.
	rules *attempts.Rules
	kinds map[string]int // by worker
}

// Front lets a front's workers be judged together with the other routers, and its
// attempts be spent from what all share. Take is to be called before anything is sent.
func (a *Agent) Front(cfg FrontConfig) *Front {
	f := &Front{agent: a, cfg: cfg, kinds: map[string]int{}, rules: attempts.New(attempts.Config{Front: cfg.Name,
		RepeatsPerSecond: a.cfg.Repeats, ColdPerSecond: a.cfg.Cold, WarmWithin: cfg.Settings.WarmWithin})}
	if a.cfg.Repeats > 0 {
		a.SetLimits(f.rules.Repeats(), map[string]float64{f.rules.Repeats(): a.cfg.Repeats})
	}
	return f
}

// Take returns what stands before the core: what lists workers tells it instead.
func (f *Front) Take(core Core) cordon.Taker {
	f.core, f.gate = core, cordon.NewGate(core)
	f.agent.mu.Lock()
	defer f.agent.mu.Unlock()
	f.agent.fronts = append(f.agent.fronts, f)
	return f
}

// Discovered implements cordon.Taker. A cold worker's budget is there before the core
// hears of the worker.
func (f *Front) Discovered(members []router.Member, whole bool) {
	list := make([]attempts.Worker, len(members))
	for i, m := range members {
		list[i] = attempts.Worker{Name: m.Name, Since: int64(m.Since), Gone: m.Health == logic.Gone}
	}
	a := f.agent
	a.mu.Lock()
	now := a.now()
	if whole {
		clear(f.kinds)
	}
	for _, m := range members {
		f.kinds[m.Name] = m.Kind
		if m.Health == logic.Gone {
			delete(f.kinds, m.Name)
		}
	}
	if f.rules.Listed(list, whole, time.Now().UnixNano(), attempts.Time(now)) {
		limits, _ := f.rules.Cold(attempts.Time(now))
		a.setLimits(f.rules.Prefix(), limits)
	}
	a.mu.Unlock()
	f.gate.Discovered(members, whole)
}

// thaw ends the budgets of workers that are warm by now.
func (f *Front) thaw(now time.Duration) {
	if limits, changed := f.rules.Cold(attempts.Time(now)); changed {
		f.agent.setLimits(f.rules.Prefix(), limits)
	}
}

// Allow implements router.Permit.
func (f *Front) Allow(w *router.Worker, repeat bool) router.Allowance {
	a := f.agent
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	switch f.rules.Spend(w.Name, repeat, attempts.Time(now), func(key string) bool { return a.ledger.Spend(key, 1, budget.Time(now)) }) {
	case attempts.TooCold:
		return router.NotThere
	case attempts.Repeats:
		return router.NotAgain
	}
	return router.MayGo
}

// Watch returns a transport that sends by t and notes what becomes of each attempt.
func (f *Front) Watch(t router.Transport) router.Transport { return &witness{t, f} }

type witness struct {
	router.Transport
	front *Front
}

// Send implements router.Transport.
func (w *witness) Send(at router.Attempt, sink router.Sink) func() {
	s := &watched{Sink: sink, agent: w.front.agent, worker: at.Worker.Name, since: at.Worker.Since()}
	s.work = w.front.work(at)
	s.agent.charge(s.worker, s.work)
	giveUp := w.Transport.Send(at, s)
	return func() {
		s.over()
		giveUp()
	}
}

// work is what an attempt puts on its worker.
func (f *Front) work(at router.Attempt) counts.Work {
	f.agent.mu.Lock()
	kind := f.kinds[at.Worker.Name]
	f.agent.mu.Unlock()
	w := counts.Work{Held: at.Request.PromptTokens + answerPart*at.Request.MaxTokens}
	switch f.role(kind) {
	case logic.RoleRead:
		return counts.Work{Unread: at.Request.PromptTokens}
	case logic.RoleBoth:
		w.Unread = at.Request.PromptTokens
	}
	return w
}

func (f *Front) role(kind int) logic.Role {
	if kinds := f.cfg.Settings.Kinds; kind < len(kinds) {
		return kinds[kind].Role
	}
	return logic.RoleBoth
}

func (f *Front) memory(kind int) float64 {
	if kinds := f.cfg.Settings.Kinds; kind < len(kinds) {
		return kinds[kind].MemoryTokens
	}
	return 0
}

// watched is the sink of an attempt that is looked at on its way.
type watched struct {
	router.Sink
	agent  *Agent
	worker string
	since  logic.Time

	mu   sync.Mutex
	work counts.Work // that is still out
}

// less notes that work is no longer out.
func (s *watched) less(take func(*counts.Work) counts.Work) {
	s.mu.Lock()
	done := take(&s.work)
	s.mu.Unlock()
	s.agent.charge(s.worker, counts.Work{Unread: -done.Unread, Held: -done.Held})
}

// read notes that the prompt waits there no longer.
func (s *watched) read() {
	s.less(func(w *counts.Work) counts.Work {
		done := counts.Work{Unread: w.Unread}
		w.Unread = 0
		return done
	})
}

// over notes that nothing of it is there any more.
func (s *watched) over() {
	s.less(func(w *counts.Work) counts.Work {
		done := *w
		*w = counts.Work{}
		return done
	})
}

// Started implements router.Sink.
func (s *watched) Started(a router.Answer) {
	s.read()
	s.agent.observe(s.worker, int64(s.since), verdict.None)
	s.Sink.Started(&answer{a, s})
}

// answer is one that has begun; its worker holds it until it is closed.
type answer struct {
	router.Answer
	of *watched
}

// Close implements io.Closer.
func (a *answer) Close() error {
	a.of.over()
	return a.Answer.Close()
}

// Ended implements router.Sink. What was turned away or called off says nothing.
func (s *watched) Ended(o router.Outcome) {
	s.over()
	switch {
	case o.Stale:
	case o.Status == logic.Served, o.Status == logic.PromptRead:
		s.agent.observe(s.worker, int64(s.since), verdict.None)
	case o.Status == logic.ServerError:
		s.agent.observe(s.worker, int64(s.since), verdict.Errors)
	case o.Status == logic.ConnectionReset:
		s.agent.observe(s.worker, int64(s.since), verdict.Resets)
	case o.Status == logic.ConnectFailed:
		s.agent.observe(s.worker, int64(s.since), verdict.Connect)
	}
	s.Sink.Ended(o)
}

func (a *Agent) charge(worker string, w counts.Work) {
	if w == (counts.Work{}) {
		return
	}
	a.mu.Lock()
	a.board.Add(worker, w)
	a.mu.Unlock()
}

func (a *Agent) observe(worker string, since int64, f verdict.Fault) {
	a.mu.Lock()
	a.court.Observe(worker, since, f, verdict.Time(a.now()))
	a.mu.Unlock()
}

// confer judges anew, and tells the cores what has come of it and of others' work.
func (a *Agent) confer() {
	a.mu.Lock()
	fronts := a.fronts
	a.mu.Unlock()
	if len(fronts) == 0 {
		return
	}
	var workers []verdict.Worker
	lines := make([][]router.Member, len(fronts))
	known := map[string]bool{}
	for i, f := range fronts {
		lines[i] = f.gate.Lines()
		for _, m := range lines[i] {
			workers = append(workers, verdict.Worker{Name: m.Name, Since: int64(m.Since), Kind: f.cfg.Name + strconv.Itoa(m.Kind), Zone: strconv.Itoa(m.Cell)})
			known[m.Name] = true
		}
	}
	now := a.now()
	peers := map[string]counts.Work{}
	own := map[string]counts.Work{}
	a.mu.Lock()
	a.court.Judge(verdict.Time(now))
	parts := a.court.Parts(workers, verdict.Time(now))
	tell := now-a.told >= a.cfg.Period.Duration && (a.told > 0 || a.board.Heard(counts.Time(now)) > 0)
	if tell {
		a.told = now
		a.board.Peers(counts.Time(now), func(w string, v counts.Work) { peers[w] = v })
		for name := range known {
			own[name] = a.board.Own(name)
		}
	}
	a.court.Keep(func(name string) bool { return known[name] })
	was := a.parts
	a.parts = parts
	a.mu.Unlock()
	a.noticeParts(was, parts)
	for i, f := range fronts {
		f.gate.Set(parts)
		if !tell || f.cfg.Reports {
			continue
		}
		for _, m := range lines[i] {
			// The decisions take the peers' part of the read load that a worker reports, and all of its memory.
			l := logic.Load{HasUnread: true, UnreadToken: peers[m.Name].Unread / a.peersPart()}
			if memory := f.memory(m.Kind); memory > 0 {
				l.HasMemory, l.MemoryShare = true, (own[m.Name].Held+peers[m.Name].Held)/memory
			}
			f.core.Told(m.Server, l)
		}
	}
}

// noticeParts logs who goes out and who comes back.
func (a *Agent) noticeParts(was, parts map[string]float64) {
	for name, part := range parts {
		if old, ok := was[name]; part == 0 && (!ok || old > 0) {
			a.log.WithField("worker", name).Warn("fleet: worker out for all by agreement")
			a.count.Add("fleet_workers_out", 1)
		}
	}
	for name, old := range was {
		if part, ok := parts[name]; old == 0 && (!ok || part > 0) {
			a.log.WithField("worker", name).Info("fleet: worker comes back")
		}
	}
}

// peersPart is the part of a worker's load that is others', as the decisions see it.
func (a *Agent) peersPart() float64 {
	n := float64(len(a.cfg.Routers))
	return (n - 1) / n
}
