// Package slope measures how the use of processor, memory and network of one
// part grows with one size of the fleet, and works out a line through the
// points. docs/CAPACITY.md is built on these slopes.
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

// Slope is one measured size.
type Slope struct {
	Name    string
	Summary string
	// Unit names the size.
	Unit    string
	sizes   []int
	measure func(ctx context.Context, c *Command, n int) ([]Figure, error)
}

// Figure is one measured figure at one size.
type Figure = experiment.Figure

func figureOf(name, unit string, value float64) Figure {
	return Figure{Name: name, Unit: unit, Value: value}
}

// Point is all figures at one size.
type Point struct {
	Size    int      `json:"size"`
	Figures []Figure `json:"figures"`
}

// Line is the straight line of least squares through one figure.
type Line struct {
	Figure string  `json:"figure"`
	Unit   string  `json:"unit"`
	At0    float64 `json:"at_zero"`
	PerOne float64 `json:"per_one"`
}

// Result is what is written.
type Result struct {
	Slope   string             `json:"slope"`
	Command string             `json:"command"`
	Unit    string             `json:"unit"`
	Machine experiment.Machine `json:"machine"`
	Points  []Point            `json:"points"`
	Lines   []Line             `json:"lines"`
}

// all is every slope.
var all = []Slope{organisations, upstreams, entries, hostList}

// Command is the slope command.
type Command struct {
	Out      string        `long:"out" default:"results/tmp" description:"Folder that the results are written to."`
	Bin      string        `long:"bin" description:"Folder of built programs. Empty: they are built first."`
	Duration time.Duration `long:"duration" default:"4s" description:"Time for which each size is measured."`
	List     bool          `long:"list" description:"List the slopes."`
	EntryArg []string      `long:"entry-arg" description:"Setting that is added to the entries, such as --subset-size=18."`
	Label    string        `long:"label" description:"Added to the names of the results."`
	Args     struct {
		Name string `positional-arg-name:"NAME" description:"Name of the slope."`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *Command) Execute([]string) error {
	if c.List {
		for _, s := range all {
			fmt.Printf("%-16s %s\n", s.Name, s.Summary)
		}
		return nil
	}
	i := slices.IndexFunc(all, func(s Slope) bool { return s.Name == c.Args.Name })
	if i < 0 {
		return errors.Errorf("no slope %q; see lab slope --list", c.Args.Name)
	}
	return c.run(context.Background(), &all[i])
}

func (c *Command) run(ctx context.Context, s *Slope) error {
	r := &Result{Slope: s.Name, Command: c.text(s), Unit: s.Unit}
	for _, n := range s.sizes {
		fmt.Fprintf(os.Stderr, "%s: %d %s\n", s.Name, n, s.Unit)
		figures, err := s.measure(ctx, c, n)
		if err != nil {
			return err
		}
		r.Points = append(r.Points, Point{Size: n, Figures: figures})
	}
	r.Lines = lines(r.Points)
	r.Machine = experiment.ThisMachine()
	return c.write(r)
}

// text returns the command that makes the run again.
func (c *Command) text(s *Slope) string {
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
	if err := plot.Write(base+".png", figure(r)); err != nil {
		return err
	}
	return print(r)
}

// figure shows every figure as a part of its largest value.
func figure(r *Result) *plot.Figure {
	f := &plot.Figure{Title: "slope " + r.Slope, X: r.Unit, Y: "part of the largest value"}
	for i, first := range r.Points[0].Figures {
		s := plot.Series{Name: first.Name}
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

func print(r *Result) error {
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
		fmt.Fprintf(tw, "%.4g\t%.4g\n", l.At0, l.PerOne)
	}
	return errors.WithStack(tw.Flush())
}

// lines fits a line to each figure.
func lines(points []Point) []Line {
	out := make([]Line, len(points[0].Figures))
	for i, first := range points[0].Figures {
		xs, ys := make([]float64, len(points)), make([]float64, len(points))
		for j, p := range points {
			xs[j], ys[j] = float64(p.Size), p.Figures[i].Value
		}
		at0, per := fit(xs, ys)
		out[i] = Line{Figure: first.Name, Unit: first.Unit, At0: at0, PerOne: per}
	}
	return out
}

// fit returns the line of least squares.
func fit(xs, ys []float64) (at0, per float64) {
	n := float64(len(xs))
	var sx, sy, sxx, sxy float64
	for i, x := range xs {
		sx += x
		sy += ys[i]
		sxx += x * x
		sxy += x * ys[i]
	}
	if d := n*sxx - sx*sx; d != 0 {
		per = (n*sxy - sx*sy) / d
	}
	return (sy - per*sx) / n, per
}
