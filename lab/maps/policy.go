package maps

import (
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/expertmap"
	"github.com/acaciaglade/acaciaglade/pkg/expertmap/plan"
	"github.com/acaciaglade/acaciaglade/pkg/expertmap/popularity"
	"github.com/acaciaglade/acaciaglade/pkg/expertmap/speed"
)

// policy decides on the map of a group.
type policy interface {
	// next returns the map to change to, or nil.
	next(current *expertmap.Map, now time.Time) *expertmap.Map
	// observe takes the picks since the last call.
	observe(picks [][]float64, now time.Time)
}

// fixed never changes its map.
type fixed struct{}

func (fixed) next(*expertmap.Map, time.Time) *expertmap.Map { return nil }
func (fixed) observe([][]float64, time.Time)                {}

// timer plans anew from the picks of each interval, whatever it costs.
type timer struct {
	size     expertmap.Size
	interval time.Duration
	speeds   func() []float64
	picks    [][]float64
	due      time.Time
}

func (t *timer) observe(picks [][]float64, _ time.Time) {
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

func (t *timer) next(current *expertmap.Map, now time.Time) *expertmap.Map {
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

// oracle plans anew from the true popularity.
type oracle struct {
	workload *Workload
	interval time.Duration
	due      time.Time
}

func (*oracle) observe([][]float64, time.Time) {}

func (o *oracle) next(_ *expertmap.Map, now time.Time) *expertmap.Map {
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

// planned is the product's planner on the product's estimates.
type planned struct {
	tracker  *popularity.Tracker
	planner  *plan.Planner
	speeds   *speed.Tracker
	cost     Cost
	interval time.Duration
	due      time.Time
}

func (p *planned) observe(picks [][]float64, now time.Time) { p.tracker.Observe(picks, now) }

func (p *planned) next(current *expertmap.Map, now time.Time) *expertmap.Map {
	if now.Before(p.due) {
		return nil
	}
	p.due = now.Add(p.interval)
	in := &plan.Input{
		Current: current, Speeds: p.speeds.Speeds(),
		ExpertTime: p.cost.ExpertTime, StepTime: p.cost.ExpertTime + p.cost.Constant,
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
