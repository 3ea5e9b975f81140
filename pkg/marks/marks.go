// Package marks merges the marks that take failure domains and upstreams out of service.
// It does no I/O and reads no clock.
//
// A mark is a row of the table, or provisional. A provisional mark applies from an
// operator's request on, before it is in the table. It is settled once it has been written
// into the table; from then on only the table decides.
//
// Merging is commutative, associative and idempotent, and a version never decreases.
// Processes that received the same marks therefore hold the same set, regardless of the
// order in which, how often and through which processes the marks arrived.
package marks

import (
	"cmp"
	"slices"

	"github.com/acaciaglade/acaciaglade/pkg/api"
)

// Set holds the current marks of one process.
type Set struct {
	current api.Marks
}

// NewSet returns a set that holds the given marks as they are.
func NewSet(m api.Marks) Set { return Set{current: m} }

// Marks returns the current marks.
func (s *Set) Marks() api.Marks { return s.current }

// Merge applies what is newer in m and reports whether the set changed. The newest table
// determines which failure domains and upstreams are out of service and which provisional
// marks are settled. A provisional mark applies until it is settled.
func (s *Set) Merge(m api.Marks) bool {
	merged := s.current
	if m.Version > merged.Version {
		provisional := merged.Provisional
		merged = m
		merged.Provisional = provisional
	}
	merged.Provisional = unsettled(union(merged.Provisional, m.Provisional), merged.Settled)
	changed := merged.Version != s.current.Version || !slices.Equal(merged.Provisional, s.current.Provisional)
	s.current = merged
	return changed
}

// union returns the marks of both lists, ordered by ID.
func union(a, b []api.ProvisionalMark) []api.ProvisionalMark {
	all := slices.Concat(a, b)
	slices.SortFunc(all, func(x, y api.ProvisionalMark) int { return cmp.Compare(x.ID, y.ID) })
	return slices.CompactFunc(all, func(x, y api.ProvisionalMark) bool { return x.ID == y.ID })
}

// unsettled returns the provisional marks whose IDs are not in settled.
func unsettled(provisional []api.ProvisionalMark, settled []string) []api.ProvisionalMark {
	return slices.DeleteFunc(provisional, func(p api.ProvisionalMark) bool { return slices.Contains(settled, p.ID) })
}

// IsFailureDomainOut reports whether a failure domain is out of service.
func (s *Set) IsFailureDomainOut(name string) bool {
	return slices.Contains(s.current.OutFailureDomains, name) ||
		slices.ContainsFunc(s.current.Provisional, func(p api.ProvisionalMark) bool { return p.FailureDomain == name && name != "" })
}

// IsUpstreamOut reports whether an upstream is out of service by its own mark.
func (s *Set) IsUpstreamOut(name string) bool {
	return slices.Contains(s.current.OutUpstreams, name) ||
		slices.ContainsFunc(s.current.Provisional, func(p api.ProvisionalMark) bool { return p.Upstream == name && name != "" })
}

// HasNewer reports whether the set has marks that a process with the given table version
// and provisional marks does not have.
func (s *Set) HasNewer(version uint64, provisional []api.ProvisionalMark) bool {
	if s.current.Version > version {
		return true
	}
	return slices.ContainsFunc(s.current.Provisional, func(p api.ProvisionalMark) bool {
		return !slices.ContainsFunc(provisional, func(q api.ProvisionalMark) bool { return q.ID == p.ID })
	})
}
