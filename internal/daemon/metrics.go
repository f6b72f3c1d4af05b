package daemon

import (
	"lichenshelf/front/console"
	"lichenshelf/metrics/exposition"
)

// withMetrics adds a page with the metrics of this process to an operators' address.
func (d *daemon) withMetrics(c *console.Console) *console.Console {
	m := exposition.New(d.counters,
		exposition.Gauge{Name: "requests_open", Help: "Requests in hand, streams under way included.", Value: func() float64 {
			return d.sumFronts(func(f front) int { return int(f.core.Open()) })
		}},
		exposition.Gauge{Name: "client_connections", Help: "Clients' connections, those that are closing included.", Value: func() float64 {
			return d.sumFronts(func(f front) int { return f.server.OpenConnections() })
		}},
		exposition.Gauge{Name: "stopping", Help: "1 once this process was told to end.", Value: func() float64 {
			if d.stopping.Load() {
				return 1
			}
			return 0
		}})
	return c.WithMetrics(m, exposition.ContentType)
}

// sumFronts returns the sum of a value over all fronts.
func (d *daemon) sumFronts(of func(front) int) float64 {
	d.frontsMu.RLock()
	defer d.frontsMu.RUnlock()
	sum := 0
	for _, f := range d.fronts {
		sum += of(f)
	}
	return float64(sum)
}
