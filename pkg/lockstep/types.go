package lockstep

import (
	"context"
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/expertmap"
	"github.com/acaciaglade/acaciaglade/pkg/expertmap/holdswitch"
)

// Place is where a rank stands.
type Place struct {
	// Group and Epoch name one forming of a group, Rank a rank of Ranks in it.
	Group string
	Epoch uint64
	Rank  int
	Ranks int
}

// Reading is what a rank tells.
type Reading struct {
	Place Place
	State holdswitch.State
	// Pace is above 1 while the rank is slow.
	Pace float64
	// Running and Waiting are the requests at the rank.
	Running int
	Waiting int
}

// Counts is how often each expert of each layer was chosen since a rank started.
type Counts struct {
	Epoch  uint64
	Counts []uint64
}

// Held is the experts that a rank holds in its map in force, by layer.
type Held struct {
	Epoch   uint64
	Version expertmap.Version
	Experts [][]int
}

// Engine is one rank's engine.
type Engine interface {
	// Read returns the rank's state.
	Read(ctx context.Context) (Reading, error)
	// Counts returns what the rank has counted.
	Counts(ctx context.Context) (Counts, error)
	// Held returns the experts that the rank holds.
	Held(ctx context.Context) (Held, error)
	// Order gives an order, or reads the state when that is the order.
	Order(ctx context.Context, o holdswitch.Order) holdswitch.Result
}

// Member is a rank of a group as the platform lists it.
type Member struct {
	Place Place
	// Agent is the address of the agent beside the rank.
	Agent string
	// Engine is the rank's own address.
	Engine string
}

// Members lists the ranks of a group.
type Members interface {
	Members(ctx context.Context, group string) ([]Member, error)
}

// Shape is what is known of the model that a group runs.
type Shape struct {
	Layers, Experts, Slots int
	// Spare is how many experts of a layer one change may bring to a rank.
	Spare int
	// CopyTime is how long a rank copies one expert, 0 when that is unknown.
	CopyTime time.Duration
}

// Shapes tells the shape of the model that this agent's engine runs.
type Shapes interface {
	Shape(ctx context.Context) (Shape, error)
}
