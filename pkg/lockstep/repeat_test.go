package lockstep

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/expertmap/holdswitch"
)

// tries is an engine that meets each try of an order with the next verdict. It keeps a try
// without an answer until its caller gives up.
type tries struct {
	ownRank
	verdicts []holdswitch.Outcome
	given    int
}

func (e *tries) SendOrder(ctx context.Context, _ holdswitch.Order) holdswitch.Result {
	v := e.verdicts[min(e.given, len(e.verdicts)-1)]
	e.given++
	if v == holdswitch.OutcomeUnanswered {
		<-ctx.Done()
	}
	return holdswitch.Result{Outcome: v}
}

// TestLostAnswersOfOrders answers the pattern of late orders: some orders get no answer
// and are carried out seconds later. An order is repeated at once, as a pass may be held
// for it, and a refusal then tells nothing.
func TestLostAnswersOfOrders(t *testing.T) {
	const none, done, refused = holdswitch.OutcomeUnanswered, holdswitch.OutcomeDone, holdswitch.OutcomeRefused
	for _, tc := range []struct {
		name     string
		verdicts []holdswitch.Outcome
		want     holdswitch.Outcome
		within   time.Duration
	}{
		{"answered", []holdswitch.Outcome{done}, done, 0},
		{"refused", []holdswitch.Outcome{refused}, refused, 0},
		{"one answer lost", []holdswitch.Outcome{none, done}, done, ownOrderTry},
		{"two answers lost", []holdswitch.Outcome{none, none, done}, done, 2 * ownOrderTry},
		{"refused after a lost answer", []holdswitch.Outcome{none, refused}, none, ownOrderTry},
		{"never answered", []holdswitch.Outcome{none}, none, orderTimeout},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				began := time.Now()
				got := repeatOrder(t.Context(), &tries{verdicts: tc.verdicts}, holdswitch.Order{}, ownOrderTry)
				if took := time.Since(began); got.Outcome != tc.want || took > tc.within {
					t.Errorf("%s after %v, want %s within %v", got.Outcome, took, tc.want, tc.within)
				}
			})
		})
	}
}
