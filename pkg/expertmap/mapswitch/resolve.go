package mapswitch

import "github.com/acaciaglade/acaciaglade/pkg/expertmap"

// resolution is the decision on the maps that a round finds. It is computed once from the
// states of all ranks, after they have promised to accept no lower fencing token.
type resolution struct {
	// version is the version whose decision some rank waits for, 0 for none.
	version expertmap.Version
	// mustCommit is true when some rank has the decision to use it, mustAbort when none
	// has.
	mustCommit bool
	mustAbort  bool
	// base and next are the maps to install on restarted ranks.
	base *expertmap.Map
	next *Next
}

// resolve commits a version that any rank has committed, and aborts any other one.
func resolve(states []*RankState, initial *expertmap.Map, fence Fence) resolution {
	var r resolution
	for _, s := range states {
		if v, committed := s.nextVersion(); v != 0 && !committed {
			r.version = v
		}
	}
	for _, s := range states {
		r.mustCommit = r.mustCommit || (r.version != 0 && s.hasDecided(r.version))
	}
	r.mustAbort = r.version != 0 && !r.mustCommit
	r.findMaps(states)
	if r.base == nil {
		r.base = initial.WithVersion(expertmap.Version(fence))
	}
	return r
}

// findMaps finds the maps for restarted ranks. A rank that has not yet reached a committed
// switch also has the map before it.
func (r *resolution) findMaps(states []*RankState) {
	for _, s := range states {
		if s.Current == nil {
			continue
		}
		if r.base == nil || s.Current.Version < r.base.Version {
			r.base = s.Current
		}
		if s.Next == nil {
			continue
		}
		if s.Next.Committed || (r.mustCommit && s.Next.Map.Version == r.version) {
			r.next = &Next{Map: s.Next.Map, AtStep: s.Next.AtStep, Committed: true}
		}
	}
}

// nextOrder returns the order that a rank still has to carry out, or nil.
func (r *resolution) nextOrder(s *RankState) *Order {
	if s.Current == nil {
		return &Order{Kind: OrderInstall, Map: r.base, Next: r.next}
	}
	v, committed := s.nextVersion()
	if v == 0 || committed {
		return nil
	}
	if r.mustCommit {
		return &Order{Kind: OrderCommit, Version: v, AtStep: s.Next.AtStep}
	}
	return &Order{Kind: OrderAbort, Version: v}
}
