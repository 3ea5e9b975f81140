package tablestore

import (
	"slices"

	"github.com/acaciaglade/acaciaglade/pkg/table"
)

// Check returns every bad cell of a table, or nil. Rows need no token of their own
// where the platform provides the keys.
func (s *Store) Check(t *table.Table) table.Faults {
	faults := table.Check(t)
	if s.cfg.PlatformTable == nil {
		return faults
	}
	faults = slices.DeleteFunc(faults, func(f table.Fault) bool { return f.Column == table.ColumnTokenHash && f.Value == "" })
	if len(faults) == 0 {
		return nil
	}
	return faults
}

// provided returns what the platform provides, or nil.
func (s *Store) provided() *table.Table {
	if s.cfg.PlatformTable == nil {
		return nil
	}
	return s.cfg.PlatformTable()
}

// complete adds a row for each organisation and failure domain that the platform
// provides and the table lacks.
func (s *Store) complete(t *table.Table) {
	p := s.provided()
	if p == nil {
		return
	}
	rows := make(map[string]bool, len(t.Organisations))
	for _, o := range t.Organisations {
		rows[o.Name] = true
	}
	for _, o := range p.Organisations {
		if !rows[o.Name] {
			t.Organisations = append(t.Organisations, table.Organisation{Name: o.Name, Weight: o.Weight})
		}
	}
	for _, d := range p.FailureDomains {
		if !slices.ContainsFunc(t.FailureDomains, func(row table.FailureDomain) bool { return row.Name == d.Name }) {
			t.FailureDomains = append(t.FailureDomains, table.FailureDomain{Name: d.Name})
		}
	}
}

// shown returns a table as operators see it: with the rows, the services and the
// priorities that the platform provides.
func (s *Store) shown(t *table.Table) *table.Table {
	p := s.provided()
	if p == nil {
		return t
	}
	t = t.Clone()
	s.complete(t)
	priority := make(map[string]bool, len(p.Organisations))
	for _, o := range p.Organisations {
		priority[o.Name] = o.Priority
	}
	for i := range t.Organisations {
		o := &t.Organisations[i]
		o.Priority = o.Priority || priority[o.Name]
	}
	t.Services = p.Services
	return t
}
