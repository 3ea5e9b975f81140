package lockstep

import (
	"context"
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/expertmap"
	"github.com/acaciaglade/acaciaglade/pkg/expertmap/holdswitch"
)

// Membership is where a rank stands.
type Membership struct {
	// Group and Epoch name one forming of a group, Rank a rank of Ranks in it.
	Group string
	Epoch uint64
	Rank  int
	Ranks int
}

// RankStatus is what a rank tells.
type RankStatus struct {
	Place Membership
	State holdswitch.State
	// Slowdown is above 1 while the rank is slow.
	Slowdown float64 `json:"Pace"`
	// Running and Waiting are the requests at the rank.
	Running int
	Waiting int
}

// Counts is how often each expert of each layer was chosen since a rank started.
type Counts struct {
	Epoch  uint64
	Counts []uint64
}

// HeldExperts is the experts that a rank holds in its map in force, by layer.
type HeldExperts struct {
	Epoch   uint64
	Version expertmap.Version
	Experts [][]int
}

// Engine is one rank's engine.
type Engine interface {
	// Status returns the rank's state.
	Status(ctx context.Context) (RankStatus, error)
	// Counts returns what the rank has counted.
	Counts(ctx context.Context) (Counts, error)
	// HeldExperts returns the experts that the rank holds.
	HeldExperts(ctx context.Context) (HeldExperts, error)
	// SendOrder gives an order, or reads the state when that is the order.
	SendOrder(ctx context.Context, o holdswitch.Order) holdswitch.Result
}

// Member is a rank of a group as the platform lists it.
type Member struct {
	Place Membership
	// Agent is the address of the agent beside the rank.
	Agent string
	// Engine is the rank's own address.
	Engine string
}

// MemberLister lists the ranks of a group.
type MemberLister interface {
	Members(ctx context.Context, group string) ([]Member, error)
}

// ModelShape is what is known of the model that a group runs.
type ModelShape struct {
	Layers, Experts, Slots int
	// MaxNew is how many experts of a layer one change may bring to a rank.
	MaxNew int
	// CopyTime is how long a rank copies one expert, 0 when that is unknown.
	CopyTime time.Duration
}

// ModelShapeReader tells the shape of the model that this agent's engine runs.
type ModelShapeReader interface {
	ModelShape(ctx context.Context) (ModelShape, error)
}
