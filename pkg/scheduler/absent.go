package scheduler

import (
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/fairqueue"
	"github.com/acaciaglade/acaciaglade/pkg/problem"
)

// absent reports whether no upstream of a service has taken work for so long
// that its requests are refused.
func (s *Scheduler) absent(svc *service, now time.Time) bool {
	if svc.servingAt.IsZero() || s.policy.HasServing(svc.candidates, now) {
		svc.servingAt = now
	}
	return s.cfg.NoUpstreamAfter > 0 && now.Sub(svc.servingAt) >= s.cfg.NoUpstreamAfter
}

// refuseAll returns the refusals of requests that were taken out of the queue.
func refuseAll(items []*fairqueue.Item, reason problem.Reason) []Decision {
	grants := make([]Decision, len(items))
	for i, it := range items {
		grants[i] = Decision{ID: it.ID, Refusal: problem.New(reason, "")}
	}
	return grants
}
