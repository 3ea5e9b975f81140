package virtual

import "testing"

// TestStepTimedLimitPreventsCrashes turns one of 3 upstreams cold without a
// restart, restarts it or stops it. An agent that measures step times lowers the
// limit of a cold engine before the engine crashes. A restart counts as a crash.
func TestStepTimedLimitPreventsCrashes(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		for kind, name := range map[EventKind]string{TurnCold: "turned cold", Restart: "restarted", Stop: "stopped"} {
			for _, limit := range []Limiting{StepTimed, TimedRamp, FixedLimit} {
				r := Run(ColdConfig(seed, limit, kind))
				late, refused := 0, 0
				for _, m := range r.Organisations {
					late += m.Late
					refused += m.Refused
				}
				t.Logf("seed %d %-11s %-10s crashes %d, excess %d, aborted %d, late %d, refused %d, recovered in %s, goodput %.0f",
					seed, name, limit, r.Crashes, r.Excess, r.Aborted, late, refused, r.RecoveryTime, r.Goodput)
				allowed := 0
				if kind == Restart {
					allowed = 1
				}
				if limit == StepTimed && r.Crashes > allowed {
					t.Errorf("seed %d %s: engines crashed %d times", seed, name, r.Crashes)
				}
			}
		}
	}
}
