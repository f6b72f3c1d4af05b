package logic

// This file: the choice of a writer.

import (
	"math"
)

// pickWriter takes the writer of the reader's cell with the lowest memory share, if it has room; else
// the best one elsewhere; if none has room, the near one with fewest own streams.
func (g *Gateway) pickWriter(r *request) *server {
	// Where own streams tell little, the pressure on the cell's writers goes wherever there is most room.
	roam := g.rng.Float64() < g.unseenShare*(1-1/r.reader.writerPressure)
	return g.pick(r, func(s *server) (class int, cost float64) {
		near, scale := s.Cell == r.reader.Cell, g.scale(s)
		share := (g.share(s) + r.memory/s.memory) * scale
		// What peers have there is off its mean by chance: the fewer streams, the more.
		mean := g.peerShare * g.pools[s.role].share
		chance := (1e-3*g.peerShare + mean/math.Sqrt(1+mean*s.memory/r.memory)) * g.rng.ExpFloat64() * scale
		switch {
		case share < roomShare && (near || roam) && s.role == RoleWrite:
		case share < roomShare && s.role == RoleWrite:
			class = 1
		case share < roomShare: // mixed servers have work of their own
			class = 2
		case near:
			return 3, float64(s.streams+1)*scale + chance
		default:
			return 4, float64(s.streams+1)*scale + chance
		}
		return class, share + chance
	})
}
