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

// joined returns a member that has read its rank and heard from the other one,
// which has promised a fencing number.
func joined(promised Fence) (*Member, time.Time) {
	m := newMember()
	m.Tick(begin)
	now := begin.Add(10 * time.Millisecond)
	m.Tick(now)
	m.OrderDone(OrderResult{State: RankState{Incarnation: "rank"}}, now)
	m.Receive(Message{Kind: KindPong, From: 0, To: 1, FromIncarnation: "peer", ToIncarnation: "new", Fence: promised}, now)
	return m, now
}

func TestRestartedMemberGivesNoOrderBeforeItHasReadEverything(t *testing.T) {
	query := Message{Kind: KindQuery, From: 0, To: 1, FromIncarnation: "peer", ToIncarnation: "new", Fence: 8}
	m := newMember()
	if out := m.Tick(begin); out.Order != nil {
		t.Fatal("order within the quiet time")
	}
	now := begin.Add(10 * time.Millisecond)
	if out := m.Tick(now); out.Order == nil || out.Order.Kind != OrderRead {
		t.Fatalf("first order %+v, want a read", out.Order)
	}
	m.OrderDone(OrderResult{State: RankState{Incarnation: "rank"}}, now)
	if out := m.Receive(query, now); out.Order != nil || len(out.Messages) != 0 {
		t.Fatalf("obeyed before the other member was heard: %+v", out)
	}
	m.Receive(Message{Kind: KindPong, From: 0, To: 1, FromIncarnation: "peer", ToIncarnation: "new", Fence: 4}, now)
	if out := m.Receive(query, now); out.Order == nil || out.Order.Kind != OrderRaiseFence {
		t.Fatalf("order %+v, want a raise", out.Order)
	}
}

func TestMemberRefuses(t *testing.T) {
	abort := &Order{Kind: OrderAbort, Version: 4}
	for name, c := range map[string]struct {
		msg     Message
		refused bool
	}{
		"a query below the promise":              {Message{Kind: KindQuery, Fence: 6, FromIncarnation: "peer", ToIncarnation: "new"}, true},
		"a query at another one's promise":       {Message{Kind: KindQuery, Fence: 8, FromIncarnation: "peer", ToIncarnation: "new"}, true},
		"a command of a round never promised":    {Message{Kind: KindCommand, Phase: PhaseResolve, Order: abort, Fence: 10, FromIncarnation: "peer", ToIncarnation: "new"}, true},
		"a query to its earlier incarnation":     {Message{Kind: KindQuery, Fence: 10, FromIncarnation: "peer", ToIncarnation: "old"}, false},
		"a command to its earlier incarnation":   {Message{Kind: KindCommand, Phase: PhaseCommit, Order: abort, Fence: 8, FromIncarnation: "peer", ToIncarnation: "old"}, false},
		"a query of a rank that is not in range": {Message{Kind: KindQuery, From: 2, Fence: 10, FromIncarnation: "peer", ToIncarnation: "new"}, false},
	} {
		m, now := joined(8)
		c.msg.To = 1
		out := m.Receive(c.msg, now)
		if out.Order != nil {
			t.Errorf("%s: order %+v", name, out.Order)
		}
		if refused := len(out.Messages) == 1 && out.Messages[0].Kind == KindRefused; refused != c.refused {
			t.Errorf("%s: refused %t, want %t", name, refused, c.refused)
		}
	}
}

func TestLateCommandOfAPassedPhaseIsDropped(t *testing.T) {
	m, now := joined(4)
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
		t.Fatal("install in its phase was not given")
	}
	send(KindCommand, PhaseCommit, &Order{Kind: OrderCommit, Version: 8})
	if o := send(KindCommand, PhaseResolve, install); o != nil {
		t.Fatalf("late install was given: %+v", o)
	}
}
