package attempt

import (
	"testing"
	"time"
)

func TestTimeoutFor(t *testing.T) {
	const maxTimeout, minTimeout = 2 * time.Second, 750 * time.Millisecond
	for _, tc := range []struct {
		name            string
		idempotent      bool
		remaining, want time.Duration
	}{
		{"much time", true, time.Minute, maxTimeout},
		{"little time", true, 3 * time.Second, 750 * time.Millisecond},
		{"between the limits", true, 4 * time.Second, time.Second},
		{"no time", true, 0, minTimeout},
		{"not idempotent", false, 3 * time.Second, maxTimeout},
	} {
		if got := timeoutFor(tc.idempotent, maxTimeout, minTimeout, tc.remaining); got != tc.want {
			t.Errorf("%s: %v, want %v", tc.name, got, tc.want)
		}
	}
}
