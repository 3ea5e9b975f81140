package maps

import (
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/expertmap"
	"github.com/acaciaglade/acaciaglade/pkg/expertmap/plan"
	"github.com/acaciaglade/acaciaglade/pkg/expertmap/popularity"
	"github.com/acaciaglade/acaciaglade/pkg/expertmap/speed"
)

// policy decides which map a group uses.
type policy interface {
	// nextMap returns the map to switch to, or nil to keep the current map.
	nextMap(current *expertmap.Map, now time.Time) *expertmap.Map
	// observe records the expert selections since the previous call.
	observe(picks [][]float64, now time.Time)
}

// fixedPolicy never changes its map.
type fixedPolicy struct{}

func (fixedPolicy) nextMap(*expertmap.Map, time.Time) *expertmap.Map { return nil }
func (fixedPolicy) observe([][]float64, time.Time)                   {}

// timerPolicy places all experts from scratch after each interval by the expert
// selections of that interval, without regard to the cost of the change.
type timerPolicy struct {
	size     expertmap.Size
	interval time.Duration
	speeds   func() []float64
	picks    [][]float64
	due      time.Time
}

func (t *timerPolicy) observe(picks [][]float64, _ time.Time) {
	if t.picks == nil {
		t.picks = make([][]float64, len(picks))
		for l := range picks {
			t.picks[l] = make([]float64, len(picks[l]))
		}
	}
	for l := range picks {
		for e, n := range picks[l] {
			t.picks[l][e] += n
		}
	}
}

func (t *timerPolicy) nextMap(current *expertmap.Map, now time.Time) *expertmap.Map {
	if t.due.IsZero() {
		t.due = now.Add(t.interval)
	}
	if now.Before(t.due) || t.picks == nil {
		return nil
	}
	t.due = now.Add(t.interval)
	speeds := t.speeds()
	m := &expertmap.Map{Layers: make([]expertmap.Layer, len(t.picks))}
	for l, picks := range t.picks {
		m.Layers[l] = plan.Align(current.Layers[l], plan.PlaceLayer(picks, speeds, t.size), speeds)
	}
	t.picks = nil
	return m
}

// oraclePolicy places all experts from scratch after each interval by the true
// popularity and speeds.
type oraclePolicy struct {
	workload *Workload
	interval time.Duration
	due      time.Time
}

func (*oraclePolicy) observe([][]float64, time.Time) {}

func (o *oraclePolicy) nextMap(_ *expertmap.Map, now time.Time) *expertmap.Map {
	if now.Before(o.due) {
		return nil
	}
	o.due = now.Add(o.interval)
	m := &expertmap.Map{}
	for _, l := range o.workload.layers {
		m.Layers = append(m.Layers, plan.PlaceLayer(l.shares, o.workload.speeds, o.workload.size))
	}
	return m
}

// plannerPolicy uses the planner and the popularity and speed estimates of
// pkg/expertmap.
type plannerPolicy struct {
	tracker  *popularity.Tracker
	planner  *plan.Planner
	speeds   *speed.Tracker
	cost     Cost
	interval time.Duration
	due      time.Time
}

func (p *plannerPolicy) observe(picks [][]float64, now time.Time) { p.tracker.Observe(picks, now) }

func (p *plannerPolicy) nextMap(current *expertmap.Map, now time.Time) *expertmap.Map {
	if now.Before(p.due) {
		return nil
	}
	p.due = now.Add(p.interval)
	in := &plan.Input{
		Current: current, Speeds: p.speeds.Speeds(),
		ExpertTime: p.cost.ExpertTime, StepTime: p.cost.ExpertTime + p.cost.ConstantTime,
	}
	for l := range current.Layers {
		in.Popularity = append(in.Popularity, p.tracker.Estimate(l))
	}
	result := p.planner.Plan(in, now)
	if result.Map != nil {
		p.planner.RecordChange(result.Bytes, now)
	}
	return result.Map
}
