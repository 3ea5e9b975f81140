package accounting

import (
	"fmt"
	"slices"
	"testing"

	"github.com/acaciaglade/acaciaglade/pkg/problem"
)

// TestAccounts checks that organisations beyond the limit share an account, that requests
// without an organisation have one of their own, and that Merge doesn't change its arguments.
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
		got[i] = fmt.Sprintf("%s requests %d (%g) completed %d (%g) refused %d", c.Organisation, c.Requests, c.RequestedCost, c.Completed, c.DeliveredCost, c.Refused)
	}
	want := []string{
		"first requests 3 (20) completed 1 (8) refused 2",
		"(other) requests 2 (0) completed 2 (0) refused 0",
		"(unknown) requests 1 (0) completed 0 (0) refused 1",
	}
	if !slices.Equal(got, want) {
		t.Errorf("accounts %q, want %q", got, want)
	}
	merged := Merge(1, all, a.Select(Query{Organisation: "first"}))
	if len(merged) != 1 || merged[0].Requests != 6 || merged[0].Refusals[0].Count != 4 {
		t.Errorf("merged %+v, want one account with 6 requests and 4 refusals", merged)
	}
	if all[0].Refusals[0].Count != 2 {
		t.Error("Merge changed its arguments")
	}
}

// BenchmarkAccounts reports the memory for the 38000 organisations that are expected in
// two years, with three refusal reasons each.
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

// TestLabels checks that organisations beyond the limit share a label, except those with
// priority.
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
