package maps

import (
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/pkg/errors"
)

func (r *runner) buildResult() Result {
	result := Result{Config: r.cfg}
	fixed, oracle := r.groups[indexFixed].expected.Mean(), r.groups[indexOracle].expected.Mean()
	hours := (r.cfg.Duration - r.cfg.SettleTime).Hours()
	for _, g := range r.groups {
		result.Outcomes = append(result.Outcomes, Outcome{
			Policy:       g.name,
			ExpectedMean: g.expected.Mean() / thousandths,
			ExpectedP50:  float64(g.expected.ValueAtQuantile(50)) / thousandths,
			ExpectedP99:  float64(g.expected.ValueAtQuantile(99)) / thousandths,
			SampledMean:  g.sampled.Mean() / thousandths,
			SampledP50:   float64(g.sampled.ValueAtQuantile(50)) / thousandths,
			SampledP99:   float64(g.sampled.ValueAtQuantile(99)) / thousandths,
			GapClosed:    (fixed - g.expected.Mean()) / (fixed - oracle),

			RecoverySeconds:   r.recoverySeconds(g),
			SettlingGigabytes: g.settleTotal.bytes / 1e9,

			GigabytesPerHour: (g.total.bytes - g.settleTotal.bytes) / 1e9 / hours,
			StepsLostPerHour: (g.total.stepsLost - g.settleTotal.stepsLost) / hours,
			SwitchesPerHour:  (g.total.switches - g.settleTotal.switches) / hours,
		})
		result.series = append(result.series, g.series)
	}
	return result
}

// minGapClosed is the part of the gap between the fixed map and the oracle that a
// recovered group closes.
const minGapClosed = 0.9

// recoverySeconds returns the time from the event until the group closes at least
// minGapClosed of the gap and keeps it closed to the end, or -1 if it does not.
func (r *runner) recoverySeconds(g *policyGroup) float64 {
	event := int(r.cfg.eventTime() / tickInterval)
	fixed, oracle := r.groups[indexFixed].series.expected, r.groups[indexOracle].series.expected
	lastOpen := event - 1
	for i := event; i < len(g.series.expected); i++ {
		if fixed[i]-g.series.expected[i] < minGapClosed*(fixed[i]-oracle[i]) {
			lastOpen = i
		}
	}
	if lastOpen == len(g.series.expected)-1 {
		return -1
	}
	return (time.Duration(lastOpen-event+1) * tickInterval).Seconds()
}

// Size of a plot.
const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
)

// Plot writes plots of the expected skew over time and of the bytes loaded over
// time. The extension of each file determines its format.
func (r *Result) Plot(skewFile, bytesFile string) error {
	skew := func(s series) []float64 { return s.expected }
	if err := r.plotSeries(skewFile, "expected skew", skew, indexOracle); err != nil {
		return err
	}
	bytes := func(s series) []float64 { return s.gigabytes }
	return r.plotSeries(bytesFile, "gigabytes loaded", bytes, indexTimer)
}

func (r *Result) plotSeries(file, label string, values func(series) []float64, firstPolicy int) error {
	p := plot.New()
	p.Title.Text = string(r.Config.Scenario) + ": " + label
	p.X.Label.Text = "virtual seconds"
	p.Y.Label.Text = label
	var lines []any
	for i := firstPolicy; i < len(r.series); i++ {
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
