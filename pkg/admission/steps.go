package admission

import "time"

// ObserveStep records the time of one step of the upstream, as the agent measured it
// on a response.
func (g *Gate) ObserveStep(took time.Duration, now time.Time) { g.limiter.ObserveStep(took, now) }

// ObserveBrokenCall records that a call of the upstream ended without a complete
// response.
func (g *Gate) ObserveBrokenCall(now time.Time) { g.limiter.ObserveBrokenCall(now) }
