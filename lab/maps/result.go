package maps

import (
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/pkg/errors"
)

func (r *runner) result() Result {
	result := Result{Config: r.cfg}
	base, best := r.groups[policyFixed].expected.Mean(), r.groups[policyOracle].expected.Mean()
	hours := (r.cfg.Duration - r.cfg.Settle).Hours()
	for _, g := range r.groups {
		result.Outcomes = append(result.Outcomes, Outcome{
			Policy:       g.name,
			ExpectedMean: g.expected.Mean() / thousandths,
			ExpectedP50:  float64(g.expected.ValueAtQuantile(50)) / thousandths,
			ExpectedP99:  float64(g.expected.ValueAtQuantile(99)) / thousandths,
			SampledMean:  g.sampled.Mean() / thousandths,
			SampledP50:   float64(g.sampled.ValueAtQuantile(50)) / thousandths,
			SampledP99:   float64(g.sampled.ValueAtQuantile(99)) / thousandths,
			GapClosed:    (base - g.expected.Mean()) / (base - best),

			RecoverySeconds:   r.recovery(g),
			SettlingGigabytes: g.settling.bytes / 1e9,

			GigabytesPerHour: (g.total.bytes - g.settling.bytes) / 1e9 / hours,
			StepsLostPerHour: (g.total.lost - g.settling.lost) / hours,
			SwitchesPerHour:  (g.total.switches - g.settling.switches) / hours,
		})
		result.series = append(result.series, g.series)
	}
	return result
}

// recoveredGap is the part of the gap that counts as recovered.
const recoveredGap = 0.9

// recovery returns the time after the event from which on the group keeps the
// gap closed.
func (r *runner) recovery(g *group) float64 {
	event := int(r.cfg.eventAt() / tick)
	fixed, best := r.groups[policyFixed].series.expected, r.groups[policyOracle].series.expected
	last := event - 1
	for i := event; i < len(g.series.expected); i++ {
		if fixed[i]-g.series.expected[i] < recoveredGap*(fixed[i]-best[i]) {
			last = i
		}
	}
	if last == len(g.series.expected)-1 {
		return -1
	}
	return (time.Duration(last-event+1) * tick).Seconds()
}

// Sizes of the plot.
const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
)

// Plot writes the expected skew over time, and beside it the bytes moved, to
// files whose type follows from their ending.
func (r *Result) Plot(skewFile, bytesFile string) error {
	skew := func(s series) []float64 { return s.expected }
	if err := r.plot(skewFile, "expected skew", skew, policyOracle); err != nil {
		return err
	}
	bytes := func(s series) []float64 { return s.gigabytes }
	return r.plot(bytesFile, "gigabytes moved", bytes, policyTimer)
}

func (r *Result) plot(file, label string, values func(series) []float64, from int) error {
	p := plot.New()
	p.Title.Text = string(r.Config.Scenario) + ": " + label
	p.X.Label.Text = "virtual seconds"
	p.Y.Label.Text = label
	var lines []any
	for i := from; i < len(r.series); i++ {
		var points plotter.XYs
		for x, y := range values(r.series[i]) {
			points = append(points, plotter.XY{X: float64(x), Y: y})
		}
		lines = append(lines, r.Outcomes[i].Policy, points)
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(p.Save(plotWidth, plotHeight, file))
}
