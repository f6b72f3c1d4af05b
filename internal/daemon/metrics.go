package daemon

import (
	"lichenshelf/front/console"
	"lichenshelf/metrics/exposition"
)

// withMetrics adds a page with the metrics of this process to an operators' address.
func (d *daemon) withMetrics(c *console.Console) *console.Console {
	gauges := []exposition.Gauge{
		{Name: "requests_open", Help: "Requests in hand, streams under way included.", Value: func() float64 {
			return d.sumFronts(func(f front) int { return int(f.core.Open()) })
		}},
		{Name: "client_connections", Help: "Clients' connections, those that are closing included.", Value: func() float64 {
			return d.sumFronts(func(f front) int { return f.server.OpenConnections() })
		}},
		{Name: "stopping", Help: "1 once this process was told to end.", Value: oneIf(d.stopping.Load)},
	}
	if d.modelAPIFile() != nil {
		gauges = append(gauges, exposition.Gauge{Name: "model_api_serving", Help: "1 once the model API takes clients; with a store, it waits for the newest configuration there.",
			Value: oneIf(d.modelAPIServing.Load)})
	}
	if d.replica != nil {
		gauges = append(gauges, exposition.Gauge{Name: "store_caught_up", Help: "1 once this router's replica of the store has caught up since the start.",
			Value: oneIf(d.replica.Current)})
	}
	return c.WithMetrics(exposition.New(d.counters, gauges...), exposition.ContentType)
}

// oneIf returns the value of a gauge that is 1 while a condition holds, and 0 otherwise.
func oneIf(holds func() bool) func() float64 {
	return func() float64 {
		if holds() {
			return 1
		}
		return 0
	}
}

// sumFronts returns the sum of a value over all fronts.
func (d *daemon) sumFronts(of func(front) int) float64 {
	d.mu.RLock()
	defer d.mu.RUnlock()
	sum := 0
	for _, f := range d.fronts {
		sum += of(f)
	}
	return float64(sum)
}
