package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/problem"
	"github.com/acaciaglade/acaciaglade/pkg/sendlimit"
)

// nameLimit makes upstreams name a limit.
func nameLimit(d *Dispatcher, perSecond float64, now time.Time, list ...Upstream) {
	for i := range list {
		d.Limits().Observe(&sendlimit.Notice{Key: list[i].limitKey(), Service: list[i].Service, Limited: true, Rate: perSecond, SentAt: now.Add(-time.Millisecond), ReceivedAt: now})
	}
	d.Limits().LeaseRequests([]string{"entry"}, now)
}

// run ticks the dispatcher for a time and returns the decisions.
func run(d *Dispatcher, from time.Time, length time.Duration) []Decision {
	var decisions []Decision
	for at := from; at.Before(from.Add(length)); at = at.Add(20 * time.Millisecond) {
		decisions = append(decisions, d.Tick(at)...)
	}
	return decisions
}

// TestLimitedUpstreamGetsWorkLast checks that an upstream with a limit gets requests only
// once no other has room, then as many as its limit allows.
func TestLimitedUpstreamGetsWorkLast(t *testing.T) {
	list := ranks(3, 2)
	d := newDispatcher(1, 1, list)
	nameLimit(d, 2, t0, list[0])
	if got := dispatchedTo(t, enqueueN(d, "first-", 4, t0)); got["rank-0"] != 0 || got["rank-1"] != 2 || got["rank-2"] != 2 {
		t.Errorf("requests went to %v, want the upstreams without a limit", got)
	}
	decisions := enqueueN(d, "more-", 2, t0)
	if got := dispatchedTo(t, append(decisions, run(d, t0, 600*time.Millisecond)...)); got["rank-0"] != 1+1 {
		t.Errorf("requests went to %v, want one at once and one after half a second", got)
	}
}

// TestLimitsOfAllUpstreamsRefuseAtOnce checks that a request that can't be sent in time
// because of the limits of all upstreams is refused at once, with the time after which it
// can be sent, and that a request with priority goes before those that wait.
func TestLimitsOfAllUpstreamsRefuseAtOnce(t *testing.T) {
	list := ranks(2, 8)
	d := newDispatcher(1, 1, list)
	nameLimit(d, 1, t0, list...)
	if got := len(dispatchedTo(t, enqueueN(d, "saved-", 2, t0))); got != 2 {
		t.Fatalf("%d upstreams got a request, want both to get the one that was saved", got)
	}
	if got := enqueueN(d, "waits-", 2, t0); len(got) != 0 {
		t.Fatalf("decided before the limits allow a request: %+v", got)
	}
	decisions := d.Enqueue(request("refused", t0), t0)
	if len(decisions) != 1 || decisions[0].Refusal == nil || decisions[0].Refusal.Reason != problem.ReasonUpstreamLimited {
		t.Fatalf("decisions %+v, want a refusal because of the limits", decisions)
	}
	if after := decisions[0].Refusal.RetryAfter; after < 2*time.Second || after > 3*time.Second {
		t.Errorf("retry after %v, but the limits allow the request after two seconds", after)
	}
	urgent := request("urgent", t0)
	urgent.Priority = true
	if got := d.Enqueue(urgent, t0); len(got) != 0 {
		t.Fatalf("decided before the limits allow a request: %+v", got)
	}
	if got := run(d, t0, 1100*time.Millisecond); len(got) == 0 || got[0].ID != "urgent" || got[0].Refusal != nil {
		t.Errorf("decisions %+v, want the request with priority first", got)
	}
}

// TestRetriesCountAgainstLimit checks that an attempt after the first one keeps to the
// limit as a new request does.
func TestRetriesCountAgainstLimit(t *testing.T) {
	list := ranks(2, 8)
	d := newDispatcher(1, 1, list)
	nameLimit(d, 1, t0, list[0])
	sent := 0
	for i := range 50 {
		now := t0.Add(time.Duration(i) * 20 * time.Millisecond)
		r := request(fmt.Sprint("retry-", i), now)
		r.TriedUpstreams = []string{"rank-1"}
		for _, decision := range append(d.Enqueue(r, now), d.Tick(now)...) {
			if decision.Refusal == nil {
				sent++
				d.RecordEnd(decision.ID, FailureNone, now)
			}
		}
	}
	if sent < 1 || sent > 2 {
		t.Errorf("%d attempts were sent within a second, want one that was saved and one", sent)
	}
}

// TestRetryThatOnlyLimitedUpstreamsCanTake guards against a retry that waits until its
// deadline because the upstreams that it hasn't tried name limits.
func TestRetryThatOnlyLimitedUpstreamsCanTake(t *testing.T) {
	list := ranks(3, 8)
	d := newDispatcher(1, 1, list)
	nameLimit(d, 0.2, t0, list[0], list[1])
	retry := request("retry", t0)
	retry.TriedUpstreams, retry.Deadline = []string{"rank-2"}, t0.Add(600*time.Millisecond)
	for range 2 {
		if got := dispatchedTo(t, d.Enqueue(retry, t0)); len(got) != 1 {
			t.Fatalf("the request that was saved is not sent: %v", got)
		}
	}
	decisions := d.Enqueue(retry, t0)
	if len(decisions) != 1 || decisions[0].Refusal == nil || decisions[0].Refusal.Reason != problem.ReasonUpstreamLimited {
		t.Errorf("decisions %+v, want a refusal at once", decisions)
	}
}
