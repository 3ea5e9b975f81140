package dispatch

import (
	"fmt"
	"testing"
	"time"
)

// Parameters of the backlog simulation.
const (
	backlogRanks = 10
	backlogSlots = 10
	// backlogDuration is how long a request runs: the ranks sustain 100 a second.
	backlogDuration = time.Second
	// backlogRate is the number of requests that arrive per second.
	backlogRate = 90
	// backlogFirstPart is the time to a request's first part, objective the time
	// within which it is on time.
	backlogFirstPart = 150 * time.Millisecond
	objective        = 400 * time.Millisecond
	// No request ends during the stall from stallFrom to stallTo.
	stallFrom = 3 * time.Second
	stallTo   = 4500 * time.Millisecond
)

// backlog simulates, in virtual time, one entry whose group stalls once.
type backlog struct {
	d           *Dispatcher
	completions []completion
	arrived     map[string]time.Duration
	// Counts of requests by the second of their arrival.
	onTime, refused, requests map[int]int
}

func (b *backlog) record(at time.Duration, decisions []Decision) {
	for _, d := range decisions {
		second := int(b.arrived[d.ID] / time.Second)
		if d.Refusal != nil {
			b.refused[second]++
			continue
		}
		if at+backlogFirstPart-b.arrived[d.ID] <= objective {
			b.onTime[second]++
		}
		b.completions = append(b.completions, completion{at: t0.Add(at + backlogDuration), id: d.ID})
	}
}

// runBacklog simulates the load. withDeadlines sets the first-part deadline of each
// request.
func runBacklog(withDeadlines bool) *backlog {
	b := &backlog{
		d: newDispatcher(1, 1, ranks(backlogRanks, backlogSlots)), arrived: make(map[string]time.Duration),
		onTime: make(map[int]int), refused: make(map[int]int), requests: make(map[int]int),
	}
	b.d.service(model).typicalFirstPart = backlogFirstPart
	n := 0
	for at := time.Duration(0); at < 12*time.Second; at += 10 * time.Millisecond {
		now := t0.Add(at)
		if at < stallFrom || at >= stallTo {
			for len(b.completions) > 0 && !b.completions[0].at.After(now) {
				id := b.completions[0].id
				b.completions = b.completions[1:]
				b.record(at, b.d.RecordEnd(id, FailureNone, now))
			}
		}
		b.record(at, b.d.Tick(now))
		for ; n < int(backlogRate*at.Seconds()); n++ {
			r := request(fmt.Sprint(n), now)
			if withDeadlines {
				r.FirstPartDeadline = now.Add(objective)
			}
			b.arrived[r.ID] = at
			b.requests[int(at/time.Second)]++
			b.record(at, b.d.Enqueue(r, now))
		}
	}
	return b
}

// TestBacklogDoesNotDelayLaterRequests guards against a backlog after a stall: in order of
// arrival, every later request is late until the queue has drained. Requests that can
// still be on time go first.
func TestBacklogDoesNotDelayLaterRequests(t *testing.T) {
	with, without := runBacklog(true), runBacklog(false)
	after := func(b *backlog) (onTime, total int) {
		for second := 5; second < 9; second++ {
			onTime += b.onTime[second]
			total += b.requests[second]
		}
		return onTime, total
	}
	onTime, total := after(with)
	onTimeWithout, _ := after(without)
	if onTime <= onTimeWithout {
		t.Errorf("on time after the stall: %d of %d with deadlines, %d without", onTime, total, onTimeWithout)
	}
	// The ranks sustain more than the load, so nine in ten can be on time at once.
	if onTime*10 < total*9 {
		t.Errorf("on time after the stall: %d of %d", onTime, total)
	}
	if with.onTime[1] != with.requests[1] {
		t.Errorf("before the stall %d of %d were on time", with.onTime[1], with.requests[1])
	}
}

// TestLateRequestsAreRefusedBeforeMaxQueueTime checks that requests in a long stall are refused
// once they can't be on time and the late queue is full, not only after MaxQueueTime.
func TestLateRequestsAreRefusedBeforeMaxQueueTime(t *testing.T) {
	d := newDispatcher(1, 1, ranks(1, 2))
	d.service(model).typicalFirstPart = backlogFirstPart
	enqueueN(d, "run-", 2, t0)
	refused := 0
	for i := range 10 {
		r := request(fmt.Sprint("q-", i), t0)
		r.FirstPartDeadline = t0.Add(objective)
		for _, decision := range d.Enqueue(r, t0) {
			if decision.Refusal != nil {
				refused++
			}
		}
	}
	for _, decision := range d.Tick(t0.Add(objective - backlogFirstPart + time.Millisecond)) {
		if p := decision.Refusal; p == nil || p.RetryAfter <= 0 {
			t.Errorf("decision %+v, want a refusal with a time to retry", decision)
		}
		refused++
	}
	if refused != 10-minLateCapacity {
		t.Errorf("%d of 10 refused when they can't be on time, want all but %d", refused, minLateCapacity)
	}
}

// TestFullGroupGetsNoRequests checks that requests wait while the requests of all entries
// occupy all slots of a group, even if one of its ranks appears to have free slots.
func TestFullGroupGetsNoRequests(t *testing.T) {
	d := newDispatcher(1, 4, ranks(3, 10))
	d.SetGroupLoad(groupLoadOf(t0, []int{16, 14, 0}), t0)
	if got := d.Enqueue(request("a", t0), t0); len(got) != 0 {
		t.Fatalf("sent to a full group: %+v", got)
	}
	if !d.IsGroupBusy("g") {
		t.Error("the group does not count as nearly full")
	}
	later := t0.Add(100 * time.Millisecond)
	if got := d.SetGroupLoad(groupLoadOf(later, []int{10, 9, 0}), later); len(got) != 1 || got[0].ID != "a" {
		t.Fatalf("not dispatched once a slot is free: %+v", got)
	}
	// Each request of this entry since the report counts for one at each of 4 entries.
	after := later.Add(10 * time.Millisecond)
	for i := range 4 {
		d.Enqueue(request(fmt.Sprint("b", i), after), after)
	}
	if got := d.service(model).queues.Len(); got != 1 {
		t.Errorf("%d requests wait, want the one beyond 30 slots", got)
	}
	if full := d.fullGroups(d.service(model), later.Add(loadMaxAge)); len(full) != 0 {
		t.Errorf("a stale group load still marks groups as full: %v", full)
	}
}
