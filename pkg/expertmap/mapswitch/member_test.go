package mapswitch

import (
	"testing"
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/expertmap"
)

var (
	begin   = time.Unix(1000, 0)
	initial = expertmap.Contiguous(expertmap.Size{Ranks: 2, Layers: 1, Experts: 2, Slots: 2})
)

func newMember() *Member {
	return New(Config{
		Rank: 1, Ranks: 2, Incarnation: "new", Interval: time.Millisecond, ElectionTimeout: time.Second,
		RoundTimeout: time.Second, LoadTimeout: time.Second, OrderTimeout: 10 * time.Millisecond, Initial: initial,
	})
}

// readyMember returns a member that has read its rank and has received a pong from the
// other member, which has promised a fencing token.
func readyMember(promisedFence Fence) (*Member, time.Time) {
	m := newMember()
	m.Tick(begin)
	now := begin.Add(10 * time.Millisecond)
	m.Tick(now)
	m.OrderDone(OrderResult{State: RankState{Incarnation: "rank"}}, now)
	m.Receive(Message{Kind: KindPong, From: 0, To: 1, FromIncarnation: "peer", ToIncarnation: "new", Fence: promisedFence}, now)
	return m, now
}

// An order of the previous incarnation can take effect until OrderTimeout has passed, and
// that incarnation may have promised a higher fencing token to the other member. Until
// both are known, a restarted member only reads its rank.
func TestRestartedMemberSendsNoOrderBeforeItIsReady(t *testing.T) {
	query := Message{Kind: KindQuery, From: 0, To: 1, FromIncarnation: "peer", ToIncarnation: "new", Fence: 8}
	m := newMember()
	if out := m.Tick(begin); out.Order != nil {
		t.Fatal("order sent before OrderTimeout has passed")
	}
	now := begin.Add(10 * time.Millisecond)
	if out := m.Tick(now); out.Order == nil || out.Order.Kind != OrderRead {
		t.Fatalf("first order %+v, want a read", out.Order)
	}
	m.OrderDone(OrderResult{State: RankState{Incarnation: "rank"}}, now)
	if out := m.Receive(query, now); out.Order != nil || len(out.Messages) != 0 {
		t.Fatalf("query accepted before the pong of the other member: %+v", out)
	}
	m.Receive(Message{Kind: KindPong, From: 0, To: 1, FromIncarnation: "peer", ToIncarnation: "new", Fence: 4}, now)
	if out := m.Receive(query, now); out.Order == nil || out.Order.Kind != OrderRaiseFence {
		t.Fatalf("order %+v, want a raise of the fencing token", out.Order)
	}
}

func TestMemberRefusesMessagesNotAllowedByPromise(t *testing.T) {
	abort := &Order{Kind: OrderAbort, Version: 4}
	for name, c := range map[string]struct {
		msg     Message
		refused bool
	}{
		"a query below the promise":                  {Message{Kind: KindQuery, Fence: 6, FromIncarnation: "peer", ToIncarnation: "new"}, true},
		"a query with a token promised to another":   {Message{Kind: KindQuery, Fence: 8, FromIncarnation: "peer", ToIncarnation: "new"}, true},
		"a command of a round that was not promised": {Message{Kind: KindCommand, Phase: PhaseResolve, Order: abort, Fence: 10, FromIncarnation: "peer", ToIncarnation: "new"}, true},
		"a query to an earlier incarnation":          {Message{Kind: KindQuery, Fence: 10, FromIncarnation: "peer", ToIncarnation: "old"}, false},
		"a command to an earlier incarnation":        {Message{Kind: KindCommand, Phase: PhaseCommit, Order: abort, Fence: 8, FromIncarnation: "peer", ToIncarnation: "old"}, false},
		"a query from a rank out of range":           {Message{Kind: KindQuery, From: 2, Fence: 10, FromIncarnation: "peer", ToIncarnation: "new"}, false},
	} {
		m, now := readyMember(8)
		c.msg.To = 1
		out := m.Receive(c.msg, now)
		if out.Order != nil {
			t.Errorf("%s: order %+v, want none", name, out.Order)
		}
		if refused := len(out.Messages) == 1 && out.Messages[0].Kind == KindRefused; refused != c.refused {
			t.Errorf("%s: refused %t, want %t", name, refused, c.refused)
		}
	}
}

// A late install order would give a rank that has restarted in the meantime a map from
// before the switch.
func TestLateCommandOfEarlierPhaseIsDropped(t *testing.T) {
	m, now := readyMember(4)
	send := func(kind MessageKind, phase Phase, order *Order) *Order {
		out := m.Receive(Message{Kind: kind, From: 0, To: 1, FromIncarnation: "peer", ToIncarnation: "new", Fence: 8, Phase: phase, Order: order}, now)
		if out.Order != nil {
			m.OrderDone(OrderResult{State: RankState{Incarnation: "rank"}}, now)
		}
		return out.Order
	}
	send(KindQuery, "", nil)
	install := &Order{Kind: OrderInstall, Map: initial}
	if send(KindCommand, PhaseResolve, install) == nil {
		t.Fatal("install in its own phase was not sent")
	}
	send(KindCommand, PhaseCommit, &Order{Kind: OrderCommit, Version: 8})
	if o := send(KindCommand, PhaseResolve, install); o != nil {
		t.Fatalf("late install was sent: %+v", o)
	}
}
