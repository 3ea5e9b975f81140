package virtual

import "testing"

// priorityBound is how much longer than on an idle fleet the first token of
// priority work may take, at the 99th percentile.
const priorityBound = 1.25

// TestPriorityAfterWeeksOfSilence lets a priority organisation arrive at once on
// a saturated fleet, in all ways, and holds reserved room to the bound.
func TestPriorityAfterWeeksOfSilence(t *testing.T) {
	for seed := uint64(1); seed <= 5; seed++ {
		idle := Run(PriorityConfig(seed, QueueOnly, false)).Organisations[priorityName].FirstToken99
		for _, way := range PriorityModes() {
			r := Run(PriorityConfig(seed, way, true))
			ratio := float64(r.Organisations[priorityName].FirstToken99) / float64(idle)
			t.Logf("seed %d %-12s %.2f times %s, goodput %.0f, swapped %d", seed, way, ratio, idle, r.Goodput, r.Swapped)
			if way == ReservedCapacity && ratio > priorityBound {
				t.Errorf("seed %d: the first token takes %.2f times as long as on an idle fleet", seed, ratio)
			}
			for name, m := range r.Organisations {
				if m.Late > 0 || r.Lost > 0 {
					t.Errorf("seed %d %s: %d answers of %s late, %d cut", seed, way, m.Late, name, r.Lost)
				}
			}
		}
	}
}
