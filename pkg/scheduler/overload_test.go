package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/api"
	"github.com/acaciaglade/acaciaglade/pkg/problem"
	"github.com/acaciaglade/acaciaglade/pkg/selection"
)

func newTestScheduler(cfg Config) *Scheduler {
	return New(cfg, &selection.TwoChoices{Limits: selection.Limits{MaxReportAge: time.Minute}, Rand: rand.New(rand.NewPCG(1, 0))})
}

// TestRetryAfterFollowsDrain drains one request a second and checks that a
// request which would come too late is refused at once, and told the time after
// which the queue is short enough. Priority work is never refused for that.
func TestRetryAfterFollowsDrain(t *testing.T) {
	now := time.Unix(1000, 0)
	s := newTestScheduler(Config{MaxWaiting: 100})
	report := api.Report{Upstream: "u", Service: "m", Incarnation: "i", Sequence: 1, Limit: 1, Ready: true}
	s.RecordReport(report, now)
	request := func(id string, priority bool, limit time.Duration) Request {
		return Request{ID: id, Service: "m", Organisation: "o", Weight: 1, Cost: 10, Priority: priority, Deadline: now.Add(limit)}
	}
	for i := range 30 {
		s.Enqueue(request(fmt.Sprint(i), false, time.Hour), now)
	}
	for i := range 10 {
		now = now.Add(time.Second)
		report.Sequence++
		report.Virtual = float64(10 * (i + 1))
		s.RecordEnd(fmt.Sprint(i), false, now)
		s.RecordReport(report, now)
	}
	grants := s.Enqueue(request("late", false, 5*time.Second), now)
	if len(grants) != 1 || grants[0].Refusal == nil || grants[0].Refusal.Reason != problem.ReasonOverloaded || grants[0].Refusal.Ran != problem.RanNo {
		t.Fatalf("grants %+v, want a refusal", grants)
	}
	if after := grants[0].Refusal.RetryAfterSeconds; after < 14 || after > 20 {
		t.Errorf("19 requests wait, one ends each second and 5 s are left: retry after %d s", after)
	}
	if grants := s.Enqueue(request("patient", false, time.Minute), now); len(grants) != 0 {
		t.Errorf("a request with time is refused: %+v", grants[0].Refusal)
	}
	if grants := s.Enqueue(request("priority", true, 5*time.Second), now); len(grants) > 0 && grants[0].Refusal != nil {
		t.Errorf("priority work is refused: %+v", grants[0].Refusal)
	}
}

// TestQueueIsBounded floods the queue from 38,000 organisations.
func TestQueueIsBounded(t *testing.T) {
	const organisations, most = 38_000, 1000
	now := time.Unix(1000, 0)
	s := newTestScheduler(Config{MaxWaiting: 256, MaxWaitingTotal: most})
	for i := range 3 * organisations {
		s.Enqueue(Request{ID: fmt.Sprint(i), Service: "m", Organisation: fmt.Sprint(i % organisations), Weight: 1, Cost: 1, Deadline: now.Add(time.Minute)}, now)
	}
	if n := s.service("m").queue.Len(); n > most+organisations {
		t.Errorf("%d requests wait, want at most %d", n, most+organisations)
	}
}
