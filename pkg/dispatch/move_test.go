package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/table"
)

const (
	// movePause is the longest pause that the route allows.
	movePause = 120 * time.Millisecond
	// soundPass and slowPass are the passes of a group without and with a slow rank.
	soundPass = 60 * time.Millisecond
	slowPass  = 165 * time.Millisecond
)

// newStreams returns a dispatcher with a stream that has begun at each of some ranks, by
// rank.
func newStreams(t *testing.T, n int) (*Dispatcher, map[int]string) {
	t.Helper()
	d := newDispatcher(1, 1, ranks(n, 4))
	d.SetIndex(table.NewIndex(&table.Table{
		Services: []table.Service{{Name: model, Kind: table.KindModel}},
		Routes:   []table.Route{{Backends: []table.Backend{{Service: model, Weight: 1}}, PauseObjective: movePause}},
	}), t0)
	at := make(map[int]string)
	for i := range n {
		for _, decision := range d.Enqueue(request(fmt.Sprint("r", i), t0), t0) {
			at[decision.Upstream.Group.Rank] = decision.ID
			d.RecordPart(decision.ID, t0)
		}
	}
	if len(at) != n {
		t.Fatalf("%d streams on %d ranks", len(at), n)
	}
	return d, at
}

// passes lets all streams get an event after each of some passes.
func passes(d *Dispatcher, at map[int]string, now time.Time, gaps ...time.Duration) time.Time {
	for _, gap := range gaps {
		now = now.Add(gap)
		for _, id := range at {
			d.RecordPart(id, now)
		}
	}
	return now
}

// slowRank tells the dispatcher that a rank of a group is slow.
func slowRank(d *Dispatcher, n, slow int, pace float64, now time.Time) {
	b := boardOf(now, make([]int, n))
	b.Ranks[slow].Slowdown = pace
	d.SetGroupLoad(b, now)
}

// TestStreamsLeaveASlowRank answers the pattern of one slow rank: all streams of the
// group are late for the few that it runs. These go on elsewhere, once.
func TestStreamsLeaveASlowRank(t *testing.T) {
	d, at := newStreams(t, 6)
	slowRank(d, 6, 2, 3, t0)
	now := passes(d, at, t0, soundPass, slowPass, slowPass)
	if got := d.RequestsToMove(now); !slices.Equal(got, []string{at[2]}) {
		t.Fatalf("asked %v to move, want %s", got, at[2])
	}
	if got := d.RequestsToMove(now.Add(slowPass)); len(got) > 0 {
		t.Errorf("asked %v again", got)
	}
	moved := d.Enqueue(Request{ID: at[2] + "/moved", Service: model, Organisation: "o", Weight: 1, Cost: 100, Priority: true, TriedUpstreams: []string{"rank-2"}, Deadline: now.Add(time.Second)}, now)
	if len(moved) != 1 || moved[0].Refusal != nil || moved[0].Upstream.Group.Rank == 2 {
		t.Errorf("moved to %+v", moved)
	}
}

// TestStreamsStayWhenAMoveHelpsNobody keeps streams where they are: a move interrupts
// them and reads their prompts again.
func TestStreamsStayWhenAMoveHelpsNobody(t *testing.T) {
	for _, tc := range []struct {
		name string
		slow []int
		gaps []time.Duration
	}{
		{"passes are on time all the same", []int{2}, []time.Duration{soundPass, 110 * time.Millisecond, 110 * time.Millisecond}},
		{"a single pass was held for a switch of the map", []int{2}, []time.Duration{soundPass, 300 * time.Millisecond, soundPass}},
		{"no rank is slow", nil, []time.Duration{soundPass, slowPass, slowPass}},
		{"all ranks are slow", []int{0, 1, 2, 3, 4, 5}, []time.Duration{soundPass, slowPass, slowPass}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			d, at := newStreams(t, 6)
			b := boardOf(t0, make([]int, 6))
			for _, rank := range tc.slow {
				b.Ranks[rank].Slowdown = 3
			}
			d.SetGroupLoad(b, t0)
			now := passes(d, at, t0, tc.gaps...)
			if got := d.RequestsToMove(now); len(got) > 0 {
				t.Errorf("asked %v to move", got)
			}
		})
	}
}

// TestAnOldBoardMovesNothing has the coordinator fall silent after it told of a slow
// rank.
func TestAnOldBoardMovesNothing(t *testing.T) {
	d, at := newStreams(t, 6)
	slowRank(d, 6, 2, 3, t0)
	now := passes(d, at, t0.Add(boardUse), slowPass, slowPass)
	if got := d.RequestsToMove(now); len(got) > 0 {
		t.Errorf("asked %v to move by a board %v old", got, now.Sub(t0))
	}
}
