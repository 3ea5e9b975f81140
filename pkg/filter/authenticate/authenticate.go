// Package authenticate is the filter that finds the organisation of a request.
package authenticate

import (
	"context"

	"github.com/acaciaglade/acaciaglade/pkg/pipe"
	"github.com/acaciaglade/acaciaglade/pkg/problem"
)

// New returns the filter.
func New(next pipe.Handler) pipe.Handler {
	return pipe.HandlerFunc(func(ctx context.Context, r *pipe.Request) error {
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
