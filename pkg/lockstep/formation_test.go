package lockstep

import (
	"testing"
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/expertmap"
	"github.com/acaciaglade/acaciaglade/pkg/expertmap/holdswitch"
)

// TestCurrentMapIsKnownAfterFormation guards against slow rebalancing after a failure
// domain has returned to service, when the group starts with its first map while the
// callers of the last seconds retry. Ranks that were unreachable are queried, and the
// current map is known as soon as every rank has replied once.
func TestCurrentMapIsKnownAfterFormation(t *testing.T) {
	a := New(Config{Engine: fakeEngine{}})
	a.shape.shape, a.shape.known = ModelShape{Layers: 1, Experts: 64, Slots: 20, MaxNew: 2}, true
	a.membership = Membership{Group: "g", Epoch: 2, Rank: 1, Ranks: 4}
	for rank := range a.membership.Ranks {
		a.unresponsive.add(rank, t0)
	}
	a.startCoordinating(t0)
	if a.unresponsive.contains(2, t0) || a.unresponsive.contains(3, t0) || !a.unresponsive.contains(0, t0) {
		t.Error("a rank of the new formation still counts as unresponsive, or the unresponsive previous coordinator does not")
	}
	for rank := range a.membership.Ranks {
		membership := Membership{Group: "g", Epoch: 2, Rank: rank, Ranks: a.membership.Ranks}
		status := RankStatus{Membership: membership, State: holdswitch.State{Incarnation: "1", Epoch: 2, Open: true}}
		a.handleReply(rankReply{coordination: a.coordination, queriedAt: t0, reply: reply{Rank: rank, Status: &status}}, t0.Add(time.Millisecond))
	}
	m := a.coordination.coordinator.CurrentMap()
	if m == nil || m.Check(expertmap.Size{Ranks: 4, Layers: 1, Experts: 64, Slots: 20}) != nil {
		t.Errorf("the current map is %v after all ranks have replied", m)
	}
}
