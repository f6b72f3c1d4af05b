package logic

import (
	"math"
	"slices"
)

// remoteZoneCost is the cost factor of a server in another zone.
const remoteZoneCost = 1.15

// maxZoneCost limits the cost factor of a zone. A server of a zone that gets no traffic is used
// only as a last resort.
const maxZoneCost = 1e6

// SetZones sets a cost factor for each zone, by index, that replaces the usual cost of distance:
// the cost of a server there relative to one with factor 1. A zone past the end of the list, or
// with a factor that is not positive, keeps the usual cost. A nil list removes all factors.
func (g *Gateway) SetZones(costs []float64) { g.zoneCosts = slices.Clone(costs) }

// distanceCost returns the cost factor of a server for its zone alone.
func (g *Gateway) distanceCost(s *server) float64 {
	if s.Zone >= 0 && s.Zone < len(g.zoneCosts) && g.zoneCosts[s.Zone] > 0 {
		return math.Min(g.zoneCosts[s.Zone], maxZoneCost)
	}
	if s.Zone != g.settings.Zone {
		return remoteZoneCost
	}
	return 1
}
