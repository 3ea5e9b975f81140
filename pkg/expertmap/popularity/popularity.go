// Package popularity estimates which part of each layer's work goes to each expert. It
// counts how often the router selects each expert (picks), decayed over several
// half-lives. For each layer it uses the longest half-life that no shorter one
// contradicts: long half-lives have little sampling noise, short ones follow drift. The
// package does no I/O and reads no clock.
package popularity

import (
	"math"
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/expertmap"
)

// Config configures a tracker.
type Config struct {
	// HalfLives are the half-lives of the counts in ascending order.
	HalfLives []time.Duration
	// DriftDeviations is the number of standard deviations from which on the counts of
	// a shorter half-life contradict those of a longer one.
	DriftDeviations float64
}

// DefaultConfig returns the settings for engines that report about once a second.
func DefaultConfig() Config {
	return Config{
		HalfLives:       []time.Duration{5 * time.Second, 20 * time.Second, 80 * time.Second, 320 * time.Second},
		DriftDeviations: 4,
	}
}

// Estimate is the estimated popularity of the experts of one layer.
type Estimate struct {
	// Shares holds the fraction of the layer's work for each expert. They add up to 1.
	Shares []float64
	// EffectivePicks is the number of independent selections with the same sampling
	// noise as the estimate, 0 without selections.
	EffectivePicks float64
}

// Tracker estimates popularity from decayed counts of expert selections.
type Tracker struct {
	cfg          Config
	layers       [][]counts // by layer, by half-life
	lastObserved time.Time
}

// counts holds the decayed counts of one layer for one half-life.
type counts struct {
	weighted []float64 // sum of weight x selections, by expert
	total    float64   // sum of weighted over all experts
	variance float64   // sum of squared weight x selections
}

// NewTracker returns a tracker with empty counts.
func NewTracker(cfg Config, size expertmap.Size) *Tracker {
	t := &Tracker{cfg: cfg, layers: make([][]counts, size.Layers)}
	for l := range t.layers {
		t.layers[l] = make([]counts, len(cfg.HalfLives))
		for s := range t.layers[l] {
			t.layers[l][s].weighted = make([]float64, size.Experts)
		}
	}
	return t
}

// Observe adds the selections of each expert in each layer since the last call. Counts
// whose dimensions differ from the tracker's size are ignored.
func (t *Tracker) Observe(picks [][]float64, now time.Time) {
	if len(picks) != len(t.layers) {
		return
	}
	elapsed := now.Sub(t.lastObserved)
	if t.lastObserved.IsZero() || elapsed < 0 {
		elapsed = 0
	}
	t.lastObserved = now
	for s, halfLife := range t.cfg.HalfLives {
		decay := math.Exp2(-float64(elapsed) / float64(halfLife))
		for l := range t.layers {
			t.layers[l][s].add(picks[l], decay)
		}
	}
}

func (c *counts) add(picks []float64, decay float64) {
	if len(picks) != len(c.weighted) {
		return
	}
	c.total *= decay
	c.variance *= decay * decay
	for e, n := range picks {
		c.weighted[e] = c.weighted[e]*decay + n
		c.total += n
		c.variance += n
	}
}

// Estimate returns the estimate of one layer. Without any selections the shares are equal
// and EffectivePicks is 0.
func (t *Tracker) Estimate(layer int) Estimate {
	byHalfLife := t.layers[layer]
	chosen := &byHalfLife[0]
	for s := 1; s < len(byHalfLife); s++ {
		if t.isContradicted(byHalfLife[:s], &byHalfLife[s]) {
			break
		}
		chosen = &byHalfLife[s]
	}
	return chosen.estimate()
}

// isContradicted reports whether any of the shorter half-lives differs from a longer one
// by more than sampling noise.
func (t *Tracker) isContradicted(shorter []counts, long *counts) bool {
	for i := range shorter {
		if shorter[i].differs(long, t.cfg.DriftDeviations) {
			return true
		}
	}
	return false
}

// minExpected is the minimum number of expected selections for an expert to be included
// in the test.
const minExpected = 5

// differs tests the counts against those of a longer half-life with a chi-squared test. A
// sum of normalised squared deviations over k experts has mean k and variance 2k. The
// dispersion, which is below 1 for decayed counts, normalises their variance.
func (c *counts) differs(long *counts, deviations float64) bool {
	if c.total == 0 || long.total == 0 {
		return false
	}
	dispersion := c.variance / c.total
	sum, tested := 0.0, 0.0
	for e, observed := range c.weighted {
		expected := c.total * long.weighted[e] / long.total
		if expected < minExpected*dispersion {
			continue
		}
		sum += (observed - expected) * (observed - expected) / (expected * dispersion)
		tested++
	}
	return sum > tested+deviations*math.Sqrt(2*tested)
}

func (c *counts) estimate() Estimate {
	e := Estimate{Shares: make([]float64, len(c.weighted))}
	if c.total == 0 {
		for i := range e.Shares {
			e.Shares[i] = 1 / float64(len(e.Shares))
		}
		return e
	}
	e.EffectivePicks = c.total * c.total / c.variance
	for i, w := range c.weighted {
		e.Shares[i] = w / c.total
	}
	return e
}
