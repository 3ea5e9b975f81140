package tablestore

import (
	"testing"

	"github.com/acaciaglade/acaciaglade/pkg/table"
)

// TestRowsOfThePlatformsOrganisations shows one row for each organisation that the
// platform provides, and keeps the weight that an operator gives one of them.
func TestRowsOfThePlatformsOrganisations(t *testing.T) {
	provided := &table.Table{
		Organisations:  []table.Organisation{{Name: "loud", Weight: 1}, {Name: "quiet", Weight: 1, Priority: true}},
		Services:       []table.Service{{Name: "writers", Kind: table.KindModel}},
		FailureDomains: []table.FailureDomain{{Name: "north"}},
	}
	s := New(newFake(), Config{Entry: "a", PlatformTable: func() *table.Table { return provided }})
	shown, err := s.Current(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if len(shown.Organisations) != 2 || !shown.Organisations[1].Priority || len(shown.Services) != 1 || len(shown.FailureDomains) != 1 {
		t.Fatalf("shown: %+v", shown)
	}
	change(t, s, func(d *Draft) {
		d.Organisations[0].Weight = 5
		if err := d.Check(); err != nil {
			t.Errorf("rows without tokens: %v", err)
		}
	})
	// The platform takes the priority away; no stored row may keep it.
	provided = &table.Table{Organisations: []table.Organisation{{Name: "loud", Weight: 1}, {Name: "quiet", Weight: 1}}}
	shown, err = s.Current(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if shown.Organisations[0].Weight != 5 || shown.Organisations[1].Priority {
		t.Fatalf("shown after the change: %+v", shown)
	}
}
