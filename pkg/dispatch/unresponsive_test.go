package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// runPassesWithout records events of all streams but those of one rank, by passes of
// normalPass.
func runPassesWithout(d *Dispatcher, streams map[int]string, silent int, now time.Time, passes int) time.Time {
	for range passes {
		now = now.Add(normalPass)
		for rank, id := range streams {
			if rank != silent {
				d.RecordPart(id, now)
			}
		}
	}
	return now
}

// passesIn returns how many passes run in a time.
func passesIn(d time.Duration) int { return int(d/normalPass) + 1 }

// TestStreamsLeaveUnresponsiveRank guards against requests that stay at a rank on a frozen
// host until their callers leave, while the rest of the group runs passes.
func TestStreamsLeaveUnresponsiveRank(t *testing.T) {
	d, streams := newStreams(t, 6)
	now := runPassesWithout(d, streams, 2, t0, passesIn(unresponsiveAfter)-2)
	if got := d.RequestsToMove(now); len(got) > 0 {
		t.Fatalf("moved %v after %v", got, now.Sub(t0))
	}
	now = runPassesWithout(d, streams, 2, now, 2)
	if got := d.RequestsToMove(now); !slices.Equal(got, []string{streams[2]}) {
		t.Fatalf("moved %v after %v, want %s", got, now.Sub(t0), streams[2])
	}
	if got := d.RequestsToMove(now.Add(normalPass)); len(got) > 0 {
		t.Errorf("moved %v a second time", got)
	}
	if got, want := d.ResponseChanges(), []ResponseChange{{Upstream: "rank-2", Attempts: 1}}; !slices.Equal(got, want) {
		t.Errorf("changes %v, want %v", got, want)
	}
}

// TestUnresponsiveRankGetsOnlyTrials guards against requests that are sent to a rank on a
// frozen host because it seems to have the fewest requests.
func TestUnresponsiveRankGetsOnlyTrials(t *testing.T) {
	d, streams := newStreams(t, 6)
	now := runPassesWithout(d, streams, 2, t0, passesIn(unresponsiveAfter))
	d.RequestsToMove(now)
	d.RecordEnd(streams[2], FailureSlow, now)
	if got := dispatchedTo(t, enqueueN(d, "a", 10, now)); got["rank-2"] != 0 {
		t.Errorf("the unresponsive rank got %d requests", got["rank-2"])
	}
	now = runPassesWithout(d, streams, 2, now, passesIn(trialInterval))
	decisions := enqueueN(d, "b", 6, now)
	if got := dispatchedTo(t, decisions); got["rank-2"] != 1 {
		t.Fatalf("the unresponsive rank got %d requests as trials, want 1", got["rank-2"])
	}
	i := slices.IndexFunc(decisions, func(one Decision) bool { return one.Upstream.ID == "rank-2" })
	if got := d.RequestsToMove(now); len(got) > 0 {
		t.Errorf("moved %v, a trial that was just sent", got)
	}
	d.RecordPart(decisions[i].ID, now.Add(normalPass))
	if got := dispatchedTo(t, enqueueN(d, "c", 2, now.Add(normalPass))); got["rank-2"] == 0 {
		t.Error("the rank got no requests after it had responded")
	}
}

// TestUnbegunRequestsLeaveUnresponsiveRank guards against requests that were sent to a rank
// on a frozen host and wait for their first part until their callers leave. A single one may
// have a long prompt, and stays.
func TestUnbegunRequestsLeaveUnresponsiveRank(t *testing.T) {
	for n := range 3 {
		t.Run(fmt.Sprint(n, " requests"), func(t *testing.T) {
			d, streams := newStreams(t, 6)
			d.RecordEnd(streams[2], FailureNone, t0)
			delete(streams, 2)
			var sent, others []string
			for _, decision := range enqueueN(d, "s", 19, t0) {
				if decision.Upstream.Group.Rank == 2 && len(sent) < n {
					sent = append(sent, decision.ID)
					continue
				}
				others = append(others, decision.ID)
			}
			for _, id := range others {
				d.RecordEnd(id, FailureNone, t0)
			}
			d.services[model].typicalFirstPart = 100 * time.Millisecond
			now := runPassesWithout(d, streams, 2, t0, passesIn(unresponsiveAfter))
			got := d.RequestsToMove(now)
			slices.Sort(got)
			if n < 2 {
				sent = nil
			}
			if !slices.Equal(got, sent) {
				t.Errorf("moved %v, want %v", got, sent)
			}
		})
	}
}

// TestStallMovesNoStreams checks that a group that stalls, or runs few passes, has no
// unresponsive rank: its streams are all silent, and each may be the last to have an event
// again.
func TestStallMovesNoStreams(t *testing.T) {
	d, streams := newStreams(t, 6)
	now := t0
	for range 5 {
		now = runPasses(d, streams, now, normalPass, 3*time.Second)
		now = runPassesWithout(d, streams, 2, now.Add(3*time.Second), 1)
		if got := d.RequestsToMove(now); len(got) > 0 {
			t.Fatalf("moved %v", got)
		}
	}
}

// TestStreamsStayWithoutAnotherRank checks that requests are not moved if no other rank
// accepts requests.
func TestStreamsStayWithoutAnotherRank(t *testing.T) {
	d, streams := newStreams(t, 3)
	for _, c := range d.services[model].candidates {
		c.outOfService = c.Group.Rank != 2
	}
	now := runPassesWithout(d, streams, 2, t0, passesIn(unresponsiveAfter))
	if got := d.RequestsToMove(now); len(got) > 0 {
		t.Errorf("moved %v, with no rank to move to", got)
	}
}
