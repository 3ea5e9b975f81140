package dispatch

import (
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/table"
)

// minLongPasses is how many passes in a row must exceed the pause limit before running
// streams are moved: a switch of the expert map lengthens only a single pass.
const minLongPasses = 2

// RequestsToMove returns the requests that should continue at another upstream: those at
// unresponsive ranks, and those at slow ranks that delay their group. Each request is
// returned only once.
func (d *Dispatcher) RequestsToMove(now time.Time) []string {
	d.detectUnresponsive(now)
	var ids []string
	for id, a := range d.attempts {
		if a.moved || !(a.isAtUnresponsive() && a.service.hasResponsive(now)) && !a.delaysGroup(now) {
			continue
		}
		a.moved = true
		ids = append(ids, id)
	}
	return ids
}

// delaysGroup reports whether an attempt should leave its slow rank. All ranks of a group
// run a pass together, and a rank without requests doesn't lengthen it. While passes exceed
// the pause that routes allow, the few streams at a slow rank delay every stream of the group.
func (a *attempt) delaysGroup(now time.Time) bool {
	c := a.candidate
	return c.Group.Name != "" && a.service.hasLongPasses() && c.isSlow(now) && a.service.hasHealthy(now)
}

// hasLongPasses reports whether the latest passes exceeded the pause limit.
func (s *service) hasLongPasses() bool { return s.passes.longPasses >= minLongPasses }

// hasHealthy reports whether any upstream accepts requests now and is not slow.
func (s *service) hasHealthy(now time.Time) bool {
	for _, c := range s.candidates {
		if c.isUsable() && !c.unresponsive && !c.isSlow(now) && !c.isPaused(now) {
			return true
		}
	}
	return false
}

// pauseLimits returns, by service, the shortest pause objective of the routes that lead
// to it. Services without a pause objective are left out.
func pauseLimits(routes []table.Route) map[string]time.Duration {
	out := make(map[string]time.Duration)
	for i := range routes {
		limit := routes[i].PauseObjective
		if limit <= 0 {
			continue
		}
		for _, b := range routes[i].Backends {
			if known, ok := out[b.Service]; !ok || limit < known {
				out[b.Service] = limit
			}
		}
	}
	return out
}
