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
	// seedVariable names the environment variable that replays a run.
	seedVariable = "ACACIAGLADE_SEED"
	defaultSeed  = 4
)

// check plays random schedules and reports whether all of them kept the rules.
func check(t *testing.T, m mutation) (*gopter.TestResult, [unknown + 1]int) {
	t.Helper()
	var answers [unknown + 1]int
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
		w := newWorld(schedule, m)
		defer func() {
			for _, j := range w.jobs {
				answers[j.told]++
			}
		}()
		return w.run()
	}, gen.UInt64().WithShrinker(gopter.NoShrinker))
	return property.Check(parameters), answers
}

func TestWorkRunsAtMostOnceAndNotRunIsTrue(t *testing.T) {
	r, answers := check(t, none)
	t.Logf("%s after %d schedules; callers were told: nothing %d, complete %d, not run %d, unknown %d",
		r.Status, r.Succeeded, answers[nothing], answers[complete], answers[notRun], answers[unknown])
	if !r.Passed() {
		t.Fatalf("schedule %s: %s", r.Args, r.Labels)
	}
}

func TestCheckFailsWithoutSafeguard(t *testing.T) {
	for name, m := range map[string]mutation{
		"tombstone": noTombstone, "claim": noClaim, "dispatch check": noDispatchCheck, "record of refusals": noRefusalRecord,
		"start time": noStartTime,
	} {
		t.Run(name, func(t *testing.T) {
			r, _ := check(t, m)
			t.Logf("%s after %d schedules: %s", r.Status, r.Succeeded, r.Labels)
			if r.Passed() {
				t.Fatal("the check passed without the safeguard")
			}
		})
	}
}
