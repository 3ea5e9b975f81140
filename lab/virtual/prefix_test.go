package virtual

import (
	"testing"
	"time"
)

// TestPrefixAffinityImprovesCacheHits compares prefix affinity with least load and
// two choices: its cache hit ratio must be higher and its latency not higher.
func TestPrefixAffinityImprovesCacheHits(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		hits, slowest := make(map[Routing]float64), make(map[Routing]time.Duration)
		for _, routing := range []Routing{LeastLoad, TwoChoices, PrefixAffinity} {
			r := Run(PrefixConfig(seed, routing, 0.25))
			cached, first := 0, 0
			for _, m := range r.Organisations {
				cached += m.Cached
				first += len(m.firstTokenTimes)
				slowest[routing] = max(slowest[routing], m.FirstTokenP99)
			}
			hits[routing] = float64(cached) / float64(first)
			t.Logf("seed %d %-11s hits %.1f%%, p99 %s, busiest %.2f times the mean, goodput %.0f",
				seed, routing, 100*hits[routing], slowest[routing], r.MaxLoad, r.Goodput)
		}
		for _, other := range []Routing{LeastLoad, TwoChoices} {
			if hits[PrefixAffinity] <= hits[other] || slowest[PrefixAffinity] > slowest[other] {
				t.Errorf("seed %d: hit ratio %.3f and p99 %s are not better than %.3f and %s of %s", seed,
					hits[PrefixAffinity], slowest[PrefixAffinity], hits[other], slowest[other], other)
			}
		}
	}
}
