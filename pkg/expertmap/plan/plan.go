// Package plan decides when and how to change a group's expert map. From the
// expected work of each expert and the speed of each rank it searches for moves
// that lower the time of the slowest rank, and keeps those whose saving over the
// horizon exceeds their cost. It is pure.
package plan

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/expertmap"
	"github.com/acaciaglade/acaciaglade/pkg/expertmap/popularity"
)

// Config is the settings of a planner.
type Config struct {
	Size expertmap.Size
	// ExpertBytes is the size of one expert of one layer.
	ExpertBytes float64
	// LoadBytesPerSecond is the rate at which the weight store or a peer gives
	// experts to the group.
	LoadBytesPerSecond float64
	// LoadSlowdown is the part of the group's speed that loading takes.
	LoadSlowdown float64
	// StepsLost is how many steps a switch costs.
	StepsLost float64
	// Horizon is how long a saving is expected to last.
	Horizon time.Duration
	// Hysteresis is how many times its cost a change must save.
	Hysteresis float64
	// UrgentSkew is by how much a change must lower the skew to be urgent.
	UrgentSkew float64
	// MinInterval is the shortest time between two changes that are not urgent.
	MinInterval time.Duration
	// BudgetBytesPerSecond and BudgetBurstBytes bound the bytes that are moved.
	// Urgent changes may overdraw the budget; the debt is at most one burst.
	BudgetBytesPerSecond float64
	BudgetBurstBytes     float64
	// NoiseDeviations is how many standard deviations of sampling noise a rank's
	// excess time must have before a layer is touched.
	NoiseDeviations float64
}

// Input is what a plan is made from.
type Input struct {
	Current *expertmap.Map
	// Popularity is the popularity of each layer's experts.
	Popularity []popularity.Estimate
	// Speeds is the speed of each rank, 1 for a healthy one.
	Speeds []float64
	// ExpertTime is the time of one step that a perfect split of the expert work
	// would take, over all layers.
	ExpertTime time.Duration
	// StepTime is the time of a whole step.
	StepTime time.Duration
}

// Result is a plan. Times are those of the group.
type Result struct {
	// Map is the new map, nil when none is worth its cost.
	Map *expertmap.Map
	// Loads counts the experts that ranks must load, Bytes their size.
	Loads int
	Bytes float64
	// Saving and Cost are expected over the horizon.
	Saving time.Duration
	Cost   time.Duration
	// SkewBefore and SkewAfter are the expected largest rank time over that of a
	// perfect split.
	SkewBefore float64
	SkewAfter  float64
}

// Planner plans the maps of one group.
type Planner struct {
	cfg    Config
	budget float64
	last   time.Time
	// changed is when the last change was made.
	changed time.Time
}

// New returns a planner with a full budget.
func New(cfg Config) *Planner { return &Planner{cfg: cfg, budget: cfg.BudgetBurstBytes} }

// layerPlan is the best change of one layer.
type layerPlan struct {
	index  int
	layer  expertmap.Layer
	loads  int
	saving float64 // seconds over the horizon
	cost   float64 // seconds
}

// Plan returns the change to make now. The caller calls RecordChange when it makes it.
func (p *Planner) Plan(in *Input, now time.Time) Result {
	p.refill(now)
	var plans []layerPlan
	before := 0.0
	for l := range in.Popularity {
		state := newLayerState(in.Current.Layers[l], in.Popularity[l].Shares, in.Speeds, p.cfg.Size.Slots)
		before += state.skew()
		if best, ok := p.planLayer(l, state, in); ok {
			plans = append(plans, best)
		}
	}
	return p.choose(in, plans, before, now)
}

// refill adds the budget of the time that has passed.
func (p *Planner) refill(now time.Time) {
	if !p.last.IsZero() {
		p.budget += p.cfg.BudgetBytesPerSecond * now.Sub(p.last).Seconds()
		p.budget = min(p.budget, p.cfg.BudgetBurstBytes)
	}
	p.last = now
}

// RecordChange records that a change was made, and takes its bytes from the budget.
func (p *Planner) RecordChange(bytes float64, now time.Time) {
	p.budget = max(p.budget-bytes, -p.cfg.BudgetBurstBytes)
	p.changed = now
}

// maxMoves bounds the search of one layer.
const maxMoves = 256

// planLayer returns the change of a layer that saves most after its cost: a
// sequence of moves, or a fresh placement when moves alone get stuck.
func (p *Planner) planLayer(index int, state *layerState, in *Input) (layerPlan, bool) {
	c := layerChoice{
		from: in.Current.Layers[index], start: state.skew(),
		perSkew: p.savingPerSkew(in), perLoad: p.secondsPerLoad(), hysteresis: p.cfg.Hysteresis,
		best: layerPlan{index: index},
	}
	if c.start <= 1+p.noise(in.Popularity[index].EffectivePicks) || !c.worth(c.start, 1) {
		return c.best, false
	}
	for range maxMoves {
		m, ok := state.best()
		if !ok {
			break
		}
		state.apply(m)
		c.consider(state)
	}
	if c.worth(state.skew(), freshLoads) {
		fresh := Align(c.from, PlaceLayer(state.work, state.speed, p.cfg.Size), state.speed)
		c.consider(newLayerState(fresh, state.work, state.speed, state.slots))
	}
	return c.best, c.best.layer != nil
}

// freshLoads is how many loads a fresh placement must be worth to be tried.
const freshLoads = 8

// layerChoice keeps the best change of one layer.
type layerChoice struct {
	from       expertmap.Layer
	start      float64 // skew
	perSkew    float64 // seconds
	perLoad    float64 // seconds
	hysteresis float64
	net        float64
	best       layerPlan
}

// worth reports whether removing all of a skew would pay for some loads.
func (c *layerChoice) worth(skew float64, loads int) bool {
	return (skew-1)*c.perSkew > c.hysteresis*c.perLoad*float64(loads)
}

func (c *layerChoice) consider(state *layerState) {
	loads := added(c.from, state.held)
	saving := (c.start - state.skew()) * c.perSkew
	cost := float64(loads) * c.perLoad
	if net := saving - c.hysteresis*cost; net > c.net {
		c.net = net
		c.best.layer, c.best.loads, c.best.saving, c.best.cost = state.layer(), loads, saving, cost
	}
}

func added(from expertmap.Layer, to [][]int) int {
	total := 0
	for _, n := range expertmap.AddedPerRank(from, to) {
		total += n
	}
	return total
}

// noise returns the excess of the slowest rank that sampling alone explains.
func (p *Planner) noise(picks float64) float64 {
	if picks == 0 {
		return math.Inf(1)
	}
	return p.cfg.NoiseDeviations * math.Sqrt(float64(p.cfg.Size.Ranks)/picks)
}

// savingPerSkew returns the seconds saved over the horizon when the skew of one
// layer falls by 1.
func (p *Planner) savingPerSkew(in *Input) float64 {
	if in.StepTime <= 0 {
		return 0
	}
	layerTime := in.ExpertTime.Seconds() / float64(len(in.Popularity))
	steps := p.cfg.Horizon.Seconds() / in.StepTime.Seconds()
	return layerTime * steps
}

// secondsPerLoad returns what loading one expert costs the group.
func (p *Planner) secondsPerLoad() float64 {
	return p.cfg.ExpertBytes / p.cfg.LoadBytesPerSecond * p.cfg.LoadSlowdown
}

// choose returns the urgent change of all layers, or else the one that fits the
// budget and the interval.
func (p *Planner) choose(in *Input, plans []layerPlan, before float64, now time.Time) Result {
	slices.SortStableFunc(plans, func(a, b layerPlan) int {
		return cmp.Compare(b.saving*float64(a.loads), a.saving*float64(b.loads))
	})
	before /= float64(len(in.Popularity))
	urgent := p.take(in, plans, before, math.Inf(1))
	if urgent.SkewBefore-urgent.SkewAfter >= p.cfg.UrgentSkew {
		return urgent
	}
	if now.Sub(p.changed) < p.cfg.MinInterval {
		return Result{SkewBefore: before, SkewAfter: before}
	}
	return p.take(in, plans, before, p.budget)
}

// take changes the layers that save most for their bytes within a budget, if
// together they are worth a switch.
func (p *Planner) take(in *Input, plans []layerPlan, before, budget float64) Result {
	result := Result{SkewBefore: before, SkewAfter: before}
	m := &expertmap.Map{Layers: slices.Clone(in.Current.Layers)}
	saving, cost := 0.0, p.cfg.StepsLost*in.StepTime.Seconds()
	for _, plan := range plans {
		bytes := float64(plan.loads) * p.cfg.ExpertBytes
		if result.Bytes+bytes > budget {
			continue
		}
		m.Layers[plan.index] = plan.layer
		result.Loads += plan.loads
		result.Bytes += bytes
		saving += plan.saving
		cost += plan.cost
	}
	if result.Loads == 0 || saving <= p.cfg.Hysteresis*cost {
		return Result{SkewBefore: before, SkewAfter: before}
	}
	result.Map = m
	result.Saving = time.Duration(saving * float64(time.Second))
	result.Cost = time.Duration(cost * float64(time.Second))
	result.SkewAfter -= saving / p.savingPerSkew(in) / float64(len(in.Popularity))
	return result
}
