package virtual

import "testing"

// maxPriorityRatio limits the time to the first token of priority requests at the
// 99th percentile, relative to an idle cluster.
const maxPriorityRatio = 1.25

// TestReservedCapacityLimitsPriorityLatency sends a burst of priority requests to
// a saturated cluster in all priority modes. Reserved capacity must keep the time
// to the first token within maxPriorityRatio.
func TestReservedCapacityLimitsPriorityLatency(t *testing.T) {
	for seed := uint64(1); seed <= 5; seed++ {
		idle := Run(PriorityConfig(seed, QueueOnly, false)).Organisations[priorityOrganisation].FirstTokenP99
		for _, mode := range PriorityModes() {
			r := Run(PriorityConfig(seed, mode, true))
			ratio := float64(r.Organisations[priorityOrganisation].FirstTokenP99) / float64(idle)
			t.Logf("seed %d %-12s %.2f times %s, goodput %.0f, swapped out %d", seed, mode, ratio, idle, r.Goodput, r.SwappedOut)
			if mode == ReservedCapacity && ratio > maxPriorityRatio {
				t.Errorf("seed %d: the first token takes %.2f times as long as in an idle cluster", seed, ratio)
			}
			for name, m := range r.Organisations {
				if m.Late > 0 || r.Aborted > 0 {
					t.Errorf("seed %d %s: %d requests of %s late, %d requests aborted", seed, mode, m.Late, name, r.Aborted)
				}
			}
		}
	}
}
