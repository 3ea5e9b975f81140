package scheduler

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/api"
	"github.com/acaciaglade/acaciaglade/pkg/selection"
)

// TestRemovedUpstreamsLeaveNoRecords guards against records that accumulate as hosts are
// replaced. An upstream with a running attempt is kept until the attempt has ended, but
// not selected.
func TestRemovedUpstreamsLeaveNoRecords(t *testing.T) {
	now := time.Unix(1000, 0)
	s := New(Config{MaxWaiting: 8}, &selection.TwoChoices{Limits: selection.Limits{MaxReportAge: time.Minute}, Rand: rand.New(rand.NewPCG(1, 0))})
	report := api.Report{Upstream: "busy", Service: "m", Incarnation: "i", Sequence: 1, Limit: 1, Ready: true}
	s.RecordReport(report, now)
	request := Request{ID: "a", Service: "m", Organisation: "o", Weight: 1, Cost: 1, Deadline: now.Add(time.Hour)}
	if got := len(s.Enqueue(request, now)); got != 1 {
		t.Fatalf("%d decisions, want 1", got)
	}
	s.RemoveUpstream("busy")
	for range 100 {
		report.Upstream += "x"
		s.RecordReport(report, now)
		s.RemoveUpstream(report.Upstream)
	}
	if got := len(s.Candidates("m")); got != 1 {
		t.Fatalf("%d upstreams with one attempt running, want 1", got)
	}
	request.ID = "b"
	if got := len(s.Enqueue(request, now)); got != 0 {
		t.Fatalf("a removed upstream was selected")
	}
	s.RecordEnd("a", false, now)
	if got := len(s.Candidates("m")) + len(s.serviceByUpstream) + len(s.attempts); got != 0 {
		t.Errorf("%d records left, want 0", got)
	}
}

// TestMarkAppliesToNewUpstream checks that a mark applies to an upstream whose first
// report arrives after the mark.
func TestMarkAppliesToNewUpstream(t *testing.T) {
	now := time.Unix(1000, 0)
	s := New(Config{MaxWaiting: 8}, &selection.TwoChoices{Limits: selection.Limits{MaxReportAge: time.Minute}, Rand: rand.New(rand.NewPCG(1, 0))})
	s.SetOutOfService(func(_, domain string) bool { return domain == "fd-a" }, now)
	s.Enqueue(Request{ID: "a", Service: "m", Organisation: "o", Weight: 1, Cost: 1, Deadline: now.Add(time.Hour)}, now)
	report := api.Report{Upstream: "u", FailureDomain: "fd-a", Service: "m", Incarnation: "i", Sequence: 1, Limit: 1, Ready: true}
	if got := len(s.RecordReport(report, now)); got != 0 {
		t.Errorf("%d decisions for an upstream that is out of service, want 0", got)
	}
}
