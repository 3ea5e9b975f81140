package atmostonce

import (
	"os"
	"strconv"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

const (
	schedules = 10_000
	// seedVariable is the environment variable that sets the seed, to repeat a run.
	seedVariable = "ACACIAGLADE_SEED"
	defaultSeed  = 4
)

// runSchedules runs random schedules until one violates a rule. It also returns how
// many callers were sent each outcome.
func runSchedules(t *testing.T, m mutation) (*gopter.TestResult, [unknown + 1]int) {
	t.Helper()
	var outcomes [unknown + 1]int
	seed := int64(defaultSeed)
	if text := os.Getenv(seedVariable); text != "" {
		parsed, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		seed = parsed
	}
	t.Logf("%s=%d", seedVariable, seed)
	parameters := gopter.DefaultTestParametersWithSeed(seed)
	parameters.MinSuccessfulTests = schedules
	property := prop.ForAll(func(schedule uint64) string {
		s := newSimulation(schedule, m)
		defer func() {
			for _, r := range s.requests {
				outcomes[r.outcome]++
			}
		}()
		return s.run()
	}, gen.UInt64().WithShrinker(gopter.NoShrinker))
	return property.Check(parameters), outcomes
}

func TestRequestsRunAtMostOnceAndNeverWhenReportedNotRun(t *testing.T) {
	r, outcomes := runSchedules(t, none)
	t.Logf("%s after %d schedules; outcomes reported to callers: none %d, complete %d, not run %d, unknown %d",
		r.Status, r.Succeeded, outcomes[unreported], outcomes[complete], outcomes[notRun], outcomes[unknown])
	if !r.Passed() {
		t.Fatalf("schedule %s: %s", r.Args, r.Labels)
	}
}

func TestSchedulesFailWithoutSafeguard(t *testing.T) {
	for name, m := range map[string]mutation{
		"tombstone": noTombstone, "claim": noClaim, "dispatch check": noDispatchCheck, "refusal record": noRefusalRecord,
		"start time": noStartTime,
	} {
		t.Run(name, func(t *testing.T) {
			r, _ := runSchedules(t, m)
			t.Logf("%s after %d schedules: %s", r.Status, r.Succeeded, r.Labels)
			if r.Passed() {
				t.Fatal("all schedules passed without the safeguard")
			}
		})
	}
}
