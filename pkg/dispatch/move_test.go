package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/table"
)

const (
	// pauseObjective is the longest pause that the route allows.
	pauseObjective = 120 * time.Millisecond
	// normalPass and slowPass are the passes of a group without and with a slow rank.
	normalPass = 60 * time.Millisecond
	slowPass   = 165 * time.Millisecond
)

// newStreams returns a dispatcher with one started stream at each of n ranks, and the
// request IDs of the streams by rank.
func newStreams(t *testing.T, n int) (*Dispatcher, map[int]string) {
	t.Helper()
	d := newDispatcher(1, 1, ranks(n, 4))
	d.SetIndex(table.NewIndex(&table.Table{
		Services: []table.Service{{Name: model, Kind: table.KindModel}},
		Routes:   []table.Route{{Backends: []table.Backend{{Service: model, Weight: 1}}, PauseObjective: pauseObjective}},
	}), t0)
	streams := make(map[int]string)
	for i := range n {
		for _, decision := range d.Enqueue(request(fmt.Sprint("r", i), t0), t0) {
			streams[decision.Upstream.Group.Rank] = decision.ID
			d.RecordPart(decision.ID, t0)
		}
	}
	if len(streams) != n {
		t.Fatalf("%d streams on %d ranks", len(streams), n)
	}
	return d, streams
}

// runPasses records an event of each stream after each of the gaps.
func runPasses(d *Dispatcher, streams map[int]string, now time.Time, gaps ...time.Duration) time.Time {
	for _, gap := range gaps {
		now = now.Add(gap)
		for _, id := range streams {
			d.RecordPart(id, now)
		}
	}
	return now
}

// reportSlowRank reports a slowdown of one rank to the dispatcher.
func reportSlowRank(d *Dispatcher, n, slow int, slowdown float64, now time.Time) {
	load := groupLoadOf(now, make([]int, n))
	load.Ranks[slow].Slowdown = slowdown
	d.SetGroupLoad(load, now)
}

// TestStreamsMoveOffSlowRank guards against a slow rank whose few streams delay all
// streams of the group: these streams are moved to another rank, once.
func TestStreamsMoveOffSlowRank(t *testing.T) {
	d, streams := newStreams(t, 6)
	reportSlowRank(d, 6, 2, 3, t0)
	now := runPasses(d, streams, t0, normalPass, slowPass, slowPass)
	if got := d.RequestsToMove(now); !slices.Equal(got, []string{streams[2]}) {
		t.Fatalf("moved %v, want %s", got, streams[2])
	}
	if got := d.RequestsToMove(now.Add(slowPass)); len(got) > 0 {
		t.Errorf("moved %v a second time", got)
	}
	moved := d.Enqueue(Request{ID: streams[2] + "/moved", Service: model, Organisation: "o", Weight: 1, Cost: 100, Priority: true, TriedUpstreams: []string{"rank-2"}, Deadline: now.Add(time.Second)}, now)
	if len(moved) != 1 || moved[0].Refusal != nil || moved[0].Upstream.Group.Rank == 2 {
		t.Errorf("moved to %+v", moved)
	}
}

// TestStreamsStayWhenMoveDoesNotHelp checks that streams are not moved without a benefit:
// a move interrupts a stream and repeats the prefill of its prompt.
func TestStreamsStayWhenMoveDoesNotHelp(t *testing.T) {
	for _, tc := range []struct {
		name string
		slow []int
		gaps []time.Duration
	}{
		{"passes are on time despite a slow rank", []int{2}, []time.Duration{normalPass, 110 * time.Millisecond, 110 * time.Millisecond}},
		{"a single pass was held for a switch of the map", []int{2}, []time.Duration{normalPass, 300 * time.Millisecond, normalPass}},
		{"no rank is slow", nil, []time.Duration{normalPass, slowPass, slowPass}},
		{"all ranks are slow", []int{0, 1, 2, 3, 4, 5}, []time.Duration{normalPass, slowPass, slowPass}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			d, streams := newStreams(t, 6)
			load := groupLoadOf(t0, make([]int, 6))
			for _, rank := range tc.slow {
				load.Ranks[rank].Slowdown = 3
			}
			d.SetGroupLoad(load, t0)
			now := runPasses(d, streams, t0, tc.gaps...)
			if got := d.RequestsToMove(now); len(got) > 0 {
				t.Errorf("moved %v, want none", got)
			}
		})
	}
}

// TestStaleGroupLoadMovesNoStreams checks that a slowdown is not used any more once the
// coordinator has stopped reporting.
func TestStaleGroupLoadMovesNoStreams(t *testing.T) {
	d, streams := newStreams(t, 6)
	reportSlowRank(d, 6, 2, 3, t0)
	now := runPasses(d, streams, t0.Add(groupLoadMaxAge), slowPass, slowPass)
	if got := d.RequestsToMove(now); len(got) > 0 {
		t.Errorf("moved %v by a group load %v old", got, now.Sub(t0))
	}
}
