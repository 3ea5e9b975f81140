// Package maps compares policies for expert maps in virtual time. The popularity
// of experts follows a Zipf distribution and drifts.
//
// In the model, a layer of a step takes as long as its slowest rank, whose time is
// its work divided by its speed; the work of an expert is split evenly over its
// replicas. A step takes a constant time plus the sum over its layers. The expert
// selections of a step are Poisson draws around the popularity.
//
// Policies are compared by the skew of their maps: the time of all layers, relative
// to the time if the work of each layer were perfectly balanced. A fixed map and an
// oracle, which knows the true popularity and changes its map without cost, are the
// limits between which the planner and a timer, which places all experts from scratch
// at an interval, are rated.
package maps

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/expertmap"
)

// Workload holds the true popularity of the experts and the true speeds of the
// ranks, both of which change over time.
type Workload struct {
	rng    *rand.Rand
	size   expertmap.Size
	layers []layerPopularity
	speeds []float64
}

// layerPopularity is the popularity of the experts of one layer. The share of each
// expert approaches its target share gradually.
type layerPopularity struct {
	order        []int // experts, the most popular first
	shares       []float64
	targetShares []float64
}

// driftTimeConstant is the time constant with which a share approaches its target.
const driftTimeConstant = 60 * time.Second

// NewWorkload returns a workload whose shares follow a Zipf distribution.
func NewWorkload(seed uint64, size expertmap.Size, exponent float64) *Workload {
	w := &Workload{rng: rand.New(rand.NewPCG(seed, 1)), size: size, speeds: make([]float64, size.Ranks)}
	for r := range w.speeds {
		w.speeds[r] = 1
	}
	shares := zipfShares(exponent, size.Experts)
	for range size.Layers {
		l := layerPopularity{order: w.rng.Perm(size.Experts), targetShares: shares, shares: make([]float64, size.Experts)}
		for i, e := range l.order {
			l.shares[e] = shares[i]
		}
		w.layers = append(w.layers, l)
	}
	return w
}

// zipfShares returns the n shares of a Zipf distribution, the largest first.
func zipfShares(exponent float64, n int) []float64 {
	shares := make([]float64, n)
	sum := 0.0
	for i := range shares {
		shares[i] = math.Pow(float64(i+1), -exponent)
		sum += shares[i]
	}
	for i := range shares {
		shares[i] /= sum
	}
	return shares
}

// AdvanceDrift advances the drift by the elapsed time. In each layer, two
// neighbours in the order of popularity are swapped once an interval on average.
func (w *Workload) AdvanceDrift(elapsed, interval time.Duration) {
	blend := 1 - math.Exp(-float64(elapsed)/float64(driftTimeConstant))
	for i := range w.layers {
		l := &w.layers[i]
		if interval > 0 && w.rng.Float64() < float64(elapsed)/float64(interval) {
			p := w.rng.IntN(len(l.order) - 1)
			l.order[p], l.order[p+1] = l.order[p+1], l.order[p]
		}
		for position, e := range l.order {
			l.shares[e] += blend * (l.targetShares[position] - l.shares[e])
		}
	}
}

// ShiftPopularity draws a new order of popularity for each layer, which applies at
// once.
func (w *Workload) ShiftPopularity() {
	for i := range w.layers {
		l := &w.layers[i]
		l.order = w.rng.Perm(len(l.order))
		for position, e := range l.order {
			l.shares[e] = l.targetShares[position]
		}
	}
}

// DrawPicks draws how often each expert of a layer is selected; total is the
// expected number of selections in the layer.
func (w *Workload) DrawPicks(layer int, total float64) []float64 {
	picks := make([]float64, w.size.Experts)
	for e, share := range w.layers[layer].shares {
		picks[e] = poisson(w.rng, share*total)
	}
	return picks
}

// minNormalMean is the mean above which a Poisson distribution is approximated by
// a normal distribution.
const minNormalMean = 64

// poisson draws from a Poisson distribution.
func poisson(rng *rand.Rand, mean float64) float64 {
	if mean > minNormalMean {
		return math.Max(0, math.Round(mean+math.Sqrt(mean)*rng.NormFloat64()))
	}
	limit, product, n := math.Exp(-mean), rng.Float64(), 0.0
	for product > limit {
		product *= rng.Float64()
		n++
	}
	return n
}

// skew returns the time of all layers, divided by their time if the work of each
// layer were split in proportion to the speeds of the ranks.
func (w *Workload) skew(m *expertmap.Map, work func(layer int) []float64) float64 {
	totalSpeed := 0.0
	for _, s := range w.speeds {
		totalSpeed += s
	}
	actual, balanced := 0.0, 0.0
	for l, layer := range m.Layers {
		total, slowest := 0.0, 0.0
		for r, load := range layer.Loads(work(l)) {
			total += load
			slowest = max(slowest, load/w.speeds[r])
		}
		actual += slowest
		balanced += total / totalSpeed
	}
	return actual / balanced
}

// ExpectedSkew returns the skew of a map under the true popularity.
func (w *Workload) ExpectedSkew(m *expertmap.Map) float64 {
	return w.skew(m, func(l int) []float64 { return w.layers[l].shares })
}

// SampledSkew returns the skew of a map in a step with the given expert selections.
func (w *Workload) SampledSkew(m *expertmap.Map, picks [][]float64) float64 {
	return w.skew(m, func(l int) []float64 { return picks[l] })
}
