package decisionlog

import (
	"fmt"
	"testing"
	"time"
)

func TestLogKeepsLatestDecisions(t *testing.T) {
	l := New("entry-0", 3)
	for i, id := range []string{"a", "b", "a", "a", "a"} {
		l.Add(Decision{RequestID: id, At: time.Unix(int64(i), 0), Action: fmt.Sprint(i)})
	}
	got := l.ForRequest("a")
	if len(got) != 3 || got[0].Action != "2" || got[2].Action != "4" || got[0].Host != "entry-0" {
		t.Errorf("got decisions %+v, want 3 of entry-0, from action 2 to 4", got)
	}
	if old := l.ForRequest("b"); len(old) != 0 {
		t.Errorf("got %d old decisions, want none", len(old))
	}
	merged := Merge(got, []Decision{{Action: "between", At: time.Unix(2, 500)}})
	if merged[1].Action != "between" {
		t.Errorf("got merged decisions %+v, want the second to be between", merged)
	}
}
