package lockstep

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/expertmap/holdswitch"
)

// scriptedEngine responds to each try of an order with the next outcome. A try with the
// outcome OutcomeUnanswered blocks until it times out.
type scriptedEngine struct {
	fakeEngine
	outcomes []holdswitch.Outcome
	tries    int
}

func (e *scriptedEngine) SendOrder(ctx context.Context, _ holdswitch.Order) holdswitch.Result {
	outcome := e.outcomes[min(e.tries, len(e.outcomes)-1)]
	e.tries++
	if outcome == holdswitch.OutcomeUnanswered {
		<-ctx.Done()
	}
	return holdswitch.Result{Outcome: outcome}
}

// TestOrderIsRetriedAfterLostResponse guards against orders whose response is lost and
// that are carried out seconds later. Such an order is retried at once, because a pass may
// be held for it. A refusal of the retry is reported as unanswered, because the first try
// may have been carried out.
func TestOrderIsRetriedAfterLostResponse(t *testing.T) {
	const none, done, refused = holdswitch.OutcomeUnanswered, holdswitch.OutcomeDone, holdswitch.OutcomeRefused
	for _, tc := range []struct {
		name     string
		outcomes []holdswitch.Outcome
		want     holdswitch.Outcome
		within   time.Duration
	}{
		{"answered", []holdswitch.Outcome{done}, done, 0},
		{"refused", []holdswitch.Outcome{refused}, refused, 0},
		{"one response lost", []holdswitch.Outcome{none, done}, done, ownOrderTryTimeout},
		{"two responses lost", []holdswitch.Outcome{none, none, done}, done, 2 * ownOrderTryTimeout},
		{"refused after a lost response", []holdswitch.Outcome{none, refused}, none, ownOrderTryTimeout},
		{"never answered", []holdswitch.Outcome{none}, none, orderTimeout},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				began := time.Now()
				got := sendOrderWithRetries(t.Context(), &scriptedEngine{outcomes: tc.outcomes}, holdswitch.Order{}, ownOrderTryTimeout)
				if took := time.Since(began); got.Outcome != tc.want || took > tc.within {
					t.Errorf("outcome %s after %v, want %s within %v", got.Outcome, took, tc.want, tc.within)
				}
			})
		})
	}
}
