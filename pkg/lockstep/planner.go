package lockstep

import (
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/expertmap"
)

// Weights of the popularity of experts.
const (
	// halfLife is the half-life of counts while popularity stands still.
	halfLife = 600 * time.Millisecond
	// shiftDistance is the distance between the latest shares and those before, as
	// a part of all picks, from which on the popularity counts as another one.
	shiftDistance = 0.12
	// leastPicks is how many picks of a layer make a look.
	leastPicks = 2000
)

// popularity follows what each expert gets of each layer's picks.
type popularity struct {
	size   expertmap.Size
	counts [][]float64
	at     time.Time
	shifts int
}

func newPopularity(size expertmap.Size) *popularity {
	p := &popularity{size: size, counts: make([][]float64, size.Layers)}
	for l := range p.counts {
		p.counts[l] = make([]float64, size.Experts)
	}
	return p
}

// observe adds picks, by layer and expert.
func (p *popularity) observe(picks [][]float64, now time.Time) {
	keep := 1.0
	if !p.at.IsZero() {
		keep = decay(now.Sub(p.at), halfLife)
	}
	p.at = now
	for l := range p.counts {
		k := keep
		if distance(p.counts[l], picks[l]) > shiftDistance && sum(picks[l]) >= leastPicks {
			k = 0
			p.shifts++
		}
		for e := range p.counts[l] {
			p.counts[l][e] = p.counts[l][e]*k + picks[l][e]
		}
	}
}

// ready reports whether every layer has enough picks.
func (p *popularity) ready() bool {
	for l := range p.counts {
		if sum(p.counts[l]) < leastPicks {
			return false
		}
	}
	return true
}

// shares returns each expert's part of its layer's picks.
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
