package logic

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// This file holds what the module remembers, and plain arithmetic. It decides nothing and holds no
// tuned value; the decisions are in the files beside it.

type phase uint8

const (
	held      phase = iota // no attempt out
	reading                // attempt out at a reader
	writing                // attempt out at a writer or mixed server, not started
	streaming              // the answer has started
)

// request is one request from its arrival until nothing of it is out.
type request struct {
	Request
	arrived, deadline Time
	most              int // attempts, by the settings at its arrival
	aim               time.Duration
	worth             float64 // 0 to 1: points against the best class, next to nothing past a quota
	phase             phase
	out, closed       bool // an attempt is out; the final answer is given or the client gone
	called            bool // the attempt has been called off
	mayHaveRun        bool // some attempt at ranServer, sent at ranAt, may have had its effect
	sends, failed     int
	unreached         int // of the sends, those that never reached their server
	server, ranServer *server
	tried             []*server // and failed there
	reader            *server   // where the read state waits; nil: none
	sentAt, ranAt     Time
	check             Time      // when a timer has something to look at
	idleSince         Time      // since when no attempt is out that has reached a server
	heldSince         Time      // since when a state waits for which no server has answered
	releaseArmed      Time      // when a timer looks whether the state is to be let go of
	released          bool      // the state was let go of beside the attempt that is out
	moveAt            Time      // when its running stream is to be moved; 0: not
	homes             []*server // readers where its prefix meets
	renewed           float64   // part of a prefix that own requests alone keep warm anywhere
	meets             Key       // by which it meets others
	invitedTo         *server   // cold, and it may go there without a credit
	asked             *stage    // that it is counted at, with its outcome open
	part              float64   // what it counts for there
	charge, ahead     float64   // tokens charged to the server's read load, and the load found there
	memory            float64   // tokens charged to a writer's memory
	need              float64   // seconds that its reading and fetching take without a wait
}

// entry is what a table holds of a key at one reader.
type entry struct {
	tokens float64
	used   Time
}

// server is what this gateway knows of one server.
type server struct {
	Member
	role           Role
	memory         float64
	pull           float64 // its part of what peers send, against an average server
	writerPressure float64 // load of the writers of its cell, against the mean, if all states stay near
	began          Time    // its latest start, or when it was heard of if its clock is ahead
	listed         bool
	kept           map[Key]entry
	unread         float64 // prompt tokens sent and not yet read
	abandoned      fading  // tokens left behind by time-outs; at a writer, those of work that it turned away
	tokens, since  float64 // own tokens in its memory; those sent since its last report
	slow           fading  // observed time against its kind's pace, less one
	streams        int
	waiting        int  // own attempts out that have not begun to answer
	fails          int  // bad signs in a row
	lastSignAt     Time // last sign of life, or the send that ended idleness
	suspectUntil   Time // suspect until its trial at this time; 0: not suspect
	unreachableAt  Time // when it could last not be reached; 0: it always could
	creditsGivenAt Time // up to when its credits have accrued
	creditsLapseAt Time // when those in coldCredits lapse
	coldCredits    int  // credits for single sends while it is in slow start
	load           Load
	loadAt         Time
}

// turnedAway is the part of a writer's memory that stands for its having had no room; of other servers it is
// load (pending).
func (s *server) turnedAway(now Time) float64 {
	if s.role != RoleWrite {
		return 0
	}
	return s.abandoned.value(now, abandonedFade) / s.memory
}

// fading is a value that decays towards zero with time.
type fading struct {
	v  float64
	at Time
}

func (f fading) value(now Time, over time.Duration) float64 {
	return f.v * math.Exp(-math.Max(float64(now-f.at), 0)/float64(over))
}

func (f *fading) add(now Time, over time.Duration, x float64) { f.v, f.at = f.value(now, over)+x, now }

// pace is the usual speed of a kind: tokens and seconds, slowly averaged, and how far single times stray.
type pace struct {
	n                    int
	tok, sec, ratio, dev float64
}

func (p *pace) seconds(tok float64) float64 { return p.sec / p.tok * tok }

// pool is what is known of all usable servers of one role together.
type pool struct {
	n        int
	reports  int
	share    float64 // mean part of the memory held, by reports or by own tokens and as many of each peer
	unread   fading  // mean of the reported read loads
	wait     fading  // seconds that requests wait there beyond the usual
	roomiest *server // of the usable ones by their reports; nil without any
}

// stage is what all servers that read, or that answer, do for this gateway.
type stage struct {
	n, units float64     // of the usable servers: how many, and the sum of their warmth
	cold     []*server   // of those that requests meet at
	served   fading      // own requests, by what a unit of warmth bore of them
	offered  fading      // own requests that came to it
	past     [32]meeting // of the last ones
	last     int
}

// meeting is what a request met others by, and when.
type meeting struct {
	key Key
	at  Time
}

// coldest is the cold server at which requests of a key meet: of all that read, or of the writers of a cell.
func (st *stage) coldest(key Key) (at *server) {
	least := 2.0
	for _, s := range st.cold {
		if s.role == RoleWrite && Key(s.Cell+1) != key {
			continue
		}
		if x := hash(key, s.Server); x < least {
			at, least = s, x
		}
	}
	return at
}

// addToStages adds a usable server to the stages that it has a part in.
func (g *Gateway) addToStages(s *server, warmth float64) {
	for i := range g.stages {
		if st := &g.stages[i]; s.role == RoleBoth || s.role.stage() == i {
			st.n++
			st.units += warmth
			if warmth < 1 && s.fails == 0 && (i == 0 || s.role == RoleWrite) {
				st.cold = append(st.cold, s)
			}
		}
	}
}

// perWarmth is what own requests had done a second by each unit of warmth there. Memory of a gateway that
// has begun just now reaches back to that, not further.
func (st *stage) perWarmth(now, born Time) float64 {
	known := 1 - math.Exp(-math.Max(after(born, now).Seconds(), 1)/rateMemory.Seconds())
	return math.Max(0, st.served.value(now, rateMemory)) / rateMemory.Seconds() / known
}

// settleStage takes how a request ended at the stage that it was counted at, if it is counted still.
func (g *Gateway) settleStage(r *request, done bool) {
	if r.asked == nil {
		return
	}
	r.asked.served.add(g.now, rateMemory, -r.part)
	if done {
		r.asked.served.add(g.now, rateMemory, 1/r.asked.units)
	}
	r.asked = nil
}

// stage is the one that a request comes to next.
func (r *request) stage() int {
	if r.reader != nil {
		return 1
	}
	return 0
}

// stage is 0 where a server only reads, 1 where it answers.
func (r Role) stage() int {
	if r == RoleRead {
		return 0
	}
	return 1
}

// home is where the prompts of a prefix meet when all gateways hash alike.
type home struct {
	servers []*server
	seen    fading
}

type bucket struct {
	level float64
	at    Time
}

func (s *server) usable() bool { return s.listed && s.Health == Ready }

// holds tells what the table has of the request's prompt at s, and whether that is its own session's.
func (s *server) holds(r *request) (e entry, own bool) {
	e, session := s.kept[r.Prefix], s.kept[r.Session]
	e.tokens = math.Min(e.tokens, r.PrefixTokens)
	if session.tokens > e.tokens {
		return entry{math.Min(session.tokens, r.PromptTokens), session.used}, true
	}
	return e, false
}

// free takes the end of an attempt. One that never reached its server has left what is held as it was.
func (r *request) free(now Time, unreached bool) {
	r.out, r.phase = false, held
	if unreached {
		r.unreached++
	} else {
		r.idleSince = now
	}
}

// settle takes an attempt's charges back.
func (r *request) settle() {
	r.server.waiting--
	r.server.unread = math.Max(0, r.server.unread-r.charge)
}

func byHash(servers []*server, key func(*server) float64) {
	slices.SortFunc(servers, func(a, b *server) int { return cmp.Compare(key(a), key(b)) })
}

// hash is alike at all gateways, uniform in (0, 1].
func hash(k Key, s ServerID) float64 {
	x := uint64(k) ^ uint64(s)*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return float64((x^x>>31)>>11+1) / (1 << 53)
}

func after(from, to Time) time.Duration { return time.Duration(to - from) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func finite(v, least, most float64) float64 {
	if math.IsNaN(v) || v < least {
		return least
	}
	return math.Min(v, most)
}

// Gateway is one instance of the decisions.
type Gateway struct {
	set             Settings
	peers           float64 // other gateways
	peerShare       float64 // part of the traffic that is theirs
	unseenShare     float64 // the same, vanishing as own streams at each server become many
	rng             *rand.Rand
	now             Time
	out             []Action
	servers         []*server // in the order in which they were first listed
	byID            map[ServerID]*server
	requests        map[RequestID]*request
	reads           []pace // by kind, to the state read or at a mixed server to the first token
	fetch           pace   // from the send to a writer to the first token
	pools           [3]pool
	stages          [2]stage
	homes           map[Key]*home
	seen            fading // arrivals with a prefix, as home.seen
	quota           []bucket
	delay           fading  // seconds from arrivals to first tokens beyond the need
	maxWorth        float64 // best points
	arrivalGap      float64 // mean seconds between arrivals
	lastArrival     Time
	warming         bool // some usable server is not warm yet
	reports         bool // servers report their memory
	startedAt       Time // when this instance began
	surveyed, swept Time
	figures         []float64 // by zone, as a map of traffic tells them; nil: none
	closing         bool      // the instance is about to end; what is in hand is given up
}

func (g *Gateway) do(a Action) { g.out = append(g.out, a) }

func (g *Gateway) arm(r *request, d time.Duration) {
	g.do(Action{Kind: SetTimer, After: d, Token: uint64(r.ID)})
}

func (g *Gateway) class(r *request) *Class { return &g.set.Classes[r.Class] }

// readSeconds is how long s takes for so many prompt tokens.
func (g *Gateway) readSeconds(s *server, tokens float64) float64 {
	return g.reads[s.Kind].seconds(tokens) * g.slowness(s)
}

// waitAt is how long, in seconds, requests have lately waited at the servers of a role beyond the usual.
// It fades with time, or where this gateway sees little with a few of its arrivals.
func (g *Gateway) waitAt(role Role) float64 { return g.pools[role].wait.value(g.now, g.waitSpan()) }

// record notes the request's keys at a server that reads it.
func (s *server) record(r *request, now Time) {
	tokens := r.PrefixTokens
	for _, k := range [2]Key{r.Prefix, r.Session} {
		if e, ok := s.kept[k]; k != 0 && tokens > 0 && (ok || len(s.kept) < keysPerServer) {
			s.kept[k] = entry{math.Max(tokens, e.tokens), now}
		}
		tokens = r.PromptTokens
	}
}

// sweep purges aged entries and servers that are gone with nothing out.
func (g *Gateway) sweep() {
	if after(g.swept, g.now) < sweepEvery {
		return
	}
	g.swept = g.now
	if g.warming {
		g.balance()
	}
	old := func(used Time) bool { return after(used, g.now) >= keepFor }
	for k, h := range g.homes {
		if old(h.seen.at) {
			delete(g.homes, k)
		}
	}
	g.servers = slices.DeleteFunc(g.servers, func(s *server) bool {
		for k, e := range s.kept {
			if old(e.used) {
				delete(s.kept, k)
			}
		}
		gone := !s.listed && s.waiting == 0 && s.streams == 0
		if gone {
			delete(g.byID, s.Server)
		}
		return gone
	})
}

// began is when a listed server has started, now at the latest.
func (g *Gateway) began(m Member) Time { return min(cmp.Or(m.Began, m.Since), g.now) }

// warmth is the least part of its capacity that a fresh server may have by now.
func (g *Gateway) warmth(s *server) float64 {
	age := after(s.began, g.now)
	if s.Since == 0 || age >= g.set.WarmWithin {
		return 1
	}
	return g.set.ColdShare + (1-g.set.ColdShare)*math.Max(float64(age), 0)/float64(g.set.WarmWithin)
}

// missed notes that the server could not be reached, if it could not be before as well. Credits do not accrue
// meanwhile, beyond a moment.
func (s *server) missed(now Time, unreachable bool, moment time.Duration) {
	if unreachable && s.fails > 1 {
		s.unreachableAt, s.creditsGivenAt = now, max(s.creditsGivenAt, now-Time(moment))
	}
}

// mostFigure is what a figure counts for at most: a server of a zone that gets nothing is the last one to
// be used.
const mostFigure = 1e6

// SetZones takes a figure for each zone, by its index, which stands for the usual cost of distance from
// now on: what a server there counts for against one of figure 1. A zone past the list, or whose figure
// makes no sense, counts as without one; nil ends them all.
func (g *Gateway) SetZones(figures []float64) { g.figures = slices.Clone(figures) }

// distance is what a server counts for by its zone alone.
func (g *Gateway) distance(s *server) float64 {
	if s.Zone >= 0 && s.Zone < len(g.figures) && g.figures[s.Zone] > 0 {
		return math.Min(g.figures[s.Zone], mostFigure)
	}
	if s.Zone != g.set.Zone {
		return farScale
	}
	return 1
}
