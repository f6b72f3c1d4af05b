package cli

import (
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"lichenshelf/fleet/audit"
)

// mostBehind bounds the histogram; more versions than this count as this many.
const mostBehind = 1_000_000

// printBehind tells how far behind sends were, and draws it if a file is named.
func printBehind(w io.Writer, trails []audit.Trail, file string) error {
	points := audit.Behind(trails)
	sends := hdrhistogram.New(0, mostBehind, 3)
	for _, p := range points {
		if p.Sends > 0 {
			if err := sends.RecordValues(int64(min(p.Behind, mostBehind)), int64(p.Sends)); err != nil {
				return fmt.Errorf("audit lag: %w", err)
			}
		}
	}
	if _, err := fmt.Fprintf(w, "%d sends: %d versions behind at most, %d in one of 100 or more, %d in half of them\n", sends.TotalCount(),
		sends.Max(), sends.ValueAtQuantile(99), sends.ValueAtQuantile(50)); err != nil || file == "" {
		return err
	}
	return plotLags(points, file)
}

// plotLags draws each router's greatest lag over the order of records.
func plotLags(points []audit.Point, file string) error {
	lines := map[string]plotter.XYs{}
	for _, p := range points {
		lines[p.Router] = append(lines[p.Router], plotter.XY{X: float64(p.Order), Y: float64(p.Behind)})
	}
	picture := plot.New()
	picture.Title.Text, picture.X.Label.Text, picture.Y.Label.Text = "versions behind the newest", "order of records", "versions"
	for i, router := range slices.Sorted(maps.Keys(lines)) {
		line, err := plotter.NewLine(lines[router])
		if err != nil {
			return fmt.Errorf("audit lag: %w", err)
		}
		line.StepStyle = plotter.PostStep
		line.Color, line.Dashes = plotutil.Color(i), plotutil.Dashes(i)
		picture.Add(line)
		picture.Legend.Add(router, line)
	}
	if err := picture.Save(20*vg.Centimeter, 12*vg.Centimeter, file); err != nil {
		return fmt.Errorf("audit lag: %w", err)
	}
	return nil
}
