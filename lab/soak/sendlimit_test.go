package soak

import (
	"testing"
	"time"
)

// TestSendLimitHoldsOverAllEntries guards against an upstream that gets more requests than
// the limit that it names, because each entry sends as if the upstream named none, and
// against one that gets far fewer while requests wait.
func TestSendLimitHoldsOverAllEntries(t *testing.T) {
	d, stop := startDeployment(t, 593)
	time.Sleep(3 * time.Second)
	rank, plain := d.upstreams[0], d.upstreams[d.size.Ranks]
	const plainLimit = 2.0
	rank.nameLimit(0.2)
	plain.nameLimit(plainLimit)
	from := time.Now().Add(contactTimeout)
	time.Sleep(15 * time.Second)
	to := time.Now()
	stop()
	if rank.limitArrivals(from, to) == 0 {
		t.Error("the rank got no requests at all")
	}
	// All requests of its service need the plain upstream.
	if n := plain.limitArrivals(from, to); float64(n) < 0.9*plainLimit*to.Sub(from).Seconds() {
		t.Errorf("the plain upstream got %d requests in %v, want nine tenths of its limit of %v per second", n, to.Sub(from), plainLimit)
	}
	for _, text := range d.checker.violations {
		t.Error(text)
	}
}
