// Package marks holds the marks that take failure domains and upstreams out of
// service. It is pure.
//
// Merging is commutative, associative and idempotent, and a version never goes
// down. Holders that have received the same marks therefore hold the same, in
// whatever order, however often and over whomever the marks came.
package marks

import (
	"cmp"
	"slices"

	"github.com/acaciaglade/acaciaglade/pkg/api"
)

// Set is the marks that one holder has in force.
type Set struct {
	held api.Marks
}

// NewSet returns a set that holds marks as they are.
func NewSet(m api.Marks) Set { return Set{held: m} }

// Marks returns the marks in force.
func (s *Set) Marks() api.Marks { return s.held }

// Merge takes what is newer in m and reports whether anything was. The newest
// table decides which marks are out and which provisional marks are settled; a
// provisional mark stays in force until it is settled.
func (s *Set) Merge(m api.Marks) bool {
	merged := s.held
	if m.Version > merged.Version {
		provisional := merged.Provisional
		merged = m
		merged.Provisional = provisional
	}
	merged.Provisional = unsettled(union(merged.Provisional, m.Provisional), merged.Settled)
	changed := merged.Version != s.held.Version || !slices.Equal(merged.Provisional, s.held.Provisional)
	s.held = merged
	return changed
}

// union returns the marks of both lists, ordered by ID.
func union(a, b []api.ProvisionalMark) []api.ProvisionalMark {
	all := slices.Concat(a, b)
	slices.SortFunc(all, func(x, y api.ProvisionalMark) int { return cmp.Compare(x.ID, y.ID) })
	return slices.CompactFunc(all, func(x, y api.ProvisionalMark) bool { return x.ID == y.ID })
}

func unsettled(provisional []api.ProvisionalMark, settled []string) []api.ProvisionalMark {
	return slices.DeleteFunc(provisional, func(p api.ProvisionalMark) bool { return slices.Contains(settled, p.ID) })
}

// IsFailureDomainOut reports whether a failure domain is out of service.
func (s *Set) IsFailureDomainOut(name string) bool {
	return slices.Contains(s.held.OutFailureDomains, name) ||
		slices.ContainsFunc(s.held.Provisional, func(p api.ProvisionalMark) bool { return p.FailureDomain == name && name != "" })
}

// IsUpstreamOut reports whether an upstream is out of service by its own mark.
func (s *Set) IsUpstreamOut(name string) bool {
	return slices.Contains(s.held.OutUpstreams, name) ||
		slices.ContainsFunc(s.held.Provisional, func(p api.ProvisionalMark) bool { return p.Upstream == name && name != "" })
}

// HasNewer reports whether the set holds marks that another holder lacks, by the
// version and the provisional marks that it says it has.
func (s *Set) HasNewer(version uint64, provisional []api.ProvisionalMark) bool {
	if s.held.Version > version {
		return true
	}
	return slices.ContainsFunc(s.held.Provisional, func(p api.ProvisionalMark) bool {
		return !slices.ContainsFunc(provisional, func(q api.ProvisionalMark) bool { return q.ID == p.ID })
	})
}
