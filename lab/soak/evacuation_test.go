package soak

import (
	"testing"
	"time"

	"github.com/acaciaglade/acaciaglade/lab/platformstore"
)

// TestEvacuationAppliesAfterLostAnswer guards against entries that send requests to an evacuated
// failure domain because the answer to their watch was lost on a connection that stays open. The
// answer is the one that says that an earlier evacuation has ended.
func TestEvacuationAppliesAfterLostAnswer(t *testing.T) {
	d, stop := startDeployment(t, 596)
	if !d.evacuate("z2") {
		t.Fatal("z2 can't be evacuated")
	}
	time.Sleep(2 * time.Second)
	d.markEntriesFaulty(time.Second)
	d.store.SetFaults(platformstore.Faults{LoseAnswers: true})
	d.takeBack()
	time.Sleep(time.Second)
	d.store.SetFaults(platformstore.Faults{})
	time.Sleep(contactTimeout + 500*time.Millisecond)
	if !d.evacuate("z0") {
		t.Fatal("z0 can't be evacuated")
	}
	time.Sleep(evacuateLimit + 5*time.Second)
	stop()
	for _, text := range d.checker.violations {
		t.Error(text)
	}
}

// TestCheckerDetectsLateEvacuation checks that the soak notices a request in an evacuated
// failure domain, and excuses it only for a time after a fault.
func TestCheckerDetectsLateEvacuation(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		name     string
		at       time.Time
		healthy  bool
		violates bool
	}{
		{"late", now.Add(-evacuateLimit - time.Millisecond), true, true},
		{"in time", now.Add(-evacuateLimit), true, false},
		{"excused", now.Add(-evacuateLimit - time.Second), false, false},
		{"taken back", time.Time{}, true, false},
	} {
		checker := newChecker()
		checker.entriesHealthy = func(since, _ time.Time) bool { return c.healthy && since.Equal(now.Add(-contactTimeout)) }
		checker.recordEvacuation("z1", c.at)
		checker.checkEvacuated("z1", "u", "r", now)
		checker.checkEvacuated("z2", "u", "r", now)
		if got := len(checker.violations) > 0; got != c.violates {
			t.Errorf("%s: violations %v", c.name, checker.violations)
		}
	}
}
