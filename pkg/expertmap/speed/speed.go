// Package speed estimates the speed of each rank of a group from its work and the time
// that the work took, to detect stragglers. The package does no I/O and reads no clock.
package speed

import (
	"math"
	"slices"
	"time"
)

// Config configures a tracker.
type Config struct {
	// HalfLife is the half-life of the decayed work and time.
	HalfLife time.Duration
	// Tolerance is the relative difference from the median below which a rank counts as
	// healthy.
	Tolerance float64
	// MinSpeed is the minimum speed that is reported.
	MinSpeed float64
}

// DefaultConfig returns the settings for engines that report about once a second.
func DefaultConfig() Config {
	return Config{HalfLife: 5 * time.Second, Tolerance: 0.08, MinSpeed: 0.05}
}

// Tracker estimates speeds from the decayed work and time of each rank.
type Tracker struct {
	cfg          Config
	work         []float64
	busy         []float64 // seconds
	lastObserved time.Time
}

// NewTracker returns a tracker without observations, in which all ranks count as healthy.
func NewTracker(cfg Config, ranks int) *Tracker {
	return &Tracker{cfg: cfg, work: make([]float64, ranks), busy: make([]float64, ranks)}
}

// Observe adds the work of each rank since the last call and the time that it took.
func (t *Tracker) Observe(work []float64, busy []time.Duration, now time.Time) {
	if len(work) != len(t.work) || len(busy) != len(t.work) {
		return
	}
	decay := 1.0
	if !t.lastObserved.IsZero() {
		decay = math.Exp2(-float64(now.Sub(t.lastObserved)) / float64(t.cfg.HalfLife))
	}
	t.lastObserved = now
	for r := range t.work {
		t.work[r] = t.work[r]*decay + work[r]
		t.busy[r] = t.busy[r]*decay + busy[r].Seconds()
	}
}

// Reset discards the observations of a rank, for example after its restart.
func (t *Tracker) Reset(rank int) {
	t.work[rank] = 0
	t.busy[rank] = 0
}

// Speeds returns the speed of each rank relative to the median. Ranks within Tolerance of
// the median and ranks without work count as 1.
func (t *Tracker) Speeds() []float64 {
	speeds := make([]float64, len(t.work))
	var measured []float64
	for r := range speeds {
		if t.busy[r] > 0 && t.work[r] > 0 {
			speeds[r] = t.work[r] / t.busy[r]
			measured = append(measured, speeds[r])
		}
	}
	if len(measured) == 0 {
		measured = []float64{1}
	}
	slices.Sort(measured)
	median := measured[len(measured)/2]
	for r := range speeds {
		speeds[r] /= median
		if speeds[r] == 0 || math.Abs(speeds[r]-1) < t.cfg.Tolerance {
			speeds[r] = 1
		}
		speeds[r] = max(speeds[r], t.cfg.MinSpeed)
	}
	return speeds
}
