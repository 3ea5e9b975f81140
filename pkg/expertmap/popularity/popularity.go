// Package popularity estimates how much of each layer's work goes to each
// expert. It keeps decayed counts over several half-lives and uses, for each
// layer, the longest one that the shorter ones do not contradict: long ones
// carry little sampling noise, short ones follow drift. It is pure.
package popularity

import (
	"math"
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/expertmap"
)

// Config is the settings of a tracker.
type Config struct {
	// HalfLives are the half-lives of the counts, the shortest first.
	HalfLives []time.Duration
	// DriftDeviations is how many standard deviations a shorter half-life must lie
	// from a longer one to contradict it.
	DriftDeviations float64
}

// DefaultConfig is the settings for engines that report every second or so.
func DefaultConfig() Config {
	return Config{
		HalfLives:       []time.Duration{5 * time.Second, 20 * time.Second, 80 * time.Second, 320 * time.Second},
		DriftDeviations: 4,
	}
}

// Estimate is the estimated popularity of the experts of one layer.
type Estimate struct {
	// Shares is each expert's part of the layer's work. They add up to 1.
	Shares []float64
	// EffectivePicks is how many independent picks the estimate is worth.
	EffectivePicks float64
}

// Tracker holds the decayed counts of a model.
type Tracker struct {
	cfg    Config
	layers [][]counts // by layer, by half-life
	last   time.Time
}

// counts is the decayed counts of one layer over one half-life.
type counts struct {
	weighted []float64 // sum of weight x picks, by expert
	total    float64   // the same over all experts
	variance float64   // sum of squared weight x picks
}

// NewTracker returns a tracker without any count.
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

// Observe adds the picks of each layer and expert since the last call. Reports
// of another size are dropped.
func (t *Tracker) Observe(picks [][]float64, now time.Time) {
	if len(picks) != len(t.layers) {
		return
	}
	elapsed := now.Sub(t.last)
	if t.last.IsZero() || elapsed < 0 {
		elapsed = 0
	}
	t.last = now
	for s, halfLife := range t.cfg.HalfLives {
		keep := math.Exp2(-float64(elapsed) / float64(halfLife))
		for l := range t.layers {
			t.layers[l][s].add(picks[l], keep)
		}
	}
}

func (c *counts) add(picks []float64, keep float64) {
	if len(picks) != len(c.weighted) {
		return
	}
	c.total *= keep
	c.variance *= keep * keep
	for e, n := range picks {
		c.weighted[e] = c.weighted[e]*keep + n
		c.total += n
		c.variance += n
	}
}

// Estimate returns the estimate of one layer. A layer without picks is estimated
// as even, worth 0 picks.
func (t *Tracker) Estimate(layer int) Estimate {
	scales := t.layers[layer]
	chosen := &scales[0]
	for s := 1; s < len(scales); s++ {
		if t.contradicted(scales[:s], &scales[s]) {
			break
		}
		chosen = &scales[s]
	}
	return chosen.estimate()
}

// contradicted reports whether any shorter half-life differs from a longer one
// by more than sampling noise.
func (t *Tracker) contradicted(shorter []counts, long *counts) bool {
	for i := range shorter {
		if shorter[i].differs(long, t.cfg.DriftDeviations) {
			return true
		}
	}
	return false
}

// minExpected is the least expected picks of an expert to be tested.
const minExpected = 5

// differs is a chi-squared test of the shorter counts against the longer ones.
// A sum of squared deviations over k experts has mean k and variance 2k.
func (c *counts) differs(long *counts, deviation float64) bool {
	if c.total == 0 || long.total == 0 {
		return false
	}
	spread := c.variance / c.total
	sum, tested := 0.0, 0.0
	for e, have := range c.weighted {
		expected := c.total * long.weighted[e] / long.total
		if expected < minExpected*spread {
			continue
		}
		sum += (have - expected) * (have - expected) / (expected * spread)
		tested++
	}
	return sum > tested+deviation*math.Sqrt(2*tested)
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
