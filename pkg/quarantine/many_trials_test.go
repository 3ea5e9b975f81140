package quarantine

import (
	"fmt"
	"testing"
	"time"
)

// TestTrialsOfManyServicesAreNotKept guards against a client that makes an entry keep trials that
// are over, for as many services as it names.
func TestTrialsOfManyServicesAreNotKept(t *testing.T) {
	const requests, maxKept = 1000, 100
	trials, now := NewTrials(), time.Unix(0, 0)
	for i := range requests {
		trials.Begin(fmt.Sprint("service-", i), "a", now)
		now = now.Add(trialTimeout)
	}
	if n := len(trials.running); n > maxKept {
		t.Errorf("trials are kept for %d services, want at most %d", n, maxKept)
	}
}
