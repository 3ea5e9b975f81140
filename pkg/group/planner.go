package group

import (
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/expertmap"
	"github.com/acaciaglade/acaciaglade/pkg/expertmap/plan"
	"github.com/acaciaglade/acaciaglade/pkg/expertmap/popularity"
	"github.com/acaciaglade/acaciaglade/pkg/expertmap/speed"
)

// planner feeds the reports of a rank to the trackers, and plans from them.
type planner struct {
	size     expertmap.Size
	interval time.Duration
	tracker  *popularity.Tracker
	speeds   *speed.Tracker
	planner  *plan.Planner
	before   RankReport
	due      time.Time
	plans    int
	last     plan.Result
}

func newPlanner(cfg plan.Config, interval time.Duration) *planner {
	return &planner{
		size: cfg.Size, interval: interval,
		tracker: popularity.NewTracker(popularity.DefaultConfig(), cfg.Size),
		speeds:  speed.NewTracker(speed.DefaultConfig(), cfg.Size.Ranks),
		planner: plan.New(cfg),
	}
}

// observe gives the trackers what has changed since the last report of the same
// incarnation.
func (p *planner) observe(report *RankReport, now time.Time) {
	before := p.before
	p.before = *report
	if before.Incarnation != report.Incarnation || !p.fits(report) || !p.fits(&before) {
		return
	}
	picks := make([][]float64, len(report.Picks))
	for l := range picks {
		picks[l] = difference(report.Picks[l], before.Picks[l])
	}
	p.tracker.Observe(picks, now)
	millis := difference(report.BusyMillis, before.BusyMillis)
	busy := make([]time.Duration, len(millis))
	for r := range busy {
		busy[r] = time.Duration(millis[r] * float64(time.Millisecond))
	}
	p.speeds.Observe(difference(report.Work, before.Work), busy, now)
}

// fits reports whether a report is about a model of the planner's size.
func (p *planner) fits(report *RankReport) bool {
	if len(report.Picks) != p.size.Layers || len(report.Work) != p.size.Ranks || len(report.BusyMillis) != p.size.Ranks {
		return false
	}
	for _, layer := range report.Picks {
		if len(layer) != p.size.Experts {
			return false
		}
	}
	return true
}

func difference(now, before []float64) []float64 {
	out := make([]float64, len(now))
	for i := range now {
		out[i] = max(0, now[i]-before[i])
	}
	return out
}

// plan returns a plan that is worth its cost, at most once every interval.
func (p *planner) plan(current *expertmap.Map, report *RankReport, now time.Time) (plan.Result, bool) {
	if p.interval <= 0 || now.Before(p.due) || current.Check(p.size) != nil {
		return plan.Result{}, false
	}
	p.due = now.Add(p.interval)
	in := &plan.Input{
		Current: current, Speeds: p.speeds.Speeds(),
		ExpertTime: time.Duration(report.ExpertMillis * float64(time.Millisecond)),
		StepTime:   time.Duration(report.StepMillis * float64(time.Millisecond)),
	}
	for l := range p.size.Layers {
		in.Popularity = append(in.Popularity, p.tracker.Estimate(l))
	}
	p.last = p.planner.Plan(in, now)
	if p.last.Map == nil {
		return p.last, false
	}
	p.plans++
	p.planner.RecordChange(p.last.Bytes, now)
	return p.last, true
}
