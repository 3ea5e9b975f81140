package roster

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/hosts"
	"github.com/acaciaglade/acaciaglade/pkg/objects"
)

var start = time.Unix(1700000000, 0)

func applyRegistration(t *testing.T, v *View, name, version string, now time.Time) {
	t.Helper()
	spec, err := json.Marshal(registration{Role: hosts.RoleEntry, Address: "http://" + name})
	if err != nil {
		t.Fatal(err)
	}
	e := objects.Event{Type: objects.Added, Object: objects.Object{Metadata: objects.Metadata{Name: name, ResourceVersion: version}, Spec: spec}}
	if err := v.Apply(e, now); err != nil {
		t.Error(err)
	}
}

func TestLimitDivisorIsZeroUntilAllRegistrationsAreRead(t *testing.T) {
	v := NewView("own")
	applyRegistration(t, v, "a", "1", start)
	if got := v.LimitDivisor(start); got != 0 {
		t.Errorf("limit divisor %d before all registrations were read, want 0", got)
	}
	v.MarkListed()
	if got := v.LimitDivisor(start); got != 4 {
		t.Errorf("limit divisor %d, want 4: two hosts and the reserve of two", got)
	}
}

// TestLimitHoldsWhileEntriesStart starts two more entries after the others can no
// longer read the store: all of them together must stay within a divided limit.
func TestLimitHoldsWhileEntriesStart(t *testing.T) {
	for _, known := range []int{1, 4, 14, 40} {
		v := NewView("h0")
		for i := range known {
			applyRegistration(t, v, fmt.Sprintf("h%d", i), "1", start)
		}
		v.MarkListed()
		used := float64(known) / float64(v.LimitDivisor(start))
		applyRegistration(t, v, "late", "2", start)
		used += 1 / float64(v.LimitDivisor(start))
		applyRegistration(t, v, "later", "3", start)
		used += 1 / float64(v.LimitDivisor(start))
		if used > 1 {
			t.Errorf("%d entries and two later ones use %.2f of a limit, want at most 1", known, used)
		}
	}
}

func TestRegistrationsWithoutRenewalExpire(t *testing.T) {
	v := NewView("own")
	applyRegistration(t, v, "own", "1", start)
	applyRegistration(t, v, "steady", "1", start)
	applyRegistration(t, v, "gone", "1", start)
	v.MarkListed()
	later := start.Add(expireAfter + time.Second)
	applyRegistration(t, v, "steady", "2", later)
	// A restarted watch reports the same version again, which is no renewal.
	applyRegistration(t, v, "gone", "1", later)
	if got := v.Expired(later); len(got) != 1 || got[0] != "gone" {
		t.Errorf("expired registrations %v, want only the one without renewal", got)
	}
	if got := v.Hosts(later); len(got) != 1 || got[0].Name != "steady" || got[0].Address != "http://steady" {
		t.Errorf("hosts %v, want only the renewed one", got)
	}
	if got := v.LimitDivisor(later); got != 4 {
		t.Errorf("limit divisor %d, want 4: two hosts and the reserve of two", got)
	}
}

// TestUndecodableRegistrationCountsAsHost guards against limits that are exceeded because
// a registration that a later release wrote is ignored.
func TestUndecodableRegistrationCountsAsHost(t *testing.T) {
	v := NewView("own")
	v.MarkListed()
	e := objects.Event{Type: objects.Added, Object: objects.Object{Metadata: objects.Metadata{Name: "new", ResourceVersion: "7"}, Spec: []byte(`"?"`)}}
	if err := v.Apply(e, start); err == nil {
		t.Error("no error for a registration that can't be decoded")
	}
	if got := v.LimitDivisor(start); got != 4 {
		t.Errorf("limit divisor %d, want 4", got)
	}
	if err := v.Apply(objects.Event{Type: objects.Deleted, Object: e.Object}, start); err != nil || v.LimitDivisor(start) != 3 {
		t.Errorf("limit divisor %d after the removal, want 3; error %v", v.LimitDivisor(start), err)
	}
}

// TestHostsCountAfterRestore guards against limits that are divided by too few entries,
// because the store has come back from a copy that lacks some registrations.
func TestHostsCountAfterRestore(t *testing.T) {
	v := NewView("own")
	for _, name := range []string{"own", "a", "b"} {
		applyRegistration(t, v, name, "1.5", start)
	}
	v.MarkListed()
	before := v.LimitDivisor(start)
	restoredAt := start.Add(time.Minute)
	v.MarkRestored(restoredAt)
	for _, name := range []string{"own", "a"} {
		deleted := objects.Event{Type: objects.Deleted, Object: objects.Object{Metadata: objects.Metadata{Name: name}}}
		if err := v.Apply(deleted, restoredAt); err != nil {
			t.Fatal(err)
		}
	}
	if got := v.LimitDivisor(restoredAt); got != before || len(v.Hosts(restoredAt)) != 3 {
		t.Errorf("limit divisor %d and %d hosts after the restore, want %d and 3", got, len(v.Hosts(restoredAt)), before)
	}
	if v.ResourceVersion("own") != "" {
		t.Error("the lost registration has a version, so it would not be created again")
	}
	applyRegistration(t, v, "own", "2.3", restoredAt.Add(time.Second))
	later := restoredAt.Add(reregisterTime + time.Second)
	if got := len(v.Hosts(later)); got != 2 {
		t.Errorf("%d hosts once the others had the time to register again, want 2", got)
	}
}
