package mapswitch

import (
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/expertmap"
)

// handleCommand processes a query or command unless the promise does not allow it.
func (m *Member) handleCommand(msg Message, now time.Time) {
	if !m.isReady() {
		return
	}
	if m.isLate(msg) {
		return
	}
	if !m.isAllowed(msg) {
		m.send(Message{Kind: KindRefused, To: msg.From, ToIncarnation: msg.FromIncarnation, Fence: m.promisedFence})
		return
	}
	if msg.Kind == KindQuery && msg.Fence > m.promisedFence {
		m.raisePromise(msg)
	}
	order := Order{Kind: OrderRaiseFence, Fence: msg.Fence}
	if msg.Kind == KindCommand {
		m.phase = msg.Phase
		order = *msg.Order
		order.Fence = msg.Fence
	}
	m.enqueue(pendingOrder{order: order, reply: &Message{Kind: KindState, To: msg.From, ToIncarnation: msg.FromIncarnation, Fence: msg.Fence}})
	m.dispatchOrder(now)
}

// belongsToPromise reports whether a message belongs to the round that was promised.
func (m *Member) belongsToPromise(msg Message) bool {
	return msg.Fence == m.promisedFence && msg.FromIncarnation == m.promisedIncarnation
}

// isLate reports whether a command belongs to a phase that its round has already left at
// this member. The rank may have restarted since, and a late install would give it a map
// from before the switch.
func (m *Member) isLate(msg Message) bool {
	return msg.Kind == KindCommand && m.belongsToPromise(msg) && msg.Phase.before(m.phase)
}

// isAllowed reports whether the promise allows a query or command.
func (m *Member) isAllowed(msg Message) bool {
	return m.belongsToPromise(msg) || (msg.Kind == KindQuery && msg.Fence > m.promisedFence)
}

// raisePromise promises a higher fencing token and discards queued orders of earlier
// rounds.
func (m *Member) raisePromise(query Message) {
	m.promisedFence = query.Fence
	m.promisedIncarnation = query.FromIncarnation
	m.phase = PhaseQuery
	m.highestFence = max(m.highestFence, query.Fence)
	m.queue = nil
}

// enqueue adds an order unless the same one is already queued.
func (m *Member) enqueue(j pendingOrder) {
	for _, waiting := range m.queue {
		if waiting.order.Kind == j.order.Kind && waiting.order.Fence == j.order.Fence {
			return
		}
	}
	m.queue = append(m.queue, j)
}

// dispatchOrder sends the next queued order to the rank when none is in flight.
func (m *Member) dispatchOrder(now time.Time) {
	if m.inFlight != nil || len(m.queue) == 0 || now.Before(m.ordersBlockedUntil) {
		return
	}
	m.inFlight = &m.queue[0]
	m.queue = m.queue[1:]
	order := m.inFlight.order
	m.out.Order = &order
}

// OrderDone processes the result of the order in flight.
func (m *Member) OrderDone(result OrderResult, now time.Time) Output {
	done := m.inFlight
	if done == nil {
		return Output{}
	}
	m.inFlight = nil
	m.updateRank(result.State)
	if done.reply != nil {
		reply := *done.reply
		reply.Order = &Order{Kind: done.order.Kind, Fence: done.order.Fence, Version: done.order.version()}
		reply.Refused = result.Refused
		reply.State = &result.State
		m.send(reply)
	}
	m.dispatchOrder(now)
	return m.flush(now)
}

// updateRank records the state that the rank reports. Every version that was ever
// prepared was loaded before, so no later round reuses its fencing token.
func (m *Member) updateRank(state RankState) {
	m.rank = state
	m.rankKnown = true
	next, _ := state.nextVersion()
	for _, f := range []Fence{state.Fence, Fence(state.currentVersion()), Fence(next), Fence(state.Loaded)} {
		m.highestFence = max(m.highestFence, f)
		if f > m.promisedFence {
			m.promisedFence = f
			m.promisedIncarnation = ""
		}
	}
}

// OrderFailed records that the order in flight has no response. It may take effect until
// OrderTimeout has passed.
func (m *Member) OrderFailed(now time.Time) Output {
	if m.inFlight == nil {
		return Output{}
	}
	m.inFlight = nil
	m.blockOrders(now)
	return m.flush(now)
}

// version returns the version that an order concerns.
func (o *Order) version() expertmap.Version {
	if o.Map != nil {
		return o.Map.Version
	}
	return o.Version
}
