package holdswitch

import (
	"testing"
	"time"
)

// A state from before a rank joined the group's epoch is ignored, and the rank is read
// again. A state from a later epoch ends the coordinator's epoch.
func TestStateFromEarlierEpochIsIgnored(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	c := New(Config{Ranks: 2, Candidates: 1, Epoch: 2, MinMargin: 2})
	c.Observe(0, State{Incarnation: "1", Epoch: 2}, now)
	c.Observe(1, State{Incarnation: "1", Epoch: 1}, now)
	if c.EpochEnded() {
		t.Fatal("a state from an earlier epoch ended the coordinator's epoch")
	}
	commands := c.Advance(now)
	if len(commands) != 1 || commands[0].Rank != 1 || commands[0].Order.Kind != OrderRead {
		t.Fatalf("orders %+v, want a read of rank 1", commands)
	}
	c.HandleResult(commands[0], Result{Outcome: OutcomeDone, State: &State{Incarnation: "1", Epoch: 2}}, now)
	if _, ok := c.CurrentVersion(); !ok {
		t.Error("the current version is unknown after the rank has joined")
	}
	c.Observe(0, State{Incarnation: "1", Epoch: 3}, now)
	if !c.EpochEnded() {
		t.Error("a state from a later epoch did not end the coordinator's epoch")
	}
}
