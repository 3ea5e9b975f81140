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

func registered(t *testing.T, v *View, name, version string, now time.Time) {
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

func TestPartsAreUnknownUntilAllRegistrationsAreRead(t *testing.T) {
	v := NewView("own")
	registered(t, v, "a", "1", start)
	if got := v.LimitDivisor(start); got != 0 {
		t.Errorf("%d parts before the list was read whole", got)
	}
	v.MarkListed()
	if got := v.LimitDivisor(start); got != 4 {
		t.Errorf("%d parts, want two hosts and the reserve of two", got)
	}
}

// Entries that start one after the other, each cut off from the store since it was
// counted, keep a bound together.
func TestPartsHoldWhileEntriesStart(t *testing.T) {
	for _, known := range []int{1, 4, 14, 40} {
		v := NewView("h0")
		for i := range known {
			registered(t, v, fmt.Sprintf("h%d", i), "1", start)
		}
		v.MarkListed()
		used := float64(known) / float64(v.LimitDivisor(start))
		registered(t, v, "late", "2", start)
		used += 1 / float64(v.LimitDivisor(start))
		registered(t, v, "later", "3", start)
		used += 1 / float64(v.LimitDivisor(start))
		if used > 1 {
			t.Errorf("%d entries and two late ones use %.2f of a bound", known, used)
		}
	}
}

func TestHostsThatDoNotRenewCountAsGone(t *testing.T) {
	v := NewView("own")
	registered(t, v, "own", "1", start)
	registered(t, v, "steady", "1", start)
	registered(t, v, "gone", "1", start)
	v.MarkListed()
	later := start.Add(life + time.Second)
	registered(t, v, "steady", "2", later)
	// A watch that begins anew tells of the same version again.
	registered(t, v, "gone", "1", later)
	if got := v.Expired(later); len(got) != 1 || got[0] != "gone" {
		t.Errorf("lapsed: %v", got)
	}
	if got := v.Hosts(later); len(got) != 1 || got[0].Name != "steady" || got[0].Address != "http://steady" {
		t.Errorf("hosts: %v", got)
	}
	if got := v.LimitDivisor(later); got != 4 {
		t.Errorf("%d parts, want two hosts and the reserve of two", got)
	}
}

func TestARegistrationThatCannotBeReadStillCounts(t *testing.T) {
	v := NewView("own")
	v.MarkListed()
	e := objects.Event{Type: objects.Added, Object: objects.Object{Metadata: objects.Metadata{Name: "new", ResourceVersion: "7"}, Spec: []byte(`"?"`)}}
	if err := v.Apply(e, start); err == nil {
		t.Error("no error")
	}
	if got := v.LimitDivisor(start); got != 4 {
		t.Errorf("%d parts", got)
	}
	if err := v.Apply(objects.Event{Type: objects.Deleted, Object: e.Object}, start); err != nil || v.LimitDivisor(start) != 3 {
		t.Errorf("%d parts after it was removed, %v", v.LimitDivisor(start), err)
	}
}
