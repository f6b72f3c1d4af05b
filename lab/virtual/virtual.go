// Package virtual runs the decisions of many routers against the model of the servers in virtual
// time, with or without fleet nodes that exchange state between the routers. A run is determined by
// its seed. It does not model I/O: connections cost nothing and never go stale.
package virtual

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lichenshelf/fleet/node"
	"lichenshelf/lab/engine"
	"lichenshelf/lab/load"
	"lichenshelf/logic"
)

const (
	epoch = logic.Time(1000 * time.Hour) // the wall clock at the start of a run
	// ticksPerLease is the number of ticks of a fleet node in a lease. Nodes that exchange counts
	// more often tick once per counts period.
	ticksPerLease = 16
)

// Config describes a run.
type Config struct {
	Routers  int
	Site     engine.Config
	Load     load.Config
	Settings logic.Settings
	Patience time.Duration
	Skew     float64       // part of the requests that go to router 0; the rest are spread evenly
	Hop      time.Duration // latency of one way between two processes
	Fleet    *node.Config  // nil: routers share nothing
	Loss     float64       // part of the fleet's messages that are lost
	// Zoned puts router i into zone i modulo the number of zones; else all routers are in zone 0.
	Zoned bool
	// Zones, with Zoned, makes the fleet judge zones and move traffic between them; nil: each
	// router decides on its own. The site's zones are its Judge.Zones by index.
	Zones *node.ZoneConfig
	// FarCost, without Zones, is the cost factor (logic.Gateway.SetZones) of all zones but a
	// router's own; 0: the usual cost of distance.
	FarCost     float64
	MeasureFrom time.Duration // start of the time that the totals of a Result cover
	For         time.Duration // requests arrive for so long
	Seed        uint64
	Faults      []Fault
	// Record, if set, receives each call of a router's decisions: the router's number, the events
	// that it handled and the actions that it returned.
	Record func(router int, now logic.Time, events []logic.Event, actions []logic.Action)
}

// Fault is a change of the world at a time, such as the beginning or the end of a fault.
type Fault struct {
	At time.Duration
	Do func(w *World)
}

// Result is what clients and servers observed in a run.
type Result struct {
	Asked, Served, Broken, Refused, Failed int
	// FirstToken has the times until the first token of answers, in microseconds.
	FirstToken *hdrhistogram.Histogram
	Attempts   map[string]int             // by server
	Arrivals   map[string][]time.Duration // of attempts, by server, over the whole run
	// Sent counts attempts, and Repeats those that followed a failed one.
	Sent, Repeats              int
	Messages, Bytes            int     // between routers
	PromptTokens, CachedTokens float64 // tokens of prompts read, and the cached part of them
	// WastedReads counts reads whose state was not used for a served answer.
	WastedReads     int
	MovedTokens     float64 // tokens of read states fetched from another zone
	Late            int     // answers whose first token was later than the class's aim
	Seconds         []Second
	OverloadCrashes int
	Held            int // read states left at the end of the run
}

// Second has the outcome of the requests that arrived in one second of a run, and where their first
// reads went: to the router's own zone or to another one.
type Second struct{ Asked, InTime, Near, Far int }

func (w *World) second(at time.Duration) *Second {
	for len(w.Result.Seconds) <= int(at/time.Second) {
		w.Result.Seconds = append(w.Result.Seconds, Second{})
	}
	return &w.Result.Seconds[at/time.Second]
}

// BusiestShare returns the busiest server's share of all attempts at servers of a kind.
func (r *Result) BusiestShare(site engine.Config, kind int) float64 {
	all, most := 0, 0
	for _, s := range site.Servers {
		if s.Kind == kind {
			all += r.Attempts[s.Name]
			most = max(most, r.Attempts[s.Name])
		}
	}
	return float64(most) / float64(max(all, 1))
}

// World is the state of a run.
type World struct {
	cfg     Config
	now     time.Duration
	seq     int
	queue   events
	Site    *engine.Site
	wakeup  int // number of the latest scheduled advance; earlier ones are obsolete
	changes int // Site.Changes at the latest publication
	routers []*gateway
	rng     *rand.Rand
	jobs    map[string]*exchange
	Result  Result
	Cut     func(from, to int) bool // if set, whether messages from one router to another are lost
}

// Run runs a simulation to its end. No requests arrive after For, and the run goes on until the
// open ones have had time to end.
func Run(cfg Config) (*Result, error) {
	w := &World{cfg: cfg, Site: engine.New(cfg.Site, cfg.Seed), rng: rand.New(rand.NewPCG(cfg.Seed, 5)), jobs: map[string]*exchange{},
		Result: Result{FirstToken: hdrhistogram.New(1, 120_000_000, 3), Attempts: map[string]int{}, Arrivals: map[string][]time.Duration{}}}
	for i := range cfg.Routers {
		r, err := w.newGateway(i)
		if err != nil {
			return nil, err
		}
		w.routers = append(w.routers, r)
	}
	w.publishServers(true)
	source := load.New(cfg.Load, cfg.Seed)
	w.arrivals(source)
	for _, f := range cfg.Faults {
		w.after(f.At, func() { f.Do(w); w.scheduleSite() })
	}
	end := cfg.For + cfg.Patience + 2*time.Minute
	for len(w.queue) > 0 && w.queue[0].at <= end {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
	w.Result.OverloadCrashes, w.Result.Held = w.Site.OverloadCrashes, w.Site.Held()
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

// Kill stops a server for a while.
func (w *World) Kill(name string, down time.Duration) {
	w.advanceSite()
	for _, e := range w.Site.Kill(name, w.now, down) {
		w.dispatch(e)
	}
}

// advanceSite brings the servers up to now, dispatches their events and publishes changes of their
// list.
func (w *World) advanceSite() {
	for _, e := range w.Site.Advance(w.now) {
		w.dispatch(e)
	}
	if c := w.Site.Changes(); c != w.changes {
		w.changes = c
		w.publishServers(false)
	}
}

// scheduleSite advances the servers and schedules their next advance.
func (w *World) scheduleSite() {
	w.advanceSite()
	at, ok := w.Site.Next()
	if !ok {
		return
	}
	w.wakeup++
	wakeup := w.wakeup
	w.after(at-w.now, func() {
		if wakeup == w.wakeup {
			w.scheduleSite()
		}
	})
}

func (w *World) dispatch(e engine.Event) {
	if ex := w.jobs[e.Job]; ex != nil {
		ex.router.handleServerEvent(ex, e)
	}
}

// publishServers sends discovery's present list to all routers: at once if it is a whole list, else
// to each router after a delay of its own.
func (w *World) publishServers(whole bool) {
	var members []logic.Member
	var lines []node.ListedWorker
	for i, l := range w.Site.List() {
		m := logic.Member{Server: logic.ServerID(i), Weight: 1, Cell: l.Cell, Zone: l.Zone, Kind: l.Kind}
		if l.Since > -w.cfg.Site.Cold.WarmWithin {
			m.Since = epoch + logic.Time(l.Since)
		}
		if !l.Up {
			m.Health = logic.Gone
		}
		members = append(members, m)
		lines = append(lines, node.ListedWorker{Name: l.Name, Server: m.Server, Since: int64(m.Since), Kind: l.Kind, Cell: l.Cell, Removed: !l.Up})
	}
	for _, r := range w.routers {
		delay := time.Duration(0)
		if !whole {
			delay = 50*time.Millisecond + time.Duration(w.rng.IntN(int(200*time.Millisecond)))
		}
		w.after(delay, func() { r.updateServers(members, lines, whole) })
	}
}
