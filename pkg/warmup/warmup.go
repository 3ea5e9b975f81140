// Package warmup limits how many requests an upstream may run at once, by an adaptive
// concurrency limit. A step is one iteration of an engine over its running batch. A cold
// upstream, for instance one that has just started, has longer steps than a warm one
// and sustains fewer requests.
//
// The limit starts at its minimum. It grows by half while it is fully used and the steps
// are healthy, and is halved after slow steps. It falls to the minimum on a sign that
// the upstream is cold: very slow steps, a report of the upstream, a restart or a broken
// call. The package does no I/O and reads no clock: callers pass the time.
package warmup

import "time"

// Config is the settings of a limiter.
type Config struct {
	// Min is the lowest limit, that of a cold upstream, in requests. Default 1.
	Min int
	// Max is the highest limit, that of a warm upstream, in requests. Default 32.
	Max int
	// HealthyStep is the longest healthy step time. Default 27 ms.
	HealthyStep time.Duration
	// MinGrowInterval is the shortest time between two increases. Default 200 ms.
	MinGrowInterval time.Duration
}

// Sample is one sample of the upstream's load.
type Sample struct {
	// Incarnation changes when the upstream restarts. Empty means unknown.
	Incarnation string
	// Step is the time of the latest steps as the upstream reports it, 0 if no request
	// ran.
	Step time.Duration
	// Cold is true if the upstream reports that it is cold.
	Cold bool
	// Running is how much of the limit was in use, or reserved for other requests, when
	// the sample was taken. The limit grows only if it was all of it.
	Running int
}

// Thresholds for the step times that the agent measures.
const (
	// minHealthySteps is how many consecutive healthy steps an increase requires.
	minHealthySteps = 8
	// minSlowSteps is how many consecutive slow steps lower the limit.
	minSlowSteps = 3
	// coldRatio is the ratio of a step time to HealthyStep above which the upstream
	// counts as cold.
	coldRatio = 1.5
)

// Limiter adapts the limit of one upstream.
type Limiter struct {
	cfg         Config
	limit       int
	incarnation string
	lastChange  time.Time
	// healthySteps and slowSteps count consecutive steps that the agent measured.
	// hasOwnSteps is true once the agent has measured one.
	healthySteps int
	slowSteps    int
	hasOwnSteps  bool
	lastStepAt   time.Time
}

// New returns a limiter at the lowest limit.
func New(cfg Config) *Limiter {
	return &Limiter{cfg: cfg, limit: cfg.Min}
}

// Limit returns how many requests may run at once.
func (l *Limiter) Limit() int { return l.limit }

// ObserveStep records the time of one step, as the agent measured it on a response.
// Unlike the upstream's own report it does not lag. All responses of a batch show the
// same step; only the first of them counts.
func (l *Limiter) ObserveStep(took time.Duration, now time.Time) {
	if now.Sub(l.lastStepAt) < took/2 {
		return
	}
	l.hasOwnSteps, l.lastStepAt = true, now
	if took <= l.cfg.HealthyStep {
		l.healthySteps++
		l.slowSteps = 0
		return
	}
	l.healthySteps = 0
	l.slowSteps++
	if l.slowSteps < minSlowSteps {
		return
	}
	if float64(took) > coldRatio*float64(l.cfg.HealthyStep) {
		l.reset(now)
		return
	}
	l.halve(now)
}

// ObserveBrokenCall resets the limit after a call that ended without a complete
// response, as the upstream may have restarted.
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
	if s.Step > l.cfg.HealthyStep && !l.hasOwnSteps {
		l.halve(now)
		return
	}
	if s.Running >= l.limit && l.mayGrow(now) {
		l.limit = min(l.cfg.Max, l.limit+max(1, l.limit/2))
		l.lastChange = now
		l.healthySteps = 0
	}
}

// mayGrow reports whether enough time and healthy steps have passed for an increase.
func (l *Limiter) mayGrow(now time.Time) bool {
	if now.Sub(l.lastChange) < l.cfg.MinGrowInterval {
		return false
	}
	return !l.hasOwnSteps || l.healthySteps >= minHealthySteps
}

func (l *Limiter) halve(now time.Time) {
	l.limit = max(l.cfg.Min, l.limit/2)
	l.lastChange, l.slowSteps = now, 0
}

func (l *Limiter) reset(now time.Time) {
	l.limit = l.cfg.Min
	l.lastChange, l.healthySteps, l.slowSteps = now, 0, 0
}
