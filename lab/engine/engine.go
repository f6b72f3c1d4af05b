// Package engine models the servers of a disaggregated model service: readers that read prompts one
// after the other and keep cached texts and read states, writers that write many answers at once
// within a limited memory, and mixed servers that do both. Servers start cold, and crash if they
// are overloaded while they are cold. The behaviour follows the platform's description of its
// fleet; the caller supplies the rates and sizes.
//
// The model keeps no clock: each call passes the time. The same model therefore runs behind sockets
// in real time (lab/emulator) and in virtual time (lab/virtual). A Site is not safe for concurrent
// use.
package engine

import (
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"lichenshelf/logic"
)

// Kind holds the rates and sizes of one kind of server. Rates are those of a warm server.
type Kind struct {
	Role        logic.Role
	ReadRate    float64       // prompt tokens a second
	ReadBase    time.Duration // fixed part of each read, whatever the prompt's length
	ReadQueue   int           // reads in the queue; more are rejected
	CacheTokens float64       // size of the cache of texts, which evicts by least recent use
	StateTokens float64       // size of the held read states; more are rejected; 0: no limit
	FetchRate   float64       // tokens of a read state that a writer fetches in a second
	Step        time.Duration // time for one token of each running answer, with few of them
	StepDouble  float64       // number of running answers that doubles the step
	Memory      float64       // tokens of running answers and their prompts; 0: no limit
	WriteQueue  int           // answers that may wait for memory; more are rejected
}

// Cold describes how servers warm up and when they crash.
type Cold struct {
	Share        float64       // part of its capacity that a server has at its start
	WarmWithin   time.Duration // from the start until it has all of its capacity
	FallMultiple float64       // load at which a cold server crashes, relative to its capacity
	FallAfter    time.Duration // for which the load must be over FallMultiple
	Downtime     time.Duration // after a crash, until the server starts again
}

// Fault is a fault injected into a server. The zero value is no fault.
type Fault struct {
	Errors     bool    // responds to each job with an error at once
	Silent     bool    // accepts jobs and makes no progress
	Slow       float64 // factor by which it is slower; 0 and 1: not slowed
	BreakShare float64 // part of the answers that break off after they have begun
}

// Spec describes one server of a site.
type Spec struct {
	Name       string
	Kind       int // index in Config.Kinds
	Zone, Cell int
	// Started is on the site's clock, and the server is cold from then on. A server that started
	// WarmWithin or more before time 0 is warm.
	Started time.Duration
}

// Config describes a site.
type Config struct {
	Kinds   []Kind
	Cold    Cold
	Servers []Spec
}

// Zones returns the number of zones that the servers are in.
func (c *Config) Zones() int {
	n := 1
	for _, s := range c.Servers {
		n = max(n, s.Zone+1)
	}
	return n
}

// Job is a prompt with the length of the answer that it will get.
type Job struct {
	ID              string
	Prefix, Session uint64 // keys of the texts that it shares with other jobs; 0: none
	PrefixTokens    float64
	PromptTokens    float64
	AnswerTokens    int
}

// Reply is a server's immediate response to a job.
type Reply uint8

// The immediate responses.
const (
	Accepted    Reply = iota
	Full              // not run: queue or memory is full
	NoState           // not run: no server holds the read state
	Failed            // an error
	Unreachable       // the server is down or unknown
)

// EventKind is the kind of an event.
type EventKind uint8

// The events of an accepted job.
const (
	Read       EventKind = iota // the reader holds the state; Kept prompt tokens were cached
	FirstToken                  // the first token is written
	Token                       // Tokens more are written
	Done                        // complete; Kept as in Read if this server also read the prompt
	Lost                        // the server broke off the job
)

// Event is a step of a job at a server.
type Event struct {
	At     time.Duration
	Server string
	Job    string
	Kind   EventKind
	Kept   float64
	Tokens int
}

// ListedServer is the entry of a server in discovery's list.
type ListedServer struct {
	Spec
	Up    bool
	Since time.Duration // its latest start
}

// Site is the set of servers with the read states that they hold.
type Site struct {
	cfg             Config
	rng             *rand.Rand
	servers         []*server
	byName          map[string]*server
	states          map[string]*server // holder of each job's read state
	sizes           map[string]float64 // of the states, in tokens
	changes         int
	OverloadCrashes int // crashes of cold servers under overload
}

type server struct {
	Spec
	kind          *Kind
	fault         Fault
	advancedTo    time.Duration // the model's time for this server
	downUntil     time.Duration // 0: up
	since         time.Duration // its latest start
	overloadedFor time.Duration
	reads         []*job // the first one is being read
	writes        []*job
	queued        []*job  // answers that wait for memory
	memory        float64 // in use, in tokens
	stateTokens   float64 // size of the held read states
	texts         map[uint64]*text
	cachedTokens  float64 // size of texts
}

// text is a text in a server's cache.
type text struct {
	tokens float64
	used   time.Duration // time of the latest use
}

type job struct {
	Job
	cached     float64
	remaining  float64 // seconds of reading or fetching left at full speed
	unwritten  float64 // tokens of the answer still to be written
	reported   int     // tokens of the answer in the events so far
	begun      bool
	breakAfter int // number of tokens after which the answer breaks off; 0: never
}

// New returns a site at time 0; the seed determines which answers break off.
func New(cfg Config, seed uint64) *Site {
	s := &Site{cfg: cfg, rng: rand.New(rand.NewPCG(seed, 11)), byName: map[string]*server{}, states: map[string]*server{}, sizes: map[string]float64{}}
	for _, spec := range cfg.Servers {
		v := &server{Spec: spec, kind: &s.cfg.Kinds[spec.Kind], since: spec.Started, texts: map[uint64]*text{}}
		s.servers = append(s.servers, v)
		s.byName[spec.Name] = v
	}
	return s
}

// Changes counts the changes of discovery's list: each restart and each crash.
func (s *Site) Changes() int { return s.changes }

// List returns discovery's list.
func (s *Site) List() []ListedServer {
	out := make([]ListedServer, len(s.servers))
	for i, v := range s.servers {
		out[i] = ListedServer{v.Spec, v.downUntil == 0, v.since}
	}
	return out
}

// Set injects a fault into a server; the zero Fault clears it.
func (s *Site) Set(name string, f Fault) {
	if v := s.byName[name]; v != nil {
		v.fault = f
	}
}

// Kill stops a server for downtime. Its jobs, states and texts are lost, and it starts again cold.
func (s *Site) Kill(name string, now, downtime time.Duration) []Event {
	v := s.byName[name]
	if v == nil || v.downUntil != 0 {
		return nil
	}
	return s.crash(v, now, downtime, nil)
}

func (s *Site) crash(v *server, now, downtime time.Duration, out []Event) []Event {
	for _, jobs := range [][]*job{v.reads, v.writes, v.queued} {
		for _, j := range jobs {
			out = append(out, Event{At: now, Server: v.Name, Job: j.ID, Kind: Lost})
		}
	}
	for id, at := range s.states {
		if at == v {
			delete(s.states, id)
			delete(s.sizes, id)
		}
	}
	v.reads, v.writes, v.queued, v.memory, v.stateTokens, v.cachedTokens, v.overloadedFor = nil, nil, nil, 0, 0, 0, 0
	clear(v.texts)
	v.downUntil = now + downtime
	s.changes++
	return out
}

// capacity returns the present speed of a server as a part of its full speed.
func (s *Site) capacity(v *server, now time.Duration) float64 {
	c, age := s.cfg.Cold, now-v.since
	part := 1.0
	if c.WarmWithin > 0 && age < c.WarmWithin {
		part = c.Share + (1-c.Share)*max(float64(age), 0)/float64(c.WarmWithin)
	}
	if v.fault.Slow > 1 {
		part /= v.fault.Slow
	}
	return part
}

func (s *Site) cold(v *server, now time.Duration) bool { return now-v.since < s.cfg.Cold.WarmWithin }

// overload returns a server's load relative to its present capacity.
func (s *Site) overload(v *server, now time.Duration) float64 {
	c := s.capacity(v, now)
	backlog := 0.0
	for _, j := range v.reads {
		backlog += j.remaining
	}
	load := 0.0
	if span := s.cfg.Cold.FallAfter.Seconds(); span > 0 {
		load = backlog / c / span
	}
	if v.kind.StepDouble > 0 {
		load = max(load, float64(len(v.writes)+len(v.queued))/(c*v.kind.StepDouble))
	}
	return load
}

// Arrive submits a job to a server.
func (s *Site) Arrive(name string, j Job, now time.Duration) Reply {
	v := s.byName[name]
	switch {
	case v == nil || v.downUntil != 0:
		return Unreachable
	case v.fault.Errors:
		return Failed
	}
	w := &job{Job: j, unwritten: float64(max(j.AnswerTokens, 1))}
	if v.fault.BreakShare > 0 && s.rng.Float64() < v.fault.BreakShare {
		w.breakAfter = 1 + s.rng.IntN(max(j.AnswerTokens, 1))
	}
	switch k := v.kind; k.Role {
	case logic.RoleRead:
		if len(v.reads) >= k.ReadQueue || k.StateTokens > 0 && v.stateTokens+j.PromptTokens > k.StateTokens {
			return Full
		}
		s.read(v, w, now)
	case logic.RoleWrite:
		from := s.states[j.ID]
		if from == nil {
			return NoState
		}
		if !v.roomFor(w) && len(v.queued) >= k.WriteQueue {
			return Full
		}
		s.dropState(j.ID)
		w.remaining = j.PromptTokens / k.FetchRate
		v.write(w)
	default:
		if len(v.reads) >= k.ReadQueue {
			return Full
		}
		s.read(v, w, now)
	}
	return Accepted
}

func (v *server) size(w *job) float64 { return w.PromptTokens + float64(w.AnswerTokens) }

func (v *server) roomFor(w *job) bool {
	return v.kind.Memory <= 0 || v.memory+v.size(w) <= v.kind.Memory
}

func (v *server) write(w *job) {
	if !v.roomFor(w) {
		v.queued = append(v.queued, w)
		return
	}
	v.memory += v.size(w)
	v.writes = append(v.writes, w)
}

// read queues a prompt. The part of it that is cached now need not be read.
func (s *Site) read(v *server, w *job, now time.Duration) {
	v.cache(w, now)
	w.remaining = v.kind.ReadBase.Seconds() + (w.PromptTokens-w.cached)/v.kind.ReadRate
	v.reads = append(v.reads, w)
}

// cache sets how much of a job's prompt is cached, adds its texts to the cache, and evicts the
// least recently used texts while the cache is over its size.
func (v *server) cache(w *job, now time.Duration) {
	tokens := w.PrefixTokens
	for _, key := range [2]uint64{w.Prefix, w.Session} {
		if key != 0 && tokens > 0 {
			t := v.texts[key]
			if t == nil {
				t = &text{}
				v.texts[key] = t
			}
			w.cached = max(w.cached, min(t.tokens, tokens))
			v.cachedTokens += max(tokens-t.tokens, 0)
			t.tokens, t.used = max(tokens, t.tokens), now
		}
		tokens = w.PromptTokens
	}
	w.cached = min(w.cached, w.PromptTokens)
	for v.cachedTokens > v.kind.CacheTokens && len(v.texts) > 1 {
		oldest := slices.MinFunc(slices.Collect(maps.Keys(v.texts)), func(a, b uint64) int {
			return cmp.Or(cmp.Compare(v.texts[a].used, v.texts[b].used), cmp.Compare(a, b))
		})
		v.cachedTokens -= v.texts[oldest].tokens
		delete(v.texts, oldest)
	}
}

// dropState removes the read state of a job, if a server holds one.
func (s *Site) dropState(id string) {
	if v := s.states[id]; v != nil {
		v.stateTokens = max(0, v.stateTokens-s.sizes[id])
		delete(s.states, id)
		delete(s.sizes, id)
	}
}

// Release releases the read state of a job, at whichever server holds it.
func (s *Site) Release(id string) { s.dropState(id) }

// Held returns the number of read states that are held.
func (s *Site) Held() int { return len(s.states) }

// HeldJobs returns the sorted IDs of the jobs whose read states are held.
func (s *Site) HeldJobs() []string { return slices.Sorted(maps.Keys(s.states)) }

// Cancel removes a job from a server and reports whether it was there.
func (s *Site) Cancel(name, id string) bool {
	v := s.byName[name]
	if v == nil {
		return false
	}
	mine := func(j *job) bool { return j.ID == id }
	if i := slices.IndexFunc(v.writes, mine); i >= 0 {
		v.memory -= v.size(v.writes[i])
		v.writes = slices.Delete(v.writes, i, i+1)
		v.admit()
		return true
	}
	for _, jobs := range []*[]*job{&v.reads, &v.queued} {
		if i := slices.IndexFunc(*jobs, mine); i >= 0 {
			*jobs = slices.Delete(*jobs, i, i+1)
			return true
		}
	}
	return false
}

// admit starts queued answers in order, as far as memory allows.
func (v *server) admit() {
	for len(v.queued) > 0 && v.roomFor(v.queued[0]) {
		w := v.queued[0]
		v.queued = v.queued[1:]
		v.write(w)
	}
}

// coldInterval is the longest step by which a cold server advances, as its speed and its overload
// change continuously.
const coldInterval = 50 * time.Millisecond

// Next returns the latest time for the next call of Advance, provided that no other call changes
// the site before then. It returns false if nothing is due.
func (s *Site) Next() (time.Duration, bool) {
	best, any := time.Duration(math.MaxInt64), false
	for _, v := range s.servers {
		if at, ok := s.next(v); ok && at < best {
			best, any = at, true
		}
	}
	return best, any
}

func (s *Site) next(v *server) (time.Duration, bool) {
	if v.downUntil != 0 {
		return v.downUntil, true
	}
	if v.fault.Silent || len(v.reads)+len(v.writes) == 0 {
		return 0, false
	}
	wait := math.Inf(1)
	if len(v.reads) > 0 {
		wait = v.reads[0].remaining / s.capacity(v, v.advancedTo)
	}
	step := s.step(v, v.advancedTo)
	for _, w := range v.writes {
		switch {
		case w.remaining > 0:
			wait = min(wait, w.remaining)
		case !w.begun:
			wait = min(wait, step)
		default:
			wait = min(wait, w.unwritten*step)
			if w.breakAfter > 0 {
				wait = min(wait, max(float64(w.breakAfter-w.reported), 0)*step)
			}
		}
	}
	at := v.advancedTo + time.Duration(math.Ceil(wait*1e9)) + 1
	if s.cold(v, v.advancedTo) {
		at = min(at, v.advancedTo+coldInterval)
	}
	return at, true
}

// step returns the time for one token of each running answer at present, in seconds.
func (s *Site) step(v *server, now time.Duration) float64 {
	return v.kind.Step.Seconds() * (1 + float64(len(v.writes))/max(v.kind.StepDouble, 1)) / s.capacity(v, now)
}

// Advance brings all servers up to now and returns the events, ordered by time.
func (s *Site) Advance(now time.Duration) []Event {
	var out []Event
	for _, v := range s.servers {
		out = s.advance(v, now, out)
	}
	slices.SortStableFunc(out, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return out
}

func (s *Site) advance(v *server, now time.Duration, out []Event) []Event {
	for v.advancedTo < now {
		if v.downUntil != 0 {
			if v.downUntil > now {
				v.advancedTo = now
				break
			}
			v.advancedTo, v.since, v.downUntil = v.downUntil, v.downUntil, 0
			s.changes++
			continue
		}
		to := now
		if at, ok := s.next(v); ok && at < to {
			to = at
		}
		if s.cold(v, v.advancedTo) {
			to = min(to, v.advancedTo+coldInterval)
			if s.overload(v, v.advancedTo) > s.cfg.Cold.FallMultiple {
				if v.overloadedFor += to - v.advancedTo; v.overloadedFor >= s.cfg.Cold.FallAfter {
					s.OverloadCrashes++
					out = s.crash(v, to, s.cfg.Cold.Downtime, out)
					v.advancedTo = to
					continue
				}
			} else {
				v.overloadedFor = 0
			}
		}
		if !v.fault.Silent {
			out = s.work(v, to, out)
		}
		v.advancedTo = to
	}
	return out
}

// work advances a server's jobs to a time up to which its speed counts as constant.
func (s *Site) work(v *server, to time.Duration, out []Event) []Event {
	const tiny = 1e-9
	span, speed, step := (to - v.advancedTo).Seconds(), s.capacity(v, v.advancedTo), s.step(v, v.advancedTo)
	// Answers are advanced before reads: an answer whose prompt is read within this span gets its
	// first token in a later one.
	var keep []*job
	for _, w := range v.writes {
		if w.remaining > 0 {
			if w.remaining -= span; w.remaining > tiny {
				keep = append(keep, w)
				continue
			}
			w.remaining = 0
		} else {
			w.unwritten -= span / step
		}
		written := int(float64(w.AnswerTokens) - max(w.unwritten, 0) + tiny)
		if written > w.reported && w.unwritten > tiny {
			kind := Token
			if !w.begun {
				kind, w.begun = FirstToken, true
			}
			out = append(out, Event{At: to, Server: v.Name, Job: w.ID, Kind: kind, Tokens: written - w.reported})
			w.reported = written
		}
		switch {
		case w.breakAfter > 0 && w.reported >= w.breakAfter && w.begun:
			out = append(out, Event{At: to, Server: v.Name, Job: w.ID, Kind: Lost})
		case w.unwritten <= tiny:
			if !w.begun {
				out = append(out, Event{At: to, Server: v.Name, Job: w.ID, Kind: FirstToken, Tokens: 1})
			}
			out = append(out, Event{At: to, Server: v.Name, Job: w.ID, Kind: Done, Kept: w.cached, Tokens: w.AnswerTokens - w.reported})
		default:
			keep = append(keep, w)
			continue
		}
		v.memory -= v.size(w)
	}
	v.writes = keep
	v.admit()
	for left := span * speed; len(v.reads) > 0 && left > 0; {
		w := v.reads[0]
		done := min(left, w.remaining)
		w.remaining -= done
		left -= done
		if w.remaining > tiny {
			break
		}
		w.remaining = 0
		v.reads = v.reads[1:]
		if v.kind.Role == logic.RoleRead {
			s.dropState(w.ID) // a state from an earlier read elsewhere is obsolete
			s.states[w.ID], s.sizes[w.ID] = v, w.PromptTokens
			v.stateTokens += w.PromptTokens
			out = append(out, Event{At: to, Server: v.Name, Job: w.ID, Kind: Read, Kept: w.cached})
		} else {
			v.write(w)
		}
	}
	return out
}
