package recent

import (
	"testing"
	"time"
)

var t0 = time.Unix(1_800_000_000, 0)

// TestCountsTheLastWindow checks that events count until they are as old as the window.
func TestCountsTheLastWindow(t *testing.T) {
	c := New(time.Second)
	if !c.Last().IsZero() || c.Count(t0) != 0 {
		t.Error("a new counter has events")
	}
	c.Add(t0)
	c.Add(t0.Add(400 * time.Millisecond))
	for after, want := range map[time.Duration]int{500 * time.Millisecond: 2, 999 * time.Millisecond: 2} {
		if got := c.Count(t0.Add(after)); got != want {
			t.Errorf("%d events after %v, want %d", got, after, want)
		}
	}
	if got := c.Count(t0.Add(time.Second)); got != 1 {
		t.Errorf("%d events after the window, want 1", got)
	}
	if got := c.Last(); !got.Equal(t0.Add(400 * time.Millisecond)) {
		t.Errorf("the last event was at %v", got)
	}
}

// TestHoldsOneWindowOnly records a day of requests without a call of Count: the memory
// must not grow with them.
func TestHoldsOneWindowOnly(t *testing.T) {
	c := New(10 * time.Second)
	for i := range 8 * 60 * 60 * 24 {
		c.Add(t0.Add(time.Duration(i) * time.Second / 8))
	}
	if len(c.times) > 81 || cap(c.times) > 4096 {
		t.Errorf("%d events held, capacity %d", len(c.times), cap(c.times))
	}
}
