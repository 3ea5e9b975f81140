package soak

import (
	"testing"
	"time"

	"github.com/acaciaglade/acaciaglade/lab/platformstore"
)

// TestServiceGoesOnAfterStoreIsRestored guards against entries that refuse what a store lists
// that has come back from a copy, because its revisions are lower than before, so that
// callers are refused and changes are not applied until the revisions have caught up.
func TestServiceGoesOnAfterStoreIsRestored(t *testing.T) {
	d, stop := startDeployment(t, 595)
	time.Sleep(3 * time.Second)
	objects := d.store.Copy()
	for range 8 {
		d.replaceKey("north")
		d.updateConfig()
		time.Sleep(time.Second)
	}
	d.markEntriesFaulty(restoreOutage)
	d.store.SetFaults(platformstore.Faults{Down: true})
	time.Sleep(restoreOutage)
	d.store.SetFaults(platformstore.Faults{})
	d.restoreStore(objects)
	restoredAt := time.Now()
	time.Sleep(500 * time.Millisecond)
	d.replaceKey("south")
	d.updateConfig()
	time.Sleep(4 * time.Second)
	stop()
	if sent, served := d.checker.servedBetween(restoredAt.Add(1200*time.Millisecond), restoredAt.Add(3500*time.Millisecond), func(*request) bool { return true }); sent == 0 || 5*served < 4*sent {
		t.Errorf("%d of %d requests were served from 1.2 s to 3.5 s after the store was back, want four fifths", served, sent)
	}
	for _, text := range d.checker.violations {
		t.Error(text)
	}
}
