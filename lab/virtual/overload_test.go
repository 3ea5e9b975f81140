package virtual

import (
	"testing"
	"time"
)

// TestGoodputUnderOverload offers up to five times the capacity.
func TestGoodputUnderOverload(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		best := 0.0
		for _, times := range []float64{0.5, 1, 2, 5} {
			r := Run(OverloadConfig(seed, times))
			best = max(best, r.Goodput)
			late, refused, expired := 0, 0, 0
			for _, m := range r.Organisations {
				late += m.Late
				refused += m.Refused
				expired += m.Expired
			}
			t.Logf("seed %d, %.1f times: goodput %.0f, %d late, %d refused, %d of them after a wait", seed, times, r.Goodput, late, refused, expired)
			if times == 5 && r.Goodput < 0.95*best {
				t.Errorf("seed %d: goodput falls to %.1f%% of the best", seed, 100*r.Goodput/best)
			}
			if times < 5 {
				continue
			}
			if e, who := r.ShareError(10*time.Second, 10*time.Second); e > 0.05 {
				t.Errorf("seed %d: what is served of %s differs by %.1f%% from its share", seed, who, 100*e)
			}
		}
	}
}
