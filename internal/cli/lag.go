package cli

import (
	"fmt"
	"io"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lichenshelf/fleet/audit"
)

// maxLag bounds the histogram; larger lags are counted as this many versions.
const maxLag = 1_000_000

// printLagSummary prints by how many versions sends lagged behind. lichenplot draws the same data.
func printLagSummary(w io.Writer, trails []audit.Trail) error {
	sends := hdrhistogram.New(0, maxLag, 3)
	for _, p := range audit.LagPoints(trails) {
		if p.Sends > 0 {
			if err := sends.RecordValues(int64(min(p.Lag, maxLag)), int64(p.Sends)); err != nil {
				return fmt.Errorf("audit lag: %w", err)
			}
		}
	}
	_, err := fmt.Fprintf(w, "%d sends: %d versions behind at most, %d in one of 100 or more, %d in half of them\n", sends.TotalCount(),
		sends.Max(), sends.ValueAtQuantile(99), sends.ValueAtQuantile(50))
	return err
}
