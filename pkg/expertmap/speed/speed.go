// Package speed estimates the speed of each rank of a group from the work it had
// and the time it took, so that a straggler shows. It is pure.
package speed

import (
	"math"
	"slices"
	"time"
)

// Config is the settings of a tracker.
type Config struct {
	// HalfLife is the half-life of work and time.
	HalfLife time.Duration
	// Tolerance is the part by which a rank may differ from the median and still
	// count as healthy.
	Tolerance float64
	// MinSpeed is the lowest speed that is reported.
	MinSpeed float64
}

// DefaultConfig is the settings for engines that report every second or so.
func DefaultConfig() Config {
	return Config{HalfLife: 5 * time.Second, Tolerance: 0.08, MinSpeed: 0.05}
}

// Tracker holds the decayed work and time of each rank.
type Tracker struct {
	cfg  Config
	work []float64
	busy []float64 // seconds
	last time.Time
}

// NewTracker returns a tracker of healthy ranks.
func NewTracker(cfg Config, ranks int) *Tracker {
	return &Tracker{cfg: cfg, work: make([]float64, ranks), busy: make([]float64, ranks)}
}

// Observe adds the work of each rank since the last call and the time it took.
func (t *Tracker) Observe(work []float64, busy []time.Duration, now time.Time) {
	if len(work) != len(t.work) || len(busy) != len(t.work) {
		return
	}
	keep := 1.0
	if !t.last.IsZero() {
		keep = math.Exp2(-float64(now.Sub(t.last)) / float64(t.cfg.HalfLife))
	}
	t.last = now
	for r := range t.work {
		t.work[r] = t.work[r]*keep + work[r]
		t.busy[r] = t.busy[r]*keep + busy[r].Seconds()
	}
}

// Reset drops what is known of a rank, for example after its restart.
func (t *Tracker) Reset(rank int) {
	t.work[rank] = 0
	t.busy[rank] = 0
}

// Speeds returns the speed of each rank over the median. Ranks near the median,
// or without work, count as 1.
func (t *Tracker) Speeds() []float64 {
	speeds := make([]float64, len(t.work))
	var known []float64
	for r := range speeds {
		if t.busy[r] > 0 && t.work[r] > 0 {
			speeds[r] = t.work[r] / t.busy[r]
			known = append(known, speeds[r])
		}
	}
	if len(known) == 0 {
		known = []float64{1}
	}
	slices.Sort(known)
	median := known[len(known)/2]
	for r := range speeds {
		speeds[r] /= median
		if speeds[r] == 0 || math.Abs(speeds[r]-1) < t.cfg.Tolerance {
			speeds[r] = 1
		}
		speeds[r] = max(speeds[r], t.cfg.MinSpeed)
	}
	return speeds
}
