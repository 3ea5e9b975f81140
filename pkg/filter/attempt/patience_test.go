package attempt

import (
	"testing"
	"time"
)

func TestPatience(t *testing.T) {
	const longest, shortest = 2 * time.Second, 750 * time.Millisecond
	for _, tc := range []struct {
		name       string
		idempotent bool
		left, want time.Duration
	}{
		{"much time", true, time.Minute, longest},
		{"chat at the counter", true, 3 * time.Second, 750 * time.Millisecond},
		{"between the bounds", true, 4 * time.Second, time.Second},
		{"no time", true, 0, shortest},
		{"not idempotent", false, 3 * time.Second, longest},
	} {
		if got := patience(tc.idempotent, longest, shortest, tc.left); got != tc.want {
			t.Errorf("%s: %v, want %v", tc.name, got, tc.want)
		}
	}
}
