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

// Cost is what steps and changes cost.
type Cost struct {
	// ExpertTime is the expert work of a step under a perfect split, Constant the
	// rest of the step.
	ExpertTime time.Duration
	Constant   time.Duration
	// ExpertBytes is the size of one expert of one layer.
	ExpertBytes float64
	// LoadBytesPerSecond is the rate of the weight store for the group.
	LoadBytesPerSecond float64
	// LoadSlowdown is the part of the group's speed that loading takes.
	LoadSlowdown float64
	// StepsLost is the steps that a switch costs.
	StepsLost float64
}

// Config is one measurement.
type Config struct {
	Scenario Scenario
	Seed     uint64
	Size     expertmap.Size
	Zipf     float64
	// Picks is the expert picks of a step in one layer.
	Picks    float64
	Duration time.Duration
	// Settle is left out of the figures at the start.
	Settle time.Duration
	// Timer is the interval of the timer policy, PlanEvery that of the planner.
	Timer     time.Duration
	PlanEvery time.Duration
	Cost      Cost
	Planner   plan.Config
}

// Scenario is what happens to the workload.
type Scenario string

// Scenarios.
const (
	// ScenarioSteady keeps the popularity as it is.
	ScenarioSteady Scenario = "steady"
	// ScenarioDrift lets neighbours in the law of each layer change places.
	ScenarioDrift Scenario = "drift"
	// ScenarioShift gives every expert a new popularity in the middle.
	ScenarioShift Scenario = "shift"
	// ScenarioStraggler slows one rank in the second quarter and on.
	ScenarioStraggler Scenario = "straggler"
)

// Times of the scenarios.
const (
	driftInterval  = 30 * time.Second
	stragglerSpeed = 0.6
	tick           = time.Second
	oracleInterval = 10 * time.Second
)

// DefaultConfig is a group of 32 ranks and 64 experts a layer.
func DefaultConfig(s Scenario, seed uint64) Config {
	size := expertmap.Size{Ranks: 32, Layers: 8, Experts: 64, Slots: 3}
	cost := Cost{
		ExpertTime: 20 * time.Millisecond, Constant: 5 * time.Millisecond,
		ExpertBytes: 44e6, LoadBytesPerSecond: 1e9, LoadSlowdown: 0.05, StepsLost: 2,
	}
	return Config{
		Scenario: s, Seed: seed, Size: size, Zipf: 1, Picks: 8192, Duration: time.Hour, Settle: 5 * time.Minute,
		Timer: time.Minute, PlanEvery: 10 * time.Second, Cost: cost, Planner: PlannerConfig(size, cost),
	}
}

// PlannerConfig is the planner's settings for a size and its costs.
func PlannerConfig(size expertmap.Size, cost Cost) plan.Config {
	return plan.Config{
		Size: size, ExpertBytes: cost.ExpertBytes, LoadBytesPerSecond: cost.LoadBytesPerSecond,
		LoadSlowdown: cost.LoadSlowdown, StepsLost: cost.StepsLost,
		Horizon: time.Minute, Hysteresis: 1.75, MinInterval: 45 * time.Second, UrgentSkew: 0.1,
		BudgetBytesPerSecond: cost.LoadBytesPerSecond / 4, BudgetBurstBytes: 120 * cost.LoadBytesPerSecond,
		NoiseDeviations: 2,
	}
}

// Outcome is the figures of one policy.
type Outcome struct {
	Policy string `json:"policy"`
	// Expected is the skew under the true popularity.
	ExpectedMean float64 `json:"expected_mean"`
	ExpectedP50  float64 `json:"expected_p50"`
	ExpectedP99  float64 `json:"expected_p99"`
	// Sampled is the skew of drawn steps.
	SampledMean float64 `json:"sampled_mean"`
	SampledP50  float64 `json:"sampled_p50"`
	SampledP99  float64 `json:"sampled_p99"`
	// GapClosed is the part of the gap from the fixed map to the oracle that the
	// expected mean closes.
	GapClosed float64 `json:"gap_closed"`
	// RecoverySeconds is the time after the event until the expected skew has
	// closed 90% of the gap, -1 if it never does.
	RecoverySeconds float64 `json:"recovery_seconds"`
	// SettlingGigabytes is what was moved before the figures begin; the rates
	// below are of the time after.
	SettlingGigabytes float64 `json:"settling_gigabytes"`

	GigabytesPerHour float64 `json:"gigabytes_per_hour"`
	StepsLostPerHour float64 `json:"steps_lost_per_hour"`
	SwitchesPerHour  float64 `json:"switches_per_hour"`
}

// Result is a measurement.
type Result struct {
	Config   Config    `json:"config"`
	Outcomes []Outcome `json:"outcomes"`
	series   []series
}

// series is what is plotted of one policy, one point a tick.
type series struct {
	expected  []float64
	gigabytes []float64
}

// cost is what a policy has spent.
type cost struct {
	bytes    float64
	lost     float64 // steps
	switches float64
}

// group is one policy at work.
type group struct {
	name     string
	policy   policy
	current  *expertmap.Map
	pending  *expertmap.Map
	readyAt  time.Time
	total    cost
	settling cost
	expected *hdrhistogram.Histogram
	sampled  *hdrhistogram.Histogram
	series   series
}

// Run measures all policies on one workload.
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
	return r.result(), nil
}

// runner is a measurement at work.
type runner struct {
	cfg      Config
	workload *Workload
	groups   []*group
	speeds   *speed.Tracker
	elapsed  time.Duration
}

// Policies, in the order of the outcomes.
const (
	policyFixed = iota
	policyOracle
	policyTimer
	policyPlanner
)

func newRunner(cfg Config) *runner {
	r := &runner{cfg: cfg, workload: NewWorkload(cfg.Seed, cfg.Size, cfg.Zipf), speeds: speed.NewTracker(speed.DefaultConfig(), cfg.Size.Ranks)}
	r.add("fixed", fixed{})
	r.add("oracle", &oracle{workload: r.workload, interval: oracleInterval})
	r.add("timer", &timer{size: cfg.Size, interval: cfg.Timer, speeds: r.speeds.Speeds})
	r.add("planner", &planned{
		tracker: popularity.NewTracker(popularity.DefaultConfig(), cfg.Size),
		planner: plan.New(cfg.Planner), speeds: r.speeds, cost: cfg.Cost, interval: cfg.PlanEvery,
	})
	return r
}

// Histograms hold skews in thousandths.
const (
	thousandths = 1000
	maxSkew     = 100 * thousandths
)

func (r *runner) add(name string, p policy) {
	r.groups = append(r.groups, &group{
		name: name, policy: p, current: expertmap.Contiguous(r.cfg.Size),
		expected: hdrhistogram.New(1, maxSkew, 4), sampled: hdrhistogram.New(1, maxSkew, 4),
	})
}

// tick moves virtual time on by one tick: the workload changes, every policy
// sees the same picks, and one drawn step is measured.
func (r *runner) tick() {
	r.elapsed += tick
	now := time.Unix(0, 0).Add(r.elapsed)
	r.change()
	steps := tick.Seconds() / (r.cfg.Cost.ExpertTime + r.cfg.Cost.Constant).Seconds()
	seen := make([][]float64, r.cfg.Size.Layers)
	step := make([][]float64, r.cfg.Size.Layers)
	for l := range seen {
		seen[l] = r.workload.DrawPicks(l, r.cfg.Picks*steps)
		step[l] = r.workload.DrawPicks(l, r.cfg.Picks)
	}
	r.observeSpeeds(seen, now)
	for _, g := range r.groups {
		g.policy.observe(seen, now)
		g.advance(&r.cfg, now)
		r.measure(g, step)
	}
}

// change applies the scenario.
func (r *runner) change() {
	switch r.cfg.Scenario {
	case ScenarioDrift:
		r.workload.AdvanceDrift(tick, driftInterval)
	case ScenarioShift:
		if r.elapsed == r.cfg.eventAt() {
			r.workload.ShiftPopularity()
		}
	case ScenarioStraggler:
		if r.elapsed == r.cfg.eventAt() {
			r.workload.speeds[1] = stragglerSpeed
		}
	}
}

// eventAt is when the shift or the straggler comes.
func (c *Config) eventAt() time.Duration { return (c.Duration / 2).Truncate(tick) }

// observeSpeeds gives the tracker each rank's work and time, as ranks report
// them, with a little noise on the time.
func (r *runner) observeSpeeds(picks [][]float64, now time.Time) {
	const noise = 0.02
	work := make([]float64, r.cfg.Size.Ranks)
	busy := make([]time.Duration, r.cfg.Size.Ranks)
	m := r.groups[policyPlanner].current
	for l, layer := range m.Layers {
		for rank, load := range layer.Loads(picks[l]) {
			work[rank] += load
		}
	}
	for rank := range work {
		factor := 1 + noise*r.workload.rng.NormFloat64()
		busy[rank] = time.Duration(work[rank] / r.workload.speeds[rank] * factor * float64(time.Microsecond))
	}
	r.speeds.Observe(work, busy, now)
}

// advance lets a policy change its map. A change takes effect when its experts
// are loaded; the oracle's costs nothing.
func (g *group) advance(cfg *Config, now time.Time) {
	if g.pending != nil {
		if now.Before(g.readyAt) {
			return
		}
		g.current, g.pending = g.pending, nil
		g.total.switches++
		g.total.lost += cfg.Cost.StepsLost
	}
	m := g.policy.next(g.current, now)
	if m == nil {
		return
	}
	if _, free := g.policy.(*oracle); free {
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
	g.total.lost += seconds * cfg.Cost.LoadSlowdown / (cfg.Cost.ExpertTime + cfg.Cost.Constant).Seconds()
	g.pending = m
	g.readyAt = now.Add(time.Duration(seconds * float64(time.Second)))
}

func (r *runner) measure(g *group, step [][]float64) {
	expected := r.workload.ExpectedSkew(g.current)
	g.series.expected = append(g.series.expected, expected)
	g.series.gigabytes = append(g.series.gigabytes, g.total.bytes/1e9)
	if r.elapsed <= r.cfg.Settle {
		g.settling = g.total
		return
	}
	_ = g.expected.RecordValue(int64(math.Round(expected * thousandths)))
	_ = g.sampled.RecordValue(int64(math.Round(r.workload.SampledSkew(g.current, step) * thousandths)))
}
