package virtual

import "testing"

// TestColdUpstream turns one of three upstreams cold without warning, restarts
// it, and stops it for good. No engine falls over, but for the one that is
// restarted or stopped.
func TestColdUpstream(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		for kind, name := range map[EventKind]string{TurnCold: "turned cold", Restart: "restarted", Stop: "stopped"} {
			for _, limit := range []Limiting{StepTimed, TimedRamp, FixedLimit} {
				r := Run(ColdConfig(seed, limit, kind))
				late, refused := 0, 0
				for _, m := range r.Organisations {
					late += m.Late
					refused += m.Refused
				}
				t.Logf("seed %d %-11s %-10s fell over %d, excess %d, lost %d, late %d, refused %d, recovered in %s, goodput %.0f",
					seed, name, limit, r.Crashes, r.Excess, r.Lost, late, refused, r.RecoveryTime, r.Goodput)
				allowed := 0
				if kind == Restart {
					allowed = 1
				}
				if limit == StepTimed && r.Crashes > allowed {
					t.Errorf("seed %d %s: engines fell over %d times", seed, name, r.Crashes)
				}
			}
		}
	}
}
