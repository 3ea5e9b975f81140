package maps

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"

	"github.com/acaciaglade/acaciaglade/pkg/expertmap"
	"github.com/acaciaglade/acaciaglade/pkg/expertmap/plan"
	"github.com/acaciaglade/acaciaglade/pkg/expertmap/popularity"
	"github.com/acaciaglade/acaciaglade/pkg/expertmap/speed"
)

// Cost holds the cost of steps and of changes of the map. It is encoded as JSON
// under the names of its fields, or under those in tags.
type Cost struct {
	// ExpertTime is the time of the expert work of a step if it is perfectly
	// balanced, and ConstantTime the time of the rest of the step.
	ExpertTime   time.Duration
	ConstantTime time.Duration `json:"Constant"`
	// ExpertBytes is the size of one expert of one layer.
	ExpertBytes float64
	// LoadBytesPerSecond is the rate at which the group loads experts from the
	// weight store.
	LoadBytesPerSecond float64
	// LoadSlowdown is the fraction of the group's speed lost while loading.
	LoadSlowdown float64
	// StepsLost is the number of steps that a switch costs.
	StepsLost float64
}

// Config holds the settings of a simulation. It is encoded as JSON like Cost.
type Config struct {
	Scenario Scenario
	Seed     uint64
	Size     expertmap.Size
	Zipf     float64
	// Picks is the number of expert selections of a step in one layer.
	Picks    float64
	Duration time.Duration
	// SettleTime is the time at the start that is excluded from the results.
	SettleTime time.Duration `json:"Settle"`
	// TimerInterval is the interval of the timer policy, PlanEvery that of the
	// planner.
	TimerInterval time.Duration `json:"Timer"`
	PlanEvery     time.Duration
	Cost          Cost
	Planner       plan.Config
}

// Scenario names how the workload changes during a simulation.
type Scenario string

// Scenarios.
const (
	// ScenarioSteady keeps the popularity constant.
	ScenarioSteady Scenario = "steady"
	// ScenarioDrift swaps neighbours in the popularity order of each layer.
	ScenarioDrift Scenario = "drift"
	// ScenarioShift changes the popularity of all experts at half the duration.
	ScenarioShift Scenario = "shift"
	// ScenarioStraggler slows one rank from half the duration on.
	ScenarioStraggler Scenario = "straggler"
)

// Intervals of the simulation, and the speed of the slowed rank relative to a
// healthy one.
const (
	driftInterval  = 30 * time.Second
	stragglerSpeed = 0.6
	tickInterval   = time.Second
	oracleInterval = 10 * time.Second
)

// DefaultConfig returns the settings of a group with 32 ranks and 64 experts a
// layer.
func DefaultConfig(s Scenario, seed uint64) Config {
	size := expertmap.Size{Ranks: 32, Layers: 8, Experts: 64, Slots: 3}
	cost := Cost{
		ExpertTime: 20 * time.Millisecond, ConstantTime: 5 * time.Millisecond,
		ExpertBytes: 44e6, LoadBytesPerSecond: 1e9, LoadSlowdown: 0.05, StepsLost: 2,
	}
	return Config{
		Scenario: s, Seed: seed, Size: size, Zipf: 1, Picks: 8192, Duration: time.Hour, SettleTime: 5 * time.Minute,
		TimerInterval: time.Minute, PlanEvery: 10 * time.Second, Cost: cost, Planner: PlannerConfig(size, cost),
	}
}

// PlannerConfig returns the settings of the planner for a size and its costs.
func PlannerConfig(size expertmap.Size, cost Cost) plan.Config {
	return plan.Config{
		Size: size, ExpertBytes: cost.ExpertBytes, LoadBytesPerSecond: cost.LoadBytesPerSecond,
		LoadSlowdown: cost.LoadSlowdown, StepsLost: cost.StepsLost,
		Horizon: time.Minute, Hysteresis: 1.75, MinInterval: 45 * time.Second, UrgentSkew: 0.1,
		BudgetBytesPerSecond: cost.LoadBytesPerSecond / 4, BudgetBurstBytes: 120 * cost.LoadBytesPerSecond,
		NoiseDeviations: 2,
	}
}

// Outcome holds the results of one policy.
type Outcome struct {
	Policy string `json:"policy"`
	// ExpectedMean, ExpectedP50 and ExpectedP99 are the mean and the percentiles of
	// the skew under the true popularity.
	ExpectedMean float64 `json:"expected_mean"`
	ExpectedP50  float64 `json:"expected_p50"`
	ExpectedP99  float64 `json:"expected_p99"`
	// SampledMean, SampledP50 and SampledP99 are the mean and the percentiles of the
	// skew of randomly drawn steps.
	SampledMean float64 `json:"sampled_mean"`
	SampledP50  float64 `json:"sampled_p50"`
	SampledP99  float64 `json:"sampled_p99"`
	// GapClosed is the part of the gap between the fixed map and the oracle that
	// the policy closes, by the mean expected skew.
	GapClosed float64 `json:"gap_closed"`
	// RecoverySeconds is the time from the event until the expected skew closes 90%
	// of the gap for good, or -1 if it does not.
	RecoverySeconds float64 `json:"recovery_seconds"`
	// SettlingGigabytes is the amount loaded during the settle time, which the
	// rates below exclude.
	SettlingGigabytes float64 `json:"settling_gigabytes"`

	GigabytesPerHour float64 `json:"gigabytes_per_hour"`
	StepsLostPerHour float64 `json:"steps_lost_per_hour"`
	SwitchesPerHour  float64 `json:"switches_per_hour"`
}

// Result holds the results of all policies in one simulation.
type Result struct {
	Config   Config    `json:"config"`
	Outcomes []Outcome `json:"outcomes"`
	series   []series
}

// series holds the plotted values of one policy, one for each tick.
type series struct {
	expected  []float64
	gigabytes []float64
}

// totals is the accumulated cost of a policy's changes.
type totals struct {
	bytes     float64
	stepsLost float64
	switches  float64
}

// policyGroup is a simulated group whose map one policy decides.
type policyGroup struct {
	name    string
	policy  policy
	current *expertmap.Map
	// pending is the map whose experts are loaded at readyAt, nil for none.
	pending *expertmap.Map
	readyAt time.Time
	total   totals
	// settleTotal is the total at the end of the settle time.
	settleTotal totals
	// expected and sampled record the skew under the true popularity and that of
	// drawn steps, in thousandths.
	expected *hdrhistogram.Histogram
	sampled  *hdrhistogram.Histogram
	series   series
}

// Run simulates all policies on one workload.
func Run(cfg Config) (Result, error) {
	if err := cfg.Size.Check(); err != nil {
		return Result{}, err
	}
	switch cfg.Scenario {
	case ScenarioSteady, ScenarioDrift, ScenarioShift, ScenarioStraggler:
	default:
		return Result{}, errors.Errorf("scenario %q is unknown; give one of: steady drift shift straggler", cfg.Scenario)
	}
	r := newRunner(cfg)
	for r.elapsed < cfg.Duration {
		r.tick()
	}
	return r.buildResult(), nil
}

// runner holds the state of a simulation.
type runner struct {
	cfg      Config
	workload *Workload
	groups   []*policyGroup
	speeds   *speed.Tracker
	elapsed  time.Duration
}

// Indices of the policies in runner.groups and Result.Outcomes.
const (
	indexFixed = iota
	indexOracle
	indexTimer
	indexPlanner
)

func newRunner(cfg Config) *runner {
	r := &runner{cfg: cfg, workload: NewWorkload(cfg.Seed, cfg.Size, cfg.Zipf), speeds: speed.NewTracker(speed.DefaultConfig(), cfg.Size.Ranks)}
	r.addPolicy("fixed", fixedPolicy{})
	r.addPolicy("oracle", &oraclePolicy{workload: r.workload, interval: oracleInterval})
	r.addPolicy("timer", &timerPolicy{size: cfg.Size, interval: cfg.TimerInterval, speeds: r.speeds.Speeds})
	r.addPolicy("planner", &plannerPolicy{
		tracker: popularity.NewTracker(popularity.DefaultConfig(), cfg.Size),
		planner: plan.New(cfg.Planner), speeds: r.speeds, cost: cfg.Cost, interval: cfg.PlanEvery,
	})
	return r
}

// Histograms record skews in thousandths.
const (
	thousandths = 1000
	maxSkew     = 100 * thousandths
)

func (r *runner) addPolicy(name string, p policy) {
	r.groups = append(r.groups, &policyGroup{
		name: name, policy: p, current: expertmap.Contiguous(r.cfg.Size),
		expected: hdrhistogram.New(1, maxSkew, 4), sampled: hdrhistogram.New(1, maxSkew, 4),
	})
}

// tick advances virtual time by one tick: the workload changes, all policies
// observe the same expert selections, and the skew of one more drawn step is
// recorded.
func (r *runner) tick() {
	r.elapsed += tickInterval
	now := time.Unix(0, 0).Add(r.elapsed)
	r.applyScenario()
	steps := tickInterval.Seconds() / (r.cfg.Cost.ExpertTime + r.cfg.Cost.ConstantTime).Seconds()
	picks := make([][]float64, r.cfg.Size.Layers)
	sample := make([][]float64, r.cfg.Size.Layers)
	for l := range picks {
		picks[l] = r.workload.DrawPicks(l, r.cfg.Picks*steps)
		sample[l] = r.workload.DrawPicks(l, r.cfg.Picks)
	}
	r.observeSpeeds(picks, now)
	for _, g := range r.groups {
		g.policy.observe(picks, now)
		g.updateMap(&r.cfg, now)
		r.recordSkew(g, sample)
	}
}

// applyScenario changes the workload as the scenario demands for this tick.
func (r *runner) applyScenario() {
	switch r.cfg.Scenario {
	case ScenarioDrift:
		r.workload.AdvanceDrift(tickInterval, driftInterval)
	case ScenarioShift:
		if r.elapsed == r.cfg.eventTime() {
			r.workload.ShiftPopularity()
		}
	case ScenarioStraggler:
		if r.elapsed == r.cfg.eventTime() {
			r.workload.speeds[1] = stragglerSpeed
		}
	}
}

// eventTime returns the time of the shift or the slowdown.
func (c *Config) eventTime() time.Duration { return (c.Duration / 2).Truncate(tickInterval) }

// observeSpeeds passes the work and the busy time of each rank under the planner's
// map to the speed tracker, with noise on the time.
func (r *runner) observeSpeeds(picks [][]float64, now time.Time) {
	const timeNoise = 0.02
	work := make([]float64, r.cfg.Size.Ranks)
	busy := make([]time.Duration, r.cfg.Size.Ranks)
	m := r.groups[indexPlanner].current
	for l, layer := range m.Layers {
		for rank, load := range layer.Loads(picks[l]) {
			work[rank] += load
		}
	}
	for rank := range work {
		factor := 1 + timeNoise*r.workload.rng.NormFloat64()
		busy[rank] = time.Duration(work[rank] / r.workload.speeds[rank] * factor * float64(time.Microsecond))
	}
	r.speeds.Observe(work, busy, now)
}

// updateMap changes the map as the policy decides. A change takes effect when its
// experts are loaded, except that changes of the oracle take effect at once and
// cost nothing.
func (g *policyGroup) updateMap(cfg *Config, now time.Time) {
	if g.pending != nil {
		if now.Before(g.readyAt) {
			return
		}
		g.current, g.pending = g.pending, nil
		g.total.switches++
		g.total.stepsLost += cfg.Cost.StepsLost
	}
	m := g.policy.nextMap(g.current, now)
	if m == nil {
		return
	}
	if _, isOracle := g.policy.(*oraclePolicy); isOracle {
		g.current = m
		return
	}
	loads := 0
	for l := range m.Layers {
		for _, n := range expertmap.AddedPerRank(g.current.Layers[l], m.Layers[l]) {
			loads += n
		}
	}
	bytes := float64(loads) * cfg.Cost.ExpertBytes
	seconds := bytes / cfg.Cost.LoadBytesPerSecond
	g.total.bytes += bytes
	g.total.stepsLost += seconds * cfg.Cost.LoadSlowdown / (cfg.Cost.ExpertTime + cfg.Cost.ConstantTime).Seconds()
	g.pending = m
	g.readyAt = now.Add(time.Duration(seconds * float64(time.Second)))
}

func (r *runner) recordSkew(g *policyGroup, sample [][]float64) {
	expected := r.workload.ExpectedSkew(g.current)
	g.series.expected = append(g.series.expected, expected)
	g.series.gigabytes = append(g.series.gigabytes, g.total.bytes/1e9)
	if r.elapsed <= r.cfg.SettleTime {
		g.settleTotal = g.total
		return
	}
	_ = g.expected.RecordValue(int64(math.Round(expected * thousandths)))
	_ = g.sampled.RecordValue(int64(math.Round(r.workload.SampledSkew(g.current, sample) * thousandths)))
}
