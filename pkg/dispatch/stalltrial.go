package dispatch

import "time"

// stallTrialInterval is the time between two trials at a service that appears to be stalled.
const stallTrialInterval = 500 * time.Millisecond

// sendStallTrial sends a second attempt although the service appears to be stalled, one at a
// time. If all streams of an entry are silent, either their group stands still or their
// connections have failed. Only a request on a new connection tells: its first part ends the
// stall. A group that says that it is stopped is believed.
func (d *Dispatcher) sendStallTrial(s *service, r *Request, now time.Time) (Decision, bool) {
	if !r.Hedge || !s.passes.isSilent(now) || s.passes.isStopped(now) || now.Before(s.nextStallTrial) {
		return Decision{}, false
	}
	if p := d.statementRefusal(s, r, now); p != nil {
		return Decision{}, false
	}
	if p := d.limitRefusal(s, r, now); p != nil {
		return Decision{}, false
	}
	chosen := d.selectUpstream(s, r, d.fullGroups(s, now), now)
	if chosen == nil {
		return Decision{}, false
	}
	s.nextStallTrial = now.Add(stallTrialInterval)
	s.queues.charge(r.Organisation, r.Weight, r.Cost, now)
	return d.assign(s, r.ID, chosen, now), true
}
