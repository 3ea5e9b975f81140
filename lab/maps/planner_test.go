package maps

import (
	"fmt"
	"testing"
	"time"
)

// Limits that the results of the planner must keep.
const (
	// maxSettledSkew limits the p99 of the expected skew while the popularity is
	// constant.
	maxSettledSkew = 1.05
	// maxOracleRatio limits the sampled skew relative to that of the oracle.
	maxOracleRatio = 1.03
	// minDriftGapClosed is the minimum Outcome.GapClosed while the popularity drifts.
	minDriftGapClosed = 0.9
	// maxCostRatio limits the bytes loaded and the steps lost relative to those of
	// the timer.
	maxCostRatio = 0.25
	// maxRecoveryTime limits the time from a shift or slowdown until 90% of the gap
	// is closed.
	maxRecoveryTime = 60 * time.Second
)

func runScenario(t *testing.T, s Scenario, zipf float64, slots int, duration, interval time.Duration) (planner, oracle, timer Outcome) {
	t.Helper()
	cfg := DefaultConfig(s, 1)
	cfg.TimerInterval = interval
	cfg.Size.Slots = slots
	cfg.Zipf = zipf
	cfg.Duration = duration
	cfg.Planner = PlannerConfig(cfg.Size, cfg.Cost)
	r, err := Run(cfg)
	if err != nil {
		t.Fatal(err)
	}
	return r.Outcomes[indexPlanner], r.Outcomes[indexOracle], r.Outcomes[indexTimer]
}

func checkAtMost(t *testing.T, name string, got, limit float64) {
	t.Helper()
	t.Logf("%s: %.3f, at most %.3f", name, got, limit)
	if got > limit {
		t.Errorf("%s: %.3f is above %.3f", name, got, limit)
	}
}

// forEachSetting calls fn for each tested popularity exponent and number of expert
// slots a rank.
func forEachSetting(t *testing.T, fn func(t *testing.T, zipf float64, slots int)) {
	t.Helper()
	for _, zipf := range []float64{0.5, 0.75, 1} {
		for _, slots := range []int{3, 4} {
			t.Run(fmt.Sprintf("zipf %.2f, %d slots", zipf, slots), func(t *testing.T) {
				t.Parallel()
				fn(t, zipf, slots)
			})
		}
	}
}

// With constant popularity, the planner's map must be nearly balanced and nearly as
// good as the oracle's.
func TestPlannerSkewAfterSettling(t *testing.T) {
	forEachSetting(t, func(t *testing.T, zipf float64, slots int) {
		p, o, _ := runScenario(t, ScenarioSteady, zipf, slots, 10*time.Minute, time.Minute)
		checkAtMost(t, "expected skew", p.ExpectedP99, maxSettledSkew)
		checkAtMost(t, "sampled p50 relative to the oracle", p.SampledP50/o.SampledP50, maxOracleRatio)
		checkAtMost(t, "sampled p99 relative to the oracle", p.SampledP99/o.SampledP99, maxOracleRatio)
	})
}

// While the popularity drifts, the planner must follow it as well as the timer, at no
// more than a quarter of the timer's cost.
func TestPlannerUnderDrift(t *testing.T) {
	forEachSetting(t, func(t *testing.T, zipf float64, slots int) {
		p, o, timer := runScenario(t, ScenarioDrift, zipf, slots, 30*time.Minute, time.Minute)
		checkAtMost(t, "remaining gap", 1-p.GapClosed, 1-minDriftGapClosed)
		checkAtMost(t, "sampled p50 relative to the oracle", p.SampledP50/o.SampledP50, maxOracleRatio)
		checkAtMost(t, "sampled p99 relative to the oracle", p.SampledP99/o.SampledP99, maxOracleRatio)
		// A longer timer interval costs less, so the planner is compared with the
		// shortest interval whose mean skew is not below the planner's.
		for _, interval := range []time.Duration{75 * time.Second, 90 * time.Second} {
			if p.ExpectedMean <= timer.ExpectedMean {
				break
			}
			t.Logf("mean skew %.4f is above %.4f of the timer; comparing with a timer interval of %s", p.ExpectedMean, timer.ExpectedMean, interval)
			_, _, timer = runScenario(t, ScenarioDrift, zipf, slots, 30*time.Minute, interval)
		}
		checkAtMost(t, "mean skew relative to the timer", p.ExpectedMean/timer.ExpectedMean, 1)
		checkAtMost(t, "bytes relative to the timer", p.GigabytesPerHour/timer.GigabytesPerHour, maxCostRatio)
		checkAtMost(t, "steps lost relative to the timer", p.StepsLostPerHour/timer.StepsLostPerHour, maxCostRatio)
	})
}

// After the popularity of all experts shifts or a rank slows down, the planner must
// recover within maxRecoveryTime.
func TestPlannerRecovery(t *testing.T) {
	for _, s := range []Scenario{ScenarioShift, ScenarioStraggler} {
		t.Run(string(s), func(t *testing.T) {
			p, _, timer := runScenario(t, s, 1, 3, 20*time.Minute, time.Minute)
			if p.RecoverySeconds < 0 {
				t.Error("the planner did not recover: it did not close 90% of the gap for good")
			}
			checkAtMost(t, "seconds until 90% of the gap is closed", p.RecoverySeconds, maxRecoveryTime.Seconds())
			checkAtMost(t, "bytes relative to the timer", p.GigabytesPerHour/timer.GigabytesPerHour, maxCostRatio)
			checkAtMost(t, "steps lost relative to the timer", p.StepsLostPerHour/timer.StepsLostPerHour, maxCostRatio)
		})
	}
}
