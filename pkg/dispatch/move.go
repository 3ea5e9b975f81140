package dispatch

import (
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/table"
)

// slowPasses is how many passes in a row must exceed the pause bound before running
// streams are moved: a switch of the expert map lengthens a single one.
const slowPasses = 2

// RequestsToMove returns the requests that should go on at another upstream. Each is named once.
//
// All ranks of a group make a pass together, and a rank without requests adds nothing of
// its own to it. While passes exceed the pause that routes allow, every stream of the
// group is late for the few at a rank that is known to be slow, so those go on elsewhere.
func (d *Dispatcher) RequestsToMove(now time.Time) []string {
	var ids []string
	for id, a := range d.sent {
		c := a.candidate
		if a.moved || c.Group.Name == "" || !a.service.slowed() || !c.slow(now) || !a.service.anySound(now) {
			continue
		}
		a.moved = true
		ids = append(ids, id)
	}
	return ids
}

// slowed reports whether passes exceed the pause bound.
func (s *service) slowed() bool { return s.pulse.over >= slowPasses }

// anySound reports whether some upstream takes requests and is not slow.
func (s *service) anySound(now time.Time) bool {
	for _, c := range s.candidates {
		if c.usable() && !c.slow(now) {
			return true
		}
	}
	return false
}

// pauseBounds returns the shortest pause between two events that is on time, by service,
// of the routes that name one.
func pauseBounds(routes []table.Route) map[string]time.Duration {
	out := make(map[string]time.Duration)
	for i := range routes {
		bound := routes[i].PauseObjective
		if bound <= 0 {
			continue
		}
		for _, b := range routes[i].Backends {
			if known, ok := out[b.Service]; !ok || bound < known {
				out[b.Service] = bound
			}
		}
	}
	return out
}
