// Package maps measures policies of expert maps in virtual time, on popularity
// that follows a Zipf law and drifts.
//
// The model: a layer of a step takes as long as its slowest rank, whose time is
// its work over its speed; every replica of an expert has the same part of the
// expert's work. A step takes a constant plus the sum over its layers. Picks of
// a step are Poisson draws around the popularity.
package maps

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/expertmap"
)

// Workload is the true popularity and speeds over time.
type Workload struct {
	rng    *rand.Rand
	size   expertmap.Size
	layers []layerPopularity
	speeds []float64
}

// layerPopularity is the popularity of one layer. Each expert's share moves
// towards its target, so that drift is gradual.
type layerPopularity struct {
	places []int // experts by place in the Zipf law
	shares []float64
	target []float64
}

// blendTime is the time constant with which a share moves to its target.
const blendTime = 60 * time.Second

// NewWorkload returns a workload whose shares follow a Zipf law.
func NewWorkload(seed uint64, size expertmap.Size, exponent float64) *Workload {
	w := &Workload{rng: rand.New(rand.NewPCG(seed, 1)), size: size, speeds: make([]float64, size.Ranks)}
	for r := range w.speeds {
		w.speeds[r] = 1
	}
	law := zipf(exponent, size.Experts)
	for range size.Layers {
		l := layerPopularity{places: w.rng.Perm(size.Experts), target: law, shares: make([]float64, size.Experts)}
		for place, e := range l.places {
			l.shares[e] = law[place]
		}
		w.layers = append(w.layers, l)
	}
	return w
}

// zipf returns the shares of a Zipf law by place.
func zipf(exponent float64, n int) []float64 {
	law := make([]float64, n)
	sum := 0.0
	for i := range law {
		law[i] = math.Pow(float64(i+1), -exponent)
		sum += law[i]
	}
	for i := range law {
		law[i] /= sum
	}
	return law
}

// AdvanceDrift moves time on. In each layer, two neighbours in the law change places
// once in every interval on average.
func (w *Workload) AdvanceDrift(elapsed, interval time.Duration) {
	toward := 1 - math.Exp(-float64(elapsed)/float64(blendTime))
	for i := range w.layers {
		l := &w.layers[i]
		if interval > 0 && w.rng.Float64() < float64(elapsed)/float64(interval) {
			p := w.rng.IntN(len(l.places) - 1)
			l.places[p], l.places[p+1] = l.places[p+1], l.places[p]
		}
		for place, e := range l.places {
			l.shares[e] += toward * (l.target[place] - l.shares[e])
		}
	}
}

// ShiftPopularity gives every expert a new place at once.
func (w *Workload) ShiftPopularity() {
	for i := range w.layers {
		l := &w.layers[i]
		l.places = w.rng.Perm(len(l.places))
		for place, e := range l.places {
			l.shares[e] = l.target[place]
		}
	}
}

// DrawPicks draws the picks of a layer for a number of picks in all.
func (w *Workload) DrawPicks(layer int, total float64) []float64 {
	picks := make([]float64, w.size.Experts)
	for e, share := range w.layers[layer].shares {
		picks[e] = poisson(w.rng, share*total)
	}
	return picks
}

// normalAbove is the mean above which a Poisson draw is taken from the normal
// distribution.
const normalAbove = 64

// poisson draws from a Poisson distribution.
func poisson(rng *rand.Rand, mean float64) float64 {
	if mean > normalAbove {
		return math.Max(0, math.Round(mean+math.Sqrt(mean)*rng.NormFloat64()))
	}
	limit, product, n := math.Exp(-mean), rng.Float64(), 0.0
	for product > limit {
		product *= rng.Float64()
		n++
	}
	return n
}

// skew returns the time of all layers over that of a perfect split.
func (w *Workload) skew(m *expertmap.Map, work func(layer int) []float64) float64 {
	capacity := 0.0
	for _, s := range w.speeds {
		capacity += s
	}
	slowest, perfect := 0.0, 0.0
	for l, layer := range m.Layers {
		total, worst := 0.0, 0.0
		for r, load := range layer.Loads(work(l)) {
			total += load
			worst = max(worst, load/w.speeds[r])
		}
		slowest += worst
		perfect += total / capacity
	}
	return slowest / perfect
}

// ExpectedSkew returns the skew of a map under the true popularity.
func (w *Workload) ExpectedSkew(m *expertmap.Map) float64 {
	return w.skew(m, func(l int) []float64 { return w.layers[l].shares })
}

// SampledSkew returns the skew of a map in a step with the given picks.
func (w *Workload) SampledSkew(m *expertmap.Map, picks [][]float64) float64 {
	return w.skew(m, func(l int) []float64 { return picks[l] })
}
