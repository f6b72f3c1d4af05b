// Package virtual runs many routers' decisions, with the fleet's parts between them or
// without, against the model of the servers in virtual time. It is deterministic from its
// seed. What it leaves out is I/O: connections cost nothing and never go stale.
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
		late := time.Duration(0)
		if !whole {
			late = 50*time.Millisecond + time.Duration(w.rng.IntN(int(200*time.Millisecond)))
		}
		w.after(late, func() { r.listed(members, lines, whole) })
	}
}
