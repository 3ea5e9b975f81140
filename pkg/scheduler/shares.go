package scheduler

import (
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/api"
)

// ShareRequest returns what this entry asks an agent about attained service.
func (s *Scheduler) ShareRequest(entry, upstream string) *api.ShareRequest {
	q := &api.ShareRequest{Entry: entry}
	if svc, ok := s.upstream[upstream]; ok {
		q.Incarnation, q.Seen = svc.shares.Cursor(upstream)
	}
	return q
}

// mergeShares takes the attained service that an agent's report tells.
func (svc *service) mergeShares(r *api.Report, now time.Time) {
	for _, c := range svc.shares.Merge(r, now) {
		svc.queue.Charge(c.Organisation, c.Weight, c.Cost, now)
	}
}
