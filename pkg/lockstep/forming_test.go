package lockstep

import (
	"testing"
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/expertmap"
	"github.com/acaciaglade/acaciaglade/pkg/expertmap/holdswitch"
)

// TestAFormedGroupIsKnownAtOnce answers the pattern of a failure domain that comes back:
// the group starts with its first map while all callers of the last seconds return. The
// ranks that were out of reach are asked, and the map in force is known as soon as every
// rank has been read once.
func TestAFormedGroupIsKnownAtOnce(t *testing.T) {
	a := New(Config{Engine: ownRank{}})
	a.shape.shape, a.shape.known = ModelShape{Layers: 1, Experts: 64, Slots: 20, MaxNew: 2}, true
	a.place = Membership{Group: "g", Epoch: 2, Rank: 1, Ranks: 4}
	for rank := range a.place.Ranks {
		a.silent.mark(rank, t0)
	}
	a.begin(t0)
	if a.silent.is(2, t0) || a.silent.is(3, t0) || !a.silent.is(0, t0) {
		t.Error("a rank that may be back is not asked, or the silent coordinator before this one is")
	}
	for rank := range a.place.Ranks {
		place := Membership{Group: "g", Epoch: 2, Rank: rank, Ranks: a.place.Ranks}
		reading := RankStatus{Place: place, State: holdswitch.State{Incarnation: "1", Epoch: 2, Open: true}}
		a.take(telling{run: a.run, asked: t0, answer: answer{Rank: rank, Reading: &reading}}, t0.Add(time.Millisecond))
	}
	m := a.run.coordinator.CurrentMap()
	if m == nil || m.Check(expertmap.Size{Ranks: 4, Layers: 1, Experts: 64, Slots: 20}) != nil {
		t.Errorf("the map in force is %v once all ranks were read", m)
	}
}
