package scheduler

import (
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/fairqueue"
	"github.com/acaciaglade/acaciaglade/pkg/problem"
)

// lacksUpstream reports whether a service has had no usable upstream for
// Config.NoUpstreamAfter, so that its requests are refused. An upstream that is full
// is usable.
func (s *Scheduler) lacksUpstream(svc *service, now time.Time) bool {
	if svc.lastUsableAt.IsZero() || s.policy.HasUsable(svc.candidates, now) {
		svc.lastUsableAt = now
	}
	return s.cfg.NoUpstreamAfter > 0 && now.Sub(svc.lastUsableAt) >= s.cfg.NoUpstreamAfter
}

// refusals returns decisions that refuse requests which were removed from the queue.
func refusals(items []*fairqueue.Item, reason problem.Reason) []Decision {
	decisions := make([]Decision, len(items))
	for i, it := range items {
		decisions[i] = Decision{ID: it.ID, Refusal: problem.New(reason, "")}
	}
	return decisions
}
