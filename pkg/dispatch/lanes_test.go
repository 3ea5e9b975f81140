package dispatch

import (
	"fmt"
	"testing"
	"time"
)

// Load of the test of a backlog.
const (
	backlogRanks = 10
	backlogSlots = 10
	// backlogTook is how long a request runs: the ranks bear 100 a second.
	backlogTook = time.Second
	backlogRate = 90
	// backlogFirst is the time to a request's first part, objective the time within
	// which it is on time.
	backlogFirst = 150 * time.Millisecond
	objective    = 400 * time.Millisecond
	// A stall ends nothing from stallFrom to stallTo.
	stallFrom = 3 * time.Second
	stallTo   = 4500 * time.Millisecond
)

// backlog is one entry before a group that stalls once, in virtual time.
type backlog struct {
	d       *Dispatcher
	ends    []ending
	arrived map[string]time.Duration
	// onTime and refused count requests by the second of their arrival.
	onTime, refused, asked map[int]int
}

func (b *backlog) take(at time.Duration, decisions []Decision) {
	for _, d := range decisions {
		second := int(b.arrived[d.ID] / time.Second)
		if d.Refusal != nil {
			b.refused[second]++
			continue
		}
		if at+backlogFirst-b.arrived[d.ID] <= objective {
			b.onTime[second]++
		}
		b.ends = append(b.ends, ending{at: t0.Add(at + backlogTook), id: d.ID})
	}
}

// play sends load for some seconds. lanes is false when no request says by when it must
// be answered.
func playBacklog(lanes bool) *backlog {
	b := &backlog{
		d: newDispatcher(1, 1, ranks(backlogRanks, backlogSlots)), arrived: make(map[string]time.Duration),
		onTime: make(map[int]int), refused: make(map[int]int), asked: make(map[int]int),
	}
	b.d.service(model).first = backlogFirst
	n := 0
	for at := time.Duration(0); at < 12*time.Second; at += 10 * time.Millisecond {
		now := t0.Add(at)
		if at < stallFrom || at >= stallTo {
			for len(b.ends) > 0 && !b.ends[0].at.After(now) {
				id := b.ends[0].id
				b.ends = b.ends[1:]
				b.take(at, b.d.RecordEnd(id, FailureNone, now))
			}
		}
		b.take(at, b.d.Tick(now))
		for ; n < int(backlogRate*at.Seconds()); n++ {
			r := request(fmt.Sprint(n), now)
			if lanes {
				r.FirstPartDeadline = now.Add(objective)
			}
			b.arrived[r.ID] = at
			b.asked[int(at/time.Second)]++
			b.take(at, b.d.Enqueue(r, now))
		}
	}
	return b
}

// TestABacklogMakesOthersLateNoLonger answers the pattern of a backlog: after a stall
// the queue holds more than drains at once, and first come first served makes every
// request late for as long as it lasts. Requests that can still be on time go first.
func TestABacklogMakesOthersLateNoLonger(t *testing.T) {
	with, without := playBacklog(true), playBacklog(false)
	after := func(b *backlog) (onTime, asked int) {
		for second := 5; second < 9; second++ {
			onTime += b.onTime[second]
			asked += b.asked[second]
		}
		return onTime, asked
	}
	onTime, asked := after(with)
	before, _ := after(without)
	if onTime <= before {
		t.Errorf("on time after the stall: %d of %d with lanes, %d without", onTime, asked, before)
	}
	// The ranks bear more than comes, so nine in ten can be on time at once.
	if onTime*10 < asked*9 {
		t.Errorf("on time after the stall: %d of %d", onTime, asked)
	}
	if with.onTime[1] != with.asked[1] {
		t.Errorf("before the stall %d of %d were on time", with.onTime[1], with.asked[1])
	}
}

// TestWhatCannotBeServedIsRefusedEarly refuses requests of a long stall once they can't
// be on time and no room for late ones shows, not after the longest wait.
func TestWhatCannotBeServedIsRefusedEarly(t *testing.T) {
	d := newDispatcher(1, 1, ranks(1, 2))
	d.service(model).first = backlogFirst
	arrive(d, "run-", 2, t0)
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
	for _, decision := range d.Tick(t0.Add(objective - backlogFirst + time.Millisecond)) {
		if p := decision.Refusal; p == nil || p.RetryAfter <= 0 {
			t.Errorf("decided %+v", decision)
		}
		refused++
	}
	if refused != 10-leastLate {
		t.Errorf("%d of 10 refused when they can't be on time, want all but %d", refused, leastLate)
	}
}

// TestAFullGroupGetsNoMore holds requests back while all slots of a group are taken,
// by whomever, although each rank looks as if it had room.
func TestAFullGroupGetsNoMore(t *testing.T) {
	d := newDispatcher(1, 4, ranks(3, 10))
	d.SetGroupLoad(boardOf(t0, []int{16, 14, 0}), t0)
	if got := d.Enqueue(request("a", t0), t0); len(got) != 0 {
		t.Fatalf("sent to a full group: %+v", got)
	}
	if !d.IsGroupBusy("g") {
		t.Error("the group does not count as nearly full")
	}
	later := t0.Add(100 * time.Millisecond)
	if got := d.SetGroupLoad(boardOf(later, []int{10, 9, 0}), later); len(got) != 1 || got[0].ID != "a" {
		t.Fatalf("not sent on once there is room: %+v", got)
	}
	// This entry's requests since the board stand for those of four.
	after := later.Add(10 * time.Millisecond)
	for i := range 4 {
		d.Enqueue(request(fmt.Sprint("b", i), after), after)
	}
	if got := d.service(model).lanes.Len(); got != 1 {
		t.Errorf("%d wait, want the one beyond 30 slots", got)
	}
	if full := d.full(d.service(model), later.Add(loadLife)); len(full) != 0 {
		t.Errorf("an old board still holds requests back: %v", full)
	}
}
