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

// Signs that are taken from the steps that the agent itself times.
const (
	// stepsToGrow is how many healthy steps in a row an increase needs.
	stepsToGrow = 8
	// stepsToFall is how many slow steps in a row make the limit fall.
	stepsToFall = 3
	// coldRatio is how much longer than a healthy step a cold one takes at least.
	coldRatio = 1.5
)

// Limiter holds the limit of one upstream.
type Limiter struct {
	cfg         Config
	limit       int
	incarnation string
	lastGrowth  time.Time
	// healthy and slow count own steps in a row; timed is true once there was one.
	healthy int
	slow    int
	timed   bool
	stepAt  time.Time
}

// New returns a limiter at the lowest limit.
func New(cfg Config) *Limiter {
	return &Limiter{cfg: cfg, limit: cfg.Min}
}

// Limit returns how many requests may run at once.
func (l *Limiter) Limit() int { return l.limit }

// ObserveStep takes the time of one step as the agent saw it on an answer. Unlike the
// upstream's own report it doesn't lag. All answers of a batch show the same step;
// only the first counts.
func (l *Limiter) ObserveStep(took time.Duration, now time.Time) {
	if now.Sub(l.stepAt) < took/2 {
		return
	}
	l.timed, l.stepAt = true, now
	if took <= l.cfg.HealthyStep {
		l.healthy++
		l.slow = 0
		return
	}
	l.healthy = 0
	l.slow++
	if l.slow < stepsToFall {
		return
	}
	if float64(took) > coldRatio*float64(l.cfg.HealthyStep) {
		l.reset(now)
		return
	}
	l.halve(now)
}

// ObserveBrokenCall records that a call of the upstream broke off, so that it may have
// restarted.
func (l *Limiter) ObserveBrokenCall(now time.Time) { l.reset(now) }

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
	if s.Step > l.cfg.HealthyStep && !l.timed {
		l.halve(now)
		return
	}
	if s.Running >= l.limit && l.mayGrow(now) {
		l.limit = min(l.cfg.Max, l.limit+max(1, l.limit/2))
		l.lastGrowth = now
		l.healthy = 0
	}
}

// mayGrow reports whether enough healthy steps and time have passed.
func (l *Limiter) mayGrow(now time.Time) bool {
	if now.Sub(l.lastGrowth) < l.cfg.GrowEvery {
		return false
	}
	return !l.timed || l.healthy >= stepsToGrow
}

func (l *Limiter) halve(now time.Time) {
	l.limit = max(l.cfg.Min, l.limit/2)
	l.lastGrowth, l.slow = now, 0
}

func (l *Limiter) reset(now time.Time) {
	l.limit = l.cfg.Min
	l.lastGrowth, l.healthy, l.slow = now, 0, 0
}
