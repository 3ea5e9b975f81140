package holdswitch

import (
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/expertmap"
)

// Armed is the switch that a rank is armed for: the map version and the first pass that
// uses it.
type Armed struct {
	Version expertmap.Version
	Step    uint64
}

// State is the state that a rank reports.
type State struct {
	// Incarnation is new at each start of the rank, Epoch at each formation of its
	// group.
	Incarnation string
	Epoch       uint64
	// Open is false while the group runs no requests.
	Open bool
	// Step is the number of the latest pass that has begun.
	Step uint64
	// Map is the current version. Prepared is the version whose experts are completely
	// copied, 0 for none.
	Map      expertmap.Version
	Prepared expertmap.Version
	// Armed is the scheduled switch, nil for none.
	Armed *Armed
	// Held is the pass that the rank does not begin, nil for none.
	Held *uint64
	// Age is the maximum age of the state, since engines report to other hosts with a
	// lag.
	Age time.Duration
}

// OrderKind is the kind of an order.
type OrderKind string

// Kinds of orders; see the package documentation.
const (
	// OrderRead reads the state and changes nothing.
	OrderRead    OrderKind = "read"
	OrderPrepare OrderKind = "prepare"
	OrderHold    OrderKind = "hold"
	OrderArm     OrderKind = "arm"
	OrderDisarm  OrderKind = "disarm"
	OrderGo      OrderKind = "go"
)

// Order is an order to any rank.
type Order struct {
	Kind OrderKind `json:"kind"`
	// Version is the map version to prepare, arm or disarm. Step is the pass to hold,
	// to release by a go order, or to arm for.
	Version expertmap.Version `json:"version,omitempty"`
	Step    uint64            `json:"step,omitempty"`
	// Map is the map to prepare.
	Map *expertmap.Map `json:"map,omitempty"`
	// Void is true when the prepare only voids earlier orders: the coordinator doesn't
	// wait until the rank holds the map.
	Void bool `json:"void,omitempty"`
	// Epoch is the group epoch for which the order is valid.
	Epoch uint64 `json:"epoch,omitempty"`
	// Fence is the fencing token, for engines that check it: the highest map version
	// that the coordinator knows.
	Fence uint64 `json:"fence,omitempty"`
}

// Outcome tells whether a rank carried out an order.
type Outcome string

// Outcomes of orders.
const (
	// OutcomeDone means that the rank has carried out the order, now or before.
	OutcomeDone Outcome = "done"
	// OutcomeRefused means that the rank's state does not allow the order.
	OutcomeRefused Outcome = "refused"
	// OutcomeUnanswered means that the response is missing. The order may still take
	// effect at any later time.
	OutcomeUnanswered Outcome = "unanswered"
)

// Result is the result of an order, with the rank's state after it.
type Result struct {
	Outcome Outcome
	// State is nil when the response contains no state.
	State *State
}

// Command is an order addressed to one rank.
type Command struct {
	Rank  int
	Order Order
}
