// Package plan decides when and how to change a group's expert map. From the expected
// work of each expert and the speed of each rank, it reduces the skew of each layer: the
// time of the slowest rank relative to a perfectly balanced split.
//
// There are two planners, both of which search greedily for changes that relieve the
// slowest ranks. Planner is for engines that load experts slowly: it keeps the moves of
// experts whose saving over a time horizon exceeds their cost. Rebalance is for engines
// that copy an expert in a fraction of a second: it limits the number of copies instead.
//
// The package does no I/O and reads no clock.
package plan

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/expertmap"
	"github.com/acaciaglade/acaciaglade/pkg/expertmap/popularity"
)

// Config configures a planner.
type Config struct {
	Size expertmap.Size
	// ExpertBytes is the size of one expert of one layer.
	ExpertBytes float64
	// LoadBytesPerSecond is the rate at which the group loads experts from the weight
	// store or a peer.
	LoadBytesPerSecond float64
	// LoadSlowdown is the fraction of the group's speed lost while loading.
	LoadSlowdown float64
	// StepsLost is the number of steps that a switch costs.
	StepsLost float64
	// Horizon is how long a saving is expected to last.
	Horizon time.Duration
	// Hysteresis is the factor by which the saving of a change must exceed its cost.
	Hysteresis float64
	// UrgentSkew is the reduction of the skew from which a change is urgent.
	UrgentSkew float64
	// MinInterval is the minimum time between two changes that are not urgent.
	MinInterval time.Duration
	// BudgetBytesPerSecond and BudgetBurstBytes limit the bytes that are moved, as the
	// rate and the capacity of a token bucket. Urgent changes ignore the budget. The
	// debt that they leave is capped at one burst.
	BudgetBytesPerSecond float64
	BudgetBurstBytes     float64
	// NoiseDeviations is the number of standard deviations of sampling noise by which
	// a layer's skew must exceed 1 for the layer to be changed.
	NoiseDeviations float64
}

// Input is the input of one plan.
type Input struct {
	Current *expertmap.Map
	// Popularity is the estimated popularity of the experts of each layer.
	Popularity []popularity.Estimate
	// Speeds is the relative speed of each rank, 1 for a healthy one.
	Speeds []float64
	// ExpertTime is the time that the expert work of one step would take over all
	// layers if it were perfectly balanced.
	ExpertTime time.Duration
	// StepTime is the duration of a complete step.
	StepTime time.Duration
}

// Result is the result of planning. Times are those of the whole group.
type Result struct {
	// Map is the new map, nil when no change is worth its cost.
	Map *expertmap.Map
	// Loads is the number of experts that ranks must load, Bytes their total size.
	Loads int
	Bytes float64
	// Saving and Cost are the expected values over the horizon.
	Saving time.Duration
	Cost   time.Duration
	// SkewBefore and SkewAfter are the expected skew of the current and the new map:
	// the time of the slowest rank relative to a perfectly balanced split.
	SkewBefore float64
	SkewAfter  float64
}

// Planner plans the maps of one group.
type Planner struct {
	cfg        Config
	budget     float64 // bytes that may be moved now, negative for a debt
	lastRefill time.Time
	// lastChange is when the last change was recorded.
	lastChange time.Time
}

// New returns a planner with a full budget.
func New(cfg Config) *Planner { return &Planner{cfg: cfg, budget: cfg.BudgetBurstBytes} }

// layerPlan is the best change of one layer.
type layerPlan struct {
	index  int
	layer  expertmap.Layer
	loads  int     // number of experts to load
	saving float64 // seconds over the horizon
	cost   float64 // seconds
}

// Plan returns the change to make now. A caller that makes it must call RecordChange.
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

// refill adds the budget for the time since the last refill.
func (p *Planner) refill(now time.Time) {
	if !p.lastRefill.IsZero() {
		p.budget += p.cfg.BudgetBytesPerSecond * now.Sub(p.lastRefill).Seconds()
		p.budget = min(p.budget, p.cfg.BudgetBurstBytes)
	}
	p.lastRefill = now
}

// RecordChange records that a change was made and deducts its bytes from the budget.
func (p *Planner) RecordChange(bytes float64, now time.Time) {
	p.budget = max(p.budget-bytes, -p.cfg.BudgetBurstBytes)
	p.lastChange = now
}

// maxMoves limits the number of moves in the search of one layer.
const maxMoves = 256

// planLayer returns the change of a layer with the highest saving after its cost: either
// a sequence of moves, or a placement from scratch when moves leave too much skew.
func (p *Planner) planLayer(index int, state *layerState, in *Input) (layerPlan, bool) {
	c := layerChoice{
		from: in.Current.Layers[index], startSkew: state.skew(),
		secondsPerSkew: p.savingPerSkew(in), secondsPerLoad: p.secondsPerLoad(), hysteresis: p.cfg.Hysteresis,
		best: layerPlan{index: index},
	}
	if c.startSkew <= 1+p.noiseExcess(in.Popularity[index].EffectivePicks) || !c.pays(c.startSkew, 1) {
		return c.best, false
	}
	for range maxMoves {
		m, ok := state.bestMove()
		if !ok {
			break
		}
		state.apply(m)
		c.consider(state)
	}
	if c.pays(state.skew(), minReplanLoads) {
		replanned := Align(c.from, PlaceLayer(state.work, state.speed, p.cfg.Size), state.speed)
		c.consider(newLayerState(replanned, state.work, state.speed, state.slots))
	}
	return c.best, c.best.layer != nil
}

// minReplanLoads is the number of loads that removing the remaining skew must pay for
// before a placement from scratch is tried.
const minReplanLoads = 8

// layerChoice keeps the best change of one layer so far.
type layerChoice struct {
	from           expertmap.Layer
	startSkew      float64 // skew of from
	secondsPerSkew float64 // saving when the skew falls by 1
	secondsPerLoad float64 // cost of loading one expert
	hysteresis     float64
	net            float64 // saving of best less hysteresis times its cost, in seconds
	best           layerPlan
}

// pays reports whether removing a skew completely would pay for a number of loads.
func (c *layerChoice) pays(skew float64, loads int) bool {
	return (skew-1)*c.secondsPerSkew > c.hysteresis*c.secondsPerLoad*float64(loads)
}

func (c *layerChoice) consider(state *layerState) {
	loads := countAdded(c.from, state.held)
	saving := (c.startSkew - state.skew()) * c.secondsPerSkew
	cost := float64(loads) * c.secondsPerLoad
	if net := saving - c.hysteresis*cost; net > c.net {
		c.net = net
		c.best.layer, c.best.loads, c.best.saving, c.best.cost = state.layer(), loads, saving, cost
	}
}

func countAdded(from expertmap.Layer, to [][]int) int {
	total := 0
	for _, n := range expertmap.AddedPerRank(from, to) {
		total += n
	}
	return total
}

// noiseExcess returns the excess of the skew over 1 that sampling noise alone explains.
func (p *Planner) noiseExcess(picks float64) float64 {
	if picks == 0 {
		return math.Inf(1)
	}
	return p.cfg.NoiseDeviations * math.Sqrt(float64(p.cfg.Size.Ranks)/picks)
}

// savingPerSkew returns the seconds saved over the horizon when the skew of one layer
// falls by 1.
func (p *Planner) savingPerSkew(in *Input) float64 {
	if in.StepTime <= 0 {
		return 0
	}
	layerTime := in.ExpertTime.Seconds() / float64(len(in.Popularity))
	steps := p.cfg.Horizon.Seconds() / in.StepTime.Seconds()
	return layerTime * steps
}

// secondsPerLoad returns the cost to the group of loading one expert.
func (p *Planner) secondsPerLoad() float64 {
	return p.cfg.ExpertBytes / p.cfg.LoadBytesPerSecond * p.cfg.LoadSlowdown
}

// choose returns the change of all layers without a budget if it is urgent, and otherwise
// the change within the budget, at most once every MinInterval.
func (p *Planner) choose(in *Input, plans []layerPlan, before float64, now time.Time) Result {
	slices.SortStableFunc(plans, func(a, b layerPlan) int {
		return cmp.Compare(b.saving*float64(a.loads), a.saving*float64(b.loads))
	})
	before /= float64(len(in.Popularity))
	urgent := p.selectWithin(in, plans, before, math.Inf(1))
	if urgent.SkewBefore-urgent.SkewAfter >= p.cfg.UrgentSkew {
		return urgent
	}
	if now.Sub(p.lastChange) < p.cfg.MinInterval {
		return Result{SkewBefore: before, SkewAfter: before}
	}
	return p.selectWithin(in, plans, before, p.budget)
}

// selectWithin changes the layers with the highest saving per byte within a budget. It
// returns no map unless their total saving is worth a switch.
func (p *Planner) selectWithin(in *Input, plans []layerPlan, before, budget float64) Result {
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
