package lockstep

import (
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/expertmap"
)

// Parameters of the estimate of popularity.
const (
	// halfLife is the half-life of counts while popularity does not shift.
	halfLife = 600 * time.Millisecond
	// shiftDistance is the total variation distance between the latest and the previous
	// expert selections of a layer above which the previous ones are discarded.
	shiftDistance = 0.12
	// minPicks is how many expert selections of a layer are needed to detect a shift or
	// to plan.
	minPicks = 2000
)

// popularity estimates each expert's share of its layer's expert selections. Unlike
// package expertmap/popularity, it has a single, short half-life and discards earlier
// selections after a shift, since popularity changes within seconds.
type popularity struct {
	size       expertmap.Size
	counts     [][]float64
	observedAt time.Time
	shifts     int
}

func newPopularity(size expertmap.Size) *popularity {
	p := &popularity{size: size, counts: make([][]float64, size.Layers)}
	for l := range p.counts {
		p.counts[l] = make([]float64, size.Experts)
	}
	return p
}

// observe adds expert selections, by layer and expert. Earlier ones decay, or are
// discarded if the popularity of the layer has shifted.
func (p *popularity) observe(picks [][]float64, now time.Time) {
	weight := 1.0
	if !p.observedAt.IsZero() {
		weight = decay(now.Sub(p.observedAt), halfLife)
	}
	p.observedAt = now
	for l := range p.counts {
		layerWeight := weight
		if distance(p.counts[l], picks[l]) > shiftDistance && sum(picks[l]) >= minPicks {
			layerWeight = 0
			p.shifts++
		}
		for e := range p.counts[l] {
			p.counts[l][e] = p.counts[l][e]*layerWeight + picks[l][e]
		}
	}
}

// hasEnoughPicks reports whether every layer has enough expert selections to plan.
func (p *popularity) hasEnoughPicks() bool {
	for l := range p.counts {
		if sum(p.counts[l]) < minPicks {
			return false
		}
	}
	return true
}

// shares returns each expert's share of its layer's expert selections.
func (p *popularity) shares() [][]float64 {
	out := make([][]float64, len(p.counts))
	for l, counts := range p.counts {
		out[l] = make([]float64, len(counts))
		total := max(1, sum(counts))
		for e, n := range counts {
			out[l][e] = n / total
		}
	}
	return out
}
