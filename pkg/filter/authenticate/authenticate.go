// Package authenticate is the filter that determines the organisation of a request.
package authenticate

import (
	"context"

	"github.com/acaciaglade/acaciaglade/pkg/pipe"
	"github.com/acaciaglade/acaciaglade/pkg/problem"
	"github.com/acaciaglade/acaciaglade/pkg/table"
)

// anonymous is the organisation of calls of routes that need no key.
var anonymous = &table.Organisation{Weight: 1}

// New returns the filter. Calls of a route that needs no key get no organisation's
// share or priority, even if they carry a key.
func New(next pipe.Handler) pipe.Handler {
	return pipe.HandlerFunc(func(ctx context.Context, r *pipe.Request) error {
		if r.Route != nil && r.Route.Anonymous {
			r.Organisation = anonymous
			return next.Serve(ctx, r)
		}
		if r.Token == "" {
			return problem.New(problem.ReasonUnauthenticated, "no token was sent")
		}
		r.Organisation = r.Index.OrganisationByToken(r.Token)
		if r.Organisation == nil {
			return problem.New(problem.ReasonUnauthenticated, "")
		}
		return next.Serve(ctx, r)
	})
}
