package logic

// This file: what is known of one server.

import (
	"cmp"
	"math"
	"time"
)

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
	pendingTokens  float64 // prompt tokens sent and not yet read
	residualTokens fading  // tokens left behind by time-outs; at a writer, those of work that it turned away
	tokens, since  float64 // own tokens in its memory; those sent since its last report
	slow           fading  // observed time against its kind's pace, less one
	streams        int
	waiting        int  // own attempts out that have not begun to answer
	fails          int  // bad signs in a row
	errors         int  // answers in a row that were errors
	erredAt        Time // the latest of them
	lastSignAt     Time // last sign of life, or the send that ended idleness
	suspectUntil   Time // suspect until its trial at this time; 0: not suspect
	unreachableAt  Time // when it could last not be reached; 0: it always could
	creditsGivenAt Time // up to when its credits have accrued
	creditsLapseAt Time // when those in coldCredits lapse
	coldCredits    int  // credits for single sends while it is in slow start
	load           Load
	loadAt         Time
}

// entry is what a table holds of a key at one reader.
type entry struct {
	tokens float64
	used   Time
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

// turnedAway is the part of a writer's memory that stands for its having had no room; of other servers it is
// load (pending).
func (s *server) turnedAway(now Time) float64 {
	if s.role != RoleWrite {
		return 0
	}
	return s.residualTokens.value(now, residualFade) / s.memory
}

// missed notes that the server could not be reached, if it could not be before as well. Credits do not accrue
// meanwhile, beyond a moment.
func (s *server) missed(now Time, unreachable bool, moment time.Duration) {
	if unreachable && s.fails > 1 {
		s.unreachableAt, s.creditsGivenAt = now, max(s.creditsGivenAt, now-Time(moment))
	}
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
