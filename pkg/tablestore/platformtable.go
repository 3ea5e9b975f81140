package tablestore

import (
	"slices"

	"github.com/acaciaglade/acaciaglade/pkg/table"
)

// Check returns a CellError for every invalid cell of a table, or nil. Rows need no token if
// the platform provides the keys.
func (s *Store) Check(t *table.Table) table.CellErrors {
	cellErrors := table.Check(t)
	if s.cfg.PlatformTable == nil {
		return cellErrors
	}
	cellErrors = slices.DeleteFunc(cellErrors, func(e table.CellError) bool { return e.Column == table.ColumnTokenHash && e.Value == "" })
	if len(cellErrors) == 0 {
		return nil
	}
	return cellErrors
}

// platformTable returns the configuration that the platform provides, or nil.
func (s *Store) platformTable() *table.Table {
	if s.cfg.PlatformTable == nil {
		return nil
	}
	return s.cfg.PlatformTable()
}

// addPlatformRows adds a row for each organisation and failure domain that the platform
// provides and the table does not have.
func (s *Store) addPlatformRows(t *table.Table) {
	p := s.platformTable()
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

// withPlatformTable returns a table as operators see it: with the rows, the services and
// the priorities that the platform provides.
func (s *Store) withPlatformTable(t *table.Table) *table.Table {
	p := s.platformTable()
	if p == nil {
		return t
	}
	t = t.Clone()
	s.addPlatformRows(t)
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
