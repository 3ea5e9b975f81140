package lockstep

import (
	"context"
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/expertmap"
	"github.com/acaciaglade/acaciaglade/pkg/expertmap/holdswitch"
)

// Membership identifies a rank within one formation of a group. A group is formed again,
// in a new epoch, once all its ranks run again after a failure.
type Membership struct {
	// Group is the name of the group, Epoch the number of the formation. Rank is a rank
	// from 0 to Ranks-1.
	Group string
	Epoch uint64
	Rank  int
	Ranks int
}

// RankStatus is the status that a rank reports.
type RankStatus struct {
	Membership Membership `json:"Place"`
	State      holdswitch.State
	// Slowdown is the factor by which the rank takes longer than a healthy one, above 1
	// while it is slow.
	Slowdown float64 `json:"Pace"`
	// Running and Waiting count the requests at the rank.
	Running int
	Waiting int
}

// Counts is how often each expert of each layer was selected since a rank started: the
// counts of all experts of the first layer, then of the second, and so on.
type Counts struct {
	Epoch  uint64
	Counts []uint64
}

// HeldExperts lists, by layer, the experts that a rank holds in its current map.
type HeldExperts struct {
	Epoch   uint64
	Version expertmap.Version
	Experts [][]int
}

// Engine is one rank's engine.
type Engine interface {
	// Status returns the rank's status.
	Status(ctx context.Context) (RankStatus, error)
	// Counts returns the rank's counts of expert selections.
	Counts(ctx context.Context) (Counts, error)
	// HeldExperts returns the experts that the rank holds.
	HeldExperts(ctx context.Context) (HeldExperts, error)
	// SendOrder sends an order. An order of kind OrderRead only reads the state.
	SendOrder(ctx context.Context, o holdswitch.Order) holdswitch.Result
}

// Member is a rank of a group as the platform lists it.
type Member struct {
	Membership Membership
	// Agent is the address of the agent beside the rank.
	Agent string
	// Engine is the address of the rank's engine.
	Engine string
}

// MemberLister lists the ranks of a group.
type MemberLister interface {
	Members(ctx context.Context, group string) ([]Member, error)
}

// ModelShape describes the experts of the model that a group runs.
type ModelShape struct {
	Layers, Experts, Slots int
	// MaxNew is how many experts of a layer one switch may add to a rank.
	MaxNew int
	// CopyTime is the time that a rank needs to copy one expert, 0 if it is unknown.
	CopyTime time.Duration
}

// ModelShapeReader reads the shape of the model that this agent's engine runs.
type ModelShapeReader interface {
	ModelShape(ctx context.Context) (ModelShape, error)
}
