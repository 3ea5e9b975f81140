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

// TestSlowRankGetsNoRequests checks that a slow rank gets no requests while a healthy one
// exists, and gets requests again once it has recovered.
func TestSlowRankGetsNoRequests(t *testing.T) {
	d := newDispatcher(1, 1, ranks(4, 8))
	load := groupLoadOf(t0, []int{0, 0, 0, 0})
	load.Ranks[2].Slowdown = 2
	d.SetGroupLoad(load, t0)
	if got := dispatchedTo(t, enqueueN(d, "a", 20, t0)); got["rank-2"] != 0 {
		t.Errorf("the slow rank got %d requests", got["rank-2"])
	}
	for i := range 6 {
		if got := dispatchedTo(t, d.Enqueue(request(fmt.Sprint("full-", i), t0), t0)); got["rank-2"] != 0 {
			t.Error("the slow rank got a request while the others were full")
		}
	}
	later := t0.Add(200 * time.Millisecond)
	d.SetGroupLoad(groupLoadOf(later, []int{7, 7, 0, 6}), later)
	if got := dispatchedTo(t, enqueueN(d, "b", 5, later)); got["rank-2"] == 0 {
		t.Error("the rank got no requests after it had recovered")
	}
}

// TestColdLimitHoldsOverAllEntries sends from all entries as much as they can to one
// upstream that may be cold. No second may see more requests than the platform allows.
func TestColdLimitHoldsOverAllEntries(t *testing.T) {
	const (
		entries       = 7
		coldPerSecond = 4.0
		limit         = coldPerSecond*1.5 + 5
	)
	list := []Upstream{{ID: "u", Address: "10.0.0.1:80", Service: model, Incarnation: "1", Slots: 1000}}
	var sends []time.Duration
	for e := range uint64(entries) {
		d := newDispatcher(e, entries, list)
		d.SetIndex(table.NewIndex(&table.Table{Services: []table.Service{{Name: model, ColdPerSecond: coldPerSecond}}}), t0)
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
		if float64(n) > limit {
			t.Fatalf("%d sends in the second from %v, the limit is %.0f", n, from, limit)
		}
	}
	if len(sends) < 20 {
		t.Errorf("only %d sends in five seconds", len(sends))
	}
}

// TestUnreachableUpstreamIsAvoidedExponentially checks that a failing upstream is avoided
// for longer after each failure up to a limit, and that a response resets the time.
func TestUnreachableUpstreamIsAvoidedExponentially(t *testing.T) {
	d := newDispatcher(1, 1, ranks(1, 8))
	now, last := t0, time.Duration(0)
	for i := range 8 {
		id := fmt.Sprint("r", i)
		dispatchedTo(t, d.Enqueue(request(id, now), now))
		d.RecordEnd(id, FailureUnreachable, now)
		avoided := d.services[model].candidates[0].avoidUntil.Sub(now)
		if avoided < last || avoided > maxAvoidTime || avoided < minAvoidTime {
			t.Fatalf("failure %d: avoided for %v after %v", i, avoided, last)
		}
		last, now = avoided, now.Add(avoided)
	}
	dispatchedTo(t, d.Enqueue(request("good", now), now))
	d.RecordEnd("good", FailureNone, now)
	dispatchedTo(t, d.Enqueue(request("bad", now), now))
	d.RecordEnd("bad", FailureUnreachable, now)
	if avoided := d.services[model].candidates[0].avoidUntil.Sub(now); avoided != minAvoidTime {
		t.Errorf("avoided for %v after a response, want %v", avoided, minAvoidTime)
	}
}

// TestTriedUpstreamsAreNotTriedAgain checks that the attempts of one request go to
// different upstreams.
func TestTriedUpstreamsAreNotTriedAgain(t *testing.T) {
	d := newDispatcher(1, 1, ranks(3, 8))
	r := request("r", t0)
	r.TriedUpstreams = []string{"rank-0", "rank-2"}
	if got := dispatchedTo(t, d.Enqueue(r, t0)); got["rank-1"] != 1 {
		t.Errorf("sent to %v", got)
	}
}

// TestUnavailableUpstreamsGetNoRequests checks that upstreams that are out of service,
// that drain, or whose group is not open get no requests.
func TestUnavailableUpstreamsGetNoRequests(t *testing.T) {
	list := ranks(4, 8)
	list[0].Draining = true
	list[1].Group = Group{Name: "broken", Epoch: 1, Size: 1}
	d := newDispatcher(1, 1, list)
	d.SetIndex(table.NewIndex(&table.Table{FailureDomains: []table.FailureDomain{{Name: "domain-2", OutOfService: true}}}), t0)
	if got := dispatchedTo(t, enqueueN(d, "r", 6, t0)); got["rank-3"] != 6 {
		t.Errorf("sent to %v", got)
	}
}

// TestGroupLoadExcludesOwnAttempts checks that the attempts that this entry had at the
// time of the query are not counted a second time as those of other entries.
func TestGroupLoadExcludesOwnAttempts(t *testing.T) {
	d := newDispatcher(1, 2, ranks(1, 20))
	enqueueN(d, "own", 3, t0)
	queriedAt := t0.Add(10 * time.Millisecond)
	d.SetGroupLoad(groupLoadOf(queriedAt, []int{5}), queriedAt)
	c := d.services[model].candidates[0]
	if got := c.estimateLoad(queriedAt); got != 5 {
		t.Errorf("estimated load %d, it has 3 requests of this entry and 2 of others", got)
	}
	d.RecordEnd("own0", FailureNone, queriedAt)
	if got := c.estimateLoad(queriedAt); got != 4 {
		t.Errorf("estimated load %d after one ended, want 4", got)
	}
}

// TestEndedRanksDoNotKeepGroupOpen guards against requests to a closed group after a power
// failure: all ranks restart and register, while their old registrations stay listed for
// seconds and still list the group as open.
func TestEndedRanksDoNotKeepGroupOpen(t *testing.T) {
	old := ranks(6, 8)
	d := newDispatcher(1, 1, old)
	restarted := ranks(6, 8)
	for i := range restarted {
		restarted[i].ID, restarted[i].Incarnation = fmt.Sprint("new-", i), "2"
		restarted[i].Group.Open = false
	}
	d.SetUpstreams(append(slices.Clone(old), restarted[:1]...), t0)
	requireRefusal(t, d.Enqueue(request("a", t0), t0), problem.ReasonGroupStopped)
	for i := range restarted {
		restarted[i].Group.Open, restarted[i].Group.Epoch = true, 2
	}
	d.SetUpstreams(append(slices.Clone(old), restarted...), t0)
	for id, n := range dispatchedTo(t, enqueueN(d, "b", 12, t0)) {
		if !strings.HasPrefix(id, "new-") {
			t.Errorf("%d requests sent to %s, which has ended", n, id)
		}
	}
}

// TestStaleSlowdownExpires checks that a slow rank gets requests again if the coordinator
// stops reporting, as its recovery would not be reported either.
func TestStaleSlowdownExpires(t *testing.T) {
	d := newDispatcher(1, 1, ranks(2, 8))
	load := groupLoadOf(t0, []int{0, 0})
	load.Ranks[1].Slowdown = 3
	d.SetGroupLoad(load, t0)
	if got := dispatchedTo(t, enqueueN(d, "a", 4, t0)); got["rank-1"] != 0 {
		t.Fatalf("the slow rank got %d requests", got["rank-1"])
	}
	if got := dispatchedTo(t, enqueueN(d, "b", 4, t0.Add(groupLoadMaxAge))); got["rank-1"] == 0 {
		t.Error("the rank got no requests after the report of its slowdown had expired")
	}
}
