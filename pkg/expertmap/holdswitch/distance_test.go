package holdswitch

import (
	"testing"
	"time"
)

// TestSwitchesArePlacedFurtherAfterLongArmings places the pass of a switch so far ahead
// that the ranks are armed before it is due, also in the round after one that had it easy:
// answers get lost in spells.
func TestSwitchesArePlacedFurtherAfterLongArmings(t *testing.T) {
	const pass, usual, long = 60 * time.Millisecond, 50 * time.Millisecond, 300 * time.Millisecond
	c := New(Config{Ranks: 4, Candidates: 2, MinMargin: 2})
	c.passTime = pass
	for _, step := range []struct {
		armed time.Duration
		want  uint64
	}{{usual, 2}, {long, 6}, {usual, 5}, {usual, 5}} {
		c.armedIn(step.armed)
		if got := c.distance(); got != step.want {
			t.Errorf("after an arming of %v a switch is placed %d passes ahead, want %d", step.armed, got, step.want)
		}
	}
	for range 20 {
		c.armedIn(usual)
	}
	if got := c.distance(); got != 2 {
		t.Errorf("long after the spell a switch is placed %d passes ahead", got)
	}
}
