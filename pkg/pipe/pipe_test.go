package pipe

import "testing"

func TestServedCostIncludesPromptOnceStarted(t *testing.T) {
	for _, c := range []struct{ actual, want float64 }{{0, 0}, {1, 101}, {20, 120}} {
		r := Request{ExpectedCost: 150, PromptCost: 100, ActualCost: c.actual}
		if got := r.ServedCost(); got != c.want {
			t.Errorf("after %.0f tokens of the response: got served cost %.0f, want %.0f", c.actual, got, c.want)
		}
	}
}
