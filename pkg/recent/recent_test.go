package recent

import (
	"testing"
	"time"
)

var t0 = time.Unix(1_800_000_000, 0)

// TestCountsTheLastSpan counts events until they are as old as the span.
func TestCountsTheLastSpan(t *testing.T) {
	e := New(time.Second)
	if !e.Last().IsZero() || e.Count(t0) != 0 {
		t.Error("events before the first")
	}
	e.Add(t0)
	e.Add(t0.Add(400 * time.Millisecond))
	for after, want := range map[time.Duration]int{500 * time.Millisecond: 2, 999 * time.Millisecond: 2} {
		if got := e.Count(t0.Add(after)); got != want {
			t.Errorf("%d events after %v, want %d", got, after, want)
		}
	}
	if got := e.Count(t0.Add(time.Second)); got != 1 {
		t.Errorf("%d events after the span, want 1", got)
	}
	if got := e.Last(); !got.Equal(t0.Add(400 * time.Millisecond)) {
		t.Errorf("the last event was at %v", got)
	}
}

// TestHoldsOneSpanOnly records a day of requests that nobody counts: what is held must
// not grow with them.
func TestHoldsOneSpanOnly(t *testing.T) {
	e := New(10 * time.Second)
	for i := range 8 * 60 * 60 * 24 {
		e.Add(t0.Add(time.Duration(i) * time.Second / 8))
	}
	if len(e.at) > 81 || cap(e.at) > 4096 {
		t.Errorf("%d events held, room for %d", len(e.at), cap(e.at))
	}
}
