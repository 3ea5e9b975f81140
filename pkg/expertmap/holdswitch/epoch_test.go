package holdswitch

import (
	"testing"
	"time"
)

// TestReadingsFromBeforeTheForming reads a rank that has yet to join the group's new
// forming: it tells nothing, and is read again. A rank in a later forming ends the
// coordination.
func TestReadingsFromBeforeTheForming(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	c := New(Config{Ranks: 2, Candidates: 1, Epoch: 2, MinMargin: 2})
	c.Observe(0, State{Incarnation: "1", Epoch: 2}, now)
	c.Observe(1, State{Incarnation: "1", Epoch: 1}, now)
	if c.EpochEnded() {
		t.Fatal("a reading from before the forming ends the coordination")
	}
	commands := c.Advance(now)
	if len(commands) != 1 || commands[0].Rank != 1 || commands[0].Order.Kind != OrderRead {
		t.Fatalf("orders %+v, want a reading of rank 1", commands)
	}
	c.HandleResult(commands[0], Result{Outcome: OutcomeDone, State: &State{Incarnation: "1", Epoch: 2}}, now)
	if _, ok := c.CurrentVersion(); !ok {
		t.Error("the rank is not known after it has joined")
	}
	c.Observe(0, State{Incarnation: "1", Epoch: 3}, now)
	if !c.EpochEnded() {
		t.Error("a later forming does not end the coordination")
	}
}
