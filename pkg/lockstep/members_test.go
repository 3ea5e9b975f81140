package lockstep

import (
	"testing"

	"github.com/acaciaglade/acaciaglade/pkg/expertmap"
)

// TestOutdatedMembersAreReadAgain guards against a coordinator that sends its orders to the
// address that a rank had in an earlier epoch, because the platform's store has come back
// from a copy.
func TestOutdatedMembersAreReadAgain(t *testing.T) {
	member := func(rank int, epoch uint64, engine string) Member {
		return Member{Membership: Membership{Group: "g", Epoch: epoch, Rank: rank, Ranks: 2}, Engine: engine}
	}
	c := &coordination{membership: Membership{Group: "g", Epoch: 3, Ranks: 2}, size: expertmap.Size{Ranks: 2}, members: make(map[int]Member)}
	c.addMembers([]Member{member(0, 3, "a")})
	if got := c.untilNextMembers(); got != membersInterval {
		t.Errorf("the next read is after %v while a rank is missing, want %v", got, membersInterval)
	}
	c.addMembers([]Member{member(1, 2, "old")})
	if got := c.untilNextMembers(); got != outdatedMembersInterval {
		t.Errorf("the next read is after %v with a rank of an earlier epoch, want %v", got, outdatedMembersInterval)
	}
	c.addMembers([]Member{member(1, 3, "new"), member(1, 2, "old")})
	if got := c.untilNextMembers(); got != 0 || c.members[1].Engine != "new" {
		t.Errorf("the next read is after %v, rank 1 is at %s", got, c.members[1].Engine)
	}
}
