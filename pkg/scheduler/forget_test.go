package scheduler

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/api"
	"github.com/acaciaglade/acaciaglade/pkg/selection"
)

// Replaced hosts leave nothing behind, however many there are, and one with a
// running attempt stays until that has ended.
func TestForgottenUpstreamsLeaveNothing(t *testing.T) {
	now := time.Unix(1000, 0)
	s := New(Config{MaxWaiting: 8}, &selection.TwoChoices{Limits: selection.Limits{MaxReportAge: time.Minute}, Rand: rand.New(rand.NewPCG(1, 0))})
	report := api.Report{Upstream: "busy", Service: "m", Incarnation: "i", Sequence: 1, Limit: 1, Ready: true}
	s.RecordReport(report, now)
	request := Request{ID: "a", Service: "m", Organisation: "o", Weight: 1, Cost: 1, Deadline: now.Add(time.Hour)}
	if got := len(s.Enqueue(request, now)); got != 1 {
		t.Fatalf("%d grants, want 1", got)
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
		t.Fatalf("a forgotten upstream was chosen")
	}
	s.RecordEnd("a", false, now)
	if got := len(s.Candidates("m")) + len(s.upstream) + len(s.sent); got != 0 {
		t.Errorf("%d records left", got)
	}
}

// A mark holds for an upstream that reports for the first time after it.
func TestMarkHoldsForNewUpstream(t *testing.T) {
	now := time.Unix(1000, 0)
	s := New(Config{MaxWaiting: 8}, &selection.TwoChoices{Limits: selection.Limits{MaxReportAge: time.Minute}, Rand: rand.New(rand.NewPCG(1, 0))})
	s.SetOutOfService(func(_, domain string) bool { return domain == "fd-a" }, now)
	s.Enqueue(Request{ID: "a", Service: "m", Organisation: "o", Weight: 1, Cost: 1, Deadline: now.Add(time.Hour)}, now)
	report := api.Report{Upstream: "u", FailureDomain: "fd-a", Service: "m", Incarnation: "i", Sequence: 1, Limit: 1, Ready: true}
	if got := len(s.RecordReport(report, now)); got != 0 {
		t.Errorf("%d grants to an upstream that is out, want 0", got)
	}
}
