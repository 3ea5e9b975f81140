package tablestore

import (
	"testing"

	"github.com/acaciaglade/acaciaglade/pkg/table"
)

// TestPlatformOrganisationsHaveRows checks that the table has a row for each organisation
// that the platform provides, and keeps the weight that an operator sets in one of them.
func TestPlatformOrganisationsHaveRows(t *testing.T) {
	provided := &table.Table{
		Organisations:  []table.Organisation{{Name: "loud", Weight: 1}, {Name: "quiet", Weight: 1, Priority: true}},
		Services:       []table.Service{{Name: "writers", Kind: table.KindModel}},
		FailureDomains: []table.FailureDomain{{Name: "north"}},
	}
	s := New(newFake(), Config{Entry: "a", PlatformTable: func() *table.Table { return provided }})
	current, err := s.CurrentTable(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if len(current.Organisations) != 2 || !current.Organisations[1].Priority || len(current.Services) != 1 || len(current.FailureDomains) != 1 {
		t.Fatalf("table with the platform's rows: %+v", current)
	}
	change(t, s, func(d *Draft) {
		d.Organisations[0].Weight = 5
		if err := d.Check(); err != nil {
			t.Errorf("rows without tokens: %v", err)
		}
	})
	// The platform withdraws the priority; no stored row may keep it.
	provided = &table.Table{Organisations: []table.Organisation{{Name: "loud", Weight: 1}, {Name: "quiet", Weight: 1}}}
	current, err = s.CurrentTable(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if current.Organisations[0].Weight != 5 || current.Organisations[1].Priority {
		t.Fatalf("table after the platform's change: %+v", current)
	}
}
