package logic

import (
	"math"
	"time"
)

// attemptPhase is the progress of a request's current attempt.
type attemptPhase uint8

const (
	phaseIdle      attemptPhase = iota // no attempt in flight
	phaseReading                       // attempt in flight at a reader
	phaseWriting                       // attempt in flight at a server that answers, not started
	phaseStreaming                     // the answer has started
)

// request is one request from its arrival until it has ended and no attempt is in flight.
type request struct {
	Request
	arrived, deadline Time
	classes           []Class // of the settings at its arrival
	maxAttempts       int     // likewise
	aim               time.Duration
	relativeValue     float64 // 0 to 1: points relative to the best class, reduced past a quota
	phase             attemptPhase
	// inFlight: an attempt is in flight. closed: the final answer is given, or the client has left.
	inFlight, closed      bool
	cancelled             bool // cancellation of the attempt has been requested
	mayHaveRun            bool // an attempt at ranServer, sent at ranAt, may have had its effect
	sends, failedAttempts int
	unreached             int // attempts that never reached their server
	server, ranServer     *server
	tried                 []*server // servers at which an attempt has failed
	reader                *server   // where the read state is held; nil: none
	sentAt, ranAt         Time
	checkAt               Time      // when a timer has to check the request
	idleSince             Time      // since when no attempt that has reached a server is in flight
	heldSince             Time      // since when a held read state has had no answer from a server
	releaseTimerAt        Time      // when a timer checks whether the read state is due for release
	released              bool      // the read state was released while an attempt is in flight
	moveDueAt             Time      // when its running stream is to be moved; 0: never
	preferredReaders      []*server // readers of its affinity group, the one of its session first
	ownCacheShare         float64   // part of a prefix that own requests alone keep cached anywhere
	affinityKey           Key       // requests with the same key go to the same servers
	creditFreeServer      *server   // cold server that may take the request without a credit
	countedStage          *stage    // stage that counts the request while its outcome is open
	countedAmount         float64   // amount counted there
	// charge: tokens charged to the server's read load. queuedAhead: the load found there.
	charge, queuedAhead float64
	memory              float64 // tokens charged to a writer's memory
	serviceSeconds      float64 // time to read and fetch it without any wait
}

// stageIndex returns the next stage of the request: 0 to be read, 1 to be answered.
func (r *request) stageIndex() int {
	if r.reader != nil {
		return 1
	}
	return 0
}

// finishAttempt records the end of an attempt. One that never reached its server leaves the held
// read state as it was.
func (r *request) finishAttempt(now Time, unreached bool) {
	r.inFlight, r.phase = false, phaseIdle
	if unreached {
		r.unreached++
	} else {
		r.idleSince = now
	}
}

// refundCharge removes the charge of an attempt from the load of its server.
func (r *request) refundCharge() {
	r.server.waiting--
	r.server.pendingTokens = math.Max(0, r.server.pendingTokens-r.charge)
}

func (r *request) class() *Class { return &r.classes[r.Class] }

func (g *Gateway) setTimer(r *request, d time.Duration) {
	g.emit(Action{Kind: SetTimer, After: d, Token: uint64(r.ID)})
}
