package logic

import (
	"cmp"
	"math"
	"time"
)

// server is the state that this gateway keeps of one server.
type server struct {
	Member
	role          Role
	memory        float64
	trafficWeight float64 // its share of what peers send, relative to an average server
	// Load of the writers of its cell, relative to the mean, if all read states stay in the cell.
	writerPressure float64
	startedAt      Time // latest start, or when it was first listed if its clock is ahead
	listed         bool
	cached         map[Key]cacheEntry // prefixes and sessions expected in its cache
	pendingTokens  float64            // prompt tokens sent and not yet read
	// Tokens left behind by time-outs; at a writer, those of requests that it rejected as full.
	residualTokens decayingValue
	// Own tokens in its memory, and those sent since its last report.
	ownTokens, tokensSinceReport float64
	// Observed duration relative to the speed of its kind, minus one.
	slowdown          decayingValue
	streams           int
	waiting           int  // own attempts in flight whose answer has not begun
	failures          int  // consecutive failures
	consecutiveErrors int  // consecutive answers that were errors
	lastErrorAt       Time // time of the latest of them
	lastActivityAt    Time // last sign of life, or the send that ended idleness
	suspectUntil      Time // suspect until its trial at this time; 0: not suspect
	lastUnreachableAt Time // when it last could not be reached; 0: never
	creditsAccruedAt  Time // until when its credits have been accrued
	creditsExpireAt   Time // when the credits in coldCredits expire
	coldCredits       int  // credits for single sends while it is in slow start
	load              Load
	loadReportedAt    Time
}

// cacheEntry is what a reader is expected to have cached for a key.
type cacheEntry struct {
	tokens float64
	used   Time
}

func (s *server) usable() bool { return s.listed && s.Health == Ready }

// lookupCached returns what s is expected to have cached of the request's prompt, and whether the
// entry is that of the request's own session.
func (s *server) lookupCached(r *request) (e cacheEntry, own bool) {
	e, session := s.cached[r.Prefix], s.cached[r.Session]
	e.tokens = math.Min(e.tokens, r.PrefixTokens)
	if session.tokens > e.tokens {
		return cacheEntry{math.Min(session.tokens, r.PromptTokens), session.used}, true
	}
	return e, false
}

// record notes the request's keys at a server that reads it.
func (s *server) record(r *request, now Time) {
	tokens := r.PrefixTokens
	for _, k := range [2]Key{r.Prefix, r.Session} {
		if e, ok := s.cached[k]; k != 0 && tokens > 0 && (ok || len(s.cached) < maxKeysPerServer) {
			s.cached[k] = cacheEntry{math.Max(tokens, e.tokens), now}
		}
		tokens = r.PromptTokens
	}
}

// rejectionShare returns the part of a writer's memory share that stands for requests which it
// rejected as full. At other servers those count as load (pendingLoad).
func (s *server) rejectionShare(now Time) float64 {
	if s.role != RoleWrite {
		return 0
	}
	return s.residualTokens.value(now, residualDecay) / s.memory
}

// markUnreachable records that the server could not be reached, if its previous attempt failed as
// well. Credits for the time until now are limited to those of maxAccrual.
func (s *server) markUnreachable(now Time, unreachable bool, maxAccrual time.Duration) {
	if unreachable && s.failures > 1 {
		s.lastUnreachableAt, s.creditsAccruedAt = now, max(s.creditsAccruedAt, now-Time(maxAccrual))
	}
}

// startOf returns when a listed server has started, at most the present time.
func (g *Gateway) startOf(m Member) Time { return min(cmp.Or(m.Began, m.Since), g.now) }

// warmth returns the minimum fraction of its capacity that a newly started server has by now.
func (g *Gateway) warmth(s *server) float64 {
	age := between(s.startedAt, g.now)
	if s.Since == 0 || age >= g.settings.WarmWithin {
		return 1
	}
	return g.settings.ColdShare +
		(1-g.settings.ColdShare)*math.Max(float64(age), 0)/float64(g.settings.WarmWithin)
}
