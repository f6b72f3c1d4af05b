// Package virtual runs many routers' decisions, with the fleet's parts between them or
// without, against the model of the servers in virtual time. It is deterministic from its
// seed. What it leaves out is I/O: connections cost nothing and never go stale.
package virtual

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lichenshelf/fleet/attempts"
	"lichenshelf/fleet/counts"
	"lichenshelf/fleet/link"
	"lichenshelf/fleet/node"
	"lichenshelf/fleet/outlier"
	"lichenshelf/fleet/traffic"
	"lichenshelf/lab/engine"
	"lichenshelf/lab/load"
	"lichenshelf/logic"
)

const (
	epoch  = logic.Time(1000 * time.Hour) // the wall clock at the beginning
	perTTL = 16                           // ticks of the fleet's part in a lease, or more where work is told
)

// Config describes a run.
type Config struct {
	Routers  int
	Site     engine.Config
	Load     load.Config
	Settings logic.Settings
	Patience time.Duration
	Skew     float64       // part of the requests that come to the first router; the rest are even
	Hop      time.Duration // one way between two processes
	Fleet    *node.Config  // its terms; nil: routers share nothing
	Loss     float64       // part of the fleet's messages that vanish
	Zoned    bool          // router i is of zone i modulo their number; else all are of the first
	// Zones makes the fleet judge zones and move traffic between them, where it is Zoned; nil: that is each router's own matter.
	// The site's zones are its Judge.Zones by index.
	Zones *node.ZoneConfig
	// Near, without Zones, is a figure for the zones that are not a router's own in place of the usual one; 0: the usual one.
	Near   float64
	Warm   time.Duration // nothing is counted before
	For    time.Duration
	Seed   uint64
	Faults []Fault
	// Record, if set, is told of each call of a router's decisions: its number, what it was told and what it did.
	Record func(router int, now logic.Time, events []logic.Event, actions []logic.Action)
}

// Fault begins or ends something at a time.
type Fault struct {
	At time.Duration
	Do func(w *World)
}

// Result is what clients and servers saw.
type Result struct {
	Asked, Served, Broken, Refused, Failed int
	First                                  *hdrhistogram.Histogram // microseconds until the first token, of what was served
	At                                     map[string]int          // attempts by server
	Arrivals                               map[string][]time.Duration
	Sent, Repeats                          int     // attempts, and those that followed a failed one
	Messages, Bytes                        int     // between routers
	Prompt, Kept                           float64 // tokens of the prompts that were read, and of them that were found kept
	Wasted                                 int     // reads whose answer nobody got
	Moved                                  float64 // tokens of read states that were fetched from another zone
	Late                                   int     // served, with the first token after its class's aim
	Seconds                                []Second
	Fell                                   int
	Held                                   int // states left when all had ended
}

// Second is what became of the requests that came in one second of a run, and where their first reads went.
type Second struct{ Asked, InTime, Near, Far int }

func (w *World) second(at time.Duration) *Second {
	for len(w.Result.Seconds) <= int(at/time.Second) {
		w.Result.Seconds = append(w.Result.Seconds, Second{})
	}
	return &w.Result.Seconds[at/time.Second]
}

// Busiest is the part of all attempts at servers of a kind that went to the busiest one.
func (r *Result) Busiest(site engine.Config, kind int) float64 {
	all, most := 0, 0
	for _, s := range site.Servers {
		if s.Kind == kind {
			all += r.At[s.Name]
			most = max(most, r.At[s.Name])
		}
	}
	return float64(most) / float64(max(all, 1))
}

// World is a run under way.
type World struct {
	cfg     Config
	now     time.Duration
	seq     int
	queue   events
	Site    *engine.Site
	site    int // number of the look that is planned
	changes int
	routers []*gateway
	rng     *rand.Rand
	jobs    map[string]*exchange
	Result  Result
	Cut     func(from, to int) bool // whether a message between two routers is lost
}

type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// after plans something.
func (w *World) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.queue, event{w.now + max(d, 0), w.seq, do})
}

// Run plays a run to its end: no arrivals after For, and all that is in hand ended.
func Run(cfg Config) (*Result, error) {
	w := &World{cfg: cfg, Site: engine.New(cfg.Site, cfg.Seed), rng: rand.New(rand.NewPCG(cfg.Seed, 5)), jobs: map[string]*exchange{},
		Result: Result{First: hdrhistogram.New(1, 120_000_000, 3), At: map[string]int{}, Arrivals: map[string][]time.Duration{}}}
	for i := range cfg.Routers {
		r, err := w.newGateway(i)
		if err != nil {
			return nil, err
		}
		w.routers = append(w.routers, r)
	}
	w.list(true)
	source := load.New(cfg.Load, cfg.Seed)
	w.arrivals(source)
	for _, f := range cfg.Faults {
		w.after(f.At, func() { f.Do(w); w.look() })
	}
	end := cfg.For + cfg.Patience + 2*time.Minute
	for len(w.queue) > 0 && w.queue[0].at <= end {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
	w.Result.Fell, w.Result.Held = w.Site.Fell, w.Site.Held()
	return &w.Result, nil
}

func (w *World) arrivals(source *load.Source) {
	q := source.Next()
	if q.At > w.cfg.For {
		return
	}
	w.after(q.At-w.now, func() {
		r := w.routers[w.rng.IntN(len(w.routers))]
		if w.rng.Float64() < w.cfg.Skew {
			r = w.routers[0]
		}
		r.arrive(q)
		w.arrivals(source)
	})
}

// Kill ends a server for a while.
func (w *World) Kill(name string, down time.Duration) {
	w.settle()
	for _, e := range w.Site.Kill(name, w.now, down) {
		w.happened(e)
	}
}

// settle takes what the servers did, and plans the next look at them.
func (w *World) settle() {
	for _, e := range w.Site.Advance(w.now) {
		w.happened(e)
	}
	if c := w.Site.Changes(); c != w.changes {
		w.changes = c
		w.list(false)
	}
}

func (w *World) look() {
	w.settle()
	at, ok := w.Site.Next()
	if !ok {
		return
	}
	w.site++
	mine := w.site
	w.after(at-w.now, func() {
		if mine == w.site {
			w.look()
		}
	})
}

func (w *World) happened(e engine.Event) {
	if ex := w.jobs[e.Job]; ex != nil {
		ex.of.happened(ex, e)
	}
}

// list tells all routers what discovery says by now, each a moment later.
func (w *World) list(whole bool) {
	var members []logic.Member
	var lines []node.Line
	for i, l := range w.Site.List() {
		m := logic.Member{Server: logic.ServerID(i), Weight: 1, Cell: l.Cell, Zone: l.Zone, Kind: l.Kind}
		if l.Since > -w.cfg.Site.Cold.WarmWithin {
			m.Since = epoch + logic.Time(l.Since)
		}
		if !l.Up {
			m.Health = logic.Gone
		}
		members = append(members, m)
		lines = append(lines, node.Line{Name: l.Name, Server: m.Server, Since: int64(m.Since), Kind: l.Kind, Cell: l.Cell, Gone: !l.Up})
	}
	for _, r := range w.routers {
		late := time.Duration(0)
		if !whole {
			late = 50*time.Millisecond + time.Duration(w.rng.IntN(int(200*time.Millisecond)))
		}
		w.after(late, func() { r.listed(members, lines, whole) })
	}
}

// gateway is one router: its decisions, its part in the fleet, and what it has in hand.
type gateway struct {
	w       *World
	i       int
	name    string
	decide  *logic.Gateway
	pending []logic.Event
	open    map[logic.RequestID]*exchange
	last    logic.RequestID
	members []logic.Member
	lines   []node.Line
	node    *node.Node
	front   *node.Front
	parts   map[string]float64
	running bool
	zone    int
	balance traffic.Balance
}

// exchange is one request in hand.
type exchange struct {
	of       *gateway
	id       logic.RequestID
	job      engine.Job
	arrived  time.Duration
	sends    int
	reads    int
	readIn   int // the zone of the latest read
	class    int
	attempt  *attempt
	last     logic.Status
	closed   bool
	answered bool
}

type attempt struct {
	number int
	server logic.ServerID
	name   string
	since  int64
	sent   time.Duration
	work   counts.Work
}

// RouterSeed is the seed of a router's decisions in a run.
func RouterSeed(seed uint64, router int) uint64 { return seed*1000 + uint64(router) }

func (w *World) newGateway(i int) (*gateway, error) {
	r := &gateway{w: w, i: i, name: fmt.Sprintf("r-%d", i), open: map[logic.RequestID]*exchange{}}
	set := w.cfg.Settings
	set.Gateways = w.cfg.Routers
	zones := w.cfg.Site.Zones()
	if w.cfg.Zoned {
		r.zone = i % zones
		set.Zone = r.zone
	}
	r.decide = logic.New(set, RouterSeed(w.cfg.Seed, i))
	if w.cfg.Near > 0 {
		figures := slices.Repeat([]float64{w.cfg.Near}, zones)
		figures[r.zone] = 1
		r.decide.SetZones(figures)
	}
	if w.cfg.Fleet == nil {
		return r, nil
	}
	cfg := *w.cfg.Fleet
	cfg.Self, cfg.Life, cfg.Zones = r.name, 1, map[string]string{}
	for j := range w.cfg.Routers {
		cfg.Zones[fmt.Sprintf("r-%d", j)] = ""
		if w.cfg.Zones != nil {
			cfg.Zones[fmt.Sprintf("r-%d", j)] = w.cfg.Zones.Judge.Zones[j%zones]
		}
	}
	var err error
	if r.node, err = node.New(cfg, rand.New(rand.NewPCG(w.cfg.Seed, uint64(i))), 0); err != nil {
		return nil, err
	}
	if w.cfg.Zones != nil {
		if err := r.node.Zones(*w.cfg.Zones, 0); err != nil {
			return nil, err
		}
	}
	r.front = r.node.Front(node.FrontConfig{Name: "lab", Settings: set}, 0)
	w.after(time.Duration(w.rng.IntN(int(r.every()))), r.tick)
	return r, nil
}

func (r *gateway) every() time.Duration {
	d := r.w.cfg.Fleet.Lease / perTTL
	if c := r.w.cfg.Fleet.Counts; c > 0 {
		d = min(d, c)
	}
	return d
}

// tick is what the fleet's agent does on its ticker.
func (r *gateway) tick() {
	w := r.w
	r.post(r.node.Tick(w.now))
	parts, told := r.node.Confer([][]node.Line{r.lines}, w.now)
	r.gate(r.spread(parts))
	if told != nil {
		for _, t := range told[0] {
			r.push(logic.Event{Kind: logic.LoadTold, Server: t.Server, Load: t.Load})
		}
	}
	r.run()
	r.node.Notices()
	if w.now < w.cfg.For+w.cfg.Patience {
		w.after(r.every(), r.tick)
	}
}

// spread is what the fleet's agent does with the map: it tells the node of the zones' workers, takes those of barred zones out,
// and hands a figure for each zone to the decisions.
func (r *gateway) spread(parts map[string]float64) map[string]float64 {
	way, ok := r.node.ZoneWay(r.w.now)
	if !ok {
		return parts
	}
	parts = maps.Clone(parts)
	if parts == nil {
		parts = map[string]float64{}
	}
	up, all := map[string]float64{}, map[string]float64{}
	cold := r.w.cfg.Site.Cold
	for _, m := range r.members {
		zone := way.Names[m.Zone]
		all[zone]++
		if m.Health == logic.Ready {
			warm := 1.0
			if age := epoch + logic.Time(r.w.now) - m.Since; m.Since > 0 && age < logic.Time(cold.WarmWithin) {
				warm = cold.Share + (1-cold.Share)*float64(age)/float64(cold.WarmWithin)
			}
			up[zone] += warm
		}
		if way.Barred[m.Zone] {
			parts[r.lines[m.Server].Name] = 0
		}
	}
	for zone, n := range all {
		up[zone] /= n
	}
	r.node.ZoneUp(up)
	r.decide.SetZones(r.balance.Figures(way.Shares, way.May, way.Own, traffic.Time(r.w.now)))
	return parts
}

func (r *gateway) post(out []node.Envelope) {
	w := r.w
	for _, e := range out {
		if frame, err := link.Encode(e); err == nil && w.now >= w.cfg.Warm {
			w.Result.Messages++
			w.Result.Bytes += len(frame)
		}
		to := 0
		_, _ = fmt.Sscanf(e.To, "r-%d", &to)
		if w.rng.Float64() < w.cfg.Loss || w.Cut != nil && w.Cut(r.i, to) {
			continue
		}
		w.after(w.cfg.Hop, func() {
			peer := w.routers[to]
			peer.post(peer.node.Receive(e, w.now))
		})
	}
}

func (r *gateway) listed(members []logic.Member, lines []node.Line, whole bool) {
	r.members, r.lines = members, lines
	if r.front != nil {
		r.front.Listed(lines, whole, int64(epoch)+int64(r.w.now), r.w.now)
	}
	r.hand()
}

// gate takes workers out, or gives them a part, as cordon.Gate does.
func (r *gateway) gate(parts map[string]float64) {
	same := len(parts) == len(r.parts)
	for name, p := range parts {
		old, ok := r.parts[name]
		same = same && ok && old == p
	}
	if r.parts = parts; !same {
		r.hand()
	}
}

func (r *gateway) hand() {
	members := append([]logic.Member(nil), r.members...)
	for i := range members {
		if p, ok := r.parts[r.lines[i].Name]; ok && members[i].Health == logic.Ready {
			if members[i].Weight *= p; p == 0 {
				members[i].Health = logic.Draining
			}
		}
	}
	r.push(logic.Event{Kind: logic.ServersChanged, Members: members})
	r.run()
}

func (r *gateway) push(e logic.Event) { r.pending = append(r.pending, e) }

// run lets the router decide until nothing new comes of it.
func (r *gateway) run() {
	if r.running { // who is deciding takes what came of it next
		return
	}
	r.running = true
	defer func() { r.running = false }()
	for len(r.pending) > 0 {
		events := r.pending
		r.pending = nil
		now := epoch + logic.Time(r.w.now)
		actions := r.decide.Handle(now, events, nil)
		if r.w.cfg.Record != nil {
			r.w.cfg.Record(r.i, now, events, actions)
		}
		for _, a := range actions {
			r.do(a)
		}
	}
}

func (r *gateway) arrive(q load.Request) {
	w := r.w
	r.last++
	ex := &exchange{of: r, id: r.last, arrived: w.now, class: q.Class, last: logic.NotSent, job: engine.Job{ID: fmt.Sprintf("%s-%d", r.name, r.last),
		Prefix: q.Prefix, Session: q.Session, PrefixTokens: q.PrefixTokens, PromptTokens: q.PromptTokens, AnswerTokens: q.AnswerTokens}}
	r.open[ex.id] = ex
	w.jobs[ex.job.ID] = ex
	w.second(w.now).Asked++
	if r.node != nil {
		r.node.ZoneArrived(w.now)
	}
	if w.now >= w.cfg.Warm {
		w.Result.Asked++
	}
	r.push(logic.Event{Kind: logic.Arrived, Request: logic.Request{ID: ex.id, Class: q.Class, Session: logic.Key(q.Session), Prefix: logic.Key(q.Prefix),
		PromptTokens: q.PromptTokens, PrefixTokens: q.PrefixTokens, MaxTokens: 2 * float64(q.AnswerTokens), Patience: w.cfg.Patience}})
	r.run()
}

func (r *gateway) do(a logic.Action) {
	w := r.w
	if a.Kind == logic.SetTimer {
		w.after(a.After, func() {
			r.push(logic.Event{Kind: logic.TimerFired, Token: a.Token})
			r.run()
		})
		return
	}
	ex := r.open[a.ID]
	if ex == nil {
		return
	}
	switch a.Kind {
	case logic.Send:
		r.send(ex, a.Server, a.After)
	case logic.CallOff:
		if at := ex.attempt; at != nil && at.number == a.Attempt && !ex.answered {
			r.end(ex, at, logic.Cancelled, 0)
		}
	case logic.Refuse:
		r.close(ex, &w.Result.Refused)
	case logic.Fail:
		r.close(ex, &w.Result.Failed)
	case logic.Release:
		w.after(w.cfg.Hop, func() { w.Site.Release(ex.job.ID) })
	}
}

func (r *gateway) close(ex *exchange, counter *int) {
	if ex.closed {
		return
	}
	ex.closed = true
	if ex.arrived >= r.w.cfg.Warm {
		*counter++
	}
	r.forget(ex)
}

func (r *gateway) forget(ex *exchange) {
	if ex.closed && ex.attempt == nil {
		r.w.after(0, func() {
			if ex.attempt == nil {
				delete(r.open, ex.id)
				delete(r.w.jobs, ex.job.ID)
			}
		})
	}
}

func (r *gateway) send(ex *exchange, server logic.ServerID, wait time.Duration) {
	w := r.w
	at := &attempt{number: ex.sends, server: server, name: r.lines[server].Name, since: r.lines[server].Since, sent: w.now}
	if r.front != nil {
		switch r.front.Allow(at.name, ex.sends > 0 && ex.last != logic.PromptRead, w.now) {
		case attempts.TooCold:
			ex.sends++
			r.report(ex, at, logic.Full, 0)
			return
		case attempts.Repeats:
			r.report(ex, at, logic.NotSent, 0)
			return
		}
		at.work = r.front.Work(at.name, &logic.Request{PromptTokens: ex.job.PromptTokens, MaxTokens: 2 * float64(ex.job.AnswerTokens)})
		r.node.Charge(at.name, at.work)
	}
	if w.now >= w.cfg.Warm {
		w.Result.Sent++
		w.Result.At[at.name]++
		if ex.sends > 0 && ex.last != logic.PromptRead {
			w.Result.Repeats++
		}
	}
	spec := w.cfg.Site.Servers[server]
	if reads := w.cfg.Site.Kinds[spec.Kind].Role != logic.RoleWrite; reads {
		r.balance.Sent(spec.Zone, spec.Zone+1, traffic.Time(w.now))
		ex.readIn = spec.Zone
		if s := w.second(ex.arrived); ex.reads == 0 && ex.sends == 0 && spec.Zone == r.zone {
			s.Near++
		} else if ex.reads == 0 && ex.sends == 0 {
			s.Far++
		}
	} else if ex.readIn != spec.Zone && w.now >= w.cfg.Warm {
		w.Result.Moved += ex.job.PromptTokens
	}
	ex.sends++
	ex.attempt = at
	w.after(wait, func() { r.end(ex, at, logic.TimedOut, 0) })
	w.after(w.cfg.Hop, func() {
		if ex.attempt != at {
			return
		}
		w.settle()
		w.Result.Arrivals[at.name] = append(w.Result.Arrivals[at.name], w.now)
		says := w.Site.Arrive(at.name, ex.job, w.now)
		w.look()
		if says == engine.Taken {
			return
		}
		w.after(w.cfg.Hop, func() {
			switch says {
			case engine.Full:
				r.end(ex, at, logic.Full, 0)
			case engine.NoState:
				r.end(ex, at, logic.Full, 1)
			case engine.Failed:
				r.end(ex, at, logic.ServerError, 0)
			case engine.Unheard:
				r.end(ex, at, logic.ConnectFailed, 0)
			}
		})
	})
}

// happened takes a server's event, a hop later.
func (r *gateway) happened(ex *exchange, e engine.Event) {
	at := ex.attempt
	if at == nil || at.name != e.Server {
		return
	}
	r.w.after(r.w.cfg.Hop, func() {
		if ex.attempt != at {
			return
		}
		switch e.Kind {
		case engine.Read:
			r.end(ex, at, logic.PromptRead, uint32(e.Kept))
		case engine.First:
			r.started(ex, at)
		case engine.Done:
			r.end(ex, at, logic.Served, uint32(e.Kept))
		case engine.Lost:
			r.end(ex, at, logic.ConnectionReset, 0)
		}
	})
}

func (r *gateway) started(ex *exchange, at *attempt) {
	w := r.w
	ex.answered, ex.closed = true, true
	c := w.cfg.Settings.Classes[ex.class]
	if w.now-ex.arrived <= c.Aim+time.Duration(float64(c.AimPer1000)*ex.job.PromptTokens/1000) {
		w.second(ex.arrived).InTime++
	} else if ex.arrived >= w.cfg.Warm {
		w.Result.Late++
	}
	if ex.arrived >= w.cfg.Warm {
		_ = w.Result.First.RecordValue(max((w.now - ex.arrived).Microseconds(), 1))
	}
	r.charge(at, counts.Work{Unread: at.work.Unread})
	r.push(logic.Event{Kind: logic.AnswerStarted, ID: ex.id, Attempt: at.number, Server: at.server, Latency: w.now - at.sent})
	r.run()
}

// charge takes work off the board.
func (r *gateway) charge(at *attempt, done counts.Work) {
	if r.node != nil {
		r.node.Charge(at.name, counts.Work{Unread: -done.Unread, Held: -done.Held})
	}
	at.work.Unread -= done.Unread
	at.work.Held -= done.Held
}

// end takes the first of the ways in which an attempt ends.
func (r *gateway) end(ex *exchange, at *attempt, status logic.Status, kept uint32) {
	w := r.w
	if ex.attempt != at || status == logic.TimedOut && ex.answered {
		return
	}
	ex.attempt, ex.last = nil, status
	if status == logic.PromptRead && w.now >= w.cfg.Warm {
		w.Result.Prompt += ex.job.PromptTokens
		w.Result.Kept += float64(kept)
		ex.reads++
	}
	if status == logic.Served && w.now >= w.cfg.Warm {
		w.Result.Wasted += ex.reads - 1
	}
	r.charge(at, at.work)
	if r.node != nil {
		if status == logic.PromptRead {
			r.front.Kept(ex.job.PromptTokens, float64(kept))
		}
		if fault, says := node.FaultOf(status); says {
			r.node.Observe(at.name, at.since, fault, w.now)
			if w.cfg.Zones != nil {
				r.node.ZoneTried(w.cfg.Zones.Judge.Zones[w.cfg.Site.Servers[at.server].Zone], fault != outlier.None, w.now)
			}
		}
	}
	if status == logic.TimedOut || status == logic.Cancelled {
		w.after(w.cfg.Hop, func() {
			w.settle()
			w.Site.Cancel(at.name, ex.job.ID)
			w.look()
		})
	}
	if ex.answered && ex.arrived >= w.cfg.Warm {
		if status == logic.Served {
			w.Result.Served++
		} else {
			w.Result.Broken++
		}
	}
	r.report(ex, at, status, kept)
	r.forget(ex)
}

func (r *gateway) report(ex *exchange, at *attempt, status logic.Status, kept uint32) {
	r.push(logic.Event{Kind: logic.AttemptEnded, ID: ex.id, Attempt: at.number, Server: at.server, Latency: r.w.now - at.sent,
		Status: status, Closed: ex.closed, Kept: kept})
	r.run()
}
