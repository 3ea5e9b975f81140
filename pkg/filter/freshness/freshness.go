// Package freshness is the filter that refuses a key whose organisation may have
// lost it: one that was checked against a table whose proof is too old.
package freshness

import (
	"context"
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/pipe"
	"github.com/acaciaglade/acaciaglade/pkg/problem"
)

// New returns the filter. limit returns the age beyond which keys are not
// trusted, 0 for none.
func New(next pipe.Handler, limit func() time.Duration) pipe.Handler {
	return pipe.HandlerFunc(func(ctx context.Context, r *pipe.Request) error {
		most := limit()
		if most <= 0 || r.Route != nil && r.Route.Anonymous || r.IndexAge <= most {
			return next.Serve(ctx, r)
		}
		return problem.New(problem.ReasonStaleKeys, "the keys were last confirmed "+r.IndexAge.Round(time.Millisecond).String()+" ago")
	})
}
