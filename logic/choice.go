package logic

import (
	"math"
	"slices"
)

// remoteColdWait is the wait at writers, in seconds, above which a cold writer of another cell is
// preferred.
const remoteColdWait = 0.2

// excluded is the class of servers that must not be picked.
const excluded = math.MaxInt

// pick returns the allowed server of the lowest class, and of the lowest cost within it. Servers
// that have failed the request come later and suspect servers last, but none is left out: if all
// are suspect, the best of them is picked.
func (g *Gateway) pick(r *request, evaluate func(*server) (int, float64)) *server {
	var best *server
	bestClass, bestCost := excluded, math.Inf(1)
	sparse, writersOverloaded := g.unseenShare > maxUnseenShare, g.recentWait(RoleWrite) > remoteColdWait
	for _, s := range g.servers {
		if !g.allowed(r, s) {
			continue
		}
		class, cost := evaluate(s)
		if class == excluded {
			continue
		}
		if slices.Contains(r.tried, s) {
			class += 8
		} else if sparse && s.failures == 0 && g.assumedWarmth(s) < 1 &&
			(class == 0 || r.reader == nil || writersOverloaded) {
			class -= 32 // unused credits expire, and each of many gateways has few
		}
		if s.failures > 1 && (g.now < s.suspectUntil || r.failedAttempts > 0) || g.risky(r, s) {
			class += 16
		}
		if class < bestClass || class == bestClass && cost < bestCost {
			best, bestClass, bestCost = s, class, cost
		}
	}
	return best
}

// allowed reports whether the rules on draining, cold servers and the group of a by-key request let
// r go to s. The repeat window of a by-key request is checked by proceed.
func (g *Gateway) allowed(r *request, s *server) bool {
	if !s.usable() || s != r.creditFreeServer && !g.mayUseCold(s) || s.role == RoleRead && r.reader != nil {
		return false
	}
	if r.mayHaveRun {
		switch c := r.class(); {
		case c.Effect == EffectByKey && c.Group == GroupZone:
			return s.Zone == r.ranServer.Zone
		case c.Effect == EffectByKey && c.Group == GroupCell:
			return s.Cell == r.ranServer.Cell
		}
	}
	return true
}
