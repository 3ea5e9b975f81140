package holdswitch

import (
	"testing"
	"time"
)

// A switch is scheduled so far ahead that the ranks are armed before its pass. The margin
// stays high after a single round with fast arming, since lost responses come in bursts.
func TestMarginFollowsArmTime(t *testing.T) {
	const pass, fast, slow = 60 * time.Millisecond, 50 * time.Millisecond, 300 * time.Millisecond
	c := New(Config{Ranks: 4, Candidates: 2, MinMargin: 2})
	c.passTime = pass
	for _, round := range []struct {
		armTime time.Duration
		want    uint64
	}{{fast, 2}, {slow, 6}, {fast, 5}, {fast, 5}} {
		c.recordArmTime(round.armTime)
		if got := c.requiredMargin(); got != round.want {
			t.Errorf("after arming in %v: margin %d passes, want %d", round.armTime, got, round.want)
		}
	}
	for range 20 {
		c.recordArmTime(fast)
	}
	if got := c.requiredMargin(); got != 2 {
		t.Errorf("margin %d passes long after the slow rounds, want 2", got)
	}
}
