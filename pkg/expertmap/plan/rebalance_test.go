package plan

import (
	"math/rand/v2"
	"testing"

	"github.com/acaciaglade/acaciaglade/pkg/expertmap"
)

// engineSizes are sizes of groups whose popular experts change within seconds.
var engineSizes = []expertmap.Size{
	{Ranks: 12, Layers: 4, Experts: 72, Slots: 8},
	{Ranks: 63, Layers: 8, Experts: 252, Slots: 5},
}

var engineLimits = RebalanceLimits{MaxNewPerLayer: 2, MaxCopiesPerRank: 8, TargetSkew: 1.3, MinGain: 0.02, MinMeanGain: 0.1}

func equalSpeeds(n int) []float64 {
	speeds := make([]float64, n)
	for i := range speeds {
		speeds[i] = 1
	}
	return speeds
}

// popularityDecay is the exponent of the Zipf distribution of the popularity.
const popularityDecay = 0.67

func zipfShares(rng *rand.Rand, size expertmap.Size) [][]float64 {
	shares := make([][]float64, size.Layers)
	for l := range shares {
		shares[l] = zipf(rng, popularityDecay, size.Experts)
	}
	return shares
}

// checkLimits checks that a change is valid and within the limits.
func checkLimits(t *testing.T, from, to *expertmap.Map, size expertmap.Size, b RebalanceLimits) {
	t.Helper()
	if err := to.Check(size); err != nil {
		t.Fatal(err)
	}
	total := make([]int, size.Ranks)
	for l := range to.Layers {
		for r, n := range expertmap.AddedPerRank(from.Layers[l], to.Layers[l]) {
			total[r] += n
			if n > b.MaxNewPerLayer {
				t.Errorf("layer %d adds %d experts to rank %d, above MaxNewPerLayer", l, n, r)
			}
		}
	}
	for r, n := range total {
		if n > b.MaxCopiesPerRank {
			t.Errorf("rank %d copies %d experts, above MaxCopiesPerRank", r, n)
		}
	}
}

// The popular experts shift repeatedly. A single change of the map must bring the skew
// after each shift near the target.
func TestRebalanceFollowsShifts(t *testing.T) {
	for _, size := range engineSizes {
		rng := rand.New(rand.NewPCG(1, uint64(size.Ranks)))
		current, speeds := expertmap.RoundRobin(size), equalSpeeds(size.Ranks)
		for shift := range 12 {
			shares := zipfShares(rng, size)
			before := Skew(current, shares, speeds, size)
			next, _ := Rebalance(current, shares, speeds, size, engineLimits)
			if next == nil {
				t.Fatalf("no change for a skew of %.2f", before)
			}
			checkLimits(t, current, next, size, engineLimits)
			current = next
			if after := Skew(current, shares, speeds, size); after > 1.5 {
				t.Errorf("%d ranks, shift %d: skew %.2f after one change, %.2f before", size.Ranks, shift, after, before)
			}
		}
	}
}

// The work of a rank that becomes slow must move to the others within a few changes.
func TestRebalanceRelievesSlowRank(t *testing.T) {
	for _, size := range engineSizes {
		rng := rand.New(rand.NewPCG(2, uint64(size.Ranks)))
		current, speeds := expertmap.RoundRobin(size), equalSpeeds(size.Ranks)
		shares := zipfShares(rng, size)
		for range 3 {
			if next, _ := Rebalance(current, shares, speeds, size, engineLimits); next != nil {
				current = next
			}
		}
		speeds[3] = 1.0 / 12
		before := Skew(current, shares, speeds, size)
		for range 4 {
			next, _ := Rebalance(current, shares, speeds, size, engineLimits)
			if next == nil {
				break
			}
			checkLimits(t, current, next, size, engineLimits)
			current = next
		}
		after := Skew(current, shares, speeds, size)
		t.Logf("%d ranks, one twelve times slower: skew %.2f to %.2f", size.Ranks, before, after)
		if after > 1.7 {
			t.Errorf("%d ranks: skew %.2f with a slow rank, %.2f before the changes", size.Ranks, after, before)
		}
	}
}

func TestRebalanceKeepsBalancedMap(t *testing.T) {
	size := engineSizes[0]
	shares := make([][]float64, size.Layers)
	for l := range shares {
		shares[l] = make([]float64, size.Experts)
		for e := range shares[l] {
			shares[l][e] = 1 / float64(size.Experts)
		}
	}
	if next, changes := Rebalance(expertmap.RoundRobin(size), shares, equalSpeeds(size.Ranks), size, engineLimits); next != nil {
		t.Errorf("%d changes for an evenly loaded map, want none", changes)
	}
}
