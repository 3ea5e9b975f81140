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

func gateWithQueue(limit, reserved int) *Gate {
	g := New(Config{Incarnation: "i", MaxQueued: 3, Reserved: reserved, Warmup: warmup.Config{Min: limit, Max: limit}})
	g.Observe(warmup.Sample{}, 1, start)
	return g
}

func attempt(id string, priority bool, virtualTime float64) *api.AttemptRequest {
	return &api.AttemptRequest{
		RequestID: id, Incarnation: "i", Organisation: "o", Priority: priority, VirtualTime: virtualTime,
		DeadlineUnixMilli: start.Add(time.Minute).UnixMilli(),
	}
}

// TestQueueOrder checks that reserved capacity is used for priority work only, that
// priority work leaves the queue first and other work in the order of its virtual time,
// and that a full queue refuses attempts.
func TestQueueOrder(t *testing.T) {
	g := gateWithQueue(2, 1)
	if d := g.Admit(attempt("running", false, 0), start); !d.Admitted || d.Queued {
		t.Fatalf("first attempt not admitted at once: %+v", d)
	}
	for _, a := range []*api.AttemptRequest{attempt("late", false, 9), attempt("early", false, 3)} {
		if d := g.Admit(a, start); !d.Queued {
			t.Fatalf("attempt %s acquired reserved capacity: %+v", a.RequestID, d)
		}
	}
	if d := g.Admit(attempt("priority", true, 0), start); d.Queued || !d.Admitted {
		t.Fatalf("priority work not admitted at once although capacity is reserved for it: %+v", d)
	}
	g.Admit(attempt("second", true, 0), start)
	if d := g.Admit(attempt("overflow", false, 0), start); d.Refusal == nil || d.Refusal.Reason != string(problem.ReasonNoRoom) {
		t.Fatalf("attempt not refused for lack of capacity although the queue is full: %+v", d)
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

// TestQueueIsRefusedWhenDraining checks that draining refuses queued attempts, and that a
// withdrawn attempt stays queued until RemoveQueued.
func TestQueueIsRefusedWhenDraining(t *testing.T) {
	g := gateWithQueue(1, 0)
	g.Admit(attempt("running", false, 0), start)
	g.Admit(attempt("waiting", false, 1), start)
	g.Admit(attempt("withdrawn", false, 2), start)
	outcome := g.Withdraw(&api.WithdrawRequest{RequestID: "withdrawn", Incarnation: "i", DeadlineUnixMilli: start.Add(time.Minute).UnixMilli()}, start)
	if !g.RemoveQueued("withdrawn") {
		t.Fatal("Withdraw has removed the attempt from the queue")
	}
	g.StartDraining()
	result := g.ProcessQueue(start)
	if outcome != api.OutcomeNotRun || !slices.Equal(result.Refuse, []RefusedAttempt{{"waiting", problem.ReasonLeaving}}) {
		t.Fatalf("outcome of the withdrawn attempt: %s, result of the queue: %+v", outcome, result)
	}
}
