package speed

import (
	"testing"
	"time"
)

func TestSpeedsDetectStraggler(t *testing.T) {
	tracker := NewTracker(DefaultConfig(), 4)
	ms := time.Millisecond
	now := time.Unix(1000, 0)
	tracker.Observe([]float64{100, 100, 50, 0}, []time.Duration{10 * ms, 20 * ms, 5 * ms, 0}, now)
	for r, want := range []float64{1, 0.5, 1, 1} {
		if got := tracker.Speeds()[r]; got != want {
			t.Errorf("rank %d: speed %v, want %v", r, got, want)
		}
	}
	tracker.Reset(1)
	if got := tracker.Speeds()[1]; got != 1 {
		t.Errorf("speed %v after Reset, want 1", got)
	}
}
