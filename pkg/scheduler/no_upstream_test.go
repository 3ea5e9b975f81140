package scheduler

import (
	"testing"
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/api"
	"github.com/acaciaglade/acaciaglade/pkg/problem"
)

// TestServiceWithoutUpstreamIsRefused checks that a request whose service has no
// upstream is refused after a short wait instead of at its deadline, and that later
// requests are refused at once until an upstream reports.
func TestServiceWithoutUpstreamIsRefused(t *testing.T) {
	const after = 2 * time.Second
	now := time.Unix(1000, 0)
	s := newTestScheduler(Config{MaxWaiting: 8, NoUpstreamAfter: after})
	request := func(id string) Request {
		return Request{ID: id, Service: "m", Organisation: "o", Weight: 1, Cost: 1, Deadline: now.Add(time.Minute)}
	}
	refused := func(decisions []Decision, id string) bool {
		return len(decisions) == 1 && decisions[0].ID == id && decisions[0].Refusal != nil &&
			decisions[0].Refusal.Reason == problem.ReasonNoUpstream && decisions[0].Refusal.RetryAfterSeconds > 0
	}
	if decisions := s.Enqueue(request("waits"), now); len(decisions) != 0 {
		t.Fatalf("decisions %+v at the start, want none", decisions)
	}
	now = now.Add(after)
	if decisions := s.Tick(now); !refused(decisions, "waits") {
		t.Errorf("decisions %+v after the wait without an upstream, want a refusal", decisions)
	}
	if decisions := s.Enqueue(request("late"), now); !refused(decisions, "late") {
		t.Errorf("decisions %+v for a later request without an upstream, want a refusal", decisions)
	}
	s.RecordReport(api.Report{Upstream: "u", Service: "m", Incarnation: "i", Sequence: 1, Limit: 1, Ready: true}, now)
	if decisions := s.Enqueue(request("served"), now); len(decisions) != 1 || decisions[0].Refusal != nil {
		t.Errorf("decisions %+v after the report of an upstream, want one without a refusal", decisions)
	}
	now = now.Add(time.Second)
	if decisions := s.Enqueue(request("behind a full one"), now); len(decisions) != 0 {
		t.Errorf("decisions %+v while the upstream is full, want none", decisions)
	}
}
