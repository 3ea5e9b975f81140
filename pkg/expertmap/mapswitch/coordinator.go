package mapswitch

import (
	"slices"
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/expertmap"
)

// Phase is the phase of a round.
type Phase string

// Phases of a round, in order.
const (
	// PhaseQuery collects the promise and the state of every rank.
	PhaseQuery Phase = "query"
	// PhaseResolve commits or aborts what an earlier round left prepared, and installs
	// the group's maps on restarted ranks.
	PhaseResolve Phase = "resolve"
	// PhaseLoad loads the experts of the proposed map on every rank.
	PhaseLoad Phase = "load"
	// PhasePrepare makes every rank prepare the map and stop before the switch.
	PhasePrepare Phase = "prepare"
	// PhaseCommit sends the decision to every rank.
	PhaseCommit Phase = "commit"
)

// phaseOrder is the order of the phases.
var phaseOrder = []Phase{PhaseQuery, PhaseResolve, PhaseLoad, PhasePrepare, PhaseCommit}

// before reports whether a phase precedes another one.
func (p Phase) before(other Phase) bool {
	return slices.Index(phaseOrder, p) < slices.Index(phaseOrder, other)
}

// round is a coordinator's attempt to bring all ranks into the same decided state.
type round struct {
	fence    Fence
	phase    Phase
	deadline time.Time
	// incarnations are the incarnations of the members when the round started.
	incarnations []string
	// states are the latest states of the ranks, nil until their first response.
	states []*RankState
	// resolution is computed once all ranks have responded to the query.
	resolution resolution
	// target is the proposed map with the round's version, atStep the first step that
	// uses it.
	target *expertmap.Map
	atStep uint64
}

// isCoordinator reports whether no message has arrived from any higher rank for so long
// that this member coordinates. Lower ranks wait longer, so that only one starts. Rank 0,
// whose agent handles the group's requests, is the last to coordinate.
func (m *Member) isCoordinator(now time.Time) bool {
	higherRanks := m.cfg.Ranks - 1 - m.cfg.Rank
	timeout := m.cfg.ElectionTimeout + time.Duration(higherRanks)*m.cfg.Interval
	for r := m.cfg.Rank + 1; r < m.cfg.Ranks; r++ {
		if now.Sub(m.lastSeen[r]) <= timeout {
			return false
		}
	}
	return true
}

// coordinate runs once every interval. It starts a round when one is needed, replaces one
// that has timed out, and resends messages without a response.
func (m *Member) coordinate(now time.Time) {
	if !m.isReady() || !m.isCoordinator(now) {
		m.round = nil
		return
	}
	if m.round != nil && now.After(m.round.deadline) {
		m.round = nil
	}
	if m.round == nil && m.needsRound() {
		m.beginRound(now)
	}
	if m.round != nil {
		m.sendPending()
	}
}

// needsRound reports whether any rank needs resolution or a proposal is pending.
func (m *Member) needsRound() bool {
	if m.proposal != nil && m.proposal.Base != m.rank.currentVersion() && m.rank.isSettled() {
		m.proposal = nil
	}
	if !m.rank.isSettled() || m.proposal != nil {
		return true
	}
	for r, p := range m.peers {
		if r != m.cfg.Rank && p.needsResolution {
			return true
		}
	}
	return false
}

// beginRound starts a round with a fencing token above all that were seen. Its remainder
// modulo the number of ranks is the member's rank, so that the tokens of two members
// always differ.
func (m *Member) beginRound(now time.Time) {
	ranks := Fence(m.cfg.Ranks)
	base := max(m.promisedFence, m.highestFence)
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
	m.highestFence = m.round.fence
}

// sendPending sends each rank the query or order that is still due in the current phase.
func (m *Member) sendPending() {
	r := m.round
	for i := range m.cfg.Ranks {
		msg := Message{Kind: KindQuery, To: i, ToIncarnation: r.incarnations[i], Fence: r.fence}
		if r.phase == PhaseQuery {
			if r.states[i] == nil {
				m.send(msg)
			}
			continue
		}
		if order := r.nextOrder(i); order != nil {
			msg.Kind = KindCommand
			msg.Phase = r.phase
			msg.Order = order
			m.send(msg)
		}
	}
}

// nextOrder returns the order that a rank still has to carry out in a phase after the
// query, or nil.
func (r *round) nextOrder(rank int) *Order {
	state := r.states[rank]
	switch r.phase {
	case PhaseResolve:
		return r.resolution.nextOrder(state)
	case PhaseLoad:
		if state.Loaded != r.target.Version {
			return &Order{Kind: OrderLoad, Map: r.target}
		}
	case PhasePrepare:
		if next, _ := state.nextVersion(); next != r.target.Version && !state.hasDecided(r.target.Version) {
			return &Order{Kind: OrderPrepare, Map: r.target, AtStep: r.atStep}
		}
	case PhaseCommit:
		if !state.hasDecided(r.target.Version) {
			return &Order{Kind: OrderCommit, Version: r.target.Version, AtStep: r.atStep}
		}
	}
	return nil
}

// handleState records the state with which a member responded in this round.
func (m *Member) handleState(msg Message, now time.Time) {
	r := m.round
	if r == nil || msg.Fence != r.fence || msg.FromIncarnation != r.incarnations[msg.From] || msg.State == nil {
		return
	}
	if msg.Refused {
		m.abortRound()
		return
	}
	r.states[msg.From] = msg.State
	m.advancePhase(now)
}

// abortRound ends a round in which a rank refused an order. If the switch was too close
// for all ranks to prepare before it, the next one gets a larger margin.
func (m *Member) abortRound() {
	if m.round.phase == PhasePrepare {
		m.margin = min(2*m.margin+1, maxHoldMargin)
	}
	m.round = nil
}

// maxHoldMargin is the maximum margin, in steps.
const maxHoldMargin = 1024

// handleRefusal ends a round that a higher fencing token has replaced.
func (m *Member) handleRefusal(msg Message) {
	m.highestFence = max(m.highestFence, msg.Fence)
	if m.round != nil && msg.Fence >= m.round.fence {
		m.round = nil
	}
}

// advancePhase enters the next phase as long as every rank has completed the current one.
func (m *Member) advancePhase(now time.Time) {
	for m.round != nil && m.round.phaseDone() {
		m.enterNextPhase(now)
		if m.round != nil {
			m.sendPending()
		}
	}
}

func (r *round) phaseDone() bool {
	for i, state := range r.states {
		if state == nil {
			return false
		}
		if r.phase != PhaseQuery && r.nextOrder(i) != nil {
			return false
		}
	}
	return true
}

// enterNextPhase leaves a phase that every rank has completed.
func (m *Member) enterNextPhase(now time.Time) {
	r := m.round
	r.deadline = now.Add(m.cfg.RoundTimeout)
	switch r.phase {
	case PhaseQuery:
		r.resolution = resolve(r.states, m.cfg.Initial, r.fence)
		r.phase = PhaseResolve
		if r.resolution.mustAbort {
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
		m.endRound()
	}
}

// enterLoad starts the switch to the proposal, if there is one and every rank uses the
// version that it was planned from.
func (m *Member) enterLoad(now time.Time) {
	r := m.round
	if m.proposal == nil {
		m.endRound()
		return
	}
	for _, state := range r.states {
		if state.currentVersion() != m.proposal.Base || state.Next != nil {
			m.endRound()
			return
		}
	}
	r.phase = PhaseLoad
	r.target = m.proposal.Map.WithVersion(expertmap.Version(r.fence))
	r.deadline = now.Add(m.cfg.LoadTimeout)
}

// endRound ends a round after which no rank needs resolution.
func (m *Member) endRound() {
	m.round = nil
	for r := range m.peers {
		m.peers[r].needsResolution = false
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
