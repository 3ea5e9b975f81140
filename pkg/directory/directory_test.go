package directory

import (
	"testing"
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/clock"
	"github.com/acaciaglade/acaciaglade/pkg/table"
)

func base(version uint64) *table.Table {
	return &table.Table{
		Version:       version,
		Organisations: []table.Organisation{{Name: "loud", Weight: 1}, {Name: "quiet", Weight: 1, Priority: true}},
		Keys:          []table.Key{{Organisation: "loud", Hash: table.HashToken("k")}},
	}
}

// TestNothingIsServedBeforeAllPartsAreKnown keeps an entry from answering with half a
// configuration.
func TestNothingIsServedBeforeAllPartsAreKnown(t *testing.T) {
	d := New()
	d.SetPlatformTable(base(4), clock.BootNow())
	if ix, _ := d.Index(); ix != nil {
		t.Fatal("in force before the evacuations are known")
	}
	d.SetEvacuated(nil)
	if ix, _ := d.Index(); ix == nil {
		t.Fatal("not in force with all parts known")
	}
}

// TestVersionsOnlyGoUp drops an older configuration, and does not take it as a proof.
func TestVersionsOnlyGoUp(t *testing.T) {
	d := New()
	d.SetEvacuated(nil)
	proved := clock.BootNow() - clock.BootTime(time.Minute)
	d.SetPlatformTable(base(4), proved)
	d.SetPlatformTable(base(3), clock.BootNow())
	ix, age := d.Index()
	if ix.Table().Version != 4 || age < time.Minute {
		t.Errorf("version %d with a proof of age %v", ix.Table().Version, age)
	}
}

// TestProofCountsFromTheQuestion lets a proof that comes late be as old as its
// question, and never older than the one before.
func TestProofCountsFromTheQuestion(t *testing.T) {
	d := New()
	d.SetEvacuated(nil)
	now := clock.BootNow()
	d.SetPlatformTable(base(4), now-clock.BootTime(3*time.Second))
	d.Confirm(now - clock.BootTime(time.Second))
	d.Confirm(now - clock.BootTime(2*time.Second))
	if _, age := d.Index(); age < time.Second || age > 2*time.Second {
		t.Errorf("the proof has the age %v, its question was sent a second ago", age)
	}
}

// TestRowsAddToWhatThePlatformProvides joins weight, ceiling and marks of operators.
func TestRowsAddToWhatThePlatformProvides(t *testing.T) {
	d := New()
	d.SetPlatformTable(base(4), clock.BootNow())
	d.SetEvacuated([]string{"north"})
	told := 0
	d.Subscribe(func(*table.Index) { told++ })
	d.SetOperatorTable(table.NewIndex(&table.Table{
		Organisations: []table.Organisation{{Name: "loud", Weight: 7, Ceiling: 900}, {Name: "stranger", Weight: 3}},
		Upstreams:     []table.UpstreamMark{{Name: "u1", OutOfService: true}},
	}))
	ix, _ := d.Index()
	list := ix.Table().Organisations
	if len(list) != 2 || list[0].Weight != 7 || list[0].Ceiling != 900 || !list[1].Priority {
		t.Errorf("organisations %+v", list)
	}
	if !ix.IsOutOfService("u1", "south") || !ix.IsOutOfService("u2", "north") || ix.IsOutOfService("u2", "south") {
		t.Error("marks and evacuations are not both in force")
	}
	d.SetEvacuated(nil)
	if ix, _ = d.Index(); ix.IsOutOfService("u2", "north") || told != 2 {
		t.Errorf("the evacuation was not taken back, or subscribers were told %d times", told)
	}
}
