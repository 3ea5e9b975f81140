package mapswitch

import (
	"slices"
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/expertmap"
)

// Phase is the phase of a round.
type Phase string

// Phases of a round, in their order.
const (
	// PhaseQuery collects the promise and state of every rank.
	PhaseQuery Phase = "query"
	// PhaseResolve commits or aborts what an earlier round left prepared, and
	// gives restarted ranks their map.
	PhaseResolve Phase = "resolve"
	// PhaseLoad loads the experts of the proposed map on every rank.
	PhaseLoad Phase = "load"
	// PhasePrepare makes every rank hold the map and stop before the switch.
	PhasePrepare Phase = "prepare"
	// PhaseCommit tells every rank the decision.
	PhaseCommit Phase = "commit"
)

// phaseOrder is the order of the phases.
var phaseOrder = []Phase{PhaseQuery, PhaseResolve, PhaseLoad, PhasePrepare, PhaseCommit}

// before reports whether a phase comes before another one.
func (p Phase) before(other Phase) bool {
	return slices.Index(phaseOrder, p) < slices.Index(phaseOrder, other)
}

// round is a coordinator's attempt to bring all ranks to one decided state.
type round struct {
	fence    Fence
	phase    Phase
	deadline time.Time
	// incarnations are those of the members when the round began.
	incarnations []string
	// states are the newest states of the ranks, nil until they answer.
	states []*RankState
	// resolution is fixed when all ranks have answered the query.
	resolution resolution
	// target is the proposed map under the round's version, atStep the switch.
	target *expertmap.Map
	atStep uint64
}

// coordinates reports whether all higher ranks have been silent for so long that
// this member leads. Lower ranks wait longer, so that one starts alone. Rank 0,
// whose agent carries the group's requests, leads last.
func (m *Member) coordinates(now time.Time) bool {
	above := m.cfg.Ranks - 1 - m.cfg.Rank
	patience := m.cfg.ElectionTimeout + time.Duration(above)*m.cfg.Interval
	for r := m.cfg.Rank + 1; r < m.cfg.Ranks; r++ {
		if now.Sub(m.heardAt[r]) <= patience {
			return false
		}
	}
	return true
}

// coordinate runs once every interval. It begins a round when one is needed,
// replaces one that has stalled, and resends what has no answer.
func (m *Member) coordinate(now time.Time) {
	if !m.ready() || !m.coordinates(now) {
		m.round = nil
		return
	}
	if m.round != nil && now.After(m.round.deadline) {
		m.round = nil
	}
	if m.round == nil && m.needed() {
		m.begin(now)
	}
	if m.round != nil {
		m.drive()
	}
}

// needed reports whether any rank is unsettled or a proposal waits.
func (m *Member) needed() bool {
	if m.proposal != nil && m.proposal.Base != m.rank.uses() && m.rank.settled() {
		m.proposal = nil
	}
	if !m.rank.settled() || m.proposal != nil {
		return true
	}
	for r, p := range m.peers {
		if r != m.cfg.Rank && p.unsettled {
			return true
		}
	}
	return false
}

// begin opens a round with a fencing number above all that were seen. The rank
// in its remainder keeps those of two members apart.
func (m *Member) begin(now time.Time) {
	ranks := Fence(m.cfg.Ranks)
	base := max(m.promised, m.highest)
	m.round = &round{
		fence:        (base/ranks+1)*ranks + Fence(m.cfg.Rank),
		phase:        PhaseQuery,
		deadline:     now.Add(m.cfg.RoundTimeout),
		incarnations: make([]string, m.cfg.Ranks),
		states:       make([]*RankState, m.cfg.Ranks),
	}
	for r := range m.peers {
		m.round.incarnations[r] = m.peers[r].incarnation
	}
	m.round.incarnations[m.cfg.Rank] = m.cfg.Incarnation
	m.highest = m.round.fence
}

// drive sends each rank what it still has to do in the round's phase.
func (m *Member) drive() {
	r := m.round
	for i := range m.cfg.Ranks {
		msg := Message{Kind: KindQuery, To: i, ToIncarnation: r.incarnations[i], Fence: r.fence}
		if r.phase == PhaseQuery {
			if r.states[i] == nil {
				m.send(msg)
			}
			continue
		}
		if order := r.due(i); order != nil {
			msg.Kind = KindCommand
			msg.Phase = r.phase
			msg.Order = order
			m.send(msg)
		}
	}
}

// due returns what a rank still has to do in a phase after the query.
func (r *round) due(rank int) *Order {
	state := r.states[rank]
	switch r.phase {
	case PhaseResolve:
		return r.resolution.due(state)
	case PhaseLoad:
		if state.Loaded != r.target.Version {
			return &Order{Kind: OrderLoad, Map: r.target}
		}
	case PhasePrepare:
		if next, _ := state.prepares(); next != r.target.Version && !state.has(r.target.Version) {
			return &Order{Kind: OrderPrepare, Map: r.target, AtStep: r.atStep}
		}
	case PhaseCommit:
		if !state.has(r.target.Version) {
			return &Order{Kind: OrderCommit, Version: r.target.Version, AtStep: r.atStep}
		}
	}
	return nil
}

// collect takes the state that a member of the round answered.
func (m *Member) collect(msg Message, now time.Time) {
	r := m.round
	if r == nil || msg.Fence != r.fence || msg.FromIncarnation != r.incarnations[msg.From] || msg.State == nil {
		return
	}
	if msg.Refused {
		m.giveUp()
		return
	}
	r.states[msg.From] = msg.State
	m.advance(now)
}

// giveUp ends a round in which a rank did not obey. When the switch was too near
// for all ranks to prepare before it, the next one is placed further away.
func (m *Member) giveUp() {
	if m.round.phase == PhasePrepare {
		m.margin = min(2*m.margin+1, maxHoldMargin)
	}
	m.round = nil
}

// maxHoldMargin is the furthest that a switch is placed ahead, in steps.
const maxHoldMargin = 1024

// refused gives up a round that a higher fencing number has replaced.
func (m *Member) refused(msg Message) {
	m.highest = max(m.highest, msg.Fence)
	if m.round != nil && msg.Fence >= m.round.fence {
		m.round = nil
	}
}

// advance enters the next phase once every rank has done its part.
func (m *Member) advance(now time.Time) {
	for m.round != nil && m.round.phaseDone() {
		m.enter(now)
		if m.round != nil {
			m.drive()
		}
	}
}

func (r *round) phaseDone() bool {
	for i, state := range r.states {
		if state == nil {
			return false
		}
		if r.phase != PhaseQuery && r.due(i) != nil {
			return false
		}
	}
	return true
}

// enter leaves a phase that every rank has passed.
func (m *Member) enter(now time.Time) {
	r := m.round
	r.deadline = now.Add(m.cfg.RoundTimeout)
	switch r.phase {
	case PhaseQuery:
		r.resolution = resolve(r.states, m.cfg.Initial, r.fence)
		r.phase = PhaseResolve
		if r.resolution.aborts {
			m.aborts++
		}
	case PhaseResolve:
		m.enterLoad(now)
	case PhaseLoad:
		r.phase = PhasePrepare
		r.atStep = m.switchStep()
	case PhasePrepare:
		r.phase = PhaseCommit
		m.commits++
	case PhaseCommit:
		m.proposal = nil
		m.margin = m.cfg.HoldMargin
		m.end()
	}
}

// enterLoad begins the switch to the proposal, if there is one and every rank
// uses the map that it was planned from.
func (m *Member) enterLoad(now time.Time) {
	r := m.round
	if m.proposal == nil {
		m.end()
		return
	}
	for _, state := range r.states {
		if state.uses() != m.proposal.Base || state.Next != nil {
			m.end()
			return
		}
	}
	r.phase = PhaseLoad
	r.target = m.proposal.Map.WithVersion(expertmap.Version(r.fence))
	r.deadline = now.Add(m.cfg.LoadTimeout)
}

// end closes a round in which every rank is settled.
func (m *Member) end() {
	m.round = nil
	for r := range m.peers {
		m.peers[r].unsettled = false
	}
}

// switchStep returns a step that no rank has entered yet.
func (m *Member) switchStep() uint64 {
	step := uint64(0)
	for _, state := range m.round.states {
		step = max(step, state.NextStep)
	}
	return step + m.margin
}
