package maps

import (
	"fmt"
	"testing"
	"time"
)

// Goals of the issue.
const (
	goalSettled  = 1.05
	goalOracle   = 1.03
	goalGap      = 0.9
	goalCost     = 0.25
	goalRecovery = 60 * time.Second
)

func measure(t *testing.T, s Scenario, zipf float64, slots int, duration, interval time.Duration) (planner, oracle, timer Outcome) {
	t.Helper()
	cfg := DefaultConfig(s, 1)
	cfg.Timer = interval
	cfg.Size.Slots = slots
	cfg.Zipf = zipf
	cfg.Duration = duration
	cfg.Planner = PlannerConfig(cfg.Size, cfg.Cost)
	r, err := Run(cfg)
	if err != nil {
		t.Fatal(err)
	}
	return r.Outcomes[policyPlanner], r.Outcomes[policyOracle], r.Outcomes[policyTimer]
}

func atMost(t *testing.T, what string, got, bound float64) {
	t.Helper()
	t.Logf("%s: %.3f, at most %.3f", what, got, bound)
	if got > bound {
		t.Errorf("%s: %.3f is above %.3f", what, got, bound)
	}
}

// cells calls fn for each popularity and memory that the goals name.
func cells(t *testing.T, fn func(t *testing.T, zipf float64, slots int)) {
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

func TestGoalSettledSkew(t *testing.T) {
	cells(t, func(t *testing.T, zipf float64, slots int) {
		p, o, _ := measure(t, ScenarioSteady, zipf, slots, 10*time.Minute, time.Minute)
		atMost(t, "expected skew", p.ExpectedP99, goalSettled)
		atMost(t, "sampled p50 over the oracle's", p.SampledP50/o.SampledP50, goalOracle)
		atMost(t, "sampled p99 over the oracle's", p.SampledP99/o.SampledP99, goalOracle)
	})
}

func TestGoalDrift(t *testing.T) {
	cells(t, func(t *testing.T, zipf float64, slots int) {
		p, o, timer := measure(t, ScenarioDrift, zipf, slots, 30*time.Minute, time.Minute)
		atMost(t, "gap left open", 1-p.GapClosed, 1-goalGap)
		atMost(t, "sampled p50 over the oracle's", p.SampledP50/o.SampledP50, goalOracle)
		atMost(t, "sampled p99 over the oracle's", p.SampledP99/o.SampledP99, goalOracle)
		// A timer spends less the slower it is, so the planner is compared with the
		// first one whose skew is not below its own.
		for _, interval := range []time.Duration{75 * time.Second, 90 * time.Second} {
			if p.ExpectedMean <= timer.ExpectedMean {
				break
			}
			t.Logf("mean skew %.4f, that of the timer %.4f; comparing with one of %s", p.ExpectedMean, timer.ExpectedMean, interval)
			_, _, timer = measure(t, ScenarioDrift, zipf, slots, 30*time.Minute, interval)
		}
		atMost(t, "mean skew over the timer's", p.ExpectedMean/timer.ExpectedMean, 1)
		atMost(t, "bytes over the timer's", p.GigabytesPerHour/timer.GigabytesPerHour, goalCost)
		atMost(t, "steps lost over the timer's", p.StepsLostPerHour/timer.StepsLostPerHour, goalCost)
	})
}

func TestGoalEvents(t *testing.T) {
	for _, s := range []Scenario{ScenarioShift, ScenarioStraggler} {
		t.Run(string(s), func(t *testing.T) {
			p, _, timer := measure(t, s, 1, 3, 20*time.Minute, time.Minute)
			if p.RecoverySeconds < 0 {
				t.Error("90% of the gap was never closed again")
			}
			atMost(t, "seconds until 90% of the gap are closed again", p.RecoverySeconds, goalRecovery.Seconds())
			atMost(t, "bytes over the timer's", p.GigabytesPerHour/timer.GigabytesPerHour, goalCost)
			atMost(t, "steps lost over the timer's", p.StepsLostPerHour/timer.StepsLostPerHour, goalCost)
		})
	}
}
