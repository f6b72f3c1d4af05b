package logic

import (
	"math"
	"testing"
)

// Zone costs replace the usual cost of distance. Without them, or with invalid ones, a server of
// the own zone is slightly preferred; a cheaper zone attracts requests, and a zone without any
// share is used only if no other is left.
func TestZoneCosts(t *testing.T) {
	far := func(id ServerID, zone int) Member { m := reader(id, 0); m.Zone = zone; return m }
	for name, c := range map[string]struct {
		costs []float64
		want  ServerID
	}{
		"no costs":                  {nil, 1},
		"equal costs":               {[]float64{1, 1.15, 1.15}, 1},
		"another zone is cheaper":   {[]float64{1, 0.6, 8}, 2},
		"no share for the own zone": {[]float64{math.Inf(1), math.Inf(1), 1.15}, 4},
		"invalid costs":             {[]float64{math.NaN(), -1, 0}, 1},
		"short list":                {[]float64{3}, 2},
		"no zone has a share":       {[]float64{math.Inf(1), math.Inf(1), math.Inf(1)}, 1},
	} {
		r := newTestGateway(t, far(1, 0), far(2, 1), far(4, 2), writer(3, 0))
		r.g.SetZones(c.costs)
		_, acts := r.arrive(Request{})
		if s := find(acts, Send); s == nil || s.Server != c.want {
			t.Errorf("%s: %+v, want reader %d", name, acts, c.want)
		}
		r.g.SetZones(nil)
		_, acts = r.arrive(Request{})
		if find(acts, Send) == nil {
			t.Errorf("%s: nothing sent after the costs were removed: %+v", name, acts)
		}
	}
}
