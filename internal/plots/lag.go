// Package plots draws diagrams of event logs. It is separate from the router's program because the
// plotting library takes 6 MB of memory in any program that links it, even if it draws nothing.
package plots

import (
	"fmt"
	"maps"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"lichenshelf/fleet/audit"
)

const width, height = 20 * vg.Centimeter, 12 * vg.Centimeter

// Lag draws the greatest lag of each router, in versions, over the order of records. The extension
// of the file (.svg, .png, .pdf) sets the format; Lag fails if the file cannot be written or has
// another extension.
func Lag(trails []audit.Trail, file string) error {
	lines := map[string]plotter.XYs{}
	for _, p := range audit.LagPoints(trails) {
		lines[p.Router] = append(lines[p.Router], plotter.XY{X: float64(p.Order), Y: float64(p.Lag)})
	}
	picture := plot.New()
	picture.Title.Text, picture.X.Label.Text, picture.Y.Label.Text = "versions behind the newest", "order of records", "versions"
	for i, router := range slices.Sorted(maps.Keys(lines)) {
		line, err := plotter.NewLine(lines[router])
		if err != nil {
			return fmt.Errorf("plot the lag of %s: %w", router, err)
		}
		line.StepStyle = plotter.PostStep
		line.Color, line.Dashes = plotutil.Color(i), plotutil.Dashes(i)
		picture.Add(line)
		picture.Legend.Add(router, line)
	}
	if err := picture.Save(width, height, file); err != nil {
		return fmt.Errorf("plot the lag into %s: %w", file, err)
	}
	return nil
}
