package mapswitch

import "github.com/acaciaglade/acaciaglade/pkg/expertmap"

// resolution is what becomes of the maps that a round finds. It is computed once
// from the states of all ranks, after they have promised to obey no lower round.
type resolution struct {
	// version is the version that some rank waits for the decision of, 0 for none.
	version expertmap.Version
	// commits is true when a rank has the decision to use it, aborts when none has.
	commits bool
	aborts  bool
	// base and next are what a restarted rank gets.
	base *expertmap.Map
	next *Next
}

// resolve decides: a version that any rank has committed is committed, any other
// one is aborted.
func resolve(states []*RankState, initial *expertmap.Map, fence Fence) resolution {
	var r resolution
	for _, s := range states {
		if v, committed := s.prepares(); v != 0 && !committed {
			r.version = v
		}
	}
	for _, s := range states {
		r.commits = r.commits || (r.version != 0 && s.has(r.version))
	}
	r.aborts = r.version != 0 && !r.commits
	r.plan(states)
	if r.base == nil {
		r.base = initial.WithVersion(expertmap.Version(fence))
	}
	return r
}

// plan finds the maps for restarted ranks. A rank that has not yet passed a
// committed switch knows the map before it as well.
func (r *resolution) plan(states []*RankState) {
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
		if s.Next.Committed || (r.commits && s.Next.Map.Version == r.version) {
			r.next = &Next{Map: s.Next.Map, AtStep: s.Next.AtStep, Committed: true}
		}
	}
}

// due returns what a rank still has to do, or nil.
func (r *resolution) due(s *RankState) *Order {
	if s.Current == nil {
		return &Order{Kind: OrderInstall, Map: r.base, Next: r.next}
	}
	v, committed := s.prepares()
	if v == 0 || committed {
		return nil
	}
	if r.commits {
		return &Order{Kind: OrderCommit, Version: v, AtStep: s.Next.AtStep}
	}
	return &Order{Kind: OrderAbort, Version: v}
}
