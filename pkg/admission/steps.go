package admission

import "time"

// ObserveStep takes the time of one step of the upstream, as the agent saw it on an
// answer.
func (g *Gate) ObserveStep(took time.Duration, now time.Time) { g.limiter.ObserveStep(took, now) }

// ObserveBrokenCall records that a call of the upstream broke off.
func (g *Gate) ObserveBrokenCall(now time.Time) { g.limiter.ObserveBrokenCall(now) }
