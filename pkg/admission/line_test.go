package admission

import (
	"slices"
	"testing"
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/api"
	"github.com/acaciaglade/acaciaglade/pkg/problem"
	"github.com/acaciaglade/acaciaglade/pkg/warmup"
)

var start = time.Unix(1000, 0)

func lineGate(limit, reserved int) *Gate {
	g := New(Config{Incarnation: "i", MaxQueued: 3, Reserved: reserved, Warmup: warmup.Config{Min: limit, Max: limit}})
	g.Observe(warmup.Sample{}, 1, start)
	return g
}

func attempt(id string, priority bool, virtual float64) *api.AttemptRequest {
	return &api.AttemptRequest{
		RequestID: id, Incarnation: "i", Organisation: "o", Priority: priority, Virtual: virtual,
		DeadlineUnixMilli: start.Add(time.Minute).UnixMilli(),
	}
}

func TestLineOrder(t *testing.T) {
	g := lineGate(2, 1)
	if d := g.Admit(attempt("running", false, 0), start); !d.Admitted || d.Queued {
		t.Fatalf("first attempt: %+v", d)
	}
	for _, a := range []*api.AttemptRequest{attempt("late", false, 9), attempt("early", false, 3)} {
		if d := g.Admit(a, start); !d.Queued {
			t.Fatalf("%s took the reserved room: %+v", a.RequestID, d)
		}
	}
	if d := g.Admit(attempt("priority", true, 0), start); d.Queued || !d.Admitted {
		t.Fatalf("priority work waits though room is reserved: %+v", d)
	}
	g.Admit(attempt("second", true, 0), start)
	if d := g.Admit(attempt("overflow", false, 0), start); d.Refusal == nil || d.Refusal.Reason != string(problem.ReasonNoRoom) {
		t.Fatalf("a full line admits: %+v", d)
	}
	var order []string
	for range 3 {
		g.Release()
		order = append(order, g.ProcessQueue(start).Start...)
	}
	if want := []string{"second", "early"}; !slices.Equal(order, want) {
		t.Fatalf("started %v, want %v", order, want)
	}
}

func TestLineIsRefusedOnceClosed(t *testing.T) {
	g := lineGate(1, 0)
	g.Admit(attempt("running", false, 0), start)
	g.Admit(attempt("waiting", false, 1), start)
	g.Admit(attempt("withdrawn", false, 2), start)
	outcome := g.Withdraw(&api.WithdrawRequest{RequestID: "withdrawn", Incarnation: "i", DeadlineUnixMilli: start.Add(time.Minute).UnixMilli()}, start)
	if !g.RemoveQueued("withdrawn") {
		t.Fatal("the withdrawn attempt has left the line")
	}
	g.Leave()
	turns := g.ProcessQueue(start)
	if outcome != api.OutcomeNotRun || !slices.Equal(turns.Refuse, []RefusedAttempt{{"waiting", problem.ReasonLeaving}}) {
		t.Fatalf("withdrawn: %s, turns: %+v", outcome, turns)
	}
}
