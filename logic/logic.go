// The interface of this module is logic/api.go; its constants are here.

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
	overlapWeight = 1.0              // cost of a missing prompt token, in tokens of load (ours)
	keepFor       = 30 * time.Second // a table entry unused for so long has aged out (ours)
	roomShare     = 0.9              // a writer with less of its memory held has room (ours)
	keysPerServer = 4096             // table entries a reader; more than it can keep itself
	homeTrust     = 0.95             // part of a prefix expected at its homes
	leastHomes    = 2                // readers that share the prompts of one prefix
	mostHomes     = 8
	mostUnseen    = 0.75             // four gateways have less; past it, own streams tell too little of load
	pullLeast     = 0.5              // of an average reader's part; in a cell without writers it is not idle
	pullMost      = 1.5              // of an average reader's part in a cell of few readers
	baseTokens    = 500              // tokens that the fixed cost of one attempt is worth
	tieTokens     = 150              // readers that differ by so little are alike to one of many gateways
	fastLearn     = 0.15             // weight of a new sample where there are many
	slowLearn     = 0.03             // weight of a new sample in a kind's pace
	maxRatio      = 16.0             // one sample says no more than this about a server
	suspectScale  = 3.0              // cost scale of a server after one bad sign
	farScale      = 1.15             // cost scale of a server in another zone
	waitLeast     = 0.2              // part of the aim the least worthy may wait behind a backlog
	mixedWeight   = 3.0              // of a mixed server's memory share against the writers'
	unknownMemory = 1e5              // tokens; only shares against like servers count then
	coldCaution   = 0.6              // part of the cold budget used; the rest is for chance
	creditPart    = 0.4              // the same by credits alone, where little is seen of peers
	homePart      = 0.4              // and the other, where requests meet
	farWait       = 0.2              // seconds of wait at writers from which a cold one is worth a far move
	creditSpan    = 4                // times the settings' time for a fall: credits accrue for so long at most
	coldHomes     = 8.0              // power of warmth that homes go by where credits seldom meet their prompts
	reachTries    = 3                // servers tried with one held state where connections fail
	answerPart    = 0.3              // guess of an answer's length as part of its limit, without a hint
	strayTimes    = 4.0              // a time is out of the usual when so many mean deviations past the mean
	callOffPart   = 0.3              // part of the aim that every attempt gets before it is called off
	shareSamples  = 60.0             // stream seconds that the mean of own shares is taken over
	quotaBurst    = 2.0              // seconds of quota that may come at once, beside what chance adds
	forgetSlow    = 10 * time.Second // a slowness not confirmed fades with this time constant
	firstBackoff  = time.Second      // a suspect's first trial; each further one twice as late
	maxBackoff    = 8 * time.Second
	fullBacklog   = time.Second           // backlog that a 'full' stands for
	abandonedFade = time.Second           // tokens that a time-out leaves behind drain so fast
	waitFade      = 2 * time.Second       // a wait not confirmed fades, so that servers are tried again
	unreadFade    = time.Second           // trust in a server's report of its read load fades
	shareFade     = 5 * time.Second       // the same of its memory, which changes with its answers
	rateMemory    = 10 * time.Second      // time constant of the rates that cold budgets go by
	quietFloor    = 50 * time.Millisecond // allowance of any attempt, and the step of its later checks
	holdStep      = 20 * time.Millisecond // a held request is looked at again after this
	holdMargin    = 30 * time.Millisecond // and given up so long before its deadline
	surveyEvery   = 50 * time.Millisecond // age of the means over all servers
	sweepEvery    = time.Second
	toldWithin    = 6 * time.Second // what discovery has to tell counts as told by then (protocol)
)

// average takes x into a fading mean. Its weight grows with the time since the last one: what is seldom
// heard of is believed at once, what is often heard of is averaged.
func (f *fading) average(now Time, over time.Duration, x, least float64) {
	a := finite(1-math.Exp(-3*math.Max(float64(now-f.at), 0)/float64(over)), least, 0.5)
	f.add(now, over, a*(x-f.value(now, over)))
}

// unusual is the time that hardly any attempt takes.
func (p *pace) unusual(tok float64) float64 { return p.seconds(tok) * (p.ratio + strayTimes*p.dev) }

func (p *pace) observe(tok, sec float64) {
	p.stray(tok, sec)
	p.n++
	a := math.Max(1/float64(p.n), slowLearn)
	p.tok += a * (tok - p.tok)
	p.sec += a * (sec - p.sec)
}

// stray notes how far one time lies from the pace; that of an attempt cut off counts as well, or a fleet
// that queues would have its reads cut off and read again until nothing else is read.
func (p *pace) stray(tok, sec float64) {
	x := finite(sec/p.seconds(tok), 0, maxRatio)
	p.dev += fastLearn * (math.Abs(x-p.ratio) - p.dev)
	p.ratio += fastLearn * (x - p.ratio)
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
