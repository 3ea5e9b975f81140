// Package rank holds the rules by which a rank of the engine stand-in obeys
// orders and enters steps. It is pure.
package rank

import (
	"github.com/acaciaglade/acaciaglade/pkg/expertmap"
	"github.com/acaciaglade/acaciaglade/pkg/expertmap/mapswitch"
)

// Rank is one rank of a group. It loses everything when it restarts.
type Rank struct {
	incarnation   string
	checksFencing bool
	ignoresHold   bool

	fence   mapswitch.Fence
	step    uint64
	entered bool
	inForce *expertmap.Map
	next    *mapswitch.Next
	loading *expertmap.Map
	loaded  expertmap.Version
}

// New returns a rank without a map, which enters no step. A rank that checks
// fencing refuses orders whose fencing number is below the highest it obeyed.
func New(incarnation string, checksFencing bool, step uint64) *Rank {
	return &Rank{incarnation: incarnation, checksFencing: checksFencing, step: step}
}

// State returns what the rank says of itself.
func (r *Rank) State() mapswitch.RankState {
	s := mapswitch.RankState{Incarnation: r.incarnation, Fence: r.fence, NextStep: r.step, Current: r.inForce, Loaded: r.loaded}
	if r.entered {
		s.NextStep++
	}
	if r.next != nil {
		next := *r.next
		s.Next = &next
	}
	return s
}

// Apply obeys or refuses an order.
func (r *Rank) Apply(o *mapswitch.Order) mapswitch.OrderResult {
	if r.checksFencing {
		if o.Fence < r.fence {
			return mapswitch.OrderResult{Refused: true, State: r.State()}
		}
		r.fence = o.Fence
	}
	ok := r.obey(o)
	return mapswitch.OrderResult{Refused: !ok, State: r.State()}
}

func (r *Rank) obey(o *mapswitch.Order) bool {
	switch o.Kind {
	case mapswitch.OrderInstall:
		return r.install(o)
	case mapswitch.OrderLoad:
		r.loading = o.Map
		return true
	case mapswitch.OrderPrepare:
		return r.prepare(o)
	case mapswitch.OrderCommit:
		return r.commit(o)
	case mapswitch.OrderAbort:
		return r.abort(o)
	default:
		return true
	}
}

func (r *Rank) install(o *mapswitch.Order) bool {
	if r.inForce != nil {
		return true
	}
	r.inForce = o.Map
	if o.Next != nil {
		next := *o.Next
		r.next = &next
	}
	return true
}

// prepare refuses a step that was entered already, and a map that is not loaded.
func (r *Rank) prepare(o *mapswitch.Order) bool {
	v := o.Map.Version
	if r.inForce == nil {
		return false
	}
	if r.inForce.Version == v || (r.next != nil && r.next.Map.Version == v) {
		return true
	}
	if r.loaded != v || o.AtStep < r.State().NextStep || (r.next != nil && r.next.Committed) {
		return false
	}
	r.next = &mapswitch.Next{Map: o.Map, AtStep: o.AtStep}
	return true
}

func (r *Rank) commit(o *mapswitch.Order) bool {
	if r.inForce != nil && r.inForce.Version == o.Version {
		return true
	}
	if r.next == nil || r.next.Map.Version != o.Version {
		return false
	}
	r.next.Committed = true
	return true
}

func (r *Rank) abort(o *mapswitch.Order) bool {
	if r.next == nil || r.next.Map.Version != o.Version {
		return r.inForce == nil || r.inForce.Version != o.Version
	}
	if r.next.Committed {
		return false
	}
	r.next = nil
	return true
}

// Loading returns the map whose experts the rank is loading, nil when there is
// none.
func (r *Rank) Loading() *expertmap.Map {
	if r.loading == nil || r.loading.Version == r.loaded {
		return nil
	}
	return r.loading
}

// FinishLoad records that the experts of the map being loaded are in memory.
func (r *Rank) FinishLoad() {
	if r.loading != nil {
		r.loaded = r.loading.Version
	}
}

// Enter enters a step, which must be the last one entered or a later one. It
// returns the map of the step, or nil when the rank has no map or is held before
// the step.
func (r *Rank) Enter(step uint64) *expertmap.Map {
	if r.entered && step == r.step {
		return r.inForce
	}
	if r.inForce == nil || step < r.step {
		return nil
	}
	if r.next != nil && step >= r.next.AtStep {
		if !r.next.Committed && !r.ignoresHold {
			return nil
		}
		if r.next.Committed {
			r.inForce = r.next.Map
			r.next = nil
		}
	}
	r.step = step
	r.entered = true
	return r.inForce
}
