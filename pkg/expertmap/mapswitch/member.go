// Package mapswitch changes the expert map of a group so that in every step all
// ranks use one map. Each rank's agent runs a Member; the members exchange
// messages and give orders to their own ranks. No store is needed.
//
// A round of a coordinator has a fencing number of its own and passes query,
// resolve, load, prepare and commit. Every phase needs all ranks. A rank that
// has prepared enters no step from the switch on until it has the decision. A
// round that stalls is replaced by one with a higher fencing number.
//
// The package is pure: events and the time go in, messages and orders come out.
package mapswitch

import (
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/expertmap"
)

// Config is the settings of a member.
type Config struct {
	// Rank is the member's rank, Ranks the number of ranks of the group.
	Rank  int
	Ranks int
	// Incarnation is fresh at each start of the agent.
	Incarnation string
	// ChecksFencing is true when the engine refuses orders with an old fencing
	// number.
	ChecksFencing bool
	// Interval is the time between two pings, reads of the rank, and resends.
	Interval time.Duration
	// ElectionTimeout is how long the higher ranks must be silent before this member
	// coordinates.
	ElectionTimeout time.Duration
	// RoundTimeout is how long a phase may last before a new round replaces it.
	RoundTimeout time.Duration
	// LoadTimeout is the same for the phase that loads experts.
	LoadTimeout time.Duration
	// OrderTimeout is the longest time after which an order whose answer is
	// missing can still take effect.
	OrderTimeout time.Duration
	// HoldMargin is how many steps ahead the switch is placed. It grows while
	// ranks find it too near.
	HoldMargin uint64
	// Initial is the map of a group in which no rank has one.
	Initial *expertmap.Map
}

// Output is what a member wants done.
type Output struct {
	// Messages are sent to other members. Any of them may be lost.
	Messages []Message
	// Order, if any, is given to the member's own rank. Its result must come back
	// through OrderDone or OrderFailed. There is never a second order before.
	Order *Order
}

// Member is one agent's part in its group's switches.
type Member struct {
	cfg     Config
	started bool

	// promised is the fencing number below which nothing is obeyed, promisedTo the
	// incarnation of the coordinator that it belongs to, empty when unknown.
	promised   Fence
	promisedTo string
	// phase is the latest phase of the promised round that reached this member.
	phase Phase
	// highest is the highest fencing number seen.
	highest Fence

	heardAt []time.Time
	peers   []peer

	rank      RankState
	rankKnown bool
	quietTill time.Time
	queue     []job
	inFlight  *job

	round    *round
	proposal *Proposal
	margin   uint64
	commits  int
	aborts   int

	nextTick time.Time
	local    []Message
	out      Output
}

// peer is what a member knows of another one in its own incarnation.
type peer struct {
	incarnation string
	unsettled   bool
	answered    bool
}

// job is an order and whom to tell its result.
type job struct {
	order Order
	reply *Message
}

// Proposal is a map that replaces another one.
type Proposal struct {
	Map *expertmap.Map
	// Base is the version that the map was planned from. The proposal is dropped
	// when another one is in force.
	Base expertmap.Version
}

// New returns a member that has just started and gives no order yet.
func New(cfg Config) *Member {
	return &Member{cfg: cfg, heardAt: make([]time.Time, cfg.Ranks), peers: make([]peer, cfg.Ranks), margin: cfg.HoldMargin}
}

// Status is a member's view of its group.
type Status struct {
	// Ready is true once the member may give orders.
	Ready bool `json:"ready"`
	// IsCoordinator is true while the member coordinates the group.
	IsCoordinator bool `json:"coordinates"`
	// Phase is the phase of the member's round, empty without one.
	Phase    Phase     `json:"phase,omitempty"`
	Promised Fence     `json:"promised"`
	Rank     RankState `json:"rank"`
	// Commits and Aborts count the decisions of this member's rounds.
	Commits int `json:"commits"`
	Aborts  int `json:"aborts"`
}

// Status returns the member's view.
func (m *Member) Status(now time.Time) Status {
	s := Status{Ready: m.ready(), IsCoordinator: m.coordinates(now), Promised: m.promised, Rank: m.rank, Commits: m.commits, Aborts: m.aborts}
	if m.round != nil {
		s.Phase = m.round.phase
	}
	return s
}

// Propose asks for a switch to a map. Only a member that coordinates acts on it.
func (m *Member) Propose(p Proposal) { m.proposal = &p }

// HasProposal reports whether a proposal waits.
func (m *Member) HasProposal() bool { return m.proposal != nil }

// Tick moves time on.
func (m *Member) Tick(now time.Time) Output {
	if !m.started {
		m.start(now)
	}
	m.dispatch(now)
	if now.Before(m.nextTick) {
		return m.flush(now)
	}
	m.nextTick = now.Add(m.cfg.Interval)
	if m.inFlight == nil && len(m.queue) == 0 && !now.Before(m.quietTill) {
		m.queue = append(m.queue, job{order: Order{Kind: OrderRead, Fence: m.promised}})
		m.dispatch(now)
	}
	if !m.ready() || m.coordinates(now) {
		m.pingAll()
	}
	m.coordinate(now)
	return m.flush(now)
}

// start begins the quiet time of a member that has just started.
func (m *Member) start(now time.Time) {
	m.started = true
	for i := range m.heardAt {
		m.heardAt[i] = now
	}
	m.beQuiet(now)
}

// beQuiet lets orders whose answers are missing take effect before the rank is
// read again. An engine that checks fencing numbers needs no such wait, since it
// refuses them after the next order.
func (m *Member) beQuiet(now time.Time) {
	m.rankKnown = false
	m.queue = nil
	m.quietTill = now
	if !m.cfg.ChecksFencing {
		m.quietTill = now.Add(m.cfg.OrderTimeout)
	}
}

// ready reports whether the member may give orders: it has read its own rank,
// and the highest fencing number of all other members.
func (m *Member) ready() bool {
	if !m.rankKnown {
		return false
	}
	for r := range m.peers {
		if r != m.cfg.Rank && !m.peers[r].answered {
			return false
		}
	}
	return true
}

func (m *Member) pingAll() {
	for r := range m.cfg.Ranks {
		if r != m.cfg.Rank {
			m.send(Message{Kind: KindPing, To: r, Fence: m.promised})
		}
	}
}

// send addresses a message. One to the member itself is received at once.
func (m *Member) send(msg Message) {
	msg.From = m.cfg.Rank
	msg.FromIncarnation = m.cfg.Incarnation
	if msg.To == m.cfg.Rank {
		m.local = append(m.local, msg)
		return
	}
	m.out.Messages = append(m.out.Messages, msg)
}

// flush receives the member's messages to itself and returns the output.
func (m *Member) flush(now time.Time) Output {
	for len(m.local) > 0 {
		msg := m.local[0]
		m.local = m.local[1:]
		m.receive(msg, now)
	}
	out := m.out
	m.out = Output{}
	return out
}

// Receive takes a message of another member.
func (m *Member) Receive(msg Message, now time.Time) Output {
	if !m.started || msg.From < 0 || msg.From >= m.cfg.Ranks || msg.To != m.cfg.Rank {
		return Output{}
	}
	m.heardAt[msg.From] = now
	m.receive(msg, now)
	return m.flush(now)
}

func (m *Member) receive(msg Message, now time.Time) {
	if msg.Kind == KindPing {
		m.pong(msg)
		return
	}
	if msg.ToIncarnation != m.cfg.Incarnation {
		return
	}
	switch msg.Kind {
	case KindPong:
		m.learn(msg)
	case KindQuery, KindCommand:
		m.obey(msg, now)
	case KindState:
		m.collect(msg, now)
	case KindRefused:
		m.refused(msg)
	}
}

func (m *Member) pong(ping Message) {
	m.send(Message{
		Kind: KindPong, To: ping.From, ToIncarnation: ping.FromIncarnation, Fence: m.promised,
		NeedsResolution: m.rankKnown && !m.rank.settled(), CurrentVersion: m.rank.uses(),
	})
}

// learn takes the highest fencing number and the incarnation of another member.
// A member that is not ready yet takes the number for its own promise, in place
// of the one that an earlier incarnation may have given.
func (m *Member) learn(pong Message) {
	m.highest = max(m.highest, pong.Fence)
	if !m.ready() && pong.Fence > m.promised {
		m.promised = pong.Fence
		m.promisedTo = ""
	}
	m.peers[pong.From] = peer{incarnation: pong.FromIncarnation, unsettled: pong.NeedsResolution, answered: true}
}
