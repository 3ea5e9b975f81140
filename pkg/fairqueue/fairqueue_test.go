package fairqueue

import (
	"fmt"
	"testing"
	"time"
)

func anyItem(*Item) Eligibility { return Eligible }

func onlyB(it *Item) Eligibility {
	if it.Organisation == "b" {
		return Eligible
	}
	return SkipOrganisation
}

// serve takes n requests and returns the cost that each organisation attained.
// Each request starts as soon as it is taken.
func serve(q *Queue, n int, now time.Time) map[string]float64 {
	attained := make(map[string]float64)
	for range n {
		it := q.Next(anyItem)
		if it == nil {
			break
		}
		q.Dequeue(it, now)
		q.AdvanceVirtualTime(it.StartTag, now)
		attained[it.Organisation] += it.Cost
	}
	return attained
}

func fill(q *Queue, organisation string, weight, n int, cost float64, now time.Time) {
	for i := range n {
		id := fmt.Sprintf("%s-%d-%d", organisation, q.arrivals, i)
		q.Enqueue(&Item{ID: id, Organisation: organisation, Weight: weight, Cost: cost, Deadline: now.Add(time.Minute)}, now)
	}
}

func TestSharesFollowWeights(t *testing.T) {
	now := time.Unix(0, 0)
	q := New()
	fill(q, "a", 1, 1000, 10, now)
	fill(q, "b", 3, 1000, 30, now)
	attained := serve(q, 400, now)
	if ratio := attained["b"] / attained["a"]; ratio < 2.8 || ratio > 3.2 {
		t.Fatalf("b attained %.2f times as much as a", ratio)
	}
}

// TestIdleTimeEarnsNothing checks that an organisation that was idle, and one
// that used idle capacity, start level.
func TestIdleTimeEarnsNothing(t *testing.T) {
	now := time.Unix(0, 0)
	q := New()
	fill(q, "busy", 1, 1000, 10, now)
	serve(q, 1000, now)
	fill(q, "busy", 1, 1000, 10, now)
	fill(q, "idle", 1, 1000, 10, now)
	attained := serve(q, 100, now)
	if attained["idle"] < 480 || attained["idle"] > 520 {
		t.Fatalf("idle attained %.0f of 1000", attained["idle"])
	}
}

// TestServiceElsewhereCounts checks that service through other entries lowers
// what an organisation gets here.
func TestServiceElsewhereCounts(t *testing.T) {
	now := time.Unix(0, 0)
	q := New()
	fill(q, "a", 1, 1000, 10, now)
	fill(q, "b", 1, 1000, 10, now)
	q.Charge("a", 1, 500, now)
	attained := serve(q, 100, now)
	if attained["a"] > 260 || attained["a"] < 240 {
		t.Fatalf("a attained %.0f here, want about 250", attained["a"])
	}
}

func TestPriorityGoesFirstAndBlockedArePassedOver(t *testing.T) {
	now := time.Unix(0, 0)
	q := New()
	fill(q, "a", 1, 1, 10, now)
	fill(q, "b", 1, 1, 10, now)
	if it := q.Next(onlyB); it == nil || it.Organisation != "b" {
		t.Fatalf("got %v, want b", it)
	}
	q.Enqueue(&Item{ID: "p", Organisation: "p", Priority: true, Deadline: now.Add(time.Minute)}, now)
	if it := q.Next(anyItem); it.ID != "p" {
		t.Fatalf("got %s, want p", it.ID)
	}
	if q.Len() != 3 {
		t.Fatalf("%d requests wait, want 3", q.Len())
	}
}

// TestFlowsAreBounded checks the memory after 38,000 organisations came and went.
func TestFlowsAreBounded(t *testing.T) {
	now := time.Unix(0, 0)
	q := New()
	for i := range 38_000 {
		now = now.Add(10 * time.Millisecond)
		fill(q, fmt.Sprintf("org-%d", i), 1, 1, 10, now)
		serve(q, 1, now)
	}
	if most := 2*int(idleLife/(10*time.Millisecond)) + idleFlows; len(q.flows) > most {
		t.Fatalf("%d organisations are kept, want at most %d", len(q.flows), most)
	}
}
