// Package rank implements the rules by which a rank of the simulated engine applies
// orders and enters steps. The package does no I/O and reads no clock.
package rank

import (
	"github.com/acaciaglade/acaciaglade/pkg/expertmap"
	"github.com/acaciaglade/acaciaglade/pkg/expertmap/mapswitch"
)

// Rank is the state of one rank of a group. A restarted rank begins with a new
// state.
type Rank struct {
	incarnation   string
	checksFencing bool
	// ignoresHold makes the rank enter a step before which it must be held. Tests use
	// it to check that they detect such a rank.
	ignoresHold bool

	fence mapswitch.Fence
	// step is the last step entered, or the first one that the rank may enter while
	// hasEntered is false.
	step       uint64
	hasEntered bool
	current    *expertmap.Map
	// next is the prepared switch, nil for none.
	next *mapswitch.Next
	// loading is the map of the latest order to load, loaded the version of the
	// latest map whose experts are in memory.
	loading *expertmap.Map
	loaded  expertmap.Version
}

// New returns a rank without a map, which enters no step until a map is installed, and
// none before the given one. A rank that checks fencing refuses orders whose fencing
// token is below the highest that it has accepted.
func New(incarnation string, checksFencing bool, step uint64) *Rank {
	return &Rank{incarnation: incarnation, checksFencing: checksFencing, step: step}
}

// State returns the state that the rank reports.
func (r *Rank) State() mapswitch.RankState {
	s := mapswitch.RankState{Incarnation: r.incarnation, Fence: r.fence, NextStep: r.step, Current: r.current, Loaded: r.loaded}
	if r.hasEntered {
		s.NextStep++
	}
	if r.next != nil {
		next := *r.next
		s.Next = &next
	}
	return s
}

// Apply carries out or refuses an order.
func (r *Rank) Apply(o *mapswitch.Order) mapswitch.OrderResult {
	if r.checksFencing {
		if o.Fence < r.fence {
			return mapswitch.OrderResult{Refused: true, State: r.State()}
		}
		r.fence = o.Fence
	}
	ok := r.carryOut(o)
	return mapswitch.OrderResult{Refused: !ok, State: r.State()}
}

func (r *Rank) carryOut(o *mapswitch.Order) bool {
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
		// OrderRead and OrderRaiseFence change nothing but the fence.
		return true
	}
}

// install gives a rank without a map the current map of the group and the committed
// next one, if any.
func (r *Rank) install(o *mapswitch.Order) bool {
	if r.current != nil {
		return true
	}
	r.current = o.Map
	if o.Next != nil {
		next := *o.Next
		r.next = &next
	}
	return true
}

// prepare refuses a switch at a step that the rank has entered, and a map that is
// not loaded.
func (r *Rank) prepare(o *mapswitch.Order) bool {
	v := o.Map.Version
	if r.current == nil {
		return false
	}
	if r.current.Version == v || (r.next != nil && r.next.Map.Version == v) {
		return true
	}
	if r.loaded != v || o.AtStep < r.State().NextStep || (r.next != nil && r.next.Committed) {
		return false
	}
	r.next = &mapswitch.Next{Map: o.Map, AtStep: o.AtStep}
	return true
}

// commit refuses a version that is neither prepared nor current.
func (r *Rank) commit(o *mapswitch.Order) bool {
	if r.current != nil && r.current.Version == o.Version {
		return true
	}
	if r.next == nil || r.next.Map.Version != o.Version {
		return false
	}
	r.next.Committed = true
	return true
}

// abort refuses a version that is committed or current.
func (r *Rank) abort(o *mapswitch.Order) bool {
	if r.next == nil || r.next.Map.Version != o.Version {
		return r.current == nil || r.current.Version != o.Version
	}
	if r.next.Committed {
		return false
	}
	r.next = nil
	return true
}

// Loading returns the map whose experts the rank is loading, or nil if there is
// none.
func (r *Rank) Loading() *expertmap.Map {
	if r.loading == nil || r.loading.Version == r.loaded {
		return nil
	}
	return r.loading
}

// FinishLoad records that the experts of the map that is being loaded are in
// memory.
func (r *Rank) FinishLoad() {
	if r.loading != nil {
		r.loaded = r.loading.Version
	}
}

// Enter enters a step, which must be the last one entered or a later one. It
// returns the map of the step, or nil if the step is an earlier one, or the rank
// has no map or is held before the step.
func (r *Rank) Enter(step uint64) *expertmap.Map {
	if r.hasEntered && step == r.step {
		return r.current
	}
	if r.current == nil || step < r.step {
		return nil
	}
	if r.next != nil && step >= r.next.AtStep {
		if !r.next.Committed && !r.ignoresHold {
			return nil
		}
		if r.next.Committed {
			r.current = r.next.Map
			r.next = nil
		}
	}
	r.step = step
	r.hasEntered = true
	return r.current
}
