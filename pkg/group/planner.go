package group

import (
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/expertmap"
	"github.com/acaciaglade/acaciaglade/pkg/expertmap/plan"
	"github.com/acaciaglade/acaciaglade/pkg/expertmap/popularity"
	"github.com/acaciaglade/acaciaglade/pkg/expertmap/speed"
)

// planner passes a rank's reports to the trackers and plans from their estimates.
type planner struct {
	size       expertmap.Size
	interval   time.Duration
	popularity *popularity.Tracker
	speeds     *speed.Tracker
	planner    *plan.Planner
	lastReport RankReport
	nextPlanAt time.Time
	plans      int
	lastResult plan.Result
}

func newPlanner(cfg plan.Config, interval time.Duration) *planner {
	return &planner{
		size: cfg.Size, interval: interval,
		popularity: popularity.NewTracker(popularity.DefaultConfig(), cfg.Size),
		speeds:     speed.NewTracker(speed.DefaultConfig(), cfg.Size.Ranks),
		planner:    plan.New(cfg),
	}
}

// observe passes the differences from the previous report of the same incarnation to the
// trackers.
func (p *planner) observe(report *RankReport, now time.Time) {
	before := p.lastReport
	p.lastReport = *report
	if before.Incarnation != report.Incarnation || !p.matchesSize(report) || !p.matchesSize(&before) {
		return
	}
	picks := make([][]float64, len(report.Picks))
	for l := range picks {
		picks[l] = difference(report.Picks[l], before.Picks[l])
	}
	p.popularity.Observe(picks, now)
	millis := difference(report.BusyMillis, before.BusyMillis)
	busy := make([]time.Duration, len(millis))
	for r := range busy {
		busy[r] = time.Duration(millis[r] * float64(time.Millisecond))
	}
	p.speeds.Observe(difference(report.Work, before.Work), busy, now)
}

// matchesSize reports whether the dimensions of a report match the planner's size.
func (p *planner) matchesSize(report *RankReport) bool {
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

// plan returns a new map that is worth its cost, at most once every interval.
func (p *planner) plan(current *expertmap.Map, report *RankReport, now time.Time) (plan.Result, bool) {
	if p.interval <= 0 || now.Before(p.nextPlanAt) || current.Check(p.size) != nil {
		return plan.Result{}, false
	}
	p.nextPlanAt = now.Add(p.interval)
	in := &plan.Input{
		Current: current, Speeds: p.speeds.Speeds(),
		ExpertTime: time.Duration(report.ExpertMillis * float64(time.Millisecond)),
		StepTime:   time.Duration(report.StepMillis * float64(time.Millisecond)),
	}
	for l := range p.size.Layers {
		in.Popularity = append(in.Popularity, p.popularity.Estimate(l))
	}
	p.lastResult = p.planner.Plan(in, now)
	if p.lastResult.Map == nil {
		return p.lastResult, false
	}
	p.plans++
	p.planner.RecordChange(p.lastResult.Bytes, now)
	return p.lastResult, true
}
