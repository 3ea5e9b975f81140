package pipe

import "testing"

func TestServedCountsPromptOnceAnswered(t *testing.T) {
	for _, c := range []struct{ spent, want float64 }{{0, 0}, {1, 101}, {20, 120}} {
		r := Request{ExpectedCost: 150, PromptCost: 100, ActualCost: c.spent}
		if got := r.ServedCost(); got != c.want {
			t.Errorf("after %.0f tokens: served %.0f, want %.0f", c.spent, got, c.want)
		}
	}
}
