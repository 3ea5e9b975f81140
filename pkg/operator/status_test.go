package operator

import (
	"testing"

	"github.com/acaciaglade/acaciaglade/pkg/api"
)

func TestJudgeHosts(t *testing.T) {
	out := []api.ProvisionalMark{{ID: "1", FailureDomain: "fd-a"}}
	list := []HostStatus{
		{Host: "asked entry", Reachable: true, Known: true, Version: 4, provisional: out},
		{Host: "entry with a newer table", Reachable: true, Known: true, Version: 5, provisional: out},
		{Host: "agent without the provisional mark", Reachable: true, Known: true, Version: 5},
		{Host: "unreachable agent", Known: true, Version: 5, provisional: out},
		{Host: "agent that was never heard"},
	}
	version, provisional := judgeHosts(api.Marks{Version: 4}, list)
	if version != 5 || len(provisional) != 1 {
		t.Errorf("newest is version %d with marks %v", version, provisional)
	}
	if _, none := judgeHosts(api.Marks{Version: 4}, nil); none == nil {
		t.Error("no marks are told as null, which the operators' page can't list")
	}
	for i, want := range []bool{false, true, false, false, false} {
		if list[i].InForce != want {
			t.Errorf("%s: in force is %t", list[i].Host, list[i].InForce)
		}
	}
}
