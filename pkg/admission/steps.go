package admission

import "time"

// Step takes the time of one step of the upstream, as the agent saw it on an
// answer.
func (g *Gate) Step(took time.Duration, now time.Time) { g.limiter.Step(took, now) }

// Broken records that a call of the upstream broke off.
func (g *Gate) Broken(now time.Time) { g.limiter.Broken(now) }
