package shutdown

import (
	"slices"
	"time"
)

// Limits of the memory for durations.
const (
	// maxSamples is the number of durations that are kept of a route.
	maxSamples = 128
	// minSamples is the number of durations that an estimate needs.
	minSamples = 5
	// sampleTime is how long a duration counts.
	sampleTime = 30 * time.Second
	// usualShare is the share of the responses that take no longer than Estimate.Usual.
	usualShare = 0.95
)

// Estimate is how long responses of a route took lately.
type Estimate struct {
	// Usual is the time that nearly all of them took at most, Longest that of the slowest.
	Usual, Longest time.Duration
}

type sample struct {
	at   time.Time
	took time.Duration
}

// durations holds how long the latest responses of a route took. It is not safe for concurrent
// use.
type durations struct {
	samples []sample
	// next is the index of the oldest sample once there are maxSamples.
	next int
}

// add records a response that ended at a time.
func (d *durations) add(took time.Duration, at time.Time) {
	s := sample{at: at, took: took}
	if len(d.samples) < maxSamples {
		d.samples = append(d.samples, s)
		return
	}
	d.samples[d.next] = s
	d.next = (d.next + 1) % maxSamples
}

// estimate returns how long responses took lately. It returns false if too few are known.
func (d *durations) estimate(now time.Time) (Estimate, bool) {
	recent := make([]time.Duration, 0, len(d.samples))
	for _, s := range d.samples {
		if now.Sub(s.at) <= sampleTime {
			recent = append(recent, s.took)
		}
	}
	if len(recent) < minSamples {
		return Estimate{}, false
	}
	slices.Sort(recent)
	return Estimate{Usual: recent[int(usualShare*float64(len(recent)-1))], Longest: recent[len(recent)-1]}, true
}
