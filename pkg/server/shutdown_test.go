package server

import (
	"testing"
	"time"
)

// TestLastRequestHasTimeToFinish guards against streams that are cut at the end of the
// process: an entry with a grace period of 8 s accepted a request 4.7 s after SIGTERM and
// cut its stream 2.5 s later. A stream takes about a second, plus up to two stalls of its
// group of 1.5 s each. The load balancer directs callers to the entry for up to 2.2 s.
func TestLastRequestHasTimeToFinish(t *testing.T) {
	const (
		grace          = 8 * time.Second
		maxRequestTime = 4 * time.Second
		redirectTime   = 2200 * time.Millisecond
	)
	serveFor, stopAfter := ShutdownTimes(grace)
	if stopAfter-serveFor < maxRequestTime {
		t.Errorf("a request that is accepted %v after SIGTERM is aborted %v later", serveFor, stopAfter-serveFor)
	}
	if serveFor < redirectTime {
		t.Errorf("requests are refused %v after SIGTERM, but callers arrive for %v", serveFor, redirectTime)
	}
	if stopAfter >= grace {
		t.Errorf("requests are aborted only after %v of %v", stopAfter, grace)
	}
}
