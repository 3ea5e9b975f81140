package table

import (
	"slices"
	"strings"
)

// Index answers look-ups on one version of the table.
type Index struct {
	table        *Table
	byToken      map[string]*Organisation
	services     map[string]*Service
	outDomains   []string
	outUpstreams []string
}

// NewIndex builds the index of a table. The table must not change afterwards.
func NewIndex(t *Table) *Index {
	marks := t.Marks()
	ix := &Index{
		table:        t,
		byToken:      make(map[string]*Organisation, len(t.Organisations)),
		services:     make(map[string]*Service, len(t.Services)),
		outDomains:   marks.OutFailureDomains,
		outUpstreams: marks.OutUpstreams,
	}
	for i := range t.Organisations {
		ix.byToken[t.Organisations[i].TokenHash] = &t.Organisations[i]
	}
	for i := range t.Services {
		ix.services[t.Services[i].Name] = &t.Services[i]
	}
	return ix
}

// Table returns the indexed table.
func (ix *Index) Table() *Table { return ix.table }

// OrganisationByToken returns the organisation that owns a bearer token, or nil.
func (ix *Index) OrganisationByToken(token string) *Organisation {
	return ix.byToken[HashToken(token)]
}

// Service returns a service by name, or nil.
func (ix *Index) Service(name string) *Service { return ix.services[name] }

// Out reports whether an upstream or its failure domain is out of service.
func (ix *Index) Out(upstream, domain string) bool {
	return slices.Contains(ix.outDomains, domain) || slices.Contains(ix.outUpstreams, upstream)
}

// Idempotent reports whether a call of the service may be repeated.
func (s *Service) Idempotent(method, path string) bool {
	if s.Kind == KindModel || method == "GET" || method == "HEAD" {
		return true
	}
	for _, prefix := range s.IdempotentPaths {
		if path == prefix || strings.HasPrefix(path, strings.TrimSuffix(prefix, "/")+"/") {
			return true
		}
	}
	return false
}
