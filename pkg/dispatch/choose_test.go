package dispatch

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/problem"
	"github.com/acaciaglade/acaciaglade/pkg/table"
)

// TestSlowRankIsSpared gives a slow rank nothing while others have room, and work
// again once it keeps pace.
func TestSlowRankIsSpared(t *testing.T) {
	d := newDispatcher(1, 1, ranks(4, 8))
	board := boardOf(t0, []int{0, 0, 0, 0})
	board.Ranks[2].Slowdown = 2
	d.SetGroupLoad(board, t0)
	if got := granted(t, arrive(d, "a", 20, t0)); got["rank-2"] != 0 {
		t.Errorf("the slow rank got %d requests", got["rank-2"])
	}
	for i := range 6 {
		if got := granted(t, d.Enqueue(request(fmt.Sprint("full-", i), t0), t0)); got["rank-2"] != 0 {
			t.Error("the slow rank got a request when the others were full")
		}
	}
	later := t0.Add(200 * time.Millisecond)
	d.SetGroupLoad(boardOf(later, []int{7, 7, 0, 6}), later)
	if got := granted(t, arrive(d, "b", 5, later)); got["rank-2"] == 0 {
		t.Error("the rank got nothing after it kept pace again")
	}
}

// TestColdBoundHoldsOverAllEntries sends as much as all entries can to one upstream
// that may be cold: no second may see more than the platform allows.
func TestColdBoundHoldsOverAllEntries(t *testing.T) {
	const (
		parts       = 7
		coldSeconds = 4.0
		bound       = coldSeconds*1.5 + 5
	)
	list := []Upstream{{ID: "u", Address: "10.0.0.1:80", Service: model, Incarnation: "1", Slots: 1000}}
	var sends []time.Duration
	for e := range uint64(parts) {
		d := newDispatcher(e, parts, list)
		d.SetIndex(table.NewIndex(&table.Table{Services: []table.Service{{Name: model, ColdPerSecond: coldSeconds}}}), t0)
		for at := time.Duration(0); at < 5*time.Second; at += 20 * time.Millisecond {
			now := t0.Add(at)
			decisions := append(d.Tick(now), d.Enqueue(request(fmt.Sprint(e, "-", at), now), now)...)
			for _, decision := range decisions {
				if decision.Refusal == nil {
					sends = append(sends, at)
				}
			}
		}
	}
	for _, from := range sends {
		n := 0
		for _, at := range sends {
			if at >= from && at < from+time.Second {
				n++
			}
		}
		if float64(n) > bound {
			t.Fatalf("%d sends in the second from %v, the bound is %.0f", n, from, bound)
		}
	}
	if len(sends) < 20 {
		t.Errorf("only %d sends in five seconds", len(sends))
	}
}

// TestUnreachableUpstreamIsAvoidedLonger passes a failing upstream over, each time
// longer up to a bound, and forgives it after an answer.
func TestUnreachableUpstreamIsAvoidedLonger(t *testing.T) {
	d := newDispatcher(1, 1, ranks(1, 8))
	now, last := t0, time.Duration(0)
	for i := range 8 {
		id := fmt.Sprint("r", i)
		granted(t, d.Enqueue(request(id, now), now))
		d.RecordEnd(id, FailureUnreachable, now)
		avoided := d.services[model].candidates[0].avoidUntil.Sub(now)
		if avoided < last || avoided > avoidMost || avoided < avoidFirst {
			t.Fatalf("failure %d: avoided for %v after %v", i, avoided, last)
		}
		last, now = avoided, now.Add(avoided)
	}
	granted(t, d.Enqueue(request("good", now), now))
	d.RecordEnd("good", FailureNone, now)
	granted(t, d.Enqueue(request("bad", now), now))
	d.RecordEnd("bad", FailureUnreachable, now)
	if avoided := d.services[model].candidates[0].avoidUntil.Sub(now); avoided != avoidFirst {
		t.Errorf("avoided for %v after an answer, want %v", avoided, avoidFirst)
	}
}

// TestTriedUpstreamsAreNotTriedAgain keeps the attempts of one request on different
// upstreams.
func TestTriedUpstreamsAreNotTriedAgain(t *testing.T) {
	d := newDispatcher(1, 1, ranks(3, 8))
	r := request("r", t0)
	r.TriedUpstreams = []string{"rank-0", "rank-2"}
	if got := granted(t, d.Enqueue(r, t0)); got["rank-1"] != 1 {
		t.Errorf("sent to %v", got)
	}
}

// TestOutLeavingAndBrokenGetNothing lets nothing through to upstreams that are marked
// out, that leave, or whose group is not open.
func TestOutLeavingAndBrokenGetNothing(t *testing.T) {
	list := ranks(4, 8)
	list[0].Leaving = true
	list[1].Group = Group{Name: "broken", Epoch: 1, Size: 1}
	d := newDispatcher(1, 1, list)
	d.SetIndex(table.NewIndex(&table.Table{FailureDomains: []table.FailureDomain{{Name: "domain-2", OutOfService: true}}}), t0)
	if got := granted(t, arrive(d, "r", 6, t0)); got["rank-3"] != 6 {
		t.Errorf("sent to %v", got)
	}
}

// TestBoardCountsOthersOnce takes off a board what this entry itself had sent when
// the ranks were asked.
func TestBoardCountsOthersOnce(t *testing.T) {
	d := newDispatcher(1, 2, ranks(1, 20))
	arrive(d, "own", 3, t0)
	asked := t0.Add(10 * time.Millisecond)
	d.SetGroupLoad(boardOf(asked, []int{5}), asked)
	c := d.services[model].candidates[0]
	if got := c.occupied(asked); got != 5 {
		t.Errorf("thought to have %d, it has 3 of this entry and 2 of others", got)
	}
	d.RecordEnd("own0", FailureNone, asked)
	if got := c.occupied(asked); got != 4 {
		t.Errorf("thought to have %d after one ended", got)
	}
}

// TestRanksThatEndedDoNotSpeakForTheirGroup answers the pattern of a loss of power: all
// ranks start anew and register, while what they registered before stays listed for
// seconds and says that the group is open.
func TestRanksThatEndedDoNotSpeakForTheirGroup(t *testing.T) {
	old := ranks(6, 8)
	d := newDispatcher(1, 1, old)
	fresh := ranks(6, 8)
	for i := range fresh {
		fresh[i].ID, fresh[i].Incarnation = fmt.Sprint("new-", i), "2"
		fresh[i].Group.Open = false
	}
	d.SetUpstreams(append(slices.Clone(old), fresh[:1]...), t0)
	refusedAs(t, d.Enqueue(request("a", t0), t0), problem.ReasonGroupStopped)
	for i := range fresh {
		fresh[i].Group.Open, fresh[i].Group.Epoch = true, 2
	}
	d.SetUpstreams(append(slices.Clone(old), fresh...), t0)
	for id, n := range granted(t, arrive(d, "b", 12, t0)) {
		if !strings.HasPrefix(id, "new-") {
			t.Errorf("%d requests sent to %s, which has ended", n, id)
		}
	}
}

// TestOldPaceIsForgotten lets the coordinator fall silent after it told of a slow rank:
// the rank gets work again, as nobody would tell that it has recovered.
func TestOldPaceIsForgotten(t *testing.T) {
	d := newDispatcher(1, 1, ranks(2, 8))
	board := boardOf(t0, []int{0, 0})
	board.Ranks[1].Slowdown = 3
	d.SetGroupLoad(board, t0)
	if got := granted(t, arrive(d, "a", 4, t0)); got["rank-1"] != 0 {
		t.Fatalf("the slow rank got %d requests", got["rank-1"])
	}
	if got := granted(t, arrive(d, "b", 4, t0.Add(boardUse))); got["rank-1"] == 0 {
		t.Error("the rank got nothing long after anybody said that it is slow")
	}
}
