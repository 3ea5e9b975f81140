package virtual

import (
	"testing"
	"time"
)

// TestGoodputUnderOverload offers up to 5 times the capacity. Goodput must not
// fall, and the attained service must stay close to the weighted shares.
func TestGoodputUnderOverload(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		best := 0.0
		for _, factor := range []float64{0.5, 1, 2, 5} {
			r := Run(OverloadConfig(seed, factor))
			best = max(best, r.Goodput)
			late, refused, expired := 0, 0, 0
			for _, m := range r.Organisations {
				late += m.Late
				refused += m.Refused
				expired += m.Expired
			}
			t.Logf("seed %d, %.1f times the capacity: goodput %.0f, %d late, %d refused, %d of them after a wait", seed, factor, r.Goodput, late, refused, expired)
			if factor == 5 && r.Goodput < 0.95*best {
				t.Errorf("seed %d: goodput falls to %.1f%% of the best", seed, 100*r.Goodput/best)
			}
			if factor < 5 {
				continue
			}
			if e, organisation := r.ShareError(10*time.Second, 10*time.Second); e > 0.05 {
				t.Errorf("seed %d: attained service of %s differs by %.1f%% from its share", seed, organisation, 100*e)
			}
		}
	}
}
