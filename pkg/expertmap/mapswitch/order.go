package mapswitch

import "github.com/acaciaglade/acaciaglade/pkg/expertmap"

// Fence is a fencing token. Each round of a coordinator has its own.
type Fence uint64

// Next is the map that a rank uses from a future step on.
type Next struct {
	Map *expertmap.Map `json:"map"`
	// AtStep is the first step that uses the map. A rank does not enter it while
	// Committed is false.
	AtStep uint64 `json:"at_step"`
	// Committed is true once the rank has received the decision.
	Committed bool `json:"committed"`
}

// RankState is the state that a rank reports.
type RankState struct {
	// Incarnation is new at each start of the rank.
	Incarnation string `json:"incarnation"`
	// Fence is the highest fencing token of an order that the rank has carried out. It
	// is 0 when the engine ignores fencing tokens.
	Fence Fence `json:"fence"`
	// NextStep is the first step that the rank has not entered yet.
	NextStep uint64 `json:"next_step"`
	// Current is the map of the current step, nil on a rank that has restarted.
	Current *expertmap.Map `json:"in_force,omitempty"`
	// Next is the map that the rank has prepared, nil for none.
	Next *Next `json:"next,omitempty"`
	// Loaded is the version whose experts the rank has loaded in addition to those of
	// the current map.
	Loaded expertmap.Version `json:"loaded,omitempty"`
}

// currentVersion returns the current version, 0 for none.
func (s *RankState) currentVersion() expertmap.Version {
	if s.Current == nil {
		return 0
	}
	return s.Current.Version
}

// nextVersion returns the version of the next map, 0 for none, and whether it is
// committed.
func (s *RankState) nextVersion() (expertmap.Version, bool) {
	if s.Next == nil {
		return 0, false
	}
	return s.Next.Map.Version, s.Next.Committed
}

// hasDecided reports whether the rank uses a version or has the decision to use it.
func (s *RankState) hasDecided(v expertmap.Version) bool {
	next, committed := s.nextVersion()
	return s.currentVersion() == v || (next == v && committed)
}

// isSettled reports whether the rank has a map and does not wait for a decision.
func (s *RankState) isSettled() bool {
	return s.Current != nil && (s.Next == nil || s.Next.Committed)
}

// OrderKind is the kind of an order to a rank.
type OrderKind string

// Kinds of orders.
const (
	// OrderRead reads the rank's state and changes nothing.
	OrderRead OrderKind = "read"
	// OrderRaiseFence raises the rank's fencing token.
	OrderRaiseFence OrderKind = "raise"
	// OrderInstall installs the group's maps on a restarted rank.
	OrderInstall OrderKind = "install"
	// OrderLoad loads the experts of a map, without any effect on steps.
	OrderLoad OrderKind = "load"
	// OrderPrepare makes the rank prepare a loaded map and stop before a step until it
	// has received the decision.
	OrderPrepare OrderKind = "prepare"
	// OrderCommit delivers the decision to use the prepared map.
	OrderCommit OrderKind = "commit"
	// OrderAbort delivers the decision not to use the prepared map.
	OrderAbort OrderKind = "abort"
)

// Order is an order to a rank.
type Order struct {
	Kind  OrderKind `json:"kind"`
	Fence Fence     `json:"fence"`
	// Version is the version that is committed or aborted.
	Version expertmap.Version `json:"version,omitempty"`
	// Map is the map to install, load or prepare.
	Map *expertmap.Map `json:"map,omitempty"`
	// AtStep is the first step that uses a prepared map.
	AtStep uint64 `json:"at_step,omitempty"`
	// Next is the committed next map of an install, nil for none.
	Next *Next `json:"next,omitempty"`
}

// OrderResult is the result of an order.
type OrderResult struct {
	// Refused is true when the rank refused the order.
	Refused bool      `json:"refused"`
	State   RankState `json:"state"`
}

// MessageKind is the kind of a message between members.
type MessageKind string

// Kinds of messages.
const (
	// KindPing shows that the sender is alive and requests a pong.
	KindPing MessageKind = "ping"
	// KindPong responds to a ping with the sender's promised fencing token.
	KindPong MessageKind = "pong"
	// KindQuery starts a round. It requests the rank's state and the promise to accept
	// no lower fencing token.
	KindQuery MessageKind = "query"
	// KindCommand carries an order of a round.
	KindCommand MessageKind = "command"
	// KindState responds to a query or a command with the rank's state.
	KindState MessageKind = "state"
	// KindRefused responds to a query or command that the promise does not allow.
	KindRefused MessageKind = "refused"
)

// Message is a message from one member of a group to another.
type Message struct {
	Kind MessageKind `json:"kind"`
	// From and To are ranks.
	From int `json:"from"`
	To   int `json:"to"`
	// FromIncarnation and ToIncarnation are the incarnations of the two members. Only
	// pings have no ToIncarnation.
	FromIncarnation string `json:"from_incarnation"`
	ToIncarnation   string `json:"to_incarnation,omitempty"`
	// Fence is the round's fencing token; in pings, pongs and refusals it is the token
	// that the sender has promised.
	Fence Fence `json:"fence"`
	// Phase is the phase of the round to which a command belongs.
	Phase Phase `json:"phase,omitempty"`
	// Order is the order of a command. In a state it names the order that the rank
	// responded to, without its maps.
	Order *Order `json:"order,omitempty"`
	// Refused is true in a state when the rank refused the order.
	Refused bool `json:"refused,omitempty"`
	// State is set in messages of kind KindState.
	State *RankState `json:"state,omitempty"`
	// NeedsResolution is true in pongs of a member whose rank has no map or waits for a
	// decision.
	NeedsResolution bool `json:"unsettled,omitempty"`
	// CurrentVersion is the current version of the sender's rank, in pongs.
	CurrentVersion expertmap.Version `json:"uses,omitempty"`
}
