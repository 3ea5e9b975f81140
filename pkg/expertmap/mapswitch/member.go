// Package mapswitch switches the expert map of a group so that in every step (a forward
// pass) all ranks use the same map. It is meant for engines that carry out prepare, commit
// and abort orders; package holdswitch is for engines with hold, arm and go orders. Each
// rank's agent runs a Member. The members exchange messages and send orders to their own
// ranks; no store is needed. The member of the highest responsive rank coordinates.
//
// A switch is a two-phase commit. Each round of a coordinator has its own fencing token
// and runs through the phases query, resolve, load, prepare and commit. Every phase needs
// all ranks. With its reply to a query, a member promises to accept no lower fencing
// token, as in Paxos. A rank that has prepared a map does not enter the step of the
// switch, or any later one, until it has received the decision to commit or to abort. The
// fencing token of the round becomes the version of the map. A round that times out is
// replaced by one with a higher fencing token, which first resolves what the earlier round
// left prepared.
//
// The package does no I/O and reads no clock: callers pass in events and the time, and
// receive messages and orders.
package mapswitch

import (
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/expertmap"
)

// Config configures a member.
type Config struct {
	// Rank is the member's rank, Ranks the number of ranks in the group.
	Rank  int
	Ranks int
	// Incarnation is new at each start of the agent.
	Incarnation string
	// ChecksFencing is true when the engine refuses orders with a lower fencing token
	// than it has already accepted.
	ChecksFencing bool
	// Interval is the time between two pings, between two reads of the rank, and
	// between two attempts to send a message.
	Interval time.Duration
	// ElectionTimeout is the time without messages from the higher ranks after which
	// this member coordinates. One Interval is added for each higher rank.
	ElectionTimeout time.Duration
	// RoundTimeout limits each phase of a round, except for loading. After it, a new
	// round replaces the current one.
	RoundTimeout time.Duration
	// LoadTimeout limits the phase that loads experts.
	LoadTimeout time.Duration
	// OrderTimeout is the maximum time after which an order without a response can
	// still take effect.
	OrderTimeout time.Duration
	// HoldMargin is the number of steps between the next step and the switch. The
	// margin grows while it is too short for all ranks to prepare.
	HoldMargin uint64
	// Initial is the map of a group in which no rank has a map.
	Initial *expertmap.Map
}

// Output holds the actions that a member requests from its caller.
type Output struct {
	// Messages are to be sent to other members. Any of them may be lost.
	Messages []Message
	// Order, unless nil, is to be sent to the member's own rank. Its result must be
	// passed to OrderDone or OrderFailed; there is no other order until then.
	Order *Order
}

// Member is one agent's participant in the switches of its group.
type Member struct {
	cfg     Config
	started bool

	// promisedFence is the fencing token below which no query or command is accepted,
	// promisedIncarnation the incarnation of its coordinator, empty when unknown.
	promisedFence       Fence
	promisedIncarnation string
	// phase is the latest phase of the promised round that has reached this member.
	phase Phase
	// highestFence is the highest fencing token seen.
	highestFence Fence

	lastSeen []time.Time
	peers    []peer

	rank               RankState
	rankKnown          bool
	ordersBlockedUntil time.Time
	queue              []pendingOrder
	inFlight           *pendingOrder

	round    *round
	proposal *Proposal
	margin   uint64
	commits  int
	aborts   int

	nextTick      time.Time
	localMessages []Message
	out           Output
}

// peer is the state of another member according to its latest pong.
type peer struct {
	incarnation     string
	needsResolution bool
	hasResponded    bool
}

// pendingOrder is an order with the message that is to report its result.
type pendingOrder struct {
	order Order
	reply *Message
}

// Proposal is a map that is to replace the current one.
type Proposal struct {
	Map *expertmap.Map
	// Base is the version that the map was planned from. The proposal is discarded when
	// another version is current.
	Base expertmap.Version
}

// New returns a member that has just started and does not send orders yet.
func New(cfg Config) *Member {
	return &Member{cfg: cfg, lastSeen: make([]time.Time, cfg.Ranks), peers: make([]peer, cfg.Ranks), margin: cfg.HoldMargin}
}

// Status is the state of a member.
type Status struct {
	// Ready is true once the member may send orders.
	Ready bool `json:"ready"`
	// IsCoordinator is true while the member coordinates the group.
	IsCoordinator bool `json:"coordinates"`
	// Phase is the phase of the member's round, empty without one.
	Phase    Phase     `json:"phase,omitempty"`
	Promised Fence     `json:"promised"`
	Rank     RankState `json:"rank"`
	// Commits and Aborts count the decisions made in this member's rounds.
	Commits int `json:"commits"`
	Aborts  int `json:"aborts"`
}

// Status returns the state of the member.
func (m *Member) Status(now time.Time) Status {
	s := Status{Ready: m.isReady(), IsCoordinator: m.isCoordinator(now), Promised: m.promisedFence, Rank: m.rank, Commits: m.commits, Aborts: m.aborts}
	if m.round != nil {
		s.Phase = m.round.phase
	}
	return s
}

// Propose requests a switch to a map. Only a coordinator acts on it.
func (m *Member) Propose(p Proposal) { m.proposal = &p }

// HasProposal reports whether a proposal is pending.
func (m *Member) HasProposal() bool { return m.proposal != nil }

// Tick advances the time. It must be called at least once every interval.
func (m *Member) Tick(now time.Time) Output {
	if !m.started {
		m.start(now)
	}
	m.dispatchOrder(now)
	if now.Before(m.nextTick) {
		return m.flush(now)
	}
	m.nextTick = now.Add(m.cfg.Interval)
	if m.inFlight == nil && len(m.queue) == 0 && !now.Before(m.ordersBlockedUntil) {
		m.queue = append(m.queue, pendingOrder{order: Order{Kind: OrderRead, Fence: m.promisedFence}})
		m.dispatchOrder(now)
	}
	if !m.isReady() || m.isCoordinator(now) {
		m.pingAll()
	}
	m.coordinate(now)
	return m.flush(now)
}

// start initialises a member that has just started.
func (m *Member) start(now time.Time) {
	m.started = true
	for i := range m.lastSeen {
		m.lastSeen[i] = now
	}
	m.blockOrders(now)
}

// blockOrders delays further orders until unanswered ones have taken effect, and then has
// the rank read again. An engine that checks fencing tokens needs no delay, since it
// refuses the unanswered orders after the next one.
func (m *Member) blockOrders(now time.Time) {
	m.rankKnown = false
	m.queue = nil
	m.ordersBlockedUntil = now
	if !m.cfg.ChecksFencing {
		m.ordersBlockedUntil = now.Add(m.cfg.OrderTimeout)
	}
}

// isReady reports whether the member may send orders: it has read its own rank and has
// received the highest fencing token of every other member.
func (m *Member) isReady() bool {
	if !m.rankKnown {
		return false
	}
	for r := range m.peers {
		if r != m.cfg.Rank && !m.peers[r].hasResponded {
			return false
		}
	}
	return true
}

func (m *Member) pingAll() {
	for r := range m.cfg.Ranks {
		if r != m.cfg.Rank {
			m.send(Message{Kind: KindPing, To: r, Fence: m.promisedFence})
		}
	}
}

// send addresses a message. A message to the member itself is processed by flush.
func (m *Member) send(msg Message) {
	msg.From = m.cfg.Rank
	msg.FromIncarnation = m.cfg.Incarnation
	if msg.To == m.cfg.Rank {
		m.localMessages = append(m.localMessages, msg)
		return
	}
	m.out.Messages = append(m.out.Messages, msg)
}

// flush processes the member's messages to itself and returns the output.
func (m *Member) flush(now time.Time) Output {
	for len(m.localMessages) > 0 {
		msg := m.localMessages[0]
		m.localMessages = m.localMessages[1:]
		m.receive(msg, now)
	}
	out := m.out
	m.out = Output{}
	return out
}

// Receive processes a message from another member.
func (m *Member) Receive(msg Message, now time.Time) Output {
	if !m.started || msg.From < 0 || msg.From >= m.cfg.Ranks || msg.To != m.cfg.Rank {
		return Output{}
	}
	m.lastSeen[msg.From] = now
	m.receive(msg, now)
	return m.flush(now)
}

func (m *Member) receive(msg Message, now time.Time) {
	if msg.Kind == KindPing {
		m.sendPong(msg)
		return
	}
	if msg.ToIncarnation != m.cfg.Incarnation {
		return
	}
	switch msg.Kind {
	case KindPong:
		m.handlePong(msg)
	case KindQuery, KindCommand:
		m.handleCommand(msg, now)
	case KindState:
		m.handleState(msg, now)
	case KindRefused:
		m.handleRefusal(msg)
	}
}

func (m *Member) sendPong(ping Message) {
	m.send(Message{
		Kind: KindPong, To: ping.From, ToIncarnation: ping.FromIncarnation, Fence: m.promisedFence,
		NeedsResolution: m.rankKnown && !m.rank.isSettled(), CurrentVersion: m.rank.currentVersion(),
	})
}

// handlePong records the highest fencing token and the incarnation of another member. A
// member that is not ready yet also promises the token, in place of the promise that an
// earlier incarnation may have made.
func (m *Member) handlePong(pong Message) {
	m.highestFence = max(m.highestFence, pong.Fence)
	if !m.isReady() && pong.Fence > m.promisedFence {
		m.promisedFence = pong.Fence
		m.promisedIncarnation = ""
	}
	m.peers[pong.From] = peer{incarnation: pong.FromIncarnation, needsResolution: pong.NeedsResolution, hasResponded: true}
}
