package server

import (
	"testing"
	"time"
)

// TestLastRequestHasTimeToBeAnswered comes from a hunted day: an entry took a request
// 4.7 s after the order to stop within 8 s, and cut its stream when it ended, 2.5 s
// later. A stream takes about a second, and twice a stall of 1.5 s when its group
// stands still; the balancer sends callers for up to 2.2 s.
func TestLastRequestHasTimeToBeAnswered(t *testing.T) {
	const (
		grace    = 8 * time.Second
		longest  = 4 * time.Second
		rotation = 2200 * time.Millisecond
	)
	serve, end := ShutdownTimes(grace)
	if end-serve < longest {
		t.Errorf("a request that is taken %v after the order is cut %v later", serve, end-serve)
	}
	if serve < rotation {
		t.Errorf("callers are turned away %v after the order, and sent here for %v", serve, rotation)
	}
	if end >= grace {
		t.Errorf("the last request is given up after %v of %v", end, grace)
	}
}
