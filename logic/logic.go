// The package interface is in logic/api.go; this file holds Gateway and the shared constants.

package logic

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Constants that several files use.
const (
	// Cache and affinity entries expire after this time without use.
	entryTTL = 30 * time.Second
	// A writer with less of its memory in use has room.
	maxMemoryShare = 0.9
	// Maximum number of table entries per reader: more than a reader itself can cache.
	maxKeysPerServer = 4096
	// Above it (more than four gateways), own streams say too little about the fleet.
	maxUnseenShare = 0.75
	// Fixed cost of one attempt, in prompt tokens.
	overheadTokens = 500
	// Weight of a new sample where samples are frequent.
	fastWeight = 0.15
	// Limits the influence of a single sample on the estimates of a server.
	maxSampleRatio = 16.0
	// Number of mean deviations above the mean from which a duration is an outlier.
	outlierDeviations = 4.0
	// Time to the first trial of a suspect server; doubled for each further one.
	firstBackoff = time.Second
	// Time constant of the load that time-outs leave behind.
	residualDecay = time.Second
	// Time constant of the weight of a reported read load.
	unreadDecay = time.Second
	// Added to the time-out of each attempt; also the interval of its later checks.
	attemptMargin = 50 * time.Millisecond
	// No attempt starts this close to the deadline of its request; the request is refused instead.
	deadlineMargin = 30 * time.Millisecond
)

// Gateway makes the decisions of one gateway instance. It implements Decider.
type Gateway struct {
	settings    Settings
	peerCount   float64 // other gateways
	peerShare   float64 // fraction of the traffic that peers handle
	unseenShare float64 // peerShare, reduced as the own streams per server increase
	rng         *rand.Rand
	now         Time
	output      []Action
	servers     []*server // in the order in which they were first listed
	byID        map[ServerID]*server
	requests    map[RequestID]*request
	// By kind of server: from the send to the read state, or to the first token at a mixed server.
	readSpeeds              []speedEstimate
	fetchSpeed              speedEstimate // from the send to a writer to the first token
	pools                   [3]pool
	stages                  [2]stage
	affinityGroups          map[Key]*affinityGroup
	keyedArrivals           decayingValue // arrivals with an affinity key
	quotaBuckets            []tokenBucket
	firstTokenDelay         decayingValue // seconds to first tokens beyond the service time
	maxPoints               float64       // points of the most valuable class
	arrivalInterval         float64       // mean seconds between arrivals
	lastArrival             Time
	warming                 bool // some usable server is still in slow start
	memoryReported          bool // servers report their memory
	startedAt               Time // when this instance started
	meansUpdatedAt, sweptAt Time
	zoneCosts               []float64 // by zone, as given to SetZones; nil: none
	closing                 bool      // the instance is about to end: open requests are ended
}

// New returns an instance that has observed nothing yet.
func New(settings Settings, seed uint64) *Gateway {
	settings.Gateways = max(settings.Gateways, 1)
	// Unknown kinds and unknown classes each use an extra last entry.
	settings.Kinds = append(slices.Clone(settings.Kinds), Kind{Role: RoleBoth})
	settings.Classes = append(slices.Clone(settings.Classes), Class{Aim: time.Second})
	g := &Gateway{settings: settings, peerCount: float64(settings.Gateways - 1),
		rng:  rand.New(rand.NewPCG(seed, 0)),
		byID: map[ServerID]*server{}, requests: map[RequestID]*request{},
		affinityGroups: map[Key]*affinityGroup{},
		readSpeeds:     make([]speedEstimate, len(settings.Kinds)),
		quotaBuckets:   make([]tokenBucket, len(settings.Tenants)),
		fetchSpeed:     speedEstimate{tok: 1000, sec: 1e-3, ratio: 1, dev: 1}}
	g.peerShare = g.peerCount / float64(settings.Gateways)
	prior := 1e-9
	for _, c := range settings.Classes[:len(settings.Classes)-1] {
		prior += c.AimPer1000.Seconds() / float64(len(settings.Classes)-1)
		g.maxPoints = math.Max(g.maxPoints, c.Points)
	}
	// Until prompts have been read, the growth of the aim with the prompt serves as the speed.
	for i := range g.readSpeeds {
		g.readSpeeds[i] = speedEstimate{tok: 1000, sec: prior, ratio: 1, dev: 1}
	}
	return g
}

// Retune replaces the classes, by index, and the maximum number of attempts for requests that
// arrive from now on. Open requests keep the class, the aim, the value and the maximum number of
// attempts that they got at their arrival.
func (g *Gateway) Retune(classes []Class, maxAttempts int) {
	g.settings.Classes = append(slices.Clone(classes), Class{Aim: time.Second})
	g.settings.MaxAttempts = maxAttempts
	for _, c := range classes {
		g.maxPoints = math.Max(g.maxPoints, c.Points)
	}
}

// Handle processes the events observed at now and appends the resulting actions to actions.
func (g *Gateway) Handle(now Time, events []Event, actions []Action) []Action {
	g.now, g.output, g.startedAt = now, actions, cmp.Or(g.startedAt, now)
	for i := range events {
		e := &events[i]
		switch e.Kind {
		case ServersChanged:
			g.updateServers(e)
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
			g.handleTimer(RequestID(e.Token))
		case Closing:
			g.shutDown(e.Latency)
		case LoadReported:
			g.applyReport(g.byID[e.Server], e.Load)
		}
	}
	g.sweep()
	actions, g.output = g.output, nil
	return actions
}

func (g *Gateway) emit(a Action) { g.output = append(g.output, a) }
