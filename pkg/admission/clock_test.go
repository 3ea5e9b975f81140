package admission

import (
	"testing"
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/api"
	"github.com/acaciaglade/acaciaglade/pkg/warmup"
)

// TestCopyIsRefusedAfterClockStepsBack guards against a request that runs twice: its
// record has expired, and after a step back of the wall clock the deadline of a copy
// seems to be in the future again.
func TestCopyIsRefusedAfterClockStepsBack(t *testing.T) {
	start := time.UnixMilli(1_800_000_000_000)
	g := New(Config{Incarnation: "a", ClockError: 500 * time.Millisecond, Warmup: warmup.Config{Min: 1, Max: 1}})
	g.Observe(warmup.Sample{Incarnation: "a"}, 0, start)
	attempt := &api.AttemptRequest{RequestID: "r", Attempt: 1, Incarnation: "a", DeadlineUnixMilli: start.Add(time.Second).UnixMilli()}
	if d := g.Admit(attempt, start); !d.Admitted {
		t.Fatalf("first request not admitted: %+v", d)
	}
	g.Dispatch("r", 1, start)
	g.Finish("r", 1, ResultAnswered)
	g.Release()
	other := &api.AttemptRequest{RequestID: "s", Attempt: 1, Incarnation: "a", DeadlineUnixMilli: start.Add(2 * time.Minute).UnixMilli()}
	if d := g.Admit(other, start.Add(time.Minute)); !d.Admitted {
		t.Fatalf("second request not admitted: %+v", d)
	}
	g.Release()
	if d := g.Admit(attempt, start); d.Admitted || d.Outcome != api.OutcomeUnknown {
		t.Fatalf("a copy of a request that ran got %+v, want outcome unknown", d)
	}
}
