package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/problem"
)

// refusedAs returns the refusal of a single decision.
func refusedAs(t *testing.T, decisions []Decision, reason problem.Reason) *problem.Problem {
	t.Helper()
	if len(decisions) != 1 || decisions[0].Refusal == nil || decisions[0].Refusal.Reason != reason {
		t.Fatalf("decisions %+v, want one refusal as %s", decisions, reason)
	}
	p := decisions[0].Refusal
	if p.Ran != problem.RanNo || p.RetryAfter <= 0 || p.RetryAfter > mostReturn || p.Detail == "" {
		t.Fatalf("refusal %+v lacks a time to come back, a reason in numbers, or that nothing ran", p)
	}
	return p
}

// TestUnknownEntriesRefuse keeps bounds over all entries while their number is not
// known: nothing may run.
func TestUnknownEntriesRefuse(t *testing.T) {
	d := newDispatcher(1, 0, ranks(4, 2))
	refusedAs(t, d.Enqueue(request("a", t0), t0), problem.ReasonNotReady)
}

// TestSilentGroupRefusesAtOnce lets all streams of a group fall silent. What waits
// and what comes is refused at once; a sign of life lets work in again.
func TestSilentGroupRefusesAtOnce(t *testing.T) {
	d := newDispatcher(1, 1, ranks(2, 2))
	now := t0
	if got := len(arrive(d, "run-", 4, now)); got != 4 {
		t.Fatalf("%d of 4 requests sent on", got)
	}
	for range 10 {
		now = now.Add(60 * time.Millisecond)
		for i := range 4 {
			d.RecordPart(fmt.Sprint("run-", i), now)
		}
	}
	if got := d.Enqueue(request("waits", now), now); len(got) != 0 {
		t.Fatalf("decided while all slots are taken: %+v", got)
	}
	now = now.Add(stallFloor + 10*time.Millisecond)
	refusedAs(t, d.Tick(now), problem.ReasonGroupStopped)
	refusedAs(t, d.Enqueue(request("late", now), now), problem.ReasonGroupStopped)
	d.RecordPart("run-0", now)
	d.RecordEnd("run-0", FailureNone, now)
	granted(t, d.Enqueue(request("after", now), now))
}

// TestLongQueueRefusesAtOnce fills a queue beyond what drains within the longest
// wait: callers are told at once, and work with priority still waits.
func TestLongQueueRefusesAtOnce(t *testing.T) {
	d := newDispatcher(1, 1, ranks(2, 2))
	now := t0
	arrive(d, "run-", 4, now)
	// One request ends each quarter of a second, the first one after a quarter: the
	// slots look as if they took at most 16 a second.
	for i := range 4 {
		now = now.Add(250 * time.Millisecond)
		d.RecordEnd(fmt.Sprint("run-", i), FailureNone, now)
		arrive(d, fmt.Sprint("next-", i, "-"), 1, now)
	}
	var refused *problem.Problem
	waiting := 0
	for i := range 24 {
		if got := d.Enqueue(request(fmt.Sprint("q-", i), now), now); len(got) > 0 {
			refused = refusedAs(t, got, problem.ReasonOverloaded)
			break
		}
		waiting++
	}
	if refused == nil {
		t.Fatalf("%d requests wait for slots that take 16 a second at most", waiting)
	}
	urgent := request("urgent", now)
	urgent.Priority = true
	if got := d.Enqueue(urgent, now); len(got) != 0 {
		t.Fatalf("work with priority did not wait: %+v", got)
	}
	if got := d.RecordEnd("next-0-0", FailureNone, now); len(got) != 1 || got[0].ID != "urgent" {
		t.Fatalf("the next slot went to %+v, not to the work with priority", got)
	}
}

// TestWaitEnds refuses what has waited for the longest wait, long before its caller's
// deadline.
func TestWaitEnds(t *testing.T) {
	d := newDispatcher(1, 1, ranks(1, 1))
	arrive(d, "run-", 1, t0)
	d.Enqueue(request("waits", t0), t0)
	if got := d.Tick(t0.Add(d.cfg.MaxWait - time.Millisecond)); len(got) != 0 {
		t.Fatalf("refused early: %+v", got)
	}
	refusedAs(t, d.Tick(t0.Add(d.cfg.MaxWait+time.Millisecond)), problem.ReasonOverloaded)
}
