package operator

import (
	"testing"

	"github.com/acaciaglade/acaciaglade/pkg/api"
)

// A host is current only if it responded and has both the newest table version of any host
// and all provisional marks.
func TestEvaluateHosts(t *testing.T) {
	out := []api.ProvisionalMark{{ID: "1", FailureDomain: "fd-a"}}
	list := []HostStatus{
		{Host: "queried entry", Reachable: true, HasReported: true, Version: 4, provisional: out},
		{Host: "entry with a newer table", Reachable: true, HasReported: true, Version: 5, provisional: out},
		{Host: "agent without the provisional mark", Reachable: true, HasReported: true, Version: 5},
		{Host: "unreachable agent", HasReported: true, Version: 5, provisional: out},
		{Host: "agent that has never responded"},
	}
	version, provisional := evaluateHosts(api.Marks{Version: 4}, list)
	if version != 5 || len(provisional) != 1 {
		t.Errorf("got newest version %d and provisional marks %v, want version 5 and 1 mark", version, provisional)
	}
	if _, none := evaluateHosts(api.Marks{Version: 4}, nil); none == nil {
		t.Error("an empty list of marks is nil; it is encoded as null, which the operators' page can't list")
	}
	for i, want := range []bool{false, true, false, false, false} {
		if list[i].IsCurrent != want {
			t.Errorf("%s: got IsCurrent %t", list[i].Host, list[i].IsCurrent)
		}
	}
}
