package logic

import (
	"math"
	"testing"
)

// A map's figures stand for the usual cost of distance: without one, or with what makes no sense, a server of the own zone is
// preferred by little; a cheaper zone draws, and one without a share is used only where no other is left.
func TestZoneCosts(t *testing.T) {
	far := func(id ServerID, zone int) Member { m := reader(id, 0); m.Zone = zone; return m }
	for name, c := range map[string]struct {
		figures []float64
		want    ServerID
	}{
		"none told":            {nil, 1},
		"all alike":            {[]float64{1, 1.15, 1.15}, 1},
		"another zone's turn":  {[]float64{1, 0.6, 8}, 2},
		"the own gets nothing": {[]float64{math.Inf(1), math.Inf(1), 1.15}, 4},
		"nonsense":             {[]float64{math.NaN(), -1, 0}, 1},
		"a list that is short": {[]float64{3}, 2},
		"nothing has a share":  {[]float64{math.Inf(1), math.Inf(1), math.Inf(1)}, 1},
	} {
		r := newTestGateway(t, far(1, 0), far(2, 1), far(4, 2), writer(3, 0))
		r.g.SetZones(c.figures)
		_, acts := r.arrive(Request{})
		if s := find(acts, Send); s == nil || s.Server != c.want {
			t.Errorf("%s: %+v, reader %d wanted", name, acts, c.want)
		}
		r.g.SetZones(nil)
		_, acts = r.arrive(Request{})
		if find(acts, Send) == nil {
			t.Errorf("%s: nothing sent once the figures are over: %+v", name, acts)
		}
	}
}
