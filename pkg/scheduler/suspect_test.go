package scheduler

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/api"
	"github.com/acaciaglade/acaciaglade/pkg/selection"
)

// TestFailedUpstreamNeedsNewReport checks that an upstream is not selected after a failed
// attempt until it has reported again, no matter how recent its last report is and how
// long ago the failure was.
func TestFailedUpstreamNeedsNewReport(t *testing.T) {
	const avoid = 100 * time.Millisecond
	now := time.Unix(1000, 0)
	s := New(Config{MaxWaiting: 8, AvoidAfterFailure: avoid},
		&selection.TwoChoices{Limits: selection.Limits{MaxReportAge: time.Minute}, Rand: rand.New(rand.NewPCG(1, 0))})
	report := api.Report{Upstream: "u", Service: "m", Incarnation: "i", Sequence: 1, Limit: 4, Ready: true}
	s.RecordReport(report, now)
	request := func(id string) Request {
		return Request{ID: id, Service: "m", Organisation: "o", Weight: 1, Cost: 1, Deadline: now.Add(time.Hour)}
	}
	if got := len(s.Enqueue(request("a"), now)); got != 1 {
		t.Fatalf("%d decisions before the failure, want 1", got)
	}
	s.RecordEnd("a", true, now)
	now = now.Add(2 * avoid)
	if got := len(s.Enqueue(request("b"), now)); got != 0 {
		t.Fatalf("%d decisions after the failure, want 0", got)
	}
	report.Sequence++
	if got := len(s.RecordReport(report, now)); got != 1 {
		t.Errorf("%d decisions after the next report, want 1", got)
	}
}
