// Package warmup limits how many requests an upstream may run at once. The
// limit starts low, grows while the upstream's step times stay healthy, and
// falls at once on signs that the upstream is cold. It is pure.
package warmup

import "time"

// Config is the settings of a limiter.
type Config struct {
	// Min is the limit of a cold upstream in requests. Default 1.
	Min int
	// Max is the limit of a warm upstream in requests. Default 32.
	Max int
	// HealthyStep is the longest step time of a healthy upstream. Default 27 ms.
	HealthyStep time.Duration
	// GrowEvery is the shortest time between two increases. Default 200 ms.
	GrowEvery time.Duration
}

// Sample is one observation of the upstream.
type Sample struct {
	// Incarnation changes when the upstream restarts. Empty means unknown.
	Incarnation string
	// Step is the time of the latest steps, 0 when nothing ran.
	Step time.Duration
	// Cold is true when the upstream itself reports that it is cold.
	Cold bool
	// Running is how many requests ran when the sample was taken.
	Running int
}

// Limiter holds the limit of one upstream.
type Limiter struct {
	cfg         Config
	limit       int
	incarnation string
	lastGrowth  time.Time
}

// New returns a limiter at the lowest limit.
func New(cfg Config) *Limiter {
	return &Limiter{cfg: cfg, limit: cfg.Min}
}

// Limit returns how many requests may run at once.
func (l *Limiter) Limit() int { return l.limit }

// Observe adapts the limit to a sample.
func (l *Limiter) Observe(s Sample, now time.Time) {
	if s.Incarnation != "" && s.Incarnation != l.incarnation {
		l.incarnation = s.Incarnation
		l.reset(now)
		return
	}
	if s.Cold {
		l.reset(now)
		return
	}
	if s.Step > l.cfg.HealthyStep {
		l.limit = max(l.cfg.Min, l.limit/2)
		l.lastGrowth = now
		return
	}
	if s.Running >= l.limit && now.Sub(l.lastGrowth) >= l.cfg.GrowEvery {
		l.limit = min(l.cfg.Max, l.limit+max(1, l.limit/2))
		l.lastGrowth = now
	}
}

func (l *Limiter) reset(now time.Time) {
	l.limit = l.cfg.Min
	l.lastGrowth = now
}
