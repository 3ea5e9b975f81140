package decisionlog

import (
	"fmt"
	"testing"
	"time"
)

func TestLogKeepsTheLatest(t *testing.T) {
	l := New("entry-0", 3)
	for i, id := range []string{"a", "b", "a", "a", "a"} {
		l.Add(Decision{RequestID: id, At: time.Unix(int64(i), 0), Action: fmt.Sprint(i)})
	}
	got := l.ForRequest("a")
	if len(got) != 3 || got[0].Action != "2" || got[2].Action != "4" || got[0].Host != "entry-0" {
		t.Errorf("decisions %+v", got)
	}
	if left := l.ForRequest("b"); len(left) != 0 {
		t.Errorf("%d old decisions are held", len(left))
	}
	merged := Merge(got, []Decision{{Action: "between", At: time.Unix(2, 500)}})
	if merged[1].Action != "between" {
		t.Errorf("merged %+v", merged)
	}
}
