package logic

// This file: a request from its arrival to its end, as the decisions remember it.

import (
	"math"
	"time"
)

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
	arrived, deadline   Time
	most                int // attempts, by the settings at its arrival
	aim                 time.Duration
	worth               float64 // 0 to 1: points against the best class, next to nothing past a quota
	phase               phase
	out, closed         bool // an attempt is out; the final answer is given or the client gone
	called              bool // the attempt has been called off
	mayHaveRun          bool // some attempt at ranServer, sent at ranAt, may have had its effect
	sends, failed       int
	unreached           int // of the sends, those that never reached their server
	server, ranServer   *server
	tried               []*server // and failed there
	reader              *server   // where the read state waits; nil: none
	sentAt, ranAt       Time
	check               Time      // when a timer has something to look at
	idleSince           Time      // since when no attempt is out that has reached a server
	heldSince           Time      // since when a state waits for which no server has answered
	releaseArmed        Time      // when a timer looks whether the state is to be let go of
	released            bool      // the state was let go of beside the attempt that is out
	moveAt              Time      // when its running stream is to be moved; 0: not
	homes               []*server // readers where its prefix meets
	renewed             float64   // part of a prefix that own requests alone keep warm anywhere
	affinityKey         Key       // requests with the same one go to the same servers
	creditFreeServer    *server   // cold, and it may go there without a credit
	countedAt           *stage    // that it is counted at, with its outcome open
	countedShare        float64   // what it counts for there
	charge, queuedAhead float64   // tokens charged to the server's read load, and the load found there
	memory              float64   // tokens charged to a writer's memory
	need                float64   // seconds that its reading and fetching take without a wait
}

// stage is the one that a request comes to next.
func (r *request) stage() int {
	if r.reader != nil {
		return 1
	}
	return 0
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
	r.server.pendingTokens = math.Max(0, r.server.pendingTokens-r.charge)
}

func (g *Gateway) class(r *request) *Class { return &g.set.Classes[r.Class] }

func (g *Gateway) arm(r *request, d time.Duration) {
	g.do(Action{Kind: SetTimer, After: d, Token: uint64(r.ID)})
}
