// Package engine is a model of the servers of a disaggregated model service: readers that
// read prompts one by one and keep texts and read states, writers that write many answers
// at once out of a bounded memory, mixed servers that do both. Servers start cold and fall
// over when they are pushed while they are. The shapes are those of the brief's section on
// the fleet; the figures are the caller's.
//
// It is a model, not a server: nothing is timed but by the clock that is handed in, so the
// same model stands behind sockets (lab/emulator) and in virtual time (lab/virtual). A Site
// is not safe for concurrent use.
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

// Kind holds the figures of one kind of server. Rates are those of a warm one.
type Kind struct {
	Role       logic.Role
	ReadRate   float64       // prompt tokens a second
	ReadBase   time.Duration // of each read, whatever its length
	Queue      int           // reads that may wait; more are turned away
	Keep       float64       // tokens of texts that it keeps, the least recently used go first
	States     float64       // tokens of read states that may wait there; more are turned away
	FetchRate  float64       // tokens of a state that a writer takes over a second
	Step       time.Duration // of one token of each running answer, with few of them
	StepDouble float64       // so many running answers double the step
	Memory     float64       // tokens of running answers and their prompts
	Wait       int           // answers that may wait for memory; more are turned away
}

// Cold says how servers start and what pushes them over.
type Cold struct {
	Share        float64       // of its capacity that a server has at its start
	WarmWithin   time.Duration // all of it after this
	FallMultiple float64       // of what it bears at present, for FallAfter: it falls over
	FallAfter    time.Duration
	Down         time.Duration // until it starts again
}

// Fault is what is wrong with a server. The zero value is nothing.
type Fault struct {
	Errors bool    // answers everything with an error at once
	Silent bool    // takes everything and does nothing
	Slow   float64 // times as slow; 0 and 1 are not
	Spoil  float64 // part of the answers that break off after they have begun
}

// Spec is one server of a site.
type Spec struct {
	Name       string
	Kind       int // of Config.Kinds
	Zone, Cell int
	Started    time.Duration // on the site's clock; cold from then on. Negative by WarmWithin or more: warm
}

// Config describes a site.
type Config struct {
	Kinds   []Kind
	Cold    Cold
	Servers []Spec
}

// Zones is how many zones the servers are in.
func (c *Config) Zones() int {
	n := 1
	for _, s := range c.Servers {
		n = max(n, s.Zone+1)
	}
	return n
}

// Job is a prompt with the answer that it will have.
type Job struct {
	ID              string
	Prefix, Session uint64 // texts that it shares; 0: none
	PrefixTokens    float64
	PromptTokens    float64
	AnswerTokens    int
}

// Answer is what a server says at once.
type Answer uint8

// What a server may say at once.
const (
	Taken   Answer = iota
	Full           // not run: no room
	NoState        // not run: the read state is nowhere
	Failed         // an error
	Unheard        // nobody is there
)

// EventKind says what has happened.
type EventKind uint8

// What may happen to a job that was taken.
const (
	Read  EventKind = iota // the state waits at the reader; Kept prompt tokens were there
	First                  // the first token is written
	Token                  // Tokens more are
	Done                   // the answer is whole; Kept holds if this server read the prompt
	Lost                   // the server broke off
)

// Event is something that happened at a server.
type Event struct {
	At     time.Duration
	Server string
	Job    string
	Kind   EventKind
	Kept   float64
	Tokens int
}

// Line is what discovery says of a server.
type Line struct {
	Spec
	Up    bool
	Since time.Duration
}

// Site is all servers together with the states between them.
type Site struct {
	cfg     Config
	rng     *rand.Rand
	servers []*server
	byName  map[string]*server
	states  map[string]*server // where the state of a job waits
	sizes   map[string]float64
	changes int
	Fell    int // times that a server was pushed over
}

type server struct {
	Spec
	kind    *Kind
	fault   Fault
	at      time.Duration // advanced so far
	down    time.Duration // until when; 0: up
	since   time.Duration
	over    time.Duration // for how long it has been pushed
	reads   []*job        // the first one is being read
	writes  []*job
	waits   []*job // for memory
	memory  float64
	waiting float64 // tokens of states
	texts   map[uint64]*text
	kept    float64
}

type text struct {
	tokens float64
	used   time.Duration
}

type job struct {
	Job
	kept   float64
	left   float64 // seconds of reading or fetching at full speed
	tokens float64 // still to be written
	told   int     // tokens that were told of
	begun  bool
	spoilt int // it breaks off once so many tokens are written; 0: never
}

// New returns a site at time 0.
func New(cfg Config, seed uint64) *Site {
	s := &Site{cfg: cfg, rng: rand.New(rand.NewPCG(seed, 11)), byName: map[string]*server{}, states: map[string]*server{}, sizes: map[string]float64{}}
	for _, spec := range cfg.Servers {
		v := &server{Spec: spec, kind: &s.cfg.Kinds[spec.Kind], since: spec.Started, texts: map[uint64]*text{}}
		s.servers = append(s.servers, v)
		s.byName[spec.Name] = v
	}
	return s
}

// Changes counts what discovery has to tell: it grows with each start and fall.
func (s *Site) Changes() int { return s.changes }

// List is what discovery says.
func (s *Site) List() []Line {
	out := make([]Line, len(s.servers))
	for i, v := range s.servers {
		out[i] = Line{v.Spec, v.down == 0, v.since}
	}
	return out
}

// Set gives a server a fault, or with its zero value takes it away.
func (s *Site) Set(name string, f Fault) {
	if v := s.byName[name]; v != nil {
		v.fault = f
	}
}

// Kill ends a server for a while; what it had is lost, and it starts again cold.
func (s *Site) Kill(name string, now, down time.Duration) []Event {
	v := s.byName[name]
	if v == nil || v.down != 0 {
		return nil
	}
	return s.fall(v, now, down, nil)
}

func (s *Site) fall(v *server, now, down time.Duration, out []Event) []Event {
	for _, jobs := range [][]*job{v.reads, v.writes, v.waits} {
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
	v.reads, v.writes, v.waits, v.memory, v.waiting, v.kept, v.over = nil, nil, nil, 0, 0, 0, 0
	clear(v.texts)
	v.down = now + down
	s.changes++
	return out
}

// capacity is the part of its full speed that a server has.
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

// pushed is how many times what it bears at present a server is asked for.
func (s *Site) pushed(v *server, now time.Duration) float64 {
	c := s.capacity(v, now)
	backlog := 0.0
	for _, j := range v.reads {
		backlog += j.left
	}
	push := 0.0
	if span := s.cfg.Cold.FallAfter.Seconds(); span > 0 {
		push = backlog / c / span
	}
	if v.kind.StepDouble > 0 {
		push = max(push, float64(len(v.writes)+len(v.waits))/(c*v.kind.StepDouble))
	}
	return push
}

// Arrive brings a job to a server.
func (s *Site) Arrive(name string, j Job, now time.Duration) Answer {
	v := s.byName[name]
	switch {
	case v == nil || v.down != 0:
		return Unheard
	case v.fault.Errors:
		return Failed
	}
	w := &job{Job: j, tokens: float64(max(j.AnswerTokens, 1))}
	if v.fault.Spoil > 0 && s.rng.Float64() < v.fault.Spoil {
		w.spoilt = 1 + s.rng.IntN(max(j.AnswerTokens, 1))
	}
	switch k := v.kind; k.Role {
	case logic.RoleRead:
		if len(v.reads) >= k.Queue || k.States > 0 && v.waiting+j.PromptTokens > k.States {
			return Full
		}
		s.read(v, w, now)
	case logic.RoleWrite:
		from := s.states[j.ID]
		if from == nil {
			return NoState
		}
		if !v.roomFor(w) && len(v.waits) >= k.Wait {
			return Full
		}
		s.let(j.ID)
		w.left = j.PromptTokens / k.FetchRate
		v.write(w)
	default:
		if len(v.reads) >= k.Queue {
			return Full
		}
		s.read(v, w, now)
	}
	return Taken
}

func (v *server) size(w *job) float64 { return w.PromptTokens + float64(w.AnswerTokens) }

func (v *server) roomFor(w *job) bool {
	return v.kind.Memory <= 0 || v.memory+v.size(w) <= v.kind.Memory
}

func (v *server) write(w *job) {
	if !v.roomFor(w) {
		v.waits = append(v.waits, w)
		return
	}
	v.memory += v.size(w)
	v.writes = append(v.writes, w)
}

// read queues a prompt; what is kept of it now need not be read.
func (s *Site) read(v *server, w *job, now time.Duration) {
	v.keep(w, now)
	w.left = v.kind.ReadBase.Seconds() + (w.PromptTokens-w.kept)/v.kind.ReadRate
	v.reads = append(v.reads, w)
}

// keep finds what is kept of a job's texts, and keeps them from now on.
func (v *server) keep(w *job, now time.Duration) {
	tokens := w.PrefixTokens
	for _, key := range [2]uint64{w.Prefix, w.Session} {
		if key != 0 && tokens > 0 {
			t := v.texts[key]
			if t == nil {
				t = &text{}
				v.texts[key] = t
			}
			w.kept = max(w.kept, min(t.tokens, tokens))
			v.kept += max(tokens-t.tokens, 0)
			t.tokens, t.used = max(tokens, t.tokens), now
		}
		tokens = w.PromptTokens
	}
	w.kept = min(w.kept, w.PromptTokens)
	for v.kept > v.kind.Keep && len(v.texts) > 1 {
		oldest := slices.MinFunc(slices.Collect(maps.Keys(v.texts)), func(a, b uint64) int {
			return cmp.Or(cmp.Compare(v.texts[a].used, v.texts[b].used), cmp.Compare(a, b))
		})
		v.kept -= v.texts[oldest].tokens
		delete(v.texts, oldest)
	}
}

// let forgets a state.
func (s *Site) let(id string) {
	if v := s.states[id]; v != nil {
		v.waiting = max(0, v.waiting-s.sizes[id])
		delete(s.states, id)
		delete(s.sizes, id)
	}
}

// Release lets go of what is held for a job, wherever that is.
func (s *Site) Release(id string) { s.let(id) }

// Held is how many states wait.
func (s *Site) Held() int { return len(s.states) }

// HeldJobs names the jobs whose states wait, in order.
func (s *Site) HeldJobs() []string { return slices.Sorted(maps.Keys(s.states)) }

// Cancel takes a job away from a server. It tells whether it was there.
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
	for _, jobs := range []*[]*job{&v.reads, &v.waits} {
		if i := slices.IndexFunc(*jobs, mine); i >= 0 {
			*jobs = slices.Delete(*jobs, i, i+1)
			return true
		}
	}
	return false
}

// admit lets in who waited for memory, in order.
func (v *server) admit() {
	for len(v.waits) > 0 && v.roomFor(v.waits[0]) {
		w := v.waits[0]
		v.waits = v.waits[1:]
		v.write(w)
	}
}

// look is how often a cold server is looked at, since its speed and its push change.
const look = 50 * time.Millisecond

// Next is when something happens at the latest if nothing is asked for meanwhile.
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
	if v.down != 0 {
		return v.down, true
	}
	if v.fault.Silent || len(v.reads)+len(v.writes) == 0 {
		return 0, false
	}
	wait := math.Inf(1)
	if len(v.reads) > 0 {
		wait = v.reads[0].left / s.capacity(v, v.at)
	}
	step := s.step(v, v.at)
	for _, w := range v.writes {
		switch {
		case w.left > 0:
			wait = min(wait, w.left)
		case !w.begun:
			wait = min(wait, step)
		default:
			wait = min(wait, w.tokens*step)
			if w.spoilt > 0 {
				wait = min(wait, max(float64(w.spoilt-w.told), 0)*step)
			}
		}
	}
	at := v.at + time.Duration(math.Ceil(wait*1e9)) + 1
	if s.cold(v, v.at) {
		at = min(at, v.at+look)
	}
	return at, true
}

// step is how long one token of each running answer takes by now, in seconds.
func (s *Site) step(v *server, now time.Duration) float64 {
	return v.kind.Step.Seconds() * (1 + float64(len(v.writes))/max(v.kind.StepDouble, 1)) / s.capacity(v, now)
}

// Advance brings all servers up to now and returns what happened, in order.
func (s *Site) Advance(now time.Duration) []Event {
	var out []Event
	for _, v := range s.servers {
		out = s.advance(v, now, out)
	}
	slices.SortStableFunc(out, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return out
}

func (s *Site) advance(v *server, now time.Duration, out []Event) []Event {
	for v.at < now {
		if v.down != 0 {
			if v.down > now {
				v.at = now
				break
			}
			v.at, v.since, v.down = v.down, v.down, 0
			s.changes++
			continue
		}
		to := now
		if at, ok := s.next(v); ok && at < to {
			to = at
		}
		if s.cold(v, v.at) {
			to = min(to, v.at+look)
			if s.pushed(v, v.at) > s.cfg.Cold.FallMultiple {
				if v.over += to - v.at; v.over >= s.cfg.Cold.FallAfter {
					s.Fell++
					out = s.fall(v, to, s.cfg.Cold.Down, out)
					v.at = to
					continue
				}
			} else {
				v.over = 0
			}
		}
		if !v.fault.Silent {
			out = s.work(v, to, out)
		}
		v.at = to
	}
	return out
}

// work does what a server does up to a time within which its speed is the same.
func (s *Site) work(v *server, to time.Duration, out []Event) []Event {
	const tiny = 1e-9
	span, speed, step := (to - v.at).Seconds(), s.capacity(v, v.at), s.step(v, v.at)
	// Answers first: one whose prompt is read within the span has not been written at yet.
	var keep []*job
	for _, w := range v.writes {
		if w.left > 0 {
			if w.left -= span; w.left > tiny {
				keep = append(keep, w)
				continue
			}
			w.left = 0
		} else {
			w.tokens -= span / step
		}
		written := int(float64(w.AnswerTokens) - max(w.tokens, 0) + tiny)
		if written > w.told && w.tokens > tiny {
			kind := Token
			if !w.begun {
				kind, w.begun = First, true
			}
			out = append(out, Event{At: to, Server: v.Name, Job: w.ID, Kind: kind, Tokens: written - w.told})
			w.told = written
		}
		switch {
		case w.spoilt > 0 && w.told >= w.spoilt && w.begun:
			out = append(out, Event{At: to, Server: v.Name, Job: w.ID, Kind: Lost})
		case w.tokens <= tiny:
			if !w.begun {
				out = append(out, Event{At: to, Server: v.Name, Job: w.ID, Kind: First, Tokens: 1})
			}
			out = append(out, Event{At: to, Server: v.Name, Job: w.ID, Kind: Done, Kept: w.kept, Tokens: w.AnswerTokens - w.told})
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
		done := min(left, w.left)
		w.left -= done
		left -= done
		if w.left > tiny {
			break
		}
		w.left = 0
		v.reads = v.reads[1:]
		if v.kind.Role == logic.RoleRead {
			s.let(w.ID) // read elsewhere before: that state is of no use any more
			s.states[w.ID], s.sizes[w.ID] = v, w.PromptTokens
			v.waiting += w.PromptTokens
			out = append(out, Event{At: to, Server: v.Name, Job: w.ID, Kind: Read, Kept: w.kept})
		} else {
			v.write(w)
		}
	}
	return out
}
