package logic

// This file: what distance costs.

import (
	"math"
	"slices"
)

// farScale is the cost scale of a server in another zone.
const farScale = 1.15

// mostFigure is what a figure counts for at most: a server of a zone that gets nothing is the last one to
// be used.
const mostFigure = 1e6

// SetZones takes a figure for each zone, by its index, which stands for the usual cost of distance from
// now on: what a server there counts for against one of figure 1. A zone past the list, or whose figure
// makes no sense, counts as without one; nil ends them all.
func (g *Gateway) SetZones(figures []float64) { g.figures = slices.Clone(figures) }

// distance is what a server counts for by its zone alone.
func (g *Gateway) distance(s *server) float64 {
	if s.Zone >= 0 && s.Zone < len(g.figures) && g.figures[s.Zone] > 0 {
		return math.Min(g.figures[s.Zone], mostFigure)
	}
	if s.Zone != g.set.Zone {
		return farScale
	}
	return 1
}
