// Package node is one router's whole part in its fleet: who is there, budgets, counts of
// work and judgements on workers, put together as they are used. What runs on sockets and
// what runs in virtual time is this same part.
//
// The package does no I/O and starts nothing; clock and randomness are handed in. A Node is
// not safe for concurrent use.
package node

import (
	"fmt"
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"lichenshelf/fleet/attempts"
	"lichenshelf/fleet/budget"
	"lichenshelf/fleet/counts"
	"lichenshelf/fleet/members"
	"lichenshelf/fleet/outlier"
	"lichenshelf/fleet/version"
	"lichenshelf/logic"
)

// Time is a reading of the caller's monotonic clock from an arbitrary start. It must go
// on while the process is stopped.
type Time = time.Duration

// Envelope is one message between two routers. Version to To are the link's.
type Envelope struct {
	Version uint8               `cbor:"1,keyasint"`
	Need    uint8               `cbor:"2,keyasint"` // the oldest version that can make sense of it
	Fleet   string              `cbor:"3,keyasint"`
	From    string              `cbor:"4,keyasint"`
	To      string              `cbor:"5,keyasint"`
	Members *members.Message    `cbor:"10,keyasint,omitempty"`
	Budget  []budget.Message    `cbor:"11,keyasint,omitempty"`
	Judged  []outlier.Judgement `cbor:"12,keyasint,omitempty"` // of the sender and passed on
	Counts  *counts.State       `cbor:"13,keyasint,omitempty"`
	Acts    version.Vector      `cbor:"14,keyasint,omitempty"` // what the sender acts on, with Members
	Zones   *ZoneNews           `cbor:"15,keyasint,omitempty"` // the same
	Sums    map[string]Sum      `cbor:"16,keyasint,omitempty"` // the same
	Wanted  *Wanted             `cbor:"17,keyasint,omitempty"`
	Text    *Text               `cbor:"18,keyasint,omitempty"` // the answer
}

// Spoken drops what speaks for another router than the one that sent it.
func (e *Envelope) Spoken() {
	e.Budget = slices.DeleteFunc(e.Budget, func(m budget.Message) bool { return m.From != e.From })
	if e.Members != nil && e.Members.From != e.From {
		e.Members = nil
	}
	if e.Counts != nil && e.Counts.Router != e.From {
		e.Counts = nil
	}
}

// Config says who the routers are and under which terms they share. Life grows with each
// start under the name Self, such as the wall clock does; if it does not, the fleet puts it
// right.
type Config struct {
	Self      string
	Zones     map[string]string // of all routers, Self among them
	Life      uint64
	Lease     time.Duration
	Floor     float64
	Burst     time.Duration
	Drift     float64
	Period    time.Duration // of heartbeats and judgements
	Counts    time.Duration // from one telling of work to the next; 0: it is not told
	Fanout    int           // routers told at a time
	Digest    int
	Observers int
	Quorum    int
	MostOut   float64
	Least     float64
	Hold      time.Duration
	Return    time.Duration
	Repeats   float64 // a second, over all routers; 0: not bounded
	Cold      float64 // a second, to one cold worker; 0: not bounded
	Tell      bool    // what is lent is told by Moves
}

// Node is one router's part.
type Node struct {
	cfg      Config
	names    []string
	ledger   *budget.Ledger
	members  *members.View
	outliers *outlier.Detector
	work     *counts.Board
	limits   map[string]float64
	fronts   []*Front
	states   map[string]members.State // as noticed last
	parts    map[string]float64
	fenced   bool
	deaf     bool
	rng      *rand.Rand
	counted  Time // when own work was told to others last
	told     Time // when others' work was told here last
	notices  []Notice
	acts     version.Vector // what is told to the others
	said     map[string]said
	texts    texts
	zones    *zones // nil: traffic between zones is each router's own matter
}

// said is what another router said that it acts on.
type said struct {
	acts version.Vector
	at   Time
}

const (
	mostParts = 64  // of what a router says that it acts on
	mostPart  = 512 // bytes of a part's name
)

// NoticeKind says what has changed.
type NoticeKind uint8

// What may change.
const (
	Fenced        NoticeKind = iota // another process goes on under this name
	Deaf                            // this router hears too few of the others
	Hears                           // it hears enough of them again
	RouterChanged                   // Name went from state Was to Is
	WorkerOut                       // worker Name is out for all
	WorkerBack                      // worker Name comes back
)

// Notice is one change, for a log.
type Notice struct {
	Kind          NoticeKind
	Name, Is, Was string
}

// New returns a node that has heard of nobody.
func New(cfg Config, rng *rand.Rand, now Time) (*Node, error) {
	n := &Node{cfg: cfg, rng: rng, limits: map[string]float64{}, states: map[string]members.State{}, said: map[string]said{}, texts: newTexts()}
	n.names = slices.Sorted(maps.Keys(cfg.Zones))
	var err error
	if n.ledger, err = budget.New(budget.Config{Self: cfg.Self, Routers: n.names, Incarnation: cfg.Life, Epoch: cfg.terms(n.names),
		Lease: cfg.Lease, Drift: cfg.Drift, Floor: cfg.Floor, Burst: cfg.Burst, Tell: cfg.Tell}, budget.Time(now)); err != nil {
		return nil, err
	}
	if n.members, err = members.New(members.Config{Self: cfg.Self, Routers: n.names, Life: cfg.Life, Period: cfg.Period,
		Fanout: cfg.Fanout, Digest: cfg.Digest, Observers: cfg.Observers,
		DoubtFor: members.Patience(len(n.names), cfg.Period, cfg.Fanout, cfg.Digest)}, rng, members.Time(now)); err != nil {
		return nil, err
	}
	if n.outliers, err = outlier.New(outlier.Config{Self: cfg.Self, Zones: cfg.Zones, Quorum: cfg.Quorum, MostOut: cfg.MostOut, Least: cfg.Least,
		Hold: cfg.Hold, Return: cfg.Return}, cfg.Life); err != nil {
		return nil, err
	}
	n.work = counts.New(cfg.Self, n.names, cfg.Life, 2*max(cfg.Counts, time.Millisecond))
	return n, nil
}

// terms stands for all that must be the same at two routers that lend each other, beside
// the limit of what is lent.
func (c *Config) terms(names []string) uint64 {
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, c.Lease, c.Floor, c.Burst, c.Drift)
	_, _ = fmt.Fprintf(h, "%q", names)
	return h.Sum64()
}

// SetLimits sets the limits of all budgets with a prefix, in cost a second over all
// routers; those that are not named any more are free.
func (n *Node) SetLimits(prefix string, limits map[string]float64, now Time) {
	for key := range n.limits {
		if _, ok := limits[key]; !ok && strings.HasPrefix(key, prefix) {
			delete(n.limits, key)
			n.ledger.SetLimit(key, 0, budget.Time(now))
		}
	}
	for key, v := range limits {
		if n.limits[key] != v {
			n.limits[key] = v
			n.ledger.SetLimit(key, v, budget.Time(now))
		}
	}
}

// Spend takes cost out of a budget, if it is there.
func (n *Node) Spend(key string, cost float64, now Time) bool {
	return n.ledger.Spend(key, cost, budget.Time(now))
}

// Terms names what must be the same at two routers that lend each other, beside a budget's limit.
func (n *Node) Terms() string { return strconv.FormatUint(n.cfg.terms(n.names), 16) }

// Moves tells what was lent, returned and borrowed since it was asked for last.
func (n *Node) Moves() []budget.Move { return n.ledger.Moves() }

// Leave makes the next messages say that this router leaves: it is not missed then.
func (n *Node) Leave() { n.members.Leave() }

// Tick returns what is due to the others. It is to be called several times in a lease, and
// as often as work is told.
func (n *Node) Tick(now Time) []Envelope {
	var out []Envelope
	to := func(name string) *Envelope {
		for i := range out {
			if out[i].To == name {
				return &out[i]
			}
		}
		out = append(out, Envelope{From: n.cfg.Self, To: name})
		return &out[len(out)-1]
	}
	for _, m := range n.members.Tick(members.Time(now)) {
		e := to(m.To)
		e.Members, e.Acts, e.Sums = &m, n.acts, n.texts.sums
		if n.zones != nil {
			e.Zones = n.zones.tell(now)
		}
		if len(n.fronts) > 0 {
			e.Judged = n.outliers.Tell(outlier.Time(now))
		}
	}
	if len(n.fronts) > 0 && n.cfg.Counts > 0 && now-n.counted >= n.cfg.Counts && !n.fenced {
		n.counted = now
		state := n.work.Tell()
		left := n.cfg.Fanout
		for _, i := range n.rng.Perm(len(n.names)) {
			if left > 0 && n.names[i] != n.cfg.Self {
				to(n.names[i]).Counts = &state
				left--
			}
		}
	}
	for _, m := range n.ledger.Tick(budget.Time(now)) {
		e := to(m.To)
		e.Budget = append(e.Budget, m)
	}
	n.askForTexts(now, to)
	n.notice(now)
	n.lookAtZones(now)
	for _, f := range n.fronts {
		if limits, changed := f.rules.Cold(attempts.Time(now)); changed {
			n.SetLimits(f.rules.Prefix(), limits, now)
		}
	}
	return out
}

// Receive takes a message and returns the answer to it, if there is one.
func (n *Node) Receive(e Envelope, now Time) []Envelope {
	if e.Members != nil {
		n.members.Receive(*e.Members, members.Time(now))
		n.hear(e.From, e.Acts, now)
		if n.other(e.From) {
			n.texts.hear(e.From, e.Sums)
		}
		if n.zones != nil && e.Zones != nil && n.other(e.From) {
			n.zones.hear(e.From, *e.Zones, now)
		}
	}
	n.outliers.Receive(e.Judged, outlier.Time(now))
	if e.Counts != nil {
		n.work.Receive(*e.Counts, counts.Time(now))
	}
	answer := Envelope{From: n.cfg.Self, To: e.From}
	if e.Wanted != nil && n.other(e.From) {
		answer.Text = n.giveText(e.Wanted, now)
	}
	if e.Text != nil && n.other(e.From) {
		n.takeText(e.From, *e.Text)
	}
	for _, m := range e.Budget {
		answer.Budget = append(answer.Budget, n.ledger.Receive(m, budget.Time(now))...)
	}
	if len(answer.Budget) == 0 && answer.Text == nil {
		return nil
	}
	return []Envelope{answer}
}

// Renew goes on under a new life, as a process that has started anew would: what was lent under the one before is over.
func (n *Node) Renew() {
	n.members.Renew()
	n.ledger.SetIncarnation(n.members.Life())
}

// SetActs sets what the others are told that this router acts on. The vector must not be changed after.
func (n *Node) SetActs(v version.Vector) { n.acts = v }

// other tells whether a name is another router's of the fleet.
func (n *Node) other(name string) bool {
	_, known := n.cfg.Zones[name]
	return known && name != n.cfg.Self
}

// observers is how many others it takes to say a thing for this router to go by it: all that have spoken, if they are fewer.
func (n *Node) observers() int { return min(max(n.cfg.Observers, 1), len(n.said)) }

// hear takes what another router says that it acts on, unless that makes no sense.
func (n *Node) hear(from string, v version.Vector, now Time) {
	if !n.other(from) || len(v) > mostParts {
		return
	}
	for part := range v {
		if len(part) > mostPart {
			return
		}
	}
	n.said[from] = said{v, now}
}

// Newest tells, for each part that this router acts on too, the newest version that Observers others act on, or all that have
// said so if they are fewer: one that says anything can't make the others look old. Heard is when so many were heard last;
// false if nobody was.
func (n *Node) Newest() (newest version.Vector, heard Time, ok bool) {
	need := n.observers()
	if need == 0 {
		return nil, 0, false
	}
	times := make([]Time, 0, len(n.said))
	versions := map[string][]uint64{}
	for _, s := range n.said {
		times = append(times, s.at)
		for part := range n.acts {
			if v, ok := s.acts[part]; ok {
				versions[part] = append(versions[part], v)
			}
		}
	}
	newest = version.Vector{}
	for part, all := range versions {
		if len(all) >= need {
			slices.Sort(all)
			newest[part] = all[len(all)-need]
		}
	}
	slices.Sort(times)
	return newest, times[len(times)-need], true
}

// notice looks for what has changed.
func (n *Node) notice(now Time) {
	if n.members.Fenced() && !n.fenced {
		n.fenced = true
		n.ledger.Fence()
		n.notices = append(n.notices, Notice{Kind: Fenced, Name: n.cfg.Self})
	}
	life := n.members.Life()
	n.ledger.SetIncarnation(life)
	n.outliers.SetLife(life)
	n.work.SetLife(life)
	if deaf := n.members.Deaf(members.Time(now)); deaf != n.deaf {
		n.deaf = deaf
		kind := Hears
		if deaf {
			kind = Deaf
		}
		n.notices = append(n.notices, Notice{Kind: kind, Name: n.cfg.Self})
	}
	for _, r := range n.members.Routers(members.Time(now)) {
		was, ok := n.states[r.Name]
		n.states[r.Name] = r.State
		if ok && r.State != was {
			n.notices = append(n.notices, Notice{RouterChanged, r.Name, r.State.String(), was.String()})
		}
	}
}

// Notices returns what has changed since it was asked last.
func (n *Node) Notices() []Notice {
	out := n.notices
	n.notices = nil
	return out
}

// FrontConfig says whose workers are shared.
type FrontConfig struct {
	Name     string
	Settings logic.Settings
	Reports  bool     // workers report their load themselves, others' part in it: it is not told twice
	Zones    []string // names of the zones that workers' lines number; nil: none are known
}

// Front is one front's part.
type Front struct {
	cfg   FrontConfig
	node  *Node
	rules *attempts.Rules
	kinds map[string]int // by worker
	fresh float64        // part of a prompt that is not found kept, lately
}

// Line is a worker as a front's list names it.
type Line struct {
	Name       string
	Server     logic.ServerID
	Since      int64 // wall clock of its latest start in nanoseconds; 0: long ago
	Kind, Cell int
	Zone       int
	Gone       bool
}

// Front lets a front's workers be judged together with the other routers, and its
// attempts be spent from what all share.
func (n *Node) Front(cfg FrontConfig, now Time) *Front {
	f := &Front{cfg: cfg, node: n, kinds: map[string]int{}, fresh: 1, rules: attempts.New(attempts.Config{Front: cfg.Name,
		RepeatsPerSecond: n.cfg.Repeats, ColdPerSecond: n.cfg.Cold, WarmWithin: cfg.Settings.WarmWithin})}
	if n.cfg.Repeats > 0 {
		n.SetLimits(f.rules.Repeats(), map[string]float64{f.rules.Repeats(): n.cfg.Repeats}, now)
	}
	n.fronts = append(n.fronts, f)
	return f
}

// Listed takes a list of workers, whole or changes to it. It is to be called before the
// decisions hear of it: a cold worker's budget is there then.
func (f *Front) Listed(lines []Line, whole bool, wall int64, now Time) {
	if whole {
		clear(f.kinds)
	}
	list := make([]attempts.Worker, len(lines))
	for i, l := range lines {
		list[i] = attempts.Worker{Name: l.Name, Since: l.Since, Gone: l.Gone}
		f.kinds[l.Name] = l.Kind
		if l.Gone {
			delete(f.kinds, l.Name)
		}
	}
	if f.rules.Listed(list, whole, wall, attempts.Time(now)) {
		limits, _ := f.rules.Cold(attempts.Time(now))
		f.node.SetLimits(f.rules.Prefix(), limits, now)
	}
}

// Allow spends an attempt from the budgets that it concerns; repeat tells that the one
// before it failed.
func (f *Front) Allow(worker string, repeat bool, now Time) attempts.Refusal {
	return f.rules.Spend(worker, repeat, attempts.Time(now), func(key string) bool { return f.node.Spend(key, 1, now) })
}

const (
	answerPart = 0.3  // guess of an answer's length as part of its limit
	keptWeight = 0.05 // of one read in the mean of what is found kept
)

// Work is what an attempt puts on its worker.
func (f *Front) Work(worker string, r *logic.Request) counts.Work {
	w := counts.Work{Held: r.PromptTokens + answerPart*r.MaxTokens}
	switch k := f.kind(f.kinds[worker]); k.Role {
	case logic.RoleRead:
		return counts.Work{Unread: f.fresh * r.PromptTokens}
	case logic.RoleBoth:
		w.Unread = f.fresh * r.PromptTokens
	}
	return w
}

// Kept notes how much of a prompt was found kept where it was read: no more than the rest
// of it is a load.
func (f *Front) Kept(prompt, kept float64) {
	if prompt > 0 {
		f.fresh += keptWeight * (min(max(1-kept/prompt, 0), 1) - f.fresh)
	}
}

func (f *Front) kind(i int) logic.Kind {
	if i < len(f.cfg.Settings.Kinds) {
		return f.cfg.Settings.Kinds[i]
	}
	return logic.Kind{Role: logic.RoleBoth}
}

// Charge notes own work at a worker, sent or, if negative, done.
func (n *Node) Charge(worker string, w counts.Work) {
	if w != (counts.Work{}) {
		n.work.Add(worker, w)
	}
}

// Observe notes how an own attempt at a worker of this incarnation ended; outlier.None is well.
func (n *Node) Observe(worker string, since int64, f outlier.Fault, now Time) {
	n.outliers.Observe(worker, since, f, outlier.Time(now))
}

// FaultOf is what an attempt's end says of its worker. What was turned away or called off
// says nothing.
func FaultOf(s logic.Status) (f outlier.Fault, says bool) {
	switch s {
	case logic.Served, logic.PromptRead:
		return outlier.None, true
	case logic.ServerError:
		return outlier.Errors, true
	case logic.ConnectionReset:
		return outlier.Resets, true
	case logic.ConnectFailed:
		return outlier.Connect, true
	}
	return outlier.None, false
}

// Told is what the others have at a worker, as the decisions take it.
type Told struct {
	Server logic.ServerID
	Load   logic.Load
}

// Confer judges anew. It returns the part of its traffic that each worker gets that does not
// get all, and, where it is due, what there is to tell of others' work, by front. The lists are
// those of the fronts, in their order.
func (n *Node) Confer(lists [][]Line, now Time) (parts map[string]float64, told [][]Told) {
	var workers []outlier.Worker
	known := map[string]bool{}
	for i, lines := range lists {
		for _, l := range lines {
			workers = append(workers, outlier.Worker{Name: l.Name, Since: l.Since, Kind: n.fronts[i].cfg.Name + strconv.Itoa(l.Kind), Zone: strconv.Itoa(l.Cell)})
			known[l.Name] = true
		}
	}
	n.outliers.Judge(outlier.Time(now))
	parts = n.outliers.Parts(workers, outlier.Time(now))
	n.outliers.Keep(func(name string) bool { return known[name] })
	for _, name := range slices.Sorted(maps.Keys(parts)) {
		if was, ok := n.parts[name]; parts[name] == 0 && (!ok || was > 0) {
			n.notices = append(n.notices, Notice{Kind: WorkerOut, Name: name})
		}
	}
	for _, name := range slices.Sorted(maps.Keys(n.parts)) {
		if part, ok := parts[name]; n.parts[name] == 0 && (!ok || part > 0) {
			n.notices = append(n.notices, Notice{Kind: WorkerBack, Name: name})
		}
	}
	n.parts = parts
	if n.cfg.Counts > 0 && now-n.told >= n.cfg.Counts && len(n.names) > 1 && (n.told > 0 || n.work.Heard(counts.Time(now)) > 0) {
		n.told = now
		told = n.tell(lists, now)
	}
	return parts, told
}

func (n *Node) tell(lists [][]Line, now Time) [][]Told {
	peers := map[string]counts.Work{}
	n.work.Peers(counts.Time(now), func(w string, v counts.Work) { peers[w] = v })
	all := float64(len(n.names))
	out := make([][]Told, len(lists))
	for i, lines := range lists {
		f := n.fronts[i]
		if f.cfg.Reports {
			continue
		}
		for _, l := range lines {
			// The decisions take the peers' part of the read load that a worker reports, and all of its memory.
			load := logic.Load{HasUnread: true, UnreadToken: peers[l.Name].Unread * all / (all - 1)}
			if memory := f.kind(l.Kind).MemoryTokens; memory > 0 {
				load.HasMemory, load.MemoryShare = true, (n.work.Own(l.Name).Held+peers[l.Name].Held)/memory
			}
			out[i] = append(out[i], Told{l.Server, load})
		}
	}
	return out
}

// View is what this router knows of the others.
type View struct {
	Life         uint64
	Fenced, Deaf bool
	Routers      []members.Router
}

// Members tells who is there.
func (n *Node) Members(now Time) View {
	return View{n.members.Life(), n.members.Fenced(), n.members.Deaf(members.Time(now)), n.members.Routers(members.Time(now))}
}

// Budgets tells what may be spent.
func (n *Node) Budgets(now Time) []budget.View { return n.ledger.Views(budget.Time(now)) }

// Worker tells what is known of one worker: the part of its traffic that it gets, who judges
// it, and what the other routers have there.
func (n *Node) Worker(name string, now Time) (part float64, k outlier.Case, peers counts.Work) {
	part = 1
	if p, ok := n.parts[name]; ok {
		part = p
	}
	n.work.Peers(counts.Time(now), func(w string, v counts.Work) {
		if w == name {
			peers = v
		}
	})
	return part, n.outliers.Case(name, outlier.Time(now)), peers
}
