package popularity

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/expertmap"
)

// Sampling noise averages out while the popularity is constant, and the estimate follows a
// sudden shift within seconds.
func TestHalfLifeAdaptsToDrift(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	tracker := NewTracker(DefaultConfig(), expertmap.Size{Layers: 1, Experts: 4})
	now := time.Unix(1000, 0)
	observe := func(shares []float64, seconds int) {
		for range seconds {
			now = now.Add(time.Second)
			picks := make([]float64, len(shares))
			for e, s := range shares {
				picks[e] = math.Round(1000*s + math.Sqrt(1000*s)*rng.NormFloat64())
			}
			tracker.Observe([][]float64{picks}, now)
		}
	}
	observe([]float64{0.4, 0.3, 0.2, 0.1}, 600)
	if e := tracker.Estimate(0); e.EffectivePicks < 300_000 || math.Abs(e.Shares[0]-0.4) > 0.005 {
		t.Errorf("constant popularity: %.0f effective picks, shares %.3f", e.EffectivePicks, e.Shares)
	}
	observe([]float64{0.1, 0.2, 0.3, 0.4}, 20)
	if e := tracker.Estimate(0); math.Abs(e.Shares[0]-0.1) > 0.05 {
		t.Errorf("20 s after a shift: %.0f effective picks, shares %.3f", e.EffectivePicks, e.Shares)
	}
}

func TestEstimateWithoutPicksHasEqualShares(t *testing.T) {
	e := NewTracker(DefaultConfig(), expertmap.Size{Layers: 1, Experts: 2}).Estimate(0)
	if e.EffectivePicks != 0 || e.Shares[0] != 0.5 {
		t.Errorf("estimate %+v, want equal shares and no effective picks", e)
	}
}
