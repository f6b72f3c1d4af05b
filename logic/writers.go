package logic

import (
	"math"
)

// pickWriter picks the writer of the reader's cell with the lowest memory share, if it has room;
// otherwise the best one of another cell; if none has room, the server of the same cell with the
// fewest own streams.
func (g *Gateway) pickWriter(r *request) *server {
	// Where own streams say little about the fleet, the excess load of the cell's writers goes to
	// the writer with most room in any cell.
	roam := g.rng.Float64() < g.unseenShare*(1-1/r.reader.writerPressure)
	return g.pick(r, func(s *server) (class int, cost float64) {
		near, scale := s.Cell == r.reader.Cell, g.costScale(s)
		share := (g.memoryShare(s) + r.memory/s.memory) * scale
		// The load by peers deviates from its mean at random: the fewer streams, the more.
		mean := g.peerShare * g.pools[s.role].meanShare
		chance := (1e-3*g.peerShare + mean/math.Sqrt(1+mean*s.memory/r.memory)) * g.rng.ExpFloat64() * scale
		switch {
		case share < maxMemoryShare && (near || roam) && s.role == RoleWrite:
		case share < maxMemoryShare && s.role == RoleWrite:
			class = 1
		case share < maxMemoryShare: // mixed servers also read prompts
			class = 2
		case near:
			return 3, float64(s.streams+1)*scale + chance
		default:
			return 4, float64(s.streams+1)*scale + chance
		}
		return class, share + chance
	})
}
