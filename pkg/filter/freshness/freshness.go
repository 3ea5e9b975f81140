// Package freshness is the filter that refuses requests whose key may have been revoked:
// the keys that it was checked against were last confirmed too long ago.
package freshness

import (
	"context"
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/pipe"
	"github.com/acaciaglade/acaciaglade/pkg/problem"
)

// New returns the filter. limit returns the validation age beyond which keys are not
// trusted, 0 for no limit. Requests of routes that need no key always pass.
func New(next pipe.Handler, limit func() time.Duration) pipe.Handler {
	return pipe.HandlerFunc(func(ctx context.Context, r *pipe.Request) error {
		maxAge := limit()
		if maxAge <= 0 || r.Route != nil && r.Route.Anonymous || r.IndexAge <= maxAge {
			return next.Serve(ctx, r)
		}
		return problem.New(problem.ReasonStaleKeys, "the keys were last confirmed "+r.IndexAge.Round(time.Millisecond).String()+" ago")
	})
}
