// The interface of this module is logic/api.go; constants that several of its files use are here.

package logic

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Constants. "Ours" marks a starting value of the design; the others guard or bound.
const (
	keepFor       = 30 * time.Second      // a table entry unused for so long has aged out (ours)
	roomShare     = 0.9                   // a writer with less of its memory held has room (ours)
	keysPerServer = 4096                  // table entries a reader; more than it can keep itself
	mostUnseen    = 0.75                  // past it (more than four gateways), own streams tell too little
	baseTokens    = 500                   // tokens that the fixed cost of one attempt is worth
	fastLearn     = 0.15                  // weight of a new sample where there are many
	maxRatio      = 16.0                  // one sample says no more than this about a server
	strayTimes    = 4.0                   // mean deviations past the mean from which a time is unusual
	firstBackoff  = time.Second           // a suspect's first trial; each further one twice as late
	residualFade  = time.Second           // tokens that a time-out leaves behind drain so fast
	unreadFade    = time.Second           // trust in a server's report of its read load fades
	quietFloor    = 50 * time.Millisecond // allowance of any attempt, and the step of its later checks
	holdMargin    = 30 * time.Millisecond // and given up so long before its deadline
)

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

// New returns an instance that knows nothing but its settings.
func New(set Settings, seed uint64) *Gateway {
	set.Gateways = max(set.Gateways, 1)
	// Unknown kinds and classes share a last entry each.
	set.Kinds = append(slices.Clone(set.Kinds), Kind{Role: RoleBoth})
	set.Classes = append(slices.Clone(set.Classes), Class{Aim: time.Second})
	g := &Gateway{set: set, peers: float64(set.Gateways - 1), rng: rand.New(rand.NewPCG(seed, 0)),
		byID: map[ServerID]*server{}, requests: map[RequestID]*request{}, homes: map[Key]*home{},
		reads: make([]pace, len(set.Kinds)), quota: make([]bucket, len(set.Tenants)),
		fetch: pace{tok: 1000, sec: 1e-3, ratio: 1, dev: 1}}
	g.peerShare = g.peers / float64(set.Gateways)
	prior := 1e-9
	for _, c := range set.Classes[:len(set.Classes)-1] {
		prior += c.AimPer1000.Seconds() / float64(len(set.Classes)-1)
		g.maxWorth = math.Max(g.maxWorth, c.Points)
	}
	for i := range g.reads { // until something was read, the aims' growth stands in for the pace
		g.reads[i] = pace{tok: 1000, sec: prior, ratio: 1, dev: 1}
	}
	return g
}

// Retune takes new rules for requests that arrive from now on: the classes by index, and the bound on
// attempts. Open requests keep the rules they arrived under.
func (g *Gateway) Retune(classes []Class, maxAttempts int) {
	g.set.Classes = append(slices.Clone(classes), Class{Aim: time.Second})
	g.set.MaxAttempts = maxAttempts
	for _, c := range classes {
		g.maxWorth = math.Max(g.maxWorth, c.Points)
	}
}

// Handle takes what was seen at now and appends what to do to actions.
func (g *Gateway) Handle(now Time, events []Event, actions []Action) []Action {
	g.now, g.out, g.startedAt = now, actions, cmp.Or(g.startedAt, now)
	for i := range events {
		e := &events[i]
		switch e.Kind {
		case ServersChanged:
			g.list(e)
		case Arrived:
			g.arrive(e.Request)
		case AnswerStarted:
			g.started(e)
		case AttemptEnded:
			g.ended(e)
		case ClientLeft:
			if r := g.requests[e.ID]; r != nil {
				r.closed = true
				g.drop(r)
			}
		case TimerFired:
			g.timer(RequestID(e.Token))
		case Closing:
			g.close(e.Latency)
		case LoadTold:
			g.takeReport(g.byID[e.Server], e.Load)
		}
	}
	g.sweep()
	actions, g.out = g.out, nil
	return actions
}

func (g *Gateway) do(a Action) { g.out = append(g.out, a) }
