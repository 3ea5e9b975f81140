package holdswitch

import (
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/expertmap"
)

// Armed is the switch that a rank has been told to make.
type Armed struct {
	Version expertmap.Version
	Step    uint64
}

// State is what a rank says of itself.
type State struct {
	// Incarnation is fresh at each start of the rank, Epoch at each forming of its
	// group.
	Incarnation string
	Epoch       uint64
	// Open is false while the group runs nothing.
	Open bool
	// Step is the last pass that was begun.
	Step uint64
	// Map is the version in force, Prepared the version that is copied whole, 0
	// for none.
	Map      expertmap.Version
	Prepared expertmap.Version
	// Armed is nil unless the rank will switch.
	Armed *Armed
	// Held is the pass that the rank keeps from beginning, nil for none.
	Held *uint64
	// Age is how old the state may be. Engines tell other hosts of the past.
	Age time.Duration
}

// OrderKind tells orders apart.
type OrderKind string

// Kinds of orders.
const (
	// OrderRead reads the state and changes nothing.
	OrderRead    OrderKind = "read"
	OrderPrepare OrderKind = "prepare"
	OrderHold    OrderKind = "hold"
	OrderArm     OrderKind = "arm"
	OrderDisarm  OrderKind = "disarm"
	OrderGo      OrderKind = "go"
)

// Order is an order to a rank.
type Order struct {
	Kind    OrderKind         `json:"kind"`
	Version expertmap.Version `json:"version,omitempty"`
	Step    uint64            `json:"step,omitempty"`
	// Map is the map to prepare.
	Map *expertmap.Map `json:"map,omitempty"`
	// Void is true when the map is prepared only to void earlier orders: nobody waits
	// until the rank holds it.
	Void bool `json:"void,omitempty"`
	// Epoch is that of the group for which the order is meant.
	Epoch uint64 `json:"epoch,omitempty"`
	// Fence is the fencing token, for engines that check it.
	Fence uint64 `json:"fence,omitempty"`
}

// Outcome is what became of an order.
type Outcome string

// Verdicts.
const (
	// OutcomeDone means that the rank has obeyed, or had done so before.
	OutcomeDone Outcome = "done"
	// OutcomeRefused means that the order did not fit the rank's state.
	OutcomeRefused Outcome = "refused"
	// OutcomeUnanswered means that the order may be carried out at any later time.
	OutcomeUnanswered Outcome = "unanswered"
)

// Result is the answer to an order, with the rank's state after it.
type Result struct {
	Outcome Outcome
	// State is nil when the rank was not read.
	State *State
}

// Command is an order to one rank.
type Command struct {
	Rank  int
	Order Order
}
