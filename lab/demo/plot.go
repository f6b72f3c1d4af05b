package demo

import (
	"fmt"
	"image/color"
	"os"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"

	"lichenshelf/lab/emulator"
)

// colours has the line colour of each outcome.
var colours = []color.Color{
	color.RGBA{R: 30, G: 120, B: 60, A: 255}, color.RGBA{R: 200, G: 60, B: 40, A: 255}, color.RGBA{R: 220, G: 160, B: 20, A: 255},
	color.RGBA{R: 120, G: 20, B: 110, A: 255}, color.RGBA{A: 255}, color.RGBA{R: 90, G: 90, B: 90, A: 255},
}

// plot writes a PNG with two plots by second: the requests by outcome, and the time of first
// tokens.
func (r *Report) plot(path string) error {
	outcomes, first := plot.New(), plot.New()
	outcomes.Title.Text, first.Title.Text = "requests a second by fate", "first token, ms"
	first.X.Label.Text = "seconds"
	for f := range emulator.NumOutcomes {
		points := make(plotter.XYs, len(r.Seconds))
		seen := false
		for i, s := range r.Seconds {
			points[i] = plotter.XY{X: float64(i), Y: float64(s.Outcomes[f])}
			seen = seen || s.Outcomes[f] > 0
		}
		if !seen {
			continue
		}
		if err := addLine(outcomes, points, emulator.Outcome(f).String(), colours[f]); err != nil {
			return err
		}
	}
	for i, q := range []float64{50, 99} {
		var points plotter.XYs
		for at, s := range r.Seconds {
			if s.FirstToken.TotalCount() > 0 {
				points = append(points, plotter.XY{X: float64(at), Y: ms(s.FirstToken, q)})
			}
		}
		if err := addLine(first, points, fmt.Sprintf("p%.0f", q), colours[i]); err != nil {
			return err
		}
	}
	var notes []string
	for _, m := range r.marks {
		notes = append(notes, fmt.Sprintf("%.0f s: %s", m.at, m.text))
	}
	outcomes.X.Label.Text = strings.Join(notes, "; ")
	img := vgimg.New(24*vg.Centimeter, 16*vg.Centimeter)
	plots := [][]*plot.Plot{{outcomes}, {first}}
	for i, row := range plot.Align(plots, draw.Tiles{Rows: 2, Cols: 1, PadY: vg.Centimeter / 2}, draw.New(img)) {
		plots[i][0].Draw(row[0])
	}
	f, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	if _, err := (vgimg.PngCanvas{Canvas: img}).WriteTo(f); err != nil {
		_ = f.Close()
		return fmt.Errorf("plot %s: %w", path, err)
	}
	return f.Close()
}

func addLine(p *plot.Plot, points plotter.XYs, name string, c color.Color) error {
	if len(points) == 0 {
		return nil
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return fmt.Errorf("plot of %s: %w", name, err)
	}
	line.Color, line.Width = c, vg.Points(1.2)
	p.Add(line)
	p.Legend.Add(name, line)
	p.Legend.Top = true
	p.Y.Min = 0
	return nil
}
