package logic

// This file: what all choices have in common: who may be sent to at all, and in what order.

import (
	"math"
	"slices"
)

// farWait is the wait at writers, in seconds, from which a cold one is worth a far move.
const farWait = 0.2

const never = math.MaxInt

// pick returns the allowed server of the lowest class, and among those of the lowest cost. What was tried
// comes later and suspects last, but none is left out: when all look bad, the least bad is chosen.
func (g *Gateway) pick(r *request, weigh func(*server) (int, float64)) *server {
	var best *server
	bestClass, bestCost := never, math.Inf(1)
	few, jam := g.unseenShare > mostUnseen, g.waitAt(RoleWrite) > farWait
	for _, s := range g.servers {
		if !g.allowed(r, s) {
			continue
		}
		class, cost := weigh(s)
		if class == never {
			continue
		}
		if slices.Contains(r.tried, s) {
			class += 8
		} else if few && s.fails == 0 && g.assumedWarmth(s) < 1 && (class == 0 || r.reader == nil || jam) {
			class -= 32 // a credit that is not used lapses, and of many gateways each has few
		}
		if s.fails > 1 && (g.now < s.suspectUntil || r.failed > 0) || g.risky(r, s) {
			class += 16
		}
		if class < bestClass || class == bestClass && cost < bestCost {
			best, bestClass, bestCost = s, class, cost
		}
	}
	return best
}

// allowed keeps the rules: drains, cold servers, and the group of a by-key request; proceed, its window.
func (g *Gateway) allowed(r *request, s *server) bool {
	if !s.usable() || s != r.creditFreeServer && !g.coldRoom(s) || s.role == RoleRead && r.reader != nil {
		return false
	}
	if r.mayHaveRun {
		switch c := g.class(r); {
		case c.Effect == EffectByKey && c.Group == GroupZone:
			return s.Zone == r.ranServer.Zone
		case c.Effect == EffectByKey && c.Group == GroupCell:
			return s.Cell == r.ranServer.Cell
		}
	}
	return true
}
