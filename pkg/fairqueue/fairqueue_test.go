package fairqueue

import (
	"fmt"
	"testing"
	"time"
)

func allEligible(*Item) Eligibility { return Eligible }

func onlyBEligible(it *Item) Eligibility {
	if it.Organisation == "b" {
		return Eligible
	}
	return SkipOrganisation
}

// serveN dequeues n requests and returns the served cost of each organisation.
// Each request starts as soon as it is dequeued.
func serveN(q *Queue, n int, now time.Time) map[string]float64 {
	servedCost := make(map[string]float64)
	for range n {
		it := q.Next(allEligible)
		if it == nil {
			break
		}
		q.Dequeue(it, now)
		q.AdvanceVirtualTime(it.StartTag, now)
		servedCost[it.Organisation] += it.Cost
	}
	return servedCost
}

func enqueueN(q *Queue, organisation string, weight, n int, cost float64, now time.Time) {
	for i := range n {
		id := fmt.Sprintf("%s-%d-%d", organisation, q.activations, i)
		q.Enqueue(&Item{ID: id, Organisation: organisation, Weight: weight, Cost: cost, Deadline: now.Add(time.Minute)}, now)
	}
}

func TestSharesFollowWeights(t *testing.T) {
	now := time.Unix(0, 0)
	q := New()
	enqueueN(q, "a", 1, 1000, 10, now)
	enqueueN(q, "b", 3, 1000, 30, now)
	servedCost := serveN(q, 400, now)
	if ratio := servedCost["b"] / servedCost["a"]; ratio < 2.8 || ratio > 3.2 {
		t.Fatalf("b was served %.2f times as much as a", ratio)
	}
}

// TestIdleOrganisationsGainNoCredit checks that an organisation that was idle gets the
// same service as one that used idle capacity.
func TestIdleOrganisationsGainNoCredit(t *testing.T) {
	now := time.Unix(0, 0)
	q := New()
	enqueueN(q, "busy", 1, 1000, 10, now)
	serveN(q, 1000, now)
	enqueueN(q, "busy", 1, 1000, 10, now)
	enqueueN(q, "idle", 1, 1000, 10, now)
	servedCost := serveN(q, 100, now)
	if servedCost["idle"] < 480 || servedCost["idle"] > 520 {
		t.Fatalf("idle was served %.0f of 1000", servedCost["idle"])
	}
}

// TestServiceThroughOtherEntriesIsCharged checks that service through other entries
// reduces the service that an organisation gets at this entry.
func TestServiceThroughOtherEntriesIsCharged(t *testing.T) {
	now := time.Unix(0, 0)
	q := New()
	enqueueN(q, "a", 1, 1000, 10, now)
	enqueueN(q, "b", 1, 1000, 10, now)
	q.Charge("a", 1, 500, now)
	servedCost := serveN(q, 100, now)
	if servedCost["a"] > 260 || servedCost["a"] < 240 {
		t.Fatalf("a was served %.0f, want about 250", servedCost["a"])
	}
}

func TestPriorityFirstAndIneligibleSkipped(t *testing.T) {
	now := time.Unix(0, 0)
	q := New()
	enqueueN(q, "a", 1, 1, 10, now)
	enqueueN(q, "b", 1, 1, 10, now)
	if it := q.Next(onlyBEligible); it == nil || it.Organisation != "b" {
		t.Fatalf("got %v, want b", it)
	}
	q.Enqueue(&Item{ID: "p", Organisation: "p", Priority: true, Deadline: now.Add(time.Minute)}, now)
	if it := q.Next(allEligible); it.ID != "p" {
		t.Fatalf("got %s, want p", it.ID)
	}
	if q.Len() != 3 {
		t.Fatalf("%d requests wait, want 3", q.Len())
	}
}

// TestIdleFlowsArePruned guards against flows that pile up: 38,000 organisations send one
// request each.
func TestIdleFlowsArePruned(t *testing.T) {
	now := time.Unix(0, 0)
	q := New()
	for i := range 38_000 {
		now = now.Add(10 * time.Millisecond)
		enqueueN(q, fmt.Sprintf("org-%d", i), 1, 1, 10, now)
		serveN(q, 1, now)
	}
	if limit := 2*int(idleRetention/(10*time.Millisecond)) + minPruneFlows; len(q.flows) > limit {
		t.Fatalf("%d organisations are kept, want at most %d", len(q.flows), limit)
	}
}
