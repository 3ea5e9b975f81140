package accounting

import (
	"fmt"
	"slices"
	"testing"

	"github.com/acaciaglade/acaciaglade/pkg/problem"
)

func TestAccounts(t *testing.T) {
	a := New(2)
	ceiling := problem.New(problem.ReasonCeiling, "")
	for _, r := range []Request{
		{Organisation: "first", RequestedCost: 10, DeliveredCost: 8},
		{Organisation: "first", RequestedCost: 5, Refusal: ceiling},
		{Organisation: "first", RequestedCost: 5, Refusal: ceiling},
		{Refusal: problem.New(problem.ReasonUnauthenticated, "")},
		{Organisation: "third"},
		{Organisation: "fourth"},
	} {
		a.Record(r)
	}
	all := a.Select(Query{})
	got := make([]string, len(all))
	for i, c := range all {
		got[i] = fmt.Sprintf("%s asked %d (%g) completed %d (%g) refused %d", c.Organisation, c.Requests, c.RequestedCost, c.Completed, c.DeliveredCost, c.Refused)
	}
	want := []string{
		"first asked 3 (20) completed 1 (8) refused 2",
		"(other) asked 2 (0) completed 2 (0) refused 0",
		"(unknown) asked 1 (0) completed 0 (0) refused 1",
	}
	if !slices.Equal(got, want) {
		t.Errorf("accounts %q, want %q", got, want)
	}
	sum := Merge(1, all, a.Select(Query{Organisation: "first"}))
	if len(sum) != 1 || sum[0].Requests != 6 || sum[0].Refusals[0].Count != 4 {
		t.Errorf("sum %+v", sum)
	}
	if all[0].Refusals[0].Count != 2 {
		t.Error("Sum changed what it was given")
	}
}

// BenchmarkAccounts reports the memory of all organisations of two years, each
// with three reasons of refusal.
func BenchmarkAccounts(b *testing.B) {
	const organisations = 38000
	reasons := []problem.Reason{problem.ReasonCeiling, problem.ReasonQueueFull, problem.ReasonOverloaded}
	b.ReportAllocs()
	for b.Loop() {
		a := New(organisations)
		for i := range organisations {
			name := fmt.Sprintf("organisation-%05d", i)
			for _, reason := range reasons {
				a.Record(Request{Organisation: name, Refusal: &problem.Problem{Reason: reason, Ran: problem.RanNo}})
			}
		}
	}
}

func TestLabels(t *testing.T) {
	l := NewLabelLimiter(1)
	for _, tc := range []struct {
		organisation string
		priority     bool
		want         string
	}{
		{"first", false, "first"},
		{"second", false, Other},
		{"second", true, "second"},
		{"first", false, "first"},
		{"", false, Unknown},
	} {
		if got := l.Label(tc.organisation, tc.priority); got != tc.want {
			t.Errorf("label of %q is %q, want %q", tc.organisation, got, tc.want)
		}
	}
}
