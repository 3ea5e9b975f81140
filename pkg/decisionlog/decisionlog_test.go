package decisionlog

import (
	"fmt"
	"testing"
	"time"
)

func TestLogKeepsTheLatest(t *testing.T) {
	l := New("entry-0", 3)
	for i, id := range []string{"a", "b", "a", "a", "a"} {
		l.Add(Decision{RequestID: id, At: time.Unix(int64(i), 0), What: fmt.Sprint(i)})
	}
	got := l.Of("a")
	if len(got) != 3 || got[0].What != "2" || got[2].What != "4" || got[0].Where != "entry-0" {
		t.Errorf("decisions %+v", got)
	}
	if left := l.Of("b"); len(left) != 0 {
		t.Errorf("%d old decisions are held", len(left))
	}
	merged := Merge(got, []Decision{{What: "between", At: time.Unix(2, 500)}})
	if merged[1].What != "between" {
		t.Errorf("merged %+v", merged)
	}
}
