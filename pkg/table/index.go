package table

import (
	"strings"

	"github.com/acaciaglade/acaciaglade/pkg/api"
	"github.com/acaciaglade/acaciaglade/pkg/marks"
)

// Index provides look-ups in one version of the table.
type Index struct {
	table *Table
	// byToken has the organisation of each bearer token and key, by its hash.
	byToken  map[string]*Organisation
	services map[string]*Service
	routes   routes
	marks    marks.Set
}

// NewIndex builds the index of a table. The table must not change afterwards.
func NewIndex(t *Table) *Index {
	ix := &Index{
		table:    t,
		byToken:  make(map[string]*Organisation, len(t.Organisations)),
		services: make(map[string]*Service, len(t.Services)),
		routes:   newRoutes(t.Routes),
		marks:    marks.NewSet(t.Marks()),
	}
	byName := make(map[string]*Organisation, len(t.Organisations))
	for i := range t.Organisations {
		o := &t.Organisations[i]
		byName[o.Name] = o
		if o.TokenHash != "" {
			ix.byToken[o.TokenHash] = o
		}
	}
	for _, k := range t.Keys {
		if o := byName[k.Organisation]; o != nil {
			ix.byToken[k.Hash] = o
		}
	}
	for i := range t.Services {
		ix.services[t.Services[i].Name] = &t.Services[i]
	}
	return ix
}

// WithMarks returns an index of the same table with other marks.
func (ix *Index) WithMarks(m marks.Set) *Index {
	c := *ix
	c.marks = m
	return &c
}

// Marks returns the current marks, including those not yet in the table.
func (ix *Index) Marks() api.Marks { return ix.marks.Marks() }

// HasNewerMarks reports whether the index has marks that a process with the given
// version and provisional marks does not have.
func (ix *Index) HasNewerMarks(version uint64, provisional []api.ProvisionalMark) bool {
	return ix.marks.HasNewer(version, provisional)
}

// Table returns the indexed table.
func (ix *Index) Table() *Table { return ix.table }

// OrganisationByToken returns the organisation that owns a bearer token, or nil.
func (ix *Index) OrganisationByToken(token string) *Organisation {
	return ix.byToken[HashToken(token)]
}

// Service returns a service by name, or nil.
func (ix *Index) Service(name string) *Service { return ix.services[name] }

// HasRoutes reports whether requests are routed by host and path, and not by model and
// service name.
func (ix *Index) HasRoutes() bool { return len(ix.routes) > 0 }

// Route returns the route of a request, or nil.
func (ix *Index) Route(host, path string) *Route { return ix.routes.find(host, path) }

// IsOutOfService reports whether an upstream or its failure domain is out of service.
func (ix *Index) IsOutOfService(upstream, domain string) bool {
	return ix.marks.IsFailureDomainOut(domain) || ix.marks.IsUpstreamOut(upstream)
}

// IsIdempotent reports whether a request to the service may be repeated.
func (s *Service) IsIdempotent(method, path string) bool {
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
