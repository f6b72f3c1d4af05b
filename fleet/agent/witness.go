package agent

import (
	"strconv"
	"sync"

	"lichenshelf/cordon"
	"lichenshelf/fleet/counts"
	"lichenshelf/fleet/verdict"
	"lichenshelf/logic"
	"lichenshelf/router"
)

// Core is what is told of the workers and of others' load there.
type Core interface {
	Discovered(members []router.Member, whole bool)
	Told(server logic.ServerID, l logic.Load)
}

// Join lets a front's workers be judged together with the other routers, and its core
// hear of their work. What lists workers tells the returned taker instead of the core.
func (a *Agent) Join(core Core) cordon.Taker {
	g := cordon.NewGate(core)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.gate, a.core = g, core
	return g
}

// Watch returns a transport that sends by t and notes what becomes of each attempt.
func (a *Agent) Watch(t router.Transport) router.Transport { return &witness{t, a} }

type witness struct {
	router.Transport
	agent *Agent
}

// Send implements router.Transport.
func (w *witness) Send(at router.Attempt, sink router.Sink) func() {
	s := &watched{Sink: sink, agent: w.agent, worker: at.Worker.Name, since: at.Worker.Since(), tokens: at.Request.PromptTokens}
	w.agent.charge(s.worker, s.tokens)
	giveUp := w.Transport.Send(at, s)
	return func() {
		s.read()
		giveUp()
	}
}

// watched is the sink of an attempt that is looked at on its way.
type watched struct {
	router.Sink
	agent  *Agent
	worker string
	since  logic.Time
	tokens float64
	once   sync.Once
}

// read notes that the prompt waits there no longer.
func (s *watched) read() { s.once.Do(func() { s.agent.charge(s.worker, -s.tokens) }) }

// Started implements router.Sink.
func (s *watched) Started(a router.Answer) {
	s.read()
	s.agent.observe(s.worker, int64(s.since), verdict.None)
	s.Sink.Started(a)
}

// Ended implements router.Sink. What was turned away or called off says nothing.
func (s *watched) Ended(o router.Outcome) {
	s.read()
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

func (a *Agent) charge(worker string, tokens float64) {
	a.mu.Lock()
	a.board.Add(worker, tokens)
	a.mu.Unlock()
}

func (a *Agent) observe(worker string, since int64, f verdict.Fault) {
	a.mu.Lock()
	a.court.Observe(worker, since, f, verdict.Time(a.now()))
	a.mu.Unlock()
}

// confer judges anew, and tells the core what has come of it and of others' work.
func (a *Agent) confer() {
	a.mu.Lock()
	gate, core := a.gate, a.core
	a.mu.Unlock()
	if gate == nil {
		return
	}
	lines := gate.Lines()
	workers := make([]verdict.Worker, len(lines))
	ids := make(map[string]logic.ServerID, len(lines))
	for i, m := range lines {
		workers[i] = verdict.Worker{Name: m.Name, Since: int64(m.Since), Kind: strconv.Itoa(m.Kind), Zone: strconv.Itoa(m.Cell)}
		ids[m.Name] = m.Server
	}
	now := a.now()
	loads := make(map[string]float64, len(lines))
	a.mu.Lock()
	a.court.Judge(verdict.Time(now))
	parts := a.court.Parts(workers, verdict.Time(now))
	tell := now-a.told >= a.cfg.Period.Duration && a.board.Heard(counts.Time(now)) > 0
	if tell {
		a.told = now
		a.board.Peers(counts.Time(now), func(w string, v float64) { loads[w] = v })
	}
	a.court.Keep(func(name string) bool { _, ok := ids[name]; return ok })
	was := a.parts
	a.parts = parts
	a.mu.Unlock()
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
	gate.Set(parts)
	if !tell {
		return
	}
	for name, id := range ids {
		// The decisions take the peers' part of what a worker reports.
		core.Told(id, logic.Load{HasUnread: true, UnreadToken: loads[name] / a.peersPart()})
	}
}

// peersPart is the part of a worker's load that is others', as the decisions see it.
func (a *Agent) peersPart() float64 {
	n := float64(len(a.cfg.Routers))
	return (n - 1) / n
}
