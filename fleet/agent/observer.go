package agent

import (
	"maps"
	"slices"
	"sync"
	"time"

	"lichenshelf/cordon"
	"lichenshelf/fleet/attempts"
	"lichenshelf/fleet/counts"
	"lichenshelf/fleet/node"
	"lichenshelf/fleet/outlier"
	"lichenshelf/logic"
	"lichenshelf/router"
)

// Core is the router's core. It receives the workers, other routers' load there, and the zones'
// cost factors.
type Core interface {
	Discovered(members []router.Member, whole bool)
	ReportLoad(server logic.ServerID, l logic.Load)
	SetZones(factors []float64)
}

// Front connects one front to the fleet. It permits the attempts of the front's core, filters the
// lists of workers that the core gets, and observes the attempts.
type Front struct {
	agent    *Agent
	cfg      node.FrontConfig
	state    *node.Front // guarded by the agent's lock; nil until the core is connected
	gate     *cordon.Gate
	core     Core
	recorder Recorder // nil: no event log
	zones    zoneTraffic
}

// Recorder writes a front's events to the event log. Its methods must not block.
type Recorder interface {
	// Sent records an attempt that is sent now to the worker that started at since.
	Sent(worker string, since int64)
	// Failed records how an attempt failed.
	Failed(worker string, since int64, request, how string)
	// Out records that a worker gets no new attempts from at most grace later on or, if out is
	// false, that it may get attempts again.
	Out(worker string, since int64, out bool, grace time.Duration)
}

// Front adds a front. Its workers are judged together with the other routers, and its attempts
// are taken out of the budgets that all routers share. The core must be connected before anything
// is sent. If recorder is nil, no events are recorded.
func (a *Agent) Front(cfg node.FrontConfig, recorder Recorder) *Front {
	return &Front{agent: a, cfg: cfg, recorder: recorder}
}

// Attach connects the front to its core. It returns the front, which must receive the lists of
// workers in place of the core.
func (f *Front) Attach(core Core) cordon.MemberReceiver {
	f.core, f.gate = core, cordon.NewGate(core)
	if f.recorder != nil {
		f.gate = cordon.NewGate(&outRecorder{core: core, front: f, out: map[string]bool{}, known: map[string]int64{}})
	}
	a := f.agent
	a.mu.Lock()
	defer a.mu.Unlock()
	f.state = a.node.Front(f.cfg, a.now())
	a.fronts = append(a.fronts, f)
	return f
}

// outRecorder passes lists of workers from the gate to the core and records workers that go out or
// come back. The gate does not call it concurrently.
type outRecorder struct {
	core  Core
	front *Front
	out   map[string]bool  // listed workers that are out
	known map[string]int64 // the incarnation of each worker that is listed
}

// Discovered implements cordon.MemberReceiver. It records that a worker is out after the core has
// the list, and that a worker is back before that, so that no attempt is sent while the worker is
// on record as out.
func (n *outRecorder) Discovered(members []router.Member, whole bool) {
	grace, listed := n.front.cfg.Settings.DrainGrace, map[string]bool{}
	for _, m := range members {
		listed[m.Name] = true
		if m.Health == logic.Ready && n.out[m.Name] {
			n.front.recorder.Out(m.Name, int64(m.Since), false, grace)
			delete(n.out, m.Name)
		}
	}
	n.core.Discovered(members, whole)
	for _, m := range members {
		switch was, known := n.known[m.Name]; {
		case m.Health != logic.Ready && known && !n.out[m.Name]:
			n.front.recorder.Out(m.Name, was, true, grace)
			n.out[m.Name] = true
		case m.Health == logic.Ready && known && was != int64(m.Since): // restarted: another process
			n.front.recorder.Out(m.Name, was, true, grace)
		}
		n.known[m.Name] = int64(m.Since)
		if m.Health == logic.Gone {
			delete(n.known, m.Name)
			delete(n.out, m.Name)
		}
	}
	if !whole {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(n.known)) {
		if !listed[name] {
			if !n.out[name] {
				n.front.recorder.Out(name, n.known[name], true, grace)
			}
			delete(n.known, name)
			delete(n.out, name)
		}
	}
}

func lines(members []router.Member) []node.ListedWorker {
	out := make([]node.ListedWorker, len(members))
	for i, m := range members {
		out[i] = node.ListedWorker{Name: m.Name, Server: m.Server, Since: int64(m.Since), Kind: m.Kind, Cell: m.Cell, Zone: m.Zone, Removed: m.Health == logic.Gone}
	}
	return out
}

// Discovered implements cordon.MemberReceiver. It creates a cold worker's budget before the core
// gets the worker.
func (f *Front) Discovered(members []router.Member, whole bool) {
	a := f.agent
	a.mu.Lock()
	f.state.UpdateWorkers(lines(members), whole, time.Now().UnixNano(), a.now())
	f.zones.update(f.cfg.Zones, members, whole, time.Now())
	a.mu.Unlock()
	f.gate.Discovered(members, whole)
}

// Allow implements router.Permit.
func (f *Front) Allow(w *router.Worker, repeat bool) router.Allowance {
	a := f.agent
	a.mu.Lock()
	r := f.state.Allow(w.Name, repeat, a.now())
	a.mu.Unlock()
	switch r {
	case attempts.TooCold:
		return router.WorkerDenied
	case attempts.NoRepeats:
		return router.RepeatDenied
	}
	return router.AttemptAllowed
}

// WrapTransport returns a transport that sends by t and observes the result of each attempt.
func (f *Front) WrapTransport(t router.Transport) router.Transport { return &observingTransport{t, f} }

type observingTransport struct {
	router.Transport
	front *Front
}

// Send implements router.Transport.
func (w *observingTransport) Send(at router.Attempt, sink router.Sink) func() <-chan struct{} {
	s := &observedAttempt{Sink: sink, agent: w.front.agent, front: w.front, prompt: at.Request.PromptTokens, worker: at.Worker.Name, since: at.Worker.Since()}
	s.agent.mu.Lock()
	s.work = w.front.state.Work(s.worker, &at.Request.Request)
	s.agent.node.Charge(s.worker, s.work)
	w.front.zones.sent(s.worker, w.front.cfg.Settings.Kinds, s.agent.now())
	s.agent.mu.Unlock()
	if w.front.recorder != nil {
		s.request = at.Request.Name
		w.front.recorder.Sent(s.worker, int64(s.since))
	}
	cancel := w.Transport.Send(at, s)
	return func() <-chan struct{} {
		s.finished()
		return cancel()
	}
}

// observedAttempt is the sink of an attempt that is observed.
type observedAttempt struct {
	router.Sink
	agent  *Agent
	front  *Front
	worker string
	since  logic.Time
	prompt float64 // tokens
	// request is the request's name, set if events are recorded.
	request string

	mu   sync.Mutex
	work counts.Work // not yet finished
}

// finish subtracts the work that take returns from the worker's open work. take removes it from
// the work that is passed to it.
func (s *observedAttempt) finish(take func(*counts.Work) counts.Work) {
	s.mu.Lock()
	done := take(&s.work)
	s.mu.Unlock()
	s.agent.mu.Lock()
	s.agent.node.Charge(s.worker, counts.Work{Unread: -done.Unread, Held: -done.Held})
	s.agent.mu.Unlock()
}

// promptRead records that the worker has read the prompt.
func (s *observedAttempt) promptRead() {
	s.finish(func(w *counts.Work) counts.Work {
		done := counts.Work{Unread: w.Unread}
		w.Unread = 0
		return done
	})
}

// finished records that all work of the attempt is done.
func (s *observedAttempt) finished() {
	s.finish(func(w *counts.Work) counts.Work {
		done := *w
		*w = counts.Work{}
		return done
	})
}

// Started implements router.Sink.
func (s *observedAttempt) Started(a router.Answer) {
	s.promptRead()
	s.observe(logic.Served)
	s.Sink.Started(&observedAnswer{a, s})
}

// observedAnswer is an answer that has started. Its tokens count as held by the worker until it is
// closed.
type observedAnswer struct {
	router.Answer
	attempt *observedAttempt
}

// Close implements io.Closer.
func (a *observedAnswer) Close() error {
	a.attempt.finished()
	return a.Answer.Close()
}

// Ended implements router.Sink. A stale connection is no evidence about its worker.
func (s *observedAttempt) Ended(o router.Outcome) {
	s.finished()
	if o.Status == logic.PromptRead {
		s.kept(float64(o.Kept))
	}
	if !o.Stale {
		s.observe(o.Status)
	}
	s.Sink.Ended(o)
}

// kept records how many tokens of the prompt the worker already had in memory.
func (s *observedAttempt) kept(tokens float64) {
	s.agent.mu.Lock()
	s.front.state.Kept(s.prompt, tokens)
	s.agent.mu.Unlock()
}

func (s *observedAttempt) observe(status logic.Status) {
	fault, relevant := node.FaultOf(status)
	if !relevant {
		return
	}
	if s.front.recorder != nil && fault != outlier.None {
		s.front.recorder.Failed(s.worker, int64(s.since), s.request, fault.String())
	}
	s.agent.mu.Lock()
	s.agent.node.Observe(s.worker, int64(s.since), fault, s.agent.now())
	s.agent.node.ObserveZoneAttempt(s.front.zones.places[s.worker].zone, fault != outlier.None, s.agent.now())
	s.agent.mu.Unlock()
}

// updateWorkers judges the workers and passes the result and other routers' loads to the cores.
func (a *Agent) updateWorkers() {
	a.mu.Lock()
	fronts := a.fronts
	a.mu.Unlock()
	if len(fronts) == 0 {
		return
	}
	lists := make([][]node.ListedWorker, len(fronts))
	for i, f := range fronts {
		lists[i] = lines(f.gate.Members())
	}
	a.mu.Lock()
	parts, loads := a.node.EvaluateWorkers(lists, a.now())
	parts, factors := a.applyZones(parts)
	a.mu.Unlock()
	for i, f := range fronts {
		f.gate.Set(parts)
		if factors != nil {
			f.core.SetZones(factors[i])
		}
		if loads != nil {
			for _, t := range loads[i] {
				f.core.ReportLoad(t.Server, t.Load)
			}
		}
	}
}
