package directory

import (
	"testing"
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/clock"
	"github.com/acaciaglade/acaciaglade/pkg/table"
)

func platformTable(version uint64) *table.Table {
	return &table.Table{
		Version:       version,
		Organisations: []table.Organisation{{Name: "loud", Weight: 1}, {Name: "quiet", Weight: 1, Priority: true}},
		Keys:          []table.Key{{Organisation: "loud", Hash: table.HashToken("k")}},
	}
}

// TestNoTableBeforeAllPartsAreKnown checks that an entry does not serve requests with a part
// of the configuration missing.
func TestNoTableBeforeAllPartsAreKnown(t *testing.T) {
	d := New()
	d.SetPlatformTable(platformTable(4), StoredVersion{}, clock.BootNow())
	if ix, _ := d.Index(); ix != nil {
		t.Fatal("there is a table before the evacuations are known")
	}
	d.SetEvacuated(nil)
	if ix, _ := d.Index(); ix == nil {
		t.Fatal("there is no table with all parts known")
	}
}

// TestOlderConfigurationIsIgnored checks that an older configuration neither replaces nor
// confirms the current one.
func TestOlderConfigurationIsIgnored(t *testing.T) {
	d := New()
	d.SetEvacuated(nil)
	confirmedAt := clock.BootNow() - clock.BootTime(time.Minute)
	d.SetPlatformTable(platformTable(4), StoredVersion{}, confirmedAt)
	d.SetPlatformTable(platformTable(3), StoredVersion{Version: 3}, clock.BootNow())
	ix, age := d.Index()
	if ix.Table().Version != 4 || age < time.Minute {
		t.Errorf("version %d with a validation age of %v, want version 4 and at least a minute", ix.Table().Version, age)
	}
}

// TestValidationAgeCountsFromRequest checks that a late confirmation counts from the time at
// which its request was sent, and never increases the validation age.
func TestValidationAgeCountsFromRequest(t *testing.T) {
	d := New()
	d.SetEvacuated(nil)
	now := clock.BootNow()
	d.SetPlatformTable(platformTable(4), StoredVersion{}, now-clock.BootTime(3*time.Second))
	d.Confirm(StoredVersion{Version: 4}, now-clock.BootTime(time.Second))
	d.Confirm(StoredVersion{Version: 4}, now-clock.BootTime(2*time.Second))
	if _, age := d.Index(); age < time.Second || age > 2*time.Second {
		t.Errorf("validation age is %v, want between 1 s and 2 s", age)
	}
}

// TestOperatorTableIsMerged checks that weight, ceiling and marks of the operators' table are
// added to the platform's configuration.
func TestOperatorTableIsMerged(t *testing.T) {
	d := New()
	d.SetPlatformTable(platformTable(4), StoredVersion{}, clock.BootNow())
	d.SetEvacuated([]string{"north"})
	calls := 0
	d.Subscribe(func(*table.Index) { calls++ })
	d.SetOperatorTable(table.NewIndex(&table.Table{
		Organisations: []table.Organisation{{Name: "loud", Weight: 7, Ceiling: 900}, {Name: "stranger", Weight: 3}},
		Upstreams:     []table.UpstreamMark{{Name: "u1", OutOfService: true}},
	}))
	ix, _ := d.Index()
	list := ix.Table().Organisations
	if len(list) != 2 || list[0].Weight != 7 || list[0].Ceiling != 900 || !list[1].Priority {
		t.Errorf("organisations are %+v", list)
	}
	if !ix.IsOutOfService("u1", "south") || !ix.IsOutOfService("u2", "north") || ix.IsOutOfService("u2", "south") {
		t.Error("marks and evacuations do not both apply")
	}
	d.SetEvacuated(nil)
	if ix, _ = d.Index(); ix.IsOutOfService("u2", "north") || calls != 2 {
		t.Errorf("the evacuation still applies, or the subscriber was called %d times, want 2", calls)
	}
}

// TestCopyDoesNotConfirm guards against keys that count as confirmed by a copy from which the
// store has come back, although the copy may lack the version that revokes them.
func TestCopyDoesNotConfirm(t *testing.T) {
	const second = clock.BootTime(time.Second)
	now := clock.BootNow()
	for _, c := range []struct {
		name      string
		stored    StoredVersion
		sentAt    clock.BootTime
		confirmed bool
	}{
		{"older version", StoredVersion{Era: 2, Revision: 30, Version: 3}, now - second, false},
		{"older version later", StoredVersion{Era: 2, Revision: 30, Version: 3}, now, false},
		{"version as in the copy", StoredVersion{Era: 2, Revision: 40, Version: 4}, now - second, false},
		{"version as in the copy, once the operators had the time to write", StoredVersion{Era: 2, Revision: 40, Version: 4}, now, true},
		{"version written again", StoredVersion{Era: 2, Revision: 39, Version: 4}, now - second, true},
		{"newer version, perhaps of the copy", StoredVersion{Era: 2, Revision: 38, Version: 5}, now - second, false},
		{"newer version, written in this era", StoredVersion{Era: 2, Revision: 41, Version: 5, Written: true}, now - second, true},
	} {
		d := New()
		d.SetEvacuated(nil)
		d.SetPlatformTable(platformTable(4), StoredVersion{Era: 1, Revision: 40}, now-60*second)
		d.SetPlatformTable(platformTable(c.stored.Version), c.stored, min(c.sentAt, now-second))
		d.Confirm(c.stored, c.sentAt)
		if _, age := d.Index(); (age < 30*time.Second) != c.confirmed || d.IsSettled() != c.confirmed {
			t.Errorf("%s: validation age %v, settled %v", c.name, age, d.IsSettled())
		}
	}
}

// TestCopyOfEarlierEraDoesNotConfirm guards against a second restore, from a copy that was
// made before the first one: the version has its old revision again.
func TestCopyOfEarlierEraDoesNotConfirm(t *testing.T) {
	const second = clock.BootTime(time.Second)
	now := clock.BootNow()
	d := New()
	d.SetEvacuated(nil)
	d.SetPlatformTable(platformTable(4), StoredVersion{Era: 1, Revision: 40}, now-60*second)
	d.SetPlatformTable(platformTable(4), StoredVersion{Era: 2, Revision: 31}, now-50*second)
	if _, age := d.Index(); age > 55*time.Second {
		t.Errorf("validation age %v although the version was written again", age)
	}
	d.SetPlatformTable(platformTable(4), StoredVersion{Era: 3, Revision: 40}, now-second)
	if _, age := d.Index(); age < 45*time.Second {
		t.Errorf("validation age %v, confirmed by a copy that was made before the first restore", age)
	}
}
