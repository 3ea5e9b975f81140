package scheduler

import (
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/api"
)

// ShareRequest returns a request for the attained service at an upstream that this
// entry has not received yet.
func (s *Scheduler) ShareRequest(entry, upstream string) *api.ShareRequest {
	q := &api.ShareRequest{Entry: entry}
	if svc, ok := s.serviceByUpstream[upstream]; ok {
		q.Incarnation, q.Cursor = svc.shares.Cursor(upstream)
	}
	return q
}

// mergeShares charges the queue with the attained service in an agent's report.
func (svc *service) mergeShares(r *api.Report, now time.Time) {
	for _, c := range svc.shares.Merge(r, now) {
		svc.queue.Charge(c.Organisation, c.Weight, c.Cost, now)
	}
}
