// Package slope measures how the use of processor, memory and network by one
// component grows with one size of the deployment, and fits a line to the
// measured points. docs/CAPACITY.md is based on the slopes of these lines.
package slope

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"github.com/acaciaglade/acaciaglade/lab/experiment"
	"github.com/acaciaglade/acaciaglade/lab/plot"
)

// Slope describes the measurement of one component at several sizes.
type Slope struct {
	Name    string
	Summary string
	// Unit is what the size counts.
	Unit  string
	sizes []int
	// measure returns the figures at size n.
	measure func(ctx context.Context, c *Command, n int) ([]Figure, error)
}

// Figure is one measured value at one size.
type Figure = experiment.Figure

func newFigure(name, unit string, value float64) Figure {
	return Figure{Name: name, Unit: unit, Value: value}
}

// Point holds all figures at one size.
type Point struct {
	Size    int      `json:"size"`
	Figures []Figure `json:"figures"`
}

// Line is the least-squares line through the values of one figure.
type Line struct {
	Figure    string  `json:"figure"`
	Unit      string  `json:"unit"`
	Intercept float64 `json:"at_zero"`
	Slope     float64 `json:"per_one"`
}

// Result holds the results of one slope as they are written to a file.
type Result struct {
	Slope   string             `json:"slope"`
	Command string             `json:"command"`
	Unit    string             `json:"unit"`
	Machine experiment.Machine `json:"machine"`
	Points  []Point            `json:"points"`
	Lines   []Line             `json:"lines"`
}

// slopes lists all slopes.
var slopes = []Slope{organisationsSlope, upstreamsSlope, entriesSlope, hostsSlope}

// Command measures one of the named slopes and writes its results.
type Command struct {
	Out      string        `long:"out" default:"results/tmp" description:"Folder that the results are written to."`
	Bin      string        `long:"bin" description:"Folder of the built programs. Empty: build them first."`
	Duration time.Duration `long:"duration" default:"4s" description:"Time for which each size is measured."`
	List     bool          `long:"list" description:"List the slopes."`
	EntryArg []string      `long:"entry-arg" description:"Argument that is added to those of the entries, such as --subset-size=18."`
	Label    string        `long:"label" description:"Suffix of the names of the result files."`
	Args     struct {
		Name string `positional-arg-name:"NAME" description:"Name of the slope."`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *Command) Execute([]string) error {
	if c.List {
		for _, s := range slopes {
			fmt.Printf("%-16s %s\n", s.Name, s.Summary)
		}
		return nil
	}
	i := slices.IndexFunc(slopes, func(s Slope) bool { return s.Name == c.Args.Name })
	if i < 0 {
		return errors.Errorf("unknown slope %q; see lab slope --list", c.Args.Name)
	}
	return c.run(context.Background(), &slopes[i])
}

func (c *Command) run(ctx context.Context, s *Slope) error {
	r := &Result{Slope: s.Name, Command: c.commandLine(s), Unit: s.Unit}
	for _, n := range s.sizes {
		fmt.Fprintf(os.Stderr, "%s: %d %s\n", s.Name, n, s.Unit)
		figures, err := s.measure(ctx, c, n)
		if err != nil {
			return err
		}
		r.Points = append(r.Points, Point{Size: n, Figures: figures})
	}
	r.Lines = fitLines(r.Points)
	r.Machine = experiment.ThisMachine()
	return c.write(r)
}

// commandLine returns the command that repeats the measurement.
func (c *Command) commandLine(s *Slope) string {
	parts := []string{"lab slope", s.Name, "--duration", c.Duration.String()}
	for _, arg := range c.EntryArg {
		parts = append(parts, "--entry-arg="+arg)
	}
	return strings.Join(parts, " ")
}

func (c *Command) write(r *Result) error {
	if err := os.MkdirAll(c.Out, 0o755); err != nil {
		return errors.WithStack(err)
	}
	base := filepath.Join(c.Out, "slope-"+r.Slope+c.Label)
	if err := experiment.WriteJSON(base+".json", r); err != nil {
		return err
	}
	if err := plot.Write(base+".png", newPlot(r)); err != nil {
		return err
	}
	return printTable(r)
}

// newPlot returns a plot of all figures, each relative to its largest value.
func newPlot(r *Result) *plot.Figure {
	f := &plot.Figure{Title: "slope " + r.Slope, XLabel: r.Unit, YLabel: "fraction of the largest value"}
	for i, fig := range r.Points[0].Figures {
		s := plot.Series{Name: fig.Name}
		largest := 0.0
		for _, p := range r.Points {
			s.X = append(s.X, float64(p.Size))
			s.Points = append(s.Points, p.Figures[i].Value)
			largest = max(largest, p.Figures[i].Value)
		}
		for j := range s.Points {
			s.Points[j] /= max(largest, 1e-9)
		}
		f.Series = append(f.Series, s)
	}
	return f
}

func printTable(r *Result) error {
	tw := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintf(tw, "%s\t", r.Unit)
	for _, p := range r.Points {
		fmt.Fprintf(tw, "%d\t", p.Size)
	}
	fmt.Fprintln(tw, "at 0\tper one")
	for i, l := range r.Lines {
		fmt.Fprintf(tw, "%s (%s)\t", l.Figure, l.Unit)
		for _, p := range r.Points {
			fmt.Fprintf(tw, "%.4g\t", p.Figures[i].Value)
		}
		fmt.Fprintf(tw, "%.4g\t%.4g\n", l.Intercept, l.Slope)
	}
	return errors.WithStack(tw.Flush())
}

// fitLines fits a line to each figure.
func fitLines(points []Point) []Line {
	out := make([]Line, len(points[0].Figures))
	for i, fig := range points[0].Figures {
		xs, ys := make([]float64, len(points)), make([]float64, len(points))
		for j, p := range points {
			xs[j], ys[j] = float64(p.Size), p.Figures[i].Value
		}
		intercept, slope := fitLine(xs, ys)
		out[i] = Line{Figure: fig.Name, Unit: fig.Unit, Intercept: intercept, Slope: slope}
	}
	return out
}

// fitLine returns the least-squares line through points.
func fitLine(xs, ys []float64) (intercept, slope float64) {
	n := float64(len(xs))
	var sx, sy, sxx, sxy float64
	for i, x := range xs {
		sx += x
		sy += ys[i]
		sxx += x * x
		sxy += x * ys[i]
	}
	if d := n*sxx - sx*sx; d != 0 {
		slope = (n*sxy - sx*sy) / d
	}
	return (sy - slope*sx) / n, slope
}
