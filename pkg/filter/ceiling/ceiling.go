// Package ceiling is the filter that enforces each organisation's ceiling: the cost in
// tokens per second that it may use over all entries. It spends from the rates that this
// entry has leased.
package ceiling

import (
	"context"
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/pipe"
	"github.com/acaciaglade/acaciaglade/pkg/problem"
)

// Spender spends the cost of a request from an organisation's leased rate. If too
// little is left, it returns false and the time until there is enough.
type Spender interface {
	Spend(organisation string, ceiling, cost float64, now time.Time) (time.Duration, bool)
}

// New returns the filter. Requests of organisations without a ceiling pass.
func New(next pipe.Handler, limiter Spender) pipe.Handler {
	return pipe.HandlerFunc(func(ctx context.Context, r *pipe.Request) error {
		o := r.Organisation
		if o.Ceiling <= 0 {
			return next.Serve(ctx, r)
		}
		if wait, ok := limiter.Spend(o.Name, float64(o.Ceiling), r.ExpectedCost, time.Now()); !ok {
			return problem.New(problem.ReasonCeiling, "").WithRetryAfter(wait)
		}
		return next.Serve(ctx, r)
	})
}
