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

// TestRetryAfterFollowsDrainRate drains one request per second, and checks that a
// request which would complete after its deadline is refused at once, with the time
// until the queue is short enough. Priority work is never refused for that reason.
func TestRetryAfterFollowsDrainRate(t *testing.T) {
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
		report.VirtualTime = float64(10 * (i + 1))
		s.RecordEnd(fmt.Sprint(i), false, now)
		s.RecordReport(report, now)
	}
	decisions := s.Enqueue(request("late", false, 5*time.Second), now)
	if len(decisions) != 1 || decisions[0].Refusal == nil || decisions[0].Refusal.Reason != problem.ReasonOverloaded || decisions[0].Refusal.Ran != problem.RanNo {
		t.Fatalf("decisions %+v, want a refusal as overloaded", decisions)
	}
	if after := decisions[0].Refusal.RetryAfterSeconds; after < 14 || after > 20 {
		t.Errorf("19 requests wait, one ends each second and 5 s are left: retry after %d s, want 14 to 20 s", after)
	}
	if decisions := s.Enqueue(request("patient", false, time.Minute), now); len(decisions) != 0 {
		t.Errorf("a request with enough time is refused: %+v", decisions[0].Refusal)
	}
	if decisions := s.Enqueue(request("priority", true, 5*time.Second), now); len(decisions) > 0 && decisions[0].Refusal != nil {
		t.Errorf("priority work is refused: %+v", decisions[0].Refusal)
	}
}

// TestQueueLengthIsLimited guards against a queue that grows without limit when many
// organisations, here 38,000, send requests at once: beyond MaxWaitingTotal each of
// them has at most one request waiting.
func TestQueueLengthIsLimited(t *testing.T) {
	const organisations, maxTotal = 38_000, 1000
	now := time.Unix(1000, 0)
	s := newTestScheduler(Config{MaxWaiting: 256, MaxWaitingTotal: maxTotal})
	for i := range 3 * organisations {
		s.Enqueue(Request{ID: fmt.Sprint(i), Service: "m", Organisation: fmt.Sprint(i % organisations), Weight: 1, Cost: 1, Deadline: now.Add(time.Minute)}, now)
	}
	if n := s.service("m").queue.Len(); n > maxTotal+organisations {
		t.Errorf("%d requests wait, want at most %d", n, maxTotal+organisations)
	}
}
