package scheduler

import (
	"testing"
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/api"
	"github.com/acaciaglade/acaciaglade/pkg/problem"
)

// A request whose service has no upstream is given up after a short wait, not
// at its deadline, and the next ones at once, until an upstream is back.
func TestServiceWithoutUpstreamIsRefused(t *testing.T) {
	const after = 2 * time.Second
	now := time.Unix(1000, 0)
	s := newTestScheduler(Config{MaxWaiting: 8, NoUpstreamAfter: after})
	request := func(id string) Request {
		return Request{ID: id, Service: "m", Organisation: "o", Weight: 1, Cost: 1, Deadline: now.Add(time.Minute)}
	}
	refused := func(grants []Decision, id string) bool {
		return len(grants) == 1 && grants[0].ID == id && grants[0].Refusal != nil &&
			grants[0].Refusal.Reason == problem.ReasonNoUpstream && grants[0].Refusal.RetryAfterSeconds > 0
	}
	if grants := s.Enqueue(request("waits"), now); len(grants) != 0 {
		t.Fatalf("grants %+v before the wait", grants)
	}
	now = now.Add(after)
	if grants := s.Tick(now); !refused(grants, "waits") {
		t.Errorf("grants %+v after the wait", grants)
	}
	if grants := s.Enqueue(request("late"), now); !refused(grants, "late") {
		t.Errorf("grants %+v while there is none", grants)
	}
	s.RecordReport(api.Report{Upstream: "u", Service: "m", Incarnation: "i", Sequence: 1, Limit: 1, Ready: true}, now)
	if grants := s.Enqueue(request("served"), now); len(grants) != 1 || grants[0].Refusal != nil {
		t.Errorf("grants %+v once there is one", grants)
	}
	now = now.Add(time.Second)
	if grants := s.Enqueue(request("behind a full one"), now); len(grants) != 0 {
		t.Errorf("grants %+v while the upstream is full", grants)
	}
}
