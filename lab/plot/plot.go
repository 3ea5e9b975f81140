// Package plot writes line plots as PNG files.
package plot

import (
	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Series is one line of a plot.
type Series struct {
	Name   string    `json:"name"`
	Points []float64 `json:"points"`
	// Start is the x coordinate of the first point, Step the distance between two
	// points.
	Start float64 `json:"start"`
	Step  float64 `json:"step"`
	// X, if not nil, holds the x coordinates in place of Start and Step.
	X []float64 `json:"x,omitempty"`
}

// Figure is a plot with its labels and lines.
type Figure struct {
	Title          string
	XLabel, YLabel string
	Series         []Series
}

// yAxisScale is the height of the y axis as a multiple of the largest value, which
// leaves space for the legend above the lines.
const yAxisScale = 1.5

// Size of a figure.
const (
	width  = 18 * vg.Centimeter
	height = 10 * vg.Centimeter
)

// Write writes the figure to a PNG file.
func Write(path string, f *Figure) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = f.Title, f.XLabel, f.YLabel
	p.Y.Min = 0
	p.Legend.Top = true
	for i, s := range f.Series {
		line, err := plotter.NewLine(points(s))
		if err != nil {
			return errors.WithStack(err)
		}
		line.Color = plotutil.Color(i)
		line.Dashes = plotutil.Dashes(i / len(plotutil.DefaultColors))
		p.Add(line)
		p.Legend.Add(s.Name, line)
	}
	// Space for the legend above the lines.
	p.Y.Max *= yAxisScale
	return errors.WithStack(p.Save(width, height, path))
}

func points(s Series) plotter.XYs {
	xys := make(plotter.XYs, len(s.Points))
	for i, y := range s.Points {
		xys[i] = plotter.XY{X: s.Start + float64(i)*s.Step, Y: y}
		if s.X != nil {
			xys[i].X = s.X[i]
		}
	}
	return xys
}
