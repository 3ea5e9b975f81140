package mapswitch

import (
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/expertmap"
)

// obey takes a query or a command, unless a higher fencing number was promised.
func (m *Member) obey(msg Message, now time.Time) {
	if !m.ready() {
		return
	}
	if m.late(msg) {
		return
	}
	if !m.allows(msg) {
		m.send(Message{Kind: KindRefused, To: msg.From, ToIncarnation: msg.FromIncarnation, Fence: m.promised})
		return
	}
	if msg.Kind == KindQuery && msg.Fence > m.promised {
		m.promise(msg)
	}
	order := Order{Kind: OrderRaiseFence, Fence: msg.Fence}
	if msg.Kind == KindCommand {
		m.phase = msg.Phase
		order = *msg.Order
		order.Fence = msg.Fence
	}
	m.enqueue(job{order: order, reply: &Message{Kind: KindState, To: msg.From, ToIncarnation: msg.FromIncarnation, Fence: msg.Fence}})
	m.dispatch(now)
}

// ofPromise reports whether a message belongs to the very round that was
// promised.
func (m *Member) ofPromise(msg Message) bool {
	return msg.Fence == m.promised && msg.FromIncarnation == m.promisedTo
}

// late reports whether a command belongs to a phase that its round has passed
// here. The rank may have restarted since, and a late install would give it a
// map from before the switch.
func (m *Member) late(msg Message) bool {
	return msg.Kind == KindCommand && m.ofPromise(msg) && msg.Phase.before(m.phase)
}

// allows reports whether a query or command is under the promise.
func (m *Member) allows(msg Message) bool {
	return m.ofPromise(msg) || (msg.Kind == KindQuery && msg.Fence > m.promised)
}

// promise raises the promise and drops orders of lower rounds that were not
// given yet.
func (m *Member) promise(query Message) {
	m.promised = query.Fence
	m.promisedTo = query.FromIncarnation
	m.phase = PhaseQuery
	m.highest = max(m.highest, query.Fence)
	m.queue = nil
}

// enqueue adds a job unless the same one waits already.
func (m *Member) enqueue(j job) {
	for _, waiting := range m.queue {
		if waiting.order.Kind == j.order.Kind && waiting.order.Fence == j.order.Fence {
			return
		}
	}
	m.queue = append(m.queue, j)
}

// dispatch gives the next order to the rank when none is in flight.
func (m *Member) dispatch(now time.Time) {
	if m.inFlight != nil || len(m.queue) == 0 || now.Before(m.quietTill) {
		return
	}
	m.inFlight = &m.queue[0]
	m.queue = m.queue[1:]
	order := m.inFlight.order
	m.out.Order = &order
}

// OrderDone takes the result of the order in flight.
func (m *Member) OrderDone(result OrderResult, now time.Time) Output {
	done := m.inFlight
	if done == nil {
		return Output{}
	}
	m.inFlight = nil
	m.know(result.State)
	if done.reply != nil {
		reply := *done.reply
		reply.Order = &Order{Kind: done.order.Kind, Fence: done.order.Fence, Version: done.order.version()}
		reply.Refused = result.Refused
		reply.State = &result.State
		m.send(reply)
	}
	m.dispatch(now)
	return m.flush(now)
}

// know takes what the rank says of itself. Every version that was ever prepared
// had been loaded, so no later round uses its number again.
func (m *Member) know(state RankState) {
	m.rank = state
	m.rankKnown = true
	next, _ := state.prepares()
	for _, f := range []Fence{state.Fence, Fence(state.uses()), Fence(next), Fence(state.Loaded)} {
		m.highest = max(m.highest, f)
		if f > m.promised {
			m.promised = f
			m.promisedTo = ""
		}
	}
}

// OrderFailed records that the answer to the order in flight is missing. The
// order may take effect until the order timeout has passed.
func (m *Member) OrderFailed(now time.Time) Output {
	if m.inFlight == nil {
		return Output{}
	}
	m.inFlight = nil
	m.beQuiet(now)
	return m.flush(now)
}

// version returns the version that an order is about.
func (o *Order) version() expertmap.Version {
	if o.Map != nil {
		return o.Map.Version
	}
	return o.Version
}
