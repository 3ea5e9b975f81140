package mapswitch

import "github.com/acaciaglade/acaciaglade/pkg/expertmap"

// Fence is a fencing number. Each round of a coordinator has one of its own.
type Fence uint64

// Next is the map that a rank uses from a step on.
type Next struct {
	Map *expertmap.Map `json:"map"`
	// AtStep is the first step under the map. A rank does not enter it while
	// Committed is false.
	AtStep uint64 `json:"at_step"`
	// Committed is true once the rank has the decision.
	Committed bool `json:"committed"`
}

// RankState is what a rank says of itself.
type RankState struct {
	// Incarnation is fresh at each start of the rank.
	Incarnation string `json:"incarnation"`
	// Fence is the highest fencing number that the rank has obeyed. It is 0 when
	// the engine ignores fencing numbers.
	Fence Fence `json:"fence"`
	// NextStep is the first step that the rank has not entered.
	NextStep uint64 `json:"next_step"`
	// Current is the map of the current step, nil on a rank that has restarted.
	Current *expertmap.Map `json:"in_force,omitempty"`
	// Next is the map that the rank has prepared, if any.
	Next *Next `json:"next,omitempty"`
	// Loaded is the version whose experts the rank has in memory beside those in
	// force.
	Loaded expertmap.Version `json:"loaded,omitempty"`
}

// uses returns the version in force.
func (s *RankState) uses() expertmap.Version {
	if s.Current == nil {
		return 0
	}
	return s.Current.Version
}

// prepares returns the version of the next map, and whether it is committed.
func (s *RankState) prepares() (expertmap.Version, bool) {
	if s.Next == nil {
		return 0, false
	}
	return s.Next.Map.Version, s.Next.Committed
}

// has reports whether the rank has the decision to use a version.
func (s *RankState) has(v expertmap.Version) bool {
	next, committed := s.prepares()
	return s.uses() == v || (next == v && committed)
}

// settled reports whether the rank has a map and waits for no decision.
func (s *RankState) settled() bool {
	return s.Current != nil && (s.Next == nil || s.Next.Committed)
}

// OrderKind tells orders to a rank apart.
type OrderKind string

// Kinds of orders.
const (
	// OrderRead asks for the rank's state and changes nothing.
	OrderRead OrderKind = "read"
	// OrderRaiseFence raises the rank's fencing number.
	OrderRaiseFence OrderKind = "raise"
	// OrderInstall gives a restarted rank the maps of its group.
	OrderInstall OrderKind = "install"
	// OrderLoad loads the experts of a map, without effect on any step.
	OrderLoad OrderKind = "load"
	// OrderPrepare makes the rank hold a loaded map and stop before a step until
	// it has the decision.
	OrderPrepare OrderKind = "prepare"
	// OrderCommit is the decision to use the prepared map.
	OrderCommit OrderKind = "commit"
	// OrderAbort is the decision not to use the prepared map.
	OrderAbort OrderKind = "abort"
)

// Order is an order to a rank.
type Order struct {
	Kind  OrderKind `json:"kind"`
	Fence Fence     `json:"fence"`
	// Version names the map that is committed or aborted.
	Version expertmap.Version `json:"version,omitempty"`
	// Map is the map to install, load or prepare.
	Map *expertmap.Map `json:"map,omitempty"`
	// AtStep is the first step under a prepared map.
	AtStep uint64 `json:"at_step,omitempty"`
	// Next is the committed next map of an install, if any.
	Next *Next `json:"next,omitempty"`
}

// OrderResult is a rank's answer to an order.
type OrderResult struct {
	// Refused is true when the rank did not obey.
	Refused bool      `json:"refused"`
	State   RankState `json:"state"`
}

// MessageKind tells messages between members apart.
type MessageKind string

// Kinds of messages.
const (
	// KindPing shows that a member is alive and asks for a pong.
	KindPing MessageKind = "ping"
	// KindPong answers a ping with the member's highest fencing number.
	KindPong MessageKind = "pong"
	// KindQuery opens a round: it asks for the rank's state and the promise to
	// obey no lower fencing number.
	KindQuery MessageKind = "query"
	// KindCommand carries an order of the round.
	KindCommand MessageKind = "command"
	// KindState answers a query or a command with the rank's state.
	KindState MessageKind = "state"
	// KindRefused answers a query or command below the promise.
	KindRefused MessageKind = "refused"
)

// Message goes from one member of a group to another.
type Message struct {
	Kind MessageKind `json:"kind"`
	// From and To are ranks.
	From int `json:"from"`
	To   int `json:"to"`
	// FromIncarnation and ToIncarnation name the members' incarnations. Only
	// pings leave ToIncarnation empty.
	FromIncarnation string `json:"from_incarnation"`
	ToIncarnation   string `json:"to_incarnation,omitempty"`
	// Fence is the round's fencing number, or on pings, pongs and refusals the
	// highest that the sender has promised.
	Fence Fence `json:"fence"`
	// Phase is the phase of the round that a command belongs to.
	Phase Phase `json:"phase,omitempty"`
	// Order is set on commands and on the states that answer them.
	Order *Order `json:"order,omitempty"`
	// Refused is true on the answer to a command that the rank did not obey.
	Refused bool `json:"refused,omitempty"`
	// State is set on states.
	State *RankState `json:"state,omitempty"`
	// NeedsResolution is true on pongs of a rank that has no map or waits for a
	// decision.
	NeedsResolution bool `json:"unsettled,omitempty"`
	// CurrentVersion is the version in force, on pongs.
	CurrentVersion expertmap.Version `json:"uses,omitempty"`
}
